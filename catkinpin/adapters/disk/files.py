"""File operations that tests can replace by failing ones."""

from __future__ import annotations

import contextlib
import dataclasses
import errno
import logging
import os
import re
from typing import TYPE_CHECKING

from catkinpin.exceptions import (
    DiskFullError,
    StorageError,
    UnavailableStorageError,
)

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable


log = logging.getLogger(__name__)

_NUMBER = re.compile(r"[0-9]{1,18}")
_DISK_FULL_ERRNOS = (errno.ENOSPC, errno.EDQUOT)
# Errors that end without a change of the stored data: a folder that isn't
# mounted or writable yet, or a lack of descriptors or memory.
_UNAVAILABLE_ERRNOS = (
    errno.EACCES,
    errno.EPERM,
    errno.EROFS,
    errno.ENOENT,
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOMEM,
    errno.EBUSY,
)


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


def write_error(what: object, exc: OSError) -> StorageError:
    """Returns the error for a failed write, of a type for its cause."""
    return _error_type(exc)(f"{what}: write failed: {exc}")


def is_temporary(exc: Exception) -> bool:
    """Returns whether storage that can't be opened now may be usable later."""
    if isinstance(exc, OSError):
        return _error_type(exc) is not StorageError
    return isinstance(exc, DiskFullError | UnavailableStorageError)


def _error_type(exc: OSError) -> type[StorageError]:
    if exc.errno in _DISK_FULL_ERRNOS:
        return DiskFullError
    if exc.errno in _UNAVAILABLE_ERRNOS:
        return UnavailableStorageError
    return StorageError


def make_folder(folder: pathlib.Path) -> None:
    """Creates a folder if it does not exist, so that a crash can't lose it.

    Raises:
        StorageError: the folder can't be created, or the path is a file.
    """
    try:
        missing = [
            path for path in (folder, *folder.parents) if not path.exists()
        ]
        folder.mkdir(parents=True, exist_ok=True)
        for path in missing:
            # A parent that isn't readable can't be synced.
            with contextlib.suppress(PermissionError):
                sync_folder(FileOps(), path.parent)
    except OSError as exc:
        raise _error_type(exc)(f"{folder}: {exc.strerror}") from exc


def numbered_files(folder: pathlib.Path, suffix: str) -> list[pathlib.Path]:
    """Returns the files with numbers for names, in the order of the names.

    Others are foreign. They are logged and stay as they are.
    """
    paths = sorted(folder.glob(f"*{suffix}"))
    foreign = [path for path in paths if not _NUMBER.fullmatch(path.stem)]
    if foreign:
        log.warning("ignoring %d foreign files in %s", len(foreign), folder)
    return [path for path in paths if path not in foreign]


def sync_folder(ops: FileOps, folder: pathlib.Path) -> None:
    """Syncs a folder; otherwise a crash could lose a new file's name."""
    fd = os.open(folder, os.O_RDONLY)
    try:
        ops.fsync(fd)
    finally:
        os.close(fd)


def replace_file(ops: FileOps, path: pathlib.Path, data: bytes) -> None:
    """Replaces a file so that a crash leaves either the old or the new one."""
    temporary = path.with_name(path.name + ".tmp")
    fd = os.open(temporary, os.O_RDWR | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_all(ops, fd, data, 0)
        ops.fsync(fd)
    except OSError:
        # On a full disk, the partial file would take space that others need.
        temporary.unlink()
        raise
    finally:
        os.close(fd)
    temporary.replace(path)
    sync_folder(ops, path.parent)
