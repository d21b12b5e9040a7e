"""One run: clients, entries, the leader's real scheduler, fake servers."""

from __future__ import annotations

import dataclasses
import functools
import random
from typing import TYPE_CHECKING

from bench import workloads
from bench.cache import Segment, Waste
from bench.engine import Engine, Request, Service
from bench.events import Events
from bench.link import Link
from catkinpin.core import messages
from catkinpin.core.placement import jobs, scheduler, servers

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.workloads import Domain, Script, ServerPlan, Step, Workload

_CLIENT_DELAY_MS = 3.0
_REGION_DELAY_MS = 8.0
_REPORT_EVERY_MS = 500
_REPORT_LAG_MS = (150, 450)
_REPORT_LOST = 0.05
_HELD_GAP = 0.05
_TICK_MS = 100
# Sizes on the link: text is compressed, a streamed token has a frame.
_BYTES_PER_TOKEN = 1.6
_BYTES_PER_STREAMED_TOKEN = 30
_BYTES_PER_MESSAGE = 700
_MAX_TOKENS = 1_024
_ACCOUNT = "user"


@dataclasses.dataclass(frozen=True)
class RunPlan:
    """What to run.

    Attributes:
        load: arrivals as a share of capacity.
        arrivals_ms: how long programs arrive.
        election_timeout_ms: how long the run lasts after that at most.
        lost: `server` or `domain` fails midway, or with `drain` a server gets
            no new work from then on; empty for no failure.
        lying: whether one server's reports always say that it is idle.
    """

    workload: Workload
    per_ms: float
    load: float
    seed: int
    arrivals_ms: int = 240_000
    election_timeout_ms: int = 600_000
    lost: str = ""
    lying: bool = False


@dataclasses.dataclass
class Outcome:
    """What a run gave; latencies are in milliseconds.

    Attributes:
        floors: how long the same programs take on idle servers that hold
            every prefix; nothing can be faster.
        unfinished: programs cut by the end of the run; their latency so far
            counts among the others.
    """

    latencies: list[float] = dataclasses.field(default_factory=list)
    by_shape: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    waste: Waste = dataclasses.field(default_factory=Waste)
    link_bytes: int = 0
    refused: int = 0
    late: int = 0
    floors: list[float] = dataclasses.field(default_factory=list)
    unfinished: int = 0
    unknown: int = 0


