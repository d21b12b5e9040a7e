"""Files with the bytes of turns, written once and dropped by age.

A turn's bytes are large and never change, so they don't go through the
replicated log: two hosts near the caller hold them, and the log says which.
"""

from __future__ import annotations

import os
import struct
import zlib
from typing import TYPE_CHECKING

import msgspec

from catkinpin.adapters.disk import files
from catkinpin.exceptions import StorageError

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable

# A file goes once nothing in it is needed; small files go sooner, and each
# costs a descriptor.
_FILE_BYTES = 4 * 1024 * 1024
# Length of the name, length of the data, CRC-32 of both.
_HEADER = struct.Struct(">HII")


class _Place(msgspec.Struct):
    """Where a turn's bytes lie."""

    file: int
    offset: int
    size: int


class TurnBytes:
    """The turns' bytes that this host holds.

    Args:
        folder: where the files lie.
        ops: file operations.
    """

    def __init__(
        self, folder: pathlib.Path, ops: files.FileOps | None = None
    ) -> None:
        self._folder = folder
        self._ops = ops or files.FileOps()
        self._places: dict[str, _Place] = {}
        self._fds: dict[int, int] = {}
        self._live: dict[int, int] = {}
        self._active = 0
        self._size = 0
        self._dirty = False
        files.make_folder(folder)
        for path in sorted(folder.glob("*.turns")):
            self._recover(path)
        self._next_file()

    def __contains__(self, attempt: str) -> bool:
        return attempt in self._places

    def attempts(self) -> list[str]:
        """Returns the turns held."""
        return list(self._places)

    def add(self, attempt: str, data: bytes) -> None:
        """Writes a turn's bytes; they last after the next sync.

        Raises:
            DiskFullError: they aren't here; all others are.
            StorageError: this disk can't be trusted any more.
        """
        if attempt in self._places:
            return
        if self._size >= _FILE_BYTES:
            self.sync()
            self._next_file()
        name = attempt.encode()
        crc = zlib.crc32(data, zlib.crc32(name))
        record = _HEADER.pack(len(name), len(data), crc) + name + data
        try:
            fd = self._fds[self._active]
            files.write_all(self._ops, fd, record, self._size)
        except OSError as exc:
            # The next record is written over what this one left.
            raise files.write_failure(self._folder, exc) from exc
        offset = self._size + _HEADER.size + len(name)
        self._size += len(record)
        self._note(attempt, _Place(self._active, offset, len(data)))
        self._dirty = True

    def sync(self) -> None:
        """Makes everything added so far last.

        Raises:
            StorageError: it may or may not last.
        """
        if not self._dirty:
            return
        try:
            self._ops.fdatasync(self._fds[self._active])
        except OSError as exc:
            raise StorageError(f"{self._folder}: {exc}") from exc
        self._dirty = False

    def read(self, attempt: str) -> bytes | None:
        """Returns a turn's bytes, None where they aren't here."""
        place = self._places.get(attempt)
        if place is None:
            return None
        return os.pread(self._fds[place.file], place.size, place.offset)

    def drop(self, attempts: Iterable[str]) -> None:
        """Forgets turns, and removes files that nothing is left in."""
        for attempt in attempts:
            place = self._places.pop(attempt, None)
            if place is not None:
                self._live[place.file] -= 1
        for number, live in list(self._live.items()):
            if not live and number != self._active:
                os.close(self._fds.pop(number))
                del self._live[number]
                self._path(number).unlink()

    def close(self) -> None:
        """Closes all files."""
        for fd in self._fds.values():
            os.close(fd)

    def _path(self, number: int) -> pathlib.Path:
        return self._folder / f"{number:08}.turns"

    def _note(self, attempt: str, place: _Place) -> None:
        self._places[attempt] = place
        self._live[place.file] = self._live.get(place.file, 0) + 1

    def _next_file(self) -> None:
        number = max(self._fds, default=0) + 1
        path = self._path(number)
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_TRUNC
            self._fds[number] = os.open(path, flags, 0o600)
            files.sync_folder(self._ops, self._folder)
        except OSError as exc:
            raise files.write_failure(path, exc) from exc
        self._active = number
        self._live[self._active] = 0
        self._size = 0

    def _recover(self, path: pathlib.Path) -> None:
        """Reads a file up to the first record that is not whole.

        After a loss of power the tail may be torn. What was acknowledged was
        synced, so it lies before.
        """
        number = int(path.stem)
        self._fds[number] = os.open(path, os.O_RDWR)
        self._live[number] = 0
        content = path.read_bytes()
        offset = 0
        while offset + _HEADER.size <= len(content):
            name_size, size, crc = _HEADER.unpack_from(content, offset)
            start = offset + _HEADER.size
            end = start + name_size + size
            if end > len(content) or zlib.crc32(content[start:end]) != crc:
                break
            name = content[start : start + name_size].decode()
            self._note(name, _Place(number, start + name_size, size))
            offset = end
        # What a killed process wrote without a sync would be gone after a
        # loss of power, though this process now answers for it.
        os.fdatasync(self._fds[number])
