"""Order of the calls that wait for a server."""

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
    """Orders calls by what their programs have been given.

    Programs under way hold engine memory, and sub-agents hold up a program
    that does: both go before new programs. Among equals someone who waits at
    a screen goes first, then the program that has been served least: nobody
    knows how long a program will be, but one that has taken little so far is
    likelier to end soon.
    """
    under_way = job.turns > 0 or job.parent != ""
    served = job.attained_tokens + job.prompt_tokens
    return (
        -job.priority,
        0 if under_way else 1,
        0 if job.interactive else 1,
        round(math.log2(1 + served)),
        now_ms,
    )


@dataclasses.dataclass(order=True)
class QueuedCall:
    """A call that waits."""

    order: OrderKey
    number: int
    starves_ms: int = dataclasses.field(compare=False)
    job: Job = dataclasses.field(compare=False)


class CallQueue:
    """The calls that wait for the servers of one target, in order.

    A call that has waited for the starvation bound, or for half the time that
    its caller gives it, goes before all others.
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
        """Lets a call wait."""
        self._number += 1
        order = self._order(job, now_ms)
        bound = self._starved_after_ms
        if job.deadline_ms:
            bound = min(bound, (job.deadline_ms - now_ms) // 2)
        waiting = QueuedCall(order, self._number, now_ms + bound, job)
        self._by_key[job.key] = waiting
        bisect.insort(self._sorted, waiting)

    def remove(self, key: CallKey) -> None:
        """Takes a call out."""
        waiting = self._by_key.pop(key, None)
        if waiting is None:
            return
        if waiting in self._starved:
            self._starved.remove(waiting)
        else:
            del self._sorted[bisect.bisect_left(self._sorted, waiting)]

    def promote_starved(self, now_ms: int) -> None:
        """Moves calls that have waited too long to the front."""
        starved = [
            waiting for waiting in self._sorted if waiting.starves_ms <= now_ms
        ]
        if not starved:
            return
        gone = {waiting.number for waiting in starved}
        self._sorted = [w for w in self._sorted if w.number not in gone]
        self._starved += sorted(starved, key=lambda w: w.starves_ms)

    def expired_jobs(self, now_ms: int) -> list[Job]:
        """Returns the calls whose callers no longer wait."""
        return [
            waiting.job
            for waiting in self._by_key.values()
            if 0 < waiting.job.deadline_ms <= now_ms
        ]

    def starved_count(self) -> int:
        """Returns how many calls have waited for the bound."""
        return len(self._starved)

    def __iter__(self) -> Iterator[Job]:
        for waiting in [*self._starved, *self._sorted]:
            yield waiting.job
