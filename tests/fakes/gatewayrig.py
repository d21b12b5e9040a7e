"""Runs a gateway's request handler with scripted callers and servers."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING, Any, cast

from msgspec import structs

from catkinpin import clock
from catkinpin.adapters.gateway.context import GatewayContext
from catkinpin.adapters.gateway.headers import ForwardingFields, HeaderCodec
from catkinpin.adapters.gateway.serving import RequestHandler
from catkinpin.adapters.gateway.turnresults import (
    BeginFailed,
    OverCapacity,
    OverQuota,
    StartedTurn,
    TurnResult,
)
from catkinpin.adapters.gateway.usage import UsageReporter
from catkinpin.adapters.gateway.view import GatewayView
from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.http.pool import Pool
from catkinpin.adapters.http.server import HttpServer
from catkinpin.core.control import accounts, protocol
from catkinpin.core.control.routes import (
    CallerLimits,
    Engine,
    Route,
    RouteKind,
    Routing,
    Service,
    Share,
)
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.contention import ContendedServices
from catkinpin.core.placement.hedging import Hedging
from catkinpin.core.placement.speeds import Speeds
from catkinpin.core.placement.subsets import Subsets
from catkinpin.core.placement.unresponsive import PendingCalls
from catkinpin.core.placement.urgency import ProgramStatus
from catkinpin.core.requests.calls import AnswerFacts, RouteCall
from tests.fakes.instances import instance
from tests.fakes.rawserver import RawServer, ReceivedRequest, sealed_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.gateway.work import ServerRun
    from catkinpin.core.control.accounts import ClientAccount
    from catkinpin.core.control.turnrecords import Denial
    from catkinpin.core.requests.digests import RequestDigests

    Answer = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]

TIME_LIMIT_S = 8.0


def _decode_request(headers: Headers) -> RouteCall:
    return RouteCall(
        attempt=headers.get(b"Request-Id"),
        deadline_ms=int(headers.get(b"Deadline") or 0),
        program=headers.get(b"Program"),
        budget=int(headers.get(b"Budget") or -1),
        max_tokens=10,
        previous=headers.get(b"Previous"),
        key_digest=accounts.digest_of(headers.get(b"Key")),
    )


def _encode_for_server(
    headers: Headers, call: RouteCall, fields: ForwardingFields
) -> Headers:
    hidden = {b"deadline", b"account"}
    if fields.strips_key:
        hidden.add(b"key")
    out = headers.end_to_end(frozenset(hidden))
    if call.account:
        out.add(b"Account", call.account.encode())
    out.add(b"Deadline", b"%d" % fields.left_ms)
    out.add(b"Expect-Server", fields.server.encode())
    if fields.resume_at:
        out.add(b"Resume-At", fields.resume_at.encode())
    return out


def _decode_answer(headers: Headers) -> AnswerFacts:
    return AnswerFacts(
        attempt=headers.get(b"Request-Id"),
        is_sealed=bool(headers.get(b"Sealed")),
        not_run=bool(headers.get(b"Not-Run")),
        load=None,
    )


def _encode_refusal(attempt: str, retry_s: float) -> Headers:
    out = Headers([(b"Request-Id", attempt.encode())])
    if retry_s:
        out.add(b"Retry-After", b"%.2f" % retry_s)
    return out


class ShiftedClock:
    """The system's clock, advanced by `shift_ms`."""

    def __init__(self) -> None:
        self.shift_ms = 0

    def clock(self) -> clock.Clock:
        """Returns the clock in the form that the gateway takes."""
        system = clock.system_clock()
        return clock.Clock(
            now_ms=lambda: system.now_ms() + self.shift_ms,
            wall_ms=system.wall_ms,
        )


class FakeTurnClient:
    """Fakes the requests to keepers: records them, returns set results."""

    def __init__(self) -> None:
        self.begin_result: (
            StartedTurn | Denial | OverQuota | OverCapacity | BeginFailed
        ) = StartedTurn(b"", ProgramStatus(), "")
        self.finish_result = ""
        self.finished: list[bytes] = []
        self.settled: list[int] = []
        self.crashes: list[tuple[str, str]] = []
        self.shared_digests: list[str] = []
        self.finishing = asyncio.Event()
        self.finishing.set()

    async def begin(
        self, *_: object
    ) -> StartedTurn | Denial | OverQuota | OverCapacity | BeginFailed:
        return self.begin_result

    async def finish(
        self, call: RouteCall, data: bytes, outcome: TurnResult
    ) -> str:
        self.finished.append(data)
        await self.finishing.wait()
        return self.finish_result

    def settle(self, call: RouteCall, outcome: TurnResult) -> None:
        self.settled.append(outcome.tokens)

    async def report_crash(
        self, digests: RequestDigests, run: ServerRun
    ) -> None:
        self.crashes.append((digests.content, run.server))
        self.shared_digests.append(digests.shared)


