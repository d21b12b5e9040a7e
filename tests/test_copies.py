"""Which turns are copied after a loss."""

from __future__ import annotations

import testtools

from catkinpin.core.control import copies
from catkinpin.core.control.copies import Holder
from catkinpin.core.control.ledger import Turn


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


class PlanTest(testtools.TestCase):
    """Plans of copies."""

    def test_turns_of_a_lost_disk_get_a_second_copy_again(self) -> None:
        """A store comes back with an empty disk, as a new identity.

        Its turns have one copy left; the next lost disk would take them.
        """
        turns = [_turn(n, ["lost", "a"]) for n in range(5)]
        turns += [_turn(9, ["a", "b"])]
        hosts = [_host("a"), _host("b"), _host("new")]
        plan = copies.plan(turns, {"a", "b", "new"}, hosts, 2)
        copied = {t for copy in plan for t in copy.attempts}
        self.assertEqual({f"t{n}" for n in range(5)}, copied)
        for copy in plan:
            self.assertEqual("a", copy.source.node)
            self.assertEqual(("a",), copy.counted_holders)
            self.assertNotEqual("a", copy.target.node)

    def test_load_of_a_repair_is_spread_over_the_targets(self) -> None:
        """Everything of a lost store is copied at once.

        Sent to one target it would take as long as that one disk needs.
        """
        turns = [_turn(n, ["lost", "a"], 1_000) for n in range(20)]
        hosts = [_host(n) for n in ("a", "b", "c")]
        plan = copies.plan(turns, {"a", "b", "c"}, hosts, 2)
        sizes = {copy.target.node: copy.size for copy in plan}
        self.assertEqual({"b": 10_000, "c": 10_000}, sizes)

    def test_host_to_be_emptied_gives_its_turns_but_counts_no_more(
        self,
    ) -> None:
        """An operator has a store emptied, whose turns' other holder is down.

        It can still be read from, but must not stay among the holders: it is
        taken away as soon as it is said to be empty.
        """
        turns = [_turn(1, ["leaving", "down"])]
        hosts = [_host("leaving"), _host("a")]
        (copy,) = copies.plan(turns, {"a", "down"}, hosts, 2)
        self.assertEqual("leaving", copy.source.node)
        self.assertEqual("a", copy.target.node)
        self.assertEqual(("down",), copy.counted_holders)

    def test_copies_stay_in_the_region_where_they_can(self) -> None:
        """Both regions have room; the link between them is narrow."""
        turns = [_turn(1, ["lost", "a"])]
        hosts = [_host("a"), _host("far", "other"), _host("near")]
        (copy,) = copies.plan(turns, {"a", "far", "near"}, hosts, 2)
        self.assertEqual("near", copy.target.node)

    def test_nothing_is_copied_where_nothing_can_be_read(self) -> None:
        """Both holders are out of reach for a while."""
        plan = copies.plan([_turn(1, ["x", "y"])], {"y"}, [_host("a")], 2)
        self.assertEqual([], plan)

    def test_two_losses_at_once_need_a_third_copy(self) -> None:
        """Two disks may be lost at once; a turn has one copy left.

        A second copy alone would bear one loss only: the plan goes on until
        there are three, each in a failure domain of its own.
        """
        turns = [_turn(1, ["lost", "gone", "a"])]
        hosts = [_host(n, domain=n[0]) for n in ("a", "a2", "b", "b2", "c")]
        counted = {host.node for host in hosts}
        for _ in range(3):
            for copy in copies.plan(turns, counted, hosts, 3):
                turns[0].holders = [*copy.counted_holders, copy.target.node]
        self.assertEqual(["a", "b", "c"], sorted(turns[0].holders))


class SpreadTest(testtools.TestCase):
    """Where a gateway stores a turn."""

    def test_copies_stand_in_failure_domains_of_their_own(self) -> None:
        """A failure domain goes dark with all hosts in it.

        Two of the best three hosts stand in it; a turn stored on these would
        be lost with the third disk.
        """
        hosts = [_host(n, domain=n[0]) for n in ("a1", "a2", "b1", "c1")]
        for turn in range(8):
            best = copies.rank_hosts(hosts, "r", "a1:1", turn)[:3]
            self.assertEqual({"a", "b", "c"}, {host.domain for host in best})
            self.assertNotIn("a1", [host.node for host in best])

    def test_far_hosts_come_last(self) -> None:
        """The narrow link between regions carries no copy that need not go."""
        hosts = [_host("far", "other"), _host("a"), _host("b")]
        found = [h.node for h in copies.rank_hosts(hosts, "r", "", 1)]
        self.assertEqual("far", found[-1])

    def test_slow_hosts_come_last_in_their_region(self) -> None:
        """A near disk hangs; the narrow link still carries nothing for it."""
        hosts = [_host("far", "other"), _host("a"), _host("b"), _host("c")]
        for turn in range(4):
            ordered = copies.rank_hosts(hosts, "r", "", turn, {"a"})
            found = [h.node for h in ordered]
            self.assertEqual(["a", "far"], found[2:])
