"""Attempts that a leader watches until their outcome is in the log."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.programs import records
from catkinpin.core.programs.replies import GRANT_EXPIRES_MS
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from catkinpin.core.messages import CallKey
    from catkinpin.core.programs.program import Attempt

# An entry whose stream broke has this long to come back. By then a grant that
# was on its way has expired, with a bound for the trip of its request: the
# next attempt, or the program's next call, can't overtake it.
SETTLE_AFTER_MS = GRANT_EXPIRES_MS + 2_000


@dataclasses.dataclass(frozen=True)
class Watched:
    """An attempt under way.

    Attributes:
        incarnation: of the entry that holds the grant.
        server: name of the backend server.
        server_incarnation: incarnation of the server.
        recovering: whether another entry asks the server about the attempt.
    """

    key: CallKey
    attempt: str
    incarnation: str
    server: str
    server_incarnation: str
    recovering: bool = False


class Watch:
    """Attempts under way, and entries that are gone."""

    def __init__(self) -> None:
        self._attempts: dict[str, Watched] = {}
        self._by_entry: dict[str, set[str]] = {}
        self._gone: dict[str, int] = {}

    def add(self, key: CallKey, attempt: Attempt) -> None:
        """Watches an attempt."""
        choice = attempt.choice
        self._attempts[attempt.attempt] = Watched(
            key=key,
            attempt=attempt.attempt,
            incarnation=choice.entry_incarnation,
            server=choice.server.server,
            server_incarnation=choice.server.incarnation,
        )
        held = self._by_entry.setdefault(choice.entry_incarnation, set())
        held.add(attempt.attempt)

    def recover(self, watched: Watched, incarnation: str) -> None:
        """Notes that another entry finds out what became of an attempt."""
        self.remove(watched.attempt)
        self._attempts[watched.attempt] = dataclasses.replace(
            watched, incarnation=incarnation, recovering=True
        )
        self._by_entry.setdefault(incarnation, set()).add(watched.attempt)

    def remove(self, attempt: str) -> Watched | None:
        """Stops watching an attempt and returns what was known of it."""
        known = self._attempts.pop(attempt, None)
        if known is not None:
            held = self._by_entry[known.incarnation]
            held.discard(attempt)
            if not held:
                del self._by_entry[known.incarnation]
                self._gone.pop(known.incarnation, None)
        return known

    def get(self, attempt: str) -> Watched | None:
        """Returns a watched attempt."""
        return self._attempts.get(attempt)

    def held_by(self, incarnation: str) -> list[Watched]:
        """Returns the attempts of an entry's incarnation, in a fixed order."""
        held = sorted(self._by_entry.get(incarnation, ()))
        return [self._attempts[attempt] for attempt in held]

    def entries(self) -> list[str]:
        """Returns the incarnations of entries that hold attempts."""
        return sorted(self._by_entry)

    def entry_gone(self, incarnation: str, now_ms: int) -> None:
        """Notes that an entry's stream broke."""
        if incarnation in self._by_entry:
            self._gone.setdefault(incarnation, now_ms)

    def entry_returned(self, incarnation: str) -> None:
        """Notes that the same incarnation of the entry is connected again."""
        self._gone.pop(incarnation, None)

    def overdue(self, now_ms: int) -> list[Watched]:
        """Returns the attempts whose entry has been gone for too long."""
        found = []
        for incarnation, since_ms in self._gone.items():
            if now_ms - since_ms >= SETTLE_AFTER_MS:
                found += self.held_by(incarnation)
        return found


def lost(watched: Watched, wall_ms: int) -> records.AttemptFinished:
    """Returns the record that settles an attempt of an entry that is gone."""
    return records.AttemptFinished(
        at_ms=wall_ms,
        key=watched.key,
        attempt=watched.attempt,
        verdict=Verdict.MAY_HAVE_RUN,
        reason=Reason.OUTCOME_UNKNOWN,
        text="the entry that held the request is gone",
    )


def never_sent(
    key: CallKey, attempt: str, wall_ms: int
) -> records.AttemptFinished:
    """Returns the record that settles a grant that nobody got."""
    return records.AttemptFinished(
        at_ms=wall_ms,
        key=key,
        attempt=attempt,
        verdict=Verdict.NOT_RUN,
        reason=Reason.NOT_READY,
        text="the entry that asked is gone",
    )


def too_late(
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
