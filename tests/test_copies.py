"""Which turns are copied after a loss, and where turns are stored."""

from __future__ import annotations

import testtools

from catkinpin.core.control import copies
from catkinpin.core.control.copies import Holder
from catkinpin.core.control.turnrecords import Turn
from catkinpin.core.tolerance import Tolerance


def _turn(number: int, holders: list[str], size: int = 1_000) -> Turn:
    return Turn(
        attempt=f"t{number}",
        program="p",
        previous="",
        holders=holders,
        size=size,
        until_ms=0,
    )


def _host(node: str, region: str = "r", domain: str = "") -> Holder:
    return Holder(node, f"{node}:1", region, domain or node)


def _plan(
    turns: list[Turn], counted: set[str], hosts: list[Holder], wanted: int
) -> list[copies.CopyBatch]:
    places = {host.node: host for host in hosts}
    known = {node: places.get(node) or _host(node) for node in counted}
    return copies.plan(turns, known, hosts, Tolerance(hosts=wanted - 1))


class PlanTest(testtools.TestCase):
    """Plans of the next batches to copy."""

    def test_turns_of_a_lost_disk_get_a_second_copy_again(self) -> None:
        """A store returns with an empty disk and a new identity.

        Its turns have one copy left, and the loss of another disk would lose
        them.
        """
        turns = [_turn(n, ["lost", "a"]) for n in range(5)]
        turns += [_turn(9, ["a", "b"])]
        hosts = [_host("a"), _host("b"), _host("new")]
        plan = _plan(turns, {"a", "b", "new"}, hosts, 2)
        copied = {t for copy in plan for t in copy.attempts}
        self.assertEqual({f"t{n}" for n in range(5)}, copied)
        for copy in plan:
            self.assertEqual("a", copy.source.node)
            self.assertEqual(("a",), copy.counted_holders)
            self.assertNotEqual("a", copy.target.node)

    def test_load_of_a_repair_is_spread_over_the_targets(self) -> None:
        """All turns of a lost store are copied at once.

        With a single target, the repair would take as long as that target's
        disk needs for all of them.
        """
        turns = [_turn(n, ["lost", "a"], 1_000) for n in range(20)]
        hosts = [_host(n) for n in ("a", "b", "c")]
        plan = _plan(turns, {"a", "b", "c"}, hosts, 2)
        sizes = {copy.target.node: copy.size for copy in plan}
        self.assertEqual({"b": 10_000, "c": 10_000}, sizes)

    def test_retiring_host_is_a_source_but_does_not_count(
        self,
    ) -> None:
        """An operator empties a store while the turns' other holder is down.

        The store can still be read from, but must not remain among the holders:
        it is removed as soon as it is reported as empty.
        """
        turns = [_turn(1, ["leaving", "down"])]
        hosts = [_host("leaving"), _host("a")]
        (copy,) = _plan(turns, {"a", "down"}, hosts, 2)
        self.assertEqual("leaving", copy.source.node)
        self.assertEqual("a", copy.target.node)
        self.assertEqual(("down",), copy.counted_holders)

    def test_copies_stay_in_the_region_where_they_can(self) -> None:
        """Hosts of both regions can be targets; the link between is narrow."""
        turns = [_turn(1, ["lost", "a"])]
        hosts = [_host("a"), _host("far", "other"), _host("near")]
        (copy,) = _plan(turns, {"a", "far", "near"}, hosts, 2)
        self.assertEqual("near", copy.target.node)

    def test_nothing_is_copied_where_nothing_can_be_read(self) -> None:
        """Neither holder can be reached for a while."""
        plan = _plan([_turn(1, ["x", "y"])], {"y"}, [_host("a")], 2)
        self.assertEqual([], plan)

    def test_two_losses_at_once_need_a_third_copy(self) -> None:
        """Two disks are lost at once, and a turn has one copy left.

        With two copies, it would survive the loss of only one more disk. The
        repair continues until there are three, each in its own failure domain.
        """
        turns = [_turn(1, ["lost", "gone", "a"])]
        hosts = [_host(n, domain=n[0]) for n in ("a", "a2", "b", "b2", "c")]
        counted = {host.node for host in hosts}
        for _ in range(3):
            for copy in _plan(turns, counted, hosts, 3):
                turns[0].holders = [*copy.counted_holders, copy.target.node]
        self.assertEqual(["a", "b", "c"], sorted(turns[0].holders))


class RankHostsTest(testtools.TestCase):
    """Ranking of the hosts that a gateway stores a turn at."""

    def test_copies_stand_in_failure_domains_of_their_own(self) -> None:
        """A failure domain fails with all its hosts.

        If two of the three best hosts were in it, the loss of a third disk
        would lose the turn.
        """
        hosts = [_host(n, domain=n[0]) for n in ("a1", "a2", "b1", "c1")]
        for turn in range(8):
            best = copies.rank_hosts(hosts, "r", "a1:1", turn)[:3]
            self.assertEqual({"a", "b", "c"}, {host.domain for host in best})
            self.assertNotIn("a1", [host.node for host in best])

    def test_far_hosts_come_last(self) -> None:
        """The narrow link between regions carries no unnecessary copies."""
        hosts = [_host("far", "other"), _host("a"), _host("b")]
        found = [h.node for h in copies.rank_hosts(hosts, "r", "", 1)]
        self.assertEqual("far", found[-1])

    def test_slow_hosts_come_last_in_their_region(self) -> None:
        """Even if a disk in the region hangs, the other region comes last."""
        hosts = [_host("far", "other"), _host("a"), _host("b"), _host("c")]
        for turn in range(4):
            ordered = copies.rank_hosts(hosts, "r", "", turn, {"a"})
            found = [h.node for h in ordered]
            self.assertEqual(["a", "far"], found[2:])
