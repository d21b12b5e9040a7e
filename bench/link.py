"""Simulated network link between two regions, shared by all traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.events import EventLoop

BANDWIDTH_BYTES_PER_MS = 15_000_000 / 8 / 1_000


class Link:
    """One direction of a link; messages are transmitted one after another.

    Attributes:
        sent_bytes: total size of all messages sent so far.
    """

    def __init__(self, events: EventLoop, delay_ms: float) -> None:
        self.sent_bytes = 0
        self._events = events
        self._delay_ms = delay_ms
        self._idle_at_ms = 0.0

    def send(self, size_bytes: int, on_delivered: Callable[[], None]) -> None:
        """Sends a message and calls `on_delivered` when it has arrived."""
        self.sent_bytes += size_bytes
        start_ms = max(self._events.now_ms, self._idle_at_ms)
        self._idle_at_ms = start_ms + size_bytes / BANDWIDTH_BYTES_PER_MS
        sent_after_ms = self._idle_at_ms - self._events.now_ms
        self._events.schedule(sent_after_ms + self._delay_ms, on_delivered)
