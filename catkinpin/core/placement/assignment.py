"""Between a shard's leader and its scheduler: jobs in, outcomes out."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin import digest
from catkinpin.core.messages import ProgramKey
from catkinpin.core.placement import jobs, limits
from catkinpin.core.programs import sharding
from catkinpin.core.programs.quarantine import MAX_CRASHES
from catkinpin.core.programs.records import Choice, ProgramLimits
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
    from catkinpin.core.placement.ejection import Outliers
    from catkinpin.core.placement.jobs import Decision, Job
    from catkinpin.core.placement.scheduler import Scheduler
    from catkinpin.core.placement.servers import Server
    from catkinpin.core.programs.commands import EntryRef
    from catkinpin.core.programs.program import Attempt, Call, Program
    from catkinpin.core.programs.shard import Shard

# A call that must run apart from others tries again after this time.
_APART_WAIT_MS = 100
# Contents of which an answer is remembered.
_KNOWN_GOOD = 10_000
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True)
class Placed:
    """The call gets this server."""

    key: CallKey
    server: Server


@dataclasses.dataclass(frozen=True)
class Later:
    """The call must be placed again after a while."""

    key: CallKey
    wait_ms: int


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The call gets no server."""

    key: CallKey
    reason: Reason
    text: str
    retry_after_ms: int


Outcome = Placed | Later | Rejected


@dataclasses.dataclass(frozen=True)
class Submitted:
    """What came of a new call.

    Attributes:
        own: outcomes of the call itself; none while it is queued.
        others: decisions about other calls.
    """

    own: list[Outcome]
    others: list[Decision]


@dataclasses.dataclass(frozen=True)
class _Assigned:
    """Where a call runs."""

    server: str
    content: bytes
    suspect: bool


