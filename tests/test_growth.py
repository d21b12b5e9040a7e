"""Bounds of the state that is kept by names which others choose."""

from __future__ import annotations

import tracemalloc
from typing import Any
from unittest import mock

from catkinpin import clock
from catkinpin.adapters.gateway import process
from catkinpin.adapters.http.requestparser import ServerLimits
from catkinpin.adapters.keeper import host
from catkinpin.core.control.quotas import QuotaTolerance
from catkinpin.core.control.routes import CallerLimits
from catkinpin.core.control.servers import Instance, ServerState
from catkinpin.core.control.state import Announce
from tests import base
from tests.fakes.instances import instance

_SILENT_SERVER_MS = 15_000
_NAMES = 30_000
_MAX_GROWTH_BYTES = 2 * 1024 * 1024


class _Clock:
    """A clock that a test advances."""

    def __init__(self) -> None:
        self.now_ms = 1_000

    def clock(self) -> clock.Clock:
        return clock.Clock(
            now_ms=lambda: self.now_ms, wall_ms=lambda: self.now_ms
        )


def _growth_bytes(before: tracemalloc.Snapshot) -> int:
    """Returns by how much the allocated memory has grown."""
    now = tracemalloc.take_snapshot()
    return sum(stat.size_diff for stat in now.compare_to(before, "filename"))


class CallerLimitsTest(base.TestCase):
    """Limits that an operator may set to any number."""

    def test_huge_limits_are_bounded(self) -> None:
        """Guards against callers that a manifest lets fill the memory."""
        huge = 2**53
        limits = process.bounded_limits(CallerLimits(huge, huge, huge, huge))
        self.assertLessEqual(limits.header_bytes, 1024 * 1024)
        self.assertLessEqual(limits.body_bytes, 64 * 1024 * 1024)
        self.assertLessEqual(limits.header_timeout_s, 300.0)
        self.assertLessEqual(limits.idle_timeout_s, 300.0)

    def test_usual_limits_are_kept(self) -> None:
        """Guards against limits other than those that the operator set."""
        limits = process.bounded_limits(
            CallerLimits(16_384, 4_194_304, 3_000, 15_000)
        )
        self.assertEqual(ServerLimits(16_384, 4_194_304, 3.0, 15.0), limits)


class AnnouncementTest(base.TestCase):
    """Announcements by strangers, each under a new id."""

    def _make_host(self, now: _Clock) -> host.KeeperHost:
        keeper = host.KeeperHost(
            now.clock(),
            "k",
            _SILENT_SERVER_MS,
            QuotaTolerance(),
            on_routing_changed=lambda: None,
            on_servers_changed=lambda _: None,
            on_turns_expired=lambda _: None,
            on_suspects_changed=lambda _: None,
        )

        async def propose(record: Any, _: float) -> Any:
            if isinstance(record, Announce):
                keeper.state.fleet.apply(record.instance)

        patches: dict[str, Any] = {
            "holds_lease": lambda: True,
            "propose": propose,
        }
        for name, function in patches.items():
            patch = mock.patch.object(keeper, name, function)
            patch.start()
            self.addCleanup(patch.stop)
        return keeper

    def _expire(self, keeper: host.KeeperHost, now: _Clock) -> None:
        now.now_ms += _SILENT_SERVER_MS + 1
        for lost in keeper.lost_servers():
            keeper.state.fleet.apply(lost)
        keeper.lost_servers()

    def test_ends_of_unknown_servers_leave_nothing(self) -> None:
        """Guards against a memory that departures of no server fill."""

        async def main() -> None:
            now = _Clock()
            keeper = self._make_host(now)
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            before = tracemalloc.take_snapshot()
            for number in range(_NAMES):
                gone = instance(f"unknown-{number}", state=ServerState.GONE)
                await keeper.announce(gone, 1.0)
            self._expire(keeper, now)
            self.assertLess(_growth_bytes(before), _MAX_GROWTH_BYTES)

        self.run_async(main())

    def test_servers_that_are_lost_leave_little(self) -> None:
        """Guards against a memory that announcements under new ids fill."""

        async def main() -> None:
            now = _Clock()
            keeper = self._make_host(now)
            sizes = []
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            for batch in range(4):
                for number in range(5_000):
                    await keeper.announce(_new_server(batch, number), 1.0)
                self._expire(keeper, now)
                sizes.append(tracemalloc.get_traced_memory()[0])
            # The first batch fills the memory of the servers removed lately.
            self.assertLess(sizes[-1] - sizes[0], _MAX_GROWTH_BYTES // 4)

        self.run_async(main())

    def test_more_servers_than_any_system_has_are_refused(self) -> None:
        """Guards against a fleet without a bound, and keeps the known ones."""

        async def main() -> None:
            now = _Clock()
            keeper = self._make_host(now)
            refused = 0
            for number in range(host.MAX_SERVERS + 10):
                outcome = await keeper.announce(_new_server(0, number), 1.0)
                refused += outcome is not None
            self.assertEqual(10, refused)
            self.assertEqual(host.MAX_SERVERS, len(keeper.state.fleet.servers))
            known = _new_server(0, 7, sequence=2, state=ServerState.DRAINING)
            self.assertIsNone(await keeper.announce(known, 1.0))
            self.assertEqual(
                ServerState.DRAINING, keeper.state.fleet.servers[known.id].state
            )

        self.run_async(main())


def _new_server(batch: int, number: int, **fields: Any) -> Instance:
    address = f"10.{batch}.{number // 250}.{number % 250}:1"
    return instance(f"new-{batch}-{number}", address=address, **fields)
