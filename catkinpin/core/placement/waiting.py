"""Queue of the calls that wait for a server, and its order."""

from __future__ import annotations

import bisect
import dataclasses
import math
from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.messages import CallKey
    from catkinpin.core.placement.jobs import Job

OrderKey = tuple[int, ...]
Ordering = Callable[["Job", int], OrderKey]


def least_attained(job: Job, now_ms: int) -> OrderKey:
    """Returns the sort key of the least-attained-service order.

    Started programs hold engine memory, and sub-agents block a program that
    does, so both go before new programs. Among these, interactive calls go
    first, then the program that has been served least: the length of a program
    is unknown, but one that has used little so far is likelier to end soon.
    """
    goes_first = job.turns > 0 or job.parent != ""
    served_tokens = job.attained_tokens + job.prompt_tokens
    return (
        -job.priority,
        0 if goes_first else 1,
        0 if job.interactive else 1,
        round(math.log2(1 + served_tokens)),
        now_ms,
    )


@dataclasses.dataclass(order=True)
class QueuedCall:
    """A call in the queue, ordered by its sort key and then its number."""

    order: OrderKey
    number: int
    starved_at_ms: int = dataclasses.field(compare=False)
    job: Job = dataclasses.field(compare=False)


class CallQueue:
    """The queued calls of one target, in order.

    A call is starved once it has waited for the starvation bound or for half
    the time to its deadline. Starved calls go before all others.
    """

    def __init__(self, order: Ordering, starved_after_ms: int) -> None:
        self._order = order
        self._starved_after_ms = starved_after_ms
        self._starved: list[QueuedCall] = []
        self._sorted: list[QueuedCall] = []
        self._by_key: dict[CallKey, QueuedCall] = {}
        self._number = 0

    def __len__(self) -> int:
        return len(self._by_key)

    def __contains__(self, key: CallKey) -> bool:
        return key in self._by_key

    def add(self, job: Job, now_ms: int) -> None:
        """Adds a call to the queue."""
        self._number += 1
        order = self._order(job, now_ms)
        starvation_ms = self._starved_after_ms
        if job.deadline_ms:
            starvation_ms = min(starvation_ms, (job.deadline_ms - now_ms) // 2)
        queued = QueuedCall(order, self._number, now_ms + starvation_ms, job)
        self._by_key[job.key] = queued
        bisect.insort(self._sorted, queued)

    def remove(self, key: CallKey) -> None:
        """Removes a call from the queue, if it is there."""
        queued = self._by_key.pop(key, None)
        if queued is None:
            return
        if queued in self._starved:
            self._starved.remove(queued)
        else:
            del self._sorted[bisect.bisect_left(self._sorted, queued)]

    def promote_starved(self, now_ms: int) -> None:
        """Moves starved calls to the front."""
        starved = [
            queued for queued in self._sorted if queued.starved_at_ms <= now_ms
        ]
        if not starved:
            return
        starved_numbers = {queued.number for queued in starved}
        self._sorted = [
            queued
            for queued in self._sorted
            if queued.number not in starved_numbers
        ]
        self._starved += sorted(
            starved, key=lambda queued: queued.starved_at_ms
        )

    def expired_jobs(self, now_ms: int) -> list[Job]:
        """Returns the calls whose deadline has passed."""
        return [
            queued.job
            for queued in self._by_key.values()
            if 0 < queued.job.deadline_ms <= now_ms
        ]

    def starved_count(self) -> int:
        """Returns the number of starved calls."""
        return len(self._starved)

    def __iter__(self) -> Iterator[Job]:
        for queued in [*self._starved, *self._sorted]:
            yield queued.job
