"""Programs drawn ahead, so that all variants get the same ones."""

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
# The largest draw of a size, in times of its mean.
_MAX_TIMES = 5.0
_HELPER_TURNS = 2
# What the aims allow a turn for the ways and its records, in ms.
_WAY_MS = 68.0


@dataclasses.dataclass(frozen=True)
class ToolCall:
    """One call of a plain service, and what it takes there."""

    tool: Tool
    work_ms: float


@dataclasses.dataclass(frozen=True)
class TurnScript:
    """One turn and what follows it.

    Attributes:
        gateway: draw in [0, 1) of the gateway, where the turn comes in at
            another one than the program's own; None: its own.
    """

    new_tokens: int
    out_tokens: int
    pause_ms: float
    tools: list[ToolCall]
    helpers: list[LineScript]
    gateway: float | None


@dataclasses.dataclass(frozen=True)
class LineScript:
    """A line of turns."""

    name: str
    turns: list[TurnScript]


@dataclasses.dataclass(frozen=True)
class ProgramScript:
    """A program.

    Attributes:
        shared: the first part of all of its prompts.
        gateway: draw in [0, 1) of its gateway.
        idle_ms: its time on idle servers that hold the shared part.
        payoff: if it ends in time.
        seed: of its own draws while it runs.
    """

    name: str
    shape: ProgramShape
    at_ms: float
    shared: PromptPart
    line: LineScript
    gateway: float
    idle_ms: float
    payoff: float
    seed: int

    @property
    def aim_ms(self) -> float:
        """Returns when it should have ended, from its begin."""
        return self.shape.aim_times * self.idle_ms + self.shape.aim_ms


def programs(scenario: Scenario, seed: int) -> list[ProgramScript]:
    """Draws all programs of a play, by their begin."""
    rng = np.random.default_rng(seed)
    weights = np.array([shape.weight for shape in scenario.programs])
    weights = weights / weights.sum()
    per_ms = scenario.load * capacity(scenario)
    found: list[ProgramScript] = []
    at_ms = 0.0
    while True:
        at_ms += rng.exponential(1.0 / (per_ms * _times(scenario, at_ms)))
        if at_ms > scenario.seconds * _SECOND_MS:
            return _paid(found)
        kind = int(rng.choice(len(weights), p=weights))
        shape = scenario.programs[kind]
        found.append(_program(rng, scenario, shape, at_ms, f"p{len(found)}"))


def capacity(scenario: Scenario) -> float:
    """Returns how many programs a ms all engines can serve.

    Counted with full batches and shared parts that all engines hold.
    """
    engine = scenario.engine
    step_ms = engine.step_ms + engine.step_ms_per_slot * engine.slots
    weights = sum(shape.weight for shape in scenario.programs)
    per_program_ms = 0.0
    for shape in scenario.programs:
        turns = shape.turns * (1 + shape.helpers * shape.width * _HELPER_TURNS)
        read_ms = shape.new_tokens / engine.read_per_ms
        made_ms = shape.out_tokens * step_ms / engine.slots
        per_program_ms += shape.weight / weights * turns * (read_ms + made_ms)
    engines = sum(domain.engines for domain in scenario.domains)
    speed = sum(1 / factor for factor in engine.factors) / len(engine.factors)
    return engines * speed / per_program_ms


def _times(scenario: Scenario, at_ms: float) -> float:
    """Returns how many times the usual load comes at a moment."""
    times = 1.0
    for trouble in scenario.troubles:
        end_s = trouble.at_s + trouble.for_s
        if (
            trouble.kind is TroubleKind.BURST
            and trouble.at_s * _SECOND_MS <= at_ms < end_s * _SECOND_MS
        ):
            times *= trouble.times
    return times


def _paid(scripts: list[ProgramScript]) -> list[ProgramScript]:
    """Weighs payoffs by the programs' size, as a part of their kind's mean."""
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


def _program(
    rng: np.random.Generator,
    scenario: Scenario,
    shape: ProgramShape,
    at_ms: float,
    name: str,
) -> ProgramScript:
    turns = max(1, round(_draw(rng, shape.turns, shape.spread)))
    line = _line(rng, shape, name, turns, with_helpers=True)
    number = int(rng.integers(max(shape.shared_parts, 1)))
    shared = PromptPart(f"{shape.name}/{number}", shape.shared_tokens)
    return ProgramScript(
        name=name,
        shape=shape,
        at_ms=at_ms,
        shared=shared,
        line=line,
        gateway=float(rng.random()),
        idle_ms=_idle_ms(scenario.engine, line),
        payoff=0.0,
        seed=int(rng.integers(2**32)),
    )


def _line(
    rng: np.random.Generator,
    shape: ProgramShape,
    name: str,
    turns: int,
    *,
    with_helpers: bool,
) -> LineScript:
    made = [
        _turn(rng, shape, f"{name}.{number}", with_helpers=with_helpers)
        for number in range(turns)
    ]
    return LineScript(name, made)


def _turn(
    rng: np.random.Generator,
    shape: ProgramShape,
    name: str,
    *,
    with_helpers: bool,
) -> TurnScript:
    tools = [
        ToolCall(tool, _draw(rng, tool.work_ms, 0.8))
        for tool in shape.tools
        if rng.random() < tool.share
        for _ in range(tool.times)
    ]
    helpers = []
    if with_helpers and rng.random() < shape.helpers:
        helpers = [
            _line(rng, shape, f"{name}h{n}", _HELPER_TURNS, with_helpers=False)
            for n in range(shape.width)
        ]
    moved = rng.random() < shape.moves
    return TurnScript(
        new_tokens=max(1, round(_draw(rng, shape.new_tokens, shape.spread))),
        out_tokens=max(1, round(_draw(rng, shape.out_tokens, shape.spread))),
        pause_ms=_draw(rng, shape.pause_ms, shape.spread),
        tools=tools,
        helpers=helpers,
        gateway=float(rng.random()) if moved else None,
    )


def _draw(rng: np.random.Generator, mean: float, sigma: float) -> float:
    """Returns a lognormal draw with this mean."""
    mu = math.log(mean) - sigma * sigma / 2
    return min(float(rng.lognormal(mu, sigma)), _MAX_TIMES * mean)


def _idle_ms(engine: EngineShape, line: LineScript) -> float:
    """Returns a line's time on idle servers."""
    step_ms = engine.step_ms + engine.step_ms_per_slot
    total = 0.0
    for turn in line.turns:
        total += _WAY_MS + engine.first_ms
        total += turn.new_tokens / engine.read_per_ms
        total += turn.out_tokens * step_ms
        after = [turn.pause_ms]
        after += [call.work_ms for call in turn.tools]
        after += [_idle_ms(engine, helper) for helper in turn.helpers]
        total += max(after)
    return total
