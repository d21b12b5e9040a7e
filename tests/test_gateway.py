"""A gateway between callers and servers that fail in every way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import testtools

from catkinpin.adapters.gateway.turns import Started, Unknown
from catkinpin.core import keeping
from catkinpin.core.ledger import Denial
from catkinpin.core.routes import (
    RouteKind,
)
from catkinpin.core.urgency import Standing
from tests.fakes.rawserver import Seen, sealed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    Answer = Callable[[Seen, asyncio.StreamWriter], Awaitable[None]]

from tests.fakes.gatewayrig import (
    WAIT_S,
    Rig,
    dies,
    events,
    full,
    good,
    mute,
    stream,
    streams,
)


class _Case(testtools.TestCase):
    """Runs a play within a bounded time."""

    def play(self, work: Coroutine[Any, Any, None]) -> None:
        async def bounded() -> None:
            await asyncio.wait_for(work, WAIT_S)

        asyncio.run(bounded())


class PlainTest(_Case):
    """Requests that are answered as a whole."""

    def test_request_that_comes_before_the_routes_is_served(self) -> None:
        """Everything was restarted; callers are back before a leader is.

        A gateway that refuses them has them come back later, or give up.
        """

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, knows_routes=False)
            await rig.start(good)
            asking = asyncio.ensure_future(rig.ask(Deadline="1000"))
            await asyncio.sleep(0.15)
            self.assertFalse(asking.done())
            rig.learn_routes()
            got = await asking
            self.assertEqual(200, got.status)
            self.assertLess(got.took_s, 0.35)
            await rig.stop()

        self.play(work())

    def test_gateway_that_never_learns_its_routes_refuses_in_time(self) -> None:
        """A gateway comes up cut off from all keepers.

        Its callers are told to go elsewhere, with most of their time left;
        once it has been up for long they are told at once.
        """

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, knows_routes=False)
            await rig.start(good)
            got = await rig.ask(Deadline="500")
            self.assertEqual(503, got.status)
            self.assertLess(got.took_s, 0.35)
            rig.clock.now += 5_000
            got = await rig.ask(Deadline="500")
            self.assertEqual(503, got.status)
            self.assertLess(got.took_s, 0.1)
            self.assertEqual(0, rig.runs())
            await rig.stop()

        self.play(work())

    def test_request_and_answer_pass_unchanged(self) -> None:
        """A tool call on a good day; nothing of it is rewritten."""

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(good)
            got = await rig.ask(body=b"\x00raw", Deadline="900")
            self.assertEqual((200, b"fine"), (got.status, got.body))
            self.assertEqual("yes", got.headers["sealed"])
            (seen,) = rig.servers[0].seen
            self.assertEqual("/x/y?z=1", seen.target)
            self.assertEqual(b"\x00raw", seen.body)
            self.assertEqual("s0", seen.headers["expect-server"])
            self.assertLessEqual(int(seen.headers["deadline"]), 900)
            await rig.stop()

        self.play(work())

    def test_non_idempotent_request_is_never_sent_twice(self) -> None:
        """A server breaks off what it may have run: a payment, say.

        Sent to another server, a customer would be charged twice.
        """

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(dies, dies)
            got = await rig.ask()
            self.assertEqual(502, got.status)
            self.assertNotIn("retry-after", got.headers)
            self.assertEqual(1, rig.runs())
            await rig.stop()

        self.play(work())

    def test_refused_request_goes_to_the_next_server(self) -> None:
        """A server is full and says that it ran nothing.

        Given up on there, a customer would be sent away beside idle servers.
        """

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(full, full, good)
            got = await rig.ask()
            self.assertEqual((200, b"fine"), (got.status, got.body))
            await rig.stop()

        self.play(work())

    def test_all_servers_full_is_refused_at_once_as_not_run(self) -> None:
        """No server has room; the caller is told when to come back."""

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(full, full)
            got = await rig.ask()
            self.assertEqual(503, got.status)
            self.assertIn("retry-after", got.headers)
            self.assertLess(got.took_s, 0.5)
            await rig.stop()

        self.play(work())

    def test_idempotent_request_is_asked_again_elsewhere(self) -> None:
        """One server dies, or runs the request and its answer is lost."""

        async def work() -> None:
            for bad in (dies, mute):
                rig = Rig(RouteKind.IDEMPOTENT)
                await rig.start(bad, good)
                for number in range(4):
                    got = await rig.ask(f"q{number}")
                    self.assertEqual((200, b"fine"), (got.status, got.body))
                await rig.stop()

        self.play(work())

    def test_no_more_servers_run_a_request_than_its_route_allows(self) -> None:
        """Every server runs the request and breaks off, time after time.

        Asked one after the other, all of them would do the same work at once
        in the worst minute.
        """

        async def work() -> None:
            for kind in (RouteKind.IDEMPOTENT, RouteKind.STREAM):
                rig = Rig(kind, resumable=True, max_attempts=2)
                await rig.start(dies, dies, dies, dies)
                got = await rig.ask()
                self.assertEqual(502, got.status)
                self.assertEqual(2, rig.runs(), kind)
                await rig.stop()

        self.play(work())

    def test_answer_without_a_seal_is_no_success(self) -> None:
        """Something answers 200 that is not the server's own answer."""

        async def unsealed(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, b"forged", Sealed=""))

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(unsealed)
            got = await rig.ask()
            self.assertEqual((502, b""), (got.status, got.body))
            await rig.stop()

        self.play(work())

    def test_promise_that_no_server_made_is_not_passed_on(self) -> None:
        """A server ran the request and answers 503 without saying 'not run'.

        Passed on, the status would let the caller repeat what has run.
        """

        async def busy(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, b"", "503 Service Unavailable"))

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(busy)
            got = await rig.ask()
            self.assertEqual(502, got.status)
            self.assertNotIn("sealed", got.headers)
            await rig.stop()

        self.play(work())

    def test_silent_server_costs_no_more_than_the_deadline(self) -> None:
        """A server takes a request and never answers."""

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(mute)
            got = await rig.ask(Deadline="300")
            self.assertEqual(504, got.status)
            self.assertLess(got.took_s, 0.6)
            await rig.stop()

        self.play(work())

    def test_stopping_gateway_refuses_what_comes_late(self) -> None:
        """Most hosts of a failure domain stop; the balancer sends on to all.

        Taken seconds after the order to stop, a request is cut off at the end.
        """

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(good)
            rig.serving.ends_s = asyncio.get_running_loop().time() + 1.0
            got = await rig.ask()
            self.assertEqual(503, got.status)
            self.assertEqual(0, rig.runs())
            await rig.stop()

        self.play(work())

    def test_stopping_gateway_serves_what_ends_in_time(self) -> None:
        """A caller's open connection outlives the order to stop by seconds.

        Refused, its request would cost it a try, though the gateway goes on
        for ten times as long as such a request takes.
        """

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(good)
            rig.serving.ends_s = asyncio.get_running_loop().time() + 5.0
            got = await rig.ask()
            self.assertEqual(200, got.status)
            self.assertEqual(1, rig.runs())
            await rig.stop()

        self.play(work())

    def test_caller_that_leaves_frees_its_server(self) -> None:
        """A caller goes away; its server would work on for nobody."""
        closed = asyncio.Event()

        async def watch(seen: Seen, writer: asyncio.StreamWriter) -> None:
            assert seen.reader is not None
            await seen.reader.read()
            closed.set()

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(watch)
            asking = asyncio.ensure_future(rig.ask())
            while not rig.runs():
                await asyncio.sleep(0.01)
            asking.cancel()
            for connection in list(rig.http.connections):
                connection.abort()
            await asyncio.wait_for(closed.wait(), 0.5)
            await rig.stop()

        self.play(work())

    def test_crash_is_reported_and_quarantined_content_refused(self) -> None:
        """A request crashes whatever server runs it, and comes again.

        Under a new id it looks like any other, and costs a server each time.
        """

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)

            async def crash(seen: Seen, writer: asyncio.StreamWriter) -> None:
                await rig.servers[0].stop()
                writer.transport.abort()

            await rig.start(crash)
            await rig.ask("q1", body=b"poison")
            while not rig.turns.crashes:
                await asyncio.sleep(0.01)
            content, _ = rig.turns.crashes[0]
            rig.view.take(keeping.QuarantineNow(contents=[content]))
            got = await rig.ask("q2", body=b"poison")
            self.assertEqual(503, got.status)
            self.assertEqual(1, rig.runs())
            await rig.stop()

        self.play(work())

    def test_break_without_a_crash_is_no_strike(self) -> None:
        """A connection is reset, but its server lives on.

        Counted as a crash, innocent requests would be quarantined.
        """

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(dies)
            await rig.ask()
            await asyncio.sleep(0.1)
            self.assertEqual([], rig.turns.crashes)
            await rig.stop()

        self.play(work())


