"""Simulation of one run on a simulated clock.

Clients, entries and backend servers are simulated; the leader's scheduler is
the production code.
"""

from __future__ import annotations

import dataclasses
import functools
import random
from typing import TYPE_CHECKING

from bench import workloads
from bench.cache import CacheWaste, Segment
from bench.engine import Engine, Request, Service
from bench.events import EventLoop
from bench.link import Link
from catkinpin.core import messages
from catkinpin.core.placement import jobs, scheduler, servers

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.workloads import Domain, Script, ServerPlan, Step, Workload

_CLIENT_DELAY_MS = 3.0
_REGION_DELAY_MS = 8.0
_REPORT_INTERVAL_MS = 500
_REPORT_DELAY_RANGE_MS = (150, 450)
_REPORT_LOSS_SHARE = 0.05
_HELD_OMITTED_SHARE = 0.05
_TICK_INTERVAL_MS = 100
# Sizes on the link: prompt text is compressed; each streamed token is sent in
# a frame of its own.
_BYTES_PER_TOKEN = 1.6
_BYTES_PER_STREAMED_TOKEN = 30
_MESSAGE_OVERHEAD_BYTES = 700
_MAX_TOKENS = 1_024
_ACCOUNT = "user"


@dataclasses.dataclass(frozen=True)
class RunPlan:
    """Parameters of a run.

    Attributes:
        capacity_per_ms: capacity, in programs per millisecond.
        load: arrival rate as a share of capacity.
        arrivals_ms: how long new programs arrive.
        completion_timeout_ms: how long the run may last after the arrivals.
        lost: fault injected halfway through the arrivals: `server` or `domain`
            fails, `drain` stops new work for one server; empty for no fault.
        reports_idle: whether one server always reports that it is idle.
    """

    workload: Workload
    capacity_per_ms: float
    load: float
    seed: int
    arrivals_ms: int = 240_000
    completion_timeout_ms: int = 600_000
    lost: str = ""
    reports_idle: bool = False


@dataclasses.dataclass
class Outcome:
    """Results of a run; latencies are in milliseconds.

    Attributes:
        latencies: latency of each program without a parent.
        by_shape: the same latencies by shape of the program.
        refused: how many times the scheduler refused a call.
        late_calls: calls answered after their deadline.
        floors: lower bounds of the latencies: the time that the same programs
            take on idle servers that hold every prefix.
        unfinished: programs still active at the end of the run; `latencies`
            contains their time so far.
        unknown: non-idempotent calls with an unknown outcome.
    """

    latencies: list[float] = dataclasses.field(default_factory=list)
    by_shape: dict[str, list[float]] = dataclasses.field(default_factory=dict)
    waste: CacheWaste = dataclasses.field(default_factory=CacheWaste)
    link_bytes: int = 0
    refused: int = 0
    late_calls: int = 0
    floors: list[float] = dataclasses.field(default_factory=list)
    unfinished: int = 0
    unknown: int = 0


