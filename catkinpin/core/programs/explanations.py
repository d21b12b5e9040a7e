"""Explains to operators why the scheduler chose a server for a call."""

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
_MAX_CANDIDATES = 12


class Candidate(Message, frozen=True):
    """A server that the scheduler considered, with its costs."""

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
    """Asks the leader of a program's shard for the decision on a call."""

    ask: int
    key: CallKey


class Explained(Message, frozen=True):
    """The newest decision on a call.

    Attributes:
        known: whether the leader remembers the call.
        chosen: the chosen server, or empty while the call waits.
        tries: number of decisions on the call so far.
        age_ms: age of the newest decision.
        candidates: the considered servers, cheapest first.
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
    """Keeps a leader's newest decision on each of its most recent calls."""

    def __init__(self) -> None:
        self._decisions: collections.OrderedDict[
            CallKey, tuple[Explained, int]
        ] = collections.OrderedDict()

    def add(
        self, job: Job, costs: list[Cost], chosen: Server | None, now_ms: int
    ) -> None:
        """Adds a decision; it replaces an earlier one on the same call."""
        previous = self._decisions.pop(job.key, None)
        explained = Explained(
            ask=0,
            known=True,
            chosen=chosen.report.server if chosen is not None else "",
            tries=1 + (previous[0].tries if previous is not None else 0),
            prompt_tokens=job.prompt_tokens,
            history_tokens=job.history_tokens,
            attained_tokens=job.attained_tokens,
            turns=job.turns,
            interactive=job.interactive,
            candidates=[
                _candidate_from_cost(cost) for cost in costs[:_MAX_CANDIDATES]
            ],
        )
        self._decisions[job.key] = (explained, now_ms)
        if len(self._decisions) > _MAX_CALLS:
            self._decisions.popitem(last=False)

    def explain(self, ask: Explain, now_ms: int) -> Explained:
        """Returns the newest decision on a call, for an operator."""
        found = self._decisions.get(ask.key)
        if found is None:
            return Explained(ask=ask.ask)
        explained, at_ms = found
        return msgspec.structs.replace(
            explained, ask=ask.ask, age_ms=now_ms - at_ms
        )


def _candidate_from_cost(cost: Cost) -> Candidate:
    """Returns an operator's view of a server that was considered."""
    server = cost.server
    return Candidate(
        server=server.report.server,
        wait_ms=round(cost.wait_ms),
        prefill_ms=round(cost.prefill_ms),
        transfer_ms=round(cost.transfer_ms),
        fits=cost.fits,
        load=server.load,
        capacity=server.report.capacity,
        active_tokens=server.residents.active_tokens,
        cache_tokens=server.report.cache_tokens,
    )
