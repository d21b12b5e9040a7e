"""State machine of a program shard: rebuilt from its log on every replica.

The leader proposes records; each replica applies the committed ones in the
same order and so holds the same state. Records are checked when they are
applied, not when they are proposed: what was true at the proposal may have
changed by then.
"""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from catkinpin import digest
from catkinpin.core import records
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from catkinpin.core.messages import Begin, CallKey, ProgramKey


class CallState(enum.Enum):
    """Where a call stands."""

    WAITING = "waiting"
    RUNNING = "running"
    ANSWERED = "answered"
    REFUSED = "refused"


@dataclasses.dataclass
class Attempt:
    """One dispatch of a call.

    Attributes:
        attempt: id, unique for ever: shard name and log index.
        reserved: tokens held from the budget until the outcome is known.
    """

    attempt: str
    choice: records.Choice
    reserved: int
    max_tokens: int


@dataclasses.dataclass
class Call:
    """A call of a program.

    Attributes:
        begin: the request as admitted.
        record_index: log index of the record that holds the answer.
        verdict: the worst verdict of the attempts so far.
    """

    begin: Begin
    seq: int
    deadline_wall_ms: int
    state: CallState = CallState.WAITING
    attempt: Attempt | None = None
    attempts: int = 0
    record_index: int = 0
    verdict: Verdict = Verdict.NOT_RUN
    refusal: records.CallRefused | None = None
    failed_servers: list[str] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class HistoryItem:
    """A message of a program's history, kept in the log and not in memory.

    Attributes:
        digest: digest of the message.
        record_index: log index of the record that holds the message.
        position: place among the messages of that record.
    """

    digest: bytes
    record_index: int
    position: int


@dataclasses.dataclass
class Program:
    """A program's index: everything but the texts.

    Attributes:
        head: digest chain over the history.
        spent: tokens settled.
        reserved: tokens held for attempts whose outcome is not known.
        last_server: the server that last answered, likely to hold the prefix.
    """

    key: ProgramKey
    parent: str
    budget: int
    next_seq: int = 1
    history: list[HistoryItem] = dataclasses.field(default_factory=list)
    head: bytes = b""
    calls: dict[str, Call] = dataclasses.field(default_factory=dict)
    spent: int = 0
    reserved: int = 0
    turns: int = 0
    last_server: str = ""
    ended: bool = False
    active_ms: int = 0


@dataclasses.dataclass(frozen=True)
class CallGranted:
    """Effect: an attempt of the call has started."""

    program: Program
    call: Call


@dataclasses.dataclass(frozen=True)
class CallAnswered:
    """Effect: the call's answer is durable in record `record_index`."""

    program: Program
    call: Call


@dataclasses.dataclass(frozen=True)
class CallTurnedDown:
    """Effect: the call got its final answer, a refusal."""

    program: Program
    call: Call


@dataclasses.dataclass(frozen=True)
class CallReady:
    """Effect: the call is next in its program and needs a server."""

    program: Program
    call: Call


@dataclasses.dataclass(frozen=True)
class BeginRejected:
    """Effect: a begin did not fit the state it was applied to."""

    begin: Begin
    reason: Reason
    text: str
    detail: str = ""


@dataclasses.dataclass(frozen=True)
class ProgramOver:
    """Effect: the program has ended; its engine memory can go."""

    program: Program


Effect = (
    CallGranted
    | CallAnswered
    | CallTurnedDown
    | CallReady
    | BeginRejected
    | ProgramOver
)


