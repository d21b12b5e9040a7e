"""The leader of a shard: admits, places, grants and answers calls."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, TypeGuard

from catkinpin.core.placement import assignment, limits
from catkinpin.core.placement.ejection import OutlierDetector
from catkinpin.core.programs import crashes, effects, records, replies
from catkinpin.core.programs.admissions import Admissions
from catkinpin.core.programs.attempts import AttemptTracker
from catkinpin.core.programs.commands import Command, Propose
from catkinpin.core.programs.commands import EntryRef as EntryRef
from catkinpin.core.programs.deadlines import Deadlines
from catkinpin.core.programs.grants import Grants
from catkinpin.core.programs.incarnations import Incarnations
from catkinpin.core.programs.outcomes import Outcomes
from catkinpin.core.programs.program import Call, is_same_request
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


# Delay before a call that a limit on running calls held back is placed again.
_LIMIT_RETRY_MS = 100


class ShardLeader:
    """Turns the messages of entries into log records and replies.

    Its own state is in memory only. After a change of leader the entries
    repeat their requests, and the state of the calls is in the log.

    Args:
        state: the shard's state, which the leader only reads.
        scheduler: queues calls and chooses servers.
        cfg: the configuration in force.
        rng: seeded source of jitter.
        is_quarantined: whether the control group quarantined a content.
    """

    def __init__(
        self,
        state: Shard,
        scheduler: Scheduler,
        cfg: Configuration,
        rng: random.Random | None = None,
        is_quarantined: Callable[[bytes], bool] = lambda _: False,
    ) -> None:
        rng = rng or random.Random(0)
        self._shard = state
        self.cfg = cfg
        self._waiters = Waiters()
        self._entries: dict[str, EntryRef] = {}
        self._attempt_tracker = AttemptTracker()
        self._incarnations = Incarnations(
            state, lambda name: name in self.cfg.accounts
        )
        self._deadlines = Deadlines(
            state, self._waiters, self._attempt_tracker, self._entries
        )
        self.admission = limits.Admission()
        self.retries = limits.RetryBudget()
        self.outliers = OutlierDetector(rng)
        self._rng = rng
        self._assigner = assignment.CallAssigner(
            state, scheduler, self.outliers, lambda: self.cfg
        )
        self._gate = crashes.QuarantineGate(state, is_quarantined)
        self._admissions = Admissions(state, self._gate, self.admission)
        self._outcomes = Outcomes(
            state, self._waiters, self._admissions, self.outliers
        )
        self._queries = ProgramQueries(state)
        self._grants = Grants(
            self._waiters,
            self._attempt_tracker,
            self._deadlines,
            self._assigner,
            self.admission,
            self._entries,
            lambda: self.cfg,
        )

    def start(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Resumes the open calls and attempts of the log.

        Connected entries must be registered first, by `entry_connected`.
        """
        for program in self._shard.programs.values():
            self._deadlines.track_program(program, now_ms, wall_ms)
            for call in program.open.values():
                self._grants.register_call(call, now_ms, wall_ms)
                self._grants.resume_attempt(call, now_ms)
        commands: list[Command] = []
        for incarnation in self._attempt_tracker.entry_incarnations():
            entry = self._entries.get(incarnation)
            if entry is None:
                self._attempt_tracker.entry_gone(incarnation, now_ms)
            else:
                commands += self._deadlines.recall_all(entry)
        return commands

    def begin(
        self, entry: EntryRef, begin: Begin, now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Admits a call; if it is already known, only waits for its answer."""
        waiter = Waiter(entry, begin.ask, now_ms, now_ms + begin.deadline_ms)
        known = self._admissions.find_known(begin.key)
        if known is not None:
            if not is_same_request(known, begin):
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
        """Proposes the record of an attempt's outcome.

        The outcome of an attempt that is already settled does not change an
        answer that a caller got; see `Shard` for its other effects.
        """
        if finish.ask:
            # Replied to once the outcome is committed or the call is closed.
            waiter = Waiter(entry, finish.ask, now_ms, now_ms)
            self._waiters.add(finish.key, waiter)
        if not self._shard.is_settled(finish):
            record = self._outcomes.finished_record(finish, wall)
            return [Propose(record)]
        return self._outcomes.answer_stale(finish.key, finish.verdict)

    def get_program(
        self, entry: EntryRef, get: messages.GetProgram
    ) -> list[Command]:
        """Replies with a program's state."""
        return self._queries.get_program(entry, get)

    def end_program(
        self, entry: EntryRef, end: messages.EndProgram, wall_ms: int
    ) -> list[Command]:
        """Ends a program."""
        return self._queries.end_program(entry, end, wall_ms)

    def release_done(
        self, done: messages.ReleaseDone, wall_ms: int
    ) -> list[Command]:
        """Proposes the record that a server released programs' memory."""
        return self._queries.release_done(done, wall_ms)

    def handle_report(
        self, report: messages.ServerReport, made_ms: int
    ) -> None:
        """Handles a server's report, made at the monotonic time `made_ms`."""
        self._incarnations.handle_report(report, made_ms)
        self.outliers.register(report.server, report.incarnation)

    def entry_connected(self, entry: EntryRef) -> list[Command]:
        """Registers a connected entry, which can dispatch in its region."""
        self._entries[entry.incarnation] = entry
        self._attempt_tracker.entry_returned(entry.incarnation)
        return self._deadlines.recall_all(entry)

    def entry_lost(self, entry: EntryRef, now_ms: int) -> None:
        """Removes an entry whose stream broke."""
        self._entries.pop(entry.incarnation, None)
        self._waiters.drop_entry(entry.incarnation)
        self._attempt_tracker.entry_gone(entry.incarnation, now_ms)

    def handle_decisions(
        self, decisions: list[Decision], now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Turns the scheduler's decisions about waiting calls into records."""
        commands: list[Command] = []
        for outcome in self._assigner.resolve(decisions, now_ms):
            match outcome:
                case assignment.Placed():
                    commands += self._propose_attempt(outcome, now_ms, wall_ms)
                case assignment.Deferred():
                    delay_ms = outcome.wait_ms
                    self._deadlines.place_later(outcome.key, now_ms, delay_ms)
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
        """Runs everything that is due."""
        work = self._deadlines.process_due(now_ms, wall_ms)
        commands = work.commands
        for key in work.calls_to_place:
            commands += self._place(key, now_ms, wall_ms)
        for tracked in self._attempt_tracker.orphaned(now_ms):
            commands.append(self._deadlines.recover_or_settle(tracked, wall_ms))
        commands += self._incarnations.resolve_strikes(now_ms, wall_ms)
        commands += self._gate.share_quarantine(now_ms, wall_ms)
        entries = list(self._entries.values())
        commands += self._incarnations.release_orders(entries, now_ms, wall_ms)
        return commands

    def handle_applied(
        self,
        record: records.ShardRecord,
        new_effects: list[effects.Effect],
        now_ms: int,
        wall_ms: int,
    ) -> list[Command]:
        """Acts on a committed record and its effects."""
        commands: list[Command] = []
        match record:
            case records.CallBegun():
                commands += self._call_begun(record.begin.key, now_ms, wall_ms)
            case records.AttemptStarted():
                commands += self._free_server(record.key, now_ms, wall_ms)
            case records.AttemptFinished():
                commands += self._attempt_finished(record, now_ms, wall_ms)
            case records.IncarnationEnded():
                for key in self._gate.take_held():
                    commands += self._place(key, now_ms, wall_ms)
        for effect in new_effects:
            commands += self._handle_effect(effect, record, now_ms, wall_ms)
        if isinstance(record, records.AttemptFinished):
            commands += self._outcomes.answer_stale(record.key, record.verdict)
        return commands

    def _handle_effect(
        self,
        effect: effects.Effect,
        record: records.ShardRecord,
        now_ms: int,
        wall_ms: int,
    ) -> list[Command]:
        match effect:
            case effects.CallGranted():
                return self._grants.send_grant(effect, now_ms, wall_ms)
            case effects.CallAnswered():
                self.admission.remove_call(effect.key, now_ms, answered=True)
                return self._outcomes.answer(effect)
            case effects.CallRejected():
                self.admission.remove_call(effect.key, now_ms, answered=False)
                decisions = self._assigner.end_call(effect.key, now_ms)
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
            case effects.ProgramTerminated():
                self._deadlines.schedule_forgetting(effect.program, now_ms)
                self._assigner.end_program(effect.program.key)
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
        digests = self._shard.digests_of(begin)
        held_back = self._shard.quarantine.must_wait(digests)
        scopes = assignment.limit_scopes(self.cfg, begin)
        held_back = held_back or not self.admission.may_start(scopes)
        if self._admissions.is_next(begin) and not held_back:
            submission = self._assigner.submit_new(begin, now_ms)
            for outcome in submission.own_outcomes:
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
                    choice = self._grants.choose(outcome, waiter.entry, begin)
            commands += self.handle_decisions(
                submission.other_decisions, now_ms, wall_ms
            )
        # Needs no timer: the call's deadline is also this waiter's.
        self._waiters.add(begin.key, waiter)
        self._admissions.mark_proposed(begin)
        self.admission.add_call(begin.key, scopes, now_ms)
        self.retries.record_first_attempt(deployment.name)
        record = records.CallBegun(
            at_ms=wall_ms,
            begin=begin,
            limits=assignment.program_limits(deployment),
            choice=choice,
        )
        return [Propose(record), *commands]

    def _attach(
        self, key: CallKey, waiter: Waiter, now_ms: int, wall_ms: int
    ) -> list[Command]:
        closed = self._shard.find_closed(key)
        if closed is not None:
            return [replies.final_reply(waiter, key, closed)]
        self._add_waiter(key, waiter)
        return self._place(key, now_ms, wall_ms)

    def _add_waiter(self, key: CallKey, waiter: Waiter) -> None:
        self._waiters.add(key, waiter)
        self._deadlines.track_waiter(key, waiter)

    def _call_begun(
        self, key: CallKey, now_ms: int, wall_ms: int
    ) -> list[Command]:
        self._admissions.mark_committed(key)
        commands = self._free_server(key, now_ms, wall_ms)
        found = self._shard.find_open(key)
        if found is None:
            self.admission.remove_call(key, now_ms, answered=False)
            return commands
        program, call = found
        self._grants.register_call(call, now_ms, wall_ms)
        self._deadlines.track_program(program, now_ms, wall_ms)
        return commands

    def _place(self, key: CallKey, now_ms: int, wall_ms: int) -> list[Command]:
        """Submits a call to the scheduler if it is next in its program."""
        found = self._shard.find_open(key)
        if found is None or self._waiters.find_for_grant(key) is None:
            return []
        program, call = found
        if program.next_call() is not call:
            return []
        digests = self._shard.digests_of(call.begin)
        if self._gate.is_quarantined(digests):
            return [Propose(crashes.refusal(call, wall_ms))]
        if self._shard.quarantine.must_wait(digests):
            self._gate.hold(key)
            return []
        scopes = assignment.limit_scopes(self.cfg, call.begin)
        if not self.admission.may_start(scopes):
            self._deadlines.place_later(key, now_ms, _LIMIT_RETRY_MS)
            return []
        decisions = self._assigner.submit(program, call, now_ms, wall_ms)
        return self.handle_decisions(decisions, now_ms, wall_ms)

    def _retry(
        self,
        effect: effects.CallReady,
        record: records.AttemptFinished,
        now_ms: int,
        wall_ms: int,
    ) -> list[Command]:
        """Retries a call if its deployment's retry budget allows that."""
        call = effect.call
        uses_budget = record.reason is not Reason.NOT_READY
        if uses_budget and not self.retries.spend(
            self._grants.deployment_name(call.begin)
        ):
            refusal = self._outcomes.retry_refusal(
                call, record, self._rng, wall_ms
            )
            return [Propose(refusal)]
        delay_ms = limits.backoff_ms(call.attempts, self._rng)
        if delay_ms:
            self._deadlines.place_later(call.key, now_ms, delay_ms)
            return []
        return self._place(call.key, now_ms, wall_ms)

    def _propose_attempt(
        self, placed: assignment.Placed, now_ms: int, wall_ms: int
    ) -> list[Command]:
        waiter = self._waiters.find_for_grant(placed.key)
        begin = self._admissions.find_begin(placed.key)
        if waiter is None or begin is None:
            # No entry can use the grant, so other calls get the server's slot.
            decisions = self._assigner.end_call(placed.key, now_ms)
            return self.handle_decisions(decisions, now_ms, wall_ms)
        record = records.AttemptStarted(
            at_ms=wall_ms,
            key=placed.key,
            choice=self._grants.choose(placed, waiter.entry, begin),
        )
        return [Propose(record)]

    def _attempt_finished(
        self, record: records.AttemptFinished, now_ms: int, wall_ms: int
    ) -> list[Command]:
        if record.answer is not None:
            self._assigner.record_answer(record.key)
        tracked = self._attempt_tracker.remove(record.attempt)
        if tracked is not None:
            self._outcomes.update_outliers(tracked, record, now_ms)
        return self._free_server(record.key, now_ms, wall_ms, record.usage)

    def _free_server(
        self,
        key: CallKey,
        now_ms: int,
        wall_ms: int,
        usage: messages.Usage | None = None,
    ) -> list[Command]:
        """Frees the server slot of a call that has no attempt."""
        found = self._shard.find_open(key)
        if found is not None and found[1].attempt is not None:
            return []
        if found is not None:
            self.admission.mark_stopped(key)
        decisions = self._assigner.end_call(key, now_ms, usage)
        return self.handle_decisions(decisions, now_ms, wall_ms)


def _ends_attempt_of(
    record: records.ShardRecord, call: Call
) -> TypeGuard[records.AttemptFinished]:
    return (
        isinstance(record, records.AttemptFinished) and record.key == call.key
    )
