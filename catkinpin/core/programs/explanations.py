"""Why a recent call went where it went, for operators."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import msgspec

from catkinpin.codec import Message
from catkinpin.core.messages import CallKey

if TYPE_CHECKING:
    from catkinpin.core.placement.candidates import Cost
    from catkinpin.core.placement.jobs import Job
    from catkinpin.core.placement.servers import Server

_MAX_CALLS = 250
_MAX_SHOWN = 12


class Candidate(Message, frozen=True):
    """A server that was weighed, and its costs in milliseconds."""

    server: str
    wait_ms: int
    prefill_ms: int
    transfer_ms: int
    fits: bool
    load: int
    capacity: int
    active_tokens: int
    cache_tokens: int


class Explain(Message, frozen=True):
    """Asks the leader of a program's shard why a call went where it went."""

    ask: int
    key: CallKey


class Explained(Message, frozen=True):
    """The newest decision about a call.

    Attributes:
        known: whether the leader remembers the call.
        chosen: the server, or empty while the call waits.
        tries: how often the call was weighed.
        age_ms: since the newest decision.
        candidates: the cheapest first.
    """

    ask: int
    known: bool = False
    chosen: str = ""
    tries: int = 0
    age_ms: int = 0
    prompt_tokens: int = 0
    history_tokens: int = 0
    attained_tokens: int = 0
    turns: int = 0
    interactive: bool = False
    candidates: list[Candidate] = []


class RecentDecisions:
    """The newest decisions of a leader, the oldest forgotten."""

    def __init__(self) -> None:
        self._found: collections.OrderedDict[CallKey, tuple[Explained, int]] = (
            collections.OrderedDict()
        )

    def add(
        self, job: Job, costs: list[Cost], chosen: Server | None, now_ms: int
    ) -> None:
        """Remembers a decision."""
        before = self._found.pop(job.key, None)
        explained = Explained(
            ask=0,
            known=True,
            chosen=chosen.report.server if chosen is not None else "",
            tries=1 + (before[0].tries if before is not None else 0),
            prompt_tokens=job.prompt_tokens,
            history_tokens=job.history_tokens,
            attained_tokens=job.attained_tokens,
            turns=job.turns,
            interactive=job.interactive,
            candidates=[_candidate(cost) for cost in costs[:_MAX_SHOWN]],
        )
        self._found[job.key] = (explained, now_ms)
        if len(self._found) > _MAX_CALLS:
            self._found.popitem(last=False)

    def explain(self, ask: Explain, now_ms: int) -> Explained:
        """Answers an operator."""
        found = self._found.get(ask.key)
        if found is None:
            return Explained(ask=ask.ask)
        explained, at_ms = found
        return msgspec.structs.replace(
            explained, ask=ask.ask, age_ms=now_ms - at_ms
        )


def _candidate(cost: Cost) -> Candidate:
    server = cost.server
    return Candidate(
        server=server.report.server,
        wait_ms=round(cost.wait),
        prefill_ms=round(cost.prefill),
        transfer_ms=round(cost.transfer),
        fits=cost.fits,
        load=server.load,
        capacity=server.report.capacity,
        active_tokens=server.residents.active_tokens,
        cache_tokens=server.report.cache_tokens,
    )
