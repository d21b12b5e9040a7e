"""Plain requests through a gateway, with failing servers and callers."""

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
    abort_connection,
    answer_ok,
    never_answer,
    refuse_full,
)


class PlainTest(GatewayCase):
    """Requests that get one complete answer."""

    def test_request_that_comes_before_the_routes_is_served(self) -> None:
        """Guards against refusing requests that arrive just after a restart.

        All processes were restarted and no leader is elected yet. Refused
        callers would retry later or give up.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, knows_routes=False)
            await rig.start(answer_ok)
            response = asyncio.ensure_future(rig.ask(Deadline="1000"))
            await asyncio.sleep(0.15)
            self.assertFalse(response.done())
            rig.publish_routes()
            got = await response
            self.assertEqual(200, got.status)
            self.assertLess(got.took_s, 0.35)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_gateway_that_never_learns_its_routes_refuses_in_time(self) -> None:
        """Guards against holding callers that this gateway can't serve.

        A gateway starts without a link to any keeper. It refuses callers while
        most of their time is left, and immediately once it has been up for
        long.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, knows_routes=False)
            await rig.start(answer_ok)
            got = await rig.ask(Deadline="500")
            self.assertEqual(503, got.status)
            self.assertLess(got.took_s, 0.35)
            rig.clock.shift_ms += 5_000
            got = await rig.ask(Deadline="500")
            self.assertEqual(503, got.status)
            self.assertLess(got.took_s, 0.1)
            self.assertEqual(0, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())

    def test_request_and_answer_pass_unchanged(self) -> None:
        """Guards against altering a request or its answer."""

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(answer_ok)
            got = await rig.ask(body=b"\x00raw", Deadline="900")
            self.assertEqual((200, b"fine"), (got.status, got.body))
            self.assertEqual("yes", got.headers["sealed"])
            (seen,) = rig.servers[0].requests
            self.assertEqual("/x/y?z=1", seen.target)
            self.assertEqual(b"\x00raw", seen.body)
            self.assertEqual("s0", seen.headers["expect-server"])
            self.assertLessEqual(int(seen.headers["deadline"]), 900)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_non_idempotent_request_is_never_sent_twice(self) -> None:
        """Guards against running a request twice, such as a payment.

        A server aborts the connection of a request that it may have run. A
        second server would charge the customer again.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(abort_connection, abort_connection)
            got = await rig.ask()
            self.assertEqual(502, got.status)
            self.assertNotIn("retry-after", got.headers)
            self.assertEqual(1, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())

    def test_refused_request_goes_to_the_next_server(self) -> None:
        """Guards against refusing a request while other servers are idle.

        A server is full and states that it did not run the request.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(refuse_full, refuse_full, answer_ok)
            got = await rig.ask()
            self.assertEqual((200, b"fine"), (got.status, got.body))
            await rig.stop()

        self.run_within_limit(scenario())

    def test_all_servers_full_is_refused_at_once_as_not_run(self) -> None:
        """Guards against late or unhelpful refusals if no server has room."""

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(refuse_full, refuse_full)
            got = await rig.ask()
            self.assertEqual(503, got.status)
            self.assertIn("retry-after", got.headers)
            self.assertLess(got.took_s, 0.5)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_idempotent_request_is_asked_again_elsewhere(self) -> None:
        """Guards against errors if one server aborts or never answers."""

        async def scenario() -> None:
            for failing_server in (abort_connection, never_answer):
                rig = Rig(RouteKind.IDEMPOTENT)
                await rig.start(failing_server, answer_ok)
                for number in range(4):
                    got = await rig.ask(f"q{number}")
                    self.assertEqual((200, b"fine"), (got.status, got.body))
                await rig.stop()

        self.run_within_limit(scenario())

    def test_no_more_servers_run_a_request_than_its_route_allows(self) -> None:
        """Guards against retrying a request on every server.

        Each server runs the request and then aborts the connection. Without a
        limit all servers would do the same scenario at once during an overload.
        """

        async def scenario() -> None:
            for kind in (RouteKind.IDEMPOTENT, RouteKind.STREAM):
                rig = Rig(kind, resumable=True, max_attempts=2)
                await rig.start(
                    abort_connection,
                    abort_connection,
                    abort_connection,
                    abort_connection,
                )
                got = await rig.ask()
                self.assertEqual(502, got.status)
                self.assertEqual(2, rig.count_server_requests(), kind)
                await rig.stop()

        self.run_within_limit(scenario())

    def test_answer_without_a_seal_is_no_success(self) -> None:
        """Guards against forwarding a 200 that the server did not seal."""

        async def answer_unsealed(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"forged", Sealed=""))

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(answer_unsealed)
            got = await rig.ask()
            self.assertEqual((502, b""), (got.status, got.body))
            await rig.stop()

        self.run_within_limit(scenario())

    def test_promise_that_no_server_made_is_not_passed_on(self) -> None:
        """Guards against a status that lets a caller repeat what has run.

        A server ran the request and answers 503 without the not-run header.
        """

        async def answer_503(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"", "503 Service Unavailable"))

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(answer_503)
            got = await rig.ask()
            self.assertEqual(502, got.status)
            self.assertNotIn("sealed", got.headers)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_silent_server_costs_no_more_than_the_deadline(self) -> None:
        """Guards against waiting past the deadline for a silent server."""

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(never_answer)
            got = await rig.ask(Deadline="300")
            self.assertEqual(504, got.status)
            self.assertLess(got.took_s, 0.6)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_answer_that_has_started_is_not_begun_again(self) -> None:
        """Guards against two answers to one request on its connection.

        A large answer takes longer than the share of the time after which
        another server may be tried.
        """

        async def answer_slowly(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"x" * 600_000)[:-1])
            await asyncio.sleep(0.9)
            writer.write(b"x")

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False)
            await rig.start(answer_slowly, answer_slowly)
            got = await rig.ask()
            self.assertEqual((200, 600_000), (got.status, len(got.body)))
            self.assertEqual(1, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())

    def test_stopping_gateway_refuses_what_comes_late(self) -> None:
        """Guards against accepting requests that the stop would abort.

        Most hosts of a failure domain stop while the load balancer still sends
        them requests, seconds after the order to stop.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(answer_ok)
            rig.handler.stop_deadline_s = (
                asyncio.get_running_loop().time() + 1.0
            )
            got = await rig.ask()
            self.assertEqual(503, got.status)
            self.assertEqual(0, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())

    def test_stopping_gateway_serves_what_ends_in_time(self) -> None:
        """Guards against refusing requests that would end before the stop.

        A caller's open connection outlives the order to stop by seconds. A
        refusal would cost an attempt, though the gateway keeps running for ten
        times as long as such a request takes.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(answer_ok)
            rig.handler.stop_deadline_s = (
                asyncio.get_running_loop().time() + 5.0
            )
            got = await rig.ask()
            self.assertEqual(200, got.status)
            self.assertEqual(1, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())

    def test_caller_that_leaves_frees_its_server(self) -> None:
        """Guards against servers that keep working for a caller that left."""
        closed = asyncio.Event()

        async def wait_for_close(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            assert seen.reader is not None
            await seen.reader.read()
            closed.set()

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(wait_for_close)
            response = asyncio.ensure_future(rig.ask())
            while not rig.count_server_requests():
                await asyncio.sleep(0.01)
            response.cancel()
            for connection in list(rig.http.connections):
                connection.abort()
            await asyncio.wait_for(closed.wait(), 0.5)
            await rig.stop()

        self.run_within_limit(scenario())

    def test_crash_is_reported_and_quarantined_content_refused(self) -> None:
        """Guards against a request that crashes one server after another.

        Each retry has a new id, so only its content identifies the request.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)

            async def crash_server(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                await rig.servers[0].stop()
                writer.transport.abort()

            await rig.start(crash_server)
            await rig.ask("q1", body=b"poison")
            while not rig.turns.crashes:
                await asyncio.sleep(0.01)
            content, _ = rig.turns.crashes[0]
            rig.view.handle(protocol.QuarantineUpdate(contents=[content]))
            got = await rig.ask("q2", body=b"poison")
            self.assertEqual(503, got.status)
            self.assertEqual(1, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(scenario())

    def test_break_without_a_crash_is_no_strike(self) -> None:
        """Guards against quarantining requests after a mere reset.

        A connection is reset while its server keeps running.
        """

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(abort_connection)
            await rig.ask()
            await asyncio.sleep(0.1)
            self.assertEqual([], rig.turns.crashes)
            await rig.stop()

        self.run_within_limit(scenario())
