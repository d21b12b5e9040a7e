"""Random deployments, so that no policy is fitted to a known one."""

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

# Upper bound of programs in a run, so that a run takes a few seconds.
_MAX_PROGRAMS = 500
_DOMAIN_COUNT = 3
_WORST_QUANTILE = 0.1


def draw(seed: int) -> Scenario:
    """Returns a random deployment, load, and fault or load change."""
    rng = np.random.default_rng([seed, 7])
    engines = round(_draw_log_uniform(rng, 3, 30))
    gateways = max(_DOMAIN_COUNT, round(_draw_log_uniform(rng, 3, 200)))
    shared = float(rng.choice([0, 1_000, 2_560, 6_000, 12_600]))
    programs = _draw_programs(rng, max(1, int(shared)))
    slots = round(_draw_log_uniform(rng, 4, 64))
    large_prompt_tokens = max(
        one.shared_tokens + 2 * one.turns * (one.new_tokens + one.out_tokens)
        for one in programs
    )
    engine = EngineShape(
        slots=slots,
        memory_tokens=round(
            large_prompt_tokens * _draw_log_uniform(rng, 3, 40)
        ),
        read_per_ms=_draw_log_uniform(rng, 20, 300),
        step_ms=_draw_log_uniform(rng, 0.5, 10),
        step_ms_per_slot=_draw_log_uniform(rng, 0.01, 0.1),
        factors=(1.0, 1.0, float(rng.choice([1.0, 1.3, 2.0]))),
    )
    domains = [
        Domain(
            name=f"d{number}",
            region="r0" if number < _DOMAIN_COUNT - 1 else "r1",
            gateways=_domain_share(gateways, number),
            engines=_domain_share(engines, number),
            services=_domain_share(engines + 3, number),
        )
        for number in range(_DOMAIN_COUNT)
    ]
    return _limit_programs(
        Scenario(
            name=f"drawn-{seed}",
            domains=domains,
            engine=engine,
            programs=programs,
            service=ServiceShape(slots=64, queue=256),
            load=float(rng.uniform(0.5, 1.5)),
            seconds=20.0,
            troubles=_draw_troubles(rng),
        )
    )


def summary(rows: list[dict[str, Any]]) -> str:
    """Returns a table of payoffs as shares of the oracle's payoff."""
    by_scenario: dict[str, dict[str, float]] = {}
    for row in rows:
        by_scenario.setdefault(row["scenario"], {})[row["variant"]] = float(
            row["payoff"]
        )
    lines = [
        f"{len(by_scenario)} deployments, payoff as a part of the oracle's"
    ]
    variants = [
        v for v in next(iter(by_scenario.values())) if v != policies.ORACLE
    ]
    for variant in variants:
        payoff_shares = np.array(
            [
                one[variant] / max(one[policies.ORACLE], 1e-9)
                for one in by_scenario.values()
            ]
        )
        lines.append(
            f"  {variant:20} median {np.median(payoff_shares):.3f}"
            f"  worst tenth {np.quantile(payoff_shares, _WORST_QUANTILE):.3f}"
            f"  mean {payoff_shares.mean():.3f}"
            f"  least {payoff_shares.min():.3f}"
        )
    return "\n".join(lines)


def _limit_programs(scenario: Scenario) -> Scenario:
    """Shortens a scenario that would have too many programs."""
    per_s = scenario.load * draws.capacity(scenario) * 1_000
    seconds = min(scenario.seconds, _MAX_PROGRAMS / per_s)
    return msgspec.structs.replace(scenario, seconds=max(seconds, 3.0))


def _draw_programs(rng: np.random.Generator, shared: int) -> list[ProgramShape]:
    tools = [
        Tool(name="look", work_ms=40, share=0.7, repeatable=True),
        Tool(name="act", work_ms=120, share=0.3),
    ]
    out = round(_draw_log_uniform(rng, 20, 250))
    new = round(_draw_log_uniform(rng, 300, 2_000))
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


def _draw_troubles(rng: np.random.Generator) -> list[Trouble]:
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


def _draw_log_uniform(
    rng: np.random.Generator, least: float, most: float
) -> float:
    """Returns a draw that is uniform in its logarithm."""
    return math.exp(rng.uniform(math.log(least), math.log(most)))


def _domain_share(total: int, number: int) -> int:
    return total // _DOMAIN_COUNT + (number < total % _DOMAIN_COUNT)
