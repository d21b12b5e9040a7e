"""File operations; tests put failing ones in their place."""

from __future__ import annotations

import dataclasses
import errno
import os
from typing import TYPE_CHECKING

from catkinpin.exceptions import DiskFullError, StorageError

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable


_FULL = (errno.ENOSPC, errno.EDQUOT)


@dataclasses.dataclass(frozen=True)
class FileOps:
    """The operations that may fail while a process runs."""

    pwrite: Callable[[int, memoryview, int], int] = os.pwrite
    fdatasync: Callable[[int], None] = os.fdatasync
    fsync: Callable[[int], None] = os.fsync


def write_all(ops: FileOps, fd: int, data: bytes, offset: int) -> None:
    """Writes all of `data` at `offset`."""
    view = memoryview(data)
    while view:
        written = ops.pwrite(fd, view, offset)
        view = view[written:]
        offset += written


def write_failure(what: object, exc: OSError) -> StorageError:
    """Returns the error of a write that failed, a full disk apart."""
    kind = DiskFullError if exc.errno in _FULL else StorageError
    return kind(f"{what}: write failed: {exc}")


def make_folder(folder: pathlib.Path) -> None:
    """Makes a folder, where there is none yet.

    Raises:
        StorageError: it can't be made or isn't one.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as exc:
        raise StorageError(f"{folder}: {exc.strerror}") from exc


def sync_folder(ops: FileOps, folder: pathlib.Path) -> None:
    """Makes the names in a folder last; a new file is lost without it."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        ops.fsync(fd)
    finally:
        os.close(fd)


def replace(ops: FileOps, path: pathlib.Path, data: bytes) -> None:
    """Writes a file so that a crash leaves the old one or the new one."""
    beside = path.with_name(path.name + ".tmp")
    fd = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(ops, fd, data, 0)
        ops.fsync(fd)
    except OSError:
        # On a full disk half a file would take the room that others need.
        beside.unlink()
        raise
    finally:
        os.close(fd)
    beside.replace(path)
    sync_folder(ops, path.parent)