class World:
    """A run in progress."""

    def __init__(
        self,
        plan: RunPlan,
        make: Callable[[servers.ServerView], scheduler.Scheduler],
    ) -> None:
        self.plan = plan
        self.events = Events()
        self.outcome = Outcome()
        self.system = Segment("", plan.workload.system_tokens)
        self.leader_domain = plan.workload.domains[0]
        self._rng = random.Random(plan.seed)
        self._noise = random.Random(plan.seed + 1)
        self._view = servers.ServerView()
        self.scheduler = make(self._view)
        self._links: dict[tuple[str, str], Link] = {}
        self._plans = {entry.name: entry for entry in plan.workload.servers}
        self.machines: dict[str, Engine | Service] = {
            name: self._machine(entry) for name, entry in self._plans.items()
        }
        self._placed: dict[
            messages.CallKey, Callable[[jobs.Decision], None]
        ] = {}
        self._drained: set[str] = set()
        self._alive: set[ProgramRun] = set()
        self._arriving = True

    def run(self) -> Outcome:
        """Runs to the end and returns what came of it."""
        for name in self.machines:
            self._report(name)
        self.events.after(_TICK_MS, self._tick)
        self.events.after(_REPORT_EVERY_MS, self._arrive)
        if self.plan.lost:
            self.events.after(self.plan.arrivals_ms / 2, self._lose)
        end = self.plan.arrivals_ms + self.plan.election_timeout_ms
        self.events.run(end, lambda: not self._arriving and not self._alive)
        for run in self._alive:
            if run.parent is None:
                self.outcome.unfinished += 1
                self._count(run)
        self.outcome.link_bytes = sum(
            link.bytes for link in self._links.values()
        )
        return self.outcome

    def started(self, run: ProgramRun) -> None:
        """Notes a program under way."""
        self._alive.add(run)

    def ended(self, run: ProgramRun) -> None:
        """Releases what a program held, under any policy."""
        self._alive.discard(run)
        self.scheduler.end_program(run.key)
        for machine in self.machines.values():
            if isinstance(machine, Engine):
                machine.cache.release(run.own)
        if run.parent is None:
            self._count(run)

    def submit(
        self, job: jobs.Job, then: Callable[[jobs.Decision], None]
    ) -> None:
        """Hands a call to the leader's scheduler."""
        self._placed[job.key] = then
        self._decided(self.scheduler.submit(job, round(self.events.now_ms)))

    def freed(self, key: messages.CallKey, usage: messages.Usage) -> None:
        """Tells the leader that a call's attempt has ended."""
        now = round(self.events.now_ms)
        self._decided(self.scheduler.end_call(key, now, usage))

    def travel(
        self, here: Domain, there: Domain, size: int, then: Callable[[], None]
    ) -> None:
        """Carries a message between two hosts."""
        if here.region != there.region:
            pair = (here.region, there.region)
            if pair not in self._links:
                self._links[pair] = Link(self.events, _REGION_DELAY_MS)
            self._links[pair].send(size, then)
        elif here != there:
            self.events.after(self.plan.workload.domain_delay_ms, then)
        else:
            self.events.after(0.0, then)

    def _machine(self, plan: ServerPlan) -> Engine | Service:
        if plan.engine is not None:
            return Engine(self.events, plan.engine, self.outcome.waste)
        return Service(self.events, plan.slots)

    def _decided(self, decisions: list[jobs.Decision]) -> None:
        for decision in decisions:
            self._placed.pop(decision.key)(decision)

    def _tick(self) -> None:
        now = round(self.events.now_ms)
        self._view.forget_silent(now)
        self._decided(self.scheduler.tick(now))
        self.events.after(_TICK_MS, self._tick)

    def _arrive(self) -> None:
        if self.events.now_ms > self.plan.arrivals_ms:
            self._arriving = False
            return
        name = f"p{self.events.now_ms:.0f}-{self._rng.random():.9f}"
        script = self.plan.workload.make(self._rng, name)
        ProgramRun(self, script, [self.system], None).start()
        rate = self.plan.per_ms * self.plan.load
        self.events.after(self._rng.expovariate(rate), self._arrive)

    def _lose(self) -> None:
        workload = self.plan.workload
        if self.plan.lost == "drain":
            self._drained.add(workload.lost_server)
            return
        for name, machine in self.machines.items():
            domain = self._plans[name].domain.name
            gone = (
                name == workload.lost_server
                if self.plan.lost == "server"
                else domain == workload.lost_domain
            )
            if gone:
                machine.lose()

    def _report(self, name: str) -> None:
        machine = self.machines[name]
        if machine.lost:
            return
        lag = self._noise.uniform(*_REPORT_LAG_MS)
        if self._noise.random() >= _REPORT_LOST:
            report = self._content(self._plans[name], machine)
            made = round(self.events.now_ms)
            self.events.after(
                lag, functools.partial(self._view.apply_report, report, made)
            )
        self.events.after(
            _REPORT_EVERY_MS, functools.partial(self._report, name)
        )

    def _content(
        self, plan: ServerPlan, machine: Engine | Service
    ) -> messages.ServerReport:
        held: list[str] = []
        capacity, cache = plan.slots, 0
        if isinstance(machine, Engine):
            capacity = machine.shape.slots
            cache = machine.shape.cache_tokens
            held = [
                f"{_ACCOUNT}/{program}"
                for program in sorted(machine.cache.held())
                if self._noise.random() >= _HELD_GAP
            ]
        lies = self.plan.lying and plan.name == self.plan.workload.lost_server
        return messages.ServerReport(
            server=plan.name,
            incarnation="1",
            address="",
            kind="model" if plan.engine is not None else "service",
            serves=[plan.target],
            domain=plan.domain.name,
            region=plan.domain.region,
            capacity=capacity,
            cache_tokens=cache,
            running=0 if lies else machine.running,
            waiting=0 if lies else machine.waiting,
            held=held,
        )

    def allowed(self, report: messages.ServerReport) -> bool:
        """Returns whether the configuration lets calls go to a server."""
        return report.server not in self._drained

    def domain_of(self, server: str) -> Domain:
        """Returns where a server stands."""
        return self._plans[server].domain

    def _count(self, run: ProgramRun) -> None:
        latency = self.events.now_ms - run.started_ms
        self.outcome.latencies.append(latency)
        floor = workloads.floor_ms(self.plan.workload, run.script)
        self.outcome.floors.append(floor)
        self.outcome.by_shape.setdefault(run.script.shape, []).append(latency)


