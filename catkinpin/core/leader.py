"""What only the leader of a shard does: admit, place, grant and answer."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core import messages, records, scheduler, shard
from catkinpin.core.shard import CallState
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from catkinpin.configuration import Configuration
    from catkinpin.core.messages import Begin, CallKey
    from catkinpin.core.scheduler import Scheduler

# A grant must be used within this time of its receipt.
GRANT_EXPIRES_MS = 1_000


@dataclasses.dataclass(frozen=True)
class EntryRef:
    """An entry that asks, in its present life."""

    process: str
    incarnation: str
    region: str
    address: str


@dataclasses.dataclass(frozen=True)
class Propose:
    """Command: append this record to the shard's log."""

    record: records.ShardRecord


@dataclasses.dataclass(frozen=True)
class Send:
    """Command: send this message to an entry."""

    to: EntryRef
    message: messages.Granted | messages.Refused | messages.ProgramInfo


@dataclasses.dataclass(frozen=True)
class SendAnswer:
    """Command: read the answer in the log and send it to an entry."""

    to: EntryRef
    ask: int
    call: shard.Call


@dataclasses.dataclass(frozen=True)
class SendGrant:
    """Command: read the stored messages in the log and send the grant."""

    to: EntryRef
    grant: messages.Granted
    history: list[shard.HistoryItem]


Command = Propose | Send | SendAnswer | SendGrant


@dataclasses.dataclass
class _Waiter:
    """Who waits for a call's outcome."""

    entry: EntryRef
    ask: int


