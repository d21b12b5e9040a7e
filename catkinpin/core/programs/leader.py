"""What only the leader of a shard does: admit, place, grant and answer."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, TypeGuard

from catkinpin.core.placement import assignment, limits
from catkinpin.core.placement.ejection import Outliers
from catkinpin.core.programs import crashes, effects, records, replies
from catkinpin.core.programs.admissions import Admissions
from catkinpin.core.programs.attempts import Watch
from catkinpin.core.programs.commands import (
    Command,
    Propose,
)
from catkinpin.core.programs.commands import EntryRef as EntryRef
from catkinpin.core.programs.deadlines import Deadlines
from catkinpin.core.programs.grants import Grants
from catkinpin.core.programs.incarnations import Incarnations
from catkinpin.core.programs.outcomes import Outcomes
from catkinpin.core.programs.program import Call, same_request
from catkinpin.core.programs.queries import ProgramQueries
from catkinpin.core.programs.waiters import Waiter, Waiters
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core import messages
    from catkinpin.core.messages import Begin, CallKey
    from catkinpin.core.operations.deployments import Configuration, Deployment
    from catkinpin.core.placement.jobs import Decision
    from catkinpin.core.placement.scheduler import Scheduler
    from catkinpin.core.programs.shard import Shard


# A call that is kept back by a limit on running calls tries again.
_ROOM_WAIT_MS = 100


class ShardLeader:
    """Leads a shard: turns entries' messages into records and replies.

    Its state is lost with the leadership and needs no rescue: entries ask
    again, and the calls' state is in the log.

    Args:
        state: the shard's state, only read here.
        jobs: queues calls and chooses servers.
        cfg: the configuration in force.
        rng: seeded source of jitter.
        quarantined: whether the control group quarantined a content.
    """

    def __init__(
        self,
        state: Shard,
        jobs: Scheduler,
        cfg: Configuration,
        rng: random.Random | None = None,
        quarantined: Callable[[bytes], bool] = lambda _: False,
    ) -> None:
        rng = rng or random.Random(0)
        self._shard = state
        self.cfg = cfg
        self._waiters = Waiters()
        self._entries: dict[str, EntryRef] = {}
        self._watch = Watch()
        self._incarnations = Incarnations(
            state, lambda name: name in self.cfg.accounts
        )
        self._deadlines = Deadlines(
            state, self._waiters, self._watch, self._entries
        )
        self.admission = limits.Admission()
        self.retries = limits.RetryBudget()
        self.outliers = Outliers(rng)
        self._rng = rng
        self._placing = assignment.Placing(
            state, jobs, self.outliers, lambda: self.cfg
        )
        self._gate = crashes.Gate(state, quarantined)
        self._admissions = Admissions(state, self._gate, self.admission)
        self._outcomes = Outcomes(
            state, self._waiters, self._admissions, self.outliers
        )
        self._queries = ProgramQueries(state)
        self._grants = Grants(
            self._waiters,
            self._watch,
            self._deadlines,
            self._placing,
            self.admission,
            self._entries,
            lambda: self.cfg,
        )

    def start(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Takes over: watches what the log says is under way.

        Entries that are connected must be known before.
        """
        for program in self._shard.programs.values():
            self._deadlines.program_seen(program, now_ms, wall_ms)
            for call in program.open.values():
                self._grants.opened(call, now_ms, wall_ms)
                self._grants.resume(call, now_ms)
        commands: list[Command] = []
        for incarnation in self._watch.entries():
            entry = self._entries.get(incarnation)
            if entry is None:
                self._watch.entry_gone(incarnation, now_ms)
            else:
                commands += self._deadlines.recall_all(entry)
        return commands

    def begin(
        self, entry: EntryRef, begin: Begin, now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Admits a call, or attaches to it where it is known already."""
        waiter = Waiter(entry, begin.ask, now_ms, now_ms + begin.deadline_ms)
        known = self._admissions.known(begin.key)
        if known is not None:
            if not same_request(known, begin):
                text = "this request id was used for another request"
                reason = Reason.REQUEST_ID_REUSED
                return [replies.refuse(entry, begin.ask, reason, text)]
            return self._attach(begin.key, waiter, now_ms, wall_ms)
        deployment = self.cfg.deployment_for(begin.key.account, begin.target)
        if deployment is None:
            return [self._admissions.refuse_target(waiter, begin)]
        rejected = self._admissions.check(self.cfg, begin, now_ms)
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
            # Answered when the outcome is in the log, or the call is closed.
            waiter = Waiter(entry, finish.ask, now_ms, now_ms)
            self._waiters.add(finish.key, waiter)
        if not self._shard.is_settled(finish):
            record = self._outcomes.record(finish, wall)
            return [Propose(record)]
        return self._outcomes.answer_stale(finish.key, finish.verdict)

    def get_program(
        self, entry: EntryRef, get: messages.GetProgram
    ) -> list[Command]:
        """Answers with a program's state."""
        return self._queries.get_program(entry, get)

    def end_program(
        self, entry: EntryRef, end: messages.EndProgram, wall_ms: int
    ) -> list[Command]:
        """Ends a program."""
        return self._queries.end_program(entry, end, wall_ms)

    def release_done(
        self, done: messages.ReleaseDone, wall_ms: int
    ) -> list[Command]:
        """Notes that a server released programs."""
        return self._queries.release_done(done, wall_ms)

    def handle_report(
        self, report: messages.ServerReport, made_ms: int
    ) -> None:
        """Takes a server's report, made at a monotonic time."""
        self._incarnations.handle_report(report, made_ms)
        self.outliers.seen(report.server, report.incarnation)

    def entry_connected(self, entry: EntryRef) -> list[Command]:
        """Notes an entry that can dispatch in its region."""
        self._entries[entry.incarnation] = entry
        self._watch.entry_returned(entry.incarnation)
        return self._deadlines.recall_all(entry)

    def entry_lost(self, entry: EntryRef, now_ms: int) -> None:
        """Forgets an entry whose stream broke."""
        self._entries.pop(entry.incarnation, None)
        self._waiters.drop_entry(entry.incarnation)
        self._watch.entry_gone(entry.incarnation, now_ms)

    def handle_decisions(
        self, decisions: list[Decision], now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Turns the scheduler's decisions about waiting calls into records."""
        commands: list[Command] = []
        for outcome in self._placing.outcomes(decisions, now_ms):
            match outcome:
                case assignment.Placed():
                    commands += self._start_attempt(outcome, now_ms, wall_ms)
                case assignment.Later():
                    wait = outcome.wait_ms
                    self._deadlines.place_later(outcome.key, now_ms, wait)
                case assignment.Rejected():
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
        fallen = self._deadlines.fall_due(now_ms, wall_ms)
        commands = fallen.commands
        for key in fallen.place:
            commands += self._place(key, now_ms, wall_ms)
        for watched in self._watch.overdue(now_ms):
            commands.append(self._deadlines.gone(watched, wall_ms))
        commands += self._incarnations.decide(now_ms, wall_ms)
        commands += self._gate.share(now_ms, wall_ms)
        entries = list(self._entries.values())
        commands += self._incarnations.releases(entries, now_ms, wall_ms)
        return commands

    def handle_applied(
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
            case records.IncarnationEnded():
                for key in self._gate.released():
                    commands += self._place(key, now_ms, wall_ms)
        for effect in found:
            commands += self._act(effect, record, now_ms, wall_ms)
        if isinstance(record, records.AttemptFinished):
            commands += self._outcomes.answer_stale(record.key, record.verdict)
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
                return self._grants.granted(effect, now_ms, wall_ms)
            case effects.CallAnswered():
                self.admission.closed(effect.key, now_ms, answered=True)
                return self._outcomes.answer(effect)
            case effects.CallTurnedDown():
                self.admission.closed(effect.key, now_ms, answered=False)
                decisions = self._placing.ended(effect.key, now_ms)
                return [
                    *self._outcomes.refuse(effect.key, effect.refusal),
                    *self.handle_decisions(decisions, now_ms, wall_ms),
                ]
            case effects.CallReady():
                if _ends_attempt_of(record, effect.call):
                    return self._retry(effect, record, now_ms, wall_ms)
                return self._place(effect.call.key, now_ms, wall_ms)
            case effects.BeginRejected():
                return self._outcomes.reject(effect)
            case effects.ProgramOver():
                self._deadlines.program_over(effect.program, now_ms)
                self._placing.program_over(effect.program.key)
                return []
            case effects.ContentQuarantined():
                return []

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
        content = self._shard.content_digest(begin)
        waits = self._shard.quarantine.must_wait(content)
        scopes = assignment.scopes_of(self.cfg, begin)
        waits = waits or not self.admission.may_start(scopes)
        if self._admissions.is_next(begin) and not waits:
            outcomes = self._placing.submit_new(begin, now_ms)
            for outcome in outcomes.own:
                if isinstance(outcome, assignment.Rejected):
                    rejected = effects.BeginRejected(
                        begin,
                        outcome.reason,
                        outcome.text,
                        retry_after_ms=outcome.retry_after_ms,
                    )
                    verdict = self._shard.verdict_of(begin.key)
                    return [replies.refuse_rejected(waiter, rejected, verdict)]
                if isinstance(outcome, assignment.Placed):
                    choice = self._grants.choice(outcome, waiter.entry, begin)
            commands += self.handle_decisions(outcomes.others, now_ms, wall_ms)
        # The call's own deadline is this waiter's too.
        self._waiters.add(begin.key, waiter)
        self._admissions.propose(begin)
        self.admission.opened(begin.key, scopes, now_ms)
        self.retries.first_attempt(deployment.name)
        record = records.CallBegun(
            at_ms=wall_ms,
            begin=begin,
            limits=assignment.limits_of(deployment),
            choice=choice,
        )
        return [Propose(record), *commands]

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
        self._deadlines.waiting(key, waiter)

    def _begun(self, key: CallKey, now_ms: int, wall_ms: int) -> list[Command]:
        self._admissions.begun(key)
        commands = self._free_server(key, now_ms, wall_ms)
        found = self._shard.find_open(key)
        if found is None:
            self.admission.closed(key, now_ms, answered=False)
            return commands
        program, call = found
        self._grants.opened(call, now_ms, wall_ms)
        self._deadlines.program_seen(program, now_ms, wall_ms)
        return commands

    def _place(self, key: CallKey, now_ms: int, wall_ms: int) -> list[Command]:
        """Looks for a server for a call whose turn it is."""
        found = self._shard.find_open(key)
        if found is None or self._waiters.for_grant(key) is None:
            return []
        program, call = found
        if program.next_call() is not call:
            return []
        content = self._shard.content_digest(call.begin)
        if self._gate.is_closed(content):
            return [Propose(crashes.refusal(call, wall_ms))]
        if self._shard.quarantine.must_wait(content):
            self._gate.hold(key)
            return []
        scopes = assignment.scopes_of(self.cfg, call.begin)
        if not self.admission.may_start(scopes):
            self._deadlines.place_later(key, now_ms, _ROOM_WAIT_MS)
            return []
        decisions = self._placing.submit(program, call, now_ms, wall_ms)
        return self.handle_decisions(decisions, now_ms, wall_ms)

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
        if loaded and not self.retries.spend(
            self._grants.deployment_name(call.begin)
        ):
            refusal = self._outcomes.refuse_retry(
                call, record, self._rng, wall_ms
            )
            return [Propose(refusal)]
        wait = limits.backoff_ms(call.attempts, self._rng)
        if wait:
            self._deadlines.place_later(call.key, now_ms, wait)
            return []
        return self._place(call.key, now_ms, wall_ms)

    def _start_attempt(
        self, placed: assignment.Placed, now_ms: int, wall_ms: int
    ) -> list[Command]:
        waiter = self._waiters.for_grant(placed.key)
        begin = self._admissions.begin_of(placed.key)
        if waiter is None or begin is None:
            # Nobody could use the grant; the server's room goes to others.
            decisions = self._placing.ended(placed.key, now_ms)
            return self.handle_decisions(decisions, now_ms, wall_ms)
        record = records.AttemptStarted(
            at_ms=wall_ms,
            key=placed.key,
            choice=self._grants.choice(placed, waiter.entry, begin),
        )
        return [Propose(record)]

    def _finished(
        self, record: records.AttemptFinished, now_ms: int, wall_ms: int
    ) -> list[Command]:
        if record.answer is not None:
            self._placing.answered(record.key)
        watched = self._watch.remove(record.attempt)
        if watched is not None:
            self._outcomes.judge_server(watched, record, now_ms)
        return self._free_server(record.key, now_ms, wall_ms, record.usage)

    def _free_server(
        self,
        key: CallKey,
        now_ms: int,
        wall_ms: int,
        usage: messages.Usage | None = None,
    ) -> list[Command]:
        """Gives back the server of a call that holds no attempt any more."""
        found = self._shard.find_open(key)
        if found is not None and found[1].attempt is not None:
            return []
        if found is not None:
            self.admission.stopped(key)
        decisions = self._placing.ended(key, now_ms, usage)
        return self.handle_decisions(decisions, now_ms, wall_ms)


def _ends_attempt_of(
    record: records.ShardRecord, call: Call
) -> TypeGuard[records.AttemptFinished]:
    return (
        isinstance(record, records.AttemptFinished) and record.key == call.key
    )
