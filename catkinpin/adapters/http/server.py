"""An HTTP/1.1 server that passes complete requests to a handler.

Each connection handles one request at a time; pipelined requests wait. The
handler is called once the body was read completely.
"""

from __future__ import annotations

import asyncio
import dataclasses
import http
import logging
from typing import TYPE_CHECKING, cast

import httptools

from catkinpin import listening, waiting
from catkinpin.adapters.http.headers import Headers

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)

# Writing to a slow caller pauses while more bytes are buffered.
_WRITE_BUFFER_BYTES = 64 * 1024
# Reading from a caller pauses while more pipelined requests wait.
_MAX_PIPELINED = 4


@dataclasses.dataclass
class ServerLimits:
    """Size and time limits for callers.

    Attributes:
        header_bytes: largest size of a request's head.
        body_bytes: largest size of a request's body.
        header_timeout_s: longest time from a head's first byte to its last.
        idle_timeout_s: idle connections are closed after this time.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass
class Request:
    """A complete request.

    Attributes:
        target: path and query as received.
        version: HTTP version, such as '1.1'.
        arrived_s: the loop's time at which its head was read.
        disconnected: set once the caller has disconnected.
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
        """Whether the caller has disconnected."""
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
            length: the body's size in bytes; None if not known yet.
            reason: the reason phrase; empty for the standard one.
        """
        self.started = True
        self.status = status
        self._chunked = length is None and self._version == "1.1"
        if length is None and not self._chunked:
            self._conn.close_after = True
        head = [
            b"HTTP/1.1 %d %s\r\n" % (status, reason or _default_phrase(status))
        ]
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
        """Waits while the write buffer is full."""
        await self._conn.drain()

    def finish(self) -> None:
        """Marks the end of the body."""
        if self._chunked:
            self._conn.write(b"0\r\n\r\n")
        self.finished = True

    def abort(self) -> None:
        """Resets the connection, so that the response can't look complete."""
        self._conn.abort()

    def answer(
        self,
        status: int,
        headers: Headers | None = None,
        body: bytes = b"",
        reason: bytes = b"",
    ) -> None:
        """Writes a complete response."""
        self.start(status, headers or Headers(), len(body), reason)
        self.write(body)
        self.finish()


class HttpServer:
    """A listening server and its connections.

    Args:
        handler: answers one request; must not raise.
        limits: returns the limits for callers; called for each request.
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
        """Starts to listen; returns the address with the actual port.

        Waits while the port can't be opened.
        """
        loop = asyncio.get_running_loop()
        host, _, _ = address.rpartition(":")
        self._server = await loop.create_server(
            lambda: Connection(self),
            sock=await waiting.open_port(address),
            backlog=listening.BACKLOG,
        )
        return f"{host}:{self._server.sockets[0].getsockname()[1]}"

    def count_busy(self) -> int:
        """Returns the number of connections with unread requests or answers."""
        return sum(c.is_busy or c.has_unsent_bytes for c in self.connections)

    def close_when_answered(self) -> None:
        """Closes each connection after its next response."""
        self.closing = True
        for conn in self.connections:
            conn.close_after = True

    def close_idle(self) -> None:
        """Closes the connections without a request in progress."""
        for conn in list(self.connections):
            if not conn.is_busy:
                conn.close()

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        if self._server is not None:
            self._server.close()
        for conn in list(self.connections):
            conn.abort()


class Connection(asyncio.Protocol):
    """A caller's connection."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined: list[Request] = []
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
        return self._reading or bool(self._pipelined) or self._task is not None

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether written bytes wait until the caller reads."""
        return self._transport.get_write_buffer_size() > 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and starts the idle timer."""
        self._transport = cast("asyncio.Transport", transport)
        self._transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._server.connections.add(self)
        self._start_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Notifies the handlers that the caller has disconnected."""
        self.closed = True
        self._server.connections.discard(self)
        self._drained.set()
        self._cancel_timer()
        if self._current is not None:
            self._current.disconnected.set()
        for request in self._pipelined:
            request.disconnected.set()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._refused:
            return
        if not self._reading:
            self._reading = True
            self._start_timer(
                self._server.limits().header_timeout_s, self._on_header_timeout
            )
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "an upgrade is not served")
        except httptools.HttpParserError as exc:
            # The parser wraps exceptions of its callbacks.
            cause = exc.__context__
            if isinstance(cause, _TooLargeError):
                self._refuse(cause.status, "too large")
            else:
                self._refuse(400, str(exc))
        if not self._refused and not self._in_message:
            self._reading = False

    def pause_writing(self) -> None:
        """Makes `drain` wait."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Lets `drain` return."""
        self._drained.set()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Prepares for a new request."""
        self._begin_request()
        self._in_message = True

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target."""
        self._target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field."""
        self._headers.add(name, value)
        self._count_head_bytes(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Checks the body's stated length once the head is complete."""
        self._cancel_timer()
        self._arrived_s = self._loop.time()
        limit = self._server.limits().body_bytes
        length = self._headers.get(b"content-length")
        if length.isdigit() and int(length) > limit:
            raise _TooLargeError(413)
        if self._headers.get(b"expect").lower() == "100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        self._body += data
        if len(self._body) > self._server.limits().body_bytes:
            raise _TooLargeError(413)

    def on_message_complete(self) -> None:
        """Queues the complete request for the handler."""
        self._in_message = False
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
        self._pipelined.append(request)
        if len(self._pipelined) > _MAX_PIPELINED:
            self._transport.pause_reading()
        self._start_next()

    # Called by the responder.

    def write(self, data: bytes) -> None:
        """Writes bytes; drops them if the caller has disconnected."""
        if not self.closed:
            self._transport.write(data)

    async def drain(self) -> None:
        """Waits while the write buffer is full."""
        await self._drained.wait()

    def close(self) -> None:
        """Closes the connection once all buffered bytes are sent."""
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
        self._in_message = False

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits().header_bytes:
            raise _TooLargeError(431)

    def _start_next(self) -> None:
        if self._task is not None or not self._pipelined or self.closed:
            return
        self._cancel_timer()
        self._current = self._pipelined.pop(0)
        if len(self._pipelined) == _MAX_PIPELINED:
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
        elif self.close_after and not self._pipelined:
            self.close()
        else:
            self._start_next()
            if not self.is_busy:
                self._start_idle_timer()

    def _refuse(self, status: int, reason: str) -> None:
        """Refuses a request; answers if no earlier one is in progress."""
        self._refused = True
        self._reading = False
        log.info("request refused: %s", reason, extra={"status": status})
        self.close_after = True
        if self._task is None and not self.closed:
            Responder(self, "1.1").answer(status)
            self.close()

    def _on_header_timeout(self) -> None:
        self._refuse(408, "the head took too long")

    def _start_idle_timer(self) -> None:
        self._start_timer(self._server.limits().idle_timeout_s, self._on_idle)

    def _on_idle(self) -> None:
        if not self.is_busy:
            self.close()

    def _start_timer(self, wait_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = self._loop.call_later(wait_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class _TooLargeError(Exception):
    """A request exceeds a size limit.

    Attributes:
        status: the status code of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


def _default_phrase(status: int) -> bytes:
    try:
        return http.HTTPStatus(status).phrase.encode()
    except ValueError:
        return b"Unknown"
