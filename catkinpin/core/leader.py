"""What only the leader of a shard does: admit, place, grant and answer."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, TypeGuard

from catkinpin.core import (
    attempts,
    effects,
    limits,
    messages,
    placing,
    records,
    replies,
)
from catkinpin.core.attempts import Watch
from catkinpin.core.commands import Command, Propose, Send
from catkinpin.core.commands import EntryRef as EntryRef
from catkinpin.core.fates import Fates
from catkinpin.core.outliers import Outliers
from catkinpin.core.program import Call, ClosedCall, Program, same_request
from catkinpin.core.timers import Timers
from catkinpin.core.waiters import Waiter, Waiters
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from catkinpin.configuration import Configuration, Deployment
    from catkinpin.core.messages import Begin, CallKey, ProgramKey
    from catkinpin.core.scheduler import Decision, Scheduler
    from catkinpin.core.shard import Shard

# An entry reports the deadline itself; after this bound the leader does.
_DEADLINE_GRACE_MS = 500
# A grant or an outcome may be lost with a stream, or with a leader. Attempts
# older than this are asked about, again and again.
_RECALL_AFTER_MS = 2 * replies.GRANT_EXPIRES_MS
_RECALL_AGAIN_MS = 10_000
_FORGET_EVERY_MS = 1_000


@dataclasses.dataclass(frozen=True)
class _CallDue:
    """The call's deadline has come."""

    key: CallKey
    grace: bool = False


@dataclasses.dataclass(frozen=True)
class _WaiterDue:
    """A waiter's own deadline has come."""

    key: CallKey
    waiter: Waiter


@dataclasses.dataclass(frozen=True)
class _PlaceDue:
    """A call may be placed again."""

    key: CallKey


@dataclasses.dataclass(frozen=True)
class _RecallDue:
    """An attempt has been under way for long."""

    attempt: str


@dataclasses.dataclass(frozen=True)
class _ProgramDue:
    """A program may have been idle too long, or ended long ago."""

    key: ProgramKey


_Due = _CallDue | _WaiterDue | _PlaceDue | _RecallDue | _ProgramDue


