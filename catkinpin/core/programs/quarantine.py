"""Requests that crash servers: suspects, strikes and quarantine.

Every request that was running on a server when it crashed gets a strike and is
a suspect, whether it is at fault or not. Suspects run on different servers, so
that the next crash shows which one is at fault; an answer clears a suspect.
Content with two strikes is quarantined, whatever request id, program or account
it comes with. Crashes at one moment count once, and a strike counts for some
minutes. The control group ends a quarantine after a term; the content is then
on trial, and its next crash is enough.

A broken connection is not yet a crash. A strike is open until the server
reports the same incarnation again (no crash), reports a new one, or stays
silent (a crash).
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.crashruns import MAX_CRASHES, CrashedRun, count_in_turn
from catkinpin.core.terms import EVIDENCE_MS, MAX_TERM_MS

if TYPE_CHECKING:
    from catkinpin.core.programs.program import Attempt

_MAX_SUSPECTS = 10_000


@dataclasses.dataclass(slots=True)
class Strike:
    """A connection to a server broke while the request was running there.

    Attributes:
        server: name of the server.
        incarnation: the server's incarnation.
        at_ms: wall time of the break.
        confirmed: whether the server has crashed; else that is open.
        began_ms: wall time at which the attempt started.
        is_repeat: whether the content was suspected when the attempt started.
    """

    server: str
    incarnation: str
    at_ms: int
    confirmed: bool = False
    began_ms: int = 0
    is_repeat: bool = False


def strike_of(attempt: Attempt, at_ms: int) -> Strike:
    """Returns the strike of an attempt whose connection broke at `at_ms`."""
    server = attempt.choice.server
    return Strike(
        server.server,
        server.incarnation,
        at_ms,
        began_ms=attempt.began_ms,
        is_repeat=attempt.is_repeat,
    )


@dataclasses.dataclass(slots=True)
class Suspect:
    """Content that was running when connections broke."""

    strikes: list[Strike] = dataclasses.field(default_factory=list)

    def count_crashes(self, *, only_confirmed: bool) -> int:
        """Returns how many crashes count; copies on one server count once."""
        runs: dict[tuple[str, str], CrashedRun] = {}
        for strike in self.strikes:
            if strike.confirmed or not only_confirmed:
                server = (strike.server, strike.incarnation)
                run = CrashedRun(
                    strike.began_ms, strike.at_ms, strike.is_repeat
                )
                runs.setdefault(server, run).add_copy(run)
        return count_in_turn(runs.values())


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Suspects and quarantined contents by content digest, in hex.

    Attributes:
        refused: contents quarantined here and not yet by the control group.
        trials: contents quarantined here before, and when; one crash more is
            enough once the control group has ended their quarantine.
    """

    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    refused: dict[str, None] = dataclasses.field(default_factory=dict)
    trials: dict[str, int] = dataclasses.field(default_factory=dict)

    def add_strike(self, content: bytes, strike: Strike) -> None:
        """Adds a strike: a connection broke while the content was running."""
        self._drop_outdated(strike.at_ms)
        suspect = self.suspects.setdefault(content.hex(), Suspect())
        suspect.strikes.append(strike)
        if len(self.suspects) > _MAX_SUSPECTS:
            self.suspects.pop(next(iter(self.suspects)))

    def _drop_outdated(self, now_ms: int) -> None:
        """Drops the evidence that is too old to count."""
        for content, suspect in list(self.suspects.items()):
            suspect.strikes = [
                strike
                for strike in suspect.strikes
                if not strike.confirmed or strike.at_ms + EVIDENCE_MS >= now_ms
            ]
            if not suspect.strikes:
                del self.suspects[content]
        until_ms = now_ms - MAX_TERM_MS - EVIDENCE_MS
        self.trials = {c: at for c, at in self.trials.items() if at >= until_ms}

    def resolve(self, server: str, incarnation: str, crashed: bool) -> None:
        """Confirms or drops the open strikes of a server's incarnation."""
        for content, suspect in list(self.suspects.items()):
            kept = []
            for strike in suspect.strikes:
                matches = (strike.server, strike.incarnation) == (
                    server,
                    incarnation,
                )
                if matches and not strike.confirmed:
                    if not crashed:
                        continue
                    strike.confirmed = True
                kept.append(strike)
            suspect.strikes = kept
            if not kept:
                del self.suspects[content]

    def quarantine_repeated(self, now_ms: int) -> list[bytes]:
        """Quarantines contents with too many crashes and returns them."""
        repeated = [
            content
            for content in self.suspects
            if self._has_enough_crashes(content, only_confirmed=True)
        ]
        for content in repeated:
            del self.suspects[content]
            self.refused[content] = None
            self.trials[content] = now_ms
        return [bytes.fromhex(content) for content in repeated]

    def mark_shared(self, contents: list[bytes]) -> None:
        """Drops contents that the control group took over; it may lift them."""
        for content in contents:
            self.refused.pop(content.hex(), None)

    def unshared_contents(self) -> list[bytes]:
        """Returns the contents that the control group has not taken over."""
        return [bytes.fromhex(content) for content in sorted(self.refused)]

    def clear_suspect(self, content: bytes) -> None:
        """Clears a content of suspicion, because a server answered it."""
        self.suspects.pop(content.hex(), None)
        self.trials.pop(content.hex(), None)

    def is_refused(self, content: bytes) -> bool:
        """Returns whether the content is quarantined here."""
        return content.hex() in self.refused

    def is_suspect(self, content: bytes) -> bool:
        """Returns whether the content must not share a server with suspects."""
        return content.hex() in self.suspects or content.hex() in self.trials

    def must_wait(self, content: bytes) -> bool:
        """Returns whether strikes must be resolved before the next run.

        A third run before the second strike is resolved could crash a third
        server.
        """
        return self._has_enough_crashes(content.hex(), only_confirmed=False)

    def _has_enough_crashes(
        self, content: str, *, only_confirmed: bool
    ) -> bool:
        """Returns whether a content has the crashes for a quarantine."""
        suspect = self.suspects.get(content)
        if suspect is None:
            return False
        needed = 1 if content in self.trials else MAX_CRASHES
        return suspect.count_crashes(only_confirmed=only_confirmed) >= needed

    def open_strikes(self) -> list[Strike]:
        """Returns the strikes that are not resolved yet."""
        return [
            strike
            for suspect in self.suspects.values()
            for strike in suspect.strikes
            if not strike.confirmed
        ]
