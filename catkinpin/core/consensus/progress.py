"""Replication progress of a group's members, as its leader tracks it."""

from __future__ import annotations

import dataclasses

_NEVER_MS = -(10**15)


@dataclasses.dataclass
class Progress:
    """Replication progress of one member.

    Attributes:
        next_index: index of the next entry to send.
        match_index: last index known to be synced to its log.
        appends_in_flight: number of appends sent and not answered yet.
        is_probing: whether the leader is still searching for the last index at
            which the two logs match.
        acked_ms: latest time of sending that a reply has echoed, by the
            leader's clock.
        sent_ms: time at which entries were last sent.
        offered_ms: time at which a snapshot was last offered, if the member
            has not answered it yet.
    """

    next_index: int
    match_index: int = 0
    appends_in_flight: int = 0
    is_probing: bool = True
    acked_ms: int = _NEVER_MS
    sent_ms: int = _NEVER_MS
    offered_ms: int = _NEVER_MS

    def mark_matched(self, index: int) -> None:
        """Records that the logs match up to `index`."""
        self.appends_in_flight = max(0, self.appends_in_flight - 1)
        self.is_probing = False
        self.offered_ms = _NEVER_MS
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, self.match_index + 1)

    def mark_rejected(self, last_candidate: int) -> None:
        """Moves back to where the logs may still match.

        Until a match is found only one append is in flight.

        Args:
            last_candidate: last index at which the logs may still match.
        """
        self.appends_in_flight = 0
        self.is_probing = True
        self.next_index = (
            max(self.match_index, min(self.next_index - 1, last_candidate)) + 1
        )

    def resend_unmatched(self) -> None:
        """Prepares to resend all entries after the last match."""
        self.appends_in_flight = 0
        self.next_index = self.match_index + 1


def quorum_value(values: list[int], quorum: int) -> int:
    """Returns the largest value that at least `quorum` of the values reach."""
    return sorted(values, reverse=True)[quorum - 1]
