"""Requests that crash servers: suspects, strikes and quarantine.

A request on a server that crashed gets a strike, whether it is at fault
or not. Suspects run apart from one another, so that the next crash tells them
apart; an answer clears a suspect. With two strikes the content is quarantined,
under whatever request id, program or account it comes again.

A broken connection is not yet a crash. A strike is open until the server shows
the same incarnation again (no crash) or a new one, or stays silent (a crash).
"""

from __future__ import annotations

import dataclasses

MAX_CRASHES = 2
_MAX_SUSPECTS = 10_000


@dataclasses.dataclass(slots=True)
class Strike:
    """A break of the connection to a server while it held the request."""

    server: str
    incarnation: str
    at_ms: int
    confirmed: bool = False


@dataclasses.dataclass(slots=True)
class Suspect:
    """Content that was running when connections broke."""

    strikes: list[Strike] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(slots=True)
class Quarantine:
    """Suspects by content digest, in hex, and what is quarantined.

    Attributes:
        refused: what is quarantined here until the control group holds it.
    """

    suspects: dict[str, Suspect] = dataclasses.field(default_factory=dict)
    refused: dict[str, None] = dataclasses.field(default_factory=dict)

    def add_strike(
        self, content: bytes, server: str, incarnation: str, at_ms: int
    ) -> None:
        """Notes that the request was running when its connection broke."""
        suspect = self.suspects.setdefault(content.hex(), Suspect())
        suspect.strikes.append(Strike(server, incarnation, at_ms))
        if len(self.suspects) > _MAX_SUSPECTS:
            self.suspects.pop(next(iter(self.suspects)))

    def resolve(self, server: str, incarnation: str, crashed: bool) -> None:
        """Decides the open strikes of one incarnation of a server."""
        for content, suspect in list(self.suspects.items()):
            kept = []
            for strike in suspect.strikes:
                of_this = (strike.server, strike.incarnation) == (
                    server,
                    incarnation,
                )
                if of_this and not strike.confirmed:
                    if not crashed:
                        continue
                    strike.confirmed = True
                kept.append(strike)
            suspect.strikes = kept
            if not kept:
                del self.suspects[content]

    def quarantine_repeated(self) -> list[bytes]:
        """Quarantines content with too many crashes; returns what is new."""
        found = [
            content
            for content, suspect in self.suspects.items()
            if sum(strike.confirmed for strike in suspect.strikes)
            >= MAX_CRASHES
        ]
        for content in found:
            del self.suspects[content]
            self.refused[content] = None
        return [bytes.fromhex(content) for content in found]

    def shared(self, contents: list[bytes]) -> None:
        """Notes that the control group holds these: it may lift them later."""
        for content in contents:
            self.refused.pop(content.hex(), None)

    def to_share(self) -> list[bytes]:
        """Returns what the control group does not hold yet."""
        return [bytes.fromhex(content) for content in sorted(self.refused)]

    def cleared(self, content: bytes) -> None:
        """Notes that the request was answered: it crashes nothing."""
        self.suspects.pop(content.hex(), None)

    def is_refused(self, content: bytes) -> bool:
        """Returns whether no server may get the content."""
        return content.hex() in self.refused

    def is_suspect(self, content: bytes) -> bool:
        """Returns whether the content must run apart from other suspects."""
        return content.hex() in self.suspects

    def must_wait(self, content: bytes) -> bool:
        """Returns whether open strikes must be decided before another run.

        A third run while the second break is undecided could cost a third
        server.
        """
        suspect = self.suspects.get(content.hex())
        return suspect is not None and len(suspect.strikes) >= MAX_CRASHES

    def open_strikes(self) -> list[Strike]:
        """Returns the strikes that are not decided."""
        return [
            strike
            for suspect in self.suspects.values()
            for strike in suspect.strikes
            if not strike.confirmed
        ]