@dataclasses.dataclass
class CallerResponse:
    """What a caller received.

    Attributes:
        is_complete: False if the connection broke off.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool
    took_s: float


class Rig:
    """A gateway's request handler and the servers of a test."""

    def __init__(
        self,
        kind: RouteKind,
        *,
        knows_routes: bool = True,
        has_engine: bool = True,
        accounts: list[ClientAccount] | None = None,
        **route: Any,
    ) -> None:
        self.turns = FakeTurnClient()
        self.servers: list[RawServer] = []
        self.clock = ShiftedClock()
        self.view = GatewayView(self.clock.clock(), lambda _: None)
        route_fields = {
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
            name="s",
            health_path="/",
            max_connections=50,
            engine=engine if has_engine else None,
        )
        routing = Routing(
            version=1,
            routes=[Route(**route_fields)],
            services=[service],
            limits=CallerLimits(),
            accounts=accounts,
        )
        self._routing = routing
        if knows_routes:
            self.publish_routes()
        codec = HeaderCodec(
            _decode_request, _encode_for_server, _decode_answer, _encode_refusal
        )
        self.speeds = Speeds()
        self.balancer = Balancer("a", {"a": "r"}, random.Random(1), self.speeds)
        self.pending = PendingCalls()
        self.usage = UsageReporter(
            cast("Any", None), self.clock.clock(), lambda: 1, self.pending
        )
        self.hedging = Hedging()
        self.contention = ContendedServices(configured=False)
        self.pool = Pool()
        self.handler = RequestHandler(
            GatewayContext(
                view=self.view,
                balancer=self.balancer,
                speeds=self.speeds,
                pool=self.pool,
                turns=cast("Any", self.turns),
                codec=codec,
                clock=self.clock.clock(),
                usage=self.usage,
                contention=self.contention,
                subsets=Subsets("g", "a", {"a": "r"}),
                waiting=self.pending,
                hedging=self.hedging,
                gateways=lambda: 1,
            )
        )
        self.http = HttpServer(self.handler.handle)
        self.address = ""

    def publish_routes(self) -> None:
        """Gives the gateway its routes, marked as current."""
        self.view.replace_routes(self._routing)
        self.view.handle(protocol.RoutingUpdate(version=1, is_current=True))

    def publish_accounts(self, accounts: list[ClientAccount]) -> None:
        """Gives the gateway other accounts, as a newer version."""
        version = self._routing.version + 1
        self._routing = structs.replace(
            self._routing, version=version, accounts=accounts
        )
        self.view.replace_routes(self._routing)

    async def start(self, *answers: Answer) -> None:
        self.address = await self.http.start("127.0.0.1:0")
        for number, answer in enumerate(answers):
            server = RawServer(answer)
            await server.start()
            self.servers.append(server)
            announced = instance(
                f"s{number}", service="s", address=server.address, slots=4
            )
            self.view.fleet.apply(announced)

    async def stop(self) -> None:
        await self.http.stop()
        for server in self.servers:
            await server.stop()

    def count_server_requests(self) -> int:
        """Returns how many requests reached a server."""
        return sum(len(server.requests) for server in self.servers)

    async def ask(
        self, name: str = "q1", body: bytes = b"in", **headers: str
    ) -> CallerResponse:
        """Sends a request as a caller does and returns the response."""
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        host, port = self.address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        lines = ["POST /x/y?z=1 HTTP/1.1", "Host: h", f"Request-Id: {name}"]
        lines += [f"{k}: {v}" for k, v in headers.items()]
        lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
        writer.write("\r\n".join(lines).encode() + body)
        data, is_complete = bytearray(), True
        try:
            while part := await reader.read(65_536):
                data += part
        except ConnectionError:
            is_complete = False
        writer.close()
        return _parse_response(bytes(data), is_complete, loop.time() - sent_s)


def _parse_response(
    data: bytes, is_complete: bool, took_s: float
) -> CallerResponse:
    head, _, body = data.partition(b"\r\n\r\n")
    if not head:
        return CallerResponse(0, {}, b"", False, took_s)
    first, *lines = head.decode().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(": ")
        headers[name.lower()] = value
    if headers.get("transfer-encoding") == "chunked":
        body, has_end = _decode_chunks(body)
        is_complete = is_complete and has_end
    return CallerResponse(
        int(first.split()[1]), headers, body, is_complete, took_s
    )


def _decode_chunks(data: bytes) -> tuple[bytes, bool]:
    out = b""
    while data:
        size, _, rest = data.partition(b"\r\n")
        count = int(size, 16)
        if not count:
            return out, True
        out += rest[:count]
        data = rest[count + 2 :]
    return out, False


async def answer_ok(
    seen: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Answers with 200."""
    writer.write(sealed_answer(seen, b"fine"))


async def refuse_full(
    seen: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Refuses with 503 and states that the request was not run."""
    status = "503 Service Unavailable"
    writer.write(sealed_answer(seen, b"", status, Not_Run="1"))


async def abort_connection(
    seen: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Aborts the connection."""
    writer.transport.abort()


async def never_answer(
    seen: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Never answers."""
    await asyncio.sleep(TIME_LIMIT_S)


def encode_events(first: int, last: int) -> bytes:
    """Returns the encoded events with these numbers."""
    return b"".join(
        b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, last + 1)
    )


def encode_stream(
    seen: ReceivedRequest, *parts: bytes, end: bool = True
) -> bytes:
    """Returns a chunked answer; without the final chunk unless `end`."""
    name = seen.headers["request-id"]
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nSealed: yes\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
    return head + chunks + (b"0\r\n\r\n" if end else b"")


async def stream_events(
    seen: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Streams three events, then ends."""
    writer.write(encode_stream(seen, encode_events(1, 3)))
