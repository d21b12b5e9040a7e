"""The storage of turns' bytes on disk."""

from __future__ import annotations

import errno
import os
import pathlib
import tempfile

import testtools

from catkinpin.adapters.disk import turnbytes
from catkinpin.adapters.disk.files import FileOps
from catkinpin.adapters.disk.turnbytes import TurnBytes
from catkinpin.exceptions import DiskFullError, StorageError


class TurnBytesTest(testtools.TestCase):
    """Durability of turns' bytes, and removal of their files."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / "turns"

    def test_synced_turns_outlive_the_process(self) -> None:
        """Guards against losing acknowledged turns when a process is killed."""
        store = TurnBytes(self.folder)
        for n in range(20):
            store.add(f"t{n}", b"x" * n)
        store.sync()
        reopened = TurnBytes(self.folder)
        self.assertEqual(b"x" * 7, reopened.read("t7"))
        self.assertEqual(20, len(reopened.attempts()))
        self.assertIsNone(reopened.read("other"))

    def test_torn_tail_takes_nothing_before_it(self) -> None:
        """Guards against a partly written turn that is read after a power loss.

        Its bytes would become part of a prompt.
        """
        store = TurnBytes(self.folder)
        store.add("whole", b"a" * 100)
        store.sync()
        store.add("torn", b"b" * 100)
        (path,) = self.folder.glob("*.turns")
        data = path.read_bytes()
        path.write_bytes(data[:-30])
        reopened = TurnBytes(self.folder)
        self.assertEqual(["whole"], reopened.attempts())
        reopened.add("torn", b"c")
        reopened.sync()
        self.assertEqual(b"c", TurnBytes(self.folder).read("torn"))

    def test_damaged_record_is_not_read(self) -> None:
        """Guards against reading an unsynced record damaged by a power loss."""
        store = TurnBytes(self.folder)
        store.add("a", b"a" * 50)
        (path,) = self.folder.glob("*.turns")
        data = bytearray(path.read_bytes())
        data[-1] ^= 1
        path.write_bytes(bytes(data))
        self.assertEqual([], TurnBytes(self.folder).attempts())

    def test_files_go_once_nothing_in_them_is_needed(self) -> None:
        """Guards against a disk that fills up although old turns are dropped.

        No turn could then be stored any more.
        """
        store = TurnBytes(self.folder)
        size = turnbytes._MAX_FILE_BYTES // 4
        for n in range(40):
            store.add(f"t{n}", b"x" * size)
            store.sync()
            if n >= 8:
                store.drop([f"t{n - 8}"])
        self.assertLess(len(list(self.folder.glob("*.turns"))), 6)
        self.assertEqual(b"x" * size, store.read("t39"))

    def test_failed_sync_is_no_acknowledgement(self) -> None:
        """Guards against acknowledging turns whose sync failed."""

        def fail(_: int) -> None:
            raise OSError("refused")

        store = TurnBytes(self.folder, FileOps(fdatasync=fail))
        store.add("a", b"a")
        self.assertRaises(StorageError, store.sync)

    def test_full_disk_takes_no_turn_and_loses_none(self) -> None:
        """Guards against a full disk that damages stored turns or later ones.

        Half of a turn is written when the disk becomes full. Earlier turns
        must stay readable, also after a restart, and later ones must be
        accepted once there is space.
        """
        full: list[int] = []

        def pwrite(fd: int, data: memoryview, offset: int) -> int:
            if full:
                os.pwrite(fd, data[: len(data) // 2], offset)
                raise OSError(errno.ENOSPC, "no space left on device")
            return os.pwrite(fd, data, offset)

        store = TurnBytes(self.folder, FileOps(pwrite=pwrite))
        store.add("a", b"a" * 100)
        store.sync()
        full.append(1)
        self.assertRaises(DiskFullError, store.add, "b", b"b" * 100)
        self.assertEqual(b"a" * 100, store.read("a"))
        self.assertIsNone(store.read("b"))
        full.clear()
        store.add("c", b"c" * 40)
        store.sync()
        reopened = TurnBytes(self.folder)
        self.assertEqual(["a", "c"], sorted(reopened.attempts()))
