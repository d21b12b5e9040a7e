"""Starts of real processes on disks that are full, torn or damaged."""

from __future__ import annotations

import errno
import fcntl
import os

from catkinpin.adapters.disk import files, segments
from catkinpin.adapters.disk.storage import Storage
from catkinpin.adapters.disk.turnbytes import TurnBytes
from catkinpin.adapters.replica.identity import Identity
from catkinpin.exceptions import (
    DiskFullError,
    StorageError,
    UnavailableStorageError,
)
from tests.fakes.startcase import (
    READY_LINES,
    ROLES,
    TIMEOUT_S,
    StartCase,
    Started,
)


class _PowerLossError(Exception):
    """The host loses power."""


class _PowerLossOps:
    """File operations until a power loss, which empties files not synced."""

    def __init__(self, steps: int) -> None:
        self._steps = steps
        self._unsynced: set[str] = set()

    def ops(self) -> files.FileOps:
        return files.FileOps(
            pwrite=self._pwrite, fdatasync=self._sync, fsync=self._sync
        )

    def _step(self) -> None:
        self._steps -= 1
        if self._steps < 0:
            for path in self._unsynced:
                os.truncate(path, 0)
            raise _PowerLossError

    def _pwrite(self, fd: int, data: memoryview, offset: int) -> int:
        self._step()
        self._unsynced.add(os.readlink(f"/proc/self/fd/{fd}"))
        return os.pwrite(fd, data, offset)

    def _sync(self, fd: int) -> None:
        self._step()
        self._unsynced.discard(os.readlink(f"/proc/self/fd/{fd}"))
        os.fsync(fd)


def _fail_full(*_: object) -> int:
    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


# Runs a program one of whose file operations fails while a file exists.
_FAULTY_DISK = """
import os, runpy, sys
marker, operation, number, program = sys.argv[1:5]
original = getattr(os, operation)
def fail(*args, **kwargs):
    if os.path.exists(marker):
        raise OSError(int(number), os.strerror(int(number)))
    return original(*args, **kwargs)
setattr(os, operation, fail)
sys.argv[:5] = ["program"]
sys.path[0] = program
if program == "catkinpin":
    runpy.run_module(program, run_name="__main__", alter_sys=True)
else:
    runpy.run_path(program, run_name="__main__")
"""


