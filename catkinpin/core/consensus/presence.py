"""Reachability of the seeds while the system is not founded yet."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.consensus.foundingtypes import SeedInfo


class Presence:
    """The latest `SeedInfo` of each other seed.

    Args:
        seed_count: number of seeds, this one included.
        may_have_lost_disk: whether this seed may have lost its disk.
        silence_timeout_ms: time without a `SeedInfo` after which a seed
            counts as unreachable.

    Attributes:
        majority_since_ms: time since which a majority of seeds that kept their
            disks has been reachable; None if there is none.
        all_since_ms: time since which all seeds have been reachable, with
            unchanged identities; None if they are not.
    """

    def __init__(
        self, seed_count: int, may_have_lost_disk: bool, silence_timeout_ms: int
    ) -> None:
        self._seed_count = seed_count
        self._may_have_lost_disk = may_have_lost_disk
        self._silence_timeout_ms = silence_timeout_ms
        self._seed_infos: dict[str, SeedInfo] = {}
        self._received_ms: dict[str, int] = {}
        self.majority_since_ms: int | None = None
        self.all_since_ms: int | None = None

    def record_seed_info(self, info: SeedInfo, now_ms: int) -> None:
        """Records the latest `SeedInfo` of another seed."""
        known = self._seed_infos.get(info.address)
        if known is not None and known.node != info.node:
            self.all_since_ms = None
        self._seed_infos[info.address] = info
        self._received_ms[info.address] = now_ms

    def update(self, now_ms: int) -> None:
        """Updates since when the seeds have been reachable."""
        if len(self.reachable_nodes(now_ms)) + 1 < self._seed_count:
            self.all_since_ms = None
        elif self.all_since_ms is None:
            self.all_since_ms = now_ms
        if self.count_kept_disks(now_ms) <= self._seed_count // 2:
            self.majority_since_ms = None
        elif self.majority_since_ms is None:
            self.majority_since_ms = now_ms

    def reachable_nodes(self, now_ms: int) -> dict[str, str]:
        """Returns the identities of the other reachable seeds, by address."""
        reachable_since_ms = now_ms - self._silence_timeout_ms
        return {
            address: info.node
            for address, info in self._seed_infos.items()
            if self._received_ms[address] > reachable_since_ms
        }

    def count_kept_disks(self, now_ms: int) -> int:
        """Returns how many reachable seeds surely kept their disks."""
        seed_infos = [
            self._seed_infos[address]
            for address in self.reachable_nodes(now_ms)
        ]
        return sum(not info.empty for info in seed_infos) + (
            not self._may_have_lost_disk
        )
