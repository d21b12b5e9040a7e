"""What is played: a deployment, its programs, its load and its disturbances."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    import pathlib


class ScenarioError(Exception):
    """A scenario that can't be played; its text lists all that is wrong."""


class Domain(msgspec.Struct, frozen=True, kw_only=True):
    """A failure domain and what stands in it."""

    name: str
    region: str
    gateways: int = 1
    engines: int = 1
    services: int = 1


class EngineShape(msgspec.Struct, frozen=True, kw_only=True):
    """A model server.

    Attributes:
        slots: requests that it runs at once.
        memory_tokens: of running requests and cached parts together.
        read_per_ms: prompt tokens that it reads in a ms.
        step_ms: a step, in which each request gets a token.
        step_ms_per_slot: what each running request adds to it.
        chunk: prompt tokens that are read within one step at most.
        first_ms: before a request's first step.
        factors: how many times as long servers take, in turn.
    """

    slots: int
    memory_tokens: int
    read_per_ms: float
    step_ms: float
    step_ms_per_slot: float = 0.04
    chunk: int = 4_096
    first_ms: float = 10.0
    factors: tuple[float, ...] = (1.0,)


class ServiceShape(msgspec.Struct, frozen=True, kw_only=True):
    """A plain server.

    Attributes:
        queue: requests that wait there; what comes beyond is refused.
        full_part: of its slots, from which on it gets slower.
        full_times: how many times as long it takes with all slots taken.
    """

    slots: int = 6
    queue: int = 24
    full_part: float = 0.8
    full_times: float = 1.0


class Links(msgspec.Struct, frozen=True, kw_only=True):
    """One-way delays in ms."""

    domain_ms: float = 1.0
    region_ms: float = 8.0
    caller_ms: float = 1.0
    record_ms: float = 12.0


class Tool(msgspec.Struct, frozen=True, kw_only=True):
    """Calls of a plain service after a turn.

    Attributes:
        share: of the turns that are followed by it.
        times: calls at once.
        repeatable: whether a call may run twice.
    """

    name: str
    work_ms: float
    share: float
    times: int = 1
    repeatable: bool = False
    deadline_ms: float = 3_000


class ProgramShape(msgspec.Struct, frozen=True, kw_only=True):
    """A kind of program.

    Attributes:
        weight: of all programs that begin.
        turns: on average.
        spread: sigma of turns, pauses and sizes, which are lognormal.
        shared_tokens: of the prompt's first part, one of `shared_parts`.
        out_tokens: on average; callers allow twice their length.
        pause_ms: between two turns, beside the tools.
        helpers: share of the turns that are followed by sub-agents.
        width: sub-agents at once, with two turns each.
        aim_times: of its time on idle servers, plus `aim_ms`.
        moves: share of the turns that come in through another gateway.
    """

    name: str
    weight: float
    turns: float
    spread: float = 0.5
    shared_parts: int = 8
    shared_tokens: int = 2_560
    new_tokens: int = 1_000
    out_tokens: int = 34
    pause_ms: float = 150
    helpers: float = 0.05
    width: int = 3
    aim_times: float = 2.2
    aim_ms: float = 300
    payoff: float = 3.0
    late_payoff: float = 1.5
    deadline_ms: float = 6_000
    moves: float = 0.1
    tools: list[Tool] = []


class TroubleKind(enum.StrEnum):
    """What goes wrong.

    REPLACE: engines drain one after the other, fresh ones stand in for them.
    SLOW: engines take `times` as long.
    LOSE: engines die, and are back empty after `for_s`.
    HANG: engines answer nothing meanwhile.
    GATEWAYS: gateways die, and are back knowing nothing.
    BURST: `times` as many programs come.
    """

    REPLACE = "replace"
    SLOW = "slow"
    LOSE = "lose"
    HANG = "hang"
    GATEWAYS = "gateways"
    BURST = "burst"


class Trouble(msgspec.Struct, frozen=True, kw_only=True):
    """One disturbance.

    Attributes:
        share: of the servers or gateways, one at least.
    """

    kind: TroubleKind
    at_s: float
    for_s: float = 4.0
    share: float = 0.2
    times: float = 2.0


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """All of it.

    Attributes:
        load: of what the engines can serve; see `draws.capacity`.
        seconds: during which programs begin.
    """

    name: str
    domains: list[Domain]
    engine: EngineShape
    programs: list[ProgramShape]
    load: float
    service: ServiceShape = ServiceShape()
    links: Links = Links()
    seconds: float = 30.0
    troubles: list[Trouble] = []


def load(path: pathlib.Path) -> Scenario:
    """Reads a scenario.

    Raises:
        ScenarioError: it can't be read, or can't be played.
    """
    try:
        found = msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except (OSError, msgspec.DecodeError) as exc:
        raise ScenarioError(f"{path}: {exc}") from exc
    wrong = problems(found)
    if wrong:
        raise ScenarioError(f"{path}:\n  " + "\n  ".join(wrong))
    return found


def problems(scenario: Scenario) -> list[str]:
    """Returns all that keeps a scenario from being played."""
    engine = scenario.engine
    checks = [
        (scenario.load > 0, "load: must be above 0"),
        (scenario.seconds > 0, "seconds: must be above 0"),
        (bool(scenario.programs), "programs: none"),
        (engine.slots > 0, "engine.slots: must be above 0"),
        (engine.read_per_ms > 0, "engine.read_per_ms: must be above 0"),
        (engine.step_ms > 0, "engine.step_ms: must be above 0"),
        (bool(engine.factors), "engine.factors: none"),
        (all(f > 0 for f in engine.factors), "engine.factors: not above 0"),
        (_total(scenario, "gateways") > 0, "domains: no gateway"),
        (_total(scenario, "engines") > 0, "domains: no engine"),
    ]
    found = [text for holds, text in checks if not holds]
    for shape in scenario.programs:
        found += _program_problems(scenario, shape)
    for number, trouble in enumerate(scenario.troubles):
        if not 0 < trouble.share <= 1:
            found.append(f"troubles[{number}].share: must be in (0, 1]")
        if trouble.at_s < 0 or trouble.for_s <= 0 or trouble.times <= 0:
            found.append(f"troubles[{number}]: a time or factor is not valid")
    return found


def _program_problems(scenario: Scenario, shape: ProgramShape) -> list[str]:
    name = f"programs.{shape.name}"
    found = []
    if shape.weight <= 0:
        found.append(f"{name}.weight: must be above 0")
    if shape.turns < 1:
        found.append(f"{name}.turns: must be 1 or more")
    if shape.out_tokens < 1 or shape.new_tokens < 1:
        found.append(f"{name}: turns must read and make tokens")
    if shape.tools and not _total(scenario, "services"):
        found.append(f"{name}.tools: there is no plain service")
    whole = shape.shared_tokens + 2 * shape.turns * (
        shape.new_tokens + shape.out_tokens
    )
    if whole > scenario.engine.memory_tokens:
        found.append(f"{name}: its prompts don't fit into an engine")
    return found


def _total(scenario: Scenario, what: str) -> int:
    return sum(int(getattr(one, what)) for one in scenario.domains)
