"""Transfers leadership away while this host's disk is slow."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from catkinpin.core.control.disks import SyncTimes

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from catkinpin.adapters.replica.groups import Group

log = logging.getLogger(__name__)

# A leader with a slow disk keeps its leadership at least this long.
_MIN_LEADING_MS = 1_500


class SlowDiskMonitor:
    """Measures disk syncs and transfers leadership away from a slow disk.

    Every commit waits for the leader's disk, but only for a quorum of all
    disks. If all disks are slow, frequent leader changes would cost more than
    they save, so each leader keeps its leadership for a minimum time.

    Args:
        on_slow_disk: called with each group whose leadership is transferred.
    """

    def __init__(self, on_slow_disk: Callable[[Group], None]) -> None:
        self._on_slow_disk = on_slow_disk
        self._sync_times = SyncTimes()
        # Last monotonic time at which this host led no group.
        self._last_idle_ms = 0

    def record(self, sync_ms: float) -> None:
        """Records how long a sync took."""
        self._sync_times.add_sample(sync_ms)

    def tick(self, groups: Iterable[Group], now_ms: int) -> None:
        """Transfers the leadership of all groups if the disk is slow."""
        led = [group for group in groups if group.is_leader()]
        if not led:
            self._last_idle_ms = now_ms
        # How long this host has led at least one group.
        leading_ms = now_ms - self._last_idle_ms
        if leading_ms < _MIN_LEADING_MS or not self._sync_times.is_slow():
            return
        self._sync_times.clear_recent()
        for group in led:
            if group.transfer():
                log.warning("slow disk", extra={"group": group.name})
                self._on_slow_disk(group)
