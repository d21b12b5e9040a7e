"""Things that fall due, for a caller that knows the time."""

from __future__ import annotations

import heapq
import itertools
from typing import Generic, TypeVar

_T = TypeVar("_T")


class Timers(Generic[_T]):
    """Items by due time; what has become irrelevant is left to fire."""

    def __init__(self) -> None:
        self._heap: list[tuple[int, int, _T]] = []
        self._count = itertools.count()

    def add(self, due_ms: int, item: _T) -> None:
        """Adds an item that falls due at a monotonic time."""
        heapq.heappush(self._heap, (due_ms, next(self._count), item))

    def due(self, now_ms: int) -> list[_T]:
        """Removes and returns what is due, the oldest first."""
        found = []
        while self._heap and self._heap[0][0] <= now_ms:
            found.append(heapq.heappop(self._heap)[2])
        return found
