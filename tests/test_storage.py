"""The log on disk: crashes, damage, failed operations, kept records."""

from __future__ import annotations

import array
import errno
import os
from typing import TYPE_CHECKING

from catkinpin.adapters.disk import files, segments, snapshots, storage
from catkinpin.core.consensus.messages import Entry, EntryKind, Members
from catkinpin.exceptions import (
    DamagedLogError,
    DiskFullError,
    StorageError,
)
from tests import base

if TYPE_CHECKING:
    import pathlib

    from catkinpin.adapters.disk.grouplog import GroupLog


def entries(first: int, last: int, term: int = 1) -> list[Entry]:
    """Returns entries whose payloads contain their index and term."""
    return [
        Entry(index, term, EntryKind.DATA, b"%d/%d" % (index, term) * 20)
        for index in range(first, last + 1)
    ]


class StorageTestCase(base.TestCase):
    """Opens storage on the test's folder and closes it at the end."""

    def open(
        self, ops: files.FileOps | None = None, size: int = 1 << 20
    ) -> storage.Storage:
        opened = storage.Storage(self.folder, ops, size)
        self.addCleanup(self.close, opened)
        return opened

    def close(self, opened: storage.Storage) -> None:
        if opened.folder is not None:
            opened.close()
            opened.folder = None  # type: ignore[assignment]

    def write_batches(self, *batches: list[Entry]) -> None:
        """Writes batches and syncs after each."""
        opened = self.open()
        log = opened.group_log("g")
        for batch in batches:
            log.append(batch)
            opened.sync()
        self.close(opened)

    def newest_segment(self) -> pathlib.Path:
        return max((self.folder / "log").iterdir())

    def take_snapshot(
        self,
        log: GroupLog,
        index: int,
        base_index: int,
        referenced_indexes: list[int],
    ) -> None:
        description = snapshots.Description(
            group=log.name,
            index=index,
            term=1,
            members=Members(),
            referenced=snapshots.pack_indexes(
                array.array("Q", referenced_indexes)
            ),
        )
        taken = snapshots.Snapshot(description, b"state at %d" % index)
        log.save_snapshot(taken, base_index, 1, Members())


