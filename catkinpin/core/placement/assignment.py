"""Submits a shard's calls to the scheduler and resolves its decisions."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.crashruns import MAX_CRASHES
from catkinpin.core.messages import ProgramKey
from catkinpin.core.placement import jobs, limits
from catkinpin.core.programs import sharding
from catkinpin.core.programs.records import ProgramLimits
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import (
        Begin,
        CallKey,
        ServerReport,
        Usage,
    )
    from catkinpin.core.operations.deployments import Configuration, Deployment
    from catkinpin.core.placement.ejection import OutlierDetector
    from catkinpin.core.placement.jobs import Decision, Job
    from catkinpin.core.placement.scheduler import Scheduler
    from catkinpin.core.placement.servers import Server
    from catkinpin.core.programs.program import (
        Attempt,
        Call,
        CallDigests,
        Program,
    )
    from catkinpin.core.programs.shard import Shard

# Delay until a call that must not run now is placed again; see `_must_wait`.
_RETRY_DELAY_MS = 100
# Limit of remembered contents that a server answered without a crash.
_MAX_ANSWERED_CONTENTS = 10_000
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True)
class Placed:
    """Outcome: the call runs on this server."""

    key: CallKey
    server: Server


@dataclasses.dataclass(frozen=True)
class Deferred:
    """Outcome: the call must be placed again after a delay."""

    key: CallKey
    wait_ms: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """Outcome: the call gets no server and is refused."""

    key: CallKey
    reason: Reason
    text: str
    retry_after_ms: int


Outcome = Placed | Deferred | Rejected


@dataclasses.dataclass(frozen=True)
class Submission:
    """Result of submitting a new call.

    Attributes:
        own_outcomes: Outcomes of the call itself; empty while it is queued.
        other_decisions: Decisions about other calls.
    """

    own_outcomes: list[Outcome]
    other_decisions: list[Decision]


@dataclasses.dataclass(frozen=True)
class _Assigned:
    """The server that a call runs on."""

    server: str
    digests: CallDigests
    suspect: bool


class CallAssigner:
    """Submits calls, isolates suspect calls and excludes ejected servers.

    A call is suspect if servers crashed while running its content or message.

    Args:
        state: State of the shard, which is only read here.
        jobs: The scheduler.
        outliers: Detector of failing servers.
        cfg_of: Returns the active configuration.
    """

    def __init__(
        self,
        state: Shard,
        jobs: Scheduler,
        outliers: OutlierDetector,
        cfg_of: Callable[[], Configuration],
    ) -> None:
        self._shard = state
        self._scheduler = jobs
        self._outliers = outliers
        self._cfg_of = cfg_of
        self._allowed_cache: dict[tuple[str, str], tuple[str, bool]] = {}
        self._allowed_cache_cfg: Configuration | None = None
        self._jobs: dict[CallKey, Job] = {}
        self._assigned: dict[CallKey, _Assigned] = {}
        self._suspects: dict[CallKey, _Assigned] = {}
        self._running_contents: collections.Counter[bytes] = (
            collections.Counter()
        )
        self._calls_by_server: collections.Counter[str] = collections.Counter()
        self._answered_contents: dict[bytes, None] = {}
        self._begins: dict[CallKey, Begin] = {}
        self._retried: set[CallKey] = set()
        self._now_ms = 0

    def submit_new(self, begin: Begin, now_ms: int) -> Submission:
        """Submits a call that is not yet in the log."""
        job = self._job(begin, None, None, now_ms + begin.deadline_ms, now_ms)
        decisions = self._scheduler.submit(job, now_ms)
        own = [decision for decision in decisions if decision.key == begin.key]
        others = [
            decision for decision in decisions if decision.key != begin.key
        ]
        outcomes = self.resolve(own, now_ms)
        if any(isinstance(outcome, Rejected) for outcome in outcomes):
            self._jobs.pop(begin.key, None)
            self._begins.pop(begin.key, None)
        return Submission(outcomes, others)

    def submit(
        self, program: Program, call: Call, now_ms: int, wall_ms: int
    ) -> list[Decision]:
        """Submits a logged call that is next in its program."""
        deadline = now_ms + call.deadline_wall_ms - wall_ms
        job = self._job(call.begin, program, call, deadline, now_ms)
        return self._scheduler.submit(job, now_ms)

    def resolve(self, decisions: list[Decision], now_ms: int) -> list[Outcome]:
        """Turns the scheduler's decisions into outcomes.

        A call that was placed where it must not run is deferred. A call
        without a server is submitted once more with fewer exclusions.
        """
        outcomes: list[Outcome] = []
        pending = list(decisions)
        while pending:
            decision = pending.pop(0)
            job = self._jobs.get(decision.key)
            if isinstance(decision, jobs.Place):
                server = decision.server.report.server
                if job is not None and self._must_wait(job, server):
                    pending += self.end_call(decision.key, now_ms)
                    outcomes.append(Deferred(decision.key, _RETRY_DELAY_MS))
                    continue
                if job is not None:
                    assigned = _Assigned(server, job.digests, job.suspect)
                    self._add_assigned(decision.key, assigned)
                outcomes.append(Placed(decision.key, decision.server))
            elif (
                job is not None
                and decision.key not in self._retried
                and decision.reason is Reason.NO_SERVER
            ):
                retried_decisions = self._submit_with_fewer_exclusions(
                    job, now_ms
                )
                pending += retried_decisions
                if not retried_decisions and job.suspect:
                    self._retried.discard(decision.key)
                    outcomes.append(Deferred(decision.key, _RETRY_DELAY_MS))
            else:
                outcomes.append(_rejected(decision))
        return outcomes

    def end_call(
        self, key: CallKey, now_ms: int, usage: Usage | None = None
    ) -> list[Decision]:
        """Releases the server of a call and returns the decisions it allows."""
        self._now_ms = now_ms
        self._jobs.pop(key, None)
        self._begins.pop(key, None)
        self._retried.discard(key)
        self._suspects.pop(key, None)
        assigned = self._assigned.pop(key, None)
        if assigned is not None:
            self._calls_by_server[assigned.server] -= 1
            content = assigned.digests.content
            self._running_contents[content] -= 1
            if not self._running_contents[content]:
                del self._running_contents[content]
        return self._scheduler.end_call(key, now_ms, usage)

    def end_program(self, key: ProgramKey) -> None:
        """Releases a program that makes no more calls."""
        self._scheduler.end_program(key)

    def record_answer(self, key: CallKey) -> None:
        """Records that a server answered the call's content without a crash."""
        assigned = self._assigned.get(key)
        if assigned is None or not assigned.digests.content:
            return
        content = assigned.digests.content
        self._answered_contents.pop(content, None)
        self._answered_contents[content] = None
        if len(self._answered_contents) > _MAX_ANSWERED_CONTENTS:
            del self._answered_contents[next(iter(self._answered_contents))]

    def restore_call(self, call: Call, attempt: Attempt) -> None:
        """Restores a running attempt that a previous leader granted."""
        server = attempt.choice.server.server
        suspect = self._shard.quarantine.is_suspect(call.digests)
        self._add_assigned(call.key, _Assigned(server, call.digests, suspect))
        self._scheduler.restore_call(call.key, server)

    def _add_assigned(self, key: CallKey, assigned: _Assigned) -> None:
        self._assigned[key] = assigned
        self._running_contents[assigned.digests.content] += 1
        self._calls_by_server[assigned.server] += 1
        if assigned.suspect:
            self._suspects[key] = assigned

    def _submit_with_fewer_exclusions(
        self, job: Job, now_ms: int
    ) -> list[Decision]:
        """Submits a job again that found no server outside its exclusions.

        Servers that failed the call before or that are ejected are better than
        none. A suspect call still excludes servers that run another suspect.
        """
        self._retried.add(job.key)
        excluded = tuple(self._suspect_servers()) if job.suspect else ()
        if job.suspect and set(job.excluded_servers) <= set(excluded):
            return []
        name = self._deployment_name(self._begins[job.key])
        job = dataclasses.replace(
            job,
            excluded_servers=excluded,
            is_allowed=lambda report: self._allowed_by_cfg(name, report),
        )
        self._jobs[job.key] = job
        return self._scheduler.submit(job, now_ms)

    def _must_wait(self, job: Job, server: str) -> bool:
        """Returns whether a call must not run on the server now.

        If a server crashes with two suspects, the cause cannot be determined.
        A content that runs on many servers at once, sent by a caller that does
        not wait for answers, could crash all of them before the first crash is
        detected. Only contents that were answered before run without limit;
        copies of others run on one server, whose crash counts once.
        """
        content = job.digests.content
        running = self._running_contents[content] if content else 0
        if not job.suspect:
            if content in self._answered_contents:
                return False
            is_elsewhere = server not in self._servers_running(content)
            return running >= MAX_CRASHES or (running > 0 and is_elsewhere)
        has_no_suspects = server not in self._suspect_servers()
        return self._runs_any(job.suspected) or not has_no_suspects

    def _allowed_by_cfg(self, deployment: str, report: ServerReport) -> bool:
        """Returns whether the configuration lets a deployment use the server.

        The result is cached until the configuration or the incarnation of the
        server changes, as every placement asks for every server.
        """
        cfg = self._cfg_of()
        if cfg is not self._allowed_cache_cfg:
            self._allowed_cache_cfg = cfg
            self._allowed_cache.clear()
        key = (deployment, report.server)
        known = self._allowed_cache.get(key)
        if known is None or known[0] != report.incarnation:
            known = (report.incarnation, cfg.allows(deployment, report))
            self._allowed_cache[key] = known
        return known[1]

    def _may_use(self, deployment: str, report: ServerReport) -> bool:
        """Returns whether the server may get one more call now."""
        running_calls = self._calls_by_server[report.server]
        if not self._outliers.admits(
            report.server, running_calls, self._now_ms
        ):
            return False
        return self._allowed_by_cfg(deployment, report)

    def _deployment_name(self, begin: Begin) -> str:
        account = begin.key.account
        deployment = self._cfg_of().deployment_for(account, begin.target)
        return deployment.name if deployment is not None else ""

    def _servers_running(self, content: bytes) -> set[str]:
        """Returns the servers on which copies of a content run."""
        return {
            a.server
            for a in self._assigned.values()
            if a.digests.content == content
        }

    def _runs_any(self, suspected: frozenset[bytes]) -> bool:
        """Returns whether a call with one of the digests runs."""
        running = self._assigned.values()
        return any(not suspected.isdisjoint(a.digests) for a in running)

    def _suspect_servers(self) -> list[str]:
        return [assigned.server for assigned in self._suspects.values()]

    def _shared_tokens(self, begin: Begin, parent: str) -> int:
        """Returns the tokens that a sub-agent's request shares with its parent.

        A server that has cached the parent's prefix need not prefill them.
        """
        key = ProgramKey(account=begin.key.account, program=parent)
        program = self._shard.programs.get(key)
        if program is None or not len(program.history) or not begin.whole:
            return 0
        differs_at = program.history.first_difference(begin.digests)
        length = len(program.history)
        share = (length if differs_at is None else differs_at) / length
        return round(share * program.history_tokens)

    def _job(
        self,
        begin: Begin,
        program: Program | None,
        call: Call | None,
        deadline_ms: int,
        now_ms: int,
    ) -> Job:
        if program is None:
            program = self._shard.programs.get(begin.key.program_key)
        self._now_ms = now_ms
        account = begin.key.account
        deployment = self._cfg_of().deployment_for(account, begin.target)
        name = deployment.name if deployment is not None else ""
        digests = self._shard.digests_of(begin)
        suspected = self._shard.quarantine.suspected(digests)
        excluded = set(self._outliers.ejected_servers(now_ms))
        excluded.update(call.failed_servers if call is not None else ())
        excluded.update(self._suspect_servers() if suspected else ())
        history = program.history_tokens if program is not None else 0
        parent = program.parent if program is not None else begin.parent
        job = jobs.Job(
            key=begin.key,
            kind=begin.kind,
            target=begin.target,
            prompt_tokens=begin.prompt_tokens,
            stored_tokens=0 if begin.whole else history,
            history_tokens=history,
            max_tokens=begin.max_tokens,
            turns=program.turns if program is not None else 0,
            attained_tokens=program.spent if program is not None else 0,
            region=begin.region,
            last_server=program.last_server if program is not None else "",
            priority=deployment.priority if deployment is not None else 0,
            deadline_ms=deadline_ms,
            deployment=deployment.name if deployment is not None else "",
            interactive=deployment.interactive if deployment else False,
            parent=parent,
            shared_tokens=self._shared_tokens(begin, parent),
            excluded_servers=tuple(sorted(excluded)),
            digests=digests,
            suspected=suspected,
            is_allowed=lambda report: self._may_use(name, report),
        )
        self._jobs[begin.key] = job
        self._begins[begin.key] = begin
        return job