class World:
    """State and event handlers of a run."""

    def __init__(
        self,
        plan: RunPlan,
        make_scheduler: Callable[[servers.ServerView], scheduler.Scheduler],
    ) -> None:
        self.plan = plan
        self.events = EventLoop()
        self.outcome = Outcome()
        self.system = Segment("", plan.workload.system_tokens)
        self.leader_domain = plan.workload.domains[0]
        self._rng = random.Random(plan.seed)
        self._report_rng = random.Random(plan.seed + 1)
        self._view = servers.ServerView()
        self.scheduler = make_scheduler(self._view)
        self._links: dict[tuple[str, str], Link] = {}
        self._server_plans = {
            entry.name: entry for entry in plan.workload.servers
        }
        self.backends: dict[str, Engine | Service] = {
            name: self._make_backend(entry)
            for name, entry in self._server_plans.items()
        }
        self._decision_callbacks: dict[
            messages.CallKey, Callable[[jobs.Decision], None]
        ] = {}
        self._drained_servers: set[str] = set()
        self._active_runs: set[ProgramRun] = set()
        self._accepts_programs = True

    def run(self) -> Outcome:
        """Runs the simulation to its end and returns the results."""
        for name in self.backends:
            self._send_report(name)
        self.events.schedule(_TICK_INTERVAL_MS, self._run_tick)
        self.events.schedule(_REPORT_INTERVAL_MS, self._start_program)
        if self.plan.lost:
            self.events.schedule(self.plan.arrivals_ms / 2, self._inject_fault)
        end_ms = self.plan.arrivals_ms + self.plan.completion_timeout_ms
        self.events.run(
            end_ms, lambda: not self._accepts_programs and not self._active_runs
        )
        for run in self._active_runs:
            if run.parent is None:
                self.outcome.unfinished += 1
                self._record_latency(run)
        self.outcome.link_bytes = sum(
            link.sent_bytes for link in self._links.values()
        )
        return self.outcome

    def add_run(self, run: ProgramRun) -> None:
        """Adds a program to the active ones."""
        self._active_runs.add(run)

    def end_run(self, run: ProgramRun) -> None:
        """Ends a program and drops its segments from every cache.

        This happens under each variant alike.
        """
        self._active_runs.discard(run)
        self.scheduler.end_program(run.key)
        for backend in self.backends.values():
            if isinstance(backend, Engine):
                backend.cache.release(run.own_segments)
        if run.parent is None:
            self._record_latency(run)

    def submit(
        self, job: jobs.Job, callback: Callable[[jobs.Decision], None]
    ) -> None:
        """Submits a call to the leader's scheduler."""
        self._decision_callbacks[job.key] = callback
        self._handle_decisions(
            self.scheduler.submit(job, round(self.events.now_ms))
        )

    def end_attempt(self, key: messages.CallKey, usage: messages.Usage) -> None:
        """Reports the end of a call's attempt to the scheduler."""
        now_ms = round(self.events.now_ms)
        self._handle_decisions(self.scheduler.end_call(key, now_ms, usage))

    def send(
        self,
        source: Domain,
        destination: Domain,
        size_bytes: int,
        callback: Callable[[], None],
    ) -> None:
        """Sends a message and runs `callback` when it has arrived."""
        if source.region != destination.region:
            regions = (source.region, destination.region)
            if regions not in self._links:
                self._links[regions] = Link(self.events, _REGION_DELAY_MS)
            self._links[regions].send(size_bytes, callback)
        elif source != destination:
            self.events.schedule(self.plan.workload.domain_delay_ms, callback)
        else:
            self.events.schedule(0.0, callback)

    def _make_backend(self, plan: ServerPlan) -> Engine | Service:
        if plan.engine is not None:
            return Engine(self.events, plan.engine, self.outcome.waste)
        return Service(self.events, plan.slots)

    def _handle_decisions(self, decisions: list[jobs.Decision]) -> None:
        for decision in decisions:
            self._decision_callbacks.pop(decision.key)(decision)

    def _run_tick(self) -> None:
        now_ms = round(self.events.now_ms)
        self._view.forget_silent(now_ms)
        self._handle_decisions(self.scheduler.tick(now_ms))
        self.events.schedule(_TICK_INTERVAL_MS, self._run_tick)

    def _start_program(self) -> None:
        if self.events.now_ms > self.plan.arrivals_ms:
            self._accepts_programs = False
            return
        name = f"p{self.events.now_ms:.0f}-{self._rng.random():.9f}"
        script = self.plan.workload.make_script(self._rng, name)
        ProgramRun(self, script, [self.system], None).start()
        programs_per_ms = self.plan.capacity_per_ms * self.plan.load
        self.events.schedule(
            self._rng.expovariate(programs_per_ms), self._start_program
        )

    def _inject_fault(self) -> None:
        workload = self.plan.workload
        if self.plan.lost == "drain":
            self._drained_servers.add(workload.lost_server)
            return
        for name, backend in self.backends.items():
            domain = self._server_plans[name].domain.name
            fails = (
                name == workload.lost_server
                if self.plan.lost == "server"
                else domain == workload.lost_domain
            )
            if fails:
                backend.fail()

    def _send_report(self, name: str) -> None:
        backend = self.backends[name]
        if backend.failed:
            return
        delay_ms = self._report_rng.uniform(*_REPORT_DELAY_RANGE_MS)
        if self._report_rng.random() >= _REPORT_LOSS_SHARE:
            report = self._make_report(self._server_plans[name], backend)
            sent_ms = round(self.events.now_ms)
            self.events.schedule(
                delay_ms,
                functools.partial(self._view.apply_report, report, sent_ms),
            )
        self.events.schedule(
            _REPORT_INTERVAL_MS, functools.partial(self._send_report, name)
        )

    def _make_report(
        self, plan: ServerPlan, backend: Engine | Service
    ) -> messages.ServerReport:
        held: list[str] = []
        capacity, cache = plan.slots, 0
        if isinstance(backend, Engine):
            capacity = backend.spec.slots
            cache = backend.spec.cache_tokens
            held = [
                f"{_ACCOUNT}/{program}"
                for program in sorted(backend.cache.programs())
                if self._report_rng.random() >= _HELD_OMITTED_SHARE
            ]
        hides_load = (
            self.plan.reports_idle
            and plan.name == self.plan.workload.lost_server
        )
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
            running=0 if hides_load else backend.running,
            waiting=0 if hides_load else backend.waiting,
            held=held,
        )

    def is_allowed(self, report: messages.ServerReport) -> bool:
        """Returns whether a server isn't drained and so may get new calls."""
        return report.server not in self._drained_servers

    def domain_of(self, server: str) -> Domain:
        """Returns the failure domain of a server."""
        return self._server_plans[server].domain

    def _record_latency(self, run: ProgramRun) -> None:
        latency_ms = self.events.now_ms - run.started_ms
        self.outcome.latencies.append(latency_ms)
        floor_ms = workloads.floor_ms(self.plan.workload, run.script)
        self.outcome.floors.append(floor_ms)
        self.outcome.by_shape.setdefault(run.script.shape, []).append(
            latency_ms
        )


