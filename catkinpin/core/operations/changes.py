"""Records and messages of the control group."""

from __future__ import annotations

from catkinpin.codec import Message
from catkinpin.core.operations.deployments import Item, ItemKey
from catkinpin.core.operations.plans import Forecast, Intent, Plan, PlanProgress


class ProcessInfo(Message, frozen=True):
    """An incarnation of a process of the system."""

    process: str
    incarnation: str
    role: str
    address: str = ""
    domain: str = ""
    region: str = ""


class ServerFacts(Message, frozen=True):
    """Facts of a backend server that must survive a change of leader.

    Attributes:
        leaving: whether the server asks for no new work.
        honours_fencing: whether it refuses orders with an old fencing token.
        checks_sender: whether it verifies the identity of an order's sender.
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
    """Record: an operator's change, accepted or refused when it is applied.

    Attributes:
        base_revision: revision that the operator's change starts from.
        content_digest: digest of the request; distinguishes a resend from
            another request with the same id.
    """

    at_ms: int
    request_id: str
    base_revision: int
    upserts: list[Item] = []
    removes: list[ItemKey] = []
    operator: str = ""
    content_digest: bytes = b""


class ProcessesChanged(Message, frozen=True):
    """Record: processes that joined and incarnations that are gone."""

    at_ms: int
    up: list[ProcessInfo] = []
    gone: list[str] = []


class ServersChanged(Message, frozen=True):
    """Record: new facts of backend servers."""

    at_ms: int
    servers: list[ServerFacts] = []


class Quarantined(Message, frozen=True):
    """Record: requests with this content crash servers and must not run.

    Attributes:
        fingerprint: digest of the request's content.
        reason: why the content was quarantined.
    """

    fingerprint: bytes
    reason: str
    at_ms: int = 0


class QuarantineLifted(Message, frozen=True):
    """Record: an operator allows this content again, or its term has lapsed."""

    fingerprint: bytes
    at_ms: int = 0
    operator: str = ""
    lapsed: bool = False


class PlanMade(Message, frozen=True):
    """Record: a new plan, to be confirmed."""

    at_ms: int
    plan: Plan


class PlanConfirmed(Message, frozen=True):
    """Record: an operator confirms a plan; checked when it is applied."""

    at_ms: int
    plan_id: str
    operator: str = ""


class PlanAdvanced(Message, frozen=True):
    """Record: a step of a plan is complete."""

    at_ms: int
    plan_id: str
    step: int


class PlanStopped(Message, frozen=True):
    """Record: an operator stops a plan at its current step."""

    at_ms: int
    plan_id: str
    operator: str = ""


class PlanUndone(Message, frozen=True):
    """Record: an operator undoes a plan's changes."""

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
    """Changes from revision `base` to `revision`; all items if `base` is 0."""

    base: int
    revision: int
    upserts: list[Item] = []
    removes: list[ItemKey] = []


class RenewLease(Message, frozen=True):
    """Confirms a revision and asks for a lease to serve under it.

    Attributes:
        revision: the revision that the sender confirms.
        wants_update: whether the answer shall contain a newer configuration.
    """

    ask: int
    revision: int
    wants_update: bool = True


class Lease(Message, frozen=True):
    """Answers `RenewLease`.

    Attributes:
        revision: the current revision.
        lease_ms: how long the process may serve under that revision, counted
            from when it sent its request; 0 if it gets no lease, because it
            has not confirmed that revision or is not registered yet.
        update: changes that the process has missed.
    """

    ask: int
    revision: int
    lease_ms: int = 0
    update: ConfigUpdate | None = None


