"""An operator's intent turned into a plan."""

from __future__ import annotations

import collections
import json

import msgspec

from catkinpin.core.operations import forecasts
from catkinpin.core.operations.deployments import (
    SCOPE_SERVER,
    SCOPES,
    Deployment,
    Drain,
    key_of,
)
from catkinpin.core.operations.forecasts import Draft
from catkinpin.core.operations.plans import (
    BaseItem,
    ChangeStep,
    ClusterView,
    DrainPlace,
    Intent,
    InvalidIntent,
    Move,
    NewVersion,
    OrderStep,
    Plan,
    Scale,
    SetBudget,
    Step,
    Undrain,
    WaitStep,
)


def make_plan(
    plan_id: str, intent: Intent, operator: str, view: ClusterView
) -> Plan | InvalidIntent:
    """Returns the plan that carries out an intent."""
    drafted = _draft(intent, view)
    if isinstance(drafted, InvalidIntent):
        return drafted
    after = view.cfg.with_changes(drafted.upserts, drafted.removes)
    keys = [key_of(item) for item in drafted.upserts]
    keys += [*drafted.removes, *drafted.read]
    base = [
        BaseItem(key=key, revision=view.revision_of(key))
        for key in dict.fromkeys(keys)
    ]
    forecast = forecasts.forecast(view, after, drafted)
    return Plan(
        plan_id=plan_id,
        intent=intent,
        operator=operator,
        revision=view.revision,
        base=base,
        rest=sorted(load.server for load in forecast.loads),
        steps=drafted.steps,
        forecast=forecast,
    )


def _draft(intent: Intent, view: ClusterView) -> Draft | InvalidIntent:
    match intent:
        case DrainPlace():
            return _draft_drain(intent, view)
        case Undrain():
            return _draft_undrain(intent, view)
    found = view.cfg.deployment(intent.deployment)
    if found is None:
        return InvalidIntent(
            [f"deployment: {intent.deployment!r} is not known"]
        )
    match intent:
        case Move():
            return _draft_move(intent, found, view)
        case SetBudget():
            return _draft_budget(intent, found, view)
        case Scale():
            return _draft_scale(intent, found, view)
        case NewVersion():
            return _draft_version(intent, found, view)


def _draft_drain(
    intent: DrainPlace, view: ClusterView
) -> Draft | InvalidIntent:
    if intent.scope not in SCOPES:
        allowed = ", ".join(SCOPES)
        return InvalidIntent([f"scope: {allowed} are allowed"])
    drain = Drain(scope=intent.scope, name=intent.name)
    if drain in view.cfg.drains:
        text = f"name: {intent.scope} {intent.name!r} is drained already"
        return InvalidIntent([text])
    covered = sorted(r.server for r in view.servers if drain.covers(r))
    place = f"{intent.scope} {intent.name}"
    draft = Draft(
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


def _draft_undrain(intent: Undrain, view: ClusterView) -> Draft | InvalidIntent:
    drain = Drain(scope=intent.scope, name=intent.name)
    if drain not in view.cfg.drains:
        text = f"name: {intent.scope} {intent.name!r} is not drained"
        return InvalidIntent([text])
    key = key_of(drain)
    text = f"new work for {intent.scope} {intent.name} again"
    return Draft(steps=[ChangeStep(text=text, removes=[key])], removes=[key])


def _draft_move(
    intent: Move, found: Deployment, view: ClusterView
) -> Draft | InvalidIntent:
    known = {report.server for report in view.servers}
    unknown = [name for name in intent.off if name not in known]
    if unknown or not intent.off:
        shown = ", ".join(map(repr, unknown)) or "none given"
        return InvalidIntent(
            [f"off: names of known servers are needed: {shown}"]
        )
    return _off(found, intent.off)


def _off(found: Deployment, off: list[str]) -> Draft:
    names = list(dict.fromkeys([*found.servers.off, *off]))
    changed = _with_off(found, names)
    text = f"take {found.name} off {', '.join(off)}"
    steps: list[Step] = [ChangeStep(text=text, upserts=[changed])]
    steps.append(_wait(off, found.name))
    return Draft(steps=steps, upserts=[changed])


def _with_off(found: Deployment, off: list[str]) -> Deployment:
    servers = msgspec.structs.replace(found.servers, off=off)
    return msgspec.structs.replace(found, servers=servers)


def _draft_budget(
    intent: SetBudget, found: Deployment, view: ClusterView
) -> Draft | InvalidIntent:
    given = (intent.tokens, intent.turns, intent.seconds)
    if not any(given) or any(value < 0 for value in given):
        text = "tokens, turns, seconds: at least one above 0 is needed"
        return InvalidIntent([f"{text}, got {given}"])
    changed = msgspec.structs.replace(
        found,
        budget_tokens=intent.tokens or found.budget_tokens,
        budget_turns=intent.turns or found.budget_turns,
        budget_seconds=intent.seconds or found.budget_seconds,
    )
    text = f"change the budget of {found.name} for programs that begin later"
    draft = Draft([ChangeStep(text=text, upserts=[changed])], [changed])
    over = view.overspent(changed)
    if over:
        draft.notes.append(
            f"{over} programs under way have spent more than the new budget;"
            " they keep the one they began with"
        )
    return draft


def _draft_scale(
    intent: Scale, found: Deployment, view: ClusterView
) -> Draft | InvalidIntent:
    if intent.servers < 1:
        return InvalidIntent(["servers: at least 1 is allowed"])
    held = collections.Counter[str]()
    for usage in view.usage:
        held[usage.server] += usage.tokens
    off: list[str] = []
    on: list[str] = []
    for target in found.targets:
        serving = [r for r in view.servers if target in r.serves]
        used = [r.server for r in serving if found.servers.contains(r)]
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
        return InvalidIntent([text])
    names = [name for name in found.servers.off if name not in on]
    changed = _with_off(found, names)
    text = f"let {found.name} use {', '.join(on)}"
    return Draft([ChangeStep(text=text, upserts=[changed])], [changed])


def _draft_version(
    intent: NewVersion, found: Deployment, view: ClusterView
) -> Draft | InvalidIntent:
    if intent.target not in found.targets:
        allowed = ", ".join(found.targets)
        return InvalidIntent([f"target: one of {allowed} is allowed"])
    old = found.versions.get(intent.target, "")
    serving = sorted(
        report.server
        for report in view.servers
        if intent.target in report.serves and found.servers.contains(report)
    )
    versions = {**found.versions, intent.target: intent.version}
    changed = msgspec.structs.replace(found, versions=versions)
    draft = Draft(steps=[], upserts=[changed], reloaded=serving)
    for server in serving:
        # One server at a time, so that the others carry the load meanwhile.
        draft.steps += _reload(server, intent, old, view)
        drain = Drain(scope=SCOPE_SERVER, name=server)
        draft.read.append(key_of(drain))
    text = f"{found.name} is on version {intent.version} of {intent.target}"
    draft.steps.append(ChangeStep(text=text, upserts=[changed]))
    return draft


def _reload(
    server: str, intent: NewVersion, old: str, view: ClusterView
) -> list[Step]:
    drain = Drain(scope=SCOPE_SERVER, name=server)
    order = OrderStep(
        text=f"order {server} to load version {intent.version}",
        server=server,
        order=_load_order(intent.target, intent.version),
        reverse=_load_order(intent.target, old),
    )
    if drain in view.cfg.drains:
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