class ProgramRun:
    """A running program, which makes its calls one after another.

    Attributes:
        own_segments: segments that this program added to the context.
    """

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
        self.own_segments: list[Segment] = []
        self._world = world
        self._context = context
        self._next_step = 0
        self._turns = 0
        self._attained_tokens = 0
        self._last_server: str = (
            parent._last_server if parent is not None else ""
        )
        self._regions_with_context = {script.domain.region}
        if parent is not None:
            self._regions_with_context |= parent._regions_with_context
        self._pending_count = 0

    def start(self) -> None:
        """Registers the program and makes its first call."""
        self._world.add_run(self)
        self._start_next_call()

    def _start_next_call(self) -> None:
        if self._next_step == len(self.script.steps):
            self._world.end_run(self)
            if self.parent is not None:
                self.parent._finish_pending()
            return
        step = self.script.steps[self._next_step]
        world = self._world
        call = _CallRun(world, self, step)
        world.events.schedule(
            _CLIENT_DELAY_MS,
            lambda: world.send(
                self.script.domain,
                world.leader_domain,
                _MESSAGE_OVERHEAD_BYTES,
                call.submit,
            ),
        )

    def handle_answer(self, step: Step, server: str) -> None:
        """Starts the pause and the sub-agents that follow an answer."""
        self._next_step += 1
        if step.target == self._world.plan.workload.model:
            self._turns += 1
            self._attained_tokens += step.new_tokens + step.work
            self._last_server = server
        self._pending_count = 1 + len(step.children)
        self._world.events.schedule(step.pause_ms, self._finish_pending)
        for child in step.children:
            ProgramRun(self._world, child, list(self._context), self).start()

    def _finish_pending(self) -> None:
        self._pending_count -= 1
        if self._pending_count == 0:
            self._start_next_call()

    def make_job(
        self, call: _CallRun, failed_servers: tuple[str, ...]
    ) -> jobs.Job:
        """Returns the job that the leader's scheduler gets for a call."""
        step = call.step
        is_model_call = step.target == self._world.plan.workload.model
        history_tokens = sum(segment.tokens for segment in self._context)
        shared_tokens = history_tokens - sum(
            segment.tokens for segment in self.own_segments
        )
        return jobs.Job(
            key=call.key,
            kind="model" if is_model_call else "service",
            target=step.target,
            prompt_tokens=history_tokens + step.new_tokens
            if is_model_call
            else 0,
            history_tokens=history_tokens if is_model_call else 0,
            max_tokens=_MAX_TOKENS if is_model_call else 0,
            turns=self._turns,
            attained_tokens=self._attained_tokens,
            region=self.script.domain.region,
            last_server=self._last_server,
            deadline_ms=round(call.started_ms) + self.script.deadline_ms,
            excluded_servers=failed_servers,
            interactive=self.script.interactive,
            parent=self.parent.script.program if self.parent else "",
            shared_tokens=shared_tokens,
            is_allowed=self._world.is_allowed,
        )

    def context_with(self, segment: Segment) -> list[Segment]:
        """Returns the context followed by a call's new segment."""
        return [*self._context, segment]

    def append_segment(self, segment: Segment) -> None:
        """Appends the segment of an answered turn to the context."""
        self.own_segments.append(segment)
        self._context.append(segment)

    def mark_sent(self, region: str) -> int:
        """Marks the context as sent to a region.

        Returns:
            The number of context tokens that must be sent, 0 if the region
            has been marked before.
        """
        if region in self._regions_with_context:
            return 0
        self._regions_with_context.add(region)
        return sum(segment.tokens for segment in self._context)


