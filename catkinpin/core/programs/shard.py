"""State machine of a program shard: rebuilt from its log on every replica.

The leader proposes records; each replica applies the committed ones in the
same order and so holds the same state. Records are checked when they are
applied, not when they are proposed: what was true at the proposal may have
changed by then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.core.programs import budgets, records, rules
from catkinpin.core.programs.effects import (
    CallAnswered,
    CallGranted,
    CallReady,
    CallTurnedDown,
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
from catkinpin.core.programs.quarantine import Quarantine
from catkinpin.core.programs.snapshots import ShardSnapshot
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator


# Dispatches of one call; a request that every server fails ends here.
MAX_ATTEMPTS = 8
_RETRY_AFTER_MS = 1_000

_decoder = codec.decoder(ShardSnapshot)


class Shard(ProgramEndings):
    """The programs of one shard.

    Attributes:
        shards: number of program shards in the system.
        quarantine: requests that crash servers.
    """

    def __init__(self, name: str, shards: int = 1) -> None:
        super().__init__()
        self.name = name
        self.shards = shards
        self.quarantine = Quarantine()

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
                return self.program_ended(record)
            case records.ProgramsForgotten():
                return self.forget(record)
            case records.MemoryReleased():
                return self.memory_released(record)
            case records.IncarnationEnded():
                return self._incarnation_ended(record)
            case records.QuarantineShared():
                self.quarantine.shared(record.contents)
                return []

    def snapshot(self) -> bytes:
        """Returns the state, without the texts."""
        return codec.encode(
            ShardSnapshot(
                name=self.name,
                programs=list(self.programs.values()),
                outbox=self.outbox,
                quarantine=self.quarantine,
            )
        )

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot.

        Raises:
            msgspec.ValidationError: the data is not a snapshot of this version.
        """
        found: ShardSnapshot = _decoder.decode(data)
        found.check_version()
        self.programs = {program.key: program for program in found.programs}
        self.outbox = found.outbox
        self.quarantine = found.quarantine

    def referenced(self) -> Iterator[int]:
        """Yields log indexes whose records hold texts that are still read."""
        for program in self.programs.values():
            last = 0
            for item in program.history:
                if item.record_index != last:
                    last = item.record_index
                    yield last
            for closed in program.closed.values():
                if closed.record_index:
                    yield closed.record_index

    def _call_begun(
        self, index: int, record: records.CallBegun
    ) -> list[Effect]:
        begin = record.begin
        known = self.find_open(begin.key) or self.find_closed(begin.key)
        if known is not None:
            return []
        rejected = self.check_begin(begin)
        if rejected is not None:
            return [rejected]
        program = self.program_for(record)
        call = Call(
            begin=begin,
            seq=begin.seq,
            deadline_wall_ms=record.at_ms + begin.deadline_ms,
        )
        if begin.key.request_id in program.maybe_ran:
            call.verdict = Verdict.MAY_HAVE_RUN
        program.open[begin.key.request_id] = call
        program.active_ms = record.at_ms
        self.root_of(program).active_ms = record.at_ms
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
        """Starts an attempt, or says why there can't be one."""
        call.content = self.content_digest(call.begin)
        refusal = self._obstacle(at_ms, program, call)
        if refusal is not None:
            return self._turn_down(program, call, refusal)
        if choice is None or self.quarantine.must_wait(call.content):
            return [CallReady(program, call)]
        root = self.root_of(program)
        begin = call.begin
        reserved = 0
        prompt = budgets.prompt_bound(program, begin)
        if begin.kind == "model":
            reserved = budgets.worst_case(root, prompt, begin.max_tokens)
        call.attempt = Attempt(
            attempt=f"{self.name}-{index}",
            choice=choice,
            reserved=reserved,
            max_tokens=reserved - prompt,
            skip=len(program.history) if begin.whole else 0,
        )
        call.seq = program.next_seq
        call.attempts += 1
        call.state = CallState.RUNNING
        root.reserved += reserved
        if begin.kind == "model":
            program.servers[choice.server.server] = choice.server.incarnation
        return [CallGranted(program, call)]

    def _obstacle(
        self, at_ms: int, program: Program, call: Call
    ) -> records.CallRefused | None:
        """Returns the refusal of a call that may not get an attempt."""
        begin = call.begin
        root = self.root_of(program)
        if limit := rules.limit_reached(root, at_ms):
            return rules.refusal(at_ms, call, Reason.LIMIT_REACHED, limit)
        if begin.kind == "model" and begin.whole:
            place = program.history.first_difference(begin.digests)
            if place is not None:
                text = f"messages[{place}] differs from the program's history"
                return rules.refusal(at_ms, call, Reason.HISTORY_CONFLICT, text)
        if self.quarantine.is_refused(call.content):
            text = "this request crashed servers and is quarantined"
            return rules.refusal(at_ms, call, Reason.QUARANTINED, text)
        if begin.kind != "model":
            return None
        prompt = budgets.prompt_bound(program, begin)
        if not budgets.worst_case(root, prompt, begin.max_tokens):
            text = "the program's token budget does not cover this call"
            # What is reserved may come back when attempts settle.
            wait = _RETRY_AFTER_MS if root.reserved else 0
            return rules.refusal(
                at_ms, call, Reason.BUDGET_EXHAUSTED, text, wait
            )
        return None

    def _turn_down(
        self,
        program: Program,
        call: Call,
        refusal: records.CallRefused,
        unknown: str = "",
    ) -> list[Effect]:
        """Gives a call its final answer without a server's answer.

        A call takes its place for good only with an answer, or where it may
        have run and must not run again. Otherwise no trace is kept: its place
        stays free, and a resend under the same id is decided anew.
        """
        closed = None
        if refusal.verdict is not Verdict.NOT_RUN and not call.begin.idempotent:
            closed = ClosedCall(
                seq=call.seq,
                fingerprint=call.begin.fingerprint,
                target=call.begin.target,
                idempotent=False,
                refusal=refusal,
                unknown=unknown,
            )
        program.close(call, closed)
        effects: list[Effect] = [CallTurnedDown(call.key, refusal)]
        if refusal.reason is Reason.LIMIT_REACHED:
            root = self.root_of(program)
            effects += self.end_tree(root, refusal.text, refusal.at_ms)
        return effects + self._after_call(program)

    def _after_call(self, program: Program) -> list[Effect]:
        """Goes on once a call has its final answer."""
        if program.ended:
            return self.memory_free(program)
        if not program.open and rules.is_traceless(program):
            self.drop(program)
            return []
        return self._advance(program)

    def _advance(self, program: Program) -> list[Effect]:
        call = program.next_call()
        return [] if call is None else [CallReady(program, call)]

    def _attempt_started(
        self, index: int, record: records.AttemptStarted
    ) -> list[Effect]:
        found = self.find_open(record.key)
        if found is None:
            return []
        program, call = found
        if program.next_call() is not call or program.ended:
            return []
        return self._start(index, record.at_ms, program, call, record.choice)

    def _attempt_finished(
        self, index: int, record: records.AttemptFinished
    ) -> list[Effect]:
        program = self.programs.get(record.key.program_key)
        if program is None:
            return []
        call = program.open.get(record.key.request_id)
        attempt = call.attempt if call is not None else None
        # An answer of an earlier attempt that comes late must not end the
        # present one: the caller would get an answer to another dispatch.
        if (
            call is not None
            and attempt is not None
            and attempt.attempt == record.attempt
        ):
            return self._outcome(index, program, call, attempt, record)
        if record.attempt in program.unknown:
            return self._late_outcome(index, program, call, record)
        return []

    def _outcome(
        self,
        index: int,
        program: Program,
        call: Call,
        attempt: Attempt,
        record: records.AttemptFinished,
    ) -> list[Effect]:
        program.active_ms = record.at_ms
        call.attempt = None
        call.state = CallState.WAITING
        self._settle(program, attempt, record)
        self._judge_content(call, attempt, record)
        if record.verdict is Verdict.RAN and record.answer is not None:
            if rules.fits(call.begin, attempt.skip, record):
                return self._answered(index, program, call, attempt, record)
            text = "the entry's messages are not those of the request"
            refusal = rules.refusal(
                record.at_ms, call, Reason.INTERNAL, text, verdict=Verdict.RAN
            )
            return self._turn_down(program, call, refusal)
        call.failed_servers.append(attempt.choice.server.server)
        if record.verdict is not Verdict.NOT_RUN:
            call.verdict = record.verdict
        if self._may_retry(program, call, record):
            return [CallReady(program, call)]
        refusal = rules.failure(program, call, record)
        return self._turn_down(program, call, refusal, record.attempt)

    def _settle(
        self,
        program: Program,
        attempt: Attempt,
        record: records.AttemptFinished,
    ) -> None:
        if record.verdict is Verdict.MAY_HAVE_RUN:
            # The tokens may have been spent; the reserve stays held, so that
            # an unknown outcome can never take the program past its budget.
            program.unknown[attempt.attempt] = attempt.reserved
            return
        budgets.settle(self.root_of(program), attempt.reserved, record.usage)

    def _judge_content(
        self, call: Call, attempt: Attempt, record: records.AttemptFinished
    ) -> None:
        server = attempt.choice.server
        if record.crashed and call.content:
            self.quarantine.add_strike(
                call.content, server.server, server.incarnation, record.at_ms
            )
        elif record.answer is not None:
            self.quarantine.cleared(call.content)

    def _may_retry(
        self, program: Program, call: Call, record: records.AttemptFinished
    ) -> bool:
        if program.ended or call.attempts >= MAX_ATTEMPTS:
            return False
        if record.at_ms >= call.deadline_wall_ms:
            return False
        # A non-idempotent request that may have run is never sent again: a
        # second dispatch could charge a customer twice.
        return call.begin.idempotent or record.verdict is Verdict.NOT_RUN

    def _answered(
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
        root.active_ms = max(root.active_ms, record.at_ms)
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
        return effects + self._after_call(program)

    def _late_outcome(
        self,
        index: int,
        program: Program,
        call: Call | None,
        record: records.AttemptFinished,
    ) -> list[Effect]:
        """Takes the outcome of an attempt that was settled as unknown.

        The budget is settled in any case. The answer counts where the call
        still waits, and where the caller was told that its service call may
        have run: a resend then gets the answer. A model's answer does not
        count any more once later calls may have added to the history.
        """
        if record.verdict is Verdict.MAY_HAVE_RUN:
            return []
        reserved = program.unknown.pop(record.attempt)
        budgets.settle(self.root_of(program), reserved, record.usage)
        if record.verdict is not Verdict.RAN or record.answer is None:
            return []
        if call is not None:
            skip = len(program.history) if call.begin.whole else 0
            waits = program.next_call() is call
            if waits and rules.fits(call.begin, skip, record):
                return self._answered(index, program, call, None, record)
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

    def _call_refused(self, record: records.CallRefused) -> list[Effect]:
        found = self.find_open(record.key)
        if found is None:
            return []
        program, call = found
        if call.state is not CallState.WAITING:
            return []
        # The call may have been dispatched since the refusal was proposed.
        refusal = rules.refusal(
            record.at_ms,
            call,
            record.reason,
            record.text,
            record.retry_after_ms,
        )
        return self._turn_down(program, call, refusal)

    def _incarnation_ended(
        self, record: records.IncarnationEnded
    ) -> list[Effect]:
        self.quarantine.resolve(
            record.server, record.incarnation, record.crashed
        )
        found = self.quarantine.quarantine_repeated()
        return [ContentQuarantined(content) for content in found]
