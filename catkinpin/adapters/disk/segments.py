"""The files of the log: numbered segments that hold checksummed frames.

A frame is all that one sync made last, for every group of the process. The
next frame is only written once the one before is synced. So a broken frame
with nothing whole after it was torn by a crash and never acknowledged, and a
broken frame with a whole one after it is damage.
"""

from __future__ import annotations

import dataclasses
import os
import struct
import zlib
from typing import TYPE_CHECKING

from catkinpin.adapters.disk import files
from catkinpin.exceptions import (
    DamagedLogError,
    DiskFullError,
    StorageError,
)

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterator

MAGIC = b"CATKSEG"
VERSION = 2
_FRAME = struct.Struct("<4sQII")  # Mark, sequence number, length, CRC-32.
_FRAME_MARK = b"\xc5FRM"
HEADER_SIZE = len(MAGIC) + 1
FRAME_SIZE = _FRAME.size


@dataclasses.dataclass(frozen=True)
class Frame:
    """A whole frame.

    Attributes:
        offset: where its payload begins in the file.
    """

    sequence: int
    offset: int
    payload: memoryview


class Segment:
    """One file of the log."""

    def __init__(
        self, path: pathlib.Path, ops: files.FileOps, create: bool = False
    ) -> None:
        self.path = path
        self.number = int(path.stem)
        self.size = 0
        self._ops = ops
        flags = os.O_RDWR | (os.O_CREAT if create else 0)
        self.fd = os.open(path, flags, 0o600)
        if create:
            self._begin()

    def _begin(self) -> None:
        """Makes a new file last; none is left where the disk is full."""
        try:
            self._write(MAGIC + bytes([VERSION]))
        except DiskFullError:
            # A later segment would make a torn end of the one before it look
            # like damage.
            self.close()
            self.path.unlink()
            raise
        self._ops.fsync(self.fd)
        files.sync_folder(self._ops, self.path.parent)

    def write(self, sequence: int, payload: bytes) -> int:
        """Writes a frame, not yet synced; returns its payload's offset."""
        crc = zlib.crc32(payload, sequence & 0xFFFFFFFF)
        header = _FRAME.pack(_FRAME_MARK, sequence, len(payload), crc)
        offset = self.size + len(header)
        self._write(header + payload)
        return offset

    def sync(self) -> None:
        """Makes all written frames last."""
        try:
            self._ops.fdatasync(self.fd)
        except OSError as exc:
            raise StorageError(f"{self.path}: sync failed: {exc}") from exc

    def read(self, offset: int, size: int) -> bytes:
        """Returns bytes of the file."""
        return os.pread(self.fd, size, offset)

    def frames(self, expected: int, is_last: bool) -> Iterator[Frame]:
        """Yields the frames; cuts a torn tail off the last segment.

        Args:
            expected: sequence number of the first frame, 0 for any.
            is_last: whether no later segment exists.

        Raises:
            DamagedLogError: a frame that was synced is broken.
            StorageError: the file has an unknown format.
        """
        data = memoryview(os.pread(self.fd, os.fstat(self.fd).st_size, 0))
        if len(data) < HEADER_SIZE and is_last:
            # The crash came before this new segment was synced.
            self._cut(0)
            self._write(MAGIC + bytes([VERSION]))
            self._ops.fsync(self.fd)
            return
        self._check_format(data)
        offset = HEADER_SIZE
        while offset < len(data):
            frame = _frame_at(data, offset)
            if frame is None or expected not in (0, frame.sequence):
                if not is_last or _any_frame_after(data, offset + 1):
                    raise DamagedLogError(damage(self.path, offset))
                self._cut(offset)
                return
            yield frame
            expected = frame.sequence + 1
            offset = frame.offset + len(frame.payload)
        self.size = offset

    def close(self) -> None:
        """Closes the file."""
        os.close(self.fd)

    def _write(self, data: bytes) -> None:
        try:
            files.write_all(self._ops, self.fd, data, self.size)
        except OSError as exc:
            raise files.write_failure(self.path, exc) from exc
        self.size += len(data)

    def _cut(self, size: int) -> None:
        os.ftruncate(self.fd, size)
        self._ops.fsync(self.fd)
        self.size = size

    def _check_format(self, data: memoryview) -> None:
        if bytes(data[: len(MAGIC)]) != MAGIC:
            raise StorageError(f"{self.path}: not a segment of the log")
        version = data[len(MAGIC)]
        if version != VERSION:
            raise StorageError(
                f"{self.path}: format version {version}; this program knows"
                f" only version {VERSION}"
            )


def damage(path: pathlib.Path, offset: int) -> str:
    """Returns the text of an error about damage."""
    return (
        f"{path}: the record at offset {offset} fails its checksum; move this"
        " data folder away, start the replica with an empty one and run"
        " `catkinpin repair`"
    )


def _frame_at(data: memoryview, offset: int) -> Frame | None:
    """Returns the frame at `offset`, None unless it is whole."""
    if offset + _FRAME.size > len(data):
        return None
    mark, sequence, length, crc = _FRAME.unpack_from(data, offset)
    start = offset + _FRAME.size
    if mark != _FRAME_MARK or start + length > len(data):
        return None
    payload = data[start : start + length]
    if zlib.crc32(payload, sequence & 0xFFFFFFFF) != crc:
        return None
    return Frame(sequence, start, payload)


def _any_frame_after(data: memoryview, offset: int) -> bool:
    rest = bytes(data[offset:])
    found = rest.find(_FRAME_MARK)
    while found >= 0:
        if _frame_at(data, offset + found) is not None:
            return True
        found = rest.find(_FRAME_MARK, found + 1)
    return False
