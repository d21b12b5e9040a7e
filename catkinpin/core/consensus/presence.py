"""Which seeds of a system that is not founded yet are in touch."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.consensus.foundingtypes import Introduction


class Presence:
    """The other seeds, as they introduced themselves last.

    Args:
        seeds: how many there are, this one included.
        empty: whether this seed may have lost a disk.
        touch_ms: a seed that was silent for so long is out of touch.

    Attributes:
        majority_since_ms: since when a majority that kept its disks has been
            in touch; None where it is not.
        complete_since_ms: since when all seeds have been in touch, the same
            ones; None where they are not.
    """

    def __init__(self, seeds: int, empty: bool, touch_ms: int) -> None:
        self._seeds = seeds
        self._empty = empty
        self._touch_ms = touch_ms
        self._others: dict[str, Introduction] = {}
        self._introduced_ms: dict[str, int] = {}
        self.majority_since_ms: int | None = None
        self.complete_since_ms: int | None = None

    def note_introduction(self, info: Introduction, now_ms: int) -> None:
        """Takes the introduction of another seed."""
        before = self._others.get(info.address)
        if before is not None and before.node != info.node:
            self.complete_since_ms = None
        self._others[info.address] = info
        self._introduced_ms[info.address] = now_ms

    def update(self, now_ms: int) -> None:
        """Takes the time that has passed into account."""
        if len(self.nodes(now_ms)) + 1 < self._seeds:
            self.complete_since_ms = None
        elif self.complete_since_ms is None:
            self.complete_since_ms = now_ms
        if self.kept(now_ms) <= self._seeds // 2:
            self.majority_since_ms = None
        elif self.majority_since_ms is None:
            self.majority_since_ms = now_ms

    def nodes(self, now_ms: int) -> dict[str, str]:
        """Returns the identities of the others in touch, by address."""
        since_ms = now_ms - self._touch_ms
        return {
            address: info.node
            for address, info in self._others.items()
            if self._introduced_ms[address] > since_ms
        }

    def kept(self, now_ms: int) -> int:
        """Returns how many seeds in touch have surely never lost a disk."""
        others = [self._others[address] for address in self.nodes(now_ms)]
        return sum(not other.empty for other in others) + (not self._empty)
