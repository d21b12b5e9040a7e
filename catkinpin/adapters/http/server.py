"""An HTTP/1.1 server that passes complete requests to a handler.

Each connection handles one request at a time; pipelined requests wait. The
handler is called once the body was read completely.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, cast

import httptools

from catkinpin import listening, waiting
from catkinpin.adapters.http.headers import Headers, default_phrase
from catkinpin.adapters.http.request import Request as Request
from catkinpin.adapters.http.requestparser import (
    RequestParser,
    ServerLimits,
    TooLargeError,
    bodies,
)
from catkinpin.adapters.http.timers import LingeringClose, Timer, UnreadTimer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

log = logging.getLogger(__name__)

# Writing to a slow caller pauses while more bytes are buffered.
_WRITE_BUFFER_BYTES = 64 * 1024
# Reading from a caller pauses while more pipelined requests wait.
_MAX_PIPELINED = 4
# Received bytes are parsed in parts of this size: a large one may contain
# thousands of pipelined requests.
_PARSED_BYTES = 16 * 1024


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
            b"HTTP/1.1 %d %s\r\n" % (status, reason or default_phrase(status))
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
        """Listens once the port is free; returns the actual address."""
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self),
            sock=await waiting.open_port(address),
            backlog=listening.BACKLOG,
        )
        port = self._server.sockets[0].getsockname()[1]
        return f"{address.rpartition(':')[0]}:{port}"

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

    def refuse_unread(self, encode: Callable[[Headers], Headers]) -> None:
        """Refuses the requests that are not read to their end.

        Args:
            encode: returns the fields of the answer to a request's fields.
        """
        for conn in list(self.connections):
            conn.refuse_unread(encode)

    def stop_listening(self) -> None:
        """Stops accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def stop(self) -> None:
        """Stops listening and resets all connections."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.abort()


class Connection(asyncio.Protocol):
    """A caller's connection."""

    def __init__(self, server: HttpServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport
        self._parser = RequestParser(
            server.limits, self._on_head, self._on_request
        )
        self._unparsed = b""
        self._arrived_s = 0.0
        self._pipelined: list[Request] = []
        self._task: asyncio.Task[None] | None = None
        self._current: Request | None = None
        self._read_timer = Timer()
        # Runs while none is read or answered.
        self._idle_timer = Timer()
        # Runs while the connection waits for its caller or is closing.
        self._unread_timer = UnreadTimer(
            lambda: server.limits().idle_timeout_s,
            lambda: self._transport.get_write_buffer_size(),
            self.abort,
        )
        self._drained = asyncio.Event()
        self._drained.set()
        self._refused = False
        self._linger = LingeringClose(self.close)
        self.closed = False
        self.close_after = server.closing
        self._reading = False

    @property
    def is_busy(self) -> bool:
        """Whether a request is read or answered, or was refused unread."""
        has_work = self._task is not None or bool(self._pipelined)
        return has_work or self._reading or self._linger.is_waiting

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
        self._read_timer.cancel()
        self._idle_timer.cancel()
        self._unread_timer.cancel()
        self._linger.cancel()
        if self._current is not None:
            self._current.disconnected.set()
        self._parser.release()
        for request in self._pipelined:
            bodies.release(len(request.body))
            request.disconnected.set()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if self._refused:
            self._linger.discard(len(data))
        elif self._unparsed:
            self._unparsed += data
        else:
            self._parse(data)

    def pause_writing(self) -> None:
        """Makes `drain` wait."""
        self._drained.clear()

    def resume_writing(self) -> None:
        """Lets `drain` return."""
        self._drained.set()

    def _parse(self, data: bytes) -> None:
        """Parses bytes, until enough requests wait."""
        for start in range(0, len(data), _PARSED_BYTES):
            if self._refused:
                return
            if len(self._pipelined) > _MAX_PIPELINED:
                self._unparsed = data[start:]
                return
            self._parse_part(data[start : start + _PARSED_BYTES])

    def _parse_part(self, data: bytes) -> None:
        if not self._reading:
            self._reading = True
            self._idle_timer.cancel()
            self._start_head_timer()
        try:
            self._parser.feed(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400, "an upgrade is not served")
        except httptools.HttpParserError as exc:
            self._refuse(400, str(exc))
        except TooLargeError as exc:
            self._refuse(exc.status, "too large")
        if not self._refused and not self._parser.in_message:
            self._end_reading()

    def _start_head_timer(self) -> None:
        timeout_s = self._server.limits().header_timeout_s
        self._read_timer.start(timeout_s, self._refuse, 408, "the head is late")

    def _end_reading(self) -> None:
        self._reading = False
        self._read_timer.cancel()
        if not self.is_busy and not self.closed:
            self._start_idle_timer()

    # Callbacks of the parser.

    def _on_head(self, headers: Headers) -> None:
        """Notes when the head arrived, and has the body sent."""
        self._arrived_s = self._loop.time()
        timeout_s = self._server.limits().body_timeout_s
        self._read_timer.start(timeout_s, self._refuse, 408, "the body is late")
        if headers.get(b"expect").lower() == "100-continue":
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _on_request(self) -> None:
        """Queues the complete request for the handler."""
        # The next request may have begun in the bytes that ended this one.
        self._start_head_timer()
        parser = self._parser
        request = Request(
            method=parser.method,
            target=parser.target,
            version=parser.version,
            headers=parser.headers,
            body=bytes(parser.body),
            arrived_s=self._arrived_s,
            disconnected=asyncio.Event(),
        )
        if not parser.keeps_alive:
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
        if not self.closed and not self._transport.is_closing():
            self._transport.close()
            self._unread_timer.start()

    def abort(self) -> None:
        """Resets the connection."""
        if not self.closed:
            self._transport.abort()

    def _start_next(self) -> None:
        if self._task is not None or not self._pipelined or self.closed:
            return
        self._idle_timer.cancel()
        self._current = self._pipelined.pop(0)
        self._task = self._loop.create_task(self._handle(self._current))
        if len(self._pipelined) == _MAX_PIPELINED:
            unparsed, self._unparsed = self._unparsed, b""
            self._parse(unparsed)
            if len(self._pipelined) <= _MAX_PIPELINED:
                self._transport.resume_reading()

    async def _handle(self, request: Request) -> None:
        responder = Responder(self, request.version)
        try:
            await self._server.handler(request, responder)
        except Exception:
            log.exception("a request failed")
        self._current = None
        bodies.release(len(request.body))
        if responder.finished:
            # Otherwise answers that nobody reads would fill the memory.
            await self._wait_until_read()
        self._task = None
        if not responder.finished:
            self.abort()
        elif self.close_after and not self._pipelined:
            self.close()
        else:
            self._start_next()
            if not self.is_busy and not self.closed:
                self._start_idle_timer()

    async def _wait_until_read(self) -> None:
        """Waits while the write buffer is full and the caller reads from it."""
        if not self._drained.is_set():
            self._unread_timer.start()
            await self._drained.wait()
            self._unread_timer.cancel()

    def refuse_unread(self, encode: Callable[[Headers], Headers]) -> None:
        """Refuses the request that is being read, if there is one."""
        if self._reading and not self._refused:
            headers = self._parser.headers if self._parser.in_body else None
            self._refuse(503, "stopping", encode(headers or Headers()))

    def _refuse(
        self, status: int, reason: str, headers: Headers | None = None
    ) -> None:
        """Refuses a request; answers if no earlier one is in progress."""
        self._refused = True
        self._end_reading()
        log.info("request refused: %s", reason, extra={"status": status})
        self.close_after = True
        if self._task is None and not self.closed:
            Responder(self, "1.1").answer(status, headers)
            self._transport.write_eof()
            self._linger.start()

    def _start_idle_timer(self) -> None:
        self._idle_timer.start(
            self._server.limits().idle_timeout_s, self._on_idle
        )

    def _on_idle(self) -> None:
        if not self.is_busy:
            self.close()