class ShardLeader:
    """Leads a shard: turns entries' messages into records and replies.

    Its state is lost with the leadership and needs no rescue: entries ask
    again, and the calls' state is in the log.
    """

    def __init__(
        self,
        state: shard.Shard,
        jobs: Scheduler,
        cfg: Configuration,
    ) -> None:
        self._shard = state
        self._scheduler = jobs
        self.cfg = cfg
        self._waiters: dict[CallKey, list[_Waiter]] = {}
        self._entries: dict[str, EntryRef] = {}

    def begin(
        self, entry: EntryRef, begin: Begin, now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Admits a call, or attaches to it where it is known already."""
        found = self._shard.find_call(begin.key)
        if found is not None:
            return self._attach(entry, begin, found[1])
        deployment = self.cfg.deployment_for(begin.key.account, begin.target)
        if deployment is None:
            reason = (
                Reason.UNKNOWN_MODEL
                if begin.kind == "model"
                else Reason.UNKNOWN_SERVICE
            )
            text = f"no deployment lets this account use {begin.target!r}"
            return [_refuse(entry, begin.ask, reason, text)]
        rejected = self._shard.check_begin(begin)
        if rejected is not None:
            return [_refuse_rejected(entry, begin.ask, rejected)]
        choice = None
        if self._is_next(begin):
            job = self._job(begin, now_ms, deployment.priority)
            for decision in self._scheduler.submit(job, now_ms):
                if isinstance(decision, scheduler.Reject):
                    return [_refuse_decision(entry, begin.ask, decision)]
                choice = self._choice(decision, entry, deployment.priority)
        self._wait(begin.key, entry, begin.ask)
        record = records.CallBegun(
            at_ms=wall_ms,
            begin=begin,
            budget_tokens=deployment.budget_tokens,
            choice=choice,
        )
        return [Propose(record)]

    def finish(
        self, entry: EntryRef, finish: messages.Finish, now_ms: int, wall: int
    ) -> list[Command]:
        """Takes an attempt's outcome."""
        found = self._shard.find_call(finish.key)
        if found is None:
            text = "the call is not known to this shard"
            return [
                _refuse(
                    entry,
                    finish.ask,
                    Reason.INTERNAL,
                    text,
                    verdict=finish.verdict,
                )
            ]
        call = found[1]
        self._wait(finish.key, entry, finish.ask)
        if call.attempt is None or call.attempt.attempt != finish.attempt:
            return self._answer_waiters(call)
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

    def get_program(
        self, entry: EntryRef, get: messages.GetProgram
    ) -> list[Command]:
        """Answers with a program's state."""
        return [self._program_info(entry, get.ask, get.key)]

    def end_program(
        self, entry: EntryRef, end: messages.EndProgram, wall_ms: int
    ) -> list[Command]:
        """Ends a program."""
        info = self._program_info(entry, end.ask, end.key)
        if isinstance(info.message, messages.Refused):
            return [info]
        record = records.ProgramEnded(
            at_ms=wall_ms, key=end.key, reason="ended by the caller"
        )
        return [Propose(record), info]

    def applied(
        self,
        record: records.ShardRecord,
        effects: list[shard.Effect],
        now_ms: int,
        wall_ms: int,
    ) -> list[Command]:
        """Acts on a committed record and its effects."""
        commands = self._free_servers(_calls_of(record), now_ms, wall_ms)
        for effect in effects:
            match effect:
                case shard.CallGranted():
                    commands += self._granted(effect)
                case shard.CallAnswered() | shard.CallTurnedDown():
                    commands += self._answer_waiters(effect.call)
                case shard.CallReady():
                    commands += self._place(effect, now_ms, wall_ms)
                case shard.BeginRejected():
                    for waiter in self._take_waiters(effect.begin.key):
                        commands.append(
                            _refuse_rejected(waiter.entry, waiter.ask, effect)
                        )
                case shard.ProgramOver():
                    pass
        return commands

    def _attach(
        self, entry: EntryRef, begin: Begin, call: shard.Call
    ) -> list[Command]:
        if not shard.same_request(call, begin):
            text = "this request id was used for another request"
            return [_refuse(entry, begin.ask, Reason.REQUEST_ID_REUSED, text)]
        self._wait(begin.key, entry, begin.ask)
        return self._answer_waiters(call)

    def _wait(self, key: CallKey, entry: EntryRef, ask: int) -> None:
        self._waiters.setdefault(key, []).append(_Waiter(entry, ask))

    def _take_waiters(self, key: CallKey) -> list[_Waiter]:
        return self._waiters.pop(key, [])

    def _answer_waiters(self, call: shard.Call) -> list[Command]:
        if call.state is CallState.ANSWERED:
            return [
                SendAnswer(waiter.entry, waiter.ask, call)
                for waiter in self._take_waiters(call.begin.key)
            ]
        refusal = call.refusal
        if call.state is CallState.REFUSED and refusal is not None:
            return [
                _refuse(
                    waiter.entry,
                    waiter.ask,
                    refusal.reason,
                    refusal.text,
                    refusal.retry_after_ms,
                    refusal.verdict,
                )
                for waiter in self._take_waiters(call.begin.key)
            ]
        return []

    def _granted(self, effect: shard.CallGranted) -> list[Command]:
        call = effect.call
        attempt = call.attempt
        if attempt is None:
            return []
        waiters = self._waiters.get(call.begin.key, [])
        for position, waiter in enumerate(waiters):
            if waiter.entry.incarnation == attempt.choice.entry_incarnation:
                del waiters[position]
                return [self._grant_command(effect, attempt, waiter)]
        return []

    def _grant_command(
        self,
        effect: shard.CallGranted,
        attempt: shard.Attempt,
        waiter: _Waiter,
    ) -> Command:
        call = effect.call
        known = effect.program.history
        model = call.begin.kind == "model"
        grant = messages.Granted(
            ask=waiter.ask,
            key=call.begin.key,
            attempt=attempt.attempt,
            server=attempt.choice.server,
            dispatcher=attempt.choice.dispatcher,
            expires_ms=GRANT_EXPIRES_MS,
            max_tokens=attempt.max_tokens,
            priority=attempt.choice.priority,
            seq=call.seq,
            skip=len(known) if call.begin.whole and model else 0,
        )
        if call.begin.whole or not model:
            return Send(waiter.entry, grant)
        return SendGrant(waiter.entry, grant, list(known))

    def _place(
        self, effect: shard.CallReady, now_ms: int, wall_ms: int
    ) -> list[Command]:
        begin = effect.call.begin
        deployment = self.cfg.deployment_for(begin.key.account, begin.target)
        priority = deployment.priority if deployment is not None else 0
        job = self._job(begin, now_ms, priority, effect.call)
        decisions = self._scheduler.submit(job, now_ms)
        return self.decided(decisions, wall_ms)

    def decided(
        self, decisions: list[scheduler.Decision], wall_ms: int
    ) -> list[Command]:
        """Turns the scheduler's decisions about waiting calls into records."""
        commands: list[Command] = []
        for decision in decisions:
            waiters = self._waiters.get(decision.key)
            if isinstance(decision, scheduler.Reject):
                record: records.ShardRecord = records.CallRefused(
                    at_ms=wall_ms,
                    key=decision.key,
                    reason=decision.reason,
                    text=decision.text,
                    verdict=self._verdict_of(decision.key),
                    retry_after_ms=decision.retry_after_ms,
                )
            elif waiters:
                record = records.AttemptStarted(
                    at_ms=wall_ms,
                    key=decision.key,
                    choice=self._choice(decision, waiters[0].entry, 0),
                )
            else:
                continue
            commands.append(Propose(record))
        return commands

    def _verdict_of(self, key: CallKey) -> Verdict:
        found = self._shard.find_call(key)
        return found[1].verdict if found is not None else Verdict.NOT_RUN

    def _is_next(self, begin: Begin) -> bool:
        program = self._shard.programs.get(begin.key.program_key)
        if program is None:
            return True
        return begin.seq in (0, program.next_seq) and not any(
            call.state in (CallState.WAITING, CallState.RUNNING)
            for call in program.calls.values()
        )

    def _job(
        self,
        begin: Begin,
        now_ms: int,
        priority: int,
        call: shard.Call | None = None,
    ) -> scheduler.Job:
        program = self._shard.programs.get(begin.key.program_key)
        return scheduler.Job(
            key=begin.key,
            kind=begin.kind,
            target=begin.target,
            prompt_tokens=begin.prompt_tokens,
            max_tokens=begin.max_tokens,
            turns=program.turns if program is not None else 0,
            attained_tokens=program.spent if program is not None else 0,
            region=begin.region,
            last_server=program.last_server if program is not None else "",
            priority=priority,
            deadline_ms=now_ms + begin.deadline_ms,
            without=tuple(call.failed_servers) if call is not None else (),
            allowed=lambda report: self._allowed(begin, report),
        )

    def _allowed(self, begin: Begin, report: messages.ServerReport) -> bool:
        """Returns whether the configuration of now lets a call go there."""
        found = self.cfg.deployment_for(begin.key.account, begin.target)
        return found is not None and self.cfg.allows(found.name, report)

    def _choice(
        self, place: scheduler.Place, entry: EntryRef, priority: int
    ) -> records.Choice:
        return records.Choice(
            server=place.server.ref,
            entry=entry.process,
            entry_incarnation=entry.incarnation,
            dispatcher=self._dispatcher(entry, place.server.report.region),
            priority=priority,
        )

    def entry_connected(self, entry: EntryRef) -> None:
        """Notes an entry that can dispatch in its region."""
        self._entries[entry.process] = entry

    def entry_lost(self, entry: EntryRef) -> None:
        """Forgets an entry whose stream broke."""
        if self._entries.get(entry.process) == entry:
            del self._entries[entry.process]

    def _dispatcher(self, entry: EntryRef, region: str) -> str:
        if not region or region == entry.region:
            return ""
        near = [e for e in self._entries.values() if e.region == region]
        return min((e.address for e in near), default="")

    def _program_info(
        self, entry: EntryRef, ask: int, key: messages.ProgramKey
    ) -> Send:
        program = self._shard.programs.get(key)
        if program is None:
            text = f"program {key.program!r} is not known"
            return _refuse(entry, ask, Reason.UNKNOWN_PROGRAM, text)
        info = messages.ProgramInfo(
            ask=ask,
            key=key,
            next_seq=program.next_seq,
            turns=program.turns,
            ended=program.ended,
            spent_tokens=program.spent,
            reserved_tokens=program.reserved,
            budget_tokens=program.budget,
            parent=program.parent,
        )
        return Send(entry, info)

    def _free_servers(
        self, keys: list[CallKey], now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Gives back the servers of calls that hold no attempt any more."""
        commands: list[Command] = []
        for key in keys:
            found = self._shard.find_call(key)
            if found is not None and found[1].attempt is not None:
                continue
            decisions = self._scheduler.ended(key, now_ms)
            commands += self.decided(decisions, wall_ms)
        return commands


def _refuse(
    entry: EntryRef,
    ask: int,
    reason: Reason,
    text: str,
    retry_after_ms: int = 0,
    verdict: Verdict = Verdict.NOT_RUN,
    detail: str = "",
) -> Send:
    message = messages.Refused(
        ask=ask,
        reason=reason,
        text=text,
        verdict=verdict,
        retry_after_ms=retry_after_ms,
        detail=detail,
    )
    return Send(entry, message)


def _calls_of(record: records.ShardRecord) -> list[CallKey]:
    """Returns the calls whose attempt the record may have ended or denied."""
    match record:
        case records.CallBegun():
            return [record.begin.key]
        case records.AttemptStarted() | records.AttemptFinished():
            return [record.key]
        case _:
            return []


def _refuse_decision(
    entry: EntryRef, ask: int, decision: scheduler.Reject
) -> Send:
    return _refuse(
        entry, ask, decision.reason, decision.text, decision.retry_after_ms
    )


def _refuse_rejected(
    entry: EntryRef, ask: int, rejected: shard.BeginRejected
) -> Send:
    return _refuse(
        entry, ask, rejected.reason, rejected.text, detail=rejected.detail
    )
