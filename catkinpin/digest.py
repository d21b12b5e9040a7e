"""Digests of messages, and digest chains that identify histories."""

from __future__ import annotations

import hashlib
import json
from typing import Any

DIGEST_SIZE = 16  # Bytes; collisions among 10**9 messages stay below 10**-20.


def canonical(value: Any) -> bytes:
    """Returns a value as canonical JSON: equal values give equal bytes."""
    return json.dumps(
        value, sort_keys=True, separators=(",", ":"), ensure_ascii=False
    ).encode()


def of_bytes(data: bytes) -> bytes:
    """Returns the digest of `data`."""
    return hashlib.blake2b(data, digest_size=DIGEST_SIZE).digest()


def of_json(value: Any) -> bytes:
    """Returns the digest of a JSON value, independent of the key order."""
    return of_bytes(canonical(value))


def chain(head: bytes, item: bytes) -> bytes:
    """Returns the head of a digest chain extended by `item`."""
    return of_bytes(head + item)
