"""Which breaks a gateway reports as crashes of servers."""

from __future__ import annotations

import asyncio
import errno
from typing import TYPE_CHECKING
from unittest import mock

from catkinpin.adapters.http import pool
from catkinpin.core.control import protocol
from catkinpin.core.control.routes import RouteKind
from catkinpin.core.requests.calls import RouteCall
from catkinpin.core.requests.digests import digests_of
from tests import base
from tests.fakes.gatewayrig import (
    Rig,
    abort_connection,
    answer_ok,
    encode_stream,
)

if TYPE_CHECKING:
    from catkinpin.adapters.http.client import ServerConnection
    from tests.fakes.gatewayrig import Answer
    from tests.fakes.rawserver import ReceivedRequest

_REPORT_WAIT_S = 1.0


def _shared() -> str:
    """Returns the shared digest of the request that a rig sends."""
    call = RouteCall(attempt="")
    return digests_of("h", b"POST", b"/x/y?z=1", b"in", call).shared


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

    def test_break_is_no_crash_without_free_descriptors(self) -> None:
        """Guards against reporting a crash, and ejecting, for want of files."""

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(abort_connection)
            connect = pool._connect
            opened = []

            async def connect_once(host: str, port: int) -> ServerConnection:
                opened.append(port)
                if len(opened) > 1:
                    raise OSError(errno.EMFILE, "too many open files")
                return await connect(host, port)

            with mock.patch.object(pool, "_connect", connect_once):
                await rig.ask()
                await asyncio.sleep(0.1)
                got = await rig.ask("q2")
            self.assertEqual(503, got.status)
            self.assertEqual([], rig.turns.crashes)
            server = rig.view.fleet.servers["s0"]
            now_ms = rig.clock.clock().now_ms()
            self.assertFalse(rig.balancer._is_ejected(server, now_ms))
            await rig.stop()

        self.run_async(scenario())

    def test_one_call_crashes_two_servers_at_most(self) -> None:
        """Guards against a call that crashes as many servers as may be tried.

        Its route allows three attempts.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False, max_attempts=3)

            def crash(number: int) -> Answer:
                async def answer(
                    seen: ReceivedRequest, writer: asyncio.StreamWriter
                ) -> None:
                    await rig.servers[number].stop()
                    writer.transport.abort()

                return answer

            await rig.start(*(crash(number) for number in range(3)))
            got = await rig.ask()
            self.assertEqual(502, got.status)
            self.assertEqual(2, rig.count_server_requests())
            await rig.stop()

        self.run_async(scenario())

    def test_suspect_crashes_one_server_at_most(self) -> None:
        """Guards against a fourth crash of a request that had two before.

        Another request ran beside it during both, so it is not quarantined.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False)

            async def crash(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                server = next(s for s in rig.servers if seen in s.requests)
                await server.stop()
                writer.transport.abort()

            await rig.start(crash, crash)
            rig.view.handle(
                protocol.QuarantineUpdate(contents=[], suspects=[_shared()])
            )
            got = await rig.ask()
            self.assertEqual(502, got.status)
            self.assertEqual(1, rig.count_server_requests())
            await rig.stop()

        self.run_async(scenario())

    def test_suspect_is_tried_again_after_a_lost_answer(self) -> None:
        """Guards against failing a harmless suspect whose answer is lost."""

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False)
            await rig.start(abort_connection, answer_ok)
            rig.view.handle(
                protocol.QuarantineUpdate(contents=[], suspects=[_shared()])
            )
            for number in range(4):
                got = await rig.ask(f"q{number}")
                self.assertEqual(200, got.status)
            await rig.stop()

        self.run_async(scenario())

    def test_lost_answers_leave_all_attempts(self) -> None:
        """Guards against giving up early when servers lose answers.

        They reset the connection, and live on.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False, max_attempts=3)
            await rig.start(abort_connection, abort_connection, answer_ok)
            for number in range(4):
                got = await rig.ask(f"q{number}")
                self.assertEqual(200, got.status)
            await rig.stop()

        self.run_async(scenario())

    def test_two_servers_that_end_at_once_give_one_strike(self) -> None:
        """Guards against strikes for runs that never were.

        Two servers end at the same moment. A request that was running on one of
        them is sent again, on an idle connection to the other.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False)

            async def answer(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                if seen.body != b"aboard":
                    await asyncio.sleep(0.05)
                    await answer_ok(seen, writer)
                    return
                for server in rig.servers:
                    await server.stop()
                writer.transport.abort()

            await rig.start(answer, answer)
            while min(server.connections for server in rig.servers) == 0:
                await asyncio.gather(*(rig.ask(f"w{n}") for n in range(4)))
            await rig.ask("q", body=b"aboard")
            await asyncio.sleep(0.1)
            self.assertEqual(1, len(rig.turns.crashes))
            await rig.stop()

        self.run_async(scenario())

    def test_stream_is_recognized_under_another_program(self) -> None:
        """Guards against a stream that crashes servers for many programs."""

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM)

            async def crash_server(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await rig.servers[0].stop()
                writer.write(encode_stream(seen, b"id: 1\n", end=False))
                await writer.drain()
                writer.transport.abort()

            await rig.start(crash_server)
            await rig.ask("q1", Program="p1")
            while not rig.turns.crashes:
                await asyncio.sleep(0.01)
            shared = rig.turns.shared_digests[0]
            rig.view.handle(protocol.QuarantineUpdate(contents=[shared]))
            got = await rig.ask("q2", Program="p2")
            self.assertEqual(503, got.status)
            self.assertEqual(1, rig.count_server_requests())
            await rig.stop()

        self.run_async(scenario())

    def test_request_waits_for_the_decision(self) -> None:
        """Guards against a third crash while the leader decides."""

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False)
            await rig.start(answer_ok)
            held = protocol.QuarantineUpdate(contents=[], held=[_shared()])
            rig.view.handle(held)
            response = asyncio.ensure_future(rig.ask())
            await asyncio.sleep(0.1)
            self.assertEqual(0, rig.count_server_requests())
            rig.view.handle(protocol.QuarantineUpdate(contents=[_shared()]))
            self.assertEqual(503, (await response).status)
            self.assertEqual(0, rig.count_server_requests())
            await rig.stop()

        self.run_async(scenario())

    def test_answer_to_a_quarantined_request_is_reported(self) -> None:
        """Guards against a quarantine for good of what servers answer.

        The request was under way when it was quarantined.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False)

            async def answer_late(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                rig.view.handle(protocol.QuarantineUpdate(contents=[_shared()]))
                await answer_ok(seen, writer)

            await rig.start(answer_late)
            self.assertEqual(200, (await rig.ask()).status)
            answered = list(rig.usage._answered.values())
            self.assertEqual([_shared()], [a.shared for a in answered])
            self.assertEqual(503, (await rig.ask("q2")).status)
            rig.view.handle(
                protocol.QuarantineUpdate(contents=[], lifted=[_shared()])
            )
            self.assertEqual(200, (await rig.ask("q3")).status)
            await rig.stop()

        self.run_async(scenario())

    def test_held_request_is_served_without_a_decision(self) -> None:
        """Guards against refusing a request that ran beside the harmful one."""

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False)
            await rig.start(answer_ok)
            suspects = [_shared()]
            rig.view.handle(
                protocol.QuarantineUpdate(
                    contents=[], suspects=suspects, held=suspects
                )
            )
            got = await rig.ask()
            self.assertEqual(200, got.status)
            self.assertLess(got.took_s, 1.0)
            answered = list(rig.usage._answered.values())
            self.assertEqual(suspects, [request.shared for request in answered])
            await rig.stop()

        self.run_async(scenario())
