"""Processes that wait for the outcome of a record of the control group."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinpin.core.operations.changes import ProcessInfo


@dataclasses.dataclass(frozen=True)
class Waiter:
    """A process that waits for the outcome of its request's record.

    Attributes:
        incarnation: incarnation of the process.
        ask: number of its request.
        discriminator: digest of the request or kind of the record; tells apart
            different requests that use the same key.
    """

    incarnation: str
    ask: int
    discriminator: bytes = b""


class RecordWaiters:
    """Waiting processes by the key of the record that answers them."""

    def __init__(self) -> None:
        self._waiters: dict[str, list[Waiter]] = collections.defaultdict(list)

    def all_waiters(self) -> Iterator[Waiter]:
        """Yields all waiting processes."""
        for waiters in self._waiters.values():
            yield from waiters

    def add(
        self, info: ProcessInfo, ask: int, key: str, discriminator: bytes
    ) -> None:
        """Adds a process that waits for the record with this key."""
        self._waiters[key].append(Waiter(info.incarnation, ask, discriminator))

    def remove(self, key: str, discriminator: bytes) -> list[Waiter]:
        """Removes and returns all processes that wait for this record.

        A request and its resends get the same answer. If each record answered
        only the oldest waiter, a lost proposal would shift every later answer
        to the request before it, and each resend would seem lost too.
        """
        waiters = self._waiters.pop(key, [])
        others = [
            waiter
            for waiter in waiters
            if waiter.discriminator != discriminator
        ]
        if others:
            self._waiters[key] = others
        return [
            waiter
            for waiter in waiters
            if waiter.discriminator == discriminator
        ]
