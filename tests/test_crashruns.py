"""Which crashes under a request count against it."""

from __future__ import annotations

from catkinpin.core.crashruns import CrashedRun, count_in_turn
from tests import base


def _run(
    began_ms: int, ended_ms: int, *, is_repeat: bool = False
) -> CrashedRun:
    return CrashedRun(began_ms, ended_ms, is_repeat)


class CountTest(base.TestCase):
    """Crashes of several servers."""

    def test_servers_that_end_together_count_once(self) -> None:
        """Guards against refusing what ran on them by chance."""
        runs = [_run(0, 1_000), _run(500, 1_001), _run(900, 1_400)]
        self.assertEqual(1, count_in_turn(runs))
        self.assertEqual(0, count_in_turn([]))

    def test_runs_that_follow_each_other_count_in_any_order(self) -> None:
        """Guards against reports that arrive late."""
        runs = [_run(2_010, 2_100), _run(0, 1_000), _run(1_010, 1_900)]
        self.assertEqual(3, count_in_turn(runs))

    def test_run_that_seems_to_begin_a_little_early_counts(self) -> None:
        """Guards against times that differ by the way of a report."""
        self.assertEqual(2, count_in_turn([_run(0, 1_000), _run(971, 1_500)]))
        self.assertEqual(1, count_in_turn([_run(0, 1_000), _run(969, 1_500)]))

    def test_run_of_a_known_suspect_counts(self) -> None:
        """Guards against a report that took longer than the next run."""
        runs = [_run(0, 1_000), _run(800, 1_200, is_repeat=True)]
        self.assertEqual(2, count_in_turn(runs))

    def test_copies_on_one_server_are_one_run(self) -> None:
        """Guards against two crashes where two copies saw the same one."""
        run = _run(0, 1_000)
        run.add_copy(_run(700, 990, is_repeat=True))
        self.assertEqual(_run(700, 990, is_repeat=True), run)
