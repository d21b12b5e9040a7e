"""Files with the bytes of turns, which are written once and expire.

The parts of a turn's stream lie beside them, see `core.requests.sentevents`.

A turn's bytes are large and never change, so they are not in the replicated
log. Two hosts near the caller store them, and the log names these hosts.
"""

from __future__ import annotations

import logging
import os
import struct
import zlib
from typing import TYPE_CHECKING

import msgspec

from catkinpin.adapters.disk import files
from catkinpin.core.requests import sentevents
from catkinpin.exceptions import StorageError

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable

log = logging.getLogger(__name__)

# A file is removed once none of its turns is needed. Small files are removed
# sooner, but each file costs a descriptor.
_MAX_FILE_BYTES = 4 * 1024 * 1024
# Length of the name, length of the data, CRC-32 of both.
_HEADER = struct.Struct(">HII")


class _Location(msgspec.Struct):
    """Location of a turn's bytes: file number, offset and size."""

    file: int
    offset: int
    size: int


class TurnBytes:
    """Stores the bytes of turns on this host's disk.

    Args:
        folder: folder of the files.
        ops: file operations.
    """

    def __init__(
        self, folder: pathlib.Path, ops: files.FileOps | None = None
    ) -> None:
        self._folder = folder
        self._ops = ops or files.FileOps()
        self._locations: dict[str, _Location] = {}
        # Names of the parts of each turn, which are dropped together.
        self._parts: dict[str, list[str]] = {}
        self._fds: dict[int, int] = {}
        self._live_counts: dict[int, int] = {}
        self._active_file = 0
        self._active_size = 0
        self._has_unsynced_writes = False
        files.make_folder(folder)
        try:
            for path in files.numbered_files(folder, ".turns"):
                self._recover(path)
            self._start_file()
        except (OSError, UnicodeDecodeError) as exc:
            self.close()
            if files.is_temporary(exc):
                raise
            raise StorageError(f"{folder}: {exc}") from exc
        except BaseException:
            self.close()
            raise

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._locations

    def attempts(self) -> list[str]:
        """Returns the turns of which bytes are stored here."""
        return list(
            {sentevents.turn_of(name): None for name in self._locations}
        )

    def add(self, attempt: str, data: bytes) -> None:
        """Writes a turn's bytes; the next sync makes them durable.

        Raises:
            DiskFullError: the bytes were not stored; all others still are.
            StorageError: the disk is no longer reliable.
        """
        if attempt in self._locations:
            return
        if self._active_size >= _MAX_FILE_BYTES:
            self.sync()
            self._start_file()
        name = attempt.encode()
        crc = zlib.crc32(data, zlib.crc32(name))
        record = _HEADER.pack(len(name), len(data), crc) + name + data
        try:
            fd = self._fds[self._active_file]
            files.write_all(self._ops, fd, record, self._active_size)
        except OSError as exc:
            # The next record overwrites what was written of this one.
            raise files.write_error(self._folder, exc) from exc
        offset = self._active_size + _HEADER.size + len(name)
        self._active_size += len(record)
        self._add_location(
            attempt, _Location(self._active_file, offset, len(data))
        )
        self._has_unsynced_writes = True

    def sync(self) -> None:
        """Syncs everything added so far.

        Raises:
            StorageError: the added bytes may or may not be durable.
        """
        if not self._has_unsynced_writes:
            return
        try:
            self._ops.fdatasync(self._fds[self._active_file])
        except OSError as exc:
            raise StorageError(f"{self._folder}: {exc}") from exc
        self._has_unsynced_writes = False

    def read(self, attempt: str) -> bytes | None:
        """Returns a turn's bytes, None if they are not stored here."""
        location = self._locations.get(attempt)
        if location is None:
            return None
        return os.pread(
            self._fds[location.file], location.size, location.offset
        )

    def drop(self, attempts: Iterable[str]) -> None:
        """Drops turns with their parts, and files in which none is left."""
        for attempt in attempts:
            for name in (attempt, *self._parts.pop(attempt, ())):
                location = self._locations.pop(name, None)
                if location is not None:
                    self._live_counts[location.file] -= 1
        for number, live in list(self._live_counts.items()):
            if not live and number != self._active_file:
                os.close(self._fds.pop(number))
                del self._live_counts[number]
                self._path(number).unlink()

    def close(self) -> None:
        """Closes all files."""
        for fd in self._fds.values():
            os.close(fd)

    def _path(self, number: int) -> pathlib.Path:
        return self._folder / f"{number:08}.turns"

    def _add_location(self, attempt: str, location: _Location) -> None:
        if sentevents.is_part(attempt) and attempt not in self._locations:
            turn = sentevents.turn_of(attempt)
            self._parts.setdefault(turn, []).append(attempt)
        self._locations[attempt] = location
        self._live_counts[location.file] = (
            self._live_counts.get(location.file, 0) + 1
        )

    def _start_file(self) -> None:
        number = max(self._fds, default=0) + 1
        path = self._path(number)
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
            self._fds[number] = os.open(path, flags, 0o600)
            files.sync_folder(self._ops, self._folder)
        except OSError as exc:
            # Each attempt to start on a lacking host would leave a file.
            if number in self._fds:
                os.close(self._fds.pop(number))
                path.unlink()
            raise files.write_error(path, exc) from exc
        self._active_file = number
        self._live_counts[self._active_file] = 0
        self._active_size = 0

    def _recover(self, path: pathlib.Path) -> None:
        """Reads the valid records of a file.

        A power loss may leave a torn tail. A record before it that fails its
        checksum is lost here; another host has a copy.
        """
        number = int(path.stem)
        self._fds[number] = os.open(path, os.O_RDWR)
        self._live_counts[number] = 0
        content = path.read_bytes()
        offset = 0
        damaged_count = torn_count = 0
        while offset + _HEADER.size <= len(content):
            name_size, size, crc = _HEADER.unpack_from(content, offset)
            start = offset + _HEADER.size
            end = start + name_size + size
            if end > len(content) or not name_size:
                break
            if zlib.crc32(content[start:end]) != crc:
                torn_count += 1
                offset = end
                continue
            damaged_count += torn_count
            torn_count = 0
            name = content[start : start + name_size].decode()
            self._add_location(name, _Location(number, start + name_size, size))
            offset = end
        if damaged_count:
            log.warning("%s: %d turns are damaged", path, damaged_count)
        # A killed process may have written records without a sync. A power
        # loss could still erase them, though this process offers them.
        os.fdatasync(self._fds[number])
