"""Scenario files: a deployment, its programs, load, and injected faults."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    import pathlib


class ScenarioError(Exception):
    """Raised for an invalid scenario; the text lists all problems."""


class Domain(msgspec.Struct, frozen=True, kw_only=True):
    """A failure domain and its number of gateways and servers."""

    name: str
    region: str
    gateways: int = 1
    engines: int = 1
    services: int = 1


class EngineShape(msgspec.Struct, frozen=True, kw_only=True):
    """A model server.

    Attributes:
        slots: Largest number of running requests.
        memory_tokens: Memory for running requests and cached parts together.
        read_per_ms: Prompt tokens prefilled per ms.
        step_ms: Base time of a step, which generates a token per request.
        step_ms_per_slot: Time that each running request adds to a step.
        chunk: Largest number of prompt tokens prefilled in one step.
        first_ms: Time before a request's first step.
        factors: Multipliers of processing times; servers take them in turn.
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
    """An application server, which isn't a model engine.

    Attributes:
        queue: Largest number of queued requests; it refuses more.
        full_part: Share of busy slots above which it gets slower.
        full_times: Multiplier of processing times with all slots busy.
    """

    slots: int = 6
    queue: int = 24
    full_part: float = 0.8
    full_times: float = 1.0


class Links(msgspec.Struct, frozen=True, kw_only=True):
    """One-way network delays and the time to write a ledger record, in ms."""

    domain_ms: float = 1.0
    region_ms: float = 8.0
    caller_ms: float = 1.0
    record_ms: float = 12.0


class Tool(msgspec.Struct, frozen=True, kw_only=True):
    """Calls to an application service after a turn.

    Attributes:
        share: Share of the turns that such calls follow.
        times: Number of concurrent calls.
        repeatable: Whether a call may run twice.
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
        weight: Relative frequency among the programs that start.
        turns: Mean number of turns.
        spread: Sigma of the lognormal turns, pauses and sizes.
        shared_parts: Number of different first prompt parts.
        shared_tokens: Length of the first prompt part.
        new_tokens: Mean prompt tokens that a turn adds.
        out_tokens: Mean output tokens; callers allow twice the length drawn.
        pause_ms: Mean pause between two turns, concurrent with the tools.
        helpers: Share of the turns that start sub-agents.
        width: Number of concurrent sub-agents, with two turns each.
        aim_times: Time limit as a multiple of the program's time on idle
            servers; `aim_ms` is added.
        payoff: Payoff scale of a program that finishes within its limit.
        late_payoff: The same for one that finishes within twice the limit.
        moves: Share of the turns that arrive at another gateway.
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
    """Kind of injected fault or load change.

    REPLACE: New engines replace old ones, which drain one after the other.
    SLOW: Processing times of engines are `times` as long for `for_s`.
    LOSE: Engines crash and restart with an empty cache after `for_s`.
    HANG: Engines stop answering for `for_s`.
    GATEWAYS: Gateways crash and restart without state after `for_s`.
    BURST: The rate of new programs is `times` as high for `for_s`.
    """

    REPLACE = "replace"
    SLOW = "slow"
    LOSE = "lose"
    HANG = "hang"
    GATEWAYS = "gateways"
    BURST = "burst"


class Trouble(msgspec.Struct, frozen=True, kw_only=True):
    """One injected fault or load change.

    Attributes:
        at_s: Start time.
        for_s: Duration.
        share: Affected share of the engines or gateways, at least one.
        times: Factor of the processing times for SLOW and of the rate of new
            programs for BURST.
    """

    kind: TroubleKind
    at_s: float
    for_s: float = 4.0
    share: float = 0.2
    times: float = 2.0


class Scenario(msgspec.Struct, frozen=True, kw_only=True):
    """A deployment, its programs, load, and injected faults.

    Attributes:
        load: Offered load as a share of the capacity; see `draws.capacity`.
        seconds: Time during which programs start.
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
    """Reads and validates a scenario.

    Raises:
        ScenarioError: The file is unreadable or the scenario is invalid.
    """
    try:
        decoded = msgspec.toml.decode(path.read_bytes(), type=Scenario)
    except (OSError, msgspec.DecodeError) as exc:
        raise ScenarioError(f"{path}: {exc}") from exc
    texts = problems(decoded)
    if texts:
        raise ScenarioError(f"{path}:\n  " + "\n  ".join(texts))
    return decoded


def problems(scenario: Scenario) -> list[str]:
    """Returns the texts of all problems of a scenario."""
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
        (_sum_over_domains(scenario, "gateways") > 0, "domains: no gateway"),
        (_sum_over_domains(scenario, "engines") > 0, "domains: no engine"),
    ]
    texts = [text for is_valid, text in checks if not is_valid]
    for shape in scenario.programs:
        texts += _program_problems(scenario, shape)
    for number, trouble in enumerate(scenario.troubles):
        if not 0 < trouble.share <= 1:
            texts.append(f"troubles[{number}].share: must be in (0, 1]")
        if trouble.at_s < 0 or trouble.for_s <= 0 or trouble.times <= 0:
            texts.append(f"troubles[{number}]: a time or factor is not valid")
    return texts


def _program_problems(scenario: Scenario, shape: ProgramShape) -> list[str]:
    name = f"programs.{shape.name}"
    texts = []
    if shape.weight <= 0:
        texts.append(f"{name}.weight: must be above 0")
    if shape.turns < 1:
        texts.append(f"{name}.turns: must be 1 or more")
    if shape.out_tokens < 1 or shape.new_tokens < 1:
        texts.append(f"{name}: turns must read and make tokens")
    if shape.tools and not _sum_over_domains(scenario, "services"):
        texts.append(f"{name}.tools: there is no plain service")
    large_prompt_tokens = shape.shared_tokens + 2 * shape.turns * (
        shape.new_tokens + shape.out_tokens
    )
    if large_prompt_tokens > scenario.engine.memory_tokens:
        texts.append(f"{name}: its prompts don't fit into an engine")
    return texts


def _sum_over_domains(scenario: Scenario, field: str) -> int:
    return sum(int(getattr(one, field)) for one in scenario.domains)
