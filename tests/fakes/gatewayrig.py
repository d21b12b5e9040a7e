"""A gateway's serving, with callers and servers that a test decides."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING, Any, cast

from msgspec import structs

from catkinpin import clock
from catkinpin.adapters.gateway.context import Parts
from catkinpin.adapters.gateway.headers import HeaderCodec, Sending
from catkinpin.adapters.gateway.serving import Serving
from catkinpin.adapters.gateway.turns import (
    OverQuota,
    Started,
    TurnResult,
    Unknown,
)
from catkinpin.adapters.gateway.usage import Usage
from catkinpin.adapters.gateway.view import View
from catkinpin.adapters.http.client import Pool
from catkinpin.adapters.http.headers import Headers
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
from catkinpin.core.placement.speeds import Speeds
from catkinpin.core.placement.unresponsive import PendingCalls
from catkinpin.core.placement.urgency import ProgramStatus
from catkinpin.core.requests.calls import AnswerFacts, RouteCall
from tests.fakes.instances import instance
from tests.fakes.rawserver import RawServer, ReceivedRequest, sealed_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.core.control.accounts import ClientAccount
    from catkinpin.core.control.ledger import Denial

    Answer = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]

WAIT_S = 8.0


def _call(headers: Headers) -> RouteCall:
    return RouteCall(
        attempt=headers.get(b"Request-Id"),
        deadline_ms=int(headers.get(b"Deadline") or 0),
        program=headers.get(b"Program"),
        budget=int(headers.get(b"Budget") or -1),
        max_tokens=10,
        previous=headers.get(b"Previous"),
        key_digest=accounts.digest_of(headers.get(b"Key")),
    )


def _to_server(headers: Headers, call: RouteCall, sending: Sending) -> Headers:
    hidden = {b"deadline", b"account"}
    if sending.hides_key:
        hidden.add(b"key")
    out = headers.end_to_end(frozenset(hidden))
    if call.account:
        out.add(b"Account", call.account.encode())
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


class ShiftedClock:
    """The system's clock, put forward by `now` ms."""

    def __init__(self) -> None:
        self.now = 0

    def clock(self) -> clock.Clock:
        """Returns it as what the gateway's parts take."""
        system = clock.system_clock()
        return clock.Clock(
            now_ms=lambda: system.now_ms() + self.now, wall_ms=system.wall_ms
        )


class Turns:
    """Stands in for the keepers: what it is asked and what it answers."""

    def __init__(self) -> None:
        self.begin_with: Started | Denial | OverQuota | Unknown = Started(
            b"", ProgramStatus(), ""
        )
        self.finish_with = ""
        self.finished: list[bytes] = []
        self.settled: list[int] = []
        self.crashes: list[tuple[str, str]] = []
        self.finishing = asyncio.Event()
        self.finishing.set()

    async def begin(self, *_: object) -> Started | Denial | OverQuota | Unknown:
        return self.begin_with

    async def finish(
        self, call: RouteCall, data: bytes, ran: TurnResult
    ) -> str:
        self.finished.append(data)
        await self.finishing.wait()
        return self.finish_with

    def settle(self, call: RouteCall, ran: TurnResult) -> None:
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


class Rig:
    """A gateway's serving before servers of the test's."""

    def __init__(
        self,
        kind: RouteKind,
        *,
        knows_routes: bool = True,
        has_engine: bool = True,
        accounts: list[ClientAccount] | None = None,
        **route: Any,
    ) -> None:
        self.turns = Turns()
        self.servers: list[RawServer] = []
        self.clock = ShiftedClock()
        self.view = View(self.clock.clock(), lambda _: None)
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
            name="s",
            health_path="/",
            max_connections=50,
            engine=engine if has_engine else None,
        )
        routing = Routing(
            version=1,
            routes=[Route(**told)],
            services=[service],
            limits=CallerLimits(),
            accounts=accounts,
        )
        self._routing = routing
        if knows_routes:
            self.learn_routes()
        codec = HeaderCodec(_call, _to_server, _answer, _refusal)
        self.speeds = Speeds()
        self.balancer = Balancer("a", {"a": "r"}, random.Random(1), self.speeds)
        self.usage = Usage(
            cast("Any", None), self.clock.clock(), lambda: 1, set
        )
        self.serving = Serving(
            Parts(
                view=self.view,
                balancer=self.balancer,
                speeds=self.speeds,
                pool=Pool(),
                turns=cast("Any", self.turns),
                codec=codec,
                clock=self.clock.clock(),
                usage=self.usage,
                waiting=PendingCalls(),
                gateways=lambda: 1,
            )
        )
        self.http = HttpServer(self.serving.handle)
        self.address = ""

    def learn_routes(self) -> None:
        """Tells the gateway its routes, as the newest."""
        self.view.replace(self._routing)
        self.view.handle(protocol.RoutingUpdate(version=1, is_current=True))

    def learn_accounts(self, accounts: list[ClientAccount]) -> None:
        """Tells the gateway other accounts, as the newest."""
        version = self._routing.version + 1
        self._routing = structs.replace(
            self._routing, version=version, accounts=accounts
        )
        self.view.replace(self._routing)

    async def start(self, *answers: Answer) -> None:
        self.address = await self.http.start("127.0.0.1:0")
        for number, answer in enumerate(answers):
            server = RawServer(answer)
            await server.start()
            self.servers.append(server)
            told = instance(
                f"s{number}", service="s", address=server.address, slots=4
            )
            self.view.fleet.apply(told)

    async def stop(self) -> None:
        await self.http.stop()
        for server in self.servers:
            await server.stop()

    def runs(self) -> int:
        """Returns how many requests reached a server."""
        return sum(len(server.requests) for server in self.servers)

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


async def good(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answers as it should."""
    writer.write(sealed_answer(seen, b"fine"))


async def full(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Refuses, as not run."""
    status = "503 Service Unavailable"
    writer.write(sealed_answer(seen, b"", status, Not_Run="1"))


async def dies(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Breaks the connection off."""
    writer.transport.abort()


async def mute(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Never answers."""
    await asyncio.sleep(WAIT_S)


def events(first: int, last: int) -> bytes:
    """Returns the events of these numbers."""
    return b"".join(
        b"id: %d\ndata: e%d\n\n" % (n, n) for n in range(first, last + 1)
    )


def stream(seen: ReceivedRequest, *parts: bytes, end: bool = True) -> bytes:
    """Returns an answer of such parts, without its end where `end` is not."""
    name = seen.headers["request-id"]
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\nSealed: yes\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in parts)
    return head + chunks + (b"0\r\n\r\n" if end else b"")


async def streams(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Streams three events and ends."""
    writer.write(stream(seen, events(1, 3)))
