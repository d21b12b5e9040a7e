"""Plans: what operators intend, the steps to it, and what is forecast."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from catkinpin.codec import Message
from catkinpin.core.operations.deployments import (
    Configuration,
    Deployment,
    Item,
    ItemKey,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import ServerReport

# Upper bound of the text behind a token; the link carries it compressed.
BYTES_PER_TOKEN = 4


class Move(Message, frozen=True):
    """Intent: take a deployment off backend servers."""

    deployment: str
    off: list[str]


class DrainPlace(Message, frozen=True):
    """Intent: give a server, host, domain or region no new work."""

    scope: str
    name: str


class Undrain(Message, frozen=True):
    """Intent: take a drain back."""

    scope: str
    name: str


class SetBudget(Message, frozen=True):
    """Intent: change a deployment's budget; 0 leaves a bound as it is."""

    deployment: str
    tokens: int = 0
    turns: int = 0
    seconds: int = 0


class Scale(Message, frozen=True):
    """Intent: let a deployment use this many backend servers a target."""

    deployment: str
    servers: int


class NewVersion(Message, frozen=True):
    """Intent: bring a version of a target to the deployment's servers."""

    deployment: str
    target: str
    version: str


Intent = Move | DrainPlace | Undrain | SetBudget | Scale | NewVersion


class ChangeStep(Message, frozen=True):
    """Changes the configuration; done at once."""

    text: str
    upserts: list[Item] = []
    removes: list[ItemKey] = []


class WaitStep(Message, frozen=True):
    """Waits until no call is in flight on the servers.

    Attributes:
        deployment: whose calls count; empty: everyone's.
    """

    text: str
    servers: list[str]
    deployment: str = ""


class OrderStep(Message, frozen=True):
    """Gives an engine an order, with a fencing token.

    Attributes:
        order: the order, a JSON object.
        reverse: the order that takes it back.
    """

    text: str
    server: str
    order: bytes
    reverse: bytes


Step = ChangeStep | WaitStep | OrderStep


class ServerLoad(Message, frozen=True):
    """Expected load of a server that stays.

    Attributes:
        before: calls running and waiting, for each place it has.
        after: the same once the plan is carried out.
    """

    server: str
    before: float
    after: float


class Forecast(Message, frozen=True):
    """What a plan would bring, as far as the reports of now show.

    Attributes:
        loads: of the servers that stay.
        refused: whose calls would be refused, and why.
        lost_programs: programs whose cached prefix would be lost.
        lost_tokens: tokens of these prefixes, to be computed again.
        link_bytes: bytes of history that would cross between regions.
    """

    loads: list[ServerLoad] = []
    refused: list[str] = []
    lost_programs: int = 0
    lost_tokens: int = 0
    link_bytes: int = 0


class BaseItem(Message, frozen=True):
    """An item of the configuration as the plan found it."""

    key: ItemKey
    revision: int


class Plan(Message, frozen=True):
    """What an operator confirms.

    Attributes:
        base: items that must be unchanged when the plan is confirmed.
        rest: servers that the forecast counts on.
    """

    plan_id: str
    intent: Intent
    operator: str
    revision: int
    base: list[BaseItem]
    rest: list[str]
    steps: list[Step]
    forecast: Forecast


class PlanState(enum.StrEnum):
    """Where a plan stands."""

    PROPOSED = "proposed"
    RUNNING = "running"
    DONE = "done"
    STOPPED = "stopped"
    UNDOING = "undoing"
    UNDONE = "undone"


class PlanProgress(Message, frozen=True):
    """A plan's progress.

    Attributes:
        step: number of steps done.
        calls_left: calls in flight on the servers to be left.
        programs_left: programs whose last call ran there.
    """

    plan_id: str
    state: PlanState
    operator: str
    step: int
    steps: list[str]
    calls_left: int = 0
    programs_left: int = 0
    note: str = ""


@dataclasses.dataclass(frozen=True)
class ServerUsage:
    """What a deployment's programs have on a server.

    Attributes:
        calls: calls in flight.
        programs: programs whose last call ran there and that go on.
        tokens: tokens of these programs' histories.
    """

    server: str
    deployment: str
    target: str
    calls: int
    programs: int
    tokens: int


@dataclasses.dataclass(frozen=True)
class ClusterView:
    """What is known when a plan is made.

    Attributes:
        silent: servers that have not reported for some time.
        overspent: counts programs that have spent more than a deployment's
            budget.
    """

    cfg: Configuration
    revision: int
    revision_of: Callable[[ItemKey], int]
    servers: list[ServerReport]
    usage: list[ServerUsage]
    silent: frozenset[str] = frozenset()
    overspent: Callable[[Deployment], int] = lambda _: 0


@dataclasses.dataclass(frozen=True)
class InvalidIntent:
    """The intent can't be planned; each problem names its field."""

    problems: list[str]
