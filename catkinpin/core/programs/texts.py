"""Cache of programs' messages at the entry that assembles their prompts.

An entry in the servers' region keeps the messages of prompts that it has
assembled, so that only new ones have to cross the link between regions.
Messages that are not cached are sent again.
"""

from __future__ import annotations

import collections


class HistoryCache:
    """Caches histories by digest; evicts the least recently used first.

    Args:
        max_bytes: maximum total size of the cached messages.
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
        """Caches the messages of a prompt in place of their cached prefix.

        Args:
            head: digest chain over all messages.
            messages: the messages.
            base: digest chain over the prefix that they replace.
        """
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
