"""Programs' messages held where prompts are assembled, by digest.

An entry in the servers' region keeps the messages of prompts that it has
assembled, so that only new ones have to cross the link between regions. What
is not held here is sent again; nothing depends on it.
"""

from __future__ import annotations

import collections


class HistoryCache:
    """The least recently used histories go first.

    Args:
        max_bytes: how much is held.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._held: collections.OrderedDict[bytes, list[bytes]] = (
            collections.OrderedDict()
        )
        self._bytes = 0

    def get(self, head: bytes) -> list[bytes] | None:
        """Returns the messages whose digest chain ends in `head`."""
        found = self._held.get(head)
        if found is not None:
            self._held.move_to_end(head)
        return found

    def put(self, head: bytes, messages: list[bytes], base: bytes) -> None:
        """Holds messages, in place of those up to `base` that begin them."""
        self._drop(base)
        self._drop(head)
        self._held[head] = messages
        self._bytes += _size(messages)
        while self._bytes > self._max_bytes:
            self._drop(next(iter(self._held)))

    def _drop(self, head: bytes) -> None:
        self._bytes -= _size(self._held.pop(head, []))


def _size(messages: list[bytes]) -> int:
    return sum(map(len, messages))
