"""Attempts that a leader tracks until their outcome is committed."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.programs import records
from catkinpin.core.programs.replies import GRANT_EXPIRES_MS
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from catkinpin.core.messages import CallKey
    from catkinpin.core.programs.program import Attempt

# Time that an entry has to reconnect after its stream broke. It covers the
# validity of a grant in flight and the transit of its request, so that the next
# attempt, or the program's next call, can't overtake that request.
_ENTRY_GRACE_MS = GRANT_EXPIRES_MS + 2_000


@dataclasses.dataclass(frozen=True)
class TrackedAttempt:
    """An attempt without a committed outcome.

    Attributes:
        entry_incarnation: incarnation of the entry that holds the grant.
        server: name of the backend server.
        recovering: whether another entry asks the server about the attempt.
    """

    key: CallKey
    attempt: str
    entry_incarnation: str
    server: str
    server_incarnation: str
    recovering: bool = False


class AttemptTracker:
    """Tracks attempts, and which of the entries that hold them are gone."""

    def __init__(self) -> None:
        self._attempts: dict[str, TrackedAttempt] = {}
        self._by_entry: dict[str, set[str]] = {}
        self._gone_since_ms: dict[str, int] = {}

    def add(self, key: CallKey, attempt: Attempt) -> None:
        """Starts tracking an attempt."""
        choice = attempt.choice
        self._attempts[attempt.attempt] = TrackedAttempt(
            key=key,
            attempt=attempt.attempt,
            entry_incarnation=choice.entry_incarnation,
            server=choice.server.server,
            server_incarnation=choice.server.incarnation,
        )
        held = self._by_entry.setdefault(choice.entry_incarnation, set())
        held.add(attempt.attempt)

    def assign_recovery(
        self, tracked: TrackedAttempt, incarnation: str
    ) -> None:
        """Notes that another entry asks the server about an attempt."""
        self.remove(tracked.attempt)
        self._attempts[tracked.attempt] = dataclasses.replace(
            tracked, entry_incarnation=incarnation, recovering=True
        )
        self._by_entry.setdefault(incarnation, set()).add(tracked.attempt)

    def remove(self, attempt: str) -> TrackedAttempt | None:
        """Stops tracking an attempt and returns it, or None."""
        known = self._attempts.pop(attempt, None)
        if known is not None:
            held = self._by_entry[known.entry_incarnation]
            held.discard(attempt)
            if not held:
                del self._by_entry[known.entry_incarnation]
                self._gone_since_ms.pop(known.entry_incarnation, None)
        return known

    def get(self, attempt: str) -> TrackedAttempt | None:
        """Returns a tracked attempt, or None."""
        return self._attempts.get(attempt)

    def held_by(self, incarnation: str) -> list[TrackedAttempt]:
        """Returns the attempts that an entry's incarnation holds, sorted."""
        held = sorted(self._by_entry.get(incarnation, ()))
        return [self._attempts[attempt] for attempt in held]

    def entry_incarnations(self) -> list[str]:
        """Returns the incarnations of entries that hold attempts, sorted."""
        return sorted(self._by_entry)

    def entry_gone(self, incarnation: str, now_ms: int) -> None:
        """Notes that an entry's stream broke."""
        if incarnation in self._by_entry:
            self._gone_since_ms.setdefault(incarnation, now_ms)

    def entry_returned(self, incarnation: str) -> None:
        """Notes that the same incarnation of the entry is connected again."""
        self._gone_since_ms.pop(incarnation, None)

    def orphaned(self, now_ms: int) -> list[TrackedAttempt]:
        """Returns the attempts whose entry did not reconnect in time."""
        attempts = []
        for incarnation, since_ms in self._gone_since_ms.items():
            if now_ms - since_ms >= _ENTRY_GRACE_MS:
                attempts += self.held_by(incarnation)
        return attempts


def lost_record(
    tracked: TrackedAttempt, wall_ms: int
) -> records.AttemptFinished:
    """Returns the record that settles an attempt of an entry that is gone."""
    return records.AttemptFinished(
        at_ms=wall_ms,
        key=tracked.key,
        attempt=tracked.attempt,
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.OUTCOME_UNKNOWN,
        text="the entry that held the request is gone",
    )


def unsent_record(
    key: CallKey, attempt: str, wall_ms: int
) -> records.AttemptFinished:
    """Returns the record that settles a grant that was never sent."""
    return records.AttemptFinished(
        at_ms=wall_ms,
        key=key,
        attempt=attempt,
        verdict=Verdict.NOT_RUN,
        reason=Reason.NOT_READY,
        text="the entry that asked is gone",
    )


def deadline_record(
    key: CallKey, attempt: str, wall_ms: int
) -> records.AttemptFinished:
    """Returns the record that settles an attempt at the call's deadline."""
    return records.AttemptFinished(
        at_ms=wall_ms,
        key=key,
        attempt=attempt,
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.DEADLINE,
        text="the deadline passed before the outcome was known",
    )
