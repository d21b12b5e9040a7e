"""Stores the events of resumable turns, and finds those sent by others.

An event of such a turn is stored before its caller gets it. So when a caller
goes on with the turn at another gateway, that one finds all that the caller
may have received, also if the first gateway is gone.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import logging
from typing import TYPE_CHECKING

from catkinpin.core.control import protocol
from catkinpin.core.control.resumption import ALL_EVENTS
from catkinpin.core.requests import sentevents
from catkinpin.core.requests.sentevents import Mismatch, SentStream
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinpin.adapters.gateway.turnstorage import TurnStorage
    from catkinpin.adapters.peers.keepers import Host, Keepers
    from catkinpin.core.control.resumption import SentTurn
    from catkinpin.core.requests.events import Event
    from catkinpin.core.requests.sentevents import SentEvent

log = logging.getLogger(__name__)

# Timeout for reading parts of turns from one host.
_READ_TIMEOUT_S = 0.6
# Parts of a turn that are asked for at once. Most turns have fewer.
_PARTS_PER_READ = 64
# A caller that sent one turn more often than this can't resume it: all of its
# streams would be in memory at once.
_MAX_STREAMS = 8


class EventStorage:
    """Stores the events of one turn, part by part.

    Args:
        storage: stores each part on several hosts.
        attempt: the turn.
        kept: events of the turn that it resumes. The first part repeats them,
            so that the turn's parts hold all that its caller has.
    """

    def __init__(
        self, storage: TurnStorage, attempt: str, kept: Sequence[SentEvent]
    ) -> None:
        self._storage = storage
        self._attempt = attempt
        self._kept = kept
        self._part_count = 0

    async def add(self, events: Sequence[Event]) -> bool:
        """Stores events; returns whether they survive the tolerated losses."""
        kept = () if self._part_count else self._kept
        data = sentevents.encode_part([*kept, *events])
        name = sentevents.part_name(self._attempt, self._part_count)
        self._part_count += 1
        return bool(await self._storage.store(name, data))


@dataclasses.dataclass(frozen=True)
class FoundStream:
    """The stream that a caller resumes.

    Attributes:
        attempt: its turn.
        kept: the events that the caller has.
        sent_count: number of all its events that are stored.
    """

    attempt: str
    kept: Sequence[SentEvent]
    sent_count: int


class SentStreamReader:
    """Reads the events that other gateways have stored.

    Args:
        keepers: links to keepers and stores.
    """

    def __init__(self, keepers: Keepers) -> None:
        self._keepers = keepers

    async def find(
        self,
        turns: Sequence[SentTurn],
        event_id: str,
        copies: int,
        host_count: int = 0,
    ) -> FoundStream | Mismatch:
        """Returns the stream that a caller has up to an event.

        Args:
            turns: the turns that it may belong to, oldest first.
            event_id: the last event that the caller has.
            copies: number of hosts that store each part.
            host_count: number of hosts that may have stored parts.
        """
        if len(turns) > _MAX_STREAMS:
            return Mismatch.SEVERAL_TURNS
        streams = []
        sent_counts = {}
        for turn in turns:
            events, answer_count = await self._read(turn.attempt)
            silent_count = self._known_count(host_count) - answer_count
            sent_counts[turn.attempt] = len(events)
            # Each part lies on several hosts, so one that all but a few hosts
            # say they lack does not exist.
            is_complete = silent_count < copies
            streams.append(
                SentStream(
                    turn.attempt,
                    events[: _end_of(turn)],
                    is_complete or _is_limit_reached(turn, events),
                )
            )
        chosen = sentevents.choose_stream(streams, event_id)
        if isinstance(chosen, Mismatch):
            return chosen
        sent_count = sent_counts[chosen.attempt]
        return FoundStream(chosen.attempt, chosen.events, sent_count)

    def _known_count(self, host_count: int) -> int:
        """Returns how many hosts may have parts, as the leader or this knows.

        A gateway that has just started does not know the stores yet.
        """
        return max(host_count, self._keepers.host_count())

    async def _read(self, attempt: str) -> tuple[list[SentEvent], int]:
        """Reads the stored events of a turn.

        Returns:
            The events up to the first part that no host has; the number of
            hosts that have answered each time.
        """
        events: list[SentEvent] = []
        answer_counts = []
        for first in itertools.count(0, _PARTS_PER_READ):
            names = [
                sentevents.part_name(attempt, number)
                for number in range(first, first + _PARTS_PER_READ)
            ]
            parts, answer_count = await self._read_parts(names)
            answer_counts.append(answer_count)
            for name in names:
                part = parts.get(name)
                if part is None:
                    return events, min(answer_counts)
                events += part
        raise AssertionError("the count is endless")

    async def _read_parts(
        self, names: list[str]
    ) -> tuple[dict[str, list[SentEvent]], int]:
        """Asks all connected hosts for parts.

        Returns:
            The events of the parts found, by name; the number of hosts that
            answered.
        """
        parts: dict[str, list[SentEvent]] = {}
        hosts = self._keepers.connected()
        answered = await asyncio.gather(
            *(self._read_from(host, names, parts) for host in hosts)
        )
        return parts, sum(answered)

    async def _read_from(
        self, host: Host, names: list[str], parts: dict[str, list[SentEvent]]
    ) -> bool:
        """Adds the parts that a host has; returns whether it answered."""
        try:
            reply = await self._keepers.ask(
                host,
                lambda ask: protocol.Get(ask=ask, attempts=names),
                _READ_TIMEOUT_S,
            )
        except PeerLostError as exc:
            log.info("reading parts of turns failed: %s", exc)
            return False
        for name, data in zip(names, reply.parts, strict=True):
            if data is not None and name not in parts:
                part = sentevents.decode_part(data)
                if part is not None:
                    parts[name] = part
        return True


def _end_of(turn: SentTurn) -> int | None:
    """Returns the number of events that a caller may go on from; None: all."""
    return None if turn.usable_events == ALL_EVENTS else turn.usable_events


def _is_limit_reached(turn: SentTurn, events: Sequence[SentEvent]) -> bool:
    """Returns whether all events are known that a caller may go on from."""
    return 0 <= turn.usable_events <= len(events)
