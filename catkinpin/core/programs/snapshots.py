"""Format of a shard's snapshot."""

from __future__ import annotations

from catkinpin.codec import Message
from catkinpin.core.programs.outbox import Outbox
from catkinpin.core.programs.program import Program
from catkinpin.core.programs.quarantine import Quarantine
from catkinpin.exceptions import SnapshotVersionError

SNAPSHOT_VERSION = 1


class ShardSnapshot(Message, frozen=True):
    """The state of a shard, without message texts."""

    name: str
    programs: list[Program]
    outbox: Outbox
    quarantine: Quarantine
    version: int = SNAPSHOT_VERSION

    def check_version(self) -> None:
        """Checks that this build can read the snapshot.

        Raises:
            SnapshotVersionError: a newer build wrote the snapshot.
        """
        if self.version > SNAPSHOT_VERSION:
            raise SnapshotVersionError(self.version, SNAPSHOT_VERSION)
