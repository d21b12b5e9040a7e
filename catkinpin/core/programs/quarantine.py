"""Requests that crash servers: suspects, strikes and quarantine.

Every request that was running on a server when it crashed gets a strike and is
a suspect, whether it is at fault or not. Suspects run on different servers, so
that the next crash shows which one is at fault; an answer clears a suspect.
Content with two strikes is quarantined, whatever request id, program or account
it comes with. Crashes at one moment count once, and a strike counts for some
minutes. The control group ends a quarantine after a term; the content is then
on trial, and its next crash is enough.

A harmful message is a new content in each conversation. So an account's last
message is suspected as well, once servers crashed under several contents that
end with it and none of them was answered since. It is quarantined after three
crashes if no single content explains them.

A broken connection is not yet a crash. A strike is open until the server
reports the same incarnation again (no crash), reports a new one, or stays
silent (a crash).
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.crashruns import MAX_CRASHES, CrashedRun, count_in_turn
from catkinpin.core.terms import EVIDENCE_MS, MAX_TERM_MS

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.programs.program import Attempt, CallDigests

_MAX_SUSPECTS = 10_000
# Crashes after which a message is quarantined in all conversations.
_MAX_MESSAGE_CRASHES = 3


@dataclasses.dataclass(slots=True)
class Strike:
    """A connection to a server broke while the request was running there.

    Attributes:
        server: name of the server.
        incarnation: the server's incarnation.
        at_ms: wall time of the break.
        confirmed: whether the server has crashed; else that is open.
        began_ms: wall time at which the attempt started.
        is_repeat: whether the request was suspected when the attempt started.
        content: digest of the request's content, in hex.
    """

    server: str
    incarnation: str
    at_ms: int
    confirmed: bool = False
    began_ms: int = 0
    is_repeat: bool = False
    content: str = ""

    @property
    def run(self) -> tuple[str, str]:
        """Server and incarnation."""
        return self.server, self.incarnation


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
    """Content, or a message, that was running when connections broke."""

    strikes: list[Strike] = dataclasses.field(default_factory=list)

    def count_crashes(self, *, only_confirmed: bool) -> int:
        """Returns how many crashes count; copies on one server count once."""
        runs: dict[tuple[str, str], CrashedRun] = {}
        for strike in self.strikes:
            if strike.confirmed or not only_confirmed:
                run = CrashedRun(
                    strike.began_ms, strike.at_ms, strike.is_repeat
                )
                runs.setdefault(strike.run, run).add_copy(run)
        return count_in_turn(runs.values())

    def is_explained_by_one_content(self) -> bool:
        """Returns whether a single content was running during all crashes."""
        by_content = collections.defaultdict(set)
        for strike in self.strikes:
            by_content[strike.content].add(strike.run)
        servers = {strike.run for strike in self.strikes}
        return any(runs == servers for runs in by_content.values())

    def drop(self, is_dropped: Callable[[Strike], bool]) -> None:
        """Drops some of the strikes."""
        self.strikes = [s for s in self.strikes if not is_dropped(s)]


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Suspects and what is quarantined, by digest in hex.

    Attributes:
        suspects: contents that were running when connections broke.
        refused: digests quarantined here and not yet by the control group.
        trials: digests quarantined here before, and when; one crash more is
            enough once the control group has ended their quarantine.
        messages: last messages of the requests that were running when
            connections broke, with the strikes of all their contents.
    """

    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    refused: dict[str, None] = dataclasses.field(default_factory=dict)
    trials: dict[str, int] = dataclasses.field(default_factory=dict)
    messages: dict[str, Suspect] = dataclasses.field(default_factory=dict)

    def add_strike(self, digests: CallDigests, strike: Strike) -> None:
        """Adds a strike: a connection broke while the request was running."""
        self._drop_outdated(strike.at_ms)
        content, message = digests.content.hex(), digests.message.hex()
        strike.content = content
        _append(self.suspects, content, strike)
        if message:
            _append(self.messages, message, dataclasses.replace(strike))

    def _drop_outdated(self, now_ms: int) -> None:
        """Drops the evidence that is too old to count."""
        self._drop_strikes(
            lambda strike: (
                strike.confirmed and strike.at_ms + EVIDENCE_MS < now_ms
            )
        )
        until_ms = now_ms - MAX_TERM_MS - EVIDENCE_MS
        self.trials = {c: at for c, at in self.trials.items() if at >= until_ms}

    def _drop_strikes(self, is_dropped: Callable[[Strike], bool]) -> None:
        for found in (self.suspects, self.messages):
            for digest, suspect in list(found.items()):
                suspect.drop(is_dropped)
                if not suspect.strikes:
                    del found[digest]

    def resolve(self, server: str, incarnation: str, crashed: bool) -> None:
        """Confirms or drops the open strikes of a server's incarnation."""

        def is_open(strike: Strike) -> bool:
            return not strike.confirmed and strike.run == (server, incarnation)

        if not crashed:
            self._drop_strikes(is_open)
            return
        for suspect in (*self.suspects.values(), *self.messages.values()):
            for strike in filter(is_open, suspect.strikes):
                strike.confirmed = True

    def quarantine_repeated(self, now_ms: int) -> list[bytes]:
        """Quarantines what has too many crashes and returns the digests.

        A crash that is explained by them is evidence against nothing else.
        """
        contents = {
            content: suspect
            for content, suspect in self.suspects.items()
            if self._has_enough_crashes(content, only_confirmed=True)
        }
        messages = {
            message: suspect
            for message, suspect in self.messages.items()
            if self._is_harmful_message(message, only_confirmed=True)
        }
        explained = {
            strike.run
            for suspect in (*contents.values(), *messages.values())
            for strike in suspect.strikes
        }
        for content in contents:
            del self.suspects[content]
        for message in messages:
            del self.messages[message]
        # Strikes of a harmful content remain as proof against its message.
        self._drop_strikes(
            lambda strike: (
                strike.run in explained and strike.content not in contents
            )
        )
        repeated = [*contents, *messages]
        self.refused |= dict.fromkeys(repeated)
        self.trials |= dict.fromkeys(repeated, now_ms)
        return [bytes.fromhex(digest) for digest in repeated]

    def mark_shared(self, contents: list[bytes]) -> None:
        """Drops digests that the control group took over; it may lift them."""
        for content in contents:
            self.refused.pop(content.hex(), None)

    def unshared_contents(self) -> list[bytes]:
        """Returns the digests that the control group has not taken over."""
        return [bytes.fromhex(content) for content in sorted(self.refused)]

    def clear_suspect(self, digests: CallDigests) -> None:
        """Clears a request of suspicion, because a server answered it."""
        self.suspects.pop(digests.content.hex(), None)
        self.messages.pop(digests.message.hex(), None)
        for digest in digests:
            self.trials.pop(digest.hex(), None)

    def is_refused(self, digests: CallDigests) -> bool:
        """Returns whether the request is quarantined here."""
        return any(digest.hex() in self.refused for digest in digests)

    def is_suspect(self, digests: CallDigests) -> bool:
        """Returns whether the request must not share a server with suspects."""
        return bool(self.suspected(digests))

    def suspected(self, digests: CallDigests) -> frozenset[bytes]:
        """Returns which of a request's digests are suspected."""
        content, message = digests.content.hex(), digests.message.hex()
        found = set()
        if content in self.suspects or content in self.trials:
            found.add(digests.content)
        if message in self.trials or self._is_suspect_message(message):
            found.add(digests.message)
        return frozenset(found)

    def _is_suspect_message(self, message: str) -> bool:
        """Returns whether a message may be harmful in any conversation."""
        suspect = self.messages.get(message)
        if suspect is None:
            return False
        is_proved = any(s.content in self.trials for s in suspect.strikes)
        return is_proved or not suspect.is_explained_by_one_content()

    def must_wait(self, digests: CallDigests) -> bool:
        """Returns whether strikes must be resolved before the next run.

        Another run before the last strike is resolved could crash one server
        more.
        """
        content, message = digests.content.hex(), digests.message.hex()
        return self._has_enough_crashes(
            content, only_confirmed=False
        ) or self._is_harmful_message(message, only_confirmed=False)

    def _has_enough_crashes(
        self, content: str, *, only_confirmed: bool
    ) -> bool:
        """Returns whether a content has the crashes for a quarantine."""
        suspect = self.suspects.get(content)
        if suspect is None:
            return False
        needed = 1 if content in self.trials else MAX_CRASHES
        return suspect.count_crashes(only_confirmed=only_confirmed) >= needed

    def _is_harmful_message(
        self, message: str, *, only_confirmed: bool
    ) -> bool:
        """Returns whether a message has the crashes for a quarantine."""
        suspect = self.messages.get(message)
        if suspect is None:
            return False
        count = suspect.count_crashes(only_confirmed=only_confirmed)
        if message in self.trials:
            return count >= 1
        return (
            count >= _MAX_MESSAGE_CRASHES
            and not suspect.is_explained_by_one_content()
        )

    def open_strikes(self) -> list[Strike]:
        """Returns the strikes that are not resolved yet."""
        return [
            strike
            for suspect in self.suspects.values()
            for strike in suspect.strikes
            if not strike.confirmed
        ]


def _append(found: dict[str, Suspect], digest: str, strike: Strike) -> None:
    """Adds a strike; drops the oldest suspect if there are too many."""
    found.setdefault(digest, Suspect()).strikes.append(strike)
    if len(found) > _MAX_SUSPECTS:
        found.pop(next(iter(found)))