class DiskTest(StartCase):
    """Data folders that can't be used yet."""

    def _check_faulty(self, role: str, operation: str, number: int) -> None:
        """Checks that a process waits until its disk can be used again."""
        listeners = self.new_ports()
        script = self.folder / "faulty.py"
        script.write_text(_FAULTY_DISK)
        marker = self.folder / "faulty"
        marker.touch()
        words = [str(script), str(marker), operation, str(number)]
        env: dict[str, str] = {}
        if role in ROLES:
            words += ["platform", role]
            path = self.settings(role, listeners)
            env["CATKINPIN_NODE_FILE"] = str(path)
        else:
            words += self._command(role, listeners)[1:]
        out = self.folder / f"{role}-{operation}-{number}.out"
        process = Started(words, env, out, listeners)
        self.addCleanup(process.end)
        line = process.wait_for("waiting", "waiting for the data folder")
        self.assertIn(os.strerror(number), line["reason"])
        marker.unlink()
        process.wait_for(*READY_LINES)
        process.popen.terminate()
        self.assertEqual(0, process.popen.wait(TIMEOUT_S), process.text)

    def test_start_waits_for_a_full_disk(self) -> None:
        """Guards against a start that a disk full for a while ends."""
        for role in ("keeper", "store", "replica"):
            self._check_faulty(role, "pwrite", errno.ENOSPC)

    def test_start_waits_for_a_folder_that_cannot_be_made_yet(self) -> None:
        """Guards against an end as the disk isn't mounted or writable yet."""
        for role in ("keeper", "store", "replica"):
            for number in (errno.EROFS, errno.EACCES):
                self._check_faulty(role, "mkdir", number)

    def test_keeper_waits_for_a_folder_that_another_process_uses(self) -> None:
        """Guards against a successor that ends while its predecessor stops."""
        for role in ("keeper", "replica"):
            listeners = self.new_ports()
            folder = self.folder / f"{role}-{self._count}"
            folder.mkdir()
            with (folder / "lock").open("w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)
                process = self.start(role, listeners)
                waiting = "waiting for the data folder"
                line = process.wait_for("waiting", waiting)
                self.assertIn("another process uses", line["reason"])
            process.wait_for(*READY_LINES)

    def test_damaged_identity_ends_with_one_line(self) -> None:
        """Guards against a traceback, or a wait for what can't be mended."""
        for role in ("keeper", "store", "replica"):
            for data in ("", '{"version":1,"no'):
                listeners = self.new_ports()
                folder = self.folder / f"{role}-{self._count}"
                folder.mkdir()
                (folder / "identity.json").write_text(data)
                process = self.start(role, listeners)
                code = process.popen.wait(TIMEOUT_S)
                self.assertEqual(3, code, process.text)
                (line,) = process.lines("ended")
                self.assertEqual("storage", line["outcome"])
                self.assertIn("identity.json", line["reason"])
                self.assertNotIn("Traceback", process.text)

    def test_power_loss_leaves_a_whole_identity(self) -> None:
        """Guards against an identity that a power loss leaves empty or cut."""
        is_done = False
        count = 0
        while not is_done:
            folder = self.folder / f"power-{count}"
            folder.mkdir()
            node = Identity(folder, files.FileOps()).node
            try:
                Identity(folder, _PowerLossOps(count).ops()).save_joining()
                is_done = True
            except (_PowerLossError, StorageError):
                count += 1
            self.assertEqual(node, Identity(folder, files.FileOps()).node)
        self.assertGreaterEqual(count, 3)

    def test_power_loss_before_the_first_identity_is_survived(self) -> None:
        """Guards against a first start whose rest prevents the next one."""
        for count in range(3):
            folder = self.folder / f"first-{count}"
            folder.mkdir()
            ops = _PowerLossOps(count).ops()
            self.assertRaises(_PowerLossError, Identity, folder, ops)
            self.assertTrue(Identity(folder, files.FileOps()).node)

    def test_full_disk_at_a_start_can_be_waited_for(self) -> None:
        """Guards against a start that a disk full for a while ends."""
        full = files.FileOps(pwrite=_fail_full)
        for make in (
            lambda ops: Storage(self.folder / "log", ops),
            lambda ops: Identity(self.folder, ops),
        ):
            exc = self.assertRaises(DiskFullError, make, full)
            self.assertTrue(files.is_temporary(exc))
            # The same process tries again, so the folder is locked no more.
            make(files.FileOps())

    def test_failed_attempts_leave_no_files(self) -> None:
        """Guards against a wait that fills the disk or uses up descriptors."""

        def fail(_: int) -> None:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

        ops = files.FileOps(fsync=fail)
        turns = self.folder / "turns"
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(3):
            self.assertRaises(UnavailableStorageError, TurnBytes, turns, ops)
            Storage(self.folder / "made").close()
            for path in (self.folder / "made/log").iterdir():
                path.unlink()
            log = segments.Segment
            path = self.folder / "made/log/00000001.segment"
            self.assertRaises(OSError, log, path, ops, True)
            self.assertEqual([], list((self.folder / "made/log").iterdir()))
        self.assertEqual([], list(turns.iterdir()))
        self.assertEqual(before, len(os.listdir("/proc/self/fd")))

    def test_errors_that_may_pass_are_told_apart(self) -> None:
        """Guards against a wait for a fault, and an end for a short lack."""
        for number in (errno.ENOSPC, errno.EROFS, errno.EACCES, errno.EMFILE):
            self.assertTrue(files.is_temporary(OSError(number, "")))
        for number in (errno.EIO, errno.ENOTDIR, errno.EEXIST, errno.EINVAL):
            self.assertFalse(files.is_temporary(OSError(number, "")))
        self.assertFalse(files.is_temporary(ValueError()))