class ProgramRun:
    """A program that makes its calls, one after another."""

    def __init__(
        self,
        world: World,
        script: Script,
        context: list[Segment],
        parent: ProgramRun | None,
    ) -> None:
        self.script = script
        self.parent = parent
        self.key = messages.ProgramKey(account=_ACCOUNT, program=script.program)
        self.started_ms = world.events.now_ms
        self.own: list[Segment] = []
        self._world = world
        self._context = context
        self._position = 0
        self._turns = 0
        self._attained = 0
        self._last_server: str = (
            parent._last_server if parent is not None else ""
        )
        self._regions = {script.domain.region}
        if parent is not None:
            self._regions |= parent._regions
        self._waits = 0

    def start(self) -> None:
        """Makes the first call."""
        self._world.started(self)
        self._call()

    def _call(self) -> None:
        if self._position == len(self.script.steps):
            self._world.ended(self)
            if self.parent is not None:
                self.parent._one_done()
            return
        step = self.script.steps[self._position]
        world = self._world
        call = _CallRun(world, self, step)
        world.events.after(
            _CLIENT_DELAY_MS,
            lambda: world.travel(
                self.script.domain,
                world.leader_domain,
                _BYTES_PER_MESSAGE,
                call.ask,
            ),
        )

    def answered(self, step: Step, server: str) -> None:
        """Takes an answer and goes on."""
        self._position += 1
        if step.target == self._world.plan.workload.model:
            self._turns += 1
            self._attained += step.new_tokens + step.work
            self._last_server = server
        self._waits = 1 + len(step.children)
        self._world.events.after(step.pause_ms, self._one_done)
        for child in step.children:
            ProgramRun(self._world, child, list(self._context), self).start()

    def _one_done(self) -> None:
        self._waits -= 1
        if self._waits == 0:
            self._call()

    def job(self, call: _CallRun, failed: tuple[str, ...]) -> jobs.Job:
        """Returns what the leader knows of a call."""
        step = call.step
        model = step.target == self._world.plan.workload.model
        history = sum(segment.tokens for segment in self._context)
        shared = history - sum(segment.tokens for segment in self.own)
        return jobs.Job(
            key=call.key,
            kind="model" if model else "service",
            target=step.target,
            prompt_tokens=history + step.new_tokens if model else 0,
            history_tokens=history if model else 0,
            max_tokens=_MAX_TOKENS if model else 0,
            turns=self._turns,
            attained_tokens=self._attained,
            region=self.script.domain.region,
            last_server=self._last_server,
            deadline_ms=round(call.begun_ms) + self.script.deadline_ms,
            excluded_servers=failed,
            interactive=self.script.interactive,
            parent=self.parent.script.program if self.parent else "",
            shared_tokens=shared,
            is_allowed=self._world.allowed,
        )

    def chain(self, segment: Segment) -> list[Segment]:
        """Returns the context with a call's new segment."""
        return [*self._context, segment]

    def keep(self, segment: Segment) -> None:
        """Adds an answered turn to the context."""
        self.own.append(segment)
        self._context.append(segment)

    def new_in(self, region: str) -> int:
        """Returns the tokens of history that `region` has not seen yet."""
        if region in self._regions:
            return 0
        self._regions.add(region)
        return sum(segment.tokens for segment in self._context)


class _CallRun:
    """A call from its client to the last byte of its answer."""

    def __init__(self, world: World, run: ProgramRun, step: Step) -> None:
        self.step = step
        self.begun_ms = world.events.now_ms
        number = f"{run._position}"
        self.key = messages.CallKey(
            account=_ACCOUNT, program=run.script.program, request_id=number
        )
        self._world = world
        self._run = run
        self._failed: tuple[str, ...] = ()
        self._model = step.target == world.plan.workload.model
        self._segment = Segment(run.script.program, step.new_tokens)

    def ask(self) -> None:
        """Arrives at the leader."""
        self._world.submit(self._run.job(self, self._failed), self._decided)

    def _decided(self, decision: jobs.Decision) -> None:
        if isinstance(decision, jobs.Reject):
            self._world.outcome.refused += 1
            self._failed = ()
            wait = max(100, decision.retry_after_ms)
            self._world.events.after(wait, self.ask)
            return
        server = decision.server.report.server
        there = self._world.domain_of(server)
        here = self._run.script.domain
        size = _BYTES_PER_MESSAGE
        if here.region != there.region and self._model:
            tokens = self.step.new_tokens + self._run.new_in(there.region)
            size += round(tokens * _BYTES_PER_TOKEN)
        self._world.travel(
            self._world.leader_domain,
            here,
            _BYTES_PER_MESSAGE,
            lambda: self._world.travel(
                here, there, size, lambda: self._dispatch(server)
            ),
        )

    def _dispatch(self, server: str) -> None:
        chain = self._run.chain(self._segment) if self._model else []
        req = Request(
            chain,
            float(self.step.work),
            lambda ran: self._served(server, req, ran),
        )
        self._world.machines[server].submit(req)

    def _served(self, server: str, req: Request, ran: bool) -> None:
        there = self._world.domain_of(server)
        here = self._run.script.domain
        size = _BYTES_PER_MESSAGE
        usage = messages.Usage()
        if ran and self._model:
            size += self.step.work * _BYTES_PER_STREAMED_TOKEN
            self._run.keep(self._segment)
            context = sum(segment.tokens for segment in req.chain)
            usage = messages.Usage(
                prompt_tokens=context - self.step.work,
                completion_tokens=self.step.work,
                cached_tokens=req.cached_tokens,
            )
        self._world.travel(
            there,
            here,
            size,
            lambda: self._world.travel(
                here,
                self._world.leader_domain,
                _BYTES_PER_MESSAGE,
                lambda: self._finished(server, ran, usage),
            ),
        )

    def _finished(self, server: str, ran: bool, usage: messages.Usage) -> None:
        self._world.freed(self.key, usage)
        if not ran and self.step.idempotent:
            self._failed = (*self._failed, server)
            self.ask()
            return
        if not ran:
            # A non-idempotent call is answered with an unknown outcome.
            self._world.outcome.unknown += 1
        waited = self._world.events.now_ms - self.begun_ms
        if waited > self._run.script.deadline_ms:
            self._world.outcome.late += 1
        back = functools.partial(self._run.answered, self.step, server)
        self._world.travel(
            self._world.leader_domain,
            self._run.script.domain,
            _BYTES_PER_MESSAGE,
            lambda: self._world.events.after(_CLIENT_DELAY_MS, back),
        )
