"""Detecting slow disks by the duration of their syncs."""

from __future__ import annotations

import testtools

from catkinpin.core.control.disks import SyncTimes


class SyncTimesTest(testtools.TestCase):
    """When a leader considers its own disk slow."""

    def _disk(self, usual_ms: float) -> SyncTimes:
        times = SyncTimes()
        for n in range(50):
            times.add_sample(usual_ms * (0.8 + 0.4 * (n % 2)))
        return times

    def test_disk_that_turns_slow_is_noticed_within_a_few_syncs(self) -> None:
        """The leader's disk becomes 25 times slower.

        Each turn waits for several of its syncs, so programs are late if the
        leader detects it late.
        """
        for usual_ms in (1.0, 5.0):
            times = self._disk(usual_ms)
            self.assertFalse(times.is_slow())
            for _ in range(4):
                times.add_sample(25 * usual_ms)
            self.assertTrue(times.is_slow())

    def test_single_slow_syncs_move_no_leader(self) -> None:
        times = self._disk(1.0)
        for n in range(60):
            times.add_sample(200.0 if n % 3 == 0 else 1.0)
            self.assertFalse(times.is_slow())

    def test_disk_that_was_never_fast_is_not_slow(self) -> None:
        """If all disks of a system are slow, no other leader is better."""
        times = self._disk(40.0)
        self.assertFalse(times.is_slow())

    def test_disk_is_looked_at_anew_after_its_leader_has_handed_over(
        self,
    ) -> None:
        times = self._disk(1.0)
        for _ in range(6):
            times.add_sample(30.0)
        times.clear_recent()
        self.assertFalse(times.is_slow())
        for _ in range(4):
            times.add_sample(30.0)
        self.assertTrue(times.is_slow())
