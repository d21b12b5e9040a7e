"""Detects from the duration of its syncs that a disk has become slow.

A disk that needs 1 to 5 ms per sync may need 25 to 150 ms for some seconds. If
it is the leader's, each of the two records of a turn waits for it twice: half a
second per turn, which uses up the slack of all programs, while the other
replicas' disks are fast. A leader that detects this hands leadership over,
which costs some tens of ms once.
"""

from __future__ import annotations

import collections

# A disk is slow if so many of the latest syncs were slow. Under peak load these
# syncs take less than half a second even on a slow disk. One or two slow syncs
# are common on any disk.
_WINDOW_SYNCS = 6
_MIN_SLOW_SYNCS = 4
# A sync is slow if it takes this many times the usual duration, and at least
# this many ms: a shorter one costs a turn less than a change of leaders does.
_SLOW_RATIO = 5.0
_MIN_SLOW_MS = 15.0
# Weight of a new sync in the moving average of the usual duration.
_USUAL_WEIGHT = 0.02


class SyncTimes:
    """Durations of the syncs of one disk."""

    def __init__(self) -> None:
        self._usual_ms = 0.0
        self._recent: collections.deque[float] = collections.deque(
            maxlen=_WINDOW_SYNCS
        )

    def add_sample(self, ms: float) -> None:
        """Adds the duration of a sync."""
        self._recent.append(ms)
        if not self._usual_ms:
            self._usual_ms = ms
        elif not self._is_slow_sync(ms):
            self._usual_ms += (ms - self._usual_ms) * _USUAL_WEIGHT

    def is_slow(self) -> bool:
        """Returns whether most of the latest syncs were slow."""
        slow_syncs = sum(self._is_slow_sync(ms) for ms in self._recent)
        return slow_syncs >= _MIN_SLOW_SYNCS

    def clear_recent(self) -> None:
        """Forgets the latest syncs, but not the usual duration."""
        self._recent.clear()

    def _is_slow_sync(self, ms: float) -> bool:
        return ms >= max(_MIN_SLOW_MS, _SLOW_RATIO * self._usual_ms)
