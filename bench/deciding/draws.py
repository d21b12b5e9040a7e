"""Draws programs before a run, so that all variants get the same ones."""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

import numpy as np

from bench.deciding.scenario import TroubleKind
from catkinpin.core.requests.calls import PromptPart

if TYPE_CHECKING:
    from bench.deciding.scenario import (
        EngineShape,
        ProgramShape,
        Scenario,
        Tool,
    )

_SECOND_MS = 1_000.0
# Upper bound of a draw, as a multiple of its mean.
_MAX_MEAN_MULTIPLE = 5.0
_TURNS_PER_SUBAGENT = 2
# Time per turn that the time limits allow for network delays and records.
_OVERHEAD_PER_TURN_MS = 68.0


@dataclasses.dataclass(frozen=True)
class ToolCall:
    """One call to an application service and its processing time there."""

    tool: Tool
    work_ms: float


@dataclasses.dataclass(frozen=True)
class TurnScript:
    """One turn, with the tool calls and sub-agents that follow it.

    Attributes:
        gateway: Draw in [0, 1) that selects another gateway for the turn;
            None for the program's own gateway.
    """

    new_tokens: int
    out_tokens: int
    pause_ms: float
    tools: list[ToolCall]
    helpers: list[AgentScript]
    gateway: float | None


@dataclasses.dataclass(frozen=True)
class AgentScript:
    """The consecutive turns of a program's main agent or of a sub-agent."""

    name: str
    turns: list[TurnScript]


@dataclasses.dataclass(frozen=True)
class ProgramScript:
    """A program.

    Attributes:
        shared: First part of all its prompts.
        gateway: Draw in [0, 1) that selects its gateway.
        idle_ms: Its duration on idle servers that cache the shared part.
        payoff: Payoff if it finishes within its time limit.
        seed: Seed of the draws that it makes while it runs.
    """

    name: str
    shape: ProgramShape
    at_ms: float
    shared: PromptPart
    agent: AgentScript
    gateway: float
    idle_ms: float
    payoff: float
    seed: int

    @property
    def aim_ms(self) -> float:
        """Returns its time limit, counted from its start."""
        return self.shape.aim_times * self.idle_ms + self.shape.aim_ms


def programs(scenario: Scenario, seed: int) -> list[ProgramScript]:
    """Draws all programs of a run, in order of their start."""
    rng = np.random.default_rng(seed)
    weights = np.array([shape.weight for shape in scenario.programs])
    weights = weights / weights.sum()
    per_ms = scenario.load * capacity(scenario)
    scripts: list[ProgramScript] = []
    at_ms = 0.0
    while True:
        at_ms += rng.exponential(
            1.0 / (per_ms * _load_multiplier(scenario, at_ms))
        )
        if at_ms > scenario.seconds * _SECOND_MS:
            return _with_payoffs(scripts)
        kind = int(rng.choice(len(weights), p=weights))
        shape = scenario.programs[kind]
        scripts.append(
            _draw_program(rng, scenario, shape, at_ms, f"p{len(scripts)}")
        )


def capacity(scenario: Scenario) -> float:
    """Returns how many programs per ms all engines together can serve.

    It assumes full batches and that all engines cache the shared parts.
    """
    engine = scenario.engine
    step_ms = engine.step_ms + engine.step_ms_per_slot * engine.slots
    weights = sum(shape.weight for shape in scenario.programs)
    per_program_ms = 0.0
    for shape in scenario.programs:
        turns = shape.turns * (
            1 + shape.helpers * shape.width * _TURNS_PER_SUBAGENT
        )
        read_ms = shape.new_tokens / engine.read_per_ms
        made_ms = shape.out_tokens * step_ms / engine.slots
        per_program_ms += shape.weight / weights * turns * (read_ms + made_ms)
    engines = sum(domain.engines for domain in scenario.domains)
    speed = sum(1 / factor for factor in engine.factors) / len(engine.factors)
    return engines * speed / per_program_ms