class StreamTest(_Case):
    """Turns and other streams."""

    def test_turn_ends_only_once_it_lasts(self) -> None:
        """The keepers take a moment to store a turn.

        Ended before, the caller would build its next turn on one that a loss
        of power can still take.
        """

        async def work() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(streams)
            rig.turns.begin_with = Started(b"before ", Standing(), "")
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
            self.assertEqual(b"before in", rig.servers[0].seen[0].body)
            self.assertEqual([b"ine1\ne2\ne3\n"], rig.turns.finished)
            self.assertEqual([], rig.turns.settled)
            await rig.stop()

        self.play(work())

    def test_engine_that_fails_at_once_draws_no_turns(self) -> None:
        """An engine answers each turn with 500 after a ms, and so seems idle.

        Its callers ask again and again; most turns went there, and programs
        failed while the other engine had room.
        """

        async def fails(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, b"", "500 Failed"))

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

        async def some_fail(seen: Seen, writer: asyncio.StreamWriter) -> None:
            nonlocal count
            count += 1
            status = "500 Failed" if count % 2 else "200 OK"
            writer.write(sealed(seen, b"x", status))

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

        async def half(seen: Seen, writer: asyncio.StreamWriter) -> None:
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

        async def first(seen: Seen, writer: asyncio.StreamWriter) -> None:
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

        async def slow(seen: Seen, writer: asyncio.StreamWriter) -> None:
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
