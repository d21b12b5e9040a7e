"""The narrow link between regions, shared by all traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.events import Events

BYTES_PER_MS = 15_000_000 / 8 / 1_000


class Link:
    """One direction of the link: bytes go one after the other."""

    def __init__(self, events: Events, delay_ms: float) -> None:
        self.bytes = 0
        self._events = events
        self._delay_ms = delay_ms
        self._free_ms = 0.0

    def send(self, size: int, then: Callable[[], None]) -> None:
        """Runs `then` when `size` bytes have arrived."""
        self.bytes += size
        begin = max(self._events.now_ms, self._free_ms)
        self._free_ms = begin + size / BYTES_PER_MS
        wait = self._free_ms - self._events.now_ms
        self._events.after(wait + self._delay_ms, then)
