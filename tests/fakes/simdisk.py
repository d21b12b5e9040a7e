"""Disk of the consensus simulation, which keeps what was synced."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.consensus.messages import Members

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from catkinpin.core.consensus import messages


@dataclasses.dataclass
class Image:
    """Contents of a disk."""

    term: int = 0
    vote: str = ""
    led: bool = False
    snapshot: int = 0
    snapshot_term: int = 0
    base: int = 0
    base_term: int = 0
    members: Members = Members()  # noqa: RUF009
    applied: list[tuple[int, bytes]] = dataclasses.field(default_factory=list)
    log: list[messages.Entry] = dataclasses.field(default_factory=list)

    def truncate_after(self, last: int) -> None:
        self.log = [e for e in self.log if e.index <= last]

    def compact(self, base: int, term: int, members: Members) -> None:
        self.log = [e for e in self.log if e.index > base]
        self.base, self.base_term, self.members = base, term, members


class Disk:
    """A disk that keeps synced operations in a crash.

    Of the operations that are not synced a crash keeps a random prefix.
    """

    def __init__(self, image: Image) -> None:
        self.image = image
        self.synced_image = dataclasses.replace(image, log=list(image.log))
        self.unsynced_operations: list[Callable[[Image], None]] = []

    def execute(self, operation: Callable[[Image], None]) -> None:
        operation(self.image)
        self.unsynced_operations.append(operation)

    def sync(self) -> None:
        for operation in self.unsynced_operations:
            operation(self.synced_image)
        self.unsynced_operations = []

    def crash(self, rng: random.Random) -> None:
        for operation in self.unsynced_operations[
            : rng.randint(0, len(self.unsynced_operations))
        ]:
            operation(self.synced_image)
        self.__init__(self.synced_image)  # type: ignore[misc]
