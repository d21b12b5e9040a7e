"""Terms of quarantine: for how long a request that crashes servers is refused.

What looked harmful once may be harmless: servers can end one after the other
for reasons of their own. So each quarantine ends after some time, and the
request is then on trial. An answer acquits it. The next crash begins a longer
term at once, so a harmful request costs fewer and fewer servers.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Iterable

# How long a crash counts as evidence against a request.
EVIDENCE_MS = 300_000
_FIRST_TERM_MS = 30_000
_TERM_FACTOR = 4
MAX_TERM_MS = 3_600_000


class Term(Message, frozen=True):
    """A quarantine of limited time, running or past.

    Attributes:
        digest: digest of the request, in hex.
        until_ms: wall time of its end; 0 if its begin is not known.
        number: how many terms the request has had, this one included.
    """

    digest: str
    until_ms: int
    number: int = 1

    @property
    def duration_ms(self) -> int:
        """Its duration."""
        grown_ms = _FIRST_TERM_MS * int(_TERM_FACTOR ** (self.number - 1))
        return min(grown_ms, MAX_TERM_MS)

    @property
    def trial_until_ms(self) -> int:
        """Wall time at which the trial after it ends."""
        return self.until_ms + max(self.duration_ms, EVIDENCE_MS)


class Terms:
    """The quarantined requests, and those on trial after a quarantine.

    Attributes:
        running: quarantined requests by digest, oldest first.
        trials: requests on trial by digest, oldest first.
    """

    def __init__(
        self, running: Iterable[Term] = (), trials: Iterable[Term] = ()
    ) -> None:
        self.running = {term.digest: term for term in running}
        self.trials = {term.digest: term for term in trials}

    def begin(self, digest: str, now_ms: int) -> Term:
        """Begins a term, longer than the last one of a request on trial.

        Args:
            digest: of the request.
            now_ms: wall time; 0 if it is not known.
        """
        last = self.trials.pop(digest, None) or self.running.pop(digest, None)
        number = last.number + 1 if last is not None else 1
        term = Term(digest=digest, until_ms=0, number=number)
        if now_ms:
            term = Term(
                digest=digest,
                until_ms=now_ms + term.duration_ms,
                number=number,
            )
        self.running[digest] = term
        return term

    def due(self, now_ms: int) -> list[str]:
        """Returns the digests of the terms that are over."""
        return [
            term.digest
            for term in self.running.values()
            if term.until_ms <= now_ms
        ]

    def lapse(self, digests: Iterable[str], now_ms: int) -> list[str]:
        """Ends terms, and puts their requests on trial; returns which ones."""
        lapsed = []
        for digest in digests:
            term = self.running.pop(digest, None)
            if term is not None:
                self.trials[digest] = Term(
                    digest=digest, until_ms=now_ms, number=term.number
                )
                lapsed.append(digest)
        return lapsed

    def acquit(self, digest: str) -> bool:
        """Ends a term and a trial; returns whether the term was running."""
        self.trials.pop(digest, None)
        return self.running.pop(digest, None) is not None

    def ended_trials(self, now_ms: int) -> list[str]:
        """Returns the digests of the trials that have lasted long enough."""
        return [
            term.digest
            for term in self.trials.values()
            if term.trial_until_ms <= now_ms
        ]

    def end_trials(self, now_ms: int) -> None:
        """Forgets the trials that have lasted long enough."""
        for digest in self.ended_trials(now_ms):
            del self.trials[digest]