class Shard:
    """The programs of one shard.

    Attributes:
        programs: every program not yet forgotten, by key.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.programs: dict[ProgramKey, Program] = {}

    def apply(self, index: int, record: records.ShardRecord) -> list[Effect]:
        """Applies a committed record.

        Args:
            index: the record's index in the log.
            record: the record.

        Returns:
            What follows from it; only the leader acts on that.
        """
        match record:
            case records.CallBegun():
                return self._call_begun(index, record)
            case records.AttemptStarted():
                return self._attempt_started(index, record)
            case records.AttemptFinished():
                return self._attempt_finished(index, record)
            case records.CallRefused():
                return self._call_refused(record)
            case records.ProgramEnded():
                return self._program_ended(record)

    def find_call(self, key: CallKey) -> tuple[Program, Call] | None:
        """Returns the call and its program, or None where unknown."""
        program = self.programs.get(key.program_key)
        if program is None or key.request_id not in program.calls:
            return None
        return program, program.calls[key.request_id]

    def check_begin(self, begin: Begin) -> BeginRejected | None:
        """Returns why a new call can't be admitted now, or None."""
        program = self.programs.get(begin.key.program_key)
        if program is None:
            if begin.seq > 1:
                text = "the program is not known; its first call has seq 1"
                return BeginRejected(begin, Reason.UNKNOWN_PROGRAM, text)
            return None
        if program.ended:
            text = "the program has ended"
            return BeginRejected(begin, Reason.PROGRAM_ENDED, text)
        if begin.seq and begin.seq < program.next_seq:
            text = f"seq {begin.seq} is taken; the next is {program.next_seq}"
            return BeginRejected(begin, Reason.SEQ_TAKEN, text)
        return None

    def check_history(
        self, program: Program, begin: Begin
    ) -> BeginRejected | None:
        """Returns the first message that contradicts the history, or None."""
        if not begin.whole or begin.kind != "model":
            return None
        for position, item in enumerate(program.history):
            if position >= len(begin.digests):
                text = (
                    f"messages: the history holds {len(program.history)}"
                    f" messages, the request only {len(begin.digests)}"
                )
            elif begin.digests[position] != item.digest:
                text = f"messages[{position}] differs from the history"
            else:
                continue
            detail = f"messages[{position}]"
            return BeginRejected(begin, Reason.HISTORY_CONFLICT, text, detail)
        return None

    def reserve_for(self, begin: Begin, program: Program) -> int:
        """Returns the tokens an attempt must reserve, 0 where none are left.

        The worst case is the upper bound of the prompt and every token that
        may be generated; the output is cut to what is left of the budget.
        """
        if begin.kind != "model":
            return 0
        left = program.budget - program.spent - program.reserved
        if left <= begin.prompt_tokens:
            return 0
        return min(left, begin.prompt_tokens + begin.max_tokens)

    def _call_begun(
        self, index: int, record: records.CallBegun
    ) -> list[Effect]:
        begin = record.begin
        if self.find_call(begin.key) is not None:
            return []
        rejected = self.check_begin(begin)
        if rejected is not None:
            return [rejected]
        program = self._program_for(record)
        call = Call(
            begin=begin,
            seq=begin.seq or self._next_free_seq(program),
            deadline_wall_ms=record.at_ms + begin.deadline_ms,
        )
        program.calls[begin.key.request_id] = call
        program.active_ms = record.at_ms
        if call.seq != program.next_seq:
            return []
        return self._start_or_ask(index, program, call, record.choice)

    def _program_for(self, record: records.CallBegun) -> Program:
        key = record.begin.key.program_key
        program = self.programs.get(key)
        if program is None:
            program = Program(key, record.begin.parent, record.budget_tokens)
            self.programs[key] = program
        return program

    def _next_free_seq(self, program: Program) -> int:
        taken = [call.seq for call in program.calls.values()]
        return max([program.next_seq - 1, *taken]) + 1

    def _start_or_ask(
        self,
        index: int,
        program: Program,
        call: Call,
        choice: records.Choice | None,
    ) -> list[Effect]:
        conflict = self.check_history(program, call.begin)
        if conflict is not None:
            return self._turn_down(
                program, call, conflict.reason, conflict.text
            )
        if choice is None:
            return [CallReady(program, call)]
        reserved = self.reserve_for(call.begin, program)
        if call.begin.kind == "model" and not reserved:
            text = "the program's token budget does not cover this call"
            return self._turn_down(program, call, Reason.BUDGET_EXHAUSTED, text)
        call.attempt = Attempt(
            attempt=f"{self.name}-{index}",
            choice=choice,
            reserved=reserved,
            max_tokens=reserved - call.begin.prompt_tokens,
        )
        call.attempts += 1
        call.state = CallState.RUNNING
        program.reserved += reserved
        return [CallGranted(program, call)]

    def _turn_down(
        self, program: Program, call: Call, reason: Reason, text: str
    ) -> list[Effect]:
        call.refusal = records.CallRefused(
            at_ms=program.active_ms,
            key=call.begin.key,
            reason=reason,
            text=text,
            verdict=call.verdict,
        )
        return self._close(program, call, CallState.REFUSED)

    def _close(
        self, program: Program, call: Call, state: CallState
    ) -> list[Effect]:
        call.state = state
        call.attempt = None
        effects: list[Effect] = []
        if state is CallState.ANSWERED:
            effects.append(CallAnswered(program, call))
        else:
            effects.append(CallTurnedDown(program, call))
        if call.seq == program.next_seq:
            program.next_seq += 1
            effects += self._wake_next(program)
        return effects

    def _wake_next(self, program: Program) -> list[Effect]:
        for call in program.calls.values():
            if call.seq == program.next_seq and call.state is CallState.WAITING:
                return [CallReady(program, call)]
        return []

    def _attempt_started(
        self, index: int, record: records.AttemptStarted
    ) -> list[Effect]:
        found = self.find_call(record.key)
        if found is None:
            return []
        program, call = found
        waits = call.state is CallState.WAITING
        if not waits or call.seq != program.next_seq or program.ended:
            return []
        return self._start_or_ask(index, program, call, record.choice)

    def _attempt_finished(
        self, index: int, record: records.AttemptFinished
    ) -> list[Effect]:
        found = self.find_call(record.key)
        if found is None:
            return []
        program, call = found
        attempt = call.attempt
        # An answer of an earlier attempt that comes late must not end the
        # present one: the caller would get an answer to another dispatch.
        if attempt is None or attempt.attempt != record.attempt:
            return []
        program.active_ms = record.at_ms
        self._settle(program, call, attempt, record)
        if record.answer is not None and record.verdict is Verdict.RAN:
            return self._answered(index, program, call, record)
        call.failed_servers.append(attempt.choice.server.server)
        if record.verdict is not Verdict.NOT_RUN:
            call.verdict = record.verdict
        call.attempt = None
        call.state = CallState.WAITING
        if self._may_retry(call, record):
            return [CallReady(program, call)]
        reason = record.reason or Reason.SERVER_FAILED
        return self._turn_down(program, call, reason, record.text)

    def _may_retry(self, call: Call, record: records.AttemptFinished) -> bool:
        if record.at_ms >= call.deadline_wall_ms:
            return False
        # A non-idempotent request that may have run is never sent again: a
        # second dispatch could charge a customer twice.
        return call.begin.idempotent or record.verdict is Verdict.NOT_RUN

    def _settle(
        self,
        program: Program,
        call: Call,
        attempt: Attempt,
        record: records.AttemptFinished,
    ) -> None:
        if record.verdict is Verdict.MAY_HAVE_RUN:
            # The tokens may have been spent; the reserve stays held, so that
            # an unknown outcome can never take the program past its budget.
            return
        program.reserved -= attempt.reserved
        usage = record.usage
        program.spent += usage.prompt_tokens + usage.completion_tokens

    def _answered(
        self,
        index: int,
        program: Program,
        call: Call,
        record: records.AttemptFinished,
    ) -> list[Effect]:
        call.record_index = index
        call.verdict = Verdict.RAN
        program.turns += 1
        if call.begin.kind == "model" and call.attempt is not None:
            program.last_server = call.attempt.choice.server.server
        for position, message in enumerate(record.messages):
            item = HistoryItem(digest.of_bytes(message), index, position)
            program.history.append(item)
            program.head = digest.chain(program.head, item.digest)
        return self._close(program, call, CallState.ANSWERED)

    def _call_refused(self, record: records.CallRefused) -> list[Effect]:
        found = self.find_call(record.key)
        if found is None:
            return []
        program, call = found
        if call.state is not CallState.WAITING:
            return []
        call.refusal = record
        return self._close(program, call, CallState.REFUSED)

    def _program_ended(self, record: records.ProgramEnded) -> list[Effect]:
        program = self.programs.get(record.key)
        if program is None or program.ended:
            return []
        program.ended = True
        effects: list[Effect] = [ProgramOver(program)]
        for call in program.calls.values():
            if call.state is CallState.WAITING:
                call.state = CallState.REFUSED
                call.refusal = records.CallRefused(
                    at_ms=record.at_ms,
                    key=call.begin.key,
                    reason=Reason.PROGRAM_ENDED,
                    text=record.reason,
                    verdict=call.verdict,
                )
                effects.append(CallTurnedDown(program, call))
        return effects


def same_request(call: Call, begin: Begin) -> bool:
    """Returns whether `begin` resends `call` and is not another request."""
    return (
        call.begin.fingerprint == begin.fingerprint
        and call.begin.target == begin.target
    )
