"""Entries that wait for the outcome of a call."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.messages import CallKey
    from catkinpin.core.programs.commands import EntryRef


@dataclasses.dataclass(frozen=True)
class Waiter:
    """An entry's request that has no reply yet.

    Attributes:
        ask: number of the request, which the reply repeats.
        since_ms: monotonic time at which the request arrived.
        deadline_ms: monotonic time by which the reply is due.
        accepts_grant: whether the entry takes a grant, or only the final
            answer.
    """

    entry: EntryRef
    ask: int
    since_ms: int
    deadline_ms: int
    accepts_grant: bool = True


class Waiters:
    """Waiters by call, oldest first."""

    def __init__(self) -> None:
        self._by_key: dict[CallKey, list[Waiter]] = {}

    def add(self, key: CallKey, waiter: Waiter) -> None:
        """Adds a waiter, unless the same ask of its entry waits already."""
        waiters = self._by_key.setdefault(key, [])
        if not any(
            known.ask == waiter.ask
            and known.entry.incarnation == waiter.entry.incarnation
            for known in waiters
        ):
            waiters.append(waiter)

    def remove_all(self, key: CallKey) -> list[Waiter]:
        """Removes and returns all waiters of a call."""
        return self._by_key.pop(key, [])

    def remove(self, key: CallKey, waiter: Waiter) -> bool:
        """Removes one waiter; returns False if it was not waiting."""
        waiters = self._by_key.get(key, [])
        if waiter not in waiters:
            return False
        waiters.remove(waiter)
        if not waiters:
            del self._by_key[key]
        return True

    def find_for_grant(
        self, key: CallKey, incarnation: str = ""
    ) -> Waiter | None:
        """Returns the oldest waiter that accepts a grant, or None.

        Args:
            key: the call.
            incarnation: if given, only waiters of this incarnation of an entry.
        """
        for waiter in self._by_key.get(key, []):
            matches = not incarnation or waiter.entry.incarnation == incarnation
            if waiter.accepts_grant and matches:
                return waiter
        return None

    def drop_entry(self, incarnation: str) -> None:
        """Drops the waiters of an entry whose stream broke.

        The entry asks again on a new stream; a reply to the old ask would be
        lost.
        """
        for key, waiters in list(self._by_key.items()):
            kept = [w for w in waiters if w.entry.incarnation != incarnation]
            if kept:
                self._by_key[key] = kept
            else:
                del self._by_key[key]
