"""Requests that crash servers: suspects, strikes and quarantine.

Every request that was running on a server when it crashed gets a strike and is
a suspect, whether it is at fault or not. Suspects run on different servers, so
that the next crash shows which one is at fault; an answer clears a suspect.
Content with two strikes is quarantined, whatever request id, program or account
it comes with.

A broken connection is not yet a crash. A strike is open until the server
reports the same incarnation again (no crash), reports a new one, or stays
silent (a crash).
"""

from __future__ import annotations

import dataclasses

# Crashes of servers after which a content is quarantined.
MAX_CRASHES = 2
_MAX_SUSPECTS = 10_000


@dataclasses.dataclass(slots=True)
class Strike:
    """A connection to a server broke while the request was running there."""

    server: str
    incarnation: str
    at_ms: int
    confirmed: bool = False


@dataclasses.dataclass(slots=True)
class Suspect:
    """Content that was running when connections broke."""

    strikes: list[Strike] = dataclasses.field(default_factory=list)

    def count_crashes(self, *, only_confirmed: bool) -> int:
        """Returns how many incarnations crashed, however many copies ran."""
        return len(
            {
                (strike.server, strike.incarnation)
                for strike in self.strikes
                if strike.confirmed or not only_confirmed
            }
        )


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Suspects and quarantined contents by content digest, in hex.

    Attributes:
        refused: contents quarantined here and not yet by the control group.
    """

    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    refused: dict[str, None] = dataclasses.field(default_factory=dict)

    def add_strike(
        self, content: bytes, server: str, incarnation: str, at_ms: int
    ) -> None:
        """Adds a strike: a connection broke while the content was running."""
        suspect = self.suspects.setdefault(content.hex(), Suspect())
        suspect.strikes.append(Strike(server, incarnation, at_ms))
        if len(self.suspects) > _MAX_SUSPECTS:
            self.suspects.pop(next(iter(self.suspects)))

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

    def quarantine_repeated(self) -> list[bytes]:
        """Quarantines contents with too many crashes and returns them."""
        repeated = [
            content
            for content, suspect in self.suspects.items()
            if suspect.count_crashes(only_confirmed=True) >= MAX_CRASHES
        ]
        for content in repeated:
            del self.suspects[content]
            self.refused[content] = None
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

    def is_refused(self, content: bytes) -> bool:
        """Returns whether the content is quarantined here."""
        return content.hex() in self.refused

    def is_suspect(self, content: bytes) -> bool:
        """Returns whether the content must not share a server with suspects."""
        return content.hex() in self.suspects

    def must_wait(self, content: bytes) -> bool:
        """Returns whether strikes must be resolved before the next run.

        A third run before the second strike is resolved could crash a third
        server.
        """
        suspect = self.suspects.get(content.hex())
        return (
            suspect is not None
            and suspect.count_crashes(only_confirmed=False) >= MAX_CRASHES
        )

    def open_strikes(self) -> list[Strike]:
        """Returns the strikes that are not resolved yet."""
        return [
            strike
            for suspect in self.suspects.values()
            for strike in suspect.strikes
            if not strike.confirmed
        ]
