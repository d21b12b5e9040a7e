"""Parses the requests of one connection, within limits on their size."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import httptools

from catkinpin.adapters.http.headers import Headers

if TYPE_CHECKING:
    from collections.abc import Callable

# A caller may send bytes without end that belong to no field and no body: a
# field's value, spaces, empty lines, extensions of chunks. A head may take so
# many bytes more than its fields, and for each byte of the body so many of
# framing: a chunk of one byte takes six.
_MAX_OTHER_BYTES = 32 * 1024
_MAX_FRAMING_FACTOR = 8
# Many callers may send large bodies at once, and slowly. Beyond this size of
# all, bodies that are larger than a small one are refused.
_MAX_HELD_BYTES = 48 * 1024 * 1024
_SMALL_BODY_BYTES = 64 * 1024


@dataclasses.dataclass
class ServerLimits:
    """Size and time limits for callers.

    Attributes:
        header_bytes: largest size of a request's head.
        body_bytes: largest size of a request's body.
        header_timeout_s: longest time from a head's first byte to its last.
        idle_timeout_s: idle connections are closed after this time, and those
            whose caller reads nothing of an answer.
        body_timeout_s: longest time from a head's end to the body's.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    body_timeout_s: float = 15.0


class TooLargeError(Exception):
    """A request exceeds a size limit.

    Attributes:
        status: the status code of the response.
    """

    def __init__(self, status: int) -> None:
        super().__init__(status)
        self.status = status


class BodyMemory:
    """Counts the bodies that a process holds for its callers' requests."""

    def __init__(self) -> None:
        self._held_bytes = 0

    def add(self, size: int, body_bytes: int) -> None:
        """Adds a part of a body.

        Args:
            size: size of the part.
            body_bytes: size of the body with this part.

        Raises:
            TooLargeError: there is no room for more of this body.
        """
        self._held_bytes += size
        is_large = body_bytes > _SMALL_BODY_BYTES
        if is_large and self._held_bytes > _MAX_HELD_BYTES:
            raise TooLargeError(503)

    def release(self, size: int) -> None:
        """Removes a body, or the part of it that was received."""
        self._held_bytes -= size


bodies = BodyMemory()


class RequestParser:
    """Parses the requests of one connection.

    Args:
        limits: returns the limits for callers.
        on_head: called with the fields once a request's head is complete.
        on_request: called once a request is complete.

    Attributes:
        target: path and query as received.
        in_message: whether a request has begun and is not complete.
        in_body: whether its head is complete.
    """

    def __init__(
        self,
        limits: Callable[[], ServerLimits],
        on_head: Callable[[Headers], None],
        on_request: Callable[[], None],
    ) -> None:
        self._limits = limits
        self._on_head = on_head
        self._on_request = on_request
        self._parser = httptools.HttpRequestParser(self)
        self._received_bytes = 0
        self.body = bytearray()
        self._begin_request()

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            TooLargeError: a request exceeds a size limit.
            httptools.HttpParserError: the bytes are no requests.
            httptools.HttpParserUpgrade: the caller asks for an upgrade.
        """
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as exc:
            # The parser wraps exceptions of its callbacks.
            if isinstance(exc.__context__, TooLargeError):
                raise exc.__context__ from None
            raise
        limit = _MAX_OTHER_BYTES + self._limits().header_bytes
        limit += _MAX_FRAMING_FACTOR * len(self.body)
        if self._received_bytes - len(self.body) > limit:
            raise TooLargeError(431)

    def release(self) -> None:
        """Drops the request that is not complete."""
        bodies.release(len(self.body))
        self.body = bytearray()

    @property
    def method(self) -> bytes:
        """The method of the last request."""
        method: bytes = self._parser.get_method()
        return method

    @property
    def version(self) -> str:
        """The HTTP version of the last request."""
        version: str = self._parser.get_http_version()
        return version

    @property
    def keeps_alive(self) -> bool:
        """Whether the connection may carry another request."""
        return bool(self._parser.should_keep_alive())

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Prepares for a new request."""
        self._begin_request()
        self.in_message = True

    def on_url(self, url: bytes) -> None:
        """Adds a part of the target."""
        self.target += url
        self._count_head_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Adds a header field; drops a trailer, as its receiver may."""
        self._count_head_bytes(len(name) + len(value) + 4)
        if not self.in_body:
            self.headers.add(name, value)

    def on_headers_complete(self) -> None:
        """Checks the body's stated length once the head is complete."""
        self.in_body = True
        limit = self._limits().body_bytes
        length = self.headers.get(b"content-length")
        if length.isdigit() and int(length) > limit:
            raise TooLargeError(413)
        self._on_head(self.headers)

    def on_body(self, data: bytes) -> None:
        """Adds a part of the body."""
        self.body += data
        bodies.add(len(data), len(self.body))
        if len(self.body) > self._limits().body_bytes:
            raise TooLargeError(413)

    def on_message_complete(self) -> None:
        """Passes on the complete request."""
        self.in_message = False
        self._on_request()
        self._received_bytes = 0
        self._begin_request()

    def _begin_request(self) -> None:
        self.target = b""
        self.headers = Headers()
        self.body = bytearray()
        self._head_bytes = 0
        self.in_message = False
        self.in_body = False

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._limits().header_bytes:
            raise TooLargeError(431)
