"""Runs a log group: proposals in, committed records out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from catkinpin import metrics
from catkinpin.adapters import storage

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Iterable


class StateMachine(Protocol):
    """What a log group drives; all of it runs on the loop."""

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record; called in the order of the log."""

    def leadership(self, leading: bool) -> None:
        """Says that this replica now leads the group, or no longer does.

        A new leader has applied every record that was committed before, and
        the lease of the one before it has run out.
        """

    def snapshot(self) -> bytes:
        """Returns the state as of the last record applied."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot, maybe one of another replica."""

    def referenced(self) -> Iterable[int]:
        """Returns the indexes of records that `Group.read` must still serve.

        They outlive the truncation of the log, and travel with a snapshot.
        """


class Group:
    """A log group with a single voter.

    Args:
        name: name of the group, and of its folder.
        folder: where the group's folder is made.
        machine: the state machine that the log drives.

    Attributes:
        leader: peer address of the leader, empty where it is not known.
    """

    def __init__(
        self, name: str, folder: pathlib.Path, machine: StateMachine
    ) -> None:
        self.name = name
        self.term = 1
        self.leader = ""
        self._machine = machine
        self._applied = 0
        self._flush_due = False
        path = folder / name
        path.mkdir(parents=True, exist_ok=True)
        self._log = storage.Log(path / "log")

    def start(self, address: str) -> None:
        """Applies the log and takes part in the group at `address`."""
        self._apply_all()
        self.leader = address
        self._machine.leadership(leading=True)

    def is_leader(self) -> bool:
        """Returns whether this replica may decide for the group now."""
        return bool(self.leader)

    def propose(self, payload: bytes) -> None:
        """Appends a record; `apply` gets it once it is committed."""
        self._log.append(payload)
        metrics.LOG_RECORDS.inc()
        if not self._flush_due:
            self._flush_due = True
            asyncio.get_running_loop().call_soon(self._flush)

    def read(self, index: int) -> bytes:
        """Returns a record."""
        return self._log.read(index)

    def close(self) -> None:
        """Closes the log."""
        self._log.close()

    def _flush(self) -> None:
        # All records proposed in this turn of the loop share one sync.
        self._flush_due = False
        self._log.sync()
        metrics.LOG_SYNCS.inc()
        self._apply_all()

    def _apply_all(self) -> None:
        # A record that is proposed while another is applied has not been
        # synced yet; it waits for the flush that its proposal asked for.
        synced = len(self._log)
        while self._applied < synced:
            self._applied += 1
            self._machine.apply(self._applied, self._log.read(self._applied))
