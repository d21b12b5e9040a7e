"""An HTTP/1.1 server that hands whole requests to a handler.

One request at a time is handled on a connection; what is pipelined waits. A
request's body is read whole before the handler sees it.
"""

from __future__ import annotations

import asyncio
import dataclasses
import http
import logging
from typing import TYPE_CHECKING, cast

import httptools

from catkinpin import listening
from catkinpin.adapters.http.headers import Headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)

# Bytes that wait for a slow caller before the sender waits, too.
_WRITE_BUFFER_BYTES = 64 * 1024
# Pipelined requests read ahead; a caller that sends more is not read.
_MAX_AHEAD = 4


@dataclasses.dataclass
class ServerLimits:
    """What a caller may send, and how long it may take.

    Attributes:
        header_bytes: most bytes of a request's head.
        body_bytes: most bytes of a request's body.
        header_timeout_s: longest from a head's first byte to its last.
        idle_timeout_s: longest that a connection stays open unused.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass
class Request:
    """A whole request.

    Attributes:
        target: path and query as they came.
        version: as in '1.1'.
        arrived_s: the loop's time at which its head was read.
        disconnected: set once the caller has left.
    """

    method: bytes
    target: bytes
    version: str
    headers: Headers
    body: bytes
    arrived_s: float
    disconnected: asyncio.Event


class Responder:
    """Writes the response to one request."""

    def __init__(self, conn: Connection, version: str) -> None:
        self._conn = conn
        self._version = version
        self._chunked = False
        self.started = False
        self.finished = False
        self.status = 0

    @property
    def is_disconnected(self) -> bool:
        """Whether the caller has left."""
        return self._conn.closed

    def start(
        self,
        status: int,
        headers: Headers,
        length: int | None,
        reason: bytes = b"",
    ) -> None:
        """Writes the head.

        Args:
            status: the status code.
            headers: end-to-end fields.
            length: bytes of the body; None where not known yet.
            reason: the reason phrase; empty for the usual one.
        """
        self.started = True
        self.status = status
        self._chunked = length is None and self._version == "1.1"
        if length is None and not self._chunked:
            self._conn.close_after = True
        head = [b"HTTP/1.1 %d %s\r\n" % (status, reason or _phrase(status))]
        head.append(headers.encode())
        if self._chunked:
            head.append(b"Transfer-Encoding: chunked\r\n")
        elif length is not None and status >= 200 and status != 204:
            head.append(b"Content-Length: %d\r\n" % length)
        if self._conn.close_after:
            head.append(b"Connection: close\r\n")
        elif self._version == "1.0":
            head.append(b"Connection: keep-alive\r\n")
        head.append(b"\r\n")
        self._conn.write(b"".join(head))

    def write(self, data: bytes) -> None:
        """Writes a part of the body."""
        if not data:
            return
        if self._chunked:
            data = b"%x\r\n" % len(data) + data + b"\r\n"
        self._conn.write(data)

    async def drain(self) -> None:
        """Waits while a slow caller has much to read."""
        await self._conn.drain()

    def finish(self) -> None:
        """Ends the body."""
        if self._chunked:
            self._conn.write(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Breaks the response off, so that it can't look complete."""
        self._conn.abort()

    def answer(
        self,
        status: int,
        headers: Headers | None = None,
        body: bytes = b"",
        reason: bytes = b"",
    ) -> None:
        """Writes a whole response."""
        self.start(status, headers or Headers(), len(body), reason)
        self.write(body)
        self.finish()


