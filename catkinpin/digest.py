"""Digests of messages and the chain that keeps histories apart."""

from __future__ import annotations

import hashlib
import json
from typing import Any

DIGEST_SIZE = 16  # Bytes; collisions among 10**9 messages stay below 10**-20.


def canonical(value: Any) -> bytes:
    """Returns JSON that is the same for equal values."""
    return json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    ).encode()


def of_bytes(data: bytes) -> bytes:
    """Returns the digest of `data`."""
    return hashlib.blake2b(data, digest_size=DIGEST_SIZE).digest()


def of_json(value: Any) -> bytes:
    """Returns the digest of a JSON value, whatever the order of its keys."""
    return of_bytes(canonical(value))


def chain(head: bytes, item: bytes) -> bytes:
    """Returns the head of a chain after `item` has been added to it."""
    return of_bytes(head + item)
