"""Who waits for the outcome of which call, and until when."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.messages import CallKey
    from catkinpin.core.programs.commands import EntryRef


@dataclasses.dataclass(frozen=True)
class Waiter:
    """An entry's question that has no reply yet.

    Attributes:
        ask: number that correlates the reply.
        since_ms: monotonic time at which the question came.
        deadline_ms: monotonic time by which the reply is due.
        grants: whether the entry takes a grant, or only the final answer.
    """

    entry: EntryRef
    ask: int
    since_ms: int
    deadline_ms: int
    grants: bool = True


class Waiters:
    """Waiters by call, the oldest first."""

    def __init__(self) -> None:
        self._by_key: dict[CallKey, list[Waiter]] = {}

    def add(self, key: CallKey, waiter: Waiter) -> None:
        """Adds a waiter; the same ask changes nothing."""
        found = self._by_key.setdefault(key, [])
        if not any(
            known.ask == waiter.ask
            and known.entry.incarnation == waiter.entry.incarnation
            for known in found
        ):
            found.append(waiter)

    def remove_all(self, key: CallKey) -> list[Waiter]:
        """Removes and returns all waiters of a call."""
        return self._by_key.pop(key, [])

    def remove(self, key: CallKey, waiter: Waiter) -> bool:
        """Removes one waiter; returns False where it waits no more."""
        found = self._by_key.get(key, [])
        if waiter not in found:
            return False
        found.remove(waiter)
        if not found:
            del self._by_key[key]
        return True

    def for_grant(self, key: CallKey, incarnation: str = "") -> Waiter | None:
        """Returns the oldest waiter that takes a grant.

        Args:
            key: the call.
            incarnation: only waiters of this incarnation of an entry.
        """
        for waiter in self._by_key.get(key, []):
            fits = not incarnation or waiter.entry.incarnation == incarnation
            if waiter.grants and fits:
                return waiter
        return None

    def drop_entry(self, incarnation: str) -> None:
        """Drops the waiters of an entry whose stream broke.

        It asks again on a new stream; a reply to the old ask would be lost.
        """
        for key, found in list(self._by_key.items()):
            kept = [w for w in found if w.entry.incarnation != incarnation]
            if kept:
                self._by_key[key] = kept
            else:
                del self._by_key[key]
