"""Incremental parser for streams of server-sent events."""

from __future__ import annotations

import dataclasses
import re

# A longer event is none: its bytes would be kept until memory is full.
MAX_EVENT_BYTES = 1024 * 1024
# A longer id, or one with control characters, counts as absent.
_MAX_ID_LENGTH = 256
_CONTROL = re.compile(rb"[\x00-\x1f\x7f]")
# An empty line ends an event; lines end with LF or CR LF.
_EVENT_TERMINATORS = (b"\n\n", b"\r\n\r\n")
_MAX_TERMINATOR_BYTES = 4


@dataclasses.dataclass(frozen=True)
class Event:
    """A server-sent event.

    Attributes:
        id: Value of its id field, unparsed; empty if there is none.
        data: Its data lines, joined by line feeds.
    """

    id: str
    data: bytes


class EventReader:
    """Splits a byte stream into complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def is_at_boundary(self) -> bool:
        """Whether no event is partially read."""
        return not self._buffer

    @property
    def is_endless(self) -> bool:
        """Whether the partially read event is longer than any may be."""
        return len(self._buffer) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> tuple[list[Event], bytes]:
        """Returns the events that are complete now, and their bytes.

        A partial event stays in the buffer: if half an event had been sent to
        the caller, it could not be withdrawn when another server continues the
        stream.
        """
        # An end may have begun in bytes that were received before. Searching
        # them all again would take ever longer while a long event dribbles in.
        start = max(0, len(self._buffer) - _MAX_TERMINATOR_BYTES)
        self._buffer += data
        ends = [
            self._buffer.rfind(mark, start) + len(mark)
            for mark in _EVENT_TERMINATORS
            if self._buffer.find(mark, start) >= 0
        ]
        if not ends:
            return [], b""
        end = max(ends)
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        blocks = complete.replace(b"\r\n", b"\n").split(b"\n\n")
        return [_event(block) for block in blocks if block], complete


def _event(block: bytes) -> Event:
    event_id = ""
    lines = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            lines.append(value)
        elif name == b"id":
            # It is sent as a header when the stream is resumed elsewhere.
            is_id = len(value) <= _MAX_ID_LENGTH and not _CONTROL.search(value)
            event_id = value.decode("latin-1") if is_id else ""
    return Event(event_id, b"\n".join(lines))