def _disk_that_fills(full: list[int]) -> files.FileOps:
    """Returns file operations of a disk that is full while `full` has items.

    A write to the full disk writes half of the data and fails.
    """

    def pwrite(fd: int, data: memoryview, offset: int) -> int:
        if full:
            os.pwrite(fd, data[: len(data) // 2], offset)
            raise OSError(errno.ENOSPC, "no space left on device")
        return os.pwrite(fd, data, offset)

    return files.FileOps(pwrite=pwrite)


class RecoveryTest(StorageTestCase):
    """Recovery of the log when storage is opened."""

    def test_state_and_entries_are_found_again(self) -> None:
        opened = self.open()
        log = opened.group_log("g")
        log.save_state(3, "n1", led=True)
        log.append(entries(1, 9))
        log.append(entries(5, 6, term=2))
        opened.sync()
        self.close(opened)
        log = self.open().group_log("g")
        state = log.stored_state(Members())
        self.assertEqual((3, "n1"), (state.term, state.vote))
        self.assertTrue(state.led)
        wanted = entries(1, 4) + entries(5, 6, term=2)
        self.assertEqual(wanted, list(state.entries))

    def test_torn_tail_is_cut_at_every_byte(self) -> None:
        """Guards against a log that can't recover from a torn write.

        A power loss during a write leaves part of a batch that was never
        acknowledged. All earlier batches must be found, and new ones accepted.
        """
        self.write_batches(entries(1, 3), entries(4, 5))
        intact = self.newest_segment().read_bytes()
        self.write_batches(entries(6, 8))
        torn = self.newest_segment().read_bytes()
        for size in range(len(intact), len(torn)):
            self.newest_segment().write_bytes(torn[:size])
            opened = self.open()
            log = opened.group_log("g")
            self.assertEqual(5, log.last)
            self.close(opened)
        self.write_batches(entries(6, 6))
        self.assertEqual(6, self.open().group_log("g").last)

    def test_torn_batch_with_a_hole(self) -> None:
        """Guards against a batch whose later pages alone reached the disk."""
        self.write_batches(entries(1, 3))
        intact = self.newest_segment().read_bytes()
        self.write_batches(entries(4, 8))
        torn = self.newest_segment().read_bytes()
        hole = bytes(64) + torn[len(intact) + 64 :]
        self.newest_segment().write_bytes(intact + hole)
        self.assertEqual(3, self.open().group_log("g").last)

    def test_damage_before_a_synced_batch_stops_the_replica(self) -> None:
        """Guards against a truncation that silently drops synced records.

        A sector with an acknowledged record is damaged. The error must name
        the file, the offset, and what the operator should do.
        """
        self.write_batches(entries(1, 3), entries(4, 5))
        content = bytearray(self.newest_segment().read_bytes())
        content[content.find(b"2/1") + 1] ^= 1
        self.newest_segment().write_bytes(content)
        exc = self.assertRaises(DamagedLogError, self.open)
        for part in (str(self.newest_segment()), "offset", "catkinpin repair"):
            self.assertIn(part, str(exc))

    def test_damage_found_while_reading(self) -> None:
        opened = self.open()
        log = opened.group_log("g")
        log.append(entries(1, 3))
        opened.sync()
        content = bytearray(self.newest_segment().read_bytes())
        content[content.find(b"2/1") + 1] ^= 1
        self.newest_segment().write_bytes(content)
        self.assertRaises(DamagedLogError, log.read, 2)
        self.assertEqual(entries(3, 3)[0], log.read(3))

    def test_missing_segment_stops_the_replica(self) -> None:
        """Guards against a start without a file that was removed by hand."""
        opened = self.open(size=400)
        log = opened.group_log("g")
        for index in range(1, 9):
            log.append(entries(index, index))
            opened.sync()
        self.close(opened)
        paths = sorted((self.folder / "log").iterdir())
        paths[len(paths) // 2].unlink()
        self.assertRaises(DamagedLogError, self.open)

    def test_unknown_versions_are_refused(self) -> None:
        self.write_batches(entries(1, 3))
        path = self.newest_segment()
        content = bytearray(path.read_bytes())
        content[len(segments.FILE_MAGIC)] = 99
        path.write_bytes(content)
        exc = self.assertRaises(StorageError, self.open)
        self.assertIn("version 99", str(exc))

    def test_two_processes_on_one_folder(self) -> None:
        """Guards against two replicas on one folder, and an unclear error."""
        self.open()
        exc = self.assertRaises(StorageError, self.open)
        self.assertIn("another process", str(exc))


class FailingDiskTest(StorageTestCase):
    """Disks that are full, or that fail to sync."""

    def test_after_a_failed_sync_nothing_is_taken(self) -> None:
        """Guards against acknowledging records after a failed sync.

        The operating system drops the pages that it could not write. The next
        sync succeeds although these records are lost.
        """
        broken: list[int] = []

        def fdatasync(fd: int) -> None:
            if broken:
                broken.clear()
                raise OSError(errno.EIO, "input/output error")
            os.fdatasync(fd)

        self.check_refuses_after_failure(
            files.FileOps(fdatasync=fdatasync), broken
        )

    def test_on_a_full_disk_nothing_is_taken(self) -> None:
        """Guards against a batch that is acknowledged unwritten, or dropped.

        Half of the batch is written when the disk becomes full. Once there is
        space, the whole batch must be written, and all records added since.
        """
        full: list[int] = []
        opened = self.open(_disk_that_fills(full))
        log = opened.group_log("g")
        log.append(entries(1, 3))
        opened.sync()
        full.append(1)
        log.append(entries(4, 6))
        for _ in range(3):
            self.assertRaises(DiskFullError, opened.sync)
        log.append(entries(7, 7))
        self.assertRaises(DiskFullError, opened.sync)
        self.assertEqual(entries(5, 5)[0], log.read(5))
        full.clear()
        self.assertTrue(opened.sync())
        self.assertEqual(entries(7, 7)[0], log.read(7))
        self.close(opened)
        state = self.open().group_log("g").stored_state(Members())
        self.assertEqual(entries(1, 7), list(state.entries))

    def test_kill_on_a_full_disk_loses_nothing_that_lasted(self) -> None:
        """Guards against losing synced records if killed on a full disk.

        Half of a batch is on the disk when the process is killed.
        """
        full: list[int] = []
        opened = self.open(_disk_that_fills(full))
        log = opened.group_log("g")
        log.append(entries(1, 3))
        opened.sync()
        full.append(1)
        log.append(entries(4, 6))
        self.assertRaises(DiskFullError, opened.sync)
        self.close(opened)
        self.assertEqual(3, self.open().group_log("g").last)

    def test_segment_that_finds_no_room_is_begun_later(self) -> None:
        """Guards against a failure if a new segment finds the disk full."""
        full: list[int] = []

        def pwrite(fd: int, data: memoryview, offset: int) -> int:
            if full and offset == 0:
                raise OSError(errno.ENOSPC, "no space left on device")
            return os.pwrite(fd, data, offset)

        opened = self.open(files.FileOps(pwrite=pwrite), size=300)
        log = opened.group_log("g")
        full.append(1)
        for index in range(1, 9):
            log.append(entries(index, index))
            self.assertTrue(opened.sync())
        self.assertEqual(1, opened.segment_count())
        full.clear()
        log.append(entries(9, 9))
        opened.sync()
        self.assertEqual(2, opened.segment_count())
        self.close(opened)
        self.assertEqual(9, self.open().group_log("g").last)

    def check_refuses_after_failure(
        self, ops: files.FileOps, broken: list[int]
    ) -> None:
        opened = self.open(ops)
        log = opened.group_log("g")
        log.append(entries(1, 3))
        opened.sync()
        broken.append(1)
        log.append(entries(4, 4))
        self.assertRaises(StorageError, opened.sync)
        broken.clear()
        self.assertRaises(StorageError, opened.sync)
        self.assertRaises(StorageError, log.append, entries(5, 5))
        self.close(opened)
        self.assertIn(self.open().group_log("g").last, (3, 4))


class KeptRecordsTest(StorageTestCase):
    """Records that a snapshot refers to, after the log was truncated."""

    def test_referenced_records_outlive_segments_and_restarts(self) -> None:
        opened = self.open(size=2_000)
        log, other = opened.group_log("g"), opened.group_log("other")
        referenced_indexes: list[int] = []
        for first in range(1, 200, 10):
            log.append(entries(first, first + 9))
            opened.sync()
            referenced_indexes.append(first)
            self.take_snapshot(log, first + 9, first + 5, referenced_indexes)
            opened.remove_unneeded_segments()
            self.assertEqual(first + 5, log.base)
        other.append(entries(1, 1))
        opened.sync()
        count = opened.segment_count()
        self.assertLess(count, 12)
        for _ in range(2):
            for index in referenced_indexes:
                self.assertEqual(entries(index, index)[0], log.read(index))
            self.assertRaises(StorageError, log.read, 2)
            self.assertEqual(entries(200, 200)[0], log.read(200))
            self.close(opened)
            opened = self.open(size=2_000)
            log = opened.group_log("g")
        self.assertEqual(1, opened.group_log("other").last)
        taken = log.load_snapshot()
        assert taken is not None
        self.assertEqual(b"state at 200", taken.data)

    def test_idle_group_is_named_for_what_it_pins(self) -> None:
        opened = self.open(size=2_000)
        opened.group_log("idle").append(entries(1, 1))
        log = opened.group_log("g")
        for first in range(1, 100, 10):
            log.append(entries(first, first + 9))
            opened.sync()
        self.take_snapshot(log, 100, 100, [])
        opened.remove_unneeded_segments()
        self.assertEqual(["idle"], opened.oldest_segment_users())
        self.take_snapshot(opened.group_log("idle"), 1, 1, [])
        opened.remove_unneeded_segments()
        self.assertEqual(1, opened.segment_count())

    def test_snapshot_of_another_replica(self) -> None:
        opened = self.open()
        log = opened.group_log("g")
        log.append(entries(1, 3))
        opened.sync()
        log.add_fetched(entries(20, 20)[0])
        description = snapshots.Description(
            group="g",
            index=50,
            term=4,
            members=Members(),
            referenced=snapshots.pack_indexes(array.array("Q", [20])),
        )
        log.install(snapshots.Snapshot(description, b"s"), keeps_tail=False)
        log.append(entries(51, 52, term=4))
        opened.sync()
        self.close(opened)
        log = self.open().group_log("g")
        self.assertEqual((50, 4, 52), (log.base, log.base_term, log.last))
        self.assertEqual(entries(20, 20)[0], log.read(20))
        self.assertRaises(StorageError, log.read, 3)

    def test_crash_at_each_step_of_a_snapshot(self) -> None:
        """Guards against a crash that leaves neither the old nor new snapshot.

        The disk fails after each possible number of operations of a truncation.
        """
        max_operations = 0
        while not self.truncate(max_operations):
            max_operations += 1
        self.assertGreater(max_operations, 20)

    def truncate(self, max_operations: int) -> bool:
        """Truncates a log on a disk that fails after `max_operations`.

        Returns:
            Whether the truncation was complete before the disk failed.
        """
        operations_left = [max_operations]

        def count_operation() -> None:
            operations_left[0] -= 1
            if operations_left[0] < 0:
                raise OSError(errno.EIO, "dead")

        def pwrite(fd: int, data: memoryview, offset: int) -> int:
            count_operation()
            return os.pwrite(fd, data, offset)

        def sync(fd: int) -> None:
            count_operation()
            os.fsync(fd)

        self.folder = self.folder / "next"
        self.folder.mkdir()
        self.write_batches(entries(1, 30))
        ops = files.FileOps(pwrite=pwrite, fdatasync=sync, fsync=sync)
        opened = None
        try:
            opened = self.open(ops, size=100)
            log = opened.group_log("g")
            self.take_snapshot(log, 10, 10, [2])
            opened.remove_unneeded_segments()
            self.take_snapshot(log, 20, 18, [2, 15])
            opened.remove_unneeded_segments()
        except (OSError, StorageError):
            if opened is None:
                return False
        assert opened is not None
        self.close(opened)
        reopened = self.open()
        log = reopened.group_log("g")
        self.assertEqual(30, log.last)
        self.assertEqual(entries(2, 2)[0], log.read(2))
        self.close(reopened)
        return operations_left[0] >= 0
