"""Event loop on a simulated clock."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EventLoop:
    """Runs callbacks in order of time, then in the order of scheduling.

    Attributes:
        now_ms: simulated time of the current event.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    def schedule(self, delay_ms: float, callback: Callable[[], None]) -> None:
        """Schedules `callback` to run after `delay_ms`."""
        entry = (self.now_ms + delay_ms, next(self._sequence), callback)
        heapq.heappush(self._queue, entry)

    def run(self, end_ms: float, is_done: Callable[[], bool]) -> None:
        """Runs events until `is_done` returns true or `end_ms` has passed."""
        while self._queue and not is_done():
            at_ms, _, callback = heapq.heappop(self._queue)
            if at_ms > end_ms:
                return
            self.now_ms = at_ms
            callback()
