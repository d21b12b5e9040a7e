"""What a log group needs of the state that it replicates."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable


class StateMachine(Protocol):
    """The state that a log group replicates; called on the event loop."""

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record; called in log order."""

    def leadership_changed(self, leading: bool) -> None:
        """Reports that this replica now leads the group, or no longer does.

        A new leader has applied all records that were committed before, and
        the lease of the previous leader has expired.
        """

    def snapshot(self) -> bytes:
        """Returns the state as of the last record applied."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot of this or another replica."""

    def referenced(self) -> Iterable[int]:
        """Returns the indexes of records that `Group.read` must still return.

        They survive a truncation of the log and are transferred with snapshots.
        """
