"""Simulation of one run on a simulated clock.

Clients, entries and backend servers are simulated; the leader's scheduler is
the production code.
"""

from __future__ import annotations

import dataclasses
import functools
import random
from typing import TYPE_CHECKING

from bench import programrun, workloads
from bench.cache import CacheWaste, Segment
from bench.engine import Engine, Service
from bench.events import EventLoop
from bench.link import Link
from catkinpin.core import messages
from catkinpin.core.placement import jobs, scheduler, servers

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.programrun import ProgramRun
    from bench.workloads import Domain, ServerPlan, Workload

_REGION_DELAY_MS = 8.0
_REPORT_INTERVAL_MS = 500
_REPORT_DELAY_RANGE_MS = (150, 450)
_REPORT_LOSS_SHARE = 0.05
_HELD_OMITTED_SHARE = 0.05
_TICK_INTERVAL_MS = 100


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
        programrun.ProgramRun(self, script, [self.system], None).start()
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
                f"{programrun.ACCOUNT}/{program}"
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
