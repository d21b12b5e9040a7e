"""State machine of the control group: configuration and its revisions."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core import changes

_REMEMBERED_CHANGES = 10_000


@dataclasses.dataclass(frozen=True)
class ChangeResult:
    """Outcome of an operator's change, the same however often it is sent.

    Attributes:
        revision: the new revision, or the one that stands in the way.
        operator: who made that revision.
    """

    accepted: bool
    revision: int
    operator: str


class Control:
    """The configuration; its revision only ever rises."""

    def __init__(self) -> None:
        self.revision = 0
        self.content = b""
        self.operator = ""
        self.results: dict[str, ChangeResult] = {}

    def apply(self, index: int, record: changes.ControlRecord) -> ChangeResult:
        """Applies a committed change and returns its outcome."""
        known = self.results.get(record.request_id)
        if known is not None:
            return known
        result = self._decide(record)
        self.results[record.request_id] = result
        if len(self.results) > _REMEMBERED_CHANGES:
            self.results.pop(next(iter(self.results)))
        return result

    def _decide(self, record: changes.ControlRecord) -> ChangeResult:
        # Two operators who both start from the same revision would overwrite
        # each other unseen; the second one is told who was first instead.
        if record.base_revision != self.revision:
            return ChangeResult(False, self.revision, self.operator)
        self.revision += 1
        self.content = record.content
        self.operator = record.operator
        return ChangeResult(True, self.revision, self.operator)
