"""Deterministic state of the turns whose streams callers may resume.

Such a turn stores each event before its caller gets it. A caller that resumes
sends a new turn, with the id of the last event that it has. Turns are told
apart by what both requests have in common, so several may match.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Callable

ALL_EVENTS = -1


class Resumption(Message, frozen=True):
    """Names the turn that a resumed one goes on with.

    Attributes:
        attempt: the turn whose events the caller has.
        kept_events: number of its events that the caller has.
        kept_tokens: tokens of these events.
        sent_tokens: tokens of all its events that are stored, which its caller
            may have received.
    """

    attempt: str
    kept_events: int
    kept_tokens: int
    sent_tokens: int


class SentTurn(Message, frozen=True):
    """A turn that may be the one that a caller resumes.

    Attributes:
        usable_events: number of its first events that a caller may go on from;
            `ALL_EVENTS` if there is no limit. Once a caller has gone on from
            an event, it has not received the later ones.
    """

    attempt: str
    usable_events: int = ALL_EVENTS


class ResumableTurn(msgspec.Struct, kw_only=True):
    """A turn whose events are stored one by one.

    Attributes:
        key: digest of what a request that resumes it has in common with it.
        kept_tokens: tokens of its first events that another turn generated,
            because it resumes that one.
        charged: tokens that the program was charged for it so far.
        until_ms: when it expires once it has ended, by the log's time.
        usable_events: see `SentTurn`.
    """

    attempt: str
    account: str
    program: str
    previous: str
    key: str
    kept_tokens: int = 0
    charged: int = 0
    until_ms: int = 0
    usable_events: int = ALL_EVENTS


class ResumableTurns:
    """Tracks the turns that may be resumed, oldest first."""

    def __init__(self) -> None:
        self._turns: dict[str, ResumableTurn] = {}

    def get(self, attempt: str) -> ResumableTurn | None:
        """Returns a turn, None if it can't be resumed."""
        return self._turns.get(attempt)

    def add(self, turn: ResumableTurn) -> None:
        """Adds a turn that begins."""
        self._turns[turn.attempt] = turn

    def limit(self, resumption: Resumption) -> None:
        """Records up to which event the caller of a turn has received it."""
        turn = self._turns.get(resumption.attempt)
        if turn is not None:
            turn.usable_events = max(turn.usable_events, resumption.kept_events)

    def end(self, attempt: str, tokens: int, until_ms: int) -> None:
        """Records the end of a turn, and until when it may be resumed."""
        turn = self._turns.get(attempt)
        if turn is not None:
            turn.charged = max(turn.charged, tokens)
            turn.until_ms = max(turn.until_ms, until_ms)

    def find(self, account: str, program: str, key: str) -> list[SentTurn]:
        """Returns the turns that a new one may resume, oldest first."""
        return [
            SentTurn(attempt=turn.attempt, usable_events=turn.usable_events)
            for turn in self._turns.values()
            if (turn.account, turn.program, turn.key) == (account, program, key)
        ]

    def has_turn_after(self, account: str, program: str, previous: str) -> bool:
        """Returns whether a turn continues the same one, or none as well."""
        ids = (account, program, previous)
        return any(
            (turn.account, turn.program, turn.previous) == ids
            for turn in self._turns.values()
        )

    def expire(self, now_ms: int, is_kept: Callable[[str], bool]) -> list[str]:
        """Removes and returns the turns that can't be resumed any more.

        Args:
            now_ms: the log's time.
            is_kept: whether a turn is open or may be continued.
        """
        expired = [
            turn.attempt
            for turn in self._turns.values()
            if turn.until_ms < now_ms and not is_kept(turn.attempt)
        ]
        for attempt in expired:
            del self._turns[attempt]
        return expired

    def state(self) -> list[ResumableTurn]:
        """Returns the whole state, for a snapshot."""
        return list(self._turns.values())

    def restore(self, turns: list[ResumableTurn]) -> None:
        """Replaces the whole state by a snapshot's."""
        self._turns = {turn.attempt: turn for turn in turns}
