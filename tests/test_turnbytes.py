"""Turns' bytes on the disk."""

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
    """What lasts, and what goes."""

    def setUp(self) -> None:
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name) / "turns"

    def test_synced_turns_outlive_the_process(self) -> None:
        """A store is killed after it has acknowledged turns."""
        first = TurnBytes(self.folder)
        for n in range(20):
            first.add(f"t{n}", b"x" * n)
        first.sync()
        again = TurnBytes(self.folder)
        self.assertEqual(b"x" * 7, again.read("t7"))
        self.assertEqual(20, len(again.attempts()))
        self.assertIsNone(again.read("other"))

    def test_torn_tail_takes_nothing_before_it(self) -> None:
        """Power goes while a turn is written.

        Read as it stands, half a turn would become part of a prompt.
        """
        first = TurnBytes(self.folder)
        first.add("whole", b"a" * 100)
        first.sync()
        first.add("torn", b"b" * 100)
        (path,) = self.folder.glob("*.turns")
        data = path.read_bytes()
        path.write_bytes(data[:-30])
        again = TurnBytes(self.folder)
        self.assertEqual(["whole"], again.attempts())
        again.add("torn", b"c")
        again.sync()
        self.assertEqual(b"c", TurnBytes(self.folder).read("torn"))

    def test_damaged_record_is_not_read(self) -> None:
        """A byte of an unsynced record is wrong after a loss of power."""
        first = TurnBytes(self.folder)
        first.add("a", b"a" * 50)
        (path,) = self.folder.glob("*.turns")
        data = bytearray(path.read_bytes())
        data[-1] ^= 1
        path.write_bytes(bytes(data))
        self.assertEqual([], TurnBytes(self.folder).attempts())

    def test_files_go_once_nothing_in_them_is_needed(self) -> None:
        """A busy day goes on for hours on a small disk.

        Without this the disk fills, and no turn can be stored any more.
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
        """A disk refuses a sync; what the file holds is not known."""

        def fail(_: int) -> None:
            raise OSError("refused")

        store = TurnBytes(self.folder, FileOps(fdatasync=fail))
        store.add("a", b"a")
        self.assertRaises(StorageError, store.sync)

    def test_full_disk_takes_no_turn_and_loses_none(self) -> None:
        """A disk has no room for one turn, and half of it is written.

        The turns before it can still be read, also after a restart, and the
        next one is taken once there is room.
        """
        full: list[int] = []

        def pwrite(fd: int, data: memoryview, offset: int) -> int:
            if full:
                os.pwrite(fd, data[: len(data) // 2], offset)
                raise OSError(errno.ENOSPC, "no space left on device")
            return os.pwrite(fd, data, offset)

        held = TurnBytes(self.folder, FileOps(pwrite=pwrite))
        held.add("a", b"a" * 100)
        held.sync()
        full.append(1)
        self.assertRaises(DiskFullError, held.add, "b", b"b" * 100)
        self.assertEqual(b"a" * 100, held.read("a"))
        self.assertIsNone(held.read("b"))
        full.clear()
        held.add("c", b"c" * 40)
        held.sync()
        again = TurnBytes(self.folder)
        self.assertEqual(["a", "c"], sorted(again.attempts()))
