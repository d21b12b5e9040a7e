"""Encodes messages between processes and log records as MessagePack."""

from __future__ import annotations

import math
import re
import zlib
from typing import Any, ClassVar, TypeVar

import msgspec

T = TypeVar("T")
# Sums of numbers up to this bound still fit into 64 bits.
MAX_NUMBER = 2**62
# Largest size of what was compressed, that of the largest frame between
# processes. A few bytes may expand to gigabytes.
_MAX_DECOMPRESSED_BYTES = 64 * 1024 * 1024
# MessagePack's encodings of integers beyond that bound and of floats that are
# not finite. The same bytes may occur within texts.
_OUT_OF_RANGE = re.compile(
    rb"\xcf[\x40-\xff]|\xd3[\x40-\xbf]"
    rb"|\xca[\x7f\xff][\x80-\xff]|\xcb[\x7f\xff][\xf0-\xff]",
    re.DOTALL,
)


class Message(
    msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True
):
    """Base class of typed messages and records.

    Fields are encoded by name and a decoder skips unknown names, so that
    processes of two versions can communicate during an upgrade.

    Attributes:
        has_checked_parts: whether the receiver checks the numbers of each part
            by itself, so that an odd part doesn't cost the others.
    """

    has_checked_parts: ClassVar[bool] = False


_encoder = msgspec.msgpack.Encoder()


def encode(value: Any) -> bytes:
    """Returns `value` as MessagePack."""
    return _encoder.encode(value)


def encode_state(value: Any) -> bytes:
    """Returns the state of a log group as MessagePack.

    A sum of numbers that other processes sent may exceed 64 bits. Each replica
    would fail at its next snapshot, so such numbers are stored as the nearest
    ones up to `MAX_NUMBER`.
    """
    try:
        return encode(value)
    except OverflowError:
        plain = msgspec.to_builtins(value, builtin_types=(bytes, bytearray))
        return encode(_with_bounded_numbers(plain))


def _with_bounded_numbers(value: Any) -> Any:
    match value:
        case bool():
            return value
        case int():
            return max(-MAX_NUMBER, min(value, MAX_NUMBER))
        case list():
            return [_with_bounded_numbers(item) for item in value]
        case dict():
            return {k: _with_bounded_numbers(v) for k, v in value.items()}
    return value


def decoder(kind: Any) -> msgspec.msgpack.Decoder[Any]:
    """Returns a decoder that validates against the type `kind`."""
    return msgspec.msgpack.Decoder(kind)


def may_have_number_out_of_range(data: bytes) -> bool:
    """Returns whether encoded messages may have a number out of range.

    Takes a small part of the time that `has_number_out_of_range` takes for
    what was decoded.
    """
    return _OUT_OF_RANGE.search(data) is not None


def must_be_refused(message: Any) -> bool:
    """Returns whether a message has a number that can't be calculated with."""
    has_checked_parts = getattr(message, "has_checked_parts", False)
    return not has_checked_parts and has_number_out_of_range(message)


def has_number_out_of_range(value: Any) -> bool:
    """Returns whether a value has a number that can't be calculated with.

    That is an integer beyond `MAX_NUMBER`, either way, or a float that is not
    finite. Sums with the former can't be encoded.
    """
    match value:
        case None | bool() | str() | bytes():
            return False
        case int():
            return not -MAX_NUMBER <= value <= MAX_NUMBER
        case float():
            return not math.isfinite(value)
        case msgspec.Struct():
            names = value.__struct_fields__
            return any(
                has_number_out_of_range(getattr(value, name)) for name in names
            )
        case list() | tuple():
            return any(map(has_number_out_of_range, value))
        case dict():
            return any(map(has_number_out_of_range, value.values()))
    return False


def decompress(data: bytes) -> bytes:
    """Returns what zlib compressed.

    Raises:
        ValueError: it is incomplete, or longer than any message.
        zlib.error: it was not compressed by zlib.
    """
    stream = zlib.decompressobj()
    found = stream.decompress(data, _MAX_DECOMPRESSED_BYTES)
    if not stream.eof:
        raise ValueError("the compressed data are incomplete or too long")
    return found
