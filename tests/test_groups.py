"""Log groups on nodes that share a process: snapshots, catching up, repair."""

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


_FAST_RECORDS = 30
# Far above five times what a sync takes on a busy machine.
_SLOWER_MS = 500.0


class GroupsTest(base.TestCase):
    """Three nodes and a machine whose snapshot refers to old records."""

    count = 1

    def start(self, main: Callable[[list[LogNode]], Awaitable[None]]) -> None:
        async def whole() -> None:
            self.ports = ports.free_ports(3)
            nodes = [await self.open(place) for place in range(3)]
            try:
                await main(nodes)
            finally:
                await asyncio.gather(*(one.stop() for one in nodes))
                self.assertEqual([None] * 3, [one.failure for one in nodes])

        self.run_async(whole())

    async def open(self, place: int) -> LogNode:
        folder = self.folder / str(place)
        one = LogNode(folder, place, self.ports, self.count)
        await one.start()
        return one

    async def fill(self, nodes: list[LogNode], first: int, last: int) -> None:
        """Commits records that tell their number."""
        leader = await self.leader(nodes)
        await asyncio.gather(
            *(leader.commit(b"record %d" % n) for n in range(first, last + 1))
        )

    async def leader(self, nodes: list[LogNode]) -> LogNode:
        async def find() -> LogNode | None:
            return next((n for n in nodes if n.groups[0].is_leader()), None)

        found: LogNode = await base.until(find, "a leader")
        return found

    async def same(self, nodes: list[LogNode], applied: int) -> None:
        """Waits until all nodes hold the same, old records included."""

        async def check() -> bool:
            return all(n.machines[0].applied == applied for n in nodes)

        await base.until(check, f"{applied} records on each node")
        refs = nodes[0].machines[0].refs
        for one in nodes:
            self.assertEqual(refs, one.machines[0].refs)
            for place, index in enumerate(refs):
                wanted = b"record %d" % (10 * place + 10)
                self.assertEqual(wanted, one.groups[0].read(index))

    def test_leader_whose_disk_turns_slow_hands_over(self) -> None:
        """The leader's disk takes half a second a sync from now on.

        Every caller would wait for it as long as it stays so. Another replica
        leads within a moment, and nothing that was committed is lost.
        """

        async def main(nodes: list[LogNode]) -> None:
            slow = await self.leader(nodes)
            for number in range(_FAST_RECORDS):
                await slow.commit(b"fast %d" % number)
            with self._slow_disk(slow):
                for number in range(80):
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(1.0):
                            await slow.commit(b"slow %d" % number)
                    if not slow.groups[0].is_leader():
                        break

                async def moved() -> bool:
                    leader = await self.leader(nodes)
                    return leader is not slow

                await base.until(moved, "another leader")
                leader = await self.leader(nodes)
                await leader.commit(b"after")
                self.assertIs(leader, await self.leader(nodes))

        self.start(main)

    def test_leader_whose_disk_is_full_gives_its_place_up(self) -> None:
        """The leader's disk takes no more bytes for a while.

        It ends no process. Another replica leads within a moment; what was
        committed stays, and the full one catches up once it has room.
        """

        async def main(nodes: list[LogNode]) -> None:
            await self.fill(nodes, 1, 20)
            full = await self.leader(nodes)
            rest = [one for one in nodes if one is not full]
            with self._full_disk(full):
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await full.commit(b"never promised")
                self.assertFalse(full.groups[0].is_leader())
                leader = await self.leader(rest)
                await leader.commit(b"while it is full")
                self.assertIsNone(full.failure)
            leader = await self.leader(nodes)
            await leader.commit(b"after")
            applied = leader.machines[0].applied

            async def caught_up() -> bool:
                return full.machines[0].applied == applied

            await base.until(caught_up, "the full one to catch up")

        self.start(main)

    def _full_disk(self, one: LogNode) -> Any:
        """Has a node's log find no room."""

        def write(*_: object) -> int:
            raise DiskFullError("the disk is full")

        return mock.patch.object(one.node.storage._active, "write", write)

    def test_leadership_does_not_wander_where_all_disks_are_slow(self) -> None:
        """All disks turn slow at once, as where they share a controller.

        No leader does better than another, and each change costs callers the
        time of an election.
        """

        async def main(nodes: list[LogNode]) -> None:
            first = await self.leader(nodes)
            for number in range(_FAST_RECORDS):
                await first.commit(b"fast %d" % number)
            for one in nodes:
                patch = self._slow_disk(one)
                patch.start()
                self.addCleanup(patch.stop)
            leaders = [first]
            loop = asyncio.get_running_loop()
            until_s = loop.time() + 2.5
            while loop.time() < until_s:
                leader = await self.leader(nodes)
                if leader is not leaders[-1]:
                    leaders.append(leader)
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(0.3):
                        await leader.commit(b"%d" % int(loop.time() * 1e6))
            self.assertLessEqual(len(leaders), 3)

        self.start(main)

    def _slow_disk(self, one: LogNode) -> Any:
        """Has a node's syncs seem slow; all nodes share a loop that sleeps."""
        times = one.node._disk_monitor._sync_times
        add_sample = times.add_sample
        return mock.patch.object(
            times, "add_sample", lambda ms: add_sample(ms + _SLOWER_MS)
        )

    def test_replica_that_missed_hundreds_of_records(self) -> None:
        """A replica was down while hundreds of records passed it by.

        It gets the newest state and the texts that are still needed, not
        each change, and can then serve callers like the others.
        """

        async def main(nodes: list[LogNode]) -> None:
            await self.fill(nodes, 1, 50)
            away = next(n for n in nodes if not n.groups[0].is_leader())
            place = nodes.index(away)
            await away.stop()
            rest = [n for n in nodes if n is not away]
            await self.fill(rest, 51, 900)
            nodes[place] = await self.open(place)
            await self.same(nodes, 900)
            self.assertGreater(nodes[place].machines[0].restored, 0)

        self.start(main)

    def test_lost_disk_is_replaced(self) -> None:
        """A disk is lost after the log was cut many times.

        The new replica holds every text, and the old one is a member no
        more; the group then survives the loss of another.
        """

        async def main(nodes: list[LogNode]) -> None:
            await self.fill(nodes, 1, 700)
            await nodes[0].stop()
            lost = nodes[0].node.identity
            (self.folder / "0").rename(self.folder / "old")
            nodes[0] = await self.open(0)
            fresh = nodes[0].node

            async def asks() -> bool:
                return fresh.needs_repair()

            await base.until(asks, "the empty node asks for a repair")
            fresh.repair()

            async def safe() -> bool:
                return all(fresh.votes_by_group().values())

            await base.until(safe, "the repair is safe")
            await self.same(nodes, 700)
            members = nodes[0].groups[0].members
            self.assertIsNone(members.find(lost))
            await nodes[1].stop()
            await self.fill([nodes[0], nodes[2]], 701, 720)
            nodes[1] = await self.open(1)
            await self.same(nodes, 720)
            await self.with_old_disk(nodes, 721)
            nodes[0] = await self.open(0)
            await self.same(nodes, 730)

        self.start(main)

    async def with_old_disk(self, nodes: list[LogNode], first: int) -> None:
        """Puts the old disk back, against the advice, and commits ten."""
        await nodes[0].stop()
        (self.folder / "0").rename(self.folder / "new")
        (self.folder / "old").rename(self.folder / "0")
        old = await self.open(0)
        term = nodes[1].groups[0].term
        await self.fill(nodes[1:], first, first + 9)

        async def stood() -> bool:
            core = old.groups[0]._core
            return core is not None and core.role is Role.PRE_CANDIDATE

        await base.until(stood, "the old replica asks for an election")
        self.assertEqual("", old.groups[0].leader)
        self.assertLessEqual(nodes[1].groups[0].term, term + 1)
        await old.stop()
        (self.folder / "0").rename(self.folder / "old")
        (self.folder / "new").rename(self.folder / "0")

    def test_leaders_spread_again_after_a_replica_was_away(self) -> None:
        """A replica was away, and the others lead all groups.

        Its processor would stay idle while callers wait for the others.
        """

        async def main(nodes: list[LogNode]) -> None:
            async def spread() -> bool:
                led = [sum(g.is_leader() for g in n.groups) for n in nodes]
                return sum(led) == 9 and max(led) - min(led) <= 2

            with mock.patch.object(node, "_REBALANCE_INTERVAL_TICKS", 3):
                await nodes[0].stop()
                nodes[0] = await self.open(0)
                await base.until(spread, "the leaders are spread")

        self.count = 9
        self.start(main)

    def test_all_start_again_from_snapshots(self) -> None:
        """All replicas are stopped and started; nothing is missing."""

        async def main(nodes: list[LogNode]) -> None:
            await self.fill(nodes, 1, 330)
            await self.same(nodes, 330)
            await asyncio.gather(*(one.stop() for one in nodes))
            for place in range(3):
                nodes[place] = await self.open(place)
            await self.fill(nodes, 331, 340)
            await self.same(nodes, 340)
            self.assertEqual(1, nodes[0].machines[0].restored)

        self.start(main)