class HttpServer:
    """Listens and keeps track of its connections.

    Args:
        handler: answers one request; may raise nothing.
        limits: what callers may send; read anew for each request.
    """

    def __init__(
        self,
        handler: Callable[[Request, Responder], Awaitable[None]],
        limits: Callable[[], ServerLimits] = ServerLimits,
    ) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[Connection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None

    async def start(self, address: str) -> str:
        """Listens and returns the address with its real port."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        sock = listening.claim(address)
        if sock is not None:
            self._server = await loop.create_server(
                lambda: Connection(self), sock=sock, backlog=listening.BACKLOG
            )
        else:
            self._server = await loop.create_server(
                lambda: Connection(self),
                host,
                int(port),
                backlog=listening.BACKLOG,
            )
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def count_busy(self) -> int:
        """Returns how many requests are being read or answered."""
        return sum(conn.is_busy for conn in self.connections)

    def close_when_answered(self) -> None:
        """Has each connection closed with its next answer."""
        self.closing = True
        for conn in self.connections:
            conn.close_after = True

    def close_idle(self) -> None:
        """Closes the connections on which nothing is under way."""
        for conn in list(self.connections):
            if not conn.is_busy:
                conn.close()

    async def stop(self) -> None:
        """Stops listening and cuts what is left."""
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.abort()


class Connection(asyncio.Protocol):
    """One caller's connection."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._waiting: list[Request] = []
        self._task: asyncio.Task[None] | None = None
        self._current: Request | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._drained = asyncio.Event()
        self._drained.set()
        self._refused = False
        self.closed = False
        self.close_after = server.closing
        self._reading = False
        self._begin_request()

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._reading or bool(self._waiting) or self._task is not None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the transport."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._server.connections.add(self)
        self._wait_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells whoever answers that the caller has left."""
        self.closed = True
        self._server.connections.discard(self)
        self._drained.set()
        self._cancel_timer()
        if self._current is not None:
            self._current.disconnected.set()
        for request in self._waiting:
            request.disconnected.set()

    def data_received(self, data: bytes) -> None:
        """Parses what came."""
        if self._refused:
            return
        if not self._reading:
            self._reading = True
            self._arm(self._server.limits().header_timeout_s, self._late)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "an upgrade is not served")
        except httptools.HttpParserError as exc:
            # The parser wraps what its callbacks raise.
            cause = exc.__context__
            if isinstance(cause, _TooLargeError):
                self._refuse(cause.status, "too large")
            else:
                self._refuse(400, str(exc))
        if not self._refused and not self._in_head_or_body:
            self._reading = False

    def pause_writing(self) -> None:
        """Makes senders wait."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Lets senders go on."""
        self._drained.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._begin_request()
        self._in_head_or_body = True

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._target += url
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header field."""
        self._headers.add(name, value)
        self._count(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Notes the end of the head."""
        self._cancel_timer()
        self._arrived_s = self._loop.time()
        limit = self._server.limits().body_bytes
        length = self._headers.get(b"content-length")
        if length.isdigit() and int(length) > limit:
            raise _TooLargeError(413)
        if self._headers.get(b"expect").lower() == "100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        self._body += data
        if len(self._body) > self._server.limits().body_bytes:
            raise _TooLargeError(413)

    def on_message_complete(self) -> None:
        """Hands the request on."""
        self._in_head_or_body = False
        request = Request(
            method=self._parser.get_method(),
            target=self._target,
            version=self._parser.get_http_version(),
            headers=self._headers,
            body=bytes(self._body),
            arrived_s=self._arrived_s,
            disconnected=asyncio.Event(),
        )
        if not self._parser.should_keep_alive():
            self.close_after = True
        self._waiting.append(request)
        if len(self._waiting) > _MAX_AHEAD:
            self._transport.pause_reading()
        self._next()

    # For the responder.

    def write(self, data: bytes) -> None:
        """Writes bytes; dropped where the caller has left."""
        if not self.closed:
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits while much is still to be sent."""
        await self._drained.wait()

    def close(self) -> None:
        """Closes once everything is written."""
        if not self.closed:
            self._transport.close()

    def abort(self) -> None:
        """Resets the connection."""
        if not self.closed:
            self._transport.abort()

    def _begin_request(self) -> None:
        self._target = b""
        self._headers = Headers()
        self._body = bytearray()
        self._head_bytes = 0
        self._arrived_s = 0.0
        self._in_head_or_body = False

    def _count(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits().header_bytes:
            raise _TooLargeError(431)

    def _next(self) -> None:
        if self._task is not None or not self._waiting or self.closed:
            return
        self._cancel_timer()
        self._current = self._waiting.pop(0)
        if len(self._waiting) == _MAX_AHEAD:
            self._transport.resume_reading()
        self._task = self._loop.create_task(self._handle(self._current))

    async def _handle(self, request: Request) -> None:
        responder = Responder(self, request.version)
        try:
            await self._server.handler(request, responder)
        except Exception:
            log.exception("a request failed")
        finally:
            self._current = None
            self._task = None
        if not responder.finished:
            self.abort()
        elif self.close_after and not self._waiting:
            self.close()
        else:
            self._next()
            if not self.is_busy:
                self._wait_idle()

    def _refuse(self, status: int, why: str) -> None:
        """Answers what can't be parsed, once all before it is answered."""
        self._refused = True
        self._reading = False
        log.info("request refused: %s", why, extra={"status": status})
        self.close_after = True
        if self._task is None and not self.closed:
            Responder(self, "1.1").answer(status)
            self.close()

    def _late(self) -> None:
        self._refuse(408, "the head took too long")

    def _wait_idle(self) -> None:
        self._arm(self._server.limits().idle_timeout_s, self._idle)

    def _idle(self) -> None:
        if not self.is_busy:
            self.close()

    def _arm(self, wait_s: float, act: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(wait_s, act)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _TooLargeError(Exception):
    """A request is larger than allowed.

    Attributes:
        status: the status code that says so.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def _phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
