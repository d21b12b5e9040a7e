"""HTTP/1.1 client connections to backend servers.

A connection carries one request at a time and passes bytes on unchanged. It
accepts a response only if its headers match the request: a server may send a
second response, or one to an earlier request late, and attributing it to the
next request would give one caller another caller's data.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import errno
import logging
from typing import TYPE_CHECKING, cast

import httptools

from catkinpin.adapters.http import probes
from catkinpin.adapters.http.headers import Headers
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

# Reading from the server pauses while more unread response bytes are queued.
_READ_BUFFER_BYTES = 256 * 1024
# A server may send bytes without end that belong to no answer. Besides the
# body of the expected answer, an exchange may bring this many bytes (the head,
# interim answers, late answers to earlier requests), and for each byte of the
# body so many of framing: a chunk of one byte takes six.
_MAX_OTHER_BYTES = 256 * 1024
_MAX_FRAMING_FACTOR = 8
# Lower numbers are no statuses; statuses up to the second bound announce that
# the answer follows.
_MIN_STATUS = 100
_MIN_FINAL_STATUS = 200
# Most bytes of the fields of one message, trailers included. Each field takes
# some more in memory than its bytes, which short ones would multiply.
_MAX_FIELDS_BYTES = 128 * 1024
_FIELD_OVERHEAD_BYTES = 128
# An idle connection is closed this long before the server would close it: if
# a request and the server's close cross, the request may or may not have run.
_IDLE_MARGIN_S = 1.0
# The same for a probed connection. It covers the way between two regions, some
# 24 ms, and a gateway that is late to read the server's close.
_PROBED_IDLE_MARGIN_S = 0.3
# A probed connection is proved alive if the other end was heard within this
# time: two probes, and half of the interval for the answer to the second one.
_MAX_SILENT_MS = 2_500
# Errors with which the kernel ends a connection whose probes nobody answers. A
# link that is down does that as well, so they don't show that a server crashed.
_TIMEOUT_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)
# Longest idle time of a connection that may carry a repeatable request.
DEFAULT_MAX_IDLE_S = 60.0
# More digits of a Keep-Alive timeout change nothing: it is over 11 days.
_MAX_TIMEOUT_DIGITS = 7
# Idle timeout of a server that sends no Keep-Alive timeout.
_DEFAULT_KEEP_ALIVE_S = 4.0


class OpenReason(enum.StrEnum):
    """Why a connection was opened instead of using an idle one.

    FIRST: there was none to the server before. BUSY: requests use all of them.
    EXPIRED: the idle ones were closed or idle for too long. UNPROVED: the
    server was not heard on the idle one lately, and the request must not run
    twice. CHECK: to see whether a server that broke off a request has crashed.
    """

    FIRST = "first"
    BUSY = "busy"
    EXPIRED = "expired"
    UNPROVED = "unproved"
    CHECK = "check"


@dataclasses.dataclass(frozen=True)
class Opening:
    """Why a connection was opened, for the log.

    Attributes:
        open_count: connections to the server that were open before.
        idle_ms: idle time of the connection that was not used; -1 for none.
    """

    reason: OpenReason
    open_count: int
    idle_ms: int


@dataclasses.dataclass
class ResponseHead:
    """The head of a response.

    Attributes:
        length: the body's size in bytes; None if the head does not state it.
    """

    status: int
    reason: bytes
    headers: Headers
    length: int | None


@dataclasses.dataclass
class Failure:
    """Returned instead of a response that is missing or incomplete.

    Attributes:
        verdict: whether the request may have run.
        reason: what happened, for the log.
        is_lost: whether the connection was closed or reset during the request.
            False for a probed one that timed out.
    """

    verdict: Verdict
    reason: str
    is_lost: bool = False


class ServerConnection(asyncio.Protocol):
    """A connection to a backend server.

    Attributes:
        idle_until_s: the loop's time from which the idle connection must not
            be used; 0 until a response was received.
        idle_since_s: the loop's time at which the last exchange ended.
        closed: whether the connection was lost or closed.
        is_probed: whether TCP keep-alive probes check the idle connection.
        opening: why it was opened; None if its pool doesn't know.
        on_closed: called once the connection is closed.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport
        self._parser = httptools.HttpResponseParser(self)
        self._matches_request: Callable[[Headers], bool] = lambda _: False
        self._state_changed = asyncio.Event()
        self._chunks: list[bytes] = []
        self._queued_bytes = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._reading_paused = False
        self._status = b""
        self._headers = Headers()
        self._fields_bytes = 0
        self._in_trailers = False
        self._head: ResponseHead | None = None
        self._in_body = False
        self._complete = False
        self._in_exchange = False
        self._response_count = 0
        self._failure_reason: str = ""
        self._ends_at_close = False
        self._keep_alive = True
        self.idle_until_s = 0.0
        self.idle_since_s = 0.0
        self.closed = False
        self.is_probed = False
        self.opening: Opening | None = None
        self._was_paused = False
        self._timed_out = False
        self.on_closed: Callable[[], None] = lambda: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport."""
        self._transport = cast("asyncio.Transport", transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the current exchange."""
        self.closed = True
        if exc is None and self._in_body and self._ends_at_close:
            # A body without a length ends with the connection's orderly close.
            self._complete = True
        else:
            self._failure_reason = (
                self._failure_reason or f"connection lost: {exc or 'closed'}"
            )
            self._timed_out = (
                self.is_probed
                and isinstance(exc, OSError)
                and exc.errno in _TIMEOUT_ERRORS
            )
        self._state_changed.set()
        self.on_closed()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes."""
        if not self._in_exchange:
            # No request is in progress, so these bytes answer none.
            self.abort("bytes without a request")
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # The parser wraps exceptions of its callbacks.
            self.abort(f"not a response: {exc.__context__ or exc}")
        other_bytes = self._received_bytes - self._body_bytes
        limit = _MAX_OTHER_BYTES + _MAX_FRAMING_FACTOR * self._body_bytes
        if other_bytes > limit and not self._complete:
            self.abort(f"{other_bytes} bytes that are no answer")
        self._state_changed.set()

    def is_usable(self, now_s: float) -> bool:
        """Returns whether a request may be sent on this connection."""
        return (
            not self.closed
            and self._keep_alive
            and not self._failure_reason
            and not self._in_exchange
            and now_s < self.idle_until_s
        )

    def enable_probes(self) -> None:
        """Has the kernel probe the connection while it is idle."""
        if not self.is_probed and not self.closed:
            self.is_probed = probes.enable(self._transport)

    def is_proved(self) -> bool:
        """Returns whether probes show that the other end is alive."""
        if not self.is_probed or self.closed:
            return False
        silent_ms = probes.silent_ms(self._transport)
        return silent_ms is not None and silent_ms < _MAX_SILENT_MS

    @property
    def is_first_exchange(self) -> bool:
        """Whether no response was received on this connection yet."""
        return self._response_count == 0

    def send(
        self, data: bytes, matches_request: Callable[[Headers], bool]
    ) -> None:
        """Sends a request.

        Args:
            data: the encoded request.
            matches_request: returns whether a response with these header
                fields answers the request.
        """
        self._matches_request = matches_request
        self._in_exchange = True
        self._complete = False
        self._head = None
        self._chunks = []
        self._queued_bytes = 0
        self._received_bytes = 0
        self._body_bytes = 0
        self._was_paused = False
        self._transport.write(data)

    async def read_head(self) -> ResponseHead | Failure:
        """Waits for the head of the response and returns it."""
        while self._head is None:
            if self._failure_reason:
                return self._connection_failure()
            self._state_changed.clear()
            await self._state_changed.wait()
        return self._head

    async def read_chunk(self) -> bytes | Failure | None:
        """Waits for bytes of the body and returns them; None at its end."""
        while not self._chunks:
            if self._complete:
                return None
            if self._failure_reason:
                return self._connection_failure()
            self._state_changed.clear()
            await self._state_changed.wait()
        data = b"".join(self._chunks)
        self._chunks = []
        self._queued_bytes = 0
        if self._reading_paused and not self.closed:
            self._reading_paused = False
            self._transport.resume_reading()
        return data

    def _connection_failure(self) -> Failure:
        return Failure(
            Verdict.MAY_HAVE_RUN,
            self._failure_reason,
            is_lost=not self._timed_out,
        )

    def finish(self, now_s: float) -> None:
        """Ends the exchange, so that the connection can be used again.

        Aborts the connection if the response was not received completely, or
        if reading is still paused: the next response would never be read.
        """
        self._in_exchange = False
        self.idle_since_s = now_s
        if not self._complete or self._reading_paused:
            self.abort("not read to its end")
        if self.idle_until_s == 0.0:
            self.idle_until_s = now_s + _DEFAULT_KEEP_ALIVE_S

    def abort(self, reason: str) -> None:
        """Resets the connection, so that the server stops working on it."""
        self._failure_reason = self._failure_reason or reason
        self._keep_alive = False
        self._state_changed.set()
        if not self.closed:
            self._transport.abort()

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Prepares for a new response."""
        if self._complete:
            # The server sends a second response to the same request. Later
            # responses on this connection can't be attributed reliably.
            self._keep_alive = False
        self._status = b""
        self._headers = Headers()
        self._fields_bytes = 0
        self._in_trailers = False

    def on_status(self, status: bytes) -> None:
        """Adds a part of the reason phrase."""
        self._status += status

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field; drops a trailer, as its receiver may."""
        self._fields_bytes += len(name) + len(value) + _FIELD_OVERHEAD_BYTES
        if self._fields_bytes > _MAX_FIELDS_BYTES:
            raise _TooManyFieldsError
        if not self._in_trailers:
            self._headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Accepts the head if the response answers the current request."""
        status = self._parser.get_status_code()
        if status < _MIN_STATUS:
            raise _NoStatusError(status)
        self._in_body = False
        self._in_trailers = True
        if (
            status < _MIN_FINAL_STATUS
            or self._complete
            or self._head is not None
        ):
            return
        if not self._matches_request(self._headers):
            # A late response to an earlier request; the expected response may
            # still follow.
            self._keep_alive = False
            return
        length = self._headers.get(b"content-length")
        chunked = "chunked" in self._headers.get(b"transfer-encoding").lower()
        self._ends_at_close = not chunked and not length.isdigit()
        body_length = int(length) if length.isdigit() and not chunked else None
        self._head = ResponseHead(
            status, self._status, self._headers, body_length
        )
        self._in_body = True
        self._update_idle_limit()

    def on_body(self, data: bytes) -> None:
        """Queues a part of the body."""
        if not self._in_body:
            return
        self._chunks.append(data)
        self._body_bytes += len(data)
        self._queued_bytes += len(data)
        if self._queued_bytes > _READ_BUFFER_BYTES and not self._reading_paused:
            self._reading_paused = True
            self._was_paused = True
            self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Marks the response as complete."""
        if self._in_body and not self._complete:
            self._complete = True
            self._response_count += 1
            if self.is_probed and not self._was_paused:
                # The server's timeout runs from the end of the response. While
                # reading was paused, that end may be long past.
                self._update_idle_limit()
            if not self._parser.should_keep_alive():
                self._keep_alive = False
        self._in_body = False

    def _update_idle_limit(self) -> None:
        """Sets `idle_until_s` from the response's Keep-Alive field."""
        wait_s = _DEFAULT_KEEP_ALIVE_S
        for part in self._headers.get(b"keep-alive").split(","):
            name, _, value = part.strip().partition("=")
            # A superscript is a digit too, and a number of 5,000 digits none.
            is_number = value.isascii() and value.isdigit()
            if name.lower() == "timeout" and is_number:
                margin_s = (
                    _PROBED_IDLE_MARGIN_S if self.is_probed else _IDLE_MARGIN_S
                )
                wait_s = int(value[:_MAX_TIMEOUT_DIGITS]) - margin_s
        self.idle_until_s = asyncio.get_running_loop().time() + max(wait_s, 0.0)


class _NoStatusError(Exception):
    """The head of a message has a number that is no status."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status:03}")


class _TooManyFieldsError(Exception):
    """The fields of a message exceed their size limit."""

    def __str__(self) -> str:
        return "too many fields"
