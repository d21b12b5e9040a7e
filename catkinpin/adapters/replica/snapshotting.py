"""When a replica writes snapshots of its groups and removes old segments."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from catkinpin.exceptions import DiskFullError

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinpin.adapters.disk.storage import Storage
    from catkinpin.adapters.replica.groups import Group

log = logging.getLogger(__name__)

# Segments that idle groups may keep from being removed.
_PINNED_SEGMENTS = 4
# One part in this many of the records before a snapshot stays in the log.
_TAIL_SHARE = 4
# Pause after a snapshot that found the disk full.
_DISK_FULL_MS = 1_000


class Snapshots:
    """Writes snapshots, and removes the segments that they make needless.

    Args:
        storage: the log on disk.
        entries: records of a group between two of its snapshots.
    """

    def __init__(self, storage: Storage, entries: int) -> None:
        self._storage = storage
        self._entries = entries
        self._next_ms = 0

    def take(
        self, group: Group, groups: Mapping[str, Group], now_ms: int
    ) -> None:
        """Writes a group's snapshot; a full disk puts it off."""
        if now_ms < self._next_ms:
            return
        try:
            self._write(group, groups)
        except DiskFullError as exc:
            log.warning("no snapshot: %s", exc, extra={"group": group.name})
            self._next_ms = now_ms + _DISK_FULL_MS

    def _write(self, group: Group, groups: Mapping[str, Group]) -> None:
        group.take_snapshot(self._entries // _TAIL_SHARE)
        if self._storage.segment_count() > _PINNED_SEGMENTS:
            for name in self._storage.oldest_segment_users():
                if name in groups:
                    groups[name].take_snapshot(0)
        self._storage.remove_unneeded_segments()
