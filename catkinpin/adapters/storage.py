"""The log on disk: one file of checksummed records, synced in groups."""

from __future__ import annotations

import os
import struct
import zlib
from typing import TYPE_CHECKING

from catkinpin.exceptions import DamagedLogError, StorageError

if TYPE_CHECKING:
    import pathlib

MAGIC = b"CATKLOG1"
_HEADER = struct.Struct("<II")  # Payload length and its CRC-32.
_MAX_RECORD = 64 * 1024 * 1024


class Log:
    """An append-only file of records, numbered from 1.

    Memory holds one offset a record, not the records.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._offsets: list[int] = []
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        self._end = self._recover()
        self._pending: list[bytes] = []

    def __len__(self) -> int:
        return len(self._offsets)

    def append(self, payload: bytes) -> int:
        """Buffers a record and returns its index; it lasts after `sync`."""
        header = _HEADER.pack(len(payload), zlib.crc32(payload))
        self._offsets.append(self._end)
        self._end += len(header) + len(payload)
        self._pending += [header, payload]
        return len(self._offsets)

    def sync(self) -> None:
        """Writes and syncs all buffered records with one system call each.

        Raises:
            StorageError: the records may or may not last; the caller must not
                acknowledge them and must stop using this log.
        """
        if not self._pending:
            return
        data = b"".join(self._pending)
        self._pending = []
        try:
            _write_all(self._fd, data, self._end - len(data))
            os.fdatasync(self._fd)
        except OSError as exc:
            raise StorageError(f"{self._path}: {exc}") from exc

    def read(self, index: int) -> bytes:
        """Returns record `index`.

        Raises:
            DamagedLogError: its checksum fails.
        """
        offset = self._offsets[index - 1]
        header = os.pread(self._fd, _HEADER.size, offset)
        length, crc = _HEADER.unpack(header)
        payload = os.pread(self._fd, length, offset + _HEADER.size)
        if zlib.crc32(payload) != crc:
            raise DamagedLogError(self._damage(offset))
        return payload

    def close(self) -> None:
        """Closes the file."""
        os.close(self._fd)

    def _damage(self, offset: int) -> str:
        return (
            f"{self._path}: the record at offset {offset} fails its checksum;"
            " remove this data folder and repair the replica from the others"
        )

    def _recover(self) -> int:
        """Reads offsets; cuts a torn tail, refuses damage before the tail."""
        data_end = os.fstat(self._fd).st_size
        if data_end < len(MAGIC):
            os.ftruncate(self._fd, 0)
            _write_all(self._fd, MAGIC, 0)
            os.fsync(self._fd)
            return len(MAGIC)
        if os.pread(self._fd, len(MAGIC), 0) != MAGIC:
            raise StorageError(f"{self._path}: unknown format version")
        offset = len(MAGIC)
        while offset < data_end:
            end = self._check(offset, data_end)
            if end == 0:
                os.ftruncate(self._fd, offset)
                os.fsync(self._fd)
                break
            self._offsets.append(offset)
            offset = end
        return offset

    def _check(self, offset: int, data_end: int) -> int:
        """Returns the end of the record at `offset`, 0 for a torn tail."""
        header = os.pread(self._fd, _HEADER.size, offset)
        if len(header) < _HEADER.size:
            return 0
        length, crc = _HEADER.unpack(header)
        end: int = offset + _HEADER.size + length
        if length > _MAX_RECORD or end > data_end:
            return 0
        payload = os.pread(self._fd, length, offset + _HEADER.size)
        if zlib.crc32(payload) == crc:
            return end
        # A crash tears only the last record: it was never acknowledged and
        # may go. Bytes after it mean that a synced record was damaged, and
        # cutting there would lose acknowledged records unseen.
        if end == data_end:
            return 0
        raise DamagedLogError(self._damage(offset))


def _write_all(fd: int, data: bytes, offset: int) -> None:
    view = memoryview(data)
    while view:
        written = os.pwrite(fd, view, offset)
        view = view[written:]
        offset += written
