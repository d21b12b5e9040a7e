"""A disk of the consensus simulation: what is synced lasts."""

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
    """What a disk holds."""

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

    def cut(self, last: int) -> None:
        self.log = [e for e in self.log if e.index <= last]

    def compact(self, base: int, term: int, members: Members) -> None:
        self.log = [e for e in self.log if e.index > base]
        self.base, self.base_term, self.members = base, term, members


class Disk:
    """Operations last once synced; a crash keeps some prefix of the rest."""

    def __init__(self, image: Image) -> None:
        self.image = image
        self.durable = dataclasses.replace(image, log=list(image.log))
        self.pending: list[Callable[[Image], None]] = []

    def do(self, op: Callable[[Image], None]) -> None:
        op(self.image)
        self.pending.append(op)

    def sync(self) -> None:
        for op in self.pending:
            op(self.durable)
        self.pending = []

    def crash(self, rng: random.Random) -> None:
        for op in self.pending[: rng.randint(0, len(self.pending))]:
            op(self.durable)
        self.__init__(self.durable)  # type: ignore[misc]
