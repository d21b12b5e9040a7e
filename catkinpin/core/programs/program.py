"""State of a program and its calls in the shard's state machine.

All of it is part of snapshots. The classes hold no message texts, and use
dictionaries instead of sets, whose order would differ between replicas.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import NamedTuple

from catkinpin.core.messages import Begin, CallKey, ProgramKey
from catkinpin.core.programs import sharding
from catkinpin.core.programs.history import History
from catkinpin.core.programs.records import CallRefused, Choice, ProgramLimits
from catkinpin.verdicts import Verdict

# Closed calls of a live program whose answers are all kept for resends. Older
# answers are kept for non-idempotent calls only, because running one again
# would repeat its effect. A program that has made this many calls since has
# received its older answers.
_KEPT_CALLS = 32


class CallDigests(NamedTuple):
    """What a request is recognized by.

    Attributes:
        content: covers all that a server would receive.
        message: covers the account, the target and the last message; empty for
            a request without messages.
    """

    content: bytes
    message: bytes = b""


class CallState(enum.Enum):
    """State of an open call."""

    WAITING = "waiting"
    RUNNING = "running"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One dispatch of a call.

    Attributes:
        attempt: id, which is never reused: shard name and log index.
        reserved: tokens reserved from the budget until the outcome is known.
        skip: number of the request's messages that the history already holds.
        began_ms: wall time of its start.
        is_repeat: whether the call was suspected to crash servers then.
    """

    attempt: str
    choice: Choice
    reserved: int
    max_tokens: int
    skip: int = 0
    began_ms: int = 0
    is_repeat: bool = False


@dataclasses.dataclass(slots=True)
class Call:
    """An open call: one without a final answer.

    Attributes:
        begin: the request as admitted.
        seq: sequence number in the program; if the request has none, 0 until
            the first attempt starts.
        content: digest of all that a server would receive, for quarantine;
            empty before the first attempt.
        message: digest of its last message, for quarantine.
        verdict: the worst verdict of the attempts so far.
        failed_servers: servers that failed this call, oldest first.
    """

    begin: Begin
    seq: int
    deadline_wall_ms: int
    content: bytes = b""
    message: bytes = b""
    state: CallState = CallState.WAITING
    attempt: Attempt | None = None
    attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    failed_servers: list[str] = dataclasses.field(default_factory=list)

    @property
    def key(self) -> CallKey:
        """Returns the key of the call."""
        return self.begin.key

    @property
    def digests(self) -> CallDigests:
        """Returns what the call is recognized by if it crashes servers."""
        return CallDigests(self.content, self.message)


@dataclasses.dataclass(slots=True)
class ClosedCall:
    """A closed call: its final answer is kept for resends.

    Attributes:
        record_index: log index of the record that holds the answer.
        refusal: the final answer if it is not a server's.
        unknown: id of the call's attempt if its outcome is unknown, else empty.
    """

    seq: int
    fingerprint: bytes
    target: str
    idempotent: bool
    record_index: int = 0
    refusal: CallRefused | None = None
    unknown: str = ""


@dataclasses.dataclass(slots=True)
class Program:
    """A program without its message texts.

    Budget, limits and turns of a whole tree are counted at its root.

    Attributes:
        open: open calls by request id, oldest first.
        closed: closed calls by request id, oldest first.
        spent: tokens charged by settled attempts.
        reserved: tokens reserved for attempts that run or whose outcome is
            unknown.
        overcounted: tokens that engines reported beyond the budget.
        unknown: reserved tokens of each attempt settled as unknown, by id.
        maybe_ran: request ids of calls that may have run but were not kept
            when they closed; no refusal of a resend may say "not run".
        turns: answered calls; at the root, those of the whole tree.
        last_server: server of the last answer, likely to hold the prefix.
        last_target: model of the last answer.
        history_tokens: size of the history as counted by that engine.
        servers: incarnation of each server that may hold the prefix, by name.
        members: ids of the sub-agents; only set at the root.
        once: whether the caller named no program, so that this call is its
            only one.
        active_ms: wall time of the last call or answer.
    """

    key: ProgramKey
    parent: str
    limits: ProgramLimits
    begun_ms: int = 0
    active_ms: int = 0
    next_seq: int = 1
    turns: int = 0
    spent: int = 0
    reserved: int = 0
    overcounted: int = 0
    last_server: str = ""
    last_target: str = ""
    history_tokens: int = 0
    once: bool = False
    ended: bool = False
    end_reason: str = ""
    ended_ms: int = 0
    history: History = dataclasses.field(default_factory=History)
    open: dict[str, Call] = dataclasses.field(default_factory=dict)
    closed: dict[str, ClosedCall] = dataclasses.field(default_factory=dict)
    unknown: dict[str, int] = dataclasses.field(default_factory=dict)
    maybe_ran: dict[str, None] = dataclasses.field(default_factory=dict)
    servers: dict[str, str] = dataclasses.field(default_factory=dict)
    members: list[str] = dataclasses.field(default_factory=list)

    @property
    def root_key(self) -> ProgramKey:
        """Returns the key of the root of this program's tree."""
        root = sharding.root_of(self.key.program)
        return ProgramKey(account=self.key.account, program=root)

    def running_call(self) -> Call | None:
        """Returns the call that holds an attempt, or None."""
        for call in self.open.values():
            if call.state is CallState.RUNNING:
                return call
        return None

    def next_call(self) -> Call | None:
        """Returns the call that may start now, or None.

        No call may start while another runs. The call with the next sequence
        number comes first, then the oldest call without a number.
        """
        if self.running_call() is not None:
            return None
        unnumbered = None
        for call in self.open.values():
            if call.seq == self.next_seq:
                return call
            if not call.seq and unnumbered is None:
                unnumbered = call
        return unnumbered

    def close(self, call: Call, closed: ClosedCall | None) -> None:
        """Removes a call from the open calls.

        Args:
            call: the call.
            closed: what resends get. With None the sequence number of the
                call stays free, and a resend is a new call.
        """
        request_id = call.key.request_id
        del self.open[request_id]
        if closed is None:
            if call.verdict is not Verdict.NOT_RUN:
                self.maybe_ran[request_id] = None
            return
        self.maybe_ran.pop(request_id, None)
        self.closed[request_id] = closed
        if closed.seq == self.next_seq:
            self.next_seq += 1
        self._drop_old_answers()

    def _drop_old_answers(self) -> None:
        surplus = len(self.closed) - _KEPT_CALLS
        if surplus <= 0:
            return
        for request_id, closed in list(self.closed.items())[:surplus]:
            if closed.idempotent:
                del self.closed[request_id]


def is_same_request(call: Call | ClosedCall | Begin, begin: Begin) -> bool:
    """Returns whether `begin` is the same request as `call`."""
    known = call.begin if isinstance(call, Call) else call
    return (
        known.fingerprint == begin.fingerprint and known.target == begin.target
    )
