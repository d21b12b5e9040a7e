"""Events that a caller may have received, and where it may go on.

A resumable turn's events are stored in parts, in the order in which its caller
gets them. A part is stored like a turn, under the turn's name, a line feed,
which no name of a turn contains, and the part's number.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

import msgspec

from catkinpin import codec
from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from catkinpin.core.requests.events import Event

_PART_MARK = "\n"


class SentEvent(Message, frozen=True):
    """A stored event; see `events.Event` for its fields."""

    id: str
    data: bytes


class SentPart(Message, frozen=True):
    """Events that one write stores."""

    events: list[SentEvent]


@dataclasses.dataclass(frozen=True)
class SentStream:
    """What is stored of a turn's stream.

    Attributes:
        attempt: the turn.
        events: its events from the first one on.
        is_complete: whether no event may be missing at the end.
    """

    attempt: str
    events: Sequence[SentEvent]
    is_complete: bool = True


class Mismatch(enum.Enum):
    """Reason why no stream can be continued after an event."""

    NO_SUCH_EVENT = "no-such-event"
    SEVERAL_TURNS = "several-turns"
    UNKNOWN = "unknown"


def part_name(attempt: str, number: int) -> str:
    """Returns the name under which a part of a turn is stored."""
    return f"{attempt}{_PART_MARK}{number}"


def turn_of(name: str) -> str:
    """Returns the turn to which stored bytes belong, whole or a part."""
    return name.partition(_PART_MARK)[0]


def is_part(name: str) -> bool:
    """Returns whether stored bytes are a part of a turn."""
    return _PART_MARK in name


def encode_part(events: Iterable[Event | SentEvent]) -> bytes:
    """Returns the bytes of a part."""
    sent = [SentEvent(id=event.id, data=event.data) for event in events]
    return codec.encode(SentPart(events=sent))


def decode_part(data: bytes) -> list[SentEvent] | None:
    """Returns the events of a part; None for bytes that are none."""
    try:
        part: SentPart = _part_decoder.decode(data)
    except msgspec.MsgspecError:
        return None
    return part.events


def output_of(events: Iterable[Event | SentEvent]) -> bytes:
    """Returns what a later turn gets of events as a part of its history."""
    return b"".join(event.data + b"\n" for event in events)


def choose_stream(
    streams: Sequence[SentStream], event_id: str
) -> SentStream | Mismatch:
    """Returns the stream of which a caller has received the first events.

    Args:
        streams: the streams that it may be, oldest first.
        event_id: the last event that the caller has.

    Returns:
        The stream up to that event; why it is not known which one it is.
        Streams that are equal up to the event count as one, the newest.
    """
    found = [
        SentStream(stream.attempt, events)
        for stream in streams
        if (events := _up_to(stream.events, event_id))
    ]
    if any(stream.events != found[-1].events for stream in found):
        return Mismatch.SEVERAL_TURNS
    readable = {stream.attempt for stream in found}
    if any(
        not stream.is_complete and stream.attempt not in readable
        for stream in streams
    ):
        return Mismatch.UNKNOWN
    return found[-1] if found else Mismatch.NO_SUCH_EVENT


def _up_to(events: Sequence[SentEvent], event_id: str) -> list[SentEvent]:
    """Returns the events up to one with an id; none if there is none."""
    for index in reversed(range(len(events))):
        if events[index].id == event_id:
            return list(events[: index + 1])
    return []


_part_decoder = codec.decoder(SentPart)
