"""Leases that the control leader grants to serve under a revision."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.operations import changes

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.operations.changes import ProcessInfo

# The holder counts a lease from when it sent its request, the leader from when
# it answered, which is later. So for the leader no lease expires while its
# holder still serves under it.
LEASE_MS = 3_000
# Maximum divergence of two monotonic clocks during a lease.
MAX_CLOCK_DRIFT_MS = 30
_REMOVE_AFTER_MS = 60_000


@dataclasses.dataclass
class Holder:
    """A registered process and its lease.

    Attributes:
        info: the process.
        revision: newest revision that the process has confirmed.
        expires_at_ms: end of its lease on the leader's monotonic clock.
    """

    info: ProcessInfo
    revision: int = 0
    expires_at_ms: int = 0


class Leases:
    """Leases of registered processes; a new leader starts without them.

    A new leader does not know which leases its predecessor granted. So it
    assumes that every process in the log has just got one: otherwise a change
    would count as in force while a process still serves under the old revision.

    Args:
        known: processes that the log registers.
        now_ms: monotonic time.

    Attributes:
        holders: registered processes by incarnation.
    """

    def __init__(self, known: Iterable[ProcessInfo], now_ms: int) -> None:
        self.holders: dict[str, Holder] = {}
        for info in known:
            self.add_holder(info, now_ms + LEASE_MS + MAX_CLOCK_DRIFT_MS)

    def add_holder(self, info: ProcessInfo, expires_at_ms: int) -> None:
        """Adds a process that the log registers, unless it is known."""
        holder = Holder(info, expires_at_ms=expires_at_ms)
        self.holders.setdefault(info.incarnation, holder)

    def renew(self, incarnation: str, revision: int, now_ms: int) -> bool:
        """Renews a lease; returns False if the process isn't registered."""
        holder = self.holders.get(incarnation)
        if holder is None:
            return False
        holder.revision = max(holder.revision, revision)
        holder.expires_at_ms = now_ms + LEASE_MS + MAX_CLOCK_DRIFT_MS
        return True

    def record_revision(self, incarnation: str, revision: int) -> None:
        """Records a revision that a process confirms, without a lease."""
        holder = self.holders.get(incarnation)
        if holder is not None:
            holder.revision = max(holder.revision, revision)

    def find_lagging(
        self, revision: int, now_ms: int
    ) -> list[changes.UnderReplicated]:
        """Returns the lease holders that may serve under an older revision."""
        return [
            changes.UnderReplicated(
                process=holder.info.process,
                incarnation=holder.info.incarnation,
                revision=holder.revision,
                lease_left_ms=holder.expires_at_ms - now_ms,
            )
            for holder in self.holders.values()
            if holder.revision < revision and holder.expires_at_ms > now_ms
        ]

    def remove_expired(self, now_ms: int) -> list[str]:
        """Removes and returns incarnations whose lease expired long ago."""
        oldest = now_ms - _REMOVE_AFTER_MS
        found = [
            incarnation
            for incarnation, holder in self.holders.items()
            if holder.expires_at_ms < oldest
        ]
        for incarnation in found:
            del self.holders[incarnation]
        return found