class Placing:
    """Submits calls, keeping suspects apart and outliers out.

    Args:
        state: the shard's state, only read here.
        jobs: the scheduler.
        outliers: servers that get no work for a while.
        cfg_of: the configuration in force.
    """

    def __init__(
        self,
        state: Shard,
        jobs: Scheduler,
        outliers: Outliers,
        cfg_of: Callable[[], Configuration],
    ) -> None:
        self._shard = state
        self._scheduler = jobs
        self._outliers = outliers
        self._cfg_of = cfg_of
        self._answers: dict[tuple[str, str], tuple[str, bool]] = {}
        self._answers_for: Configuration | None = None
        self._jobs: dict[CallKey, Job] = {}
        self._assigned: dict[CallKey, _Assigned] = {}
        self._suspects: dict[CallKey, _Assigned] = {}
        self._contents: collections.Counter[bytes] = collections.Counter()
        self._held_by: collections.Counter[str] = collections.Counter()
        self._known_good: dict[bytes, None] = {}
        self._begins: dict[CallKey, Begin] = {}
        self._forgiven: set[CallKey] = set()
        self._now_ms = 0

    def submit_new(self, begin: Begin, now_ms: int) -> Submitted:
        """Submits a call that is not in the log yet."""
        job = self._job(begin, None, None, now_ms + begin.deadline_ms, now_ms)
        decisions = self._scheduler.submit(job, now_ms)
        own = [one for one in decisions if one.key == begin.key]
        others = [one for one in decisions if one.key != begin.key]
        outcomes = self.outcomes(own, now_ms)
        if any(isinstance(outcome, Rejected) for outcome in outcomes):
            self._jobs.pop(begin.key, None)
            self._begins.pop(begin.key, None)
        return Submitted(outcomes, others)

    def submit(
        self, program: Program, call: Call, now_ms: int, wall_ms: int
    ) -> list[Decision]:
        """Submits a call whose turn it is."""
        deadline = now_ms + call.deadline_wall_ms - wall_ms
        job = self._job(call.begin, program, call, deadline, now_ms)
        return self._scheduler.submit(job, now_ms)

    def outcomes(self, decisions: list[Decision], now_ms: int) -> list[Outcome]:
        """Judges decisions; a call that could be placed otherwise gets that."""
        found: list[Outcome] = []
        waiting = list(decisions)
        while waiting:
            decision = waiting.pop(0)
            job = self._jobs.get(decision.key)
            if isinstance(decision, jobs.Place):
                server = decision.server.report.server
                if job is not None and self._must_wait(job, server):
                    waiting += self.ended(decision.key, now_ms)
                    found.append(Later(decision.key, _APART_WAIT_MS))
                    continue
                if job is not None:
                    assigned = _Assigned(server, job.content, job.suspect)
                    self._add(decision.key, assigned)
                found.append(Placed(decision.key, decision.server))
            elif (
                job is not None
                and decision.key not in self._forgiven
                and decision.reason is Reason.NO_SERVER
            ):
                again = self._submit_forgiving(job, now_ms)
                waiting += again
                if not again and job.suspect:
                    self._forgiven.discard(decision.key)
                    found.append(Later(decision.key, _APART_WAIT_MS))
            else:
                found.append(_rejected(decision))
        return found

    def ended(
        self, key: CallKey, now_ms: int, usage: Usage | None = None
    ) -> list[Decision]:
        """Notes that a call holds no server any more."""
        self._now_ms = now_ms
        self._jobs.pop(key, None)
        self._begins.pop(key, None)
        self._forgiven.discard(key)
        self._suspects.pop(key, None)
        assigned = self._assigned.pop(key, None)
        if assigned is not None:
            self._held_by[assigned.server] -= 1
            self._contents[assigned.content] -= 1
            if not self._contents[assigned.content]:
                del self._contents[assigned.content]
        return self._scheduler.ended(key, now_ms, usage)

    def program_over(self, key: ProgramKey) -> None:
        """Notes that a program makes no more calls."""
        self._scheduler.program_ended(key)

    def answered(self, key: CallKey) -> None:
        """Notes that a server survived the call's content."""
        assigned = self._assigned.get(key)
        if assigned is None or not assigned.content:
            return
        self._known_good.pop(assigned.content, None)
        self._known_good[assigned.content] = None
        if len(self._known_good) > _KNOWN_GOOD:
            del self._known_good[next(iter(self._known_good))]

    def resume(self, call: Call, attempt: Attempt) -> None:
        """Notes an attempt that an earlier leader granted."""
        server = attempt.choice.server.server
        suspect = self._shard.quarantine.is_suspect(call.content)
        self._add(call.key, _Assigned(server, call.content, suspect))
        self._scheduler.resume(call.key, server)

    def _add(self, key: CallKey, assigned: _Assigned) -> None:
        self._assigned[key] = assigned
        self._contents[assigned.content] += 1
        self._held_by[assigned.server] += 1
        if assigned.suspect:
            self._suspects[key] = assigned

    def _submit_forgiving(self, job: Job, now_ms: int) -> list[Decision]:
        """Submits a job again that found no server but those it avoids.

        Servers that failed a call once are better than no server. A suspect
        still keeps off servers that run another suspect.
        """
        self._forgiven.add(job.key)
        without = tuple(self._suspect_servers()) if job.suspect else ()
        if job.suspect and set(job.without) <= set(without):
            return []
        name = self._name_of(self._begins[job.key])
        job = dataclasses.replace(
            job,
            without=without,
            allowed=lambda report: self._allowed(name, report),
        )
        self._jobs[job.key] = job
        return self._scheduler.submit(job, now_ms)

    def _must_wait(self, job: Job, server: str) -> bool:
        """Returns whether a call must not run there now.

        Two suspects on one server could not be told apart when it crashes.
        And one content on many servers at once, sent by a caller that does
        not wait, would crash them all before the first crash is known; only
        what was answered before may run more often at a time.
        """
        running = self._contents[job.content] if job.content else 0
        if not job.suspect:
            limited = job.content not in self._known_good
            return limited and running >= MAX_CRASHES
        apart = server not in self._suspect_servers()
        return running > 0 or not apart

    def _allowed(self, deployment: str, report: ServerReport) -> bool:
        """Returns whether a deployment's calls may go to the server now.

        Asked for every server at every placement, so the answers are kept
        until the configuration or the server's incarnation changes.
        """
        cfg = self._cfg_of()
        if cfg is not self._answers_for:
            self._answers_for = cfg
            self._answers.clear()
        key = (deployment, report.server)
        known = self._answers.get(key)
        if known is None or known[0] != report.incarnation:
            known = (report.incarnation, cfg.allows(deployment, report))
            self._answers[key] = known
        return known[1]

    def _healthy(self, deployment: str, report: ServerReport) -> bool:
        """Returns whether the server may get one more call just now."""
        held = self._held_by[report.server]
        if not self._outliers.admits(report.server, held, self._now_ms):
            return False
        return self._allowed(deployment, report)

    def _name_of(self, begin: Begin) -> str:
        account = begin.key.account
        found = self._cfg_of().deployment_for(account, begin.target)
        return found.name if found is not None else ""

    def _suspect_servers(self) -> list[str]:
        return [assigned.server for assigned in self._suspects.values()]

    def _shared_tokens(self, begin: Begin, parent: str) -> int:
        """Returns the tokens that a sub-agent's request shares with a parent.

        Where the parent's prefix is, the sub-agent need not compute them.
        """
        key = ProgramKey(account=begin.key.account, program=parent)
        found = self._shard.programs.get(key)
        if found is None or not len(found.history) or not begin.whole:
            return 0
        same = found.history.first_difference(begin.digests)
        whole = len(found.history)
        share = (whole if same is None else same) / whole
        return round(share * found.history_tokens)

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
        content = self._shard.content_digest(begin)
        suspect = self._shard.quarantine.is_suspect(content)
        without = set(self._outliers.ejected(now_ms))
        without.update(call.failed_servers if call is not None else ())
        without.update(self._suspect_servers() if suspect else ())
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
            without=tuple(sorted(without)),
            suspect=suspect,
            content=content,
            allowed=lambda report: self._healthy(name, report),
        )
        self._jobs[begin.key] = job
        self._begins[begin.key] = begin
        return job


