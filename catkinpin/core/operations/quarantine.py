"""Contents of requests that no server may get, each for a term."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.operations import changes
from catkinpin.core.terms import Term, Terms

if TYPE_CHECKING:
    from collections.abc import Iterable


class ContentQuarantine:
    """Part of the control group's state.

    Args:
        quarantined: the quarantined contents.
        terms: their terms; a content without one is of an earlier release.
        trials: past terms of the contents on trial.

    Attributes:
        reasons: why each content is quarantined, by its fingerprint.
        terms: the terms of the quarantined contents, and those on trial.
    """

    def __init__(
        self,
        quarantined: Iterable[changes.Quarantined] = (),
        terms: Iterable[Term] = (),
        trials: Iterable[Term] = (),
    ) -> None:
        self.reasons = {r.fingerprint: r.reason for r in quarantined}
        known = {term.digest: term for term in terms}
        self.terms = Terms(
            [
                known.get(f.hex(), Term(digest=f.hex(), until_ms=0))
                for f in self.reasons
            ],
            trials,
        )

    def __contains__(self, fingerprint: object) -> bool:
        return fingerprint in self.reasons

    def apply(
        self, record: changes.Quarantined | changes.QuarantineLifted
    ) -> None:
        """Applies a committed record."""
        digest = record.fingerprint.hex()
        if isinstance(record, changes.Quarantined):
            if record.fingerprint not in self.reasons:
                self.reasons[record.fingerprint] = record.reason
                self.terms.begin(digest, record.at_ms)
            return
        self.reasons.pop(record.fingerprint, None)
        if record.lapsed:
            self.terms.lapse([digest], record.at_ms)
        else:
            self.terms.acquit(digest)
        self.terms.end_trials(record.at_ms)

    def lapsed_records(self, now_ms: int) -> list[changes.QuarantineLifted]:
        """Returns the records that end the terms which are over.

        Args:
            now_ms: wall time.
        """
        return [
            changes.QuarantineLifted(
                fingerprint=bytes.fromhex(digest), at_ms=now_ms, lapsed=True
            )
            for digest in self.terms.due(now_ms)
        ]

    def records(self) -> list[changes.Quarantined]:
        """Returns the quarantined contents, for a snapshot."""
        return [
            changes.Quarantined(fingerprint=fingerprint, reason=reason)
            for fingerprint, reason in self.reasons.items()
        ]
