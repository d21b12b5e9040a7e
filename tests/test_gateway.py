"""A gateway between callers and servers that fail in every way."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin.core.control import protocol
from catkinpin.core.control.routes import (
    RouteKind,
)
from tests.fakes.rawserver import ReceivedRequest, sealed_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    Answer = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]

from tests.fakes.gatewaycase import GatewayCase
from tests.fakes.gatewayrig import (
    Rig,
    dies,
    full,
    good,
    mute,
)


class PlainTest(GatewayCase):
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
            (seen,) = rig.servers[0].requests
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

        async def unsealed(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"forged", Sealed=""))

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

        async def busy(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"", "503 Service Unavailable"))

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

        async def watch(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
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

            async def crash(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await rig.servers[0].stop()
                writer.transport.abort()

            await rig.start(crash)
            await rig.ask("q1", body=b"poison")
            while not rig.turns.crashes:
                await asyncio.sleep(0.01)
            content, _ = rig.turns.crashes[0]
            rig.view.handle(protocol.QuarantineUpdate(contents=[content]))
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
