"""What follows from a committed record; only a shard's leader acts on it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.messages import Begin, CallKey
    from catkinpin.core.programs.program import Call, ClosedCall, Program
    from catkinpin.core.programs.records import CallRefused
    from catkinpin.verdicts import Reason


@dataclasses.dataclass(frozen=True)
class CallGranted:
    """An attempt of the call has started."""

    program: Program
    call: Call


@dataclasses.dataclass(frozen=True)
class CallAnswered:
    """The call's answer is durable."""

    key: CallKey
    call: ClosedCall


@dataclasses.dataclass(frozen=True)
class CallTurnedDown:
    """The call got its final answer, a refusal."""

    key: CallKey
    refusal: CallRefused


@dataclasses.dataclass(frozen=True)
class CallReady:
    """The call is next in its program and needs a server."""

    program: Program
    call: Call


@dataclasses.dataclass(frozen=True)
class BeginRejected:
    """A begin did not fit the state it was applied to."""

    begin: Begin
    reason: Reason
    text: str
    detail: str = ""
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ProgramOver:
    """The program has ended; its engine memory can go."""

    program: Program


@dataclasses.dataclass(frozen=True)
class ContentQuarantined:
    """No server gets this content any more."""

    content: bytes


Effect = (
    CallGranted
    | CallAnswered
    | CallTurnedDown
    | CallReady
    | BeginRejected
    | ProgramOver
    | ContentQuarantined
)
