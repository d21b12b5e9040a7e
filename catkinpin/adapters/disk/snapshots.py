"""Snapshot files: the state of a group as of one index."""

from __future__ import annotations

import array
import dataclasses
import struct
import sys
import zlib
from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.adapters.disk import files
from catkinpin.codec import Message
from catkinpin.core.consensus.messages import Members  # noqa: TC001
from catkinpin.exceptions import DamagedLogError, StorageError

if TYPE_CHECKING:
    import pathlib

MAGIC = b"CATKSNP"
VERSION = 1
_HEADER = struct.Struct("<7sBII")  # Magic, version, header's length, CRC-32.


class Description(Message, frozen=True):
    """What a snapshot file says about itself.

    Attributes:
        index: last index that the state covers.
        referenced: indexes of records that must still be readable, packed.
    """

    group: str
    index: int
    term: int
    members: Members
    referenced: bytes


_decoder = codec.decoder(Description)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A snapshot in memory."""

    description: Description
    data: bytes

    def referenced(self) -> array.array[int]:
        """Returns the indexes of the records that must be readable."""
        return unpack_indexes(self.description.referenced)


def pack_indexes(indexes: array.array[int]) -> bytes:
    """Returns indexes as little-endian 64-bit numbers."""
    if sys.byteorder != "little":
        indexes = indexes[:]
        indexes.byteswap()
    return indexes.tobytes()


def unpack_indexes(data: bytes) -> array.array[int]:
    """Returns indexes that were packed."""
    indexes = array.array("Q")
    indexes.frombytes(data)
    if sys.byteorder != "little":
        indexes.byteswap()
    return indexes


def path_of(folder: pathlib.Path, group: str, index: int) -> pathlib.Path:
    """Returns the path of a snapshot file."""
    return folder / f"{group}-{index}.snapshot"


def to_bytes(snapshot: Snapshot) -> bytes:
    """Returns the content of a snapshot file."""
    header = codec.encode(snapshot.description)
    body = header + snapshot.data
    start = _HEADER.pack(MAGIC, VERSION, len(header), zlib.crc32(body))
    return start + body


def from_bytes(content: bytes, origin: str) -> Snapshot:
    """Returns the snapshot in `content`.

    Args:
        content: what a snapshot file holds.
        origin: file or process that it came from, for the error's text.

    Raises:
        StorageError: the format is unknown.
        DamagedLogError: the checksum fails.
    """
    if len(content) < _HEADER.size or not content.startswith(MAGIC):
        raise StorageError(f"{origin}: not a snapshot")
    _, version, length, crc = _HEADER.unpack_from(content)
    if version != VERSION:
        raise StorageError(
            f"{origin}: format version {version}; this program knows only"
            f" version {VERSION}"
        )
    body = memoryview(content)[_HEADER.size :]
    if zlib.crc32(body) != crc:
        raise DamagedLogError(
            f"{origin}: the snapshot fails its checksum; move this data"
            " folder away, start the replica with an empty one and run"
            " `catkinpin repair`"
        )
    description = _decoder.decode(body[:length])
    return Snapshot(description, bytes(body[length:]))


def write(ops: files.FileOps, folder: pathlib.Path, snapshot: Snapshot) -> None:
    """Writes a snapshot beside the older one."""
    described = snapshot.description
    path = path_of(folder, described.group, described.index)
    try:
        files.replace(ops, path, to_bytes(snapshot))
    except OSError as exc:
        raise files.write_failure(path, exc) from exc


def read(folder: pathlib.Path, group: str, index: int) -> Snapshot:
    """Reads a snapshot file."""
    path = path_of(folder, group, index)
    try:
        content = path.read_bytes()
    except FileNotFoundError as exc:
        raise DamagedLogError(
            f"{path}: the log needs this snapshot and it is gone"
        ) from exc
    return from_bytes(content, str(path))


def remove_others(folder: pathlib.Path, group: str, index: int) -> None:
    """Removes the group's other snapshots, and what a crash left."""
    keep = path_of(folder, group, index)
    for path in folder.glob(f"{group}-*.snapshot*"):
        if path != keep:
            path.unlink()
