"""Reads a stream of server-sent events as its bytes pass."""

from __future__ import annotations

import dataclasses

# An empty line ends an event; lines end in LF or CR LF.
_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True)
class Event:
    """One event.

    Attributes:
        id: its number as it came, empty for none.
        data: the data lines, joined by line feeds.
    """

    id: str
    data: bytes


class EventReader:
    """Splits bytes into whole events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def is_at_boundary(self) -> bool:
        """Whether no event is half read."""
        return not self._rest

    def feed(self, data: bytes) -> tuple[list[Event], bytes]:
        """Returns the events that are complete now, and their own bytes.

        Half an event stays here: passed on, it couldn't be taken back where
        another server goes on in its place.
        """
        text = self._rest + data
        ends = [text.rfind(mark) + len(mark) for mark in _ENDS if mark in text]
        end = max(ends, default=0)
        whole, self._rest = text[:end], text[end:]
        blocks = whole.replace(b"\r\n", b"\n").split(b"\n\n")
        return [_event(block) for block in blocks if block], whole


def _event(block: bytes) -> Event:
    number = ""
    lines = []
    for line in block.split(b"\n"):
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"data":
            lines.append(value)
        elif name == b"id":
            number = value.decode("latin-1")
    return Event(number, b"\n".join(lines))
