"""Runs of a request on servers that crashed, and how many of them count."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Crashes after which a request is quarantined if it alone explains them.
MAX_CRASHES = 2
# Times of two crashes are known this exactly. Reports take some ms to the
# leader.
_TIME_ERROR_MS = 30


@dataclasses.dataclass(slots=True)
class CrashedRun:
    """The last run of a suspect on a server that crashed, in wall time.

    Attributes:
        began_ms: when the request was sent to the server.
        ended_ms: when the server crashed.
        is_repeat: whether the request was suspected when it was sent.
    """

    began_ms: int
    ended_ms: int
    is_repeat: bool

    def add_copy(self, copy: CrashedRun) -> None:
        """Adds a copy that was on the same server; the one sent last counts."""
        self.began_ms = max(self.began_ms, copy.began_ms)
        self.ended_ms = min(self.ended_ms, copy.ended_ms)
        self.is_repeat = self.is_repeat or copy.is_repeat


def count_in_turn(runs: Iterable[CrashedRun]) -> int:
    """Returns how many runs, at most, followed each other.

    A run follows another one if it began after that one's crash. That the
    crash was known when it began is surer than the times.
    """
    count = 0
    ended_ms = None
    for run in sorted(runs, key=lambda run: run.ended_ms):
        if (
            ended_ms is None
            or run.is_repeat
            or run.began_ms + _TIME_ERROR_MS >= ended_ms
        ):
            count += 1
            ended_ms = run.ended_ms
    return count
