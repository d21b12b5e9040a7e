"""Log groups on three nodes in one process: snapshots, catch-up, repair."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any
from unittest import mock

from catkinpin.adapters.replica import node
from catkinpin.core.consensus.state import Role
from catkinpin.exceptions import DiskFullError
from tests import base, ports
from tests.fakes.lognode import LogNode

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


_RECORDS_BEFORE_SLOWDOWN = 30
# Far more than five times the duration of a sync on a busy machine.
_ADDED_SYNC_MS = 500.0


class GroupsTest(base.TestCase):
    """Three nodes, and a state machine whose snapshot refers to old records."""

    group_count = 1

    def start(self, main: Callable[[list[LogNode]], Awaitable[None]]) -> None:
        async def run() -> None:
            self.ports = ports.free_ports(3)
            nodes = [
                await self.open(replica_index) for replica_index in range(3)
            ]
            try:
                await main(nodes)
            finally:
                await asyncio.gather(*(log_node.stop() for log_node in nodes))
                self.assertEqual(
                    [None] * 3, [log_node.failure for log_node in nodes]
                )

        self.run_async(run())

    async def open(self, replica_index: int) -> LogNode:
        folder = self.folder / str(replica_index)
        log_node = LogNode(folder, replica_index, self.ports, self.group_count)
        await log_node.start()
        return log_node

    async def commit_records(
        self, nodes: list[LogNode], first: int, last: int
    ) -> None:
        """Commits records whose payloads contain their number."""
        leader = await self.leader(nodes)
        await asyncio.gather(
            *(leader.commit(b"record %d" % n) for n in range(first, last + 1))
        )

    async def leader(self, nodes: list[LogNode]) -> LogNode:
        async def find() -> LogNode | None:
            return next((n for n in nodes if n.groups[0].is_leader()), None)

        found: LogNode = await base.until(find, "a leader")
        return found

    async def wait_same(self, nodes: list[LogNode], applied: int) -> None:
        """Waits until all nodes applied and hold the same records."""

        async def check() -> bool:
            return all(n.machines[0].applied == applied for n in nodes)

        await base.until(check, f"{applied} records on each node")
        expected = nodes[0].machines[0].refs
        for log_node in nodes:
            self.assertEqual(expected, log_node.machines[0].refs)
            for position, index in enumerate(expected):
                wanted = b"record %d" % (10 * position + 10)
                self.assertEqual(wanted, log_node.groups[0].read(index))

    def test_leader_whose_disk_turns_slow_hands_over(self) -> None:
        """Guards against a leader that keeps leading with a slow disk.

        Every sync of the leader's disk takes half a second longer, so every
        caller would wait. Another replica must become the leader and stay it.
        """

        async def main(nodes: list[LogNode]) -> None:
            slow = await self.leader(nodes)
            for number in range(_RECORDS_BEFORE_SLOWDOWN):
                await slow.commit(b"fast %d" % number)
            with self._slow_disk(slow):
                for number in range(80):
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(1.0):
                            await slow.commit(b"slow %d" % number)
                    if not slow.groups[0].is_leader():
                        break

                async def has_other_leader() -> bool:
                    leader = await self.leader(nodes)
                    return leader is not slow

                await base.until(has_other_leader, "another leader")
                leader = await self.leader(nodes)
                await leader.commit(b"after")
                self.assertIs(leader, await self.leader(nodes))

        self.start(main)

    def test_leader_whose_disk_is_full_gives_its_place_up(self) -> None:
        """Guards against a leader that fails, or leads on, with a full disk.

        Another replica must become the leader, and no node may fail. The one
        with the full disk must catch up once it has space again.
        """

        async def main(nodes: list[LogNode]) -> None:
            await self.commit_records(nodes, 1, 20)
            full = await self.leader(nodes)
            others = [log_node for log_node in nodes if log_node is not full]
            with self._full_disk(full):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await full.commit(b"never promised")
                self.assertFalse(full.groups[0].is_leader())
                leader = await self.leader(others)
                await leader.commit(b"while it is full")
                self.assertIsNone(full.failure)
            leader = await self.leader(nodes)
            await leader.commit(b"after")
            applied = leader.machines[0].applied

            async def caught_up() -> bool:
                return full.machines[0].applied == applied

            await base.until(caught_up, "the full one to catch up")

        self.start(main)

    def _full_disk(self, log_node: LogNode) -> Any:
        """Makes the writes to a node's log fail with a full disk."""

        def write(*_: object) -> int:
            raise DiskFullError("the disk is full")

        return mock.patch.object(log_node.node.storage._active, "write", write)

    def test_leadership_does_not_wander_where_all_disks_are_slow(self) -> None:
        """Guards against frequent leader changes while all disks are slow.

        That happens if the disks share a controller. No leader is then better
        than another, and each change costs callers the time of an election.
        """

        async def main(nodes: list[LogNode]) -> None:
            first = await self.leader(nodes)
            for number in range(_RECORDS_BEFORE_SLOWDOWN):
                await first.commit(b"fast %d" % number)
            for log_node in nodes:
                patch = self._slow_disk(log_node)
                patch.start()
                self.addCleanup(patch.stop)
            leaders = [first]
            loop = asyncio.get_running_loop()
            end_s = loop.time() + 2.5
            while loop.time() < end_s:
                leader = await self.leader(nodes)
                if leader is not leaders[-1]:
                    leaders.append(leader)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await leader.commit(b"%d" % int(loop.time() * 1e6))
            self.assertLessEqual(len(leaders), 3)

        self.start(main)

    def _slow_disk(self, log_node: LogNode) -> Any:
        """Adds a delay to the measured sync times of a node.

        A real delay would block the event loop, which all nodes share.
        """
        times = log_node.node._disk_monitor._sync_times
        add_sample = times.add_sample
        return mock.patch.object(
            times, "add_sample", lambda ms: add_sample(ms + _ADDED_SYNC_MS)
        )

    def test_replica_that_missed_hundreds_of_records(self) -> None:
        """Guards against a replica that can't catch up from a snapshot.

        It was down while hundreds of records were committed, so the others no
        longer hold all of them. It must receive the newest snapshot and the
        old records that this refers to.
        """

        async def main(nodes: list[LogNode]) -> None:
            await self.commit_records(nodes, 1, 50)
            stopped = next(n for n in nodes if not n.groups[0].is_leader())
            replica_index = nodes.index(stopped)
            await stopped.stop()
            others = [n for n in nodes if n is not stopped]
            await self.commit_records(others, 51, 900)
            nodes[replica_index] = await self.open(replica_index)
            await self.wait_same(nodes, 900)
            self.assertGreater(nodes[replica_index].machines[0].restored, 0)

        self.start(main)

    def test_lost_disk_is_replaced(self) -> None:
        """Guards against a repair that leaves records or members behind.

        A disk is lost after the log was truncated many times. The new replica
        must receive all records that are still referenced, and the lost one
        must no longer be a member. The group must then survive the loss of
        another replica.
        """

        async def main(nodes: list[LogNode]) -> None:
            await self.commit_records(nodes, 1, 700)
            await nodes[0].stop()
            lost = nodes[0].node.identity
            (self.folder / "0").rename(self.folder / "old")
            nodes[0] = await self.open(0)
            new_node = nodes[0].node

            async def waits_for_repair() -> bool:
                return new_node.needs_repair()

            await base.until(
                waits_for_repair, "the empty node to wait for a repair"
            )
            new_node.repair()

            async def all_vote() -> bool:
                return all(new_node.votes_by_group().values())

            await base.until(all_vote, "the repaired node to vote")
            await self.wait_same(nodes, 700)
            members = nodes[0].groups[0].members
            self.assertIsNone(members.find(lost))
            await nodes[1].stop()
            await self.commit_records([nodes[0], nodes[2]], 701, 720)
            nodes[1] = await self.open(1)
            await self.wait_same(nodes, 720)
            await self.commit_beside_old_disk(nodes, 721)
            nodes[0] = await self.open(0)
            await self.wait_same(nodes, 730)

        self.start(main)

    async def commit_beside_old_disk(
        self, nodes: list[LogNode], first: int
    ) -> None:
        """Commits ten records while the lost replica runs on its old disk.

        Operators are told not to reuse a lost disk. Even so, the old replica's
        requests for an election must not disturb the others.
        """
        await nodes[0].stop()
        (self.folder / "0").rename(self.folder / "new")
        (self.folder / "old").rename(self.folder / "0")
        old = await self.open(0)
        term = nodes[1].groups[0].term
        await self.commit_records(nodes[1:], first, first + 9)

        async def asks_for_election() -> bool:
            core = old.groups[0]._core
            return core is not None and core.role is Role.PRE_CANDIDATE

        await base.until(
            asks_for_election, "the old replica to ask for an election"
        )
        self.assertEqual("", old.groups[0].leader)
        self.assertLessEqual(nodes[1].groups[0].term, term + 1)
        await old.stop()
        (self.folder / "0").rename(self.folder / "old")
        (self.folder / "new").rename(self.folder / "0")

    def test_leaders_spread_again_after_a_replica_was_away(self) -> None:
        """Guards against a restarted replica that leads too few groups.

        While it is down the others become the leaders of all groups. Without
        a rebalancing its processor would stay idle.
        """

        async def main(nodes: list[LogNode]) -> None:
            async def is_balanced() -> bool:
                led = [sum(g.is_leader() for g in n.groups) for n in nodes]
                return sum(led) == 9 and max(led) - min(led) <= 2

            with mock.patch.object(node, "_REBALANCE_INTERVAL_TICKS", 3):
                await nodes[0].stop()
                nodes[0] = await self.open(0)
                await base.until(is_balanced, "the leaders to be balanced")

        self.group_count = 9
        self.start(main)

    def test_all_start_again_from_snapshots(self) -> None:
        """Guards against records lost when all replicas restart."""

        async def main(nodes: list[LogNode]) -> None:
            await self.commit_records(nodes, 1, 330)
            await self.wait_same(nodes, 330)
            await asyncio.gather(*(log_node.stop() for log_node in nodes))
            for replica_index in range(3):
                nodes[replica_index] = await self.open(replica_index)
            await self.commit_records(nodes, 331, 340)
            await self.wait_same(nodes, 340)
            self.assertEqual(1, nodes[0].machines[0].restored)

        self.start(main)
