"""Leases of the control leader: who may serve, and under which revision."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.operations import changes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.operations.changes import ProcessInfo

# Counted by its holder from when it sent its request, and by the leader from
# when it answered, which is later; so the leader never calls a lease lapsed
# that its holder still goes by.
LEASE_MS = 3_000
# Two monotonic clocks may run apart by this much in the time of a lease.
MAX_CLOCK_DRIFT_MS = 30
_FORGET_AFTER_MS = 60_000


@dataclasses.dataclass
class Holder:
    """A process as the leader knows it.

    Attributes:
        revision: the revision that it last confirmed.
        lapses_ms: when its lease is over, on the leader's monotonic clock.
    """

    info: ProcessInfo
    revision: int = 0
    lapses_ms: int = 0


class Leases:
    """Holders of leases; lost with the leadership.

    A new leader does not know which leases the one before it gave, so it takes
    each process of the log for one that has just got its lease: a change would
    otherwise count as in force while a process still serves under the old one.
    """

    def __init__(self, known: Iterable[ProcessInfo], now_ms: int) -> None:
        self.holders: dict[str, Holder] = {}
        for info in known:
            self.registered(info, now_ms + LEASE_MS + MAX_CLOCK_DRIFT_MS)

    def registered(self, info: ProcessInfo, lapses_ms: int) -> None:
        """Notes a process that stands in the log."""
        holder = Holder(info, lapses_ms=lapses_ms)
        self.holders.setdefault(info.incarnation, holder)

    def renew(self, incarnation: str, revision: int, now_ms: int) -> bool:
        """Gives a lease; returns False where the process isn't registered."""
        holder = self.holders.get(incarnation)
        if holder is None:
            return False
        holder.revision = max(holder.revision, revision)
        holder.lapses_ms = now_ms + LEASE_MS + MAX_CLOCK_DRIFT_MS
        return True

    def confirmed(self, incarnation: str, revision: int) -> None:
        """Notes a revision that a process serves under, without a lease."""
        holder = self.holders.get(incarnation)
        if holder is not None:
            holder.revision = max(holder.revision, revision)

    def lacking(
        self, revision: int, now_ms: int
    ) -> list[changes.UnderReplicated]:
        """Returns live processes that may serve under an older revision."""
        return [
            changes.UnderReplicated(
                process=holder.info.process,
                incarnation=holder.info.incarnation,
                revision=holder.revision,
                lease_left_ms=holder.lapses_ms - now_ms,
            )
            for holder in self.holders.values()
            if holder.revision < revision and holder.lapses_ms > now_ms
        ]

    def gone(self, now_ms: int) -> list[str]:
        """Returns incarnations whose lease lapsed long ago, and drops them."""
        oldest = now_ms - _FORGET_AFTER_MS
        found = [
            incarnation
            for incarnation, holder in self.holders.items()
            if holder.lapses_ms < oldest
        ]
        for incarnation in found:
            del self.holders[incarnation]
        return found
