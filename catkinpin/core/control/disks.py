"""When a disk has turned slow, by how long its syncs take.

The pattern: a disk that took 1 to 5 ms a sync takes 25 to 150 ms for some
seconds. Where it is the leader's, each of a turn's two records waits for it
twice, half a second a turn, and all programs lose their slack; the disks of
the others are fine. A leader that has noticed hands its office over, at the
cost of some tens of ms once.
"""

from __future__ import annotations

import collections

# Syncs that are looked at together. At the peak that is less than half a
# second even of a slow disk; one or two slow ones are common on any disk.
_RECENT = 6
_SLOW_OF_RECENT = 4
# Slow is what takes so many times the usual, and at least so many ms: less
# costs a turn less than a change of leaders does.
_SLOW_RATIO = 5.0
_MIN_MS = 15.0
# Part of the way that the usual time moves towards each new one.
_WEIGHT = 0.02


class SyncTimes:
    """Times of one disk's syncs."""

    def __init__(self) -> None:
        self._usual_ms = 0.0
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_RECENT
        )

    def add_sample(self, ms: float) -> None:
        """Notes how long a sync took."""
        self._recent.append(ms)
        if not self._usual_ms:
            self._usual_ms = ms
        elif not self._is_long(ms):
            self._usual_ms += (ms - self._usual_ms) * _WEIGHT

    def is_slow(self) -> bool:
        """Returns whether most recent syncs took far longer than usual."""
        long = sum(self._is_long(ms) for ms in self._recent)
        return long >= _SLOW_OF_RECENT

    def clear_recent(self) -> None:
        """Forgets recent syncs, but not the usual time."""
        self._recent.clear()

    def _is_long(self, ms: float) -> bool:
        return ms >= max(_MIN_MS, _SLOW_RATIO * self._usual_ms)
