"""The data folder's log: all groups of a process in one stream of segments.

One stream means one sync for everything that the groups wrote in a turn of
the loop. Memory holds one position a record, not the records.
"""

from __future__ import annotations

import fcntl
import logging
import os
from typing import TYPE_CHECKING

from catkinpin import metrics
from catkinpin.adapters.disk import files, logrecords, segments, snapshots
from catkinpin.adapters.disk.grouplog import GroupLog, Recovery
from catkinpin.adapters.disk.logrecords import Record, RecordType
from catkinpin.exceptions import (
    DamagedLogError,
    DiskFullError,
    StorageError,
)

if TYPE_CHECKING:
    import pathlib

    from catkinpin.core.consensus.messages import Entry

log = logging.getLogger(__name__)

SEGMENT_BYTES = 64 * 1024 * 1024
# A sealed segment is rewritten once less than this part of it is needed.
_LIVE_SHARE = 0.5


class Storage:
    """The log of all groups of a process.

    After a `StorageError` it refuses everything: what a failed sync left in
    the file is not known, so nothing after it may be acknowledged. A full disk
    is another matter: what could not be written stays here, and is written at
    the same place once there is room.

    Args:
        folder: the data folder.
        ops: file operations.
        segment_bytes: size at which a new segment begins.

    Attributes:
        sync_count: how often the log was synced.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        ops: files.FileOps | None = None,
        segment_bytes: int = SEGMENT_BYTES,
    ) -> None:
        self.folder = folder
        self.ops = ops or files.FileOps()
        self.sync_count = 0
        self._segment_bytes = segment_bytes
        self._segments: dict[int, segments.Segment] = {}
        self._active: segments.Segment
        # Entries and copies a segment holds, and how many are needed.
        self._written: dict[int, int] = {}
        self._needed: dict[int, int] = {}
        self._buffer = bytearray()
        self._sequence = 1
        self._dirty = False
        self._failed: StorageError | None = None
        self._log_folder = folder / "log"
        self._snapshot_folder = folder / "snapshots"
        for path in (self._log_folder, self._snapshot_folder):
            files.make_folder(path)
        files.sync_folder(self.ops, folder)
        self._lock = _lock(folder)
        self._groups: dict[str, GroupLog] = {}
        self._recover()

    def group_log(self, name: str) -> GroupLog:
        """Returns the log of a group, which may be new."""
        if name not in self._groups:
            log = GroupLog(self, name, len(self._groups))
            self._groups[name] = log
            log.write_start()
        return self._groups[name]

    def add(self, record: Record) -> int:
        """Buffers a record and returns its position."""
        self._check()
        number = self._active.number
        start = self._active.size + segments.FRAME_SIZE
        offset = start + len(self._buffer)
        self._buffer += logrecords.pack(record)
        if record.type in (RecordType.ENTRY, RecordType.COPY):
            self._written[number] += 1
            self._needed[number] += 1
        return logrecords.position(number, offset)

    def write(self) -> None:
        """Hands what is buffered to the operating system."""
        self._check()
        if not self._buffer:
            return
        try:
            self._active.write(self._sequence, bytes(self._buffer))
        except DiskFullError:
            raise
        except StorageError as exc:
            self._failed = exc
            raise
        self._buffer.clear()
        self._sequence += 1
        self._dirty = True

    def sync(self) -> bool:
        """Makes everything added so far last; returns whether there was any.

        Raises:
            DiskFullError: it doesn't last yet; try again once there is room.
            StorageError: it may or may not last; nothing of it may be
                acknowledged, and this object refuses all further work.
        """
        self.write()
        if not self._dirty:
            return False
        self._sync_active()
        if self._active.size >= self._segment_bytes:
            self._roll()
        return True

    def _roll(self) -> None:
        """Begins the next segment; on a full disk a later sync does."""
        try:
            self._next_segment()
        except DiskFullError as exc:
            log.warning("no new segment: %s", exc)

    def read(self, position: int) -> Entry:
        """Returns the entry at a position.

        Raises:
            DamagedLogError: its checksum fails.
        """
        segment = self._segments[logrecords.segment_of(position)]
        offset = logrecords.offset_of(position)
        header = self._bytes(segment, offset, logrecords.OVERHEAD)
        size = logrecords.OVERHEAD + logrecords.payload_size(header)
        entry = logrecords.unpack_entry(self._bytes(segment, offset, size))
        if entry is None:
            raise DamagedLogError(segments.damage(segment.path, offset))
        return entry

    def _bytes(
        self, segment: segments.Segment, offset: int, size: int
    ) -> bytes:
        """Returns bytes of a segment, or of what is not written yet."""
        begin = offset - segment.size - segments.FRAME_SIZE
        if segment is self._active and begin >= 0:
            return bytes(self._buffer[begin : begin + size])
        return segment.read(offset, size)

    def mark_unneeded(self, position: int) -> None:
        """Notes that a record is needed no more."""
        self._needed[logrecords.segment_of(position)] -= 1

    def write_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Writes a snapshot file that lasts."""
        self._check()
        try:
            snapshots.write(self.ops, self._snapshot_folder, snapshot)
        except DiskFullError:
            raise
        except StorageError as exc:
            self._failed = exc
            raise

    def read_snapshot(
        self, group: str, index: int
    ) -> snapshots.Snapshot | None:
        """Returns a group's snapshot, None for index 0."""
        if not index:
            return None
        return snapshots.read(self._snapshot_folder, group, index)

    def read_snapshot_part(
        self, group: str, index: int, offset: int, size: int
    ) -> tuple[bytes, int]:
        """Returns a part of a snapshot's file, and its whole size."""
        path = snapshots.path_of(self._snapshot_folder, group, index)
        try:
            with path.open("rb") as file:
                file.seek(offset)
                return file.read(size), os.fstat(file.fileno()).st_size
        except FileNotFoundError:
            return b"", 0

    def segment_count(self) -> int:
        """Returns how many segments there are."""
        return len(self._segments)

    def remove_unneeded_segments(self) -> None:
        """Removes old files, once what is needed of them is copied."""
        self.sync()
        for log in self._groups.values():
            snapshots.remove_others(
                self._snapshot_folder, log.name, log.snapshot_index
            )
        for number in sorted(self._segments):
            if number >= self._first_in_use():
                return
            if self._needed[number] <= _LIVE_SHARE * self._written[number]:
                self._rewrite(number)

    def oldest_segment_users(self) -> list[str]:
        """Returns the groups whose log keeps the oldest segment in use.

        A snapshot of each would let it go.
        """
        oldest = min(self._segments)
        if oldest == self._active.number:
            return []
        return [
            log.name
            for log in self._groups.values()
            if _first_segment(log, self._active.number) == oldest
        ]

    def close(self) -> None:
        """Closes all files."""
        for segment in self._segments.values():
            segment.close()
        os.close(self._lock)

    def _check(self) -> None:
        if self._failed is not None:
            raise self._failed

    def _sync_active(self) -> None:
        try:
            self._active.sync()
        except StorageError as exc:
            self._failed = exc
            raise
        self._dirty = False
        self.sync_count += 1
        metrics.LOG_SYNCS.inc()

    def _first_in_use(self) -> int:
        """Returns the first segment that holds entries after a base."""
        active = self._active.number
        logs = self._groups.values()
        return min((_first_segment(log, active) for log in logs), default=0)

    def _rewrite(self, number: int) -> None:
        for log in self._groups.values():
            log.move_kept(number)
        self.sync()
        segment = self._segments.pop(number)
        del self._written[number], self._needed[number]
        segment.close()
        segment.path.unlink()

    def _next_segment(self) -> None:
        number = max(self._segments, default=0) + 1
        path = self._log_folder / f"{number:08}.segment"
        try:
            self._active = segments.Segment(path, self.ops, create=True)
        except DiskFullError:
            raise
        except (OSError, StorageError) as exc:
            self._failed = StorageError(f"{path}: {exc}")
            raise self._failed from exc
        self._segments[number] = self._active
        self._written[number] = self._needed[number] = 0
        for log in self._groups.values():
            log.write_start()
        self.write()
        self._sync_active()

    def _recover(self) -> None:
        paths = sorted(self._log_folder.glob("*.segment"))
        if not paths:
            self._next_segment()
            return
        by_number: dict[int, Recovery] = {}
        expected = 0
        for path in paths:
            segment = segments.Segment(path, self.ops)
            if segment.number - 1 not in self._segments:
                expected = 0  # Rewritten segments before it are gone.
            self._segments[segment.number] = self._active = segment
            self._written[segment.number] = 0
            for frame in segment.frames(expected, path == paths[-1]):
                expected = frame.sequence + 1
                start = logrecords.position(segment.number, frame.offset)
                for record in logrecords.unpack_all(frame.payload, start):
                    self._recover_record(record, by_number)
        self._sequence = max(expected, 1)
        # What a killed process wrote without a sync is in the file now, but
        # would be gone after a loss of power: nothing counts before a sync.
        self._sync_active()
        self._needed = dict.fromkeys(self._segments, 0)
        for recovery in by_number.values():
            recovery.finish()
            for position in recovery.log.positions():
                self._needed[logrecords.segment_of(position)] += 1

    def _recover_record(
        self, record: Record, by_number: dict[int, Recovery]
    ) -> None:
        if record.type is not RecordType.NAME:
            by_number[record.group].replay(record)
            if record.type in (RecordType.ENTRY, RecordType.COPY):
                self._written[logrecords.segment_of(record.position)] += 1
        elif record.group not in by_number:
            name = bytes(record.payload).decode()
            log = GroupLog(self, name, record.group)
            self._groups[name] = log
            by_number[record.group] = Recovery(log)


def _first_segment(log: GroupLog, active: int) -> int:
    position = log.oldest_position()
    return active if position is None else logrecords.segment_of(position)


def _lock(folder: pathlib.Path) -> int:
    """Takes the folder; two processes on one log would destroy it."""
    fd = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        os.close(fd)
        text = f"{folder}: another process uses this data folder"
        raise StorageError(text) from exc
    return fd
