"""Effects of a committed record, on which only a shard's leader acts."""

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
    """The call's answer is committed."""

    key: CallKey
    call: ClosedCall


@dataclasses.dataclass(frozen=True)
class CallRejected:
    """The call was closed with a refusal."""

    key: CallKey
    refusal: CallRefused


@dataclasses.dataclass(frozen=True)
class CallReady:
    """The call is next in its program and needs a server."""

    program: Program
    call: Call


@dataclasses.dataclass(frozen=True)
class BeginRejected:
    """A new call was not admitted."""

    begin: Begin
    reason: Reason
    text: str
    detail: str = ""
    retry_after_ms: int = 0


@dataclasses.dataclass(frozen=True)
class ProgramTerminated:
    """The program has ended."""

    program: Program


@dataclasses.dataclass(frozen=True)
class ContentQuarantined:
    """The content was quarantined: no server gets it any more."""

    content: bytes


Effect = (
    CallGranted
    | CallAnswered
    | CallRejected
    | CallReady
    | BeginRejected
    | ProgramTerminated
    | ContentQuarantined
)
