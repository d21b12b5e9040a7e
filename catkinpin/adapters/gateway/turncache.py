"""Caches the bytes of recent turns at a gateway."""

from __future__ import annotations

import collections


class TurnCache:
    """Caches the bytes of recent turns, least recently used evicted first.

    A program's next turn usually arrives at the same gateway, so the cache
    saves most reads over the link between regions.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0
        self._parts: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )

    def get(self, attempt: str) -> bytes | None:
        """Returns the bytes of a turn, or None if they are not cached."""
        data = self._parts.get(attempt)
        if data is not None:
            self._parts.move_to_end(attempt)
        return data

    def put(self, attempt: str, data: bytes) -> None:
        """Adds the bytes of a turn and evicts the least recently used."""
        if attempt in self._parts or len(data) > self._max_bytes:
            return
        self._parts[attempt] = data
        self._size += len(data)
        while self._size > self._max_bytes:
            _, evicted = self._parts.popitem(last=False)
            self._size -= len(evicted)
