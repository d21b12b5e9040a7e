"""Encoding of what travels between our processes and of log records."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class Message(
    msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True
):
    """Base of typed messages and records.

    Fields travel by name, and a decoder skips names it does not know, so that
    processes of two versions can talk while an upgrade is under way.
    """


_encoder = msgspec.msgpack.Encoder()


def encode(value: Any) -> bytes:
    """Returns `value` as MessagePack."""
    return _encoder.encode(value)


def decoder(kind: Any) -> msgspec.msgpack.Decoder[Any]:
    """Returns a decoder that validates against the type `kind`."""
    return msgspec.msgpack.Decoder(kind)
