"""Which breaks a gateway reports as crashes of servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin.core.control.routes import RouteKind
from tests import base
from tests.fakes.gatewayrig import Rig, answer_ok

if TYPE_CHECKING:
    from tests.fakes.rawserver import ReceivedRequest

_REPORT_WAIT_S = 1.0


class CrashReportTest(base.TestCase):
    """Reports of servers that broke off a request."""

    def test_crash_is_reported_although_an_idle_connection_is_left(
        self,
    ) -> None:
        """Guards against an idle connection that hides a crash.

        The closing of the gateway's other connections arrives later than that
        of the request's own.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)

            async def crash_or_answer(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                if seen.body == b"crash":
                    await rig.servers[0].stop()
                    writer.transport.abort()
                    return
                await asyncio.sleep(0.05)
                await answer_ok(seen, writer)

            await rig.start(crash_or_answer)
            await asyncio.gather(rig.ask("q1"), rig.ask("q2"))
            self.assertEqual(2, rig.servers[0].connections)
            await rig.ask("q3", body=b"crash")
            async with asyncio.timeout(_REPORT_WAIT_S):
                while not rig.turns.crashes:
                    await asyncio.sleep(0.01)
            await rig.stop()

        self.run_async(scenario())

    def test_break_is_no_crash_while_all_connections_are_in_use(self) -> None:
        """Guards against reporting a crash since no connection was free."""

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)

            async def take_all_and_abort(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                rig.pool._open_counts[rig.servers[0].address] = 1_000
                writer.transport.abort()

            await rig.start(take_all_and_abort)
            await rig.ask()
            await asyncio.sleep(0.1)
            self.assertEqual([], rig.turns.crashes)
            await rig.stop()

        self.run_async(scenario())
