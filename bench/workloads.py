"""Both users' hosts, servers and programs at today's sizes.

The brief gives the failure domains, delays, link and server counts. The sizes
of engines and programs are assumptions; they stand here, in one place.
"""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from bench.engine import EngineShape

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclasses.dataclass(frozen=True)
class Domain:
    """A failure domain."""

    name: str
    region: str


@dataclasses.dataclass(frozen=True)
class ServerPlan:
    """A backend server to run; `slots` counts only for services."""

    name: str
    target: str
    domain: Domain
    engine: EngineShape | None = None
    slots: int = 0


@dataclasses.dataclass
class Step:
    """One call of a program and what follows it.

    Attributes:
        new_tokens: what the call adds to the context.
        work: tokens to generate, or milliseconds of a service's work.
        pause_ms: a tool's run or a person's reading, before the next call.
        children: sub-agents that start from the context after this call; the
            next call waits for their ends.
    """

    target: str
    new_tokens: int = 0
    work: int = 0
    pause_ms: int = 0
    idempotent: bool = True
    children: list[Script] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Script:
    """What a program will do; no scheduler gets to see it.

    Attributes:
        shape: `long`, `short` or `child`, for the tables.
        interactive: whether someone stands at a screen.
        deadline_ms: for each call.
    """

    program: str
    shape: str
    domain: Domain
    interactive: bool
    deadline_ms: int
    steps: list[Step]


@dataclasses.dataclass(frozen=True)
class Workload:
    """A user's servers and programs.

    Attributes:
        domain_delay_ms: one way between failure domains of a region.
        system_tokens: the prompt that all programs begin with.
        make: returns the next program.
        lost_server: the server that fails in runs with a lost server.
        lost_domain: the failure domain that fails in such runs.
    """

    name: str
    domain_delay_ms: float
    servers: list[ServerPlan]
    system_tokens: int
    make: Callable[[random.Random, str], Script]
    model: str
    lost_server: str
    lost_domain: str

    @property
    def domains(self) -> list[Domain]:
        """Every failure domain with servers, in the order of the servers."""
        return list(dict.fromkeys(plan.domain for plan in self.servers))


def ruegg() -> Workload:
    """Long advisory sessions with sub-agents among short checks."""
    zh_a = Domain("zh-a", "ch-nord")
    zh_b = Domain("zh-b", "ch-nord")
    ge_a = Domain("ge-a", "ch-west")
    shape = EngineShape(slots=24, cache_tokens=280_000)
    domains = [zh_a, zh_a, zh_b, zh_b, ge_a]
    servers = [
        ServerPlan(f"berater-{number}", "berater", domain, shape)
        for number, domain in enumerate(domains, 1)
    ]
    servers += [
        ServerPlan(f"melder-{number}", "melder", domain, slots=12)
        for number, domain in enumerate([zh_a, zh_b, ge_a], 1)
    ]
    clients = [zh_a, zh_a, zh_b, zh_b, ge_a]

    def make(rng: random.Random, program: str) -> Script:
        domain = rng.choice(clients)
        if rng.random() < 0.55:
            return _check(rng, program, domain)
        return _advisory(rng, program, domain)

    return Workload(
        "ruegg",
        1.5,
        servers,
        1_500,
        make,
        "berater",
        lost_server="berater-2",
        lost_domain="zh-b",
    )


def kunci() -> Workload:
    """Customers at a screen, payments and cutting orders, staff guidance."""
    kl_north = Domain("kl-north", "klang-valley")
    kl_south = Domain("kl-south", "klang-valley")
    pg = Domain("pg-island", "penang")
    shape = EngineShape(slots=16, cache_tokens=72_000)
    domains = [kl_north] * 4 + [kl_south] * 3 + [pg] * 2
    servers = [
        ServerPlan(f"agent-{number}", "agent-models", domain, shape)
        for number, domain in enumerate(domains, 1)
    ]
    kiosks = [kl_north, kl_north, kl_south, kl_south, pg]
    servers += [
        ServerPlan(f"kiosk-{number}", "kiosk-app", domain, slots=60)
        for number, domain in enumerate(kiosks, 1)
    ]

    def make(rng: random.Random, program: str) -> Script:
        domain = rng.choice(domains)
        if rng.random() < 0.75:
            return _customer(rng, program, domain)
        return _guidance(rng, program, domain)

    return Workload(
        "kunci",
        0.5,
        servers,
        1_200,
        make,
        "agent-models",
        lost_server="agent-2",
        lost_domain="kl-south",
    )


def _around(rng: random.Random, middle: float, spread: float = 0.6) -> int:
    """Returns a value around a median, with a long upper tail."""
    return max(1, round(rng.lognormvariate(0.0, spread) * middle))


def _check(rng: random.Random, program: str, domain: Domain) -> Script:
    steps = [
        Step("berater", 1_500, _around(rng, 150), _around(rng, 600))
        for _ in range(rng.randint(1, 3))
    ]
    if rng.random() < 0.3:
        steps.append(Step("melder", work=_around(rng, 120), idempotent=False))
    return Script(program, "short", domain, False, 120_000, steps)


