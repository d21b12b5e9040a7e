"""The part of a stream that was forwarded to its caller."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.requests import sentevents

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinpin.adapters.gateway.resuming import EventStorage
    from catkinpin.core.requests.events import Event
    from catkinpin.core.requests.sentevents import SentEvent

# An output that is to be stored is cut off beyond this size: a server may send
# events without end. One of 100,000 tokens has about 1 MB.
_MAX_OUTPUT_BYTES = 8 * 1024 * 1024


@dataclasses.dataclass
class Forwarded:
    """The part of a stream that the caller has.

    Attributes:
        last_id: id of the last event that has one.
        is_kept: whether the output becomes a part of a history.
        events: stores events before they are forwarded; None if it need not.
        started: whether the head of the answer was sent.
        output: data of all events, each followed by a line feed.
        size: size of what is stored of these events.
        may_go_on: whether another server can go on after the last event, as
            that has an id or there is none yet.
    """

    last_id: str = ""
    is_kept: bool = False
    events: EventStorage | None = None
    started: bool = False
    output: bytearray = dataclasses.field(default_factory=bytearray)
    size: int = 0
    may_go_on: bool = True

    @property
    def is_endless(self) -> bool:
        """Whether the output is larger than any that is stored."""
        return self.size > _MAX_OUTPUT_BYTES

    def add_kept(self, events: Sequence[SentEvent]) -> None:
        """Adds events that the caller got from another request."""
        self._add(events)

    async def add(self, events: Sequence[Event]) -> str:
        """Adds events that are to be forwarded; stores those that must be.

        Returns:
            Why they may not be forwarded, or an empty string.
        """
        for event in events:
            self.last_id = event.id or self.last_id
        self.may_go_on = bool(events[-1].id)
        if not self.is_kept:
            return ""
        self._add(events)
        if self.is_endless:
            return "an output without an end"
        if self.events is not None and not await self.events.add(events):
            # The caller could go on after an event that no gateway knows.
            return "its events were not stored"
        return ""

    def _add(self, events: Sequence[Event | SentEvent]) -> None:
        self.output += sentevents.output_of(events)
        self.size += sum(len(e.data) + len(e.id) + 1 for e in events)
