"""Encodes messages between processes and log records as MessagePack."""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

T = TypeVar("T")


class Message(
    msgspec.Struct, frozen=True, tag=True, omit_defaults=True, kw_only=True
):
    """Base class of typed messages and records.

    Fields are encoded by name and a decoder skips unknown names, so that
    processes of two versions can communicate during an upgrade.
    """


_encoder = msgspec.msgpack.Encoder()


def encode(value: Any) -> bytes:
    """Returns `value` as MessagePack."""
    return _encoder.encode(value)


def decoder(kind: Any) -> msgspec.msgpack.Decoder[Any]:
    """Returns a decoder that validates against the type `kind`."""
    return msgspec.msgpack.Decoder(kind)