def _advisory(rng: random.Random, program: str, domain: Domain) -> Script:
    steps = []
    for turn in range(min(60, 4 + _around(rng, 10, 0.8))):
        pause = _around(rng, 1_200, 1.0)
        step = Step("berater", _around(rng, 800), _around(rng, 180), pause)
        if turn == 0:
            step.new_tokens += _around(rng, 5_000)
        if rng.random() < 0.08:
            step.children = [
                _sub_agent(rng, f"{program}/{turn}-{child}", domain)
                for child in range(rng.randint(2, 4))
            ]
        steps.append(step)
        if rng.random() < 0.06:
            steps.append(
                Step("melder", work=_around(rng, 120), idempotent=False)
            )
    return Script(program, "long", domain, False, 180_000, steps)


def _sub_agent(rng: random.Random, program: str, domain: Domain) -> Script:
    steps = [
        Step("berater", _around(rng, 700), _around(rng, 140), _around(rng, 800))
        for _ in range(rng.randint(1, 4))
    ]
    return Script(program, "child", domain, False, 180_000, steps)


def _customer(rng: random.Random, program: str, domain: Domain) -> Script:
    steps = [
        Step("agent-models", _around(rng, 500), _around(rng, 90), 0)
        for _ in range(rng.randint(3, 7))
    ]
    for step in steps:
        step.pause_ms = _around(rng, 1_500, 0.8)
    payment = Step("kiosk-app", work=_around(rng, 700, 0.3), idempotent=False)
    cut = Step("kiosk-app", work=_around(rng, 4_000, 0.3), idempotent=False)
    steps[-1:-1] = [payment, cut]
    return Script(program, "short", domain, True, 45_000, steps)


def _guidance(rng: random.Random, program: str, domain: Domain) -> Script:
    steps = []
    for _ in range(min(40, 5 + _around(rng, 9, 0.7))):
        pause = _around(rng, 2_500, 0.8)
        steps.append(
            Step("agent-models", _around(rng, 450), _around(rng, 130), pause)
        )
    return Script(program, "long", domain, False, 90_000, steps)


WORKLOADS = {"ruegg": ruegg, "kunci": kunci}

_SAMPLES = 400
_BUSY_SHARE = 0.75


@dataclasses.dataclass
class _Need:
    """What programs need of engines, summed over samples.

    Attributes:
        busy_ms: engine time with every prefix computed once.
        held: token-milliseconds of memory while calls run.
        pauses: each pause's length and its token-milliseconds of memory.
    """

    busy_ms: float = 0.0
    held: float = 0.0
    pauses: list[tuple[float, float]] = dataclasses.field(default_factory=list)


def capacity(workload: Workload) -> float:
    """Returns the programs a millisecond that the engines can carry at most.

    Requests are spread evenly. Every prefix is computed once and kept, but
    for those in the longest pauses: they are dropped and computed again, as
    many as make the engines' time and their memory full at the same load. No
    scheduler can reach this, as none knows the pauses' lengths.
    """
    rng = random.Random(0)
    engines = [plan.engine for plan in workload.servers if plan.engine]
    shape = engines[0]
    need = _Need()
    for number in range(_SAMPLES):
        script = workload.make(rng, f"sample-{number}")
        _add_need(need, workload, script, shape, 0)
    room = shape.cache_tokens - workload.system_tokens
    held = need.held + sum(tokens for _, tokens in need.pauses)
    busy = need.busy_ms
    for pause_ms, tokens in sorted(need.pauses, reverse=True):
        if busy >= held / room:
            break
        held -= tokens
        busy += tokens / pause_ms / shape.prefill_per_ms
    return _SAMPLES * len(engines) / max(busy, held / room)


def _add_need(
    need: _Need,
    workload: Workload,
    script: Script,
    shape: EngineShape,
    shared: int,
) -> float:
    """Adds what a program needs and returns how long it lasts."""
    context = 0
    duration = 0.0
    gap = shape.gap(round(shape.slots * _BUSY_SHARE))
    full = shape.gap(shape.slots) / shape.slots
    for step in script.steps:
        pause_ms = float(step.pause_ms)
        if step.target == workload.model:
            context += step.new_tokens + step.work
            prefill = step.new_tokens / shape.prefill_per_ms
            need.busy_ms += prefill + step.work * full
            lasts = prefill + step.work * gap
            need.held += context * lasts
            duration += lasts
        else:
            pause_ms += step.work
        for child in step.children:
            lasts = _add_need(need, workload, child, shape, context + shared)
            pause_ms = max(pause_ms, lasts)
        need.pauses.append((pause_ms, context * pause_ms))
        duration += pause_ms
    return duration


def floor_ms(workload: Workload, script: Script) -> float:
    """Returns how long a program takes on idle servers, all prefixes held."""
    shape = next(plan.engine for plan in workload.servers if plan.engine)
    total = 0.0
    for step in script.steps:
        if step.target == workload.model:
            total += step.new_tokens / shape.prefill_per_ms
            total += step.work * shape.gap(1)
        else:
            total += step.work
        lasts = [floor_ms(workload, child) for child in step.children]
        total += max([float(step.pause_ms), *lasts])
    return total
