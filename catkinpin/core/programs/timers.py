"""Timer queue for a caller that provides the time."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

_T = TypeVar("_T")


class Timers(Generic[_T]):
    """Items by due time. They can't be cancelled; callers ignore stale ones."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, _T]] = []
        self._count = itertools.count()

    def add(self, due_ms: int, item: _T) -> None:
        """Adds an item that is due at a monotonic time."""
        heapq.heappush(self._heap, (due_ms, next(self._count), item))

    def pop_due(self, now_ms: int) -> list[_T]:
        """Removes and returns the items that are due, earliest first."""
        found = []
        while self._heap and self._heap[0][0] <= now_ms:
            found.append(heapq.heappop(self._heap)[2])
        return found
