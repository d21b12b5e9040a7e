"""Which grants this entry has used, so that a leader can take one back."""

from __future__ import annotations

import enum

# Grants that are remembered; a leader asks within minutes.
_REMEMBERED = 100_000


class GrantState(enum.Enum):
    """What became of a grant here."""

    IN_USE = "in-use"
    OVER = "over"
    REVOKED = "revoked"


class Grants:
    """Grants by attempt id; the oldest are forgotten.

    A leader that lost a reply can't tell whether the request went out. The
    answer "not run" is safe only where this entry will not use the grant any
    more, so a grant that is taken back first and arrives late is refused.
    """

    def __init__(self) -> None:
        self._states: dict[str, GrantState] = {}

    def knows(self, attempt: str) -> bool:
        """Returns whether a grant was used or taken back here."""
        return attempt in self._states

    def mark_used(self, attempt: str) -> bool:
        """Marks a grant as used; returns False where it must not be."""
        if attempt in self._states:
            return False
        self._states[attempt] = GrantState.IN_USE
        while len(self._states) > _REMEMBERED:
            del self._states[next(iter(self._states))]
        return True

    def mark_over(self, attempt: str) -> None:
        """Notes that nobody here knows the attempt's outcome any more."""
        self._states[attempt] = GrantState.OVER

    def recall(self, attempt: str) -> GrantState:
        """Revokes a grant that was not used; returns what became of it."""
        return self._states.setdefault(attempt, GrantState.REVOKED)
