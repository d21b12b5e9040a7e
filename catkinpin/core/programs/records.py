"""Records of a shard's log, from which its state machine is rebuilt."""

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
        entry: process id of the entry that gets the grant.
        entry_incarnation: incarnation of that entry; no other can use the
            grant.
    """

    server: ServerRef
    entry: str
    entry_incarnation: str
    dispatcher: str = ""
    priority: int = 0


class ProgramLimits(Message, frozen=True):
    """Limits of a program with its sub-agents, set by its deployment.

    Attributes:
        max_turns: answered calls of the whole tree.
        max_age_ms: time from the first call to the end of the program.
        idle_ms: time without a call after which the program ends.
        retain_ms: time after the end for which answers are kept for resends.
    """

    budget_tokens: int
    max_turns: int = 1_000
    max_age_ms: int = 30 * 86_400_000
    idle_ms: int = 86_400_000
    retain_ms: int = 600_000


class CallBegun(Message, frozen=True):
    """A call was admitted; if a choice is given, its first attempt starts."""

    at_ms: int
    begin: Begin
    limits: ProgramLimits
    choice: Choice | None = None


class AttemptStarted(Message, frozen=True):
    """A call that waited, or is retried, was assigned a server."""

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
    """A call was closed with a refusal, without a server's answer."""

    at_ms: int
    key: CallKey
    reason: Reason
    text: str
    verdict: Verdict
    retry_after_ms: int = 0


class ProgramEnded(Message, frozen=True):
    """A program ends: on request, because it is idle, or at a limit.

    Attributes:
        if_idle: whether the record has no effect if a call is open.
        if_tree_idle: whether it also has none if a call is open of a program
            that this one started.
    """

    at_ms: int
    key: ProgramKey
    reason: str
    if_idle: bool = False
    if_tree_idle: bool = False


class ProgramsForgotten(Message, frozen=True):
    """Programs are forgotten: they ended so long ago that no resend follows."""

    at_ms: int
    keys: list[ProgramKey]


class MemoryReleased(Message, frozen=True):
    """A server's incarnation released the memory of programs.

    Attributes:
        empty: whether the incarnation is new, so that the memory of earlier
            ones is gone.
    """

    at_ms: int
    server: str
    incarnation: str
    programs: list[str] = []
    empty: bool = False


class IncarnationEnded(Message, frozen=True):
    """Tells whether an incarnation with broken connections has crashed."""

    at_ms: int
    server: str
    incarnation: str
    crashed: bool


class QuarantineShared(Message, frozen=True):
    """The control group took over the quarantine of these contents."""

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
