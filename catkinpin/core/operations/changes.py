"""Messages and records of the control group."""

from __future__ import annotations

from catkinpin.codec import Message
from catkinpin.core.operations.deployments import Item, ItemKey
from catkinpin.core.operations.plans import Forecast, Intent, Plan, PlanProgress


class ProcessInfo(Message, frozen=True):
    """One incarnation of a process of the system."""

    process: str
    incarnation: str
    role: str
    address: str = ""
    domain: str = ""
    region: str = ""


class ServerFacts(Message, frozen=True):
    """What of a backend server must not be forgotten with a leader.

    Attributes:
        honours_fencing: whether it refuses orders with an old fencing token.
        checks_sender: whether it checks who gives an order.
    """

    server: str
    incarnation: str
    address: str
    domain: str = ""
    region: str = ""
    leaving: bool = False
    honours_fencing: bool = False
    checks_sender: bool = False


# Records.


class ConfigChanged(Message, frozen=True):
    """Record: an operator's change, decided when it is applied.

    Attributes:
        content_digest: digest of the request, to tell a resend from another
            request under the same id.
    """

    at_ms: int
    request_id: str
    base_revision: int
    upserts: list[Item] = []
    removes: list[ItemKey] = []
    operator: str = ""
    content_digest: bytes = b""


class ProcessesChanged(Message, frozen=True):
    """Record: processes that came, and incarnations that are gone."""

    at_ms: int
    up: list[ProcessInfo] = []
    gone: list[str] = []


class ServersChanged(Message, frozen=True):
    """Record: hard facts of backend servers that changed."""

    at_ms: int
    servers: list[ServerFacts] = []


class Quarantined(Message, frozen=True):
    """Record: requests with this content crash servers; none may run.

    Attributes:
        fingerprint: digest of the request's content.
        reason: what was seen.
    """

    fingerprint: bytes
    reason: str
    at_ms: int = 0


class QuarantineLifted(Message, frozen=True):
    """Record: an operator lets requests with this content run again."""

    fingerprint: bytes
    at_ms: int = 0
    operator: str = ""


class PlanMade(Message, frozen=True):
    """Record: a plan that waits for its confirmation."""

    at_ms: int
    plan: Plan


class PlanConfirmed(Message, frozen=True):
    """Record: an operator confirms a plan; decided when it is applied."""

    at_ms: int
    plan_id: str
    operator: str = ""


class PlanAdvanced(Message, frozen=True):
    """Record: a step of a plan is done."""

    at_ms: int
    plan_id: str
    step: int


class PlanStopped(Message, frozen=True):
    """Record: an operator stops a plan where it stands."""

    at_ms: int
    plan_id: str
    operator: str = ""


class PlanUndone(Message, frozen=True):
    """Record: an operator takes a plan's changes back."""

    at_ms: int
    plan_id: str
    operator: str = ""


ControlRecord = (
    ConfigChanged
    | ProcessesChanged
    | ServersChanged
    | Quarantined
    | QuarantineLifted
    | PlanMade
    | PlanConfirmed
    | PlanAdvanced
    | PlanStopped
    | PlanUndone
)


# Messages between a process and the control group's leader.


class ConfigUpdate(Message, frozen=True):
    """What leads from revision `base` to `revision`; `base` 0: all of it."""

    base: int
    revision: int
    upserts: list[Item] = []
    removes: list[ItemKey] = []


class RenewLease(Message, frozen=True):
    """Confirms a revision and asks for a lease to serve under it.

    Attributes:
        revision: the revision that the sender would serve under.
        wants_update: whether it needs the newer one sent.
    """

    ask: int
    revision: int
    wants_update: bool = True


class Lease(Message, frozen=True):
    """Answers `RenewLease`.

    Attributes:
        revision: the revision in force.
        lease_ms: how long the sender may serve under it, counted from when it
            sent its request; 0 where it has not confirmed that revision.
        update: what the sender lacks.
    """

    ask: int
    revision: int
    lease_ms: int = 0
    update: ConfigUpdate | None = None


class Apply(Message, frozen=True):
    """An operator's change of configuration."""

    ask: int
    request_id: str
    base_revision: int
    upserts: list[Item] = []
    removes: list[ItemKey] = []
    operator: str = ""
    content_digest: bytes = b""