def _load_multiplier(scenario: Scenario, at_ms: float) -> float:
    """Returns the load at a time as a multiple of the usual load."""
    times = 1.0
    for trouble in scenario.troubles:
        end_s = trouble.at_s + trouble.for_s
        if (
            trouble.kind is TroubleKind.BURST
            and trouble.at_s * _SECOND_MS <= at_ms < end_s * _SECOND_MS
        ):
            times *= trouble.times
    return times


def _with_payoffs(scripts: list[ProgramScript]) -> list[ProgramScript]:
    """Sets payoffs by each program's size relative to its kind's mean."""
    means: dict[str, float] = {}
    for name in {one.shape.name for one in scripts}:
        idle = [one.idle_ms for one in scripts if one.shape.name == name]
        means[name] = sum(idle) / len(idle)
    return [
        dataclasses.replace(
            one,
            payoff=one.shape.payoff
            * (0.3 + 0.7 * min(one.idle_ms / means[one.shape.name], 4.0)),
        )
        for one in scripts
    ]


def _draw_program(
    rng: np.random.Generator,
    scenario: Scenario,
    shape: ProgramShape,
    at_ms: float,
    name: str,
) -> ProgramScript:
    turns = max(1, round(_draw_lognormal(rng, shape.turns, shape.spread)))
    agent = _draw_agent(rng, shape, name, turns, with_helpers=True)
    number = int(rng.integers(max(shape.shared_parts, 1)))
    shared = PromptPart(f"{shape.name}/{number}", shape.shared_tokens)
    return ProgramScript(
        name=name,
        shape=shape,
        at_ms=at_ms,
        shared=shared,
        agent=agent,
        gateway=float(rng.random()),
        idle_ms=_idle_ms(scenario.engine, agent),
        payoff=0.0,
        seed=int(rng.integers(2**32)),
    )


def _draw_agent(
    rng: np.random.Generator,
    shape: ProgramShape,
    name: str,
    turns: int,
    *,
    with_helpers: bool,
) -> AgentScript:
    turn_scripts = [
        _draw_turn(rng, shape, f"{name}.{number}", with_helpers=with_helpers)
        for number in range(turns)
    ]
    return AgentScript(name, turn_scripts)


def _draw_turn(
    rng: np.random.Generator,
    shape: ProgramShape,
    name: str,
    *,
    with_helpers: bool,
) -> TurnScript:
    tools = [
        ToolCall(tool, _draw_lognormal(rng, tool.work_ms, 0.8))
        for tool in shape.tools
        if rng.random() < tool.share
        for _ in range(tool.times)
    ]
    helpers = []
    if with_helpers and rng.random() < shape.helpers:
        helpers = [
            _draw_agent(
                rng,
                shape,
                f"{name}h{n}",
                _TURNS_PER_SUBAGENT,
                with_helpers=False,
            )
            for n in range(shape.width)
        ]
    moved = rng.random() < shape.moves
    return TurnScript(
        new_tokens=max(
            1, round(_draw_lognormal(rng, shape.new_tokens, shape.spread))
        ),
        out_tokens=max(
            1, round(_draw_lognormal(rng, shape.out_tokens, shape.spread))
        ),
        pause_ms=_draw_lognormal(rng, shape.pause_ms, shape.spread),
        tools=tools,
        helpers=helpers,
        gateway=float(rng.random()) if moved else None,
    )


def _draw_lognormal(
    rng: np.random.Generator, mean: float, sigma: float
) -> float:
    """Returns a lognormal draw with this mean, up to a bound."""
    mu = math.log(mean) - sigma * sigma / 2
    return min(float(rng.lognormal(mu, sigma)), _MAX_MEAN_MULTIPLE * mean)


def _idle_ms(engine: EngineShape, agent: AgentScript) -> float:
    """Returns the duration of an agent's turns on idle servers."""
    step_ms = engine.step_ms + engine.step_ms_per_slot
    total = 0.0
    for turn in agent.turns:
        total += _OVERHEAD_PER_TURN_MS + engine.first_ms
        total += turn.new_tokens / engine.read_per_ms
        total += turn.out_tokens * step_ms
        follow_up_ms = [turn.pause_ms]
        follow_up_ms += [call.work_ms for call in turn.tools]
        follow_up_ms += [_idle_ms(engine, helper) for helper in turn.helpers]
        total += max(follow_up_ms)
    return total
