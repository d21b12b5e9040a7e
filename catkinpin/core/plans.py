"""Plans: an operator's intent turned into steps and a forecast."""

from __future__ import annotations

import collections
import dataclasses
import enum
import json
from typing import TYPE_CHECKING

import msgspec

from catkinpin.codec import Message
from catkinpin.core.deployments import (
    SCOPE_SERVER,
    SCOPES,
    Configuration,
    Deployment,
    Drain,
    Item,
    ItemKey,
    key_of,
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
class Usage:
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
class Facts:
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
    usage: list[Usage]
    silent: frozenset[str] = frozenset()
    overspent: Callable[[Deployment], int] = lambda _: 0


@dataclasses.dataclass(frozen=True)
class Impossible:
    """The intent can't be planned; each problem names its field."""

    problems: list[str]


@dataclasses.dataclass
class _Draft:
    """Steps in the making.

    Attributes:
        upserts: what the configuration will hold in the end.
    """

    steps: list[Step]
    upserts: list[Item] = dataclasses.field(default_factory=list)
    removes: list[ItemKey] = dataclasses.field(default_factory=list)
    read: list[ItemKey] = dataclasses.field(default_factory=list)
    notes: list[str] = dataclasses.field(default_factory=list)
    reloaded: list[str] = dataclasses.field(default_factory=list)


def make_plan(
    plan_id: str, intent: Intent, operator: str, facts: Facts
) -> Plan | Impossible:
    """Returns the plan that carries out an intent."""
    drafted = _draft(intent, facts)
    if isinstance(drafted, Impossible):
        return drafted
    after = facts.cfg.changed(drafted.upserts, drafted.removes)
    keys = [key_of(item) for item in drafted.upserts]
    keys += [*drafted.removes, *drafted.read]
    base = [
        BaseItem(key=key, revision=facts.revision_of(key))
        for key in dict.fromkeys(keys)
    ]
    forecast = _forecast(facts, after, drafted)
    return Plan(
        plan_id=plan_id,
        intent=intent,
        operator=operator,
        revision=facts.revision,
        base=base,
        rest=sorted(load.server for load in forecast.loads),
        steps=drafted.steps,
        forecast=forecast,
    )


def _draft(intent: Intent, facts: Facts) -> _Draft | Impossible:
    match intent:
        case DrainPlace():
            return _draft_drain(intent, facts)
        case Undrain():
            return _draft_undrain(intent, facts)
    found = facts.cfg.deployment(intent.deployment)
    if found is None:
        return Impossible([f"deployment: {intent.deployment!r} is not known"])
    match intent:
        case Move():
            return _draft_move(intent, found, facts)
        case SetBudget():
            return _draft_budget(intent, found, facts)
        case Scale():
            return _draft_scale(intent, found, facts)
        case NewVersion():
            return _draft_version(intent, found, facts)


def _draft_drain(intent: DrainPlace, facts: Facts) -> _Draft | Impossible:
    if intent.scope not in SCOPES:
        allowed = ", ".join(SCOPES)
        return Impossible([f"scope: {allowed} are allowed"])
    drain = Drain(scope=intent.scope, name=intent.name)
    if drain in facts.cfg.drains:
        text = f"name: {intent.scope} {intent.name!r} is drained already"
        return Impossible([text])
    covered = sorted(r.server for r in facts.servers if drain.covers(r))
    place = f"{intent.scope} {intent.name}"
    draft = _Draft(
        steps=[ChangeStep(text=f"no new work for {place}", upserts=[drain])],
        upserts=[drain],
    )
    if covered:
        draft.steps.append(_wait(covered))
    else:
        draft.notes.append(f"no known server stands in {place}")
    return draft


def _wait(servers: list[str], deployment: str = "") -> WaitStep:
    whose = f" of {deployment}" if deployment else ""
    text = f"wait for the calls{whose} on {', '.join(servers)}"
    return WaitStep(text=text, servers=servers, deployment=deployment)


def _draft_undrain(intent: Undrain, facts: Facts) -> _Draft | Impossible:
    drain = Drain(scope=intent.scope, name=intent.name)
    if drain not in facts.cfg.drains:
        text = f"name: {intent.scope} {intent.name!r} is not drained"
        return Impossible([text])
    key = key_of(drain)
    text = f"new work for {intent.scope} {intent.name} again"
    return _Draft(steps=[ChangeStep(text=text, removes=[key])], removes=[key])


def _draft_move(
    intent: Move, found: Deployment, facts: Facts
) -> _Draft | Impossible:
    known = {report.server for report in facts.servers}
    unknown = [name for name in intent.off if name not in known]
    if unknown or not intent.off:
        shown = ", ".join(map(repr, unknown)) or "none given"
        return Impossible([f"off: names of known servers are needed: {shown}"])
    return _off(found, intent.off)


def _off(found: Deployment, off: list[str]) -> _Draft:
    names = list(dict.fromkeys([*found.servers.off, *off]))
    changed = _with_off(found, names)
    text = f"take {found.name} off {', '.join(off)}"
    steps: list[Step] = [ChangeStep(text=text, upserts=[changed])]
    steps.append(_wait(off, found.name))
    return _Draft(steps=steps, upserts=[changed])


def _with_off(found: Deployment, off: list[str]) -> Deployment:
    servers = msgspec.structs.replace(found.servers, off=off)
    return msgspec.structs.replace(found, servers=servers)


def _draft_budget(
    intent: SetBudget, found: Deployment, facts: Facts
) -> _Draft | Impossible:
    given = (intent.tokens, intent.turns, intent.seconds)
    if not any(given) or any(value < 0 for value in given):
        text = "tokens, turns, seconds: at least one above 0 is needed"
        return Impossible([f"{text}, got {given}"])
    changed = msgspec.structs.replace(
        found,
        budget_tokens=intent.tokens or found.budget_tokens,
        budget_turns=intent.turns or found.budget_turns,
        budget_seconds=intent.seconds or found.budget_seconds,
    )
    text = f"change the budget of {found.name} for programs that begin later"
    draft = _Draft([ChangeStep(text=text, upserts=[changed])], [changed])
    over = facts.overspent(changed)
    if over:
        draft.notes.append(
            f"{over} programs under way have spent more than the new budget;"
            " they keep the one they began with"
        )
    return draft


def _draft_scale(
    intent: Scale, found: Deployment, facts: Facts
) -> _Draft | Impossible:
    if intent.servers < 1:
        return Impossible(["servers: at least 1 is allowed"])
    held = collections.Counter[str]()
    for usage in facts.usage:
        held[usage.server] += usage.tokens
    off: list[str] = []
    on: list[str] = []
    for target in found.targets:
        serving = [r for r in facts.servers if target in r.serves]
        used = [r.server for r in serving if found.servers.holds(r)]
        spare = [r.server for r in serving if r.server in found.servers.off]
        # The servers that hold the fewest tokens go first: the least is
        # computed again.
        used.sort(key=lambda server: (held[server], server))
        off += used[: max(0, len(used) - intent.servers)]
        on += sorted(spare)[: max(0, intent.servers - len(used))]
    if off:
        return _off(found, list(dict.fromkeys(off)))
    if not on:
        text = "servers: no server is to be added or taken off"
        return Impossible([text])
    names = [name for name in found.servers.off if name not in on]
    changed = _with_off(found, names)
    text = f"let {found.name} use {', '.join(on)}"
    return _Draft([ChangeStep(text=text, upserts=[changed])], [changed])


def _draft_version(
    intent: NewVersion, found: Deployment, facts: Facts
) -> _Draft | Impossible:
    if intent.target not in found.targets:
        allowed = ", ".join(found.targets)
        return Impossible([f"target: one of {allowed} is allowed"])
    old = found.versions.get(intent.target, "")
    serving = sorted(
        report.server
        for report in facts.servers
        if intent.target in report.serves and found.servers.holds(report)
    )
    versions = {**found.versions, intent.target: intent.version}
    changed = msgspec.structs.replace(found, versions=versions)
    draft = _Draft(steps=[], upserts=[changed], reloaded=serving)
    for server in serving:
        # One server at a time, so that the others carry the load meanwhile.
        draft.steps += _reload(server, intent, old, facts)
        drain = Drain(scope=SCOPE_SERVER, name=server)
        draft.read.append(key_of(drain))
    text = f"{found.name} is on version {intent.version} of {intent.target}"
    draft.steps.append(ChangeStep(text=text, upserts=[changed]))
    return draft


def _reload(
    server: str, intent: NewVersion, old: str, facts: Facts
) -> list[Step]:
    drain = Drain(scope=SCOPE_SERVER, name=server)
    order = OrderStep(
        text=f"order {server} to load version {intent.version}",
        server=server,
        order=_load_order(intent.target, intent.version),
        reverse=_load_order(intent.target, old),
    )
    if drain in facts.cfg.drains:
        return [order]
    begin = f"no new work for server {server}"
    end = f"new work for server {server} again"
    return [
        ChangeStep(text=begin, upserts=[drain]),
        _wait([server]),
        order,
        ChangeStep(text=end, removes=[key_of(drain)]),
    ]


def _load_order(target: str, version: str) -> bytes:
    body = {"order": "load-version", "target": target, "version": version}
    return json.dumps(body).encode()


def _forecast(facts: Facts, after: Configuration, draft: _Draft) -> Forecast:
    reports = {report.server: report for report in facts.servers}
    added = collections.Counter[str]()
    gone = collections.Counter[str]()
    refused = list(draft.notes)
    programs = tokens = link = 0
    for usage in facts.usage:
        left = reports.get(usage.server)
        if left is None:
            continue
        if usage.server in draft.reloaded:
            programs += usage.programs
            tokens += usage.tokens
            continue
        if after.allows(usage.deployment, left):
            continue
        if not facts.cfg.allows(usage.deployment, left):
            continue
        rest = _rest(facts, after, usage.deployment, usage.target)
        programs += usage.programs
        tokens += usage.tokens
        gone[usage.server] += usage.calls
        if rest and all(r.region != left.region for r in rest):
            link += usage.tokens * BYTES_PER_TOKEN
        _spread(usage.calls, rest, added)
    for deployment in after.deployments:
        refused += _refusals(facts, after, deployment)
    staying = {
        report.server
        for name, target in _touched(facts, after, draft)
        for report in _rest(facts, after, name, target)
    }
    loads = [
        _load(reports[name], added[name], gone[name])
        for name in sorted(staying)
    ]
    for load in loads:
        if load.after > 1 and load.after > load.before:
            refused.append(f"{load.server}: calls would wait, load over 1")
    return Forecast(
        loads=loads,
        refused=refused,
        lost_programs=programs,
        lost_tokens=tokens,
        link_bytes=link,
    )


def _rest(
    facts: Facts, cfg: Configuration, name: str, target: str
) -> list[ServerReport]:
    """Returns the servers that can take a deployment's calls for a target."""
    return [
        report
        for report in facts.servers
        if target in report.serves
        and not report.leaving
        and report.server not in facts.silent
        and cfg.allows(name, report)
    ]


def _spread(
    calls: int, rest: list[ServerReport], added: collections.Counter[str]
) -> None:
    places = sum(report.capacity for report in rest)
    for report in rest:
        added[report.server] += round(calls * report.capacity / places)


def _refusals(
    facts: Facts, after: Configuration, deployment: Deployment
) -> list[str]:
    """Returns which targets had a server and would have none."""
    lines = []
    for target in deployment.targets:
        if _rest(facts, after, deployment.name, target):
            continue
        if _rest(facts, facts.cfg, deployment.name, target):
            lines.append(
                f"every call of {deployment.name} for {target}: no server"
                " would be left"
            )
    return lines


def _touched(
    facts: Facts, after: Configuration, draft: _Draft
) -> set[tuple[str, str]]:
    """Returns deployment and target pairs whose servers change."""
    found = set()
    for deployment in after.deployments:
        for report in facts.servers:
            before = facts.cfg.allows(deployment.name, report)
            changes = before != after.allows(deployment.name, report)
            if changes or report.server in draft.reloaded:
                shared = set(deployment.targets) & set(report.serves)
                found |= {(deployment.name, target) for target in shared}
    return found


def _load(report: ServerReport, added: int, gone: int) -> ServerLoad:
    calls = report.running + report.waiting
    places = max(1, report.capacity)
    return ServerLoad(
        server=report.server,
        before=round(calls / places, 3),
        after=round((calls + added - gone) / places, 3),
    )
