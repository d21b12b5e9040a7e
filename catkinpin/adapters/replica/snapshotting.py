"""Writes snapshots of a replica's groups and removes old segments."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from catkinpin.exceptions import DiskFullError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinpin.adapters.disk.storage import Storage
    from catkinpin.adapters.replica.groups import Group

log = logging.getLogger(__name__)

# Above this number of segments, idle groups that still need the oldest one
# get a snapshot so that it can be removed.
_MAX_SEGMENTS = 4
# After a snapshot the log keeps 1/4 of the snapshot interval's records.
_KEPT_ENTRIES_DIVISOR = 4
# Delay before the next snapshot after one failed because the disk is full.
_DISK_FULL_RETRY_MS = 1_000


class SnapshotWriter:
    """Writes snapshots, and removes the segments that they replace.

    Args:
        storage: the log on disk.
        snapshot_entries: records of a group between two of its snapshots.
    """

    def __init__(self, storage: Storage, snapshot_entries: int) -> None:
        self._storage = storage
        self._snapshot_entries = snapshot_entries
        self._retry_at_ms = 0

    def take(
        self, group: Group, groups: Mapping[str, Group], now_ms: int
    ) -> None:
        """Writes a group's snapshot; retries later if the disk is full."""
        if now_ms < self._retry_at_ms:
            return
        try:
            self._write(group, groups)
        except DiskFullError as exc:
            log.warning(
                "snapshot postponed: %s", exc, extra={"group": group.name}
            )
            self._retry_at_ms = now_ms + _DISK_FULL_RETRY_MS

    def _write(self, group: Group, groups: Mapping[str, Group]) -> None:
        group.take_snapshot(self._snapshot_entries // _KEPT_ENTRIES_DIVISOR)
        if self._storage.segment_count() > _MAX_SEGMENTS:
            for name in self._storage.oldest_segment_users():
                if name in groups:
                    groups[name].take_snapshot(0)
        self._storage.remove_unneeded_segments()
