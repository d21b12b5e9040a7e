"""Workloads of both users: failure domains, servers and programs.

The failure domains, delays, link and server counts are specified by the users
and are their present ones. The sizes of engines and programs are assumptions;
all of them are defined in this module.
"""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from bench.engine import EngineSpec

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Domain:
    """A failure domain."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class ServerPlan:
    """A backend server to simulate; `slots` is used for services only."""

    name: str
    target: str
    domain: Domain
    engine: EngineSpec | None = None
    slots: int = 0


@dataclasses.dataclass
class Step:
    """One call of a program, with the pause and the sub-agents after it.

    Attributes:
        new_tokens: prompt tokens that the call adds to the context.
        work: tokens to generate, or milliseconds of a service's work.
        pause_ms: time before the next call, while a tool runs or a person
            reads.
        children: sub-agents that start with the context after this call; the
            next call starts after all of them have ended.
    """

    target: str
    new_tokens: int = 0
    work: int = 0
    pause_ms: int = 0
    idempotent: bool = True
    children: list[Script] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Script:
    """All calls of a program; no scheduler has access to it.

    Attributes:
        shape: `long`, `short` or `child`; the tables group by it.
        interactive: whether a person waits for the answers at a screen.
        deadline_ms: time limit of each call.
    """

    program: str
    shape: str
    domain: Domain
    interactive: bool
    deadline_ms: int
    steps: list[Step]


@dataclasses.dataclass(frozen=True)
class Workload:
    """The servers and programs of a user.

    Attributes:
        domain_delay_ms: one-way delay between failure domains of a region.
        system_tokens: size of the system prompt that all programs share.
        make_script: returns the script of a new program with the given id.
        model: target of the model calls.
        lost_server: the server that a fault affects: it fails, is drained or
            reports wrongly that it is idle.
        lost_domain: the failure domain that fails in runs with such a fault.
    """

    name: str
    domain_delay_ms: float
    servers: list[ServerPlan]
    system_tokens: int
    make_script: Callable[[random.Random, str], Script]
    model: str
    lost_server: str
    lost_domain: str

    @property
    def domains(self) -> list[Domain]:
        """Failure domains that have servers, in the order of the servers."""
        return list(dict.fromkeys(plan.domain for plan in self.servers))


def ruegg() -> Workload:
    """Returns a workload of long advisory sessions and short checks.

    Some turns of the sessions start sub-agents.
    """
    zh_a = Domain("zh-a", "ch-nord")
    zh_b = Domain("zh-b", "ch-nord")
    ge_a = Domain("ge-a", "ch-west")
    spec = EngineSpec(slots=24, cache_tokens=280_000)
    domains = [zh_a, zh_a, zh_b, zh_b, ge_a]
    servers = [
        ServerPlan(f"berater-{number}", "berater", domain, spec)
        for number, domain in enumerate(domains, 1)
    ]
    servers += [
        ServerPlan(f"melder-{number}", "melder", domain, slots=12)
        for number, domain in enumerate([zh_a, zh_b, ge_a], 1)
    ]
    clients = [zh_a, zh_a, zh_b, zh_b, ge_a]

    def make_script(rng: random.Random, program: str) -> Script:
        domain = rng.choice(clients)
        if rng.random() < 0.55:
            return _make_check(rng, program, domain)
        return _make_advisory_session(rng, program, domain)

    return Workload(
        "ruegg",
        1.5,
        servers,
        1_500,
        make_script,
        "berater",
        lost_server="berater-2",
        lost_domain="zh-b",
    )


def kunci() -> Workload:
    """Returns a workload of customers at a screen and of staff guidance.

    Customers' programs make payments and cutting orders.
    """
    kl_north = Domain("kl-north", "klang-valley")
    kl_south = Domain("kl-south", "klang-valley")
    pg = Domain("pg-island", "penang")
    spec = EngineSpec(slots=16, cache_tokens=72_000)
    domains = [kl_north] * 4 + [kl_south] * 3 + [pg] * 2
    servers = [
        ServerPlan(f"agent-{number}", "agent-models", domain, spec)
        for number, domain in enumerate(domains, 1)
    ]
    kiosks = [kl_north, kl_north, kl_south, kl_south, pg]
    servers += [
        ServerPlan(f"kiosk-{number}", "kiosk-app", domain, slots=60)
        for number, domain in enumerate(kiosks, 1)
    ]

    def make_script(rng: random.Random, program: str) -> Script:
        domain = rng.choice(domains)
        if rng.random() < 0.75:
            return _make_customer_visit(rng, program, domain)
        return _make_guidance(rng, program, domain)

    return Workload(
        "kunci",
        0.5,
        servers,
        1_200,
        make_script,
        "agent-models",
        lost_server="agent-2",
        lost_domain="kl-south",
    )


def _lognormal(rng: random.Random, median: float, sigma: float = 0.6) -> int:
    """Returns a log-normally distributed integer of at least 1."""
    return max(1, round(rng.lognormvariate(0.0, sigma) * median))


def _make_check(rng: random.Random, program: str, domain: Domain) -> Script:
    steps = [
        Step("berater", 1_500, _lognormal(rng, 150), _lognormal(rng, 600))
        for _ in range(rng.randint(1, 3))
    ]
    if rng.random() < 0.3:
        steps.append(
            Step("melder", work=_lognormal(rng, 120), idempotent=False)
        )
    return Script(program, "short", domain, False, 120_000, steps)


def _make_advisory_session(
    rng: random.Random, program: str, domain: Domain
) -> Script:
    steps = []
    for turn in range(min(60, 4 + _lognormal(rng, 10, 0.8))):
        pause_ms = _lognormal(rng, 1_200, 1.0)
        step = Step(
            "berater", _lognormal(rng, 800), _lognormal(rng, 180), pause_ms
        )
        if turn == 0:
            step.new_tokens += _lognormal(rng, 5_000)
        if rng.random() < 0.08:
            step.children = [
                _make_sub_agent(rng, f"{program}/{turn}-{child}", domain)
                for child in range(rng.randint(2, 4))
            ]
        steps.append(step)
        if rng.random() < 0.06:
            steps.append(
                Step("melder", work=_lognormal(rng, 120), idempotent=False)
            )
    return Script(program, "long", domain, False, 180_000, steps)


def _make_sub_agent(rng: random.Random, program: str, domain: Domain) -> Script:
    steps = [
        Step(
            "berater",
            _lognormal(rng, 700),
            _lognormal(rng, 140),
            _lognormal(rng, 800),
        )
        for _ in range(rng.randint(1, 4))
    ]
    return Script(program, "child", domain, False, 180_000, steps)


def _make_customer_visit(
    rng: random.Random, program: str, domain: Domain
) -> Script:
    steps = [
        Step("agent-models", _lognormal(rng, 500), _lognormal(rng, 90), 0)
        for _ in range(rng.randint(3, 7))
    ]
    for step in steps:
        step.pause_ms = _lognormal(rng, 1_500, 0.8)
    payment = Step(
        "kiosk-app", work=_lognormal(rng, 700, 0.3), idempotent=False
    )
    cutting_order = Step(
        "kiosk-app", work=_lognormal(rng, 4_000, 0.3), idempotent=False
    )
    steps[-1:-1] = [payment, cutting_order]
    return Script(program, "short", domain, True, 45_000, steps)


def _make_guidance(rng: random.Random, program: str, domain: Domain) -> Script:
    steps = []
    for _ in range(min(40, 5 + _lognormal(rng, 9, 0.7))):
        pause_ms = _lognormal(rng, 2_500, 0.8)
        steps.append(
            Step(
                "agent-models",
                _lognormal(rng, 450),
                _lognormal(rng, 130),
                pause_ms,
            )
        )
    return Script(program, "long", domain, False, 90_000, steps)


WORKLOADS = {"ruegg": ruegg, "kunci": kunci}

_SAMPLE_COUNT = 400
_BUSY_SLOT_SHARE = 0.75


@dataclasses.dataclass
class _Demand:
    """Engine time and memory that the sample programs need in total.

    Attributes:
        engine_ms: engine time if every prefix is computed once.
        memory_token_ms: memory while calls run, in token-milliseconds.
        pauses: length of each pause and the memory to keep the context during
            it, in token-milliseconds.
    """

    engine_ms: float = 0.0
    memory_token_ms: float = 0.0
    pauses: list[tuple[float, float]] = dataclasses.field(default_factory=list)


def capacity(workload: Workload) -> float:
    """Returns the highest possible throughput, in programs per millisecond.

    Assumes that requests are spread evenly and that every prefix is computed
    once and kept, except during the longest pauses: those prefixes are evicted
    and computed again, just as many as let engine time and memory reach their
    limits at the same load. No scheduler can reach this throughput, because
    none knows the lengths of the pauses.
    """
    rng = random.Random(0)
    engines = [plan.engine for plan in workload.servers if plan.engine]
    spec = engines[0]
    demand = _Demand()
    for number in range(_SAMPLE_COUNT):
        script = workload.make_script(rng, f"sample-{number}")
        _add_demand(demand, workload, script, spec, 0)
    capacity_tokens = spec.cache_tokens - workload.system_tokens
    memory_token_ms = demand.memory_token_ms + sum(
        tokens for _, tokens in demand.pauses
    )
    engine_ms = demand.engine_ms
    for pause_ms, tokens in sorted(demand.pauses, reverse=True):
        if engine_ms >= memory_token_ms / capacity_tokens:
            break
        memory_token_ms -= tokens
        engine_ms += tokens / pause_ms / spec.prefill_tokens_per_ms
    return (
        _SAMPLE_COUNT
        * len(engines)
        / max(engine_ms, memory_token_ms / capacity_tokens)
    )


def _add_demand(
    demand: _Demand,
    workload: Workload,
    script: Script,
    spec: EngineSpec,
    shared_tokens: int,
) -> float:
    """Adds the demand of a program and returns its duration in milliseconds."""
    context_tokens = 0
    total_ms = 0.0
    token_interval_ms = spec.token_interval_ms(
        round(spec.slots * _BUSY_SLOT_SHARE)
    )
    full_batch_token_ms = spec.token_interval_ms(spec.slots) / spec.slots
    for step in script.steps:
        pause_ms = float(step.pause_ms)
        if step.target == workload.model:
            context_tokens += step.new_tokens + step.work
            prefill_ms = step.new_tokens / spec.prefill_tokens_per_ms
            demand.engine_ms += prefill_ms + step.work * full_batch_token_ms
            duration_ms = prefill_ms + step.work * token_interval_ms
            demand.memory_token_ms += context_tokens * duration_ms
            total_ms += duration_ms
        else:
            pause_ms += step.work
        for child in step.children:
            duration_ms = _add_demand(
                demand, workload, child, spec, context_tokens + shared_tokens
            )
            pause_ms = max(pause_ms, duration_ms)
        demand.pauses.append((pause_ms, context_tokens * pause_ms))
        total_ms += pause_ms
    return total_ms


def floor_ms(workload: Workload, script: Script) -> float:
    """Returns the duration of a program on idle servers with full caches.

    Every prefix is in the cache: this is the lower bound of the latency.
    """
    spec = next(plan.engine for plan in workload.servers if plan.engine)
    total_ms = 0.0
    for step in script.steps:
        if step.target == workload.model:
            total_ms += step.new_tokens / spec.prefill_tokens_per_ms
            total_ms += step.work * spec.token_interval_ms(1)
        else:
            total_ms += step.work
        children_ms = [floor_ms(workload, child) for child in step.children]
        total_ms += max([float(step.pause_ms), *children_ms])
    return total_ms