def _rejected(decision: jobs.Reject) -> Rejected:
    return Rejected(
        decision.key, decision.reason, decision.text, decision.retry_after_ms
    )


def program_limits(deployment: Deployment) -> ProgramLimits:
    """Returns the limits of a deployment's programs."""
    default = ProgramLimits(budget_tokens=deployment.budget_tokens)
    age_ms = deployment.budget_seconds * _MS_PER_S
    idle_ms = deployment.idle_timeout_seconds * _MS_PER_S
    return ProgramLimits(
        budget_tokens=deployment.budget_tokens,
        max_turns=deployment.budget_turns or default.max_turns,
        max_age_ms=age_ms or default.max_age_ms,
        idle_ms=idle_ms or default.idle_ms,
    )


def limit_scopes(cfg: Configuration, begin: Begin) -> list[limits.Scope]:
    """Returns the scopes in which a call counts, with their limits."""
    key = begin.key
    tree = f"{key.account}/{sharding.root_of(key.program)}"
    scopes = [limits.Scope(limits.PROGRAM, tree, limits.PROGRAM_LIMITS)]
    account = cfg.accounts.get(key.account)
    if account is not None:
        scopes.append(limits.Scope(limits.ACCOUNT, key.account, account.limits))
    deployment = cfg.deployment_for(key.account, begin.target)
    if deployment is not None:
        scopes.append(
            limits.Scope(limits.DEPLOYMENT, deployment.name, deployment.limits)
        )
    return scopes
