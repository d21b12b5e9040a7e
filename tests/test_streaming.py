"""Streams through a gateway: turns, resumption, servers that fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin.adapters.gateway.turns import Started, Unknown
from catkinpin.core.control.ledger import Denial
from catkinpin.core.control.routes import (
    RouteKind,
)
from catkinpin.core.placement.urgency import ProgramStatus
from tests.fakes.rawserver import ReceivedRequest, sealed_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Answer = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]

from tests.fakes.gatewaycase import GatewayCase
from tests.fakes.gatewayrig import (
    Rig,
    events,
    stream,
    streams,
)


class StreamTest(GatewayCase):
    """Turns and other streams."""

    def test_turn_ends_only_once_it_lasts(self) -> None:
        """The keepers take a moment to store a turn.

        Ended before, the caller would build its next turn on one that a loss
        of power can still take.
        """

        async def work() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(streams)
            rig.turns.begin_with = Started(b"before ", ProgramStatus(), "")
            rig.turns.finishing.clear()
            asking = asyncio.ensure_future(rig.ask(Program="p"))
            while not rig.turns.finished:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            self.assertFalse(asking.done())
            rig.turns.finishing.set()
            got = await asking
            self.assertTrue(got.whole)
            self.assertEqual(events(1, 3), got.body)
            self.assertEqual(b"before in", rig.servers[0].requests[0].body)
            self.assertEqual([b"ine1\ne2\ne3\n"], rig.turns.finished)
            self.assertEqual([], rig.turns.settled)
            await rig.stop()

        self.play(work())

    def test_engine_that_fails_at_once_draws_no_turns(self) -> None:
        """An engine answers each turn with 500 after a ms, and so seems idle.

        Its callers ask again and again; most turns went there, and programs
        failed while the other engine had room.
        """

        async def fails(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"", "500 Failed"))

        async def work() -> None:
            rig = Rig(RouteKind.STREAM, max_attempts=1)
            await rig.start(fails, streams)
            statuses = [(await rig.ask(f"q{n}")).status for n in range(12)]
            self.assertLessEqual(statuses.count(500), 1)
            rig.clock.now += 500
            statuses = [(await rig.ask(f"r{n}")).status for n in range(12)]
            self.assertLessEqual(statuses.count(500), 1)
            await rig.stop()

        self.play(work())

    def test_call_that_fails_for_its_own_reasons_ejects_no_server(
        self,
    ) -> None:
        """Now and then a tool answers 500 to a call that is wrong itself."""
        count = 0

        async def some_fail(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal count
            count += 1
            status = "500 Failed" if count % 2 else "200 OK"
            writer.write(sealed_answer(seen, b"x", status))

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)
            await rig.start(some_fail)
            for number in range(8):
                await rig.ask(f"q{number}")
            balancer = rig.balancer
            now_ms = rig.clock.clock().now_ms()
            (server,) = rig.view.fleet.servers.values()
            self.assertFalse(balancer._is_ejected(server, now_ms))
            await rig.stop()

        self.play(work())

    def test_turn_that_was_not_stored_does_not_look_whole(self) -> None:
        """No quorum is there at the end of a turn."""

        async def work() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(streams)
            rig.turns.finish_with = "no quorum"
            got = await rig.ask(Program="p")
            self.assertFalse(got.whole)
            await rig.stop()

        self.play(work())

    def test_denied_turns_reach_no_server(self) -> None:
        """The budget is spent, a turn doesn't exist, or nobody can tell."""

        async def work() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(streams)
            for begun, status in (
                (Denial.BUDGET_SPENT, 402),
                (Denial.NO_SUCH_TURN, 404),
                (Unknown("no leader"), 503),
            ):
                rig.turns.begin_with = begun
                got = await rig.ask(Program="p", Budget="5")
                self.assertEqual(status, got.status)
            self.assertEqual(0, rig.runs())
            await rig.stop()

        self.play(work())

    def test_broken_stream_settles_what_the_caller_got(self) -> None:
        """A server dies within a turn that may not be resumed."""

        async def half(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            part = events(1, 2) + b"id: 3\nda"
            writer.write(stream(seen, part, end=False))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        async def work() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(half, half)
            got = await rig.ask(Program="p")
            self.assertFalse(got.whole)
            self.assertEqual(1, rig.runs())
            # Two events of two tokens each; the third was never whole.
            self.assertEqual([4], rig.turns.settled)
            await rig.stop()

        self.play(work())

    def test_resumable_stream_goes_on_at_another_server(self) -> None:
        """A server dies within an event; the caller sees each event once."""

        async def first(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            if resumed := seen.headers.get("resume-at"):
                writer.write(stream(seen, events(int(resumed) + 1, 4)))
                return
            part = events(1, 2) + b"id: 3\nda"
            writer.write(stream(seen, part, end=False))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        async def work() -> None:
            rig = Rig(RouteKind.STREAM, resumable=True)
            await rig.start(first, first)
            got = await rig.ask()
            self.assertTrue(got.whole)
            self.assertEqual(events(1, 4), got.body)
            self.assertEqual(2, rig.runs())
            await rig.stop()

        self.play(work())

    def test_silent_server_is_kept_where_no_other_may_be_asked(self) -> None:
        """A full engine puts a turn back behind more urgent ones for 2 s.

        Broken off, an answer that was only late would be lost.
        """

        async def slow(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(stream(seen, events(1, 1), end=False))
            await writer.drain()
            await asyncio.sleep(2.0)
            part = events(2, 2)
            writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(part), part))

        async def work() -> None:
            rig = Rig(
                RouteKind.STREAM,
                resumable=True,
                max_attempts=1,
                timeout_ms=4_000,
            )
            await rig.start(slow)
            got = await rig.ask()
            self.assertTrue(got.whole)
            self.assertEqual(events(1, 2), got.body)
            await rig.stop()

        self.play(work())
