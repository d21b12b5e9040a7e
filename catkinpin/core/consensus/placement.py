"""Where the replicas of a process's groups are, and what these must survive."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.tolerance import Location, Tolerance

if TYPE_CHECKING:
    from collections.abc import Iterable

# More replicas can only come from foreign messages.
_MAX_LOCATIONS = 4_096


class ReplicaPlacement:
    """Locations of replicas, shared by the groups of a process.

    Attributes:
        tolerance: which losses the groups must survive.
        locations: where the replicas are, by identity.
    """

    def __init__(self, tolerance: Tolerance | None = None) -> None:
        self.tolerance = tolerance or Tolerance()
        self.locations: dict[str, Location] = {}

    def record(self, location: Location) -> None:
        """Records where a replica is."""
        self.locations.pop(location.node, None)
        self.locations[location.node] = location
        while len(self.locations) > _MAX_LOCATIONS:
            del self.locations[next(iter(self.locations))]

    def locate(self, nodes: Iterable[str]) -> tuple[Location, ...]:
        """Returns where replicas are; unknown places are empty."""
        return tuple(
            self.locations.get(node) or Location(node) for node in nodes
        )
