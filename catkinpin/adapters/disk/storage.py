"""The log on disk: one sequence of segments for all groups of a process.

With one sequence, a single sync covers all writes of the groups in one
iteration of the event loop. Memory holds the position of each record, not the
record itself.
"""

from __future__ import annotations

import contextlib
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
    UnavailableStorageError,
)

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

    from catkinpin.core.consensus.messages import Entry

log = logging.getLogger(__name__)

SEGMENT_BYTES = 64 * 1024 * 1024
# A full segment is rewritten once at most this share of it is needed.
_REWRITE_MAX_LIVE_SHARE = 0.5


class Storage:
    """The log of all groups of a process.

    After a `StorageError` all operations fail: the file's content after a
    failed sync is unknown, so nothing written later may be acknowledged. A
    full disk is different: the unwritten records stay buffered, and are
    written at the same offset once there is space.

    Args:
        folder: the data folder.
        ops: file operations.
        segment_bytes: size from which on a new segment is started.

    Attributes:
        folder: the data folder.
        ops: file operations.
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
        # By segment: the entries and copies it holds, and how many of them are
        # needed.
        self._written_counts: dict[int, int] = {}
        self._needed_counts: dict[int, int] = {}
        self._buffer = bytearray()
        self._next_sequence = 1
        self._has_unsynced_writes = False
        self._failure: StorageError | None = None
        self._log_folder = folder / "log"
        self._snapshot_folder = folder / "snapshots"
        for path in (self._log_folder, self._snapshot_folder):
            files.make_folder(path)
        files.sync_folder(self.ops, folder)
        self._lock_fd = _lock_folder(folder)
        self._groups: dict[str, GroupLog] = {}
        with self.closed_on_error():
            self._recover()

    def group_log(self, name: str) -> GroupLog:
        """Returns the log of a group; creates it if there is none."""
        if name not in self._groups:
            log = GroupLog(self, name, len(self._groups))
            self._groups[name] = log
            log.write_group_header()
        return self._groups[name]

    def add(self, record: Record) -> int:
        """Buffers a record and returns its position."""
        self._raise_if_failed()
        number = self._active.number
        start = self._active.size + segments.FRAME_HEADER_BYTES
        offset = start + len(self._buffer)
        self._buffer += logrecords.pack(record)
        if record.type in (RecordType.ENTRY, RecordType.COPY):
            self._written_counts[number] += 1
            self._needed_counts[number] += 1
        return logrecords.encode_position(number, offset)

    def write(self) -> None:
        """Writes the buffered records to the file, without a sync."""
        self._raise_if_failed()
        if not self._buffer:
            return
        try:
            self._active.write(self._next_sequence, bytes(self._buffer))
        except DiskFullError:
            raise
        except StorageError as exc:
            self._failure = exc
            raise
        self._buffer.clear()
        self._next_sequence += 1
        self._has_unsynced_writes = True

    def sync(self) -> bool:
        """Writes and syncs all added records; returns whether there were any.

        Raises:
            DiskFullError: the records are not durable yet; try again once the
                disk has space.
            StorageError: the records may or may not be durable. None may be
                acknowledged, and all further operations fail.
        """
        self.write()
        if not self._has_unsynced_writes:
            return False
        self._sync_active()
        if self._active.size >= self._segment_bytes:
            self._start_next_segment_if_possible()
        return True

    def _start_next_segment_if_possible(self) -> None:
        """Starts the next segment; if the disk is full, a later sync does."""
        try:
            self._start_segment()
        except DiskFullError as exc:
            log.warning("new segment postponed: %s", exc)

    def read(self, position: int) -> Entry:
        """Returns the entry at a position.

        Raises:
            DamagedLogError: the record's checksum does not match.
        """
        segment = self._segments[logrecords.segment_of(position)]
        offset = logrecords.offset_of(position)
        header = self._read_bytes(
            segment, offset, logrecords.RECORD_OVERHEAD_BYTES
        )
        size = logrecords.RECORD_OVERHEAD_BYTES + logrecords.payload_size(
            header
        )
        entry = logrecords.unpack_entry(self._read_bytes(segment, offset, size))
        if entry is None:
            raise DamagedLogError(segments.damage_message(segment.path, offset))
        return entry

    def _read_bytes(
        self, segment: segments.Segment, offset: int, size: int
    ) -> bytes:
        """Returns bytes of a segment or of the buffer that follows it."""
        begin = offset - segment.size - segments.FRAME_HEADER_BYTES
        if segment is self._active and begin >= 0:
            return bytes(self._buffer[begin : begin + size])
        return segment.read(offset, size)

    def mark_unneeded(self, position: int) -> None:
        """Records that the record at a position is no longer needed."""
        self._needed_counts[logrecords.segment_of(position)] -= 1

    def write_snapshot(self, snapshot: snapshots.Snapshot) -> None:
        """Writes and syncs a snapshot file."""
        self._raise_if_failed()
        try:
            snapshots.write(self.ops, self._snapshot_folder, snapshot)
        except DiskFullError:
            raise
        except StorageError as exc:
            self._failure = exc
            raise

    def read_snapshot(
        self, group: str, index: int
    ) -> snapshots.Snapshot | None:
        """Returns a group's snapshot; None if `index` is 0."""
        if not index:
            return None
        return snapshots.read(self._snapshot_folder, group, index)

    def read_snapshot_part(
        self, group: str, index: int, offset: int, size: int
    ) -> tuple[bytes, int]:
        """Returns a part of a snapshot's file, and the file's size.

        Both are empty if the file no longer exists.
        """
        path = snapshots.snapshot_path(self._snapshot_folder, group, index)
        try:
            with path.open("rb") as file:
                file.seek(offset)
                return file.read(size), os.fstat(file.fileno()).st_size
        except FileNotFoundError:
            return b"", 0

    def segment_count(self) -> int:
        """Returns the number of segments."""
        return len(self._segments)

    def remove_unneeded_segments(self) -> None:
        """Removes old segments and snapshots; copies needed records first."""
        self.sync()
        for log in self._groups.values():
            snapshots.remove_others(
                self._snapshot_folder, log.name, log.snapshot_index
            )
        for number in sorted(self._segments):
            if number >= self._first_segment_in_use():
                return
            if (
                self._needed_counts[number]
                <= _REWRITE_MAX_LIVE_SHARE * self._written_counts[number]
            ):
                self._rewrite_segment(number)

    def oldest_segment_users(self) -> list[str]:
        """Returns the groups whose entries are in the oldest segment.

        It can be removed once there is a newer snapshot of each.
        """
        oldest = min(self._segments)
        if oldest == self._active.number:
            return []
        return [
            log.name
            for log in self._groups.values()
            if _first_segment(log, self._active.number) == oldest
        ]

    @contextlib.contextmanager
    def closed_on_error(self) -> Iterator[None]:
        """Closes all files if creating a process fails.

        Otherwise another attempt could not lock the folder.
        """
        try:
            yield
        except BaseException:
            self.close()
            raise

    def close(self) -> None:
        """Closes all files."""
        for segment in self._segments.values():
            segment.close()
        os.close(self._lock_fd)

    def _raise_if_failed(self) -> None:
        if self._failure is not None:
            raise self._failure

    def _sync_active(self) -> None:
        try:
            self._active.sync()
        except StorageError as exc:
            self._failure = exc
            raise
        self._has_unsynced_writes = False
        self.sync_count += 1
        metrics.LOG_SYNCS.inc()

    def _first_segment_in_use(self) -> int:
        """Returns the first segment with entries that no snapshot replaces."""
        active = self._active.number
        logs = self._groups.values()
        return min((_first_segment(log, active) for log in logs), default=0)

    def _rewrite_segment(self, number: int) -> None:
        for log in self._groups.values():
            log.move_kept_records(number)
        self.sync()
        segment = self._segments.pop(number)
        del self._written_counts[number], self._needed_counts[number]
        segment.close()
        segment.path.unlink()

    def _start_segment(self) -> None:
        number = max(self._segments, default=0) + 1
        path = self._log_folder / f"{number:08}.segment"
        try:
            self._active = segments.Segment(path, self.ops, create=True)
        except DiskFullError:
            raise
        except (OSError, StorageError) as exc:
            error = StorageError(f"{path}: {exc}")
            if isinstance(exc, OSError):
                error = files.write_error(path, exc)
            if not isinstance(error, DiskFullError):
                self._failure = error
            raise error from exc
        self._segments[number] = self._active
        self._written_counts[number] = self._needed_counts[number] = 0
        for log in self._groups.values():
            log.write_group_header()
        self.write()
        self._sync_active()

    def _recover(self) -> None:
        paths = files.numbered_files(self._log_folder, ".segment")
        if not paths:
            self._start_segment()
            return
        recoveries: dict[int, Recovery] = {}
        expected_sequence = 0
        for path in paths:
            segment = segments.Segment(path, self.ops)
            if segment.number - 1 not in self._segments:
                expected_sequence = 0  # Rewritten segments before it are gone.
            self._segments[segment.number] = self._active = segment
            self._written_counts[segment.number] = 0
            for frame in segment.frames(expected_sequence, path == paths[-1]):
                expected_sequence = frame.sequence + 1
                start = logrecords.encode_position(segment.number, frame.offset)
                for record in logrecords.unpack_all(frame.payload, start):
                    self._recover_record(record, recoveries)
        self._next_sequence = max(expected_sequence, 1)
        # The file may contain records that a killed process wrote but did not
        # sync. A power loss could still erase them, so they are synced first.
        self._sync_active()
        self._needed_counts = dict.fromkeys(self._segments, 0)
        for recovery in recoveries.values():
            recovery.finish()
            for position in recovery.log.positions():
                self._needed_counts[logrecords.segment_of(position)] += 1

    def _recover_record(
        self, record: Record, recoveries: dict[int, Recovery]
    ) -> None:
        if record.type is not RecordType.NAME:
            recoveries[record.group].replay(record)
            if record.type in (RecordType.ENTRY, RecordType.COPY):
                self._written_counts[
                    logrecords.segment_of(record.position)
                ] += 1
        elif record.group not in recoveries:
            name = bytes(record.payload).decode()
            log = GroupLog(self, name, record.group)
            self._groups[name] = log
            recoveries[record.group] = Recovery(log)


def _first_segment(log: GroupLog, active: int) -> int:
    position = log.first_entry_position()
    return active if position is None else logrecords.segment_of(position)


def _lock_folder(folder: pathlib.Path) -> int:
    """Locks the folder, since two processes would destroy the log."""
    try:
        fd = os.open(folder / "lock", os.O_RDWR | os.O_CREAT, 0o600)
    except OSError as exc:
        raise StorageError(f"{folder}: {exc}") from exc
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as exc:
        os.close(fd)
        text = f"{folder}: another process uses this data folder"
        raise UnavailableStorageError(text) from exc
    return fd