class Applied(Message, frozen=True):
    """Answers `Apply`.

    Attributes:
        accepted: whether this change became `revision`; else `revision`,
            `operator`, `request_id` and `changed` are those of the change
            that won.
        reused: whether the request id stands for another request, which the
            other fields describe.
        changed: names of the items that the change touched.
    """

    ask: int
    accepted: bool
    revision: int
    operator: str = ""
    request_id: str = ""
    changed: list[str] = []
    reused: bool = False


class GetInForce(Message, frozen=True):
    """Asks who does not serve under `revision` or a later one yet."""

    ask: int
    revision: int


class UnderReplicated(Message, frozen=True):
    """A live process that has not confirmed a revision."""

    process: str
    incarnation: str
    revision: int
    lease_left_ms: int


class InForce(Message, frozen=True):
    """Answers `GetInForce`; in force where nobody lacks it."""

    ask: int
    revision: int
    lacking: list[UnderReplicated] = []


class MakePlan(Message, frozen=True):
    """Asks for a plan; nothing changes before it is confirmed."""

    ask: int
    plan_id: str
    intent: Intent
    operator: str = ""


class PlanShown(Message, frozen=True):
    """Answers what concerns a plan.

    Attributes:
        problems: why the wish was not carried out; empty: it was.
    """

    ask: int
    plan: Plan | None = None
    progress: PlanProgress | None = None
    forecast: Forecast | None = None
    problems: list[str] = []


class ConfirmPlan(Message, frozen=True):
    """Carries out a plan if its base still holds."""

    ask: int
    plan_id: str
    operator: str = ""


class StopPlan(Message, frozen=True):
    """Stops a plan where it stands."""

    ask: int
    plan_id: str
    operator: str = ""


class UndoPlan(Message, frozen=True):
    """Takes a plan's changes back."""

    ask: int
    plan_id: str
    operator: str = ""


class Quarantine(Message, frozen=True):
    """Asks the control leader to quarantine, or lift it for an operator."""

    ask: int
    fingerprint: bytes
    reason: str = ""
    lift: bool = False
    operator: str = ""


class Done(Message, frozen=True):
    """Answers that something was taken in."""

    ask: int


class GetStatus(Message, frozen=True):
    """Asks for the state of the system."""

    ask: int


class ProcessStatus(Message, frozen=True):
    """A process as the control leader sees it."""

    process: str
    incarnation: str
    role: str
    domain: str
    region: str
    revision: int
    lease_left_ms: int


class ServerStatus(Message, frozen=True):
    """A backend server as the control leader sees it."""

    server: str
    kind: str
    serves: list[str]
    domain: str
    region: str
    capacity: int
    running: int
    waiting: int
    state: str


class Status(Message, frozen=True):
    """Answers `GetStatus`."""

    ask: int
    revision: int
    operator: str
    processes: list[ProcessStatus] = []
    servers: list[ServerStatus] = []
    plans: list[PlanProgress] = []
    quarantined: dict[str, str] = {}


class OrderOffer(Message, frozen=True):
    """Asks an entry to carry an order to an engine."""

    plan_id: str
    step: int


class OrderClaim(Message, frozen=True):
    """Asks whether the order still stands, before it is sent."""

    ask: int
    plan_id: str
    step: int


class OrderLease(Message, frozen=True):
    """Answers `OrderClaim`.

    Attributes:
        address: of the engine.
        fence: fencing token of the order.
        body: the order, a JSON object.
        valid_ms: within this time of sending the claim the engine must have
            answered; 0 where the order no longer stands.
    """

    ask: int
    address: str = ""
    fence: int = 0
    body: bytes = b""
    valid_ms: int = 0


class OrderResult(Message, frozen=True):
    """Tells what the engine answered."""

    ask: int
    plan_id: str
    step: int
    ok: bool
    text: str = ""


FromProcess = (
    RenewLease
    | Apply
    | GetInForce
    | MakePlan
    | ConfirmPlan
    | StopPlan
    | UndoPlan
    | Quarantine
    | GetStatus
    | OrderClaim
    | OrderResult
)
ToProcess = (
    ConfigUpdate
    | Lease
    | Applied
    | InForce
    | PlanShown
    | Done
    | Status
    | OrderOffer
    | OrderLease
)
