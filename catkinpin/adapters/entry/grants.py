"""Keeps track of the grants that this entry has used or revoked."""

from __future__ import annotations

import enum

# Number of grants that are remembered; a leader asks for one within minutes.
_MAX_GRANTS = 100_000


class GrantState(enum.Enum):
    """State of a grant at this entry.

    Attributes:
        IN_USE: its attempt is in progress here.
        OVER: its attempt has ended, and this entry has forgotten the outcome.
        REVOKED: it was revoked before it was used.
    """

    IN_USE = "in-use"
    OVER = "over"
    REVOKED = "revoked"


class Grants:
    """States of grants by attempt id; drops the oldest.

    A leader that lost a reply can't tell whether the request was sent. This
    entry may answer "not run" only if it will not use the grant later. So it
    refuses a grant that arrives after the leader has revoked it.
    """

    def __init__(self) -> None:
        self._states: dict[str, GrantState] = {}

    def knows(self, attempt: str) -> bool:
        """Returns whether a grant was used or revoked here."""
        return attempt in self._states

    def mark_used(self, attempt: str) -> bool:
        """Marks a grant as used; returns False if it must not be used."""
        if attempt in self._states:
            return False
        self._states[attempt] = GrantState.IN_USE
        while len(self._states) > _MAX_GRANTS:
            del self._states[next(iter(self._states))]
        return True

    def mark_over(self, attempt: str) -> None:
        """Records that the attempt's outcome is not available here any more."""
        self._states[attempt] = GrantState.OVER

    def recall(self, attempt: str) -> GrantState:
        """Revokes a grant unless it was used; returns its state."""
        return self._states.setdefault(attempt, GrantState.REVOKED)
