"""Commands that a shard's leader gives its replica to carry out."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core import messages
    from catkinpin.core.messages import CallKey
    from catkinpin.core.programs import records
    from catkinpin.core.programs.history import HistoryItem


@dataclasses.dataclass(frozen=True)
class EntryRef:
    """An entry in its current incarnation."""

    process: str
    incarnation: str
    region: str
    address: str


@dataclasses.dataclass(frozen=True)
class Propose:
    """Append this record to the shard's log."""

    record: records.ShardRecord


@dataclasses.dataclass(frozen=True)
class Send:
    """Send this message to an entry."""

    to: EntryRef
    message: (
        messages.Granted
        | messages.Refused
        | messages.ProgramInfo
        | messages.Recall
        | messages.Recover
        | messages.OrderRelease
    )


@dataclasses.dataclass(frozen=True)
class SendAnswer:
    """Read the answer from the log and send it to an entry."""

    to: EntryRef
    ask: int
    key: CallKey
    seq: int
    record_index: int


@dataclasses.dataclass(frozen=True)
class SendGrant:
    """Read the history's messages from the log and send them with a grant."""

    to: EntryRef
    grant: messages.Granted
    history: list[HistoryItem]


@dataclasses.dataclass(frozen=True)
class ShareQuarantine:
    """Have the control group quarantine this content everywhere."""

    content: bytes


Command = Propose | Send | SendAnswer | SendGrant | ShareQuarantine
