"""Runs a log group: proposals in, committed records out."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin import metrics
from catkinpin.adapters import storage

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Callable


class Group:
    """A log group with a single voter.

    Args:
        name: name of the group, and of its folder.
        folder: where the group's folder is made.
        apply: called with index and record, once it is committed.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        apply: Callable[[int, bytes], None],
    ) -> None:
        self.name = name
        self.term = 1
        self._apply = apply
        self._applied = 0
        self._flush_due = False
        path = folder / name
        path.mkdir(parents=True, exist_ok=True)
        self._log = storage.Log(path / "log")

    def replay(self) -> None:
        """Applies all records of the log."""
        self._apply_all()

    def is_leader(self) -> bool:
        """Returns whether this replica may decide for the group."""
        return True

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
        while self._applied < len(self._log):
            self._applied += 1
            self._apply(self._applied, self._log.read(self._applied))
