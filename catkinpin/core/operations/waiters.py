"""Processes that wait for a record of the control group."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinpin.core.operations.changes import ProcessInfo


@dataclasses.dataclass(frozen=True)
class Waiter:
    """Who waits for a record's outcome.

    Attributes:
        content: tells apart requests of different content under one id.
    """

    incarnation: str
    ask: int
    content: bytes = b""


class RecordWaiters:
    """Those who wait, by the key of the record that answers them."""

    def __init__(self) -> None:
        self._waiters: dict[str, list[Waiter]] = collections.defaultdict(list)

    def all(self) -> Iterator[Waiter]:
        """Yields all who wait."""
        for waiters in self._waiters.values():
            yield from waiters

    def add(
        self, info: ProcessInfo, ask: int, key: str, content: bytes
    ) -> None:
        """Adds a process that waits for the record named by a key."""
        self._waiters[key].append(Waiter(info.incarnation, ask, content))

    def remove(self, key: str, content: bytes) -> list[Waiter]:
        """Returns all who wait for this; a resend's answer is the same.

        One whose proposal was lost may wait here no more. Were each record to
        answer only the oldest, the answers of all later ones would go to the
        one before, and every resend would seem lost too.
        """
        waiters = self._waiters.pop(key, [])
        others = [one for one in waiters if one.content != content]
        if others:
            self._waiters[key] = others
        return [one for one in waiters if one.content == content]
