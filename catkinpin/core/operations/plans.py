"""Types of plans: operators' intents, steps, forecasts and progress."""

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

# Upper bound of the text of a token; links between regions compress it.
BYTES_PER_TOKEN = 4


class Move(Message, frozen=True):
    """Intent: stop running a deployment's calls on some backend servers.

    Attributes:
        deployment: name of the deployment.
        off: names of the servers.
    """

    deployment: str
    off: list[str]


class DrainPlace(Message, frozen=True):
    """Intent: send no new work to a server, host, failure domain or region."""

    scope: str
    name: str


class Undrain(Message, frozen=True):
    """Intent: remove a drain."""

    scope: str
    name: str


class SetBudget(Message, frozen=True):
    """Intent: change a deployment's budget; 0 keeps a limit unchanged."""

    deployment: str
    tokens: int = 0
    turns: int = 0
    seconds: int = 0


class Scale(Message, frozen=True):
    """Intent: set the number of backend servers a deployment has per target."""

    deployment: str
    servers: int


class NewVersion(Message, frozen=True):
    """Intent: load a version of a target on the deployment's servers."""

    deployment: str
    target: str
    version: str


Intent = Move | DrainPlace | Undrain | SetBudget | Scale | NewVersion


class ChangeStep(Message, frozen=True):
    """Step that changes the configuration; it completes immediately."""

    text: str
    upserts: list[Item] = []
    removes: list[ItemKey] = []


class WaitStep(Message, frozen=True):
    """Step that waits until no call is in flight on the servers.

    Attributes:
        deployment: deployment whose calls count; empty for all calls.
    """

    text: str
    servers: list[str]
    deployment: str = ""


class OrderStep(Message, frozen=True):
    """Step that sends an engine an order with a fencing token.

    Attributes:
        order: the order, a JSON object.
        reverse: the order that reverts it.
    """

    text: str
    server: str
    order: bytes
    reverse: bytes


Step = ChangeStep | WaitStep | OrderStep


class ServerLoad(Message, frozen=True):
    """Expected load of a server that the plan keeps in use.

    Attributes:
        before: calls running and waiting now, divided by the capacity.
        after: the same ratio once the plan is carried out.
    """

    server: str
    before: float
    after: float


class Forecast(Message, frozen=True):
    """Expected effects of a plan according to the current reports.

    Attributes:
        loads: loads of the servers that stay in use.
        refused: warnings about calls that would be refused or wait.
        lost_programs: number of programs that would lose their cached prefix.
        lost_tokens: tokens of these prefixes, which would be computed again.
        link_bytes: bytes of history that would be sent between regions.
    """

    loads: list[ServerLoad] = []
    refused: list[str] = []
    lost_programs: int = 0
    lost_tokens: int = 0
    link_bytes: int = 0


class BaseItem(Message, frozen=True):
    """An item that a plan depends on and its revision in that plan."""

    key: ItemKey
    revision: int


class Plan(Message, frozen=True):
    """A plan as it is shown to the operator who confirms it.

    Attributes:
        revision: revision of the configuration that the plan was made from.
        base: items that must be unchanged when the plan is confirmed.
        rest: servers that the forecast relies on; none of them may have left
            when the plan is confirmed.
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
    """State of a plan."""

    PROPOSED = "proposed"
    RUNNING = "running"
    DONE = "done"
    STOPPED = "stopped"
    UNDOING = "undoing"
    UNDONE = "undone"


class PlanProgress(Message, frozen=True):
    """Progress of a plan.

    Attributes:
        step: number of completed steps.
        steps: texts of all steps.
        calls_left: calls in flight on the servers that the plan waits for.
        programs_left: programs whose last call ran on these servers.
        note: last problem with the plan's orders; empty if none.
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
    """Calls and cached histories of a deployment's programs on a server.

    Attributes:
        calls: number of calls in flight.
        programs: number of programs that have not ended and whose last call
            ran on the server.
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
    """Configuration, servers and programs that a plan is made from.

    Attributes:
        cfg: current configuration.
        revision: revision of the configuration.
        revision_of: returns the revision of an item's last change.
        servers: latest reports of the backend servers.
        usage: usage of the servers by the deployments' programs.
        silent: names of servers that have not reported for some time.
        overspent: returns the number of programs that have spent more than a
            deployment's budget.
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
    """An intent that can't be planned; each problem starts with its field."""

    problems: list[str]
