"""State machine of a program shard: rebuilt from its log on every replica.

The leader proposes records; each replica applies the committed ones in the
same order and so holds the same state. Records are checked when they are
applied, not when they are proposed: what was true at the proposal may have
changed by then.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import codec, digest
from catkinpin.core import budgets, history, records, routing
from catkinpin.core.effects import (
    BeginRejected,
    CallAnswered,
    CallGranted,
    CallReady,
    CallTurnedDown,
    ContentQuarantined,
    Effect,
    ProgramOver,
)
from catkinpin.core.messages import ProgramKey
from catkinpin.core.outbox import Order, Outbox
from catkinpin.core.program import (
    Attempt,
    Call,
    CallState,
    ClosedCall,
    Program,
)
from catkinpin.core.quarantine import Quarantine
from catkinpin.core.snapshots import ShardSnapshot
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinpin.core.messages import Begin, CallKey

# Dispatches of one call; a request that every server fails ends here.
MAX_ATTEMPTS = 8
_RETRY_AFTER_MS = 1_000

_decoder = codec.decoder(ShardSnapshot)


class Shard:
    """The programs of one shard.

    Attributes:
        shards: number of program shards in the system.
        programs: every program not yet forgotten, by key.
        outbox: orders to release engine memory.
        quarantine: requests that crash servers.
    """

    def __init__(self, name: str, shards: int = 1) -> None:
        self.name = name
        self.shards = shards
        self.programs: dict[ProgramKey, Program] = {}
        self.outbox = Outbox()
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
                return self._program_ended(record)
            case records.ProgramsForgotten():
                return self._forget(record)
            case records.MemoryReleased():
                return self._memory_released(record)
            case records.ServerFate():
                return self._server_fate(record)

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

    def find_open(self, key: CallKey) -> tuple[Program, Call] | None:
        """Returns the open call and its program, or None."""
        program = self.programs.get(key.program_key)
        if program is None or key.request_id not in program.open:
            return None
        return program, program.open[key.request_id]

    def find_closed(self, key: CallKey) -> ClosedCall | None:
        """Returns the call whose final answer is kept, or None."""
        program = self.programs.get(key.program_key)
        return program.closed.get(key.request_id) if program else None

    def verdict_of(self, key: CallKey) -> Verdict:
        """Returns what a refusal must say of a call without an answer."""
        found = self.find_open(key)
        if found is not None:
            return found[1].verdict
        program = self.programs.get(key.program_key)
        if program is not None and key.request_id in program.maybe_ran:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN

    def root_of(self, program: Program) -> Program:
        """Returns the root of the program's tree."""
        return self.programs.get(program.root_key, program)

    def check_begin(self, begin: Begin) -> BeginRejected | None:
        """Returns why a new call can't be admitted now, or None."""
        key = begin.key.program_key
        program = self.programs.get(key)
        if program is None:
            return self._check_new_program(begin)
        if program.ended:
            text = f"the program has ended: {program.end_reason}"
            return BeginRejected(begin, Reason.PROGRAM_ENDED, text)
        if not begin.seq:
            return None
        if begin.seq < program.next_seq:
            text = f"seq {begin.seq} is taken; the next is {program.next_seq}"
            return BeginRejected(begin, Reason.SEQ_TAKEN, text)
        if any(call.seq == begin.seq for call in program.open.values()):
            text = f"seq {begin.seq} is taken by a call that is under way"
            return BeginRejected(begin, Reason.SEQ_TAKEN, text)
        return None

    def content_of(self, begin: Begin) -> bytes:
        """Returns a digest of all that a server would get.

        A model request gets the same digest whether its history came with it
        or was kept here, and whatever program and account it belongs to.
        """
        if begin.kind != "model":
            return begin.fingerprint
        program = self.programs.get(begin.key.program_key)
        head, rest = b"", begin.digests
        if program is not None:
            head = program.history.head
            rest = rest[len(program.history) :] if begin.whole else rest
        head = history.chain_all(head, rest)
        return digest.chain(head, begin.target.encode())

    def _check_new_program(self, begin: Begin) -> BeginRejected | None:
        if begin.seq > 1:
            text = "the program is not known; its first call has seq 1"
            return BeginRejected(begin, Reason.UNKNOWN_PROGRAM, text)
        key = begin.key.program_key
        for above in (begin.parent, *_ancestors(key.program)):
            found = self.programs.get(
                ProgramKey(account=key.account, program=above)
            )
            if found is not None and found.ended:
                text = f"program {above!r}, which started this one, has ended"
                return BeginRejected(begin, Reason.PROGRAM_ENDED, text)
        return None

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
        program = self._program_for(record)
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

    def _program_for(self, record: records.CallBegun) -> Program:
        key = record.begin.key.program_key
        program = self.programs.get(key)
        if program is not None:
            return program
        program = Program(
            key,
            record.begin.parent,
            record.limits,
            begun_ms=record.at_ms,
            once=record.begin.once,
        )
        self.programs[key] = program
        if program.root_key != key:
            root = self._root_for(program, record)
            root.members.append(key.program)
        return program

    def _root_for(self, program: Program, record: records.CallBegun) -> Program:
        """Returns the root, made now where it has made no call itself."""
        root = self.programs.get(program.root_key)
        if root is None:
            root = Program(
                program.root_key, "", record.limits, begun_ms=record.at_ms
            )
            self.programs[root.key] = root
        return root

    def _start(
        self,
        index: int,
        at_ms: int,
        program: Program,
        call: Call,
        choice: records.Choice | None,
    ) -> list[Effect]:
        """Starts an attempt, or says why there can't be one."""
        call.content = self.content_of(call.begin)
        refusal = self._obstacle(at_ms, program, call)
        if refusal is not None:
            return self._turn_down(program, call, refusal)
        if choice is None or self.quarantine.must_wait(call.content):
            return [CallReady(program, call)]
        root = self.root_of(program)
        begin = call.begin
        reserved = 0
        if begin.kind == "model":
            reserved = budgets.worst_case(
                root, begin.prompt_tokens, begin.max_tokens
            )
        call.attempt = Attempt(
            attempt=f"{self.name}-{index}",
            choice=choice,
            reserved=reserved,
            max_tokens=reserved - begin.prompt_tokens,
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
        if limit := _limit_reached(root, at_ms):
            return _refusal(at_ms, call, Reason.LIMIT_REACHED, limit)
        if begin.kind == "model" and begin.whole:
            place = program.history.first_difference(begin.digests)
            if place is not None:
                text = f"messages[{place}] differs from the program's history"
                return _refusal(at_ms, call, Reason.HISTORY_CONFLICT, text)
        if self.quarantine.is_refused(call.content):
            text = "this request crashed servers and is quarantined"
            return _refusal(at_ms, call, Reason.QUARANTINED, text)
        if begin.kind != "model":
            return None
        if not budgets.worst_case(root, begin.prompt_tokens, begin.max_tokens):
            text = "the program's token budget does not cover this call"
            # What is reserved may come back when attempts settle.
            wait = _RETRY_AFTER_MS if root.reserved else 0
            return _refusal(at_ms, call, Reason.BUDGET_EXHAUSTED, text, wait)
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
            effects += self._end_tree(root, refusal.text, refusal.at_ms)
        return effects + self._after_call(program)

    def _after_call(self, program: Program) -> list[Effect]:
        """Goes on once a call has its final answer."""
        if program.ended:
            return self._memory_free(program)
        if not program.open and _left_no_trace(program):
            self._drop(program)
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
            if _fits(call.begin, attempt.skip, record):
                return self._answered(index, program, call, attempt, record)
            text = "the entry's messages are not those of the request"
            refusal = _refusal(
                record.at_ms, call, Reason.INTERNAL, text, verdict=Verdict.RAN
            )
            return self._turn_down(program, call, refusal)
        call.failed_servers.append(attempt.choice.server.server)
        if record.verdict is not Verdict.NOT_RUN:
            call.verdict = record.verdict
        if self._may_retry(program, call, record):
            return [CallReady(program, call)]
        refusal = _failure(program, call, record)
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
            self.quarantine.strike(
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
        if call.begin.kind == "model" and attempt is not None:
            program.last_server = attempt.choice.server.server
        if not program.ended and not program.once:
            for position, message in enumerate(record.messages):
                program.history.add(digest.of_bytes(message), index, position)
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
            effects += self._end_tree(program, reason, record.at_ms)
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
            if waits and _fits(call.begin, skip, record):
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
        refusal = _refusal(
            record.at_ms,
            call,
            record.reason,
            record.text,
            record.retry_after_ms,
        )
        return self._turn_down(program, call, refusal)

    def _program_ended(self, record: records.ProgramEnded) -> list[Effect]:
        program = self.programs.get(record.key)
        if program is None or program.ended:
            return []
        return self._end_tree(program, record.reason, record.at_ms)

    def _end_tree(self, top: Program, reason: str, at_ms: int) -> list[Effect]:
        """Ends a program and all that it started."""
        effects: list[Effect] = []
        for program in [top, *self._below(top)]:
            if not program.ended:
                effects += self._end(program, reason, at_ms)
        return effects

    def _below(self, top: Program) -> list[Program]:
        root = self.root_of(top)
        below: dict[str, Program] = {top.key.program: top}
        prefix = top.key.program + routing.SUB_AGENT_SEPARATOR
        for name in root.members:
            key = ProgramKey(account=top.key.account, program=name)
            program = self.programs[key]
            if program.parent in below or name.startswith(prefix):
                below[name] = program
        del below[top.key.program]
        return list(below.values())

    def _end(self, program: Program, reason: str, at_ms: int) -> list[Effect]:
        program.ended = True
        program.end_reason = reason
        program.ended_ms = at_ms
        effects: list[Effect] = []
        for call in list(program.open.values()):
            if call.state is CallState.RUNNING:
                continue
            text = f"the program has ended: {reason}"
            refusal = _refusal(at_ms, call, Reason.PROGRAM_ENDED, text)
            program.close(call, None)
            effects.append(CallTurnedDown(call.key, refusal))
        effects.append(ProgramOver(program))
        return effects + self._memory_free(program)

    def _memory_free(self, program: Program) -> list[Effect]:
        """Orders the release of engine memory, once nothing runs any more.

        An order that went out earlier would be undone by the attempt that
        still runs: the engine keeps the prefix when it is done.
        """
        if program.open:
            return []
        name = f"{program.key.account}/{program.key.program}"
        for server, incarnation in program.servers.items():
            order = Order(server, incarnation, name, program.ended_ms)
            self.outbox.add(order)
        program.servers.clear()
        program.history = history.History()
        return []

    def _forget(self, record: records.ProgramsForgotten) -> list[Effect]:
        for key in record.keys:
            program = self.programs.get(key)
            if program is None or not program.ended or program.open:
                continue
            if any(self._member(program, name) for name in program.members):
                continue
            self._drop(program)
        return []

    def _member(self, root: Program, name: str) -> Program | None:
        key = ProgramKey(account=root.key.account, program=name)
        return self.programs.get(key)

    def _drop(self, program: Program) -> None:
        del self.programs[program.key]
        root = self.programs.get(program.root_key)
        if root is not None and program.key.program in root.members:
            root.members.remove(program.key.program)

    def _memory_released(self, record: records.MemoryReleased) -> list[Effect]:
        if record.empty:
            self.outbox.restarted(record.server, record.incarnation)
        self.outbox.confirmed(
            record.server, record.incarnation, record.programs
        )
        return []

    def _server_fate(self, record: records.ServerFate) -> list[Effect]:
        self.quarantine.resolve(
            record.server, record.incarnation, record.crashed
        )
        return [
            ContentQuarantined(content) for content in self.quarantine.condemn()
        ]


def _ancestors(program: str) -> Iterator[str]:
    """Yields the ids that a sub-agent's id begins with, its root's first."""
    parts = program.split(routing.SUB_AGENT_SEPARATOR)
    for length in range(1, len(parts)):
        yield routing.SUB_AGENT_SEPARATOR.join(parts[:length])


def _limit_reached(root: Program, at_ms: int) -> str:
    """Returns which limit a tree of programs has reached, or an empty text."""
    limits = root.limits
    if root.turns >= limits.max_turns:
        return f"the program has made {limits.max_turns} turns, its limit"
    if at_ms - root.begun_ms >= limits.max_age_ms:
        return f"the program is {limits.max_age_ms} ms old, its limit"
    return ""


def _left_no_trace(program: Program) -> bool:
    """Returns whether nothing of the program ever ran."""
    return not (
        program.closed
        or program.unknown
        or program.maybe_ran
        or program.members
        or program.servers
        or program.turns
    )


def _refusal(
    at_ms: int,
    call: Call,
    reason: Reason,
    text: str,
    retry_after_ms: int = 0,
    verdict: Verdict | None = None,
) -> records.CallRefused:
    return records.CallRefused(
        at_ms=at_ms,
        key=call.key,
        reason=reason,
        text=text,
        verdict=verdict or call.verdict,
        retry_after_ms=retry_after_ms,
    )


def _failure(
    program: Program, call: Call, record: records.AttemptFinished
) -> records.CallRefused:
    """Returns the refusal of a call that is not tried again."""
    reason = record.reason or Reason.SERVER_FAILED
    text = record.text
    verdict = record.verdict
    if verdict is Verdict.NOT_RUN:
        # An earlier attempt may have run even if this one did not.
        verdict = call.verdict
        if program.ended:
            reason = Reason.PROGRAM_ENDED
            text = f"the program has ended: {program.end_reason}"
    retry = 0
    if not program.ended and (
        verdict is Verdict.NOT_RUN or call.begin.idempotent
    ):
        retry = _RETRY_AFTER_MS
    return _refusal(record.at_ms, call, reason, text, retry, verdict)


def _fits(begin: Begin, skip: int, record: records.AttemptFinished) -> bool:
    """Returns whether an answer's messages are the request's and one more.

    An entry that mixed up two calls would put one program's messages into
    another's history; the digests it sent with the begin show that.
    """
    if begin.kind != "model":
        return not record.messages
    asked = begin.digests[skip:]
    if len(record.messages) != len(asked) + 1:
        return False
    return all(
        digest.of_bytes(message) == item
        for message, item in zip(record.messages, asked, strict=False)
    )
