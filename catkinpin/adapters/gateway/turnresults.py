"""Results of beginning a turn, and what the leader is told of its end."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.placement.placer import TurnReport

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinpin.adapters.gateway.resuming import EventStorage
    from catkinpin.core.placement.urgency import ProgramStatus
    from catkinpin.core.requests.sentevents import SentEvent


@dataclasses.dataclass(frozen=True)
class BeginFailed:
    """Result of a begin whose outcome the gateway could not learn.

    Attributes:
        reason: why, for the log.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class OverQuota:
    """Result of a begin that was refused because of the account's quota.

    Attributes:
        retry_ms: time until the quota has room again.
    """

    retry_ms: int


@dataclasses.dataclass(frozen=True)
class OverCapacity:
    """Result of a begin that was refused as the servers have no room.

    Attributes:
        retry_ms: time until the leader expects room for the program.
    """

    retry_ms: int


@dataclasses.dataclass(frozen=True)
class StartedTurn:
    """A turn that the leader has begun.

    Attributes:
        history: bytes of the preceding turns in its chain.
        program_status: time and turns used by its program so far.
        server: the server that ran the program's latest turn.
        assigned_server: server selected by the leader; empty if none.
        events: stores the events that its caller gets; None if the turn can't
            be resumed.
        kept: the events that its caller has, as it resumes a turn.
    """

    history: bytes
    program_status: ProgramStatus
    server: str
    assigned_server: str = ""
    events: EventStorage | None = None
    kept: Sequence[SentEvent] = ()


@dataclasses.dataclass(frozen=True)
class Resumability:
    """How a turn is resumed.

    Attributes:
        key: digest by which a request that resumes it finds it.
        event_tokens: tokens of each event.
    """

    key: str
    event_tokens: int


@dataclasses.dataclass(frozen=True)
class TurnResult:
    """Outcome of a turn, as reported to the leader.

    Attributes:
        tokens: number of tokens delivered to the caller.
        server: the server that cached its prompt; empty if none ran it.
        lost_ms: additional time compared with an idle server.
        report: failures and speed of the servers.
    """

    tokens: int = 0
    server: str = ""
    lost_ms: int = 0
    report: TurnReport = dataclasses.field(default_factory=TurnReport)
