"""The records of the log as they lie in a segment."""

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

# Type, entry kind, group, payload length, index, term, CRC-32 of it all.
_HEADER = struct.Struct("<BBHIQQ")
_CRC = struct.Struct("<I")
OVERHEAD = _HEADER.size + _CRC.size
_OFFSET_BITS = 32


class RecordType(enum.IntEnum):
    """What a record is.

    `COPY` is an entry from a segment that was rewritten, or one that a
    snapshot refers to; it has no place in the sequence of the log.
    """

    ENTRY = 1
    COPY = 2
    STATE = 3
    BASE = 4
    NAME = 5


@dataclasses.dataclass(frozen=True)
class Record:
    """A record; a position says in which segment it lies, and where."""

    type: RecordType
    group: int
    payload: bytes | memoryview
    kind: EntryKind = EntryKind.DATA
    index: int = 0
    term: int = 0
    position: int = 0


class Base(codec.Message, frozen=True):
    """Payload of a `BASE` record: where a group's log begins.

    Attributes:
        snapshot: last index that the newest snapshot covers, 0 for none.
        members: the members as of `base`.
        drops_tail: whether the entries after `base` go as well.
    """

    snapshot: int
    base: int
    base_term: int
    members: Members
    drops_tail: bool = False


base_decoder = codec.decoder(Base)


def position(segment: int, offset: int) -> int:
    """Returns a segment's number and an offset in it as one number."""
    return segment << _OFFSET_BITS | offset


def segment_of(position: int) -> int:
    """Returns the number of the segment."""
    return position >> _OFFSET_BITS


def offset_of(position: int) -> int:
    """Returns the offset in the segment."""
    return position & ((1 << _OFFSET_BITS) - 1)


def pack(record: Record) -> bytes:
    """Returns a record as it is written."""
    header = _HEADER.pack(
        record.type,
        record.kind,
        record.group,
        len(record.payload),
        record.index,
        record.term,
    )
    crc = zlib.crc32(record.payload, zlib.crc32(header))
    return header + _CRC.pack(crc) + record.payload


def payload_size(data: bytes) -> int:
    """Returns the size of the payload after the first `OVERHEAD` bytes."""
    size: int = _HEADER.unpack_from(data)[3]
    return size


def unpack_entry(data: bytes) -> Entry | None:
    """Returns the entry in a record, None where the checksum fails."""
    (crc,) = _CRC.unpack_from(data, _HEADER.size)
    payload = data[OVERHEAD:]
    if zlib.crc32(payload, zlib.crc32(data[: _HEADER.size])) != crc:
        return None
    _, kind, _, _, index, term = _HEADER.unpack_from(data)
    return Entry(index, term, EntryKind(kind), payload)


def unpack_all(payload: memoryview, start: int) -> Iterator[Record]:
    """Yields the records of a frame, which has a checksum of its own.

    Args:
        payload: the frame's payload.
        start: position of the payload.
    """
    offset = 0
    while offset < len(payload):
        header = _HEADER.unpack_from(payload, offset)
        begin = offset + OVERHEAD
        end = begin + header[3]
        yield Record(
            type=RecordType(header[0]),
            kind=EntryKind(header[1]),
            group=header[2],
            index=header[4],
            term=header[5],
            payload=payload[begin:end],
            position=start + offset,
        )
        offset = end
