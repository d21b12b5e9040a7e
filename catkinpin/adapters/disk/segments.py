"""The files of the log: numbered segments that hold checksummed frames.

A frame holds the records of all groups that one sync made durable. A frame is
written only after the previous one is synced. So an invalid frame with no
valid one after it was torn by a crash and never acknowledged, and an invalid
frame before a valid one means that the file is damaged.
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

FILE_MAGIC = b"CATKSEG"
FORMAT_VERSION = 2
# Mark, sequence number, payload length, CRC-32.
_FRAME_HEADER = struct.Struct("<4sQII")
_FRAME_MARK = b"\xc5FRM"
FILE_HEADER_BYTES = len(FILE_MAGIC) + 1
FRAME_HEADER_BYTES = _FRAME_HEADER.size


@dataclasses.dataclass(frozen=True)
class Frame:
    """A valid frame.

    Attributes:
        sequence: its number in the sequence of all frames of the log.
        offset: offset of its payload in the file.
        payload: its records.
    """

    sequence: int
    offset: int
    payload: memoryview


class Segment:
    """One file of the log.

    Attributes:
        path: path of the file.
        number: number of the segment, taken from the path.
        size: size of the file in bytes.
        fd: descriptor of the open file.
    """

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
            self._write_file_header()

    def _write_file_header(self) -> None:
        """Writes and syncs a new header; removes the file if it cannot."""
        try:
            self._write(FILE_MAGIC + bytes([FORMAT_VERSION]))
            self._ops.fsync(self.fd)
            files.sync_folder(self._ops, self.path.parent)
        except (OSError, DiskFullError):
            # Only the last segment may end in a torn frame. If this file
            # stayed, a torn frame in the one before would count as damage.
            self.close()
            self.path.unlink()
            raise

    def write(self, sequence: int, payload: bytes) -> int:
        """Writes a frame without a sync; returns its payload's offset."""
        crc = zlib.crc32(payload, sequence & 0xFFFFFFFF)
        header = _FRAME_HEADER.pack(_FRAME_MARK, sequence, len(payload), crc)
        offset = self.size + len(header)
        self._write(header + payload)
        return offset

    def sync(self) -> None:
        """Syncs all written frames."""
        try:
            self._ops.fdatasync(self.fd)
        except OSError as exc:
            raise StorageError(f"{self.path}: sync failed: {exc}") from exc

    def read(self, offset: int, size: int) -> bytes:
        """Returns bytes of the file."""
        return os.pread(self.fd, size, offset)

    def frames(self, expected_sequence: int, is_last: bool) -> Iterator[Frame]:
        """Yields the frames; truncates a torn tail of the last segment.

        Args:
            expected_sequence: sequence number of the first frame, 0 for any.
            is_last: whether no later segment exists.

        Raises:
            DamagedLogError: a frame that was synced is invalid.
            StorageError: the file has an unknown format.
        """
        data = memoryview(os.pread(self.fd, os.fstat(self.fd).st_size, 0))
        if len(data) < FILE_HEADER_BYTES and is_last:
            # The process crashed before it had synced this new segment.
            self._truncate(0)
            self._write(FILE_MAGIC + bytes([FORMAT_VERSION]))
            self._ops.fsync(self.fd)
            return
        self._check_format(data)
        offset = FILE_HEADER_BYTES
        while offset < len(data):
            frame = _parse_frame(data, offset)
            if frame is None or expected_sequence not in (0, frame.sequence):
                if not is_last or _has_frame_after(data, offset + 1):
                    raise DamagedLogError(damage_message(self.path, offset))
                self._truncate(offset)
                return
            yield frame
            expected_sequence = frame.sequence + 1
            offset = frame.offset + len(frame.payload)
        self.size = offset

    def close(self) -> None:
        """Closes the file."""
        os.close(self.fd)

    def _write(self, data: bytes) -> None:
        try:
            files.write_all(self._ops, self.fd, data, self.size)
        except OSError as exc:
            raise files.write_error(self.path, exc) from exc
        self.size += len(data)

    def _truncate(self, size: int) -> None:
        os.ftruncate(self.fd, size)
        self._ops.fsync(self.fd)
        self.size = size

    def _check_format(self, data: memoryview) -> None:
        if bytes(data[: len(FILE_MAGIC)]) != FILE_MAGIC:
            raise StorageError(f"{self.path}: not a segment of the log")
        version = data[len(FILE_MAGIC)]
        if version != FORMAT_VERSION:
            raise StorageError(
                f"{self.path}: format version {version}; this program knows"
                f" only version {FORMAT_VERSION}"
            )


def damage_message(path: pathlib.Path, offset: int) -> str:
    """Returns the error message for a damaged segment."""
    return (
        f"{path}: the record at offset {offset} fails its checksum; move this"
        " data folder away, start the replica with an empty one and run"
        " `catkinpin repair`"
    )


def _parse_frame(data: memoryview, offset: int) -> Frame | None:
    """Returns the frame at `offset`, None if there is no valid one."""
    if offset + _FRAME_HEADER.size > len(data):
        return None
    mark, sequence, length, crc = _FRAME_HEADER.unpack_from(data, offset)
    start = offset + _FRAME_HEADER.size
    if mark != _FRAME_MARK or start + length > len(data):
        return None
    payload = data[start : start + length]
    if zlib.crc32(payload, sequence & 0xFFFFFFFF) != crc:
        return None
    return Frame(sequence, start, payload)


def _has_frame_after(data: memoryview, offset: int) -> bool:
    rest = bytes(data[offset:])
    found = rest.find(_FRAME_MARK)
    while found >= 0:
        if _parse_frame(data, offset + found) is not None:
            return True
        found = rest.find(_FRAME_MARK, found + 1)
    return False
