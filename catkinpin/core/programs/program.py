"""Data of a program and its calls, as the shard's state machine keeps them.

Everything here is part of a snapshot: plain data classes without texts, and
dictionaries in place of sets, whose order would differ between replicas.
"""

from __future__ import annotations

import dataclasses
import enum

from catkinpin.core.messages import Begin, CallKey, ProgramKey
from catkinpin.core.programs import sharding
from catkinpin.core.programs.history import History
from catkinpin.core.programs.records import CallRefused, Choice, ProgramLimits
from catkinpin.verdicts import Verdict

# Answers of idempotent calls that a live program keeps for resends. A program
# that has made this many calls since has long seen the older answers; those of
# non-idempotent calls are all kept, as running one again would be an effect.
_KEPT_ANSWERS = 32


class CallState(enum.Enum):
    """Where an open call stands."""

    WAITING = "waiting"
    RUNNING = "running"


@dataclasses.dataclass(slots=True)
class Attempt:
    """One dispatch of a call.

    Attributes:
        attempt: id, unique for ever: shard name and log index.
        reserved: tokens held from the budget until the outcome is known.
        skip: messages of the request that the history holds already.
    """

    attempt: str
    choice: Choice
    reserved: int
    max_tokens: int
    skip: int = 0


@dataclasses.dataclass(slots=True)
class Call:
    """A call without a final answer.

    Attributes:
        begin: the request as admitted.
        seq: its place; 0 until a call that named none gets its turn.
        content: digest of all that a server would get, for quarantine.
        verdict: the worst verdict of the attempts so far.
        failed_servers: servers that failed this call, oldest first.
    """

    begin: Begin
    seq: int
    deadline_wall_ms: int
    content: bytes = b""
    state: CallState = CallState.WAITING
    attempt: Attempt | None = None
    attempts: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    failed_servers: list[str] = dataclasses.field(default_factory=list)

    @property
    def key(self) -> CallKey:
        """Names the call."""
        return self.begin.key


@dataclasses.dataclass(slots=True)
class ClosedCall:
    """A call that has its final answer, kept for resends.

    Attributes:
        record_index: log index of the record that holds the answer.
        refusal: the final answer where no server's answer came.
        unknown: id of the attempt whose outcome is not known, or empty.
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
    """A program's index: everything but the texts.

    Budget, limits and turns of a whole tree stand at its root.

    Attributes:
        open: calls without a final answer by request id, oldest first.
        closed: calls with a final answer by request id, oldest first.
        spent: tokens settled.
        reserved: tokens held for attempts whose outcome is not known yet.
        overcounted: tokens that engines reported beyond what was granted.
        unknown: reserve of each attempt that ended with unknown outcome.
        maybe_ran: request ids of calls that were given up on and may have
            run: no refusal of a resend may say that they did not.
        turns: calls that were answered; at the root, those of the tree.
        last_server: the server that last answered, likely to hold the prefix.
        last_target: the model that last answered.
        history_tokens: size of the history as that engine counted it.
        servers: incarnation of each server that may hold the prefix.
        members: ids of the sub-agents; kept at the root.
        once: whether the caller named no program, so that no call follows.
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
        """Names the root of this program's tree."""
        root = sharding.root_of(self.key.program)
        return ProgramKey(account=self.key.account, program=root)

    def running(self) -> Call | None:
        """Returns the call that holds an attempt, or None."""
        for call in self.open.values():
            if call.state is CallState.RUNNING:
                return call
        return None

    def next_call(self) -> Call | None:
        """Returns the call whose turn it is, or None while one runs.

        A call that named its place goes first; one that named none takes the
        place that is free when it is the oldest.
        """
        if self.running() is not None:
            return None
        unplaced = None
        for call in self.open.values():
            if call.seq == self.next_seq:
                return call
            if not call.seq and unplaced is None:
                unplaced = call
        return unplaced

    def close(self, call: Call, closed: ClosedCall | None) -> None:
        """Takes a call off the open ones.

        Args:
            call: the call.
            closed: what resends get. None keeps no trace: the place of the
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
        surplus = len(self.closed) - _KEPT_ANSWERS
        if surplus <= 0:
            return
        for request_id, closed in list(self.closed.items())[:surplus]:
            if closed.idempotent:
                del self.closed[request_id]


def same_request(call: Call | ClosedCall | Begin, begin: Begin) -> bool:
    """Returns whether `begin` resends `call` and is not another request."""
    known = call.begin if isinstance(call, Call) else call
    return (
        known.fingerprint == begin.fingerprint and known.target == begin.target
    )
