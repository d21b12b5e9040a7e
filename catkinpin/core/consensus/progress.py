"""What a leader knows of the other members, and its lease."""

from __future__ import annotations

import dataclasses

_NEVER = -(10**15)


@dataclasses.dataclass
class Progress:
    """How far one member is.

    Attributes:
        match: last index known to be in its log, synced.
        next: next index to send.
        in_flight: appends sent and not answered.
        probing: whether the place where the logs part is still looked for.
        acked_ms: the newest of our times that it has echoed.
        sent_ms: when entries were last sent.
        offered_ms: when a snapshot was last offered, where one is under way.
    """

    next: int
    match: int = 0
    in_flight: int = 0
    probing: bool = True
    acked_ms: int = _NEVER
    sent_ms: int = _NEVER
    offered_ms: int = _NEVER

    def matched(self, index: int) -> None:
        """Notes an index known to match."""
        self.in_flight = max(0, self.in_flight - 1)
        self.probing = False
        self.offered_ms = _NEVER
        self.match = max(self.match, index)
        self.next = max(self.next, self.match + 1)

    def refused(self, hint: int) -> None:
        """Goes back to where the logs may match, one append at a time."""
        self.in_flight = 0
        self.probing = True
        self.next = max(self.match, min(self.next - 1, hint)) + 1

    def restart(self) -> None:
        """Sends again from the last match: what was sent got lost."""
        self.in_flight = 0
        self.next = self.match + 1


def quorum_value(values: list[int], quorum: int) -> int:
    """Returns the largest value that `quorum` of the values reach."""
    return sorted(values, reverse=True)[quorum - 1]
