"""Connections to backend servers: one request at a time, bytes unchanged.

A response is taken only where it names our request. A server may send a second
response, or an old one late; read as the answer to whatever came next, it
would hand one caller another one's data.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING, cast

import httptools

from catkinpin.adapters.http.headers import Headers
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

# Bytes of a response that wait for its reader before the server isn't read.
_AHEAD_BYTES = 256 * 1024
# An idle connection is retired this much before the server would close it:
# a request that crosses the close may or may not have run.
_IDLE_MARGIN_S = 1.0
# How long a connection may have been idle where that makes no difference.
DEFAULT_MAX_IDLE_S = 60.0
# Idle time of a connection to a server that names none.
_IDLE_S = 4.0


@dataclasses.dataclass
class ResponseHead:
    """Head of a response.

    Attributes:
        length: bytes of the body; None where it isn't known ahead.
    """

    status: int
    reason: bytes
    headers: Headers
    length: int | None


@dataclasses.dataclass
class Failure:
    """Sentinel: no response, or not all of it.

    Attributes:
        verdict: whether the request may have run.
        reason: what happened, for the log.
        is_lost: whether the connection was lost with the request under way.
    """

    verdict: Verdict
    reason: str
    is_lost: bool = False


class ServerConnection(asyncio.Protocol):
    """One connection to a backend server.

    Args:
        is_ours: tells whether a response's head belongs to the request that
            is under way.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._is_ours: Callable[[Headers], bool] = lambda _: False
        self._event = asyncio.Event()
        self._chunks: list[bytes] = []
        self._queued = 0
        self._paused = False
        self._status = b""
        self._headers = Headers()
        self._head: ResponseHead | None = None
        self._in_body = False
        self._complete = False
        self._under_way = False
        self._answered = 0
        self._lost: str = ""
        self._by_close = False
        self._keep_alive = True
        self.idle_until_s = 0.0
        self.idle_since_s = 0.0
        self.closed = False
        self.on_closed: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends what is under way."""
        self.closed = True
        if exc is None and self._in_body and self._by_close:
            # Such a body has no other end than the connection's orderly one.
            self._complete = True
        else:
            self._lost = self._lost or f"connection lost: {exc or 'closed'}"
        self._event.set()
        self.on_closed()

    def data_received(self, data: bytes) -> None:
        """Parses what came."""
        if not self._under_way:
            # Nothing was asked for: whatever this is, it is nobody's answer.
            self.abort("bytes without a request")
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self.abort(f"not a response: {exc}")
        self._event.set()

    def is_usable(self, now_s: float) -> bool:
        """Returns whether a request may be sent on this connection."""
        return (
            not self.closed
            and self._keep_alive
            and not self._lost
            and not self._under_way
            and now_s < self.idle_until_s
        )

    @property
    def is_first_exchange(self) -> bool:
        """Whether nothing was answered on this connection yet."""
        return self._answered == 0

    def send(self, data: bytes, is_ours: Callable[[Headers], bool]) -> None:
        """Sends a request."""
        self._is_ours = is_ours
        self._under_way = True
        self._complete = False
        self._head = None
        self._chunks = []
        self._queued = 0
        self._transport.write(data)

    async def read_head(self) -> ResponseHead | Failure:
        """Waits for the head of the response."""
        while self._head is None:
            if self._lost:
                return self._failure()
            self._event.clear()
            await self._event.wait()
        return self._head

    async def read_chunk(self) -> bytes | Failure | None:
        """Waits for bytes of the body; None at its end."""
        while not self._chunks:
            if self._complete:
                return None
            if self._lost:
                return self._failure()
            self._event.clear()
            await self._event.wait()
        data = b"".join(self._chunks)
        self._chunks = []
        self._queued = 0
        if self._paused and not self.closed:
            self._paused = False
            self._transport.resume_reading()
        return data

    def _failure(self) -> Failure:
        return Failure(Verdict.MAY_HAVE_RUN, self._lost, is_lost=True)

    def finish(self, now_s: float) -> None:
        """Ends the exchange; the connection can serve another one."""
        self._under_way = False
        self.idle_since_s = now_s
        if not self._complete:
            self.abort("not read to its end")
        if self.idle_until_s == 0.0:
            self.idle_until_s = now_s + _IDLE_S

    def abort(self, reason: str) -> None:
        """Resets the connection, so that the server stops its work."""
        self._lost = self._lost or reason
        self._keep_alive = False
        self._event.set()
        if not self.closed:
            self._transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a response."""
        if self._complete:
            # A second response behind the first: what follows on this
            # connection can't be told apart any more.
            self._keep_alive = False
        self._status = b""
        self._headers = Headers()

    def on_status(self, status: bytes) -> None:
        """Takes the reason phrase."""
        self._status += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header field."""
        self._headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Decides whose response this is."""
        status = self._parser.get_status_code()
        self._in_body = False
        if status < 200 or self._complete or self._head is not None:
            return
        if not self._is_ours(self._headers):
            # A late answer to a request before; ours may follow.
            self._keep_alive = False
            return
        length = self._headers.get(b"content-length")
        chunked = "chunked" in self._headers.get(b"transfer-encoding").lower()
        self._by_close = not chunked and not length.isdigit()
        body_length = int(length) if length.isdigit() and not chunked else None
        self._head = ResponseHead(
            status, self._status, self._headers, body_length
        )
        self._in_body = True
        self._note_idle()

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        if not self._in_body:
            return
        self._chunks.append(data)
        self._queued += len(data)
        if self._queued > _AHEAD_BYTES and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Notes the end of a response."""
        if self._in_body and not self._complete:
            self._complete = True
            self._answered += 1
            if not self._parser.should_keep_alive():
                self._keep_alive = False
        self._in_body = False

    def _note_idle(self) -> None:
        """Notes how long the server keeps the connection when idle."""
        wait_s = _IDLE_S
        for part in self._headers.get(b"keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                wait_s = int(value) - _IDLE_MARGIN_S
        self.idle_until_s = asyncio.get_running_loop().time() + max(wait_s, 0.0)


class Pool:
    """Connections to all backend servers.

    A server takes a bounded number from all of its callers, and resets what
    goes beyond. So each gateway keeps to its part.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[ServerConnection]] = {}
        self._open: dict[str, int] = {}

    async def acquire(
        self,
        address: str,
        limit: int,
        timeout_s: float,
        max_idle_s: float = DEFAULT_MAX_IDLE_S,
    ) -> ServerConnection | Failure:
        """Returns a connection that nothing is under way on.

        Args:
            address: of the server.
            limit: connections that this process may have open to it.
            timeout_s: longest wait for a new one.
            max_idle_s: one that was idle for longer is not taken. A server
                may have dropped it silently; what is sent on it then is
                reset, and may have run for all one knows.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        idle = self._idle.get(address, [])
        while idle:
            conn = idle[-1]
            if not conn.is_usable(now):
                idle.pop()
                conn.abort("idle for too long")
            elif now - conn.idle_since_s <= max_idle_s:
                return idle.pop()
            else:
                self._make_room(address, limit)
                break
        if self._open.get(address, 0) >= limit:
            return Failure(Verdict.NOT_RUN, "no connection is free")
        self._open[address] = self._open.get(address, 0) + 1
        host, _, port = address.rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                _, conn = await loop.create_connection(
                    ServerConnection, host, int(port)
                )
        except (OSError, TimeoutError) as exc:
            self._closed(address)
            return Failure(Verdict.NOT_RUN, f"no connection: {exc!r}")
        except asyncio.CancelledError:
            self._closed(address)
            raise
        conn.on_closed = lambda: self._closed(address)
        if conn.closed:
            self._closed(address)
        return conn

    def _make_room(self, address: str, limit: int) -> None:
        """Closes the connection that is idle longest, where all are open."""
        if self._open.get(address, 0) < limit:
            return
        conn = self._idle[address].pop(0)
        conn.on_closed = lambda: None
        conn.abort("makes room for a new one")
        self._closed(address)

    def release(self, address: str, conn: ServerConnection) -> None:
        """Takes a connection back whose exchange has ended."""
        now = asyncio.get_running_loop().time()
        if conn.is_usable(now):
            self._idle.setdefault(address, []).append(conn)
        else:
            conn.abort("not usable again")

    def retire(self, address: str) -> None:
        """Closes the idle connections to a server that is gone or suspect."""
        for conn in self._idle.pop(address, []):
            conn.abort("the server is gone or suspect")

    def _closed(self, address: str) -> None:
        left = self._open.get(address, 0) - 1
        if left > 0:
            self._open[address] = left
        else:
            self._open.pop(address, None)
