"""State machine of a program shard, which every replica builds from the log.

The leader proposes records. Every replica applies the committed records in the
same order and so reaches the same state. A record is checked when it is
applied, because the state may have changed since it was proposed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.core.programs import budgets, records, rules
from catkinpin.core.programs.effects import (
    CallAnswered,
    CallGranted,
    CallReady,
    CallRejected,
    ContentQuarantined,
    Effect,
)
from catkinpin.core.programs.endings import ProgramEndings
from catkinpin.core.programs.program import (
    Attempt,
    Call,
    CallState,
    ClosedCall,
    Program,
)
from catkinpin.core.programs.quarantine import Quarantine, strike_of
from catkinpin.core.programs.snapshots import ShardSnapshot
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

_RETRY_AFTER_MS = 1_000

_decoder = codec.decoder(ShardSnapshot)


class Shard(ProgramEndings):
    """Applies the records of one shard and holds its programs.

    Attributes:
        shard_count: number of program shards in the system.
        quarantine: request contents that crash servers.
    """

    def __init__(self, name: str, shard_count: int = 1) -> None:
        super().__init__()
        self.name = name
        self.shard_count = shard_count
        self.quarantine = Quarantine()

    def apply(self, index: int, record: records.ShardRecord) -> list[Effect]:
        """Applies a committed record.

        Args:
            index: the record's index in the log.
            record: the record.

        Returns:
            The record's effects. Only the leader acts on them.
        """
        match record:
            case records.CallBegun():
                return self._apply_call_begun(index, record)
            case records.AttemptStarted():
                return self._apply_attempt_started(index, record)
            case records.AttemptFinished():
                return self._apply_attempt_finished(index, record)
            case records.CallRefused():
                return self._apply_call_refused(record)
            case records.ProgramEnded():
                return self.apply_program_ended(record)
            case records.ProgramsForgotten():
                return self.apply_programs_forgotten(record)
            case records.MemoryReleased():
                return self.apply_memory_released(record)
            case records.IncarnationEnded():
                return self._apply_incarnation_ended(record)
            case records.QuarantineShared():
                self.quarantine.mark_shared(record.contents)
                return []

    def snapshot(self) -> bytes:
        """Returns the encoded state, without message texts."""
        return codec.encode_state(
            ShardSnapshot(
                name=self.name,
                programs=list(self.programs.values()),
                outbox=self.outbox,
                quarantine=self.quarantine,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state with that of a snapshot.

        Raises:
            msgspec.ValidationError: the data is not a snapshot of this version.
        """
        decoded: ShardSnapshot = _decoder.decode(data)
        decoded.check_version()
        self.programs = {program.key: program for program in decoded.programs}
        self.outbox = decoded.outbox
        self.quarantine = decoded.quarantine

    def referenced(self) -> Iterator[int]:
        """Yields the indexes of log records whose contents are still needed."""
        for program in self.programs.values():
            last_index = 0
            for item in program.history:
                if item.record_index != last_index:
                    last_index = item.record_index
                    yield last_index
            for closed in program.closed.values():
                if closed.record_index:
                    yield closed.record_index

    def _apply_call_begun(
        self, index: int, record: records.CallBegun
    ) -> list[Effect]:
        begin = record.begin
        known = self.find_open(begin.key) or self.find_closed(begin.key)
        if known is not None:
            return []
        rejected = self.check_begin(begin)
        if rejected is not None:
            return [rejected]
        program = self.get_or_create_program(record)
        call = Call(
            begin=begin,
            seq=begin.seq,
            deadline_wall_ms=record.at_ms + begin.deadline_ms,
        )
        if begin.key.request_id in program.maybe_ran:
            call.verdict = Verdict.MAY_HAVE_RUN
        program.open[begin.key.request_id] = call
        self.mark_active(program, record.at_ms)
        if program.next_call() is not call:
            return []
        return self._start(index, record.at_ms, program, call, record.choice)

    def _start(
        self,
        index: int,
        at_ms: int,
        program: Program,
        call: Call,
        choice: records.Choice | None,
    ) -> list[Effect]:
        """Starts an attempt, or rejects the call if it may not have one."""
        call.content, call.message = self.digests_of(call.begin)
        refusal = self._check_attempt(at_ms, program, call)
        if refusal is not None:
            return self._reject_call(program, call, refusal)
        if choice is None or self.quarantine.must_wait(call.digests):
            return [CallReady(program, call)]
        root = self.root_of(program)
        begin = call.begin
        reserved = 0
        prompt = budgets.max_prompt_tokens(program, begin)
        if begin.kind == "model":
            reserved = budgets.tokens_to_reserve(root, prompt, begin.max_tokens)
        call.attempt = Attempt(
            attempt=f"{self.name}-{index}",
            choice=choice,
            reserved=reserved,
            max_tokens=reserved - prompt,
            skip=len(program.history) if begin.whole else 0,
            began_ms=at_ms,
            is_repeat=self.quarantine.is_suspect(call.digests),
        )
        call.seq = program.next_seq
        call.attempts += 1
        call.state = CallState.RUNNING
        root.reserved += reserved
        if begin.kind == "model":
            program.servers[choice.server.server] = choice.server.incarnation
        return [CallGranted(program, call)]

    def _check_attempt(
        self, at_ms: int, program: Program, call: Call
    ) -> records.CallRefused | None:
        """Returns a refusal if the call may not have an attempt, else None."""
        begin = call.begin
        root = self.root_of(program)
        if limit := rules.limit_reached(root, at_ms):
            return rules.refusal(at_ms, call, Reason.LIMIT_REACHED, limit)
        if begin.kind == "model" and begin.whole:
            index = program.history.first_difference(begin.digests)
            if index is not None:
                text = f"messages[{index}] differs from the program's history"
                return rules.refusal(at_ms, call, Reason.HISTORY_CONFLICT, text)
        if self.quarantine.is_refused(call.digests):
            text = "this request crashed servers and is quarantined"
            return rules.refusal(at_ms, call, Reason.QUARANTINED, text)
        if begin.kind != "model":
            return None
        prompt = budgets.max_prompt_tokens(program, begin)
        if not budgets.tokens_to_reserve(root, prompt, begin.max_tokens):
            text = "the program's token budget does not cover this call"
            # Reserved tokens may become available when attempts settle.
            wait_ms = _RETRY_AFTER_MS if root.reserved else 0
            return rules.refusal(
                at_ms, call, Reason.BUDGET_EXHAUSTED, text, wait_ms
            )
        return None

    def _reject_call(
        self,
        program: Program,
        call: Call,
        refusal: records.CallRefused,
        unknown_attempt: str = "",
    ) -> list[Effect]:
        """Closes a call with a refusal instead of a server's answer.

        A non-idempotent call that ran, or may have, keeps its sequence number,
        and resends get the same refusal. For any other call the number stays
        free, and a resend under the same id is a new call.
        """
        closed = None
        if refusal.verdict is not Verdict.NOT_RUN and not call.begin.idempotent:
            closed = ClosedCall(
                seq=call.seq,
                fingerprint=call.begin.fingerprint,
                target=call.begin.target,
                idempotent=False,
                refusal=refusal,
                unknown=unknown_attempt,
            )
        program.close(call, closed)
        effects: list[Effect] = [CallRejected(call.key, refusal)]
        if refusal.reason is Reason.LIMIT_REACHED:
            root = self.root_of(program)
            effects += self.end_tree(root, refusal.text, refusal.at_ms)
        return effects + self._continue_program(program)

    def _continue_program(self, program: Program) -> list[Effect]:
        """Makes the next call ready once a call is closed."""
        if program.ended:
            return self.release_memory(program)
        if not program.open and rules.has_never_run(program):
            self.remove_program(program)
            return []
        return self._ready_effects(program)

    def _ready_effects(self, program: Program) -> list[Effect]:
        call = program.next_call()
        return [] if call is None else [CallReady(program, call)]

    def _apply_attempt_started(
        self, index: int, record: records.AttemptStarted
    ) -> list[Effect]:
        found = self.find_open(record.key)
        if found is None:
            return []
        program, call = found
        if program.next_call() is not call or program.ended:
            return []
        return self._start(index, record.at_ms, program, call, record.choice)

    def _apply_attempt_finished(
        self, index: int, record: records.AttemptFinished
    ) -> list[Effect]:
        program = self.programs.get(record.key.program_key)
        if program is None:
            return []
        call = program.open.get(record.key.request_id)
        attempt = call.attempt if call is not None else None
        # A late outcome of an earlier attempt must not end the current one:
        # the caller would get the answer to another dispatch.
        if (
            call is not None
            and attempt is not None
            and attempt.attempt == record.attempt
        ):
            return self._apply_outcome(index, program, call, attempt, record)
        if record.attempt in program.unknown:
            return self._apply_late_outcome(index, program, call, record)
        return []

    def _apply_outcome(
        self,
        index: int,
        program: Program,
        call: Call,
        attempt: Attempt,
        record: records.AttemptFinished,
    ) -> list[Effect]:
        self.mark_active(program, record.at_ms)
        call.attempt = None
        call.state = CallState.WAITING
        self._settle_budget(program, attempt, record)
        self._update_suspects(call, attempt, record)
        if record.verdict is Verdict.RAN and record.answer is not None:
            if rules.answer_matches_request(call.begin, attempt.skip, record):
                return self._answer_call(index, program, call, attempt, record)
            text = "the entry's messages are not those of the request"
            refusal = rules.refusal(
                record.at_ms, call, Reason.INTERNAL, text, verdict=Verdict.RAN
            )
            return self._reject_call(program, call, refusal)
        call.failed_servers.append(attempt.choice.server.server)
        if record.verdict is not Verdict.NOT_RUN:
            call.verdict = record.verdict
        if rules.may_retry(program, call, record):
            return [CallReady(program, call)]
        refusal = rules.failure_refusal(program, call, record)
        return self._reject_call(program, call, refusal, record.attempt)

    def _settle_budget(
        self,
        program: Program,
        attempt: Attempt,
        record: records.AttemptFinished,
    ) -> None:
        if record.verdict is Verdict.MAY_HAVE_RUN:
            # The tokens may have been spent. They stay reserved, so that an
            # unknown outcome never takes the program over its budget.
            program.unknown[attempt.attempt] = attempt.reserved
            return
        budgets.settle(self.root_of(program), attempt.reserved, record.usage)

    def _update_suspects(
        self, call: Call, attempt: Attempt, record: records.AttemptFinished
    ) -> None:
        if record.crashed and call.content:
            strike = strike_of(attempt, record.at_ms)
            self.quarantine.add_strike(call.digests, strike)
        elif record.answer is not None:
            self.quarantine.clear_suspect(call.digests)

    def _answer_call(
        self,
        index: int,
        program: Program,
        call: Call,
        attempt: Attempt | None,
        record: records.AttemptFinished,
    ) -> list[Effect]:
        root = self.root_of(program)
        root.turns += 1
        if root is not program:
            program.turns += 1
        self.mark_active(program, record.at_ms)
        if call.begin.kind == "model":
            if attempt is not None:
                program.last_server = attempt.choice.server.server
            program.last_target = call.begin.target
            used = record.usage
            program.history_tokens = used.prompt_tokens + used.completion_tokens
        if not program.ended and not program.once:
            for position, message in enumerate(record.messages):
                program.history.add(message, index, position)
        closed = ClosedCall(
            seq=call.seq,
            fingerprint=call.begin.fingerprint,
            target=call.begin.target,
            idempotent=call.begin.idempotent,
            record_index=index,
        )
        program.close(call, closed)
        effects: list[Effect] = [CallAnswered(call.key, closed)]
        if program.once and not program.ended:
            reason = "a program without a name has one call"
            effects += self.end_tree(program, reason, record.at_ms)
        return effects + self._continue_program(program)

    def _apply_late_outcome(
        self,
        index: int,
        program: Program,
        call: Call | None,
        record: records.AttemptFinished,
    ) -> list[Effect]:
        """Applies the outcome of an attempt that was settled as unknown.

        The budget is settled in any case. The answer is used if the call is
        still waiting, or if the caller was told that its service call may
        have run: a resend then gets it. A model's answer to a closed call is
        dropped, since later calls may have added to the history.
        """
        if record.verdict is Verdict.MAY_HAVE_RUN:
            return []
        reserved = program.unknown.pop(record.attempt)
        budgets.settle(self.root_of(program), reserved, record.usage)
        if record.verdict is not Verdict.RAN or record.answer is None:
            return []
        if call is not None:
            skip = len(program.history) if call.begin.whole else 0
            is_next = program.next_call() is call
            if is_next and rules.answer_matches_request(
                call.begin, skip, record
            ):
                return self._answer_call(index, program, call, None, record)
            return []
        closed = program.closed.get(record.key.request_id)
        if closed is None or closed.unknown != record.attempt:
            return []
        if record.messages:
            return []
        closed.refusal = None
        closed.unknown = ""
        closed.record_index = index
        return [CallAnswered(record.key, closed)]

    def _apply_call_refused(self, record: records.CallRefused) -> list[Effect]:
        found = self.find_open(record.key)
        if found is None:
            return []
        program, call = found
        if call.state is not CallState.WAITING:
            return []
        # The call may have run since the refusal and its verdict were proposed.
        refusal = rules.refusal(
            record.at_ms,
            call,
            record.reason,
            record.text,
            record.retry_after_ms,
        )
        return self._reject_call(program, call, refusal)

    def _apply_incarnation_ended(
        self, record: records.IncarnationEnded
    ) -> list[Effect]:
        self.quarantine.resolve(
            record.server, record.incarnation, record.crashed
        )
        repeated = self.quarantine.quarantine_repeated(record.at_ms)
        return [ContentQuarantined(content) for content in repeated]
