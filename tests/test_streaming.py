"""Streams through a gateway: turns, resumption and failing servers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin.adapters.gateway.turnresults import BeginFailed, StartedTurn
from catkinpin.core.control.routes import (
    RouteKind,
)
from catkinpin.core.control.turnrecords import Denial
from catkinpin.core.placement.urgency import ProgramStatus
from tests.fakes.rawserver import ReceivedRequest, sealed_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Answer = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]

from tests.fakes.gatewaycase import GatewayCase
from tests.fakes.gatewayrig import (
    Rig,
    encode_events,
    encode_stream,
    stream_events,
)


class StreamTest(GatewayCase):
    """Turns and other streams."""

    def test_turn_ends_only_once_it_lasts(self) -> None:
        """Guards against ending a turn before it is stored.

        Storing takes a moment. If the answer ended earlier, the caller could
        continue a turn that a power failure can still lose.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(stream_events)
            rig.turns.begin_result = StartedTurn(
                b"before ", ProgramStatus(), ""
            )
            rig.turns.finishing.clear()
            response = asyncio.ensure_future(rig.ask(Program="p"))
            while not rig.turns.finished:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            self.assertFalse(response.done())
            rig.turns.finishing.set()
            got = await response
            self.assertTrue(got.is_complete)
            self.assertEqual(encode_events(1, 3), got.body)
            self.assertEqual(b"before in", rig.servers[0].requests[0].body)
            self.assertEqual([b"ine1\ne2\ne3\n"], rig.turns.finished)
            self.assertEqual([], rig.turns.settled)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_engine_that_fails_at_once_draws_no_turns(self) -> None:
        """Guards against sending turns to an engine that always fails.

        It answers each turn with 500 after a ms and so looks idle. Callers
        retried, most turns went to that engine, and programs failed while the
        other engine had room.
        """

        async def answer_500(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"", "500 Failed"))

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, max_attempts=1)
            await rig.start(answer_500, stream_events)
            statuses = [(await rig.ask(f"q{n}")).status for n in range(12)]
            self.assertLessEqual(statuses.count(500), 1)
            rig.clock.shift_ms += 500
            statuses = [(await rig.ask(f"r{n}")).status for n in range(12)]
            self.assertLessEqual(statuses.count(500), 1)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_call_that_fails_for_its_own_reasons_ejects_no_server(
        self,
    ) -> None:
        """Guards against ejecting a tool for calls that are themselves wrong.

        A tool answers 500 to every other call.
        """
        count = 0

        async def fail_every_other(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal count
            count += 1
            status = "500 Failed" if count % 2 else "200 OK"
            writer.write(sealed_answer(seen, b"x", status))

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)
            await rig.start(fail_every_other)
            for number in range(8):
                await rig.ask(f"q{number}")
            balancer = rig.balancer
            now_ms = rig.clock.clock().now_ms()
            (server,) = rig.view.fleet.servers.values()
            self.assertFalse(balancer._is_ejected(server, now_ms))
            await rig.stop()

        self.run_within_limit(scenario())

    def test_turn_that_was_not_stored_does_not_look_whole(self) -> None:
        """Guards against ending a stream normally if its turn was not stored.

        There is no quorum when the turn ends.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(stream_events)
            rig.turns.finish_result = "no quorum"
            got = await rig.ask(Program="p")
            self.assertFalse(got.is_complete)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_denied_turns_reach_no_server(self) -> None:
        """Guards against running turns that the leader did not begin.

        The budget is spent, the previous turn doesn't exist, or there is no
        leader.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(stream_events)
            for begun, status in (
                (Denial.BUDGET_SPENT, 402),
                (Denial.NO_SUCH_TURN, 404),
                (BeginFailed("no leader"), 503),
            ):
                rig.turns.begin_result = begun
                got = await rig.ask(Program="p", Budget="5")
                self.assertEqual(status, got.status)
            self.assertEqual(0, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())

    def test_broken_stream_settles_what_the_caller_got(self) -> None:
        """Guards against settling a token count that the caller did not get.

        A server crashes during a turn that may not be resumed.
        """

        async def abort_mid_event(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            part = encode_events(1, 2) + b"id: 3\nda"
            writer.write(encode_stream(seen, part, end=False))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(abort_mid_event, abort_mid_event)
            got = await rig.ask(Program="p")
            self.assertFalse(got.is_complete)
            self.assertEqual(1, rig.count_server_requests())
            # Two events of two tokens each; the third was incomplete.
            self.assertEqual([4], rig.turns.settled)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_resumable_stream_goes_on_at_another_server(self) -> None:
        """Guards against lost or repeated events when a stream is resumed.

        A server crashes in the middle of an event.
        """

        async def abort_unless_resumed(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            if resumed := seen.headers.get("resume-at"):
                writer.write(
                    encode_stream(seen, encode_events(int(resumed) + 1, 4))
                )
                return
            part = encode_events(1, 2) + b"id: 3\nda"
            writer.write(encode_stream(seen, part, end=False))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, resumable=True)
            await rig.start(abort_unless_resumed, abort_unless_resumed)
            got = await rig.ask()
            self.assertTrue(got.is_complete)
            self.assertEqual(encode_events(1, 4), got.body)
            self.assertEqual(2, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())

    def test_stream_without_ids_does_not_go_on_elsewhere(self) -> None:
        """Guards against events that the caller gets twice.

        A server can only go on after an event that has an id.
        """

        async def abort_without_ids(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            part = encode_events(1, 2) + b"data: e3\n\n"
            writer.write(encode_stream(seen, part, end=False))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM, resumable=True)
            await rig.start(abort_without_ids, abort_without_ids)
            got = await rig.ask()
            self.assertFalse(got.is_complete)
            self.assertEqual(encode_events(1, 2) + b"data: e3\n\n", got.body)
            self.assertEqual(1, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())

    def test_silent_server_is_kept_where_no_other_may_be_asked(self) -> None:
        """Guards against losing an answer that is only late.

        A full engine defers a turn for 2 s in favor of more urgent ones, and
        the route allows no further attempt.
        """

        async def pause_mid_stream(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(encode_stream(seen, encode_events(1, 1), end=False))
            await writer.drain()
            await asyncio.sleep(2.0)
            part = encode_events(2, 2)
            writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(part), part))

        async def scenario() -> None:
            rig = Rig(
                RouteKind.STREAM,
                resumable=True,
                max_attempts=1,
                timeout_ms=4_000,
            )
            await rig.start(pause_mid_stream)
            got = await rig.ask()
            self.assertTrue(got.is_complete)
            self.assertEqual(encode_events(1, 2), got.body)
            await rig.stop()

        self.run_within_limit(scenario())