class _CallRun:
    """A call, from the client's request to the end of the answer."""

    def __init__(self, world: World, run: ProgramRun, step: Step) -> None:
        self.step = step
        self.started_ms = world.events.now_ms
        request_id = f"{run._next_step}"
        self.key = messages.CallKey(
            account=_ACCOUNT, program=run.script.program, request_id=request_id
        )
        self._world = world
        self._run = run
        self._failed_servers: tuple[str, ...] = ()
        self._is_model_call = step.target == world.plan.workload.model
        self._segment = Segment(run.script.program, step.new_tokens)

    def submit(self) -> None:
        """Submits the call to the leader."""
        self._world.submit(
            self._run.make_job(self, self._failed_servers),
            self._handle_decision,
        )

    def _handle_decision(self, decision: jobs.Decision) -> None:
        if isinstance(decision, jobs.Reject):
            self._world.outcome.refused += 1
            self._failed_servers = ()
            delay_ms = max(100, decision.retry_after_ms)
            self._world.events.schedule(delay_ms, self.submit)
            return
        server = decision.server.report.server
        server_domain = self._world.domain_of(server)
        client_domain = self._run.script.domain
        size_bytes = _MESSAGE_OVERHEAD_BYTES
        if client_domain.region != server_domain.region and self._is_model_call:
            tokens = self.step.new_tokens + self._run.mark_sent(
                server_domain.region
            )
            size_bytes += round(tokens * _BYTES_PER_TOKEN)
        self._world.send(
            self._world.leader_domain,
            client_domain,
            _MESSAGE_OVERHEAD_BYTES,
            lambda: self._world.send(
                client_domain,
                server_domain,
                size_bytes,
                lambda: self._dispatch(server),
            ),
        )

    def _dispatch(self, server: str) -> None:
        segments = (
            self._run.context_with(self._segment) if self._is_model_call else []
        )
        req = Request(
            segments,
            float(self.step.work),
            lambda ran: self._handle_result(server, req, ran),
        )
        self._world.backends[server].submit(req)

    def _handle_result(self, server: str, req: Request, ran: bool) -> None:
        server_domain = self._world.domain_of(server)
        client_domain = self._run.script.domain
        size_bytes = _MESSAGE_OVERHEAD_BYTES
        usage = messages.Usage()
        if ran and self._is_model_call:
            size_bytes += self.step.work * _BYTES_PER_STREAMED_TOKEN
            self._run.append_segment(self._segment)
            context = sum(segment.tokens for segment in req.segments)
            usage = messages.Usage(
                prompt_tokens=context - self.step.work,
                completion_tokens=self.step.work,
                cached_tokens=req.cached_tokens,
            )
        self._world.send(
            server_domain,
            client_domain,
            size_bytes,
            lambda: self._world.send(
                client_domain,
                self._world.leader_domain,
                _MESSAGE_OVERHEAD_BYTES,
                lambda: self._end_attempt(server, ran, usage),
            ),
        )

    def _end_attempt(
        self, server: str, ran: bool, usage: messages.Usage
    ) -> None:
        self._world.end_attempt(self.key, usage)
        if not ran and self.step.idempotent:
            self._failed_servers = (*self._failed_servers, server)
            self.submit()
            return
        if not ran:
            # The client is told that the outcome of a non-idempotent call is
            # unknown; the call isn't retried.
            self._world.outcome.unknown += 1
        latency_ms = self._world.events.now_ms - self.started_ms
        if latency_ms > self._run.script.deadline_ms:
            self._world.outcome.late_calls += 1
        deliver = functools.partial(self._run.handle_answer, self.step, server)
        self._world.send(
            self._world.leader_domain,
            self._run.script.domain,
            _MESSAGE_OVERHEAD_BYTES,
            lambda: self._world.events.schedule(_CLIENT_DELAY_MS, deliver),
        )
