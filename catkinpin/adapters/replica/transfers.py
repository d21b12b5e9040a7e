"""Moves a snapshot, and the records it refers to, to another replica.

The receiver pulls part by part: what is on its way is bounded, and a part
that got lost is asked for again.
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

_PART_BYTES = 512 * 1024
_PART_RECORDS = 512
_RETRY_MS = 1_000


class Fetch:
    """The receiving end of one snapshot.

    Args:
        log: where the records go.
        node: identity of this replica.
        sender: identity of the replica that offered.
        offer: what it offered.
        send: sends a message to a replica.
        commit: last index of ours that is known to be committed.
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
        self._commit = commit
        self._data = bytearray()
        self._missing: list[int] = []
        self._asked: set[int] = set()
        self._asked_ms = 0

    def tick(self, now_ms: int) -> None:
        """Asks for the next part, or again where none came."""
        if now_ms - self._asked_ms >= _RETRY_MS:
            self.ask(now_ms)

    def ask(self, now_ms: int) -> None:
        """Asks for the next part."""
        self._asked_ms = now_ms
        if self.snapshot is None:
            pull: Any = transport.SnapshotPull(
                group=self._log.name,
                sender=self._node,
                to=self.sender,
                index=self.offer.index,
                offset=len(self._data),
            )
        else:
            if not self._asked:
                self._asked = set(self._missing[-_PART_RECORDS:])
                del self._missing[-_PART_RECORDS:]
            pull = transport.RecordsPull(
                group=self._log.name,
                sender=self._node,
                to=self.sender,
                indexes=sorted(self._asked),
            )
        self._send(self.sender, pull)

    def part(self, part: transport.SnapshotPart) -> bool:
        """Takes a part; returns False where the snapshot is gone."""
        if part.index != self.offer.index or self.snapshot is not None:
            return True
        if part.size == 0:
            return False
        if part.offset != len(self._data):
            return True
        self._data += part.data
        if len(self._data) == part.size:
            return self._whole()
        return True

    def records(self, entries: list[Entry]) -> bool:
        """Takes records; returns False where they are gone."""
        for entry in entries:
            if entry.index in self._asked:
                self._asked.discard(entry.index)
                self._log.add_fetched(entry)
        return bool(entries)

    def is_complete(self) -> bool:
        """Returns whether the snapshot can be installed."""
        left = self._missing or self._asked
        return self.snapshot is not None and not left

    def _whole(self) -> bool:
        content = bytes(self._data)
        self._data.clear()
        try:
            self.snapshot = snapshots.from_bytes(content, self.sender)
        except StorageError:
            # The damage is at the other end; this replica must not stop.
            log.exception("snapshot refused", extra={"group": self._log.name})
            return False
        referenced = self.snapshot.referenced()
        self._missing = [i for i in referenced if not self._holds(i)]
        return True

    def _holds(self, index: int) -> bool:
        # What is past our commit index may be another leader's record.
        return index <= self._commit and self._log.has_record(index)


def part(
    group_log: GroupLog, node: str, pull: transport.SnapshotPull
) -> transport.SnapshotPart:
    """Returns the part of the newest snapshot that was asked for."""
    data, size = b"", 0
    if pull.index == group_log.snapshot_index:
        data, size = group_log.read_snapshot_part(pull.offset, _PART_BYTES)
    return transport.SnapshotPart(
        group=group_log.name,
        sender=node,
        to=pull.sender,
        index=pull.index,
        offset=pull.offset,
        size=size,
        data=data,
    )


def records(
    group_log: GroupLog, node: str, pull: transport.RecordsPull
) -> transport.Records:
    """Returns records that were asked for, as many as fit."""
    entries: list[Entry] = []
    size = 0
    for index in reversed(pull.indexes):
        if size > _PART_BYTES or not group_log.has_record(index):
            break
        entries.append(group_log.read(index))
        size += len(entries[-1].payload)
    return transport.Records(
        group=group_log.name, sender=node, to=pull.sender, entries=entries
    )