def _rejected(decision: jobs.Reject) -> Rejected:
    return Rejected(
        decision.key, decision.reason, decision.text, decision.retry_after_ms
    )


def limits_of(deployment: Deployment) -> ProgramLimits:
    """Returns the limits of a program of a deployment."""
    default = ProgramLimits(budget_tokens=deployment.budget_tokens)
    age_ms = deployment.budget_seconds * _MS_PER_S
    idle_ms = deployment.idle_timeout_seconds * _MS_PER_S
    return ProgramLimits(
        budget_tokens=deployment.budget_tokens,
        max_turns=deployment.budget_turns or default.max_turns,
        max_age_ms=age_ms or default.max_age_ms,
        idle_ms=idle_ms or default.idle_ms,
    )


def scopes_of(cfg: Configuration, begin: Begin) -> list[limits.Scope]:
    """Returns what a call counts for, with the limits of each."""
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


def choice_of(
    placed: Placed, entry: EntryRef, entries: list[EntryRef], priority: int
) -> Choice:
    """Returns a placement as it goes into the log.

    Args:
        placed: the call and its server.
        entry: who gets the grant.
        entries: those that are connected; one in the server's region
            dispatches where the one that asks is in another.
        priority: of the deployment.
    """
    server = placed.server.ref
    here = not server.region or server.region == entry.region
    near = [e.address for e in entries if e.region == server.region]
    return Choice(
        server=server,
        entry=entry.process,
        entry_incarnation=entry.incarnation,
        dispatcher="" if here else _relay_of(placed.key, near),
        priority=priority,
    )


def _relay_of(key: CallKey, near: list[str]) -> str:
    """Returns the entry that relays a program's calls in another region.

    By rendezvous hashing: programs spread over the entries, a program stays
    with the one that holds its history, and when an entry goes only its own
    programs move.
    """
    root = f"{key.account}/{sharding.root_of(key.program)}"

    def weight(address: str) -> bytes:
        return digest.of_bytes(f"{root}\0{address}".encode())

    return max(near, key=weight, default="")