class Apply(Message, frozen=True):
    """Asks for a change of the configuration; `Applied` answers."""

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
        accepted: whether this change became `revision`. If not, `revision`,
            `operator`, `request_id` and `changed` describe the change that
            was accepted before it.
        reused: whether another request has used the request id before; the
            other fields describe that request.
        changed: kinds and names of the changed items.
    """

    ask: int
    accepted: bool
    revision: int
    operator: str = ""
    request_id: str = ""
    changed: list[str] = []
    reused: bool = False


class GetInForce(Message, frozen=True):
    """Asks which processes may still serve under an older revision."""

    ask: int
    revision: int


class UnderReplicated(Message, frozen=True):
    """A lease holder that has not confirmed a revision.

    Attributes:
        revision: newest revision that it has confirmed.
    """

    process: str
    incarnation: str
    revision: int
    lease_left_ms: int


class InForce(Message, frozen=True):
    """Answers `GetInForce`.

    Attributes:
        revision: the current revision.
        lacking: lease holders that have not confirmed the revision asked
            about; it is in force once there are none.
    """

    ask: int
    revision: int
    lacking: list[UnderReplicated] = []


class MakePlan(Message, frozen=True):
    """Asks for a plan; it has no effect until it is confirmed."""

    ask: int
    plan_id: str
    intent: Intent
    operator: str = ""


class PlanShown(Message, frozen=True):
    """Answers `MakePlan`, `ConfirmPlan`, `StopPlan` and `UndoPlan`.

    Attributes:
        problems: why the request was refused; empty if it was carried out.
    """

    ask: int
    plan: Plan | None = None
    progress: PlanProgress | None = None
    forecast: Forecast | None = None
    problems: list[str] = []


class ConfirmPlan(Message, frozen=True):
    """Asks to carry out a plan if its base is unchanged."""

    ask: int
    plan_id: str
    operator: str = ""


class StopPlan(Message, frozen=True):
    """Asks to stop a plan at its current step."""

    ask: int
    plan_id: str
    operator: str = ""


class UndoPlan(Message, frozen=True):
    """Asks to undo a plan's changes."""

    ask: int
    plan_id: str
    operator: str = ""


class Quarantine(Message, frozen=True):
    """Asks to quarantine a request's content or to lift its quarantine.

    Attributes:
        fingerprint: digest of the content.
        lift: whether an operator lifts the quarantine.
    """

    ask: int
    fingerprint: bytes
    reason: str = ""
    lift: bool = False
    operator: str = ""


class Done(Message, frozen=True):
    """Confirms a request that has no other answer."""

    ask: int


class GetStatus(Message, frozen=True):
    """Asks for the state of the system."""

    ask: int


class ProcessStatus(Message, frozen=True):
    """Status of a registered process."""

    process: str
    incarnation: str
    role: str
    domain: str
    region: str
    revision: int
    lease_left_ms: int


class ServerStatus(Message, frozen=True):
    """Status of a backend server."""

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
    """Answers `GetStatus`.

    Attributes:
        revision: the current revision.
        operator: operator who made it.
        quarantined: reasons of quarantines by fingerprint in hex.
    """

    ask: int
    revision: int
    operator: str
    processes: list[ProcessStatus] = []
    servers: list[ServerStatus] = []
    plans: list[PlanProgress] = []
    quarantined: dict[str, str] = {}


class OrderOffer(Message, frozen=True):
    """Asks an entry to send a plan's order (a command) to an engine."""

    plan_id: str
    step: int


class OrderClaim(Message, frozen=True):
    """Asks for the order and the permission to send it now."""

    ask: int
    plan_id: str
    step: int


class OrderLease(Message, frozen=True):
    """Answers `OrderClaim`.

    Attributes:
        address: address of the engine.
        fence: fencing token of the order.
        body: the order, a JSON object.
        valid_ms: time within which the engine must answer, counted from when
            the entry sent its claim; 0 if the order must not be sent.
    """

    ask: int
    address: str = ""
    fence: int = 0
    body: bytes = b""
    valid_ms: int = 0


class OrderResult(Message, frozen=True):
    """Reports the engine's answer to an order.

    Attributes:
        ok: whether the engine accepted the order.
        text: its HTTP status and answer, or the error of the request.
    """

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
