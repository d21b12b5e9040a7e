"""The binary format of the log's records."""

from __future__ import annotations

import dataclasses
import enum
import struct
import zlib
from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.core.consensus.messages import Entry, EntryKind, Members

if TYPE_CHECKING:
    from collections.abc import Iterator

# Type, entry kind, group, payload length, index, term. A CRC-32 of the header
# and the payload follows.
_HEADER = struct.Struct("<BBHIQQ")
_CHECKSUM = struct.Struct("<I")
RECORD_OVERHEAD_BYTES = _HEADER.size + _CHECKSUM.size
_OFFSET_BITS = 32


class RecordType(enum.IntEnum):
    """Type of a record.

    A `COPY` is an entry copied from a rewritten segment, or received along with
    a snapshot that refers to it. It is not part of the log's sequence of
    entries.
    """

    ENTRY = 1
    COPY = 2
    STATE = 3
    BASE = 4
    NAME = 5


@dataclasses.dataclass(frozen=True)
class Record:
    """A record of the log.

    Attributes:
        type: type of the record.
        group: number of the group that it belongs to.
        payload: depends on the type.
        kind: kind of the entry.
        index: index of the entry; for `STATE`, 1 if the replica led the term.
        term: term of the entry or of the state.
        position: segment and offset, as `encode_position` returns them.
    """

    type: RecordType
    group: int
    payload: bytes | memoryview
    kind: EntryKind = EntryKind.DATA
    index: int = 0
    term: int = 0
    position: int = 0


class Base(codec.Message, frozen=True):
    """Payload of a `BASE` record: where a group's log starts.

    Attributes:
        snapshot: last index that the newest snapshot covers, 0 for none.
        base: last index that the log no longer holds.
        base_term: term of the entry at `base`.
        members: the members as of `base`.
        drops_tail: whether the entries after `base` are removed as well.
        last: index of the last entry, 0 if it isn't stated.
    """

    snapshot: int
    base: int
    base_term: int
    members: Members
    drops_tail: bool = False
    last: int = 0


base_decoder = codec.decoder(Base)


def encode_position(segment: int, offset: int) -> int:
    """Returns a segment's number and an offset in it as one integer."""
    return segment << _OFFSET_BITS | offset


def segment_of(position: int) -> int:
    """Returns the segment's number in a position."""
    return position >> _OFFSET_BITS


def offset_of(position: int) -> int:
    """Returns the offset in a position."""
    return position & ((1 << _OFFSET_BITS) - 1)


def pack(record: Record) -> bytes:
    """Returns the encoded record."""
    header = _HEADER.pack(
        record.type,
        record.kind,
        record.group,
        len(record.payload),
        record.index,
        record.term,
    )
    crc = zlib.crc32(record.payload, zlib.crc32(header))
    return header + _CHECKSUM.pack(crc) + record.payload


def payload_size(data: bytes) -> int:
    """Returns the payload's size, given at least the record's header."""
    size: int = _HEADER.unpack_from(data)[3]
    return size


def unpack_entry(data: bytes) -> Entry | None:
    """Returns the entry in a record, None if the checksum does not match."""
    (crc,) = _CHECKSUM.unpack_from(data, _HEADER.size)
    payload = data[RECORD_OVERHEAD_BYTES:]
    if zlib.crc32(payload, zlib.crc32(data[: _HEADER.size])) != crc:
        return None
    _, kind, _, _, index, term = _HEADER.unpack_from(data)
    return Entry(index, term, EntryKind(kind), payload)


def unpack_all(payload: memoryview, start: int) -> Iterator[Record]:
    """Yields the records of a frame.

    Does not check their checksums, since the frame has one.

    Args:
        payload: the frame's payload.
        start: position of the payload.
    """
    offset = 0
    while offset < len(payload):
        header = _HEADER.unpack_from(payload, offset)
        payload_start = offset + RECORD_OVERHEAD_BYTES
        end = payload_start + header[3]
        yield Record(
            type=RecordType(header[0]),
            kind=EntryKind(header[1]),
            group=header[2],
            index=header[4],
            term=header[5],
            payload=payload[payload_start:end],
            position=start + offset,
        )
        offset = end
