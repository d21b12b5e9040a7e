"""Snapshot files; each holds the state of a group as of one index."""

from __future__ import annotations

import array
import dataclasses
import struct
import sys
import zlib
from typing import TYPE_CHECKING

import msgspec

from catkinpin import codec
from catkinpin.adapters.disk import files
from catkinpin.codec import Message
from catkinpin.core.consensus.messages import Members  # noqa: TC001
from catkinpin.exceptions import DamagedLogError, StorageError

if TYPE_CHECKING:
    import pathlib

FILE_MAGIC = b"CATKSNP"
FORMAT_VERSION = 1
_HEADER = struct.Struct("<7sBII")  # Magic, version, header's length, CRC-32.


class Description(Message, frozen=True):
    """Header of a snapshot file.

    Attributes:
        group: name of the group.
        index: last index that the state covers.
        term: term of the entry at `index`.
        members: the members as of `index`.
        referenced: indexes of the records that the state refers to, packed.
    """

    group: str
    index: int
    term: int
    members: Members
    referenced: bytes


_decoder = codec.decoder(Description)


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """A snapshot in memory.

    Attributes:
        description: header of its file.
        data: the encoded state.
    """

    description: Description
    data: bytes

    def referenced(self) -> array.array[int]:
        """Returns the indexes of the records that the state refers to."""
        return unpack_indexes(self.description.referenced)


def pack_indexes(indexes: array.array[int]) -> bytes:
    """Returns indexes as little-endian 64-bit numbers."""
    if sys.byteorder != "little":
        indexes = indexes[:]
        indexes.byteswap()
    return indexes.tobytes()


def unpack_indexes(data: bytes) -> array.array[int]:
    """Returns the indexes that `pack_indexes` encoded."""
    indexes = array.array("Q")
    indexes.frombytes(data)
    if sys.byteorder != "little":
        indexes.byteswap()
    return indexes


def snapshot_path(folder: pathlib.Path, group: str, index: int) -> pathlib.Path:
    """Returns the path of a snapshot file."""
    return folder / f"{group}-{index}.snapshot"


def encode(snapshot: Snapshot) -> bytes:
    """Returns the content of a snapshot file."""
    header = codec.encode(snapshot.description)
    body = header + snapshot.data
    start = _HEADER.pack(
        FILE_MAGIC, FORMAT_VERSION, len(header), zlib.crc32(body)
    )
    return start + body


def decode(content: bytes, origin: str) -> Snapshot:
    """Returns the snapshot in `content`.

    Args:
        content: content of a snapshot file.
        origin: the file or replica that it came from, for error messages.

    Raises:
        StorageError: the format is unknown.
        DamagedLogError: the checksum does not match.
    """
    if len(content) < _HEADER.size or not content.startswith(FILE_MAGIC):
        raise StorageError(f"{origin}: not a snapshot")
    _, version, length, crc = _HEADER.unpack_from(content)
    if version != FORMAT_VERSION:
        raise StorageError(
            f"{origin}: format version {version}; this program knows only"
            f" version {FORMAT_VERSION}"
        )
    body = memoryview(content)[_HEADER.size :]
    if zlib.crc32(body) != crc:
        raise DamagedLogError(
            f"{origin}: the snapshot fails its checksum; move this data"
            " folder away, start the replica with an empty one and run"
            " `catkinpin repair`"
        )
    try:
        description = _decoder.decode(body[:length])
        unpack_indexes(description.referenced)
    except (msgspec.MsgspecError, RecursionError, ValueError) as exc:
        raise StorageError(f"{origin}: invalid snapshot header") from exc
    return Snapshot(description, bytes(body[length:]))


def write(ops: files.FileOps, folder: pathlib.Path, snapshot: Snapshot) -> None:
    """Writes and syncs a snapshot file; does not remove older ones."""
    description = snapshot.description
    path = snapshot_path(folder, description.group, description.index)
    try:
        files.replace_file(ops, path, encode(snapshot))
    except OSError as exc:
        raise files.write_error(path, exc) from exc


def read(folder: pathlib.Path, group: str, index: int) -> Snapshot:
    """Reads a snapshot file."""
    path = snapshot_path(folder, group, index)
    try:
        content = path.read_bytes()
    except FileNotFoundError as exc:
        raise DamagedLogError(
            f"{path}: the log needs this snapshot and it is gone"
        ) from exc
    except OSError as exc:
        raise StorageError(f"{path}: {exc}") from exc
    return decode(content, str(path))


def remove_others(folder: pathlib.Path, group: str, index: int) -> None:
    """Removes the group's other snapshots and the remains of a crash.

    Args:
        folder: folder of the snapshots.
        group: name of the group.
        index: index of the snapshot to keep.
    """
    kept_path = snapshot_path(folder, group, index)
    for path in folder.glob(f"{group}-*.snapshot*"):
        if path != kept_path and not path.is_dir():
            path.unlink()
