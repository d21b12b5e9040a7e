"""A gateway between callers and servers that fail in every way."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING, Any, cast

import testtools

from catkinpin import clock
from catkinpin.adapters.gateway.ports import HeaderCodec, Sending
from catkinpin.adapters.gateway.serving import Serving
from catkinpin.adapters.gateway.turns import Ran, Started, Unknown
from catkinpin.adapters.gateway.view import View
from catkinpin.adapters.http.client import Pool
from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.http.server import HttpServer
from catkinpin.core import keeping
from catkinpin.core.balance import Balancer
from catkinpin.core.calls import AnswerFacts, RouteCall
from catkinpin.core.fleet import Instance, ServerState
from catkinpin.core.ledger import Denial
from catkinpin.core.routes import (
    CallerLimits,
    Engine,
    Route,
    RouteKind,
    Routing,
    Service,
    Share,
)
from catkinpin.core.urgency import Standing
from tests.fakes.rawserver import RawServer, Seen, sealed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    Answer = Callable[[Seen, asyncio.StreamWriter], Awaitable[None]]

_WAIT_S = 8.0


def _call(headers: Headers) -> RouteCall:
    return RouteCall(
        attempt=headers.get(b"Request-Id"),
        deadline_ms=int(headers.get(b"Deadline") or 0),
        program=headers.get(b"Program"),
        budget=int(headers.get(b"Budget") or -1),
        most_tokens=10,
        previous=headers.get(b"Previous"),
    )


def _to_server(headers: Headers, call: RouteCall, sending: Sending) -> Headers:
    out = headers.end_to_end(frozenset({b"deadline"}))
    out.add(b"Deadline", b"%d" % sending.left_ms)
    out.add(b"Expect-Server", sending.server.encode())
    if sending.resume_at:
        out.add(b"Resume-At", sending.resume_at.encode())
    return out


def _answer(headers: Headers) -> AnswerFacts:
    return AnswerFacts(
        attempt=headers.get(b"Request-Id"),
        is_sealed=bool(headers.get(b"Sealed")),
        not_run=bool(headers.get(b"Not-Run")),
        load=None,
    )


def _refusal(attempt: str, retry_s: float) -> Headers:
    out = Headers([(b"Request-Id", attempt.encode())])
    if retry_s:
        out.add(b"Retry-After", b"%.2f" % retry_s)
    return out


class _Turns:
    """Stands in for the keepers: what it is asked and what it answers."""

    def __init__(self) -> None:
        self.begin_with: Started | Denial | Unknown = Started(
            b"", Standing(), ""
        )
        self.finish_with = ""
        self.finished: list[bytes] = []
        self.settled: list[int] = []
        self.crashes: list[tuple[str, str]] = []
        self.finishing = asyncio.Event()
        self.finishing.set()

    async def begin(self, *_: object) -> Started | Denial | Unknown:
        return self.begin_with

    async def finish(self, call: RouteCall, data: bytes, ran: Ran) -> str:
        self.finished.append(data)
        await self.finishing.wait()
        return self.finish_with

    def settle(self, call: RouteCall, ran: Ran) -> None:
        self.settled.append(ran.tokens)

    async def report_crash(self, content: str, server: str) -> None:
        self.crashes.append((content, server))


@dataclasses.dataclass
class Answered:
    """What a caller got; `whole` is False where the answer broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool
    took_s: float


