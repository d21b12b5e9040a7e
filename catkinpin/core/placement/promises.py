"""Return times that refused programs were given, and their reserved room."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools

# A program that returns until this long after its time takes priority over new
# programs.
_PRIORITY_MS = 1_000
# A promise is dropped this long after its time.
_EXPIRY_MS = 2_000
# Tolerance for a program that returns early: `Retry-After` is rounded to 10 ms,
# and hosts' timers differ by some ms.
_EARLY_RETURN_MS = 20
_MAX_PROMISES = 10_000

# Service, account and ID of a program.
ProgramKey = tuple[str, str, str]


@dataclasses.dataclass
class Promise:
    """A return time.

    Attributes:
        capacity: slots of the service when it was given.
        occupancy: share of a slot that the program needs.
        is_reserved: whether its room is kept.
    """

    due_ms: int
    capacity: float
    occupancy: float
    is_reserved: bool = True

    def is_due(self, now_ms: int) -> bool:
        """Returns whether a program that returns now has priority."""
        earliest_ms = self.due_ms - _EARLY_RETURN_MS
        return earliest_ms <= now_ms <= self.due_ms + _PRIORITY_MS


class Promises:
    """Keeps the promises of all services."""

    def __init__(self) -> None:
        self._promises: collections.OrderedDict[ProgramKey, Promise] = (
            collections.OrderedDict()
        )
        self._reserved: collections.defaultdict[str, float] = (
            collections.defaultdict(float)
        )
        self._timers: list[tuple[int, int, ProgramKey, Promise]] = []
        self._timer_ids = itertools.count()

    def __len__(self) -> int:
        return len(self._promises)

    def reserved_slots(self, service: str) -> float:
        """Returns the slots that promised programs of a service need."""
        return max(0.0, self._reserved[service])

    def find(self, program: ProgramKey) -> Promise | None:
        """Returns the promise to a program, None if there is none."""
        return self._promises.get(program)

    def add(self, program: ProgramKey, promise: Promise) -> None:
        """Adds a promise; above the limit, the oldest one is dropped."""
        self.remove(program)
        self._promises[program] = promise
        self._reserved[program[0]] += promise.occupancy
        for delay_ms in (_PRIORITY_MS, _EXPIRY_MS):
            entry = (
                promise.due_ms + delay_ms,
                next(self._timer_ids),
                program,
                promise,
            )
            heapq.heappush(self._timers, entry)
        while len(self._promises) > _MAX_PROMISES:
            self.remove(next(iter(self._promises)))

    def remove(self, program: ProgramKey) -> None:
        """Removes a promise, if there is one."""
        promise = self._promises.pop(program, None)
        if promise is not None:
            self._release(program, promise)

    def advance(self, now_ms: int) -> None:
        """Releases the room of programs that did not return in time."""
        while self._timers and self._timers[0][0] < now_ms:
            _, _, program, promise = heapq.heappop(self._timers)
            if self._promises.get(program) is not promise:
                continue
            if promise.is_reserved:
                self._release(program, promise)
            else:
                del self._promises[program]

    def _release(self, program: ProgramKey, promise: Promise) -> None:
        if promise.is_reserved:
            promise.is_reserved = False
            self._reserved[program[0]] -= promise.occupancy