class ShardLeader:
    """Leads a shard: turns entries' messages into records and replies.

    Its state is lost with the leadership and needs no rescue: entries ask
    again, and the calls' state is in the log.

    Args:
        state: the shard's state, only read here.
        jobs: queues calls and chooses servers.
        cfg: the configuration in force.
        rng: seeded source of jitter.
    """

    def __init__(
        self,
        state: Shard,
        jobs: Scheduler,
        cfg: Configuration,
        rng: random.Random | None = None,
    ) -> None:
        rng = rng or random.Random(0)
        self._shard = state
        self.cfg = cfg
        self._waiters = Waiters()
        self._pending: dict[CallKey, Begin] = {}
        self._entries: dict[str, EntryRef] = {}
        self._watch = Watch()
        self._fates = Fates(state)
        self._timers: Timers[_Due] = Timers()
        self._admission = limits.Admission()
        self.retries = limits.RetryBudget()
        self.outliers = Outliers(rng)
        self._rng = rng
        self._placing = placing.Placing(
            state, jobs, self.outliers, self._deployment
        )
        self._held: set[CallKey] = set()
        self._watched: set[ProgramKey] = set()
        self._over: dict[ProgramKey, None] = {}

    def start(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Takes over: watches what the log says is under way.

        Entries that are connected must be known before.
        """
        for program in self._shard.programs.values():
            self._watch_program(program, now_ms, wall_ms)
            for call in program.open.values():
                self._watch_call(call, now_ms, wall_ms)
                self._adopt(call, now_ms)
        commands: list[Command] = []
        for incarnation in self._watch.entries():
            entry = self._entries.get(incarnation)
            if entry is None:
                self._watch.entry_gone(incarnation, now_ms)
            else:
                commands += self._recall_all(entry)
        return commands

    def begin(
        self, entry: EntryRef, begin: Begin, now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Admits a call, or attaches to it where it is known already."""
        waiter = Waiter(entry, begin.ask, now_ms, now_ms + begin.deadline_ms)
        known = self._known(begin.key)
        if known is not None:
            if not same_request(known, begin):
                text = "this request id was used for another request"
                reason = Reason.REQUEST_ID_REUSED
                return [replies.refuse(entry, begin.ask, reason, text)]
            return self._attach(begin.key, waiter, now_ms, wall_ms)
        deployment = self.cfg.deployment_for(begin.key.account, begin.target)
        if deployment is None:
            return [self._refuse_target(waiter, begin)]
        rejected = self._check(begin, deployment)
        if rejected is not None:
            verdict = self._shard.verdict_of(begin.key)
            return [replies.refuse_rejected(waiter, rejected, verdict)]
        return self._admit(waiter, begin, deployment, now_ms, wall_ms)

    def finish(
        self, entry: EntryRef, finish: messages.Finish, now_ms: int, wall: int
    ) -> list[Command]:
        """Takes an attempt's outcome.

        The outcome of an attempt that was settled already changes no answer
        that a caller got; see `Shard` for what it still does.
        """
        if finish.ask:
            found = self._shard.find_open(finish.key)
            due = now_ms + attempts.SETTLE_AFTER_MS
            if found is not None:
                due = max(due, now_ms + found[1].deadline_wall_ms - wall)
            self._wait(finish.key, Waiter(entry, finish.ask, now_ms, due))
        if not self._is_settled(finish):
            record = records.AttemptFinished(
                at_ms=wall,
                key=finish.key,
                attempt=finish.attempt,
                verdict=finish.verdict,
                reason=finish.reason,
                text=finish.text,
                answer=finish.answer,
                usage=finish.usage,
                messages=finish.messages,
                crashed=finish.crashed,
            )
            return [Propose(record)]
        return self._answer_stale(finish.key, finish.verdict)

    def get_program(
        self, entry: EntryRef, get: messages.GetProgram
    ) -> list[Command]:
        """Answers with a program's state."""
        program = self._shard.programs.get(get.key)
        if program is None:
            text = f"program {get.key.program!r} is not known"
            reason = Reason.UNKNOWN_PROGRAM
            return [replies.refuse(entry, get.ask, reason, text)]
        root = self._shard.root_of(program)
        return [Send(entry, replies.program_state(get.ask, program, root))]

    def end_program(
        self, entry: EntryRef, end: messages.EndProgram, wall_ms: int
    ) -> list[Command]:
        """Ends a program."""
        get = messages.GetProgram(ask=end.ask, key=end.key)
        commands = self.get_program(entry, get)
        if end.key not in self._shard.programs:
            return commands
        record = records.ProgramEnded(
            at_ms=wall_ms, key=end.key, reason="ended by the caller"
        )
        return [Propose(record), *commands]

    def release_done(
        self, done: messages.ReleaseDone, wall_ms: int
    ) -> list[Command]:
        """Notes that a server released programs."""
        if not self._shard.outbox.pending(done.server):
            return []
        record = records.MemoryReleased(
            at_ms=wall_ms,
            server=done.server,
            incarnation=done.incarnation,
            programs=done.programs,
        )
        return [Propose(record)]

    def reported(self, report: messages.ServerReport, made_ms: int) -> None:
        """Takes a server's report, made at a monotonic time."""
        self._fates.reported(report, made_ms)
        self.outliers.seen(report.server, report.incarnation)

    def entry_connected(self, entry: EntryRef) -> list[Command]:
        """Notes an entry that can dispatch in its region."""
        self._entries[entry.incarnation] = entry
        self._watch.entry_back(entry.incarnation)
        return self._recall_all(entry)

    def entry_lost(self, entry: EntryRef, now_ms: int) -> None:
        """Forgets an entry whose stream broke."""
        self._entries.pop(entry.incarnation, None)
        self._waiters.drop_entry(entry.incarnation)
        self._watch.entry_gone(entry.incarnation, now_ms)

    def decided(
        self, decisions: list[Decision], now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Turns the scheduler's decisions about waiting calls into records."""
        commands: list[Command] = []
        for outcome in self._placing.outcomes(decisions, now_ms):
            match outcome:
                case placing.Placed():
                    commands += self._start_attempt(outcome, now_ms, wall_ms)
                case placing.Later():
                    due = now_ms + outcome.wait_ms
                    self._timers.add(due, _PlaceDue(outcome.key))
                case placing.Rejected():
                    record = records.CallRefused(
                        at_ms=wall_ms,
                        key=outcome.key,
                        reason=outcome.reason,
                        text=outcome.text,
                        verdict=self._shard.verdict_of(outcome.key),
                        retry_after_ms=outcome.retry_after_ms,
                    )
                    commands.append(Propose(record))
        return commands

    def tick(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Acts on what has fallen due."""
        commands: list[Command] = []
        for due in self._timers.due(now_ms):
            commands += self._fall_due(due, now_ms, wall_ms)
        for watched in self._watch.overdue(now_ms):
            commands.append(self._recover_or_lose(watched, wall_ms))
        commands += self._fates.decide(now_ms, wall_ms)
        entries = list(self._entries.values())
        commands += self._fates.releases(entries, now_ms, wall_ms)
        if self._over:
            keys = list(self._over)
            self._over.clear()
            record = records.ProgramsForgotten(at_ms=wall_ms, keys=keys)
            commands.append(Propose(record))
        return commands

    def applied(
        self,
        record: records.ShardRecord,
        found: list[effects.Effect],
        now_ms: int,
        wall_ms: int,
    ) -> list[Command]:
        """Acts on a committed record and its effects."""
        commands: list[Command] = []
        match record:
            case records.CallBegun():
                commands += self._begun(record.begin.key, now_ms, wall_ms)
            case records.AttemptStarted():
                commands += self._free_server(record.key, now_ms, wall_ms)
            case records.AttemptFinished():
                commands += self._finished(record, now_ms, wall_ms)
            case records.ServerFate():
                commands += self._place_held(now_ms, wall_ms)
        for effect in found:
            commands += self._act(effect, record, now_ms, wall_ms)
        if isinstance(record, records.AttemptFinished):
            commands += self._answer_stale(record.key, record.verdict)
        return commands

    def _act(
        self,
        effect: effects.Effect,
        record: records.ShardRecord,
        now_ms: int,
        wall_ms: int,
    ) -> list[Command]:
        match effect:
            case effects.CallGranted():
                return self._granted(effect, now_ms, wall_ms)
            case effects.CallAnswered():
                self._admission.closed(effect.key, now_ms, answered=True)
                return [
                    replies.final(waiter, effect.key, effect.call)
                    for waiter in self._waiters.take_all(effect.key)
                ]
            case effects.CallTurnedDown():
                self._admission.closed(effect.key, now_ms, answered=False)
                decisions = self._placing.ended(effect.key, now_ms)
                return [
                    *self._refuse_waiters(effect.key, effect.refusal),
                    *self.decided(decisions, now_ms, wall_ms),
                ]
            case effects.CallReady():
                if _ends_attempt_of(record, effect.call):
                    return self._retry(effect, record, now_ms, wall_ms)
                return self._place(effect.call.key, now_ms, wall_ms)
            case effects.BeginRejected():
                verdict = self._shard.verdict_of(effect.begin.key)
                return [
                    replies.refuse_rejected(waiter, effect, verdict)
                    for waiter in self._waiters.take_all(effect.begin.key)
                ]
            case effects.ProgramOver():
                retain = effect.program.limits.retain_ms
                due = _ProgramDue(effect.program.key)
                self._timers.add(now_ms + retain, due)
                return []
            case effects.ContentQuarantined():
                return []

    # Admission.

    def _known(self, key: CallKey) -> Call | ClosedCall | Begin | None:
        """Returns the call of this id, also one whose begin is proposed."""
        found = self._shard.find_open(key)
        if found is not None:
            return found[1]
        return self._shard.find_closed(key) or self._pending.get(key)

    def _refuse_target(self, waiter: Waiter, begin: Begin) -> Send:
        model = begin.kind == "model"
        reason = Reason.UNKNOWN_MODEL if model else Reason.UNKNOWN_SERVICE
        text = f"no deployment lets this account use {begin.target!r}"
        verdict = self._shard.verdict_of(begin.key)
        return replies.refuse(
            waiter.entry, waiter.ask, reason, text, verdict=verdict
        )

    def _check(
        self, begin: Begin, deployment: Deployment
    ) -> effects.BeginRejected | None:
        rejected = self._shard.check_begin(begin)
        if rejected is not None:
            return rejected
        content = self._shard.content_of(begin)
        if self._shard.quarantine.is_refused(content):
            text = "this request crashed servers and is quarantined"
            return effects.BeginRejected(begin, Reason.QUARANTINED, text)
        down = self._admission.check(
            begin.key,
            deployment.name,
            placing.caps_of(deployment),
            begin.deadline_ms,
        )
        if down is None:
            return None
        return effects.BeginRejected(
            begin,
            Reason.OVERLOADED,
            down.text,
            retry_after_ms=down.retry_after_ms,
        )

    def _admit(
        self,
        waiter: Waiter,
        begin: Begin,
        deployment: Deployment,
        now_ms: int,
        wall_ms: int,
    ) -> list[Command]:
        choice = None
        commands: list[Command] = []
        content = self._shard.content_of(begin)
        waits = self._shard.quarantine.must_wait(content)
        if self._is_next(begin) and not waits:
            outcomes = self._placing.submit_new(begin, now_ms)
            for outcome in outcomes.own:
                if isinstance(outcome, placing.Rejected):
                    rejected = effects.BeginRejected(
                        begin,
                        outcome.reason,
                        outcome.text,
                        retry_after_ms=outcome.retry_after_ms,
                    )
                    verdict = self._shard.verdict_of(begin.key)
                    return [replies.refuse_rejected(waiter, rejected, verdict)]
                if isinstance(outcome, placing.Placed):
                    choice = self._choice(outcome, waiter.entry, begin)
            commands += self.decided(outcomes.others, now_ms, wall_ms)
        self._wait(begin.key, waiter)
        self._pending[begin.key] = begin
        self._admission.opened(begin.key, deployment.name)
        self.retries.first_attempt(deployment.name)
        record = records.CallBegun(
            at_ms=wall_ms,
            begin=begin,
            limits=placing.limits_of(deployment),
            choice=choice,
        )
        return [Propose(record), *commands]

    def _is_next(self, begin: Begin) -> bool:
        key = begin.key.program_key
        if any(pending.program_key == key for pending in self._pending):
            return False
        program = self._shard.programs.get(key)
        if program is None:
            return True
        if program.running() is not None or program.next_call() is not None:
            return False
        return begin.seq in (0, program.next_seq)

    def _attach(
        self, key: CallKey, waiter: Waiter, now_ms: int, wall_ms: int
    ) -> list[Command]:
        closed = self._shard.find_closed(key)
        if closed is not None:
            return [replies.final(waiter, key, closed)]
        self._wait(key, waiter)
        return self._place(key, now_ms, wall_ms)

    def _wait(self, key: CallKey, waiter: Waiter) -> None:
        self._waiters.add(key, waiter)
        due = waiter.deadline_ms + _DEADLINE_GRACE_MS
        self._timers.add(due, _WaiterDue(key, waiter))

    def _begun(self, key: CallKey, now_ms: int, wall_ms: int) -> list[Command]:
        self._pending.pop(key, None)
        commands = self._free_server(key, now_ms, wall_ms)
        found = self._shard.find_open(key)
        if found is None:
            self._admission.closed(key, now_ms, answered=False)
            return commands
        program, call = found
        self._watch_call(call, now_ms, wall_ms)
        self._watch_program(program, now_ms, wall_ms)
        return commands

    # Placement and grants.

    def _place(self, key: CallKey, now_ms: int, wall_ms: int) -> list[Command]:
        """Looks for a server for a call whose turn it is."""
        found = self._shard.find_open(key)
        if found is None or self._waiters.for_grant(key) is None:
            return []
        program, call = found
        if program.next_call() is not call:
            return []
        content = self._shard.content_of(call.begin)
        if self._shard.quarantine.must_wait(content):
            self._held.add(key)
            return []
        decisions = self._placing.submit(program, call, now_ms, wall_ms)
        return self.decided(decisions, now_ms, wall_ms)

    def _place_held(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Goes on with calls that waited for a server's fate."""
        held, self._held = sorted(self._held, key=str), set()
        commands: list[Command] = []
        for key in held:
            found = self._shard.find_open(key)
            if found is None:
                continue
            content = self._shard.content_of(found[1].begin)
            if not self._shard.quarantine.is_refused(content):
                commands += self._place(key, now_ms, wall_ms)
                continue
            record = records.CallRefused(
                at_ms=wall_ms,
                key=key,
                reason=Reason.QUARANTINED,
                text="this request crashed servers and is quarantined",
                verdict=found[1].verdict,
            )
            commands.append(Propose(record))
        return commands

    def _retry(
        self,
        effect: effects.CallReady,
        record: records.AttemptFinished,
        now_ms: int,
        wall_ms: int,
    ) -> list[Command]:
        """Tries a call again, within its deployment's retry budget."""
        call = effect.call
        loaded = record.reason is not Reason.NOT_READY
        if loaded and not self.retries.take(self._deployment_name(call.begin)):
            refusal = records.CallRefused(
                at_ms=wall_ms,
                key=call.key,
                reason=Reason.OVERLOADED,
                text=f"servers fail and retries are used up: {record.text}",
                verdict=call.verdict,
                retry_after_ms=limits.backoff_ms(call.attempts + 4, self._rng),
            )
            return [Propose(refusal)]
        wait = limits.backoff_ms(call.attempts, self._rng)
        if wait:
            self._timers.add(now_ms + wait, _PlaceDue(call.key))
            return []
        return self._place(call.key, now_ms, wall_ms)

    def _start_attempt(
        self, placed: placing.Placed, now_ms: int, wall_ms: int
    ) -> list[Command]:
        waiter = self._waiters.for_grant(placed.key)
        begin = self._begin_of(placed.key)
        if waiter is None or begin is None:
            # Nobody could use the grant; the server's room goes to others.
            decisions = self._placing.ended(placed.key, now_ms)
            return self.decided(decisions, now_ms, wall_ms)
        record = records.AttemptStarted(
            at_ms=wall_ms,
            key=placed.key,
            choice=self._choice(placed, waiter.entry, begin),
        )
        return [Propose(record)]

    def _begin_of(self, key: CallKey) -> Begin | None:
        found = self._shard.find_open(key)
        return found[1].begin if found is not None else self._pending.get(key)

    def _choice(
        self, placed: placing.Placed, entry: EntryRef, begin: Begin
    ) -> records.Choice:
        server = placed.server.ref
        deployment = self._deployment(begin)
        return records.Choice(
            server=server,
            entry=entry.process,
            entry_incarnation=entry.incarnation,
            dispatcher=self._dispatcher(entry, server.region),
            priority=deployment.priority if deployment is not None else 0,
        )

    def _dispatcher(self, entry: EntryRef, region: str) -> str:
        if not region or region == entry.region:
            return ""
        near = [e for e in self._entries.values() if e.region == region]
        return min((e.address for e in near), default="")

    def _granted(
        self, effect: effects.CallGranted, now_ms: int, wall_ms: int
    ) -> list[Command]:
        call = effect.call
        attempt = call.attempt
        assert attempt is not None
        self._admission.started(call.key)
        incarnation = attempt.choice.entry_incarnation
        waiter = self._waiters.for_grant(call.key, incarnation)
        if waiter is None:
            # The grant never left this process, so the request did not run.
            record = attempts.never_sent(call.key, attempt.attempt, wall_ms)
            return [Propose(record)]
        self._waiters.take(call.key, waiter)
        self._watch.add(call.key, attempt)
        due = now_ms + _RECALL_AFTER_MS
        self._timers.add(due, _RecallDue(attempt.attempt))
        return [replies.grant(waiter, effect.program, call, attempt, now_ms)]

    def _deployment(self, begin: Begin) -> Deployment | None:
        return self.cfg.deployment_for(begin.key.account, begin.target)

    def _deployment_name(self, begin: Begin) -> str:
        found = self._deployment(begin)
        return found.name if found is not None else ""

    # Outcomes.

    def _is_settled(self, finish: messages.Finish) -> bool:
        """Returns whether the outcome of the attempt is known for good."""
        program = self._shard.programs.get(finish.key.program_key)
        if program is None:
            return True
        call = program.open.get(finish.key.request_id)
        attempt = call.attempt if call is not None else None
        if attempt is not None and attempt.attempt == finish.attempt:
            return False
        if finish.verdict is Verdict.MAY_HAVE_RUN:
            return True
        return finish.attempt not in program.unknown

    def _finished(
        self, record: records.AttemptFinished, now_ms: int, wall_ms: int
    ) -> list[Command]:
        if record.answer is not None:
            self._placing.answered(record.key)
        watched = self._watch.remove(record.attempt)
        if watched is not None:
            self._judge_server(watched, record, now_ms)
        return self._free_server(record.key, now_ms, wall_ms)

    def _judge_server(
        self,
        watched: attempts.Watched,
        record: records.AttemptFinished,
        now_ms: int,
    ) -> None:
        if record.answer is not None:
            self.outliers.succeeded(watched.server)
        elif record.reason in (Reason.SERVER_FAILED, Reason.SERVER_REFUSED):
            self.outliers.failed(watched.server, now_ms)

    def _free_server(
        self, key: CallKey, now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Gives back the server of a call that holds no attempt any more."""
        found = self._shard.find_open(key)
        if found is not None and found[1].attempt is not None:
            return []
        decisions = self._placing.ended(key, now_ms)
        return self.decided(decisions, now_ms, wall_ms)

    def _refuse_waiters(
        self, key: CallKey, refusal: records.CallRefused
    ) -> list[Command]:
        return [
            replies.refuse_recorded(waiter, refusal)
            for waiter in self._waiters.take_all(key)
        ]

    def _answer_stale(self, key: CallKey, verdict: Verdict) -> list[Command]:
        """Answers who reported an outcome for a call that is not open."""
        if self._shard.find_open(key) is not None or key in self._pending:
            return []
        closed = self._shard.find_closed(key)
        waiters = self._waiters.take_all(key)
        if closed is not None:
            return [replies.final(waiter, key, closed) for waiter in waiters]
        text = "the call was given up on before this outcome came"
        return [
            replies.refuse(
                waiter.entry,
                waiter.ask,
                Reason.OUTCOME_UNKNOWN,
                text,
                verdict=max(verdict, self._shard.verdict_of(key), key=_worse),
            )
            for waiter in waiters
        ]

    # What falls due.

    def _fall_due(self, due: _Due, now_ms: int, wall_ms: int) -> list[Command]:
        match due:
            case _CallDue():
                return self._call_due(due, now_ms, wall_ms)
            case _WaiterDue():
                return self._waiter_due(due)
            case _PlaceDue():
                return self._place(due.key, now_ms, wall_ms)
            case _RecallDue():
                return self._recall_due(due, now_ms)
            case _ProgramDue():
                return self._program_due(due.key, now_ms, wall_ms)

    def _call_due(
        self, due: _CallDue, now_ms: int, wall_ms: int
    ) -> list[Command]:
        found = self._shard.find_open(due.key)
        if found is None:
            return []
        call = found[1]
        # An attempt that starts meanwhile makes the record below void.
        left = call.deadline_wall_ms - wall_ms
        again = _CallDue(due.key, grace=left <= 0)
        self._timers.add(now_ms + max(left, _DEADLINE_GRACE_MS), again)
        if left > 0:
            return []
        if call.attempt is None:
            record = records.CallRefused(
                at_ms=wall_ms,
                key=due.key,
                reason=Reason.DEADLINE,
                text="the deadline passed before the call's turn came",
                verdict=call.verdict,
            )
            return [Propose(record)]
        if not due.grace:
            return []
        attempt = call.attempt.attempt
        return [Propose(attempts.too_late(due.key, attempt, wall_ms))]

    def _waiter_due(self, due: _WaiterDue) -> list[Command]:
        if not self._waiters.take(due.key, due.waiter):
            return []
        # The call is still open and may run for another waiter.
        return [
            replies.refuse(
                due.waiter.entry,
                due.waiter.ask,
                Reason.DEADLINE,
                "the deadline passed; a resend gets the outcome",
                verdict=Verdict.MAY_HAVE_RUN,
            )
        ]

    def _recall_due(self, due: _RecallDue, now_ms: int) -> list[Command]:
        watched = self._watch.get(due.attempt)
        if watched is None:
            return []
        self._timers.add(now_ms + _RECALL_AGAIN_MS, due)
        entry = self._entries.get(watched.incarnation)
        return [] if entry is None else self._recall(entry, watched)

    def _recall_all(self, entry: EntryRef) -> list[Command]:
        held = self._watch.held_by(entry.incarnation)
        commands: list[Command] = []
        for watched in held:
            commands += self._recall(entry, watched)
        return commands

    def _recall(
        self, entry: EntryRef, watched: attempts.Watched
    ) -> list[Command]:
        # An entry that never got a `Recover` would answer a recall with "not
        # run", though the gone entry may have sent the request.
        if watched.recovering:
            recover = self._recover(watched)
            return [] if recover is None else [Send(entry, recover)]
        recall = messages.Recall(key=watched.key, attempt=watched.attempt)
        return [Send(entry, recall)]

    def _recover_or_lose(
        self, watched: attempts.Watched, wall_ms: int
    ) -> Command:
        """Has another entry ask the server, or settles a lost attempt.

        A service's answer outlives the entry that asked for it, and a call
        that must not be repeated has no other way to get it. A model call is
        made again elsewhere.
        """
        message = self._recover(watched)
        region = message.server.region if message is not None else ""
        entry = min(
            self._entries.values(),
            key=lambda e: (e.region != region, e.process),
            default=None,
        )
        if message is None or entry is None:
            return Propose(attempts.lost(watched, wall_ms))
        self._watch.recover(watched, entry.incarnation)
        return Send(entry, message)

    def _recover(self, watched: attempts.Watched) -> messages.Recover | None:
        found = self._shard.find_open(watched.key)
        if found is None:
            return None
        call = found[1]
        attempt = call.attempt
        if attempt is None or attempt.attempt != watched.attempt:
            return None
        if call.begin.kind != "service":
            return None
        return messages.Recover(
            key=watched.key,
            attempt=watched.attempt,
            server=attempt.choice.server,
            deadline_ms=call.begin.deadline_ms,
        )

    def _program_due(
        self, key: ProgramKey, now_ms: int, wall_ms: int
    ) -> list[Command]:
        program = self._shard.programs.get(key)
        if program is None:
            self._watched.discard(key)
            return []
        if program.ended:
            return self._forget_due(program, now_ms, wall_ms)
        end = _end_of(program)
        if program.open or end > wall_ms:
            wait = max(end - wall_ms, _FORGET_EVERY_MS)
            self._timers.add(now_ms + wait, _ProgramDue(key))
            return []
        text = f"no call for {_idle_ms(program)} ms"
        record = records.ProgramEnded(at_ms=wall_ms, key=key, reason=text)
        self._timers.add(now_ms + _FORGET_EVERY_MS, _ProgramDue(key))
        return [Propose(record)]

    def _forget_due(
        self, program: Program, now_ms: int, wall_ms: int
    ) -> list[Command]:
        due_ms = program.ended_ms + program.limits.retain_ms
        wait = max(due_ms - wall_ms, _FORGET_EVERY_MS)
        if due_ms <= wall_ms:
            self._over[program.key] = None
        self._timers.add(now_ms + wait, _ProgramDue(program.key))
        return []

    def _watch_call(self, call: Call, now_ms: int, wall_ms: int) -> None:
        """Notes an open call of the log."""
        name = self._deployment_name(call.begin)
        self._admission.opened(call.key, name)
        wait = max(0, call.deadline_wall_ms - wall_ms)
        self._timers.add(now_ms + wait, _CallDue(call.key))

    def _adopt(self, call: Call, now_ms: int) -> None:
        """Watches the attempt that an earlier leader granted."""
        if call.attempt is None:
            return
        self._admission.started(call.key)
        self._watch.add(call.key, call.attempt)
        self._placing.resume(call, call.attempt)
        due = now_ms + _RECALL_AFTER_MS
        self._timers.add(due, _RecallDue(call.attempt.attempt))

    def _watch_program(
        self, program: Program, now_ms: int, wall_ms: int
    ) -> None:
        if program.key in self._watched:
            return
        self._watched.add(program.key)
        if program.ended:
            end = program.ended_ms + program.limits.retain_ms
        else:
            end = _end_of(program)
        wait = max(0, end - wall_ms)
        self._timers.add(now_ms + wait, _ProgramDue(program.key))


def _ends_attempt_of(
    record: records.ShardRecord, call: Call
) -> TypeGuard[records.AttemptFinished]:
    return (
        isinstance(record, records.AttemptFinished) and record.key == call.key
    )


def _idle_ms(program: Program) -> int:
    """Returns after how long without a call the program is over."""
    if program.once:
        # No call follows; the program waits for resends only.
        return min(program.limits.idle_ms, program.limits.retain_ms)
    return program.limits.idle_ms


def _end_of(program: Program) -> int:
    """Returns the wall time at which an idle program ends."""
    active = max(program.active_ms, program.begun_ms)
    age = program.begun_ms + program.limits.max_age_ms
    return min(active + _idle_ms(program), age)


def _worse(verdict: Verdict) -> int:
    """Orders verdicts by how much may have happened."""
    order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
    return order.index(verdict)
