"""Transfers a snapshot, and the records it refers to, to another replica.

The receiver requests one part at a time. This bounds the bytes in flight, and
a lost part is requested again.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from catkinpin.adapters.disk import snapshots
from catkinpin.adapters.replica import transport
from catkinpin.exceptions import StorageError

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from catkinpin.adapters.disk.grouplog import GroupLog
    from catkinpin.core.consensus.messages import Entry, SnapshotOffer

log = logging.getLogger(__name__)

_MAX_PART_BYTES = 512 * 1024
_MAX_REQUESTED_RECORDS = 512
_RETRY_INTERVAL_MS = 1_000


class SnapshotFetch:
    """Receives one snapshot.

    Args:
        log: log that stores the received records.
        node: identity of this replica.
        sender: identity of the replica that offered the snapshot.
        offer: its offer.
        send: sends a message to a replica.
        commit: last index known to be committed in this replica's log.

    Attributes:
        snapshot: the snapshot, once all parts of its file were received.
    """

    def __init__(
        self,
        log: GroupLog,
        node: str,
        sender: str,
        offer: SnapshotOffer,
        send: Callable[[str, Any], None],
        commit: int,
    ) -> None:
        self.sender = sender
        self.offer = offer
        self.snapshot: snapshots.Snapshot | None = None
        self._log = log
        self._node = node
        self._send = send
        self._commit_index = commit
        self._data = bytearray()
        self._missing: list[int] = []
        self._requested: set[int] = set()
        self._requested_ms = 0

    def tick(self, now_ms: int) -> None:
        """Repeats the request if no reply came in time."""
        if now_ms - self._requested_ms >= _RETRY_INTERVAL_MS:
            self.request_next(now_ms)

    def request_next(self, now_ms: int) -> None:
        """Requests the next part of the file, or the next records."""
        self._requested_ms = now_ms
        if self.snapshot is None:
            pull: Any = transport.SnapshotPull(
                group=self._log.name,
                sender=self._node,
                to=self.sender,
                index=self.offer.index,
                offset=len(self._data),
            )
        else:
            if not self._requested:
                self._requested = set(self._missing[-_MAX_REQUESTED_RECORDS:])
                del self._missing[-_MAX_REQUESTED_RECORDS:]
            pull = transport.RecordsPull(
                group=self._log.name,
                sender=self._node,
                to=self.sender,
                indexes=sorted(self._requested),
            )
        self._send(self.sender, pull)

    def handle_part(self, part: transport.SnapshotPart) -> bool:
        """Stores a part; returns False if the snapshot is gone or invalid."""
        is_wanted = (part.sender, part.index) == (self.sender, self.offer.index)
        if not is_wanted or self.snapshot is not None:
            return True
        if part.size == 0:
            return False
        if part.offset != len(self._data):
            return True
        self._data += part.data
        if len(self._data) > part.size:
            return False
        if len(self._data) == part.size:
            return self._load_snapshot()
        return True

    def handle_records(self, entries: list[Entry]) -> bool:
        """Stores records; returns False if the sender has none of them."""
        for entry in entries:
            if entry.index in self._requested:
                self._requested.discard(entry.index)
                self._log.add_fetched(entry)
        return bool(entries)

    def is_complete(self) -> bool:
        """Returns whether the snapshot can be installed."""
        outstanding = self._missing or self._requested
        return self.snapshot is not None and not outstanding

    def _load_snapshot(self) -> bool:
        content = bytes(self._data)
        self._data.clear()
        try:
            self.snapshot = snapshots.decode(content, self.sender)
        except StorageError:
            # The sender's file is damaged; that must not stop this replica.
            log.exception("invalid snapshot", extra={"group": self._log.name})
            return False
        referenced = self.snapshot.referenced()
        description = self.snapshot.description
        if (description.group, description.index) != (
            self._log.name,
            self.offer.index,
        ):
            log.error("another snapshot", extra={"group": self._log.name})
            return False
        self._missing = [
            i for i in referenced if not self._has_committed_record(i)
        ]
        return True

    def _has_committed_record(self, index: int) -> bool:
        # Past the commit index, this log may hold a different record.
        return index <= self._commit_index and self._log.has_record(index)


def read_part(
    group_log: GroupLog, node: str, pull: transport.SnapshotPull
) -> transport.SnapshotPart:
    """Returns the requested part of the newest snapshot.

    Its size is 0 if the requested snapshot is not the newest any more.
    """
    data, size = b"", 0
    if pull.index == group_log.snapshot_index:
        data, size = group_log.read_snapshot_part(pull.offset, _MAX_PART_BYTES)
    return transport.SnapshotPart(
        group=group_log.name,
        sender=node,
        to=pull.sender,
        index=pull.index,
        offset=pull.offset,
        size=size,
        data=data,
    )


def read_records(
    group_log: GroupLog, node: str, pull: transport.RecordsPull
) -> transport.Records:
    """Returns as many of the requested records as fit into a message."""
    entries: list[Entry] = []
    size = 0
    for index in reversed(pull.indexes[-_MAX_REQUESTED_RECORDS:]):
        if size > _MAX_PART_BYTES or not group_log.has_record(index):
            break
        entries.append(group_log.read(index))
        size += len(entries[-1].payload)
    return transport.Records(
        group=group_log.name, sender=node, to=pull.sender, entries=entries
    )
