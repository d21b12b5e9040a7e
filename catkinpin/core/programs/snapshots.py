"""Form of a shard's state in a snapshot."""

from __future__ import annotations

from catkinpin.codec import Message
from catkinpin.core.programs.outbox import Outbox
from catkinpin.core.programs.program import Program
from catkinpin.core.programs.quarantine import Quarantine
from catkinpin.exceptions import SnapshotVersionError

VERSION = 1


class ShardSnapshot(Message, frozen=True):
    """A shard's programs and what belongs to them, without texts."""

    name: str
    programs: list[Program]
    outbox: Outbox
    quarantine: Quarantine
    version: int = VERSION

    def check_version(self) -> None:
        """Checks that this program understands the snapshot.

        Raises:
            SnapshotVersionError: a newer program wrote it.
        """
        if self.version > VERSION:
            raise SnapshotVersionError(self.version, VERSION)
