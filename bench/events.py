"""A stepped clock: events run in order of time, then of arrival."""

from __future__ import annotations

import heapq
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Events:
    """Events to come.

    Attributes:
        now_ms: time of the event that runs now.
    """

    def __init__(self) -> None:
        self.now_ms = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Runs `action` once `delay_ms` have passed."""
        entry = (self.now_ms + delay_ms, next(self._order), action)
        heapq.heappush(self._heap, entry)

    def run(self, until_ms: float, done: Callable[[], bool]) -> None:
        """Runs events until `done`, or until the time is up."""
        while self._heap and not done():
            at_ms, _, action = heapq.heappop(self._heap)
            if at_ms > until_ms:
                return
            self.now_ms = at_ms
            action()