class _Rig:
    """A gateway's serving before servers of the test's."""

    def __init__(self, kind: RouteKind, **route: Any) -> None:
        self.turns = _Turns()
        self.servers: list[RawServer] = []
        self.view = View(clock.system_clock(), lambda _: None)
        told = {
            "name": "r",
            "host": "h",
            "prefix": "/x/",
            "kind": kind,
            "shares": [Share(service="s", weight=1)],
            "timeout_ms": 1_500,
            "target_ms": 100.0,
            "rank": 0,
            "max_attempts": 2,
            "keeps_history": False,
            "retain_ms": 1_000,
            "affine": False,
            "resumable": False,
            **route,
        }
        engine = Engine(slots=4, memory_tokens=1_000, event_tokens=2)
        service = Service(
            name="s", health_path="/", max_connections=50, engine=engine
        )
        routing = Routing(
            version=1,
            routes=[Route(**told)],
            services=[service],
            limits=CallerLimits(),
        )
        self.view.replace(routing)
        self.view.take(keeping.RoutingNow(version=1, is_current=True))
        codec = HeaderCodec(_call, _to_server, _answer, _refusal)
        self.serving = Serving(
            self.view,
            Balancer("a", {"a": "r"}, random.Random(1)),
            Pool(),
            cast("Any", self.turns),
            codec,
            clock.system_clock(),
            lambda: 1,
        )
        self.http = HttpServer(self.serving.handle)
        self.address = ""

    async def start(self, *answers: Answer) -> None:
        self.address = await self.http.start("127.0.0.1:0")
        for number, answer in enumerate(answers):
            server = RawServer(answer)
            await server.start()
            self.servers.append(server)
            instance = Instance(
                id=f"s{number}",
                service="s",
                address=server.address,
                domain="a",
                state=ServerState.READY,
                born_ms=1,
                sequence=1,
                slots=4,
            )
            self.view.fleet.apply(instance)

    async def stop(self) -> None:
        await self.http.stop()
        for server in self.servers:
            await server.stop()

    def runs(self) -> int:
        """Returns how many requests reached a server."""
        return sum(len(server.seen) for server in self.servers)

    async def ask(
        self, name: str = "q1", body: bytes = b"in", **headers: str
    ) -> Answered:
        """Sends a request as a caller does."""
        loop = asyncio.get_running_loop()
        start = loop.time()
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["POST /x/y?z=1 HTTP/1.1", "Host: h", f"Request-Id: {name}"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        data, whole = b"", True
        try:
            while part := await reader.read(65_536):
                data += part
        except ConnectionError:
            whole = False
        writer.close()
        return _parsed(data, whole, loop.time() - start)


def _parsed(data: bytes, whole: bool, took_s: float) -> Answered:
    head, _, body = data.partition(b"\r\n\r\n")
    if not head:
        return Answered(0, {}, b"", False, took_s)
    first, *lines = head.decode().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    if headers.get("transfer-encoding") == "chunked":
        body, ended = _unchunk(body)
        whole = whole and ended
    return Answered(int(first.split()[1]), headers, body, whole, took_s)


def _unchunk(data: bytes) -> tuple[bytes, bool]:
    out = b""
    while data:
        size, _, rest = data.partition(b"\r\n")
        count = int(size, 16)
        if not count:
            return out, True
        out += rest[:count]
        data = rest[count + 2 :]
    return out, False


async def _good(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed(seen, b"fine"))


async def _full(seen: Seen, writer: asyncio.StreamWriter) -> None:
    status = "503 Service Unavailable"
    writer.write(sealed(seen, b"", status, Not_Run="1"))


async def _dies(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.transport.abort()


async def _mute(seen: Seen, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(_WAIT_S)


def _events(first: int, last: int) -> bytes:
    return b"".join(
        b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, last + 1)
    )


def _stream(seen: Seen, *parts: bytes, end: bool = True) -> bytes:
    name = seen.headers["request-id"]
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nSealed: yes\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
    return head + chunks + (b"0\r\n\r\n" if end else b"")


async def _streams(seen: Seen, writer: asyncio.StreamWriter) -> None:
    writer.write(_stream(seen, _events(1, 3)))


class _Case(testtools.TestCase):
    """Runs a play within a bounded time."""

    def play(self, work: Coroutine[Any, Any, None]) -> None:
        async def bounded() -> None:
            await asyncio.wait_for(work, _WAIT_S)

        asyncio.run(bounded())


class PlainTest(_Case):
    """Requests that are answered as a whole."""

    def test_request_and_answer_pass_unchanged(self) -> None:
        """A tool call on a good day; nothing of it is rewritten."""

        async def work() -> None:
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(_good)
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
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(_dies, _dies)
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
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(_full, _full, _good)
            got = await rig.ask()
            self.assertEqual((200, b"fine"), (got.status, got.body))
            await rig.stop()

        self.play(work())

    def test_all_servers_full_is_refused_at_once_as_not_run(self) -> None:
        """No server has room; the caller is told when to come back."""

        async def work() -> None:
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(_full, _full)
            got = await rig.ask()
            self.assertEqual(503, got.status)
            self.assertIn("retry-after", got.headers)
            self.assertLess(got.took_s, 0.5)
            await rig.stop()

        self.play(work())

    def test_idempotent_request_is_asked_again_elsewhere(self) -> None:
        """One server dies, or runs the request and its answer is lost."""

        async def work() -> None:
            for bad in (_dies, _mute):
                rig = _Rig(RouteKind.IDEMPOTENT)
                await rig.start(bad, _good)
                for number in range(4):
                    got = await rig.ask(f"q{number}")
                    self.assertEqual((200, b"fine"), (got.status, got.body))
                await rig.stop()

        self.play(work())

    def test_answer_without_a_seal_is_no_success(self) -> None:
        """Something answers 200 that is not the server's own answer."""

        async def unsealed(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, b"forged", Sealed=""))

        async def work() -> None:
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
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
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(busy)
            got = await rig.ask()
            self.assertEqual(502, got.status)
            self.assertNotIn("sealed", got.headers)
            await rig.stop()

        self.play(work())

    def test_silent_server_costs_no_more_than_the_deadline(self) -> None:
        """A server takes a request and never answers."""

        async def work() -> None:
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(_mute)
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
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(_good)
            rig.serving.is_closing = True
            got = await rig.ask()
            self.assertEqual(503, got.status)
            self.assertEqual(0, rig.runs())
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
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
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
            rig = _Rig(RouteKind.NON_IDEMPOTENT)

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
            rig = _Rig(RouteKind.NON_IDEMPOTENT)
            await rig.start(_dies)
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
            rig = _Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(_streams)
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
            self.assertEqual(_events(1, 3), got.body)
            self.assertEqual(b"before in", rig.servers[0].seen[0].body)
            self.assertEqual([b"ine1\ne2\ne3\n"], rig.turns.finished)
            self.assertEqual([], rig.turns.settled)
            await rig.stop()

        self.play(work())

    def test_turn_that_was_not_stored_does_not_look_whole(self) -> None:
        """No quorum is there at the end of a turn."""

        async def work() -> None:
            rig = _Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(_streams)
            rig.turns.finish_with = "no quorum"
            got = await rig.ask(Program="p")
            self.assertFalse(got.whole)
            await rig.stop()

        self.play(work())

    def test_denied_turns_reach_no_server(self) -> None:
        """The budget is spent, a turn doesn't exist, or nobody can tell."""

        async def work() -> None:
            rig = _Rig(RouteKind.STREAM, keeps_history=True)
            await rig.start(_streams)
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
            part = _events(1, 2) + b"id: 3\nda"
            writer.write(_stream(seen, part, end=False))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        async def work() -> None:
            rig = _Rig(RouteKind.STREAM, keeps_history=True)
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
                writer.write(_stream(seen, _events(int(resumed) + 1, 4)))
                return
            part = _events(1, 2) + b"id: 3\nda"
            writer.write(_stream(seen, part, end=False))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.transport.abort()

        async def work() -> None:
            rig = _Rig(RouteKind.STREAM, resumable=True)
            await rig.start(first, first)
            got = await rig.ask()
            self.assertTrue(got.whole)
            self.assertEqual(_events(1, 4), got.body)
            self.assertEqual(2, rig.runs())
            await rig.stop()

        self.play(work())

    def test_silent_server_is_kept_where_no_other_may_be_asked(self) -> None:
        """A full engine puts a turn back behind more urgent ones for 2 s.

        Broken off, an answer that was only late would be lost.
        """

        async def slow(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(_stream(seen, _events(1, 1), end=False))
            await writer.drain()
            await asyncio.sleep(2.0)
            part = _events(2, 2)
            writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(part), part))

        async def work() -> None:
            rig = _Rig(
                RouteKind.STREAM,
                resumable=True,
                max_attempts=1,
                timeout_ms=4_000,
            )
            await rig.start(slow)
            got = await rig.ask()
            self.assertTrue(got.whole)
            self.assertEqual(_events(1, 2), got.body)
            await rig.stop()

        self.play(work())
