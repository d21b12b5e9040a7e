"""Hands leadership over while this host's disk is slow."""

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


class SlowDisk:
    """Watches the disk's syncs and moves leadership away from a slow disk.

    Every commit waits for the leader's disk, but only for some of the others.
    Where all disks are slow, frequent changes of the leader would cost more
    than they save, so each leader stays for a while.

    Args:
        on_slow_disk: called with each group that is handed over.
    """

    def __init__(self, on_slow_disk: Callable[[Group], None]) -> None:
        self._on_slow_disk = on_slow_disk
        self._times = SyncTimes()
        # Last monotonic time at which this host led no group.
        self._idle_ms = 0

    def synced(self, took_ms: float) -> None:
        """Notes how long a sync took."""
        self._times.add_sample(took_ms)

    def tick(self, groups: Iterable[Group], now_ms: int) -> None:
        """Hands the groups led here over if the disk is slow."""
        led = [group for group in groups if group.is_leader()]
        if not led:
            self._idle_ms = now_ms
        leading_ms = now_ms - self._idle_ms
        if leading_ms < _MIN_LEADING_MS or not self._times.is_slow():
            return
        self._times.clear_recent()
        for group in led:
            if group.transfer():
                log.warning("slow disk", extra={"group": group.name})
                self._on_slow_disk(group)
