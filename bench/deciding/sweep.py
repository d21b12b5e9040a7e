"""Deployments drawn by lot, so that no policy is fitted to a known one."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec
import numpy as np

from bench.deciding import draws, policies
from bench.deciding.scenario import (
    Domain,
    EngineShape,
    ProgramShape,
    Scenario,
    ServiceShape,
    Tool,
    Trouble,
    TroubleKind,
)

if TYPE_CHECKING:
    from typing import Any

# Programs in one play at most, so that a play takes some seconds.
_MAX_PROGRAMS = 500
_DOMAINS = 3
_WORST_SHARE = 0.1


def draw(seed: int) -> Scenario:
    """Returns a deployment under a load and a disturbance of its own."""
    rng = np.random.default_rng([seed, 7])
    engines = round(_log(rng, 3, 30))
    gateways = max(_DOMAINS, round(_log(rng, 3, 200)))
    shared = float(rng.choice([0, 1_000, 2_560, 6_000, 12_600]))
    programs = _programs(rng, max(1, int(shared)))
    slots = round(_log(rng, 4, 64))
    whole = max(
        one.shared_tokens + 2 * one.turns * (one.new_tokens + one.out_tokens)
        for one in programs
    )
    engine = EngineShape(
        slots=slots,
        memory_tokens=round(whole * _log(rng, 3, 40)),
        read_per_ms=_log(rng, 20, 300),
        step_ms=_log(rng, 0.5, 10),
        step_ms_per_slot=_log(rng, 0.01, 0.1),
        factors=(1.0, 1.0, float(rng.choice([1.0, 1.3, 2.0]))),
    )
    domains = [
        Domain(
            name=f"d{number}",
            region="r0" if number < _DOMAINS - 1 else "r1",
            gateways=_share(gateways, number),
            engines=_share(engines, number),
            services=_share(engines + 3, number),
        )
        for number in range(_DOMAINS)
    ]
    return _fitted(
        Scenario(
            name=f"drawn-{seed}",
            domains=domains,
            engine=engine,
            programs=programs,
            service=ServiceShape(slots=64, queue=256),
            load=float(rng.uniform(0.5, 1.5)),
            seconds=20.0,
            troubles=_troubles(rng),
        )
    )


def summary(rows: list[dict[str, Any]]) -> str:
    """Returns a table of payoffs as parts of the oracle's."""
    by: dict[str, dict[str, float]] = {}
    for row in rows:
        by.setdefault(row["scenario"], {})[row["variant"]] = float(
            row["payoff"]
        )
    lines = [f"{len(by)} deployments, payoff as a part of the oracle's"]
    variants = [v for v in next(iter(by.values())) if v != policies.ORACLE]
    for variant in variants:
        parts = np.array(
            [
                one[variant] / max(one[policies.ORACLE], 1e-9)
                for one in by.values()
            ]
        )
        lines.append(
            f"  {variant:20} median {np.median(parts):.3f}"
            f"  worst tenth {np.quantile(parts, _WORST_SHARE):.3f}"
            f"  mean {parts.mean():.3f}  least {parts.min():.3f}"
        )
    return "\n".join(lines)


def _fitted(scenario: Scenario) -> Scenario:
    """Shortens a play that would have too many programs."""
    per_s = scenario.load * draws.capacity(scenario) * 1_000
    seconds = min(scenario.seconds, _MAX_PROGRAMS / per_s)
    return msgspec.structs.replace(scenario, seconds=max(seconds, 3.0))


def _programs(rng: np.random.Generator, shared: int) -> list[ProgramShape]:
    tools = [
        Tool(name="look", work_ms=40, share=0.7, repeatable=True),
        Tool(name="act", work_ms=120, share=0.3),
    ]
    out = round(_log(rng, 20, 250))
    new = round(_log(rng, 300, 2_000))
    aim = float(rng.uniform(1.5, 2.5))
    return [
        ProgramShape(
            name=name,
            weight=weight,
            turns=turns,
            shared_tokens=shared,
            new_tokens=new,
            out_tokens=out,
            aim_times=aim,
            payoff=payoff,
            late_payoff=payoff / 2,
            tools=tools,
        )
        for name, weight, turns, payoff in (
            ("short", 0.8, 3.0, 3.0),
            ("long", 0.2, 9.0, 10.0),
        )
    ]


def _troubles(rng: np.random.Generator) -> list[Trouble]:
    kinds = [None, *TroubleKind]
    kind = kinds[int(rng.integers(len(kinds)))]
    if kind is None:
        return []
    return [
        Trouble(
            kind=kind,
            at_s=6.0,
            for_s=float(rng.uniform(2, 6)),
            share=float(rng.uniform(0.1, 0.4)),
            times=float(rng.uniform(1.5, 4.0)),
        )
    ]


def _log(rng: np.random.Generator, least: float, most: float) -> float:
    """Returns a draw that is uniform in its logarithm."""
    return math.exp(rng.uniform(math.log(least), math.log(most)))


def _share(total: int, number: int) -> int:
    return total // _DOMAINS + (number < total % _DOMAINS)
