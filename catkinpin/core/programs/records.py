"""Records of a shard's log: what its state machine is rebuilt from."""

from __future__ import annotations

from catkinpin.codec import Message
from catkinpin.core.messages import (
    Answer,
    Begin,
    CallKey,
    ProgramKey,
    ServerRef,
    Usage,
)
from catkinpin.verdicts import Reason, Verdict


class Choice(Message, frozen=True):
    """The leader's choice of a server for the next attempt.

    Attributes:
        entry: process id of the entry that the grant is for.
        entry_incarnation: of that entry; another can't use the grant.
    """

    server: ServerRef
    entry: str
    entry_incarnation: str
    dispatcher: str = ""
    priority: int = 0


class ProgramLimits(Message, frozen=True):
    """What a program with its sub-agents may use, from its deployment.

    Attributes:
        max_turns: answered calls of the whole tree.
        max_age_ms: time from the first call.
        idle_ms: time without a call after which the program is over.
        retain_ms: how long answers are kept for resends after the end.
    """

    budget_tokens: int
    max_turns: int = 1_000
    max_age_ms: int = 30 * 86_400_000
    idle_ms: int = 86_400_000
    retain_ms: int = 600_000


class CallBegun(Message, frozen=True):
    """A call was admitted; with a choice, its first attempt starts too."""

    at_ms: int
    begin: Begin
    limits: ProgramLimits
    choice: Choice | None = None


class AttemptStarted(Message, frozen=True):
    """A waiting call, or one to be tried again, got a server."""

    at_ms: int
    key: CallKey
    choice: Choice


class AttemptFinished(Message, frozen=True):
    """An attempt has an outcome."""

    at_ms: int
    key: CallKey
    attempt: str
    verdict: Verdict
    reason: Reason | None = None
    text: str = ""
    answer: Answer | None = None
    usage: Usage = Usage()
    messages: list[bytes] = []
    crashed: bool = False


class CallRefused(Message, frozen=True):
    """A call got its final answer without a backend server's answer."""

    at_ms: int
    key: CallKey
    reason: Reason
    text: str
    verdict: Verdict
    retry_after_ms: int = 0


class ProgramEnded(Message, frozen=True):
    """A program is over: asked for, idle, or stopped by a limit.

    Attributes:
        if_idle: whether a call that has come meanwhile makes this void.
    """

    at_ms: int
    key: ProgramKey
    reason: str
    if_idle: bool = False


class ProgramsForgotten(Message, frozen=True):
    """Programs ended so long ago that no resend is expected any more."""

    at_ms: int
    keys: list[ProgramKey]


class MemoryReleased(Message, frozen=True):
    """A server's incarnation released programs.

    Attributes:
        empty: whether the server showed this incarnation for the first time,
            so that what earlier ones held is gone.
    """

    at_ms: int
    server: str
    incarnation: str
    programs: list[str] = []
    empty: bool = False


class IncarnationEnded(Message, frozen=True):
    """Whether a server incarnation whose connections broke is over."""

    at_ms: int
    server: str
    incarnation: str
    crashed: bool


class QuarantineShared(Message, frozen=True):
    """The control group holds the quarantine of these contents."""

    at_ms: int
    contents: list[bytes]


ShardRecord = (
    CallBegun
    | AttemptStarted
    | AttemptFinished
    | CallRefused
    | ProgramEnded
    | ProgramsForgotten
    | MemoryReleased
    | IncarnationEnded
    | QuarantineShared
)
