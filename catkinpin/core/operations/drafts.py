"""Makes a plan from an operator's intent."""

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
    """Returns the plan for an intent, or why the intent is invalid."""
    draft = _make_draft(intent, view)
    if isinstance(draft, InvalidIntent):
        return draft
    after = view.cfg.with_changes(draft.upserts, draft.removes)
    keys = [key_of(item) for item in draft.upserts]
    keys += [*draft.removes, *draft.dependencies]
    base = [
        BaseItem(key=key, revision=view.revision_of(key))
        for key in dict.fromkeys(keys)
    ]
    forecast = forecasts.forecast(view, after, draft)
    return Plan(
        plan_id=plan_id,
        intent=intent,
        operator=operator,
        revision=view.revision,
        base=base,
        rest=sorted(load.server for load in forecast.loads),
        steps=draft.steps,
        forecast=forecast,
    )


def _make_draft(intent: Intent, view: ClusterView) -> Draft | InvalidIntent:
    match intent:
        case DrainPlace():
            return _draft_drain(intent, view)
        case Undrain():
            return _draft_undrain(intent, view)
    deployment = view.cfg.deployment(intent.deployment)
    if deployment is None:
        return InvalidIntent(
            [f"deployment: {intent.deployment!r} is not known"]
        )
    match intent:
        case Move():
            return _draft_move(intent, deployment, view)
        case SetBudget():
            return _draft_budget(intent, deployment, view)
        case Scale():
            return _draft_scale(intent, deployment, view)
        case NewVersion():
            return _draft_version(intent, deployment, view)


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
        draft.steps.append(_wait_step(covered))
    else:
        draft.warnings.append(f"no known server stands in {place}")
    return draft


def _wait_step(servers: list[str], deployment: str = "") -> WaitStep:
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
    intent: Move, deployment: Deployment, view: ClusterView
) -> Draft | InvalidIntent:
    known = {report.server for report in view.servers}
    unknown = [name for name in intent.off if name not in known]
    if unknown or not intent.off:
        shown = ", ".join(map(repr, unknown)) or "none given"
        return InvalidIntent(
            [f"off: names of known servers are needed: {shown}"]
        )
    return _take_off_servers(deployment, intent.off)


def _take_off_servers(deployment: Deployment, off: list[str]) -> Draft:
    names = list(dict.fromkeys([*deployment.servers.off, *off]))
    changed = _with_servers_off(deployment, names)
    text = f"take {deployment.name} off {', '.join(off)}"
    steps: list[Step] = [ChangeStep(text=text, upserts=[changed])]
    steps.append(_wait_step(off, deployment.name))
    return Draft(steps=steps, upserts=[changed])


def _with_servers_off(deployment: Deployment, off: list[str]) -> Deployment:
    servers = msgspec.structs.replace(deployment.servers, off=off)
    return msgspec.structs.replace(deployment, servers=servers)


def _draft_budget(
    intent: SetBudget, deployment: Deployment, view: ClusterView
) -> Draft | InvalidIntent:
    given = (intent.tokens, intent.turns, intent.seconds)
    if not any(given) or any(value < 0 for value in given):
        text = "tokens, turns, seconds: at least one above 0 is needed"
        return InvalidIntent([f"{text}, got {given}"])
    changed = msgspec.structs.replace(
        deployment,
        budget_tokens=intent.tokens or deployment.budget_tokens,
        budget_turns=intent.turns or deployment.budget_turns,
        budget_seconds=intent.seconds or deployment.budget_seconds,
    )
    text = (
        f"change the budget of {deployment.name} for programs that begin later"
    )
    draft = Draft([ChangeStep(text=text, upserts=[changed])], [changed])
    count = view.overspent(changed)
    if count:
        draft.warnings.append(
            f"{count} programs under way have spent more than the new budget;"
            " they keep the one they began with"
        )
    return draft


def _draft_scale(
    intent: Scale, deployment: Deployment, view: ClusterView
) -> Draft | InvalidIntent:
    if intent.servers < 1:
        return InvalidIntent(["servers: at least 1 is allowed"])
    tokens_by_server = collections.Counter[str]()
    for usage in view.usage:
        tokens_by_server[usage.server] += usage.tokens
    off: list[str] = []
    on: list[str] = []
    for target in deployment.targets:
        serving = [r for r in view.servers if target in r.serves]
        used = [r.server for r in serving if deployment.servers.contains(r)]
        spare = [
            r.server for r in serving if r.server in deployment.servers.off
        ]
        # Takes off the servers with the fewest cached tokens first, as these
        # tokens have to be computed again.
        used.sort(key=lambda server: (tokens_by_server[server], server))
        off += used[: max(0, len(used) - intent.servers)]
        on += sorted(spare)[: max(0, intent.servers - len(used))]
    if off:
        return _take_off_servers(deployment, list(dict.fromkeys(off)))
    if not on:
        text = "servers: no server is to be added or taken off"
        return InvalidIntent([text])
    names = [name for name in deployment.servers.off if name not in on]
    changed = _with_servers_off(deployment, names)
    text = f"let {deployment.name} use {', '.join(on)}"
    return Draft([ChangeStep(text=text, upserts=[changed])], [changed])


def _draft_version(
    intent: NewVersion, deployment: Deployment, view: ClusterView
) -> Draft | InvalidIntent:
    if intent.target not in deployment.targets:
        allowed = ", ".join(deployment.targets)
        return InvalidIntent([f"target: one of {allowed} is allowed"])
    old = deployment.versions.get(intent.target, "")
    serving = sorted(
        report.server
        for report in view.servers
        if intent.target in report.serves
        and deployment.servers.contains(report)
    )
    versions = {**deployment.versions, intent.target: intent.version}
    changed = msgspec.structs.replace(deployment, versions=versions)
    draft = Draft(steps=[], upserts=[changed], reloaded_servers=serving)
    for server in serving:
        # Reloads one server at a time while the others take its load.
        draft.steps += _reload_steps(server, intent, old, view)
        drain = Drain(scope=SCOPE_SERVER, name=server)
        draft.dependencies.append(key_of(drain))
    text = (
        f"{deployment.name} is on version {intent.version} of {intent.target}"
    )
    draft.steps.append(ChangeStep(text=text, upserts=[changed]))
    return draft


def _reload_steps(
    server: str, intent: NewVersion, old: str, view: ClusterView
) -> list[Step]:
    drain = Drain(scope=SCOPE_SERVER, name=server)
    order = OrderStep(
        text=f"order {server} to load version {intent.version}",
        server=server,
        order=_load_order_body(intent.target, intent.version),
        reverse=_load_order_body(intent.target, old),
    )
    if drain in view.cfg.drains:
        return [order]
    begin = f"no new work for server {server}"
    end = f"new work for server {server} again"
    return [
        ChangeStep(text=begin, upserts=[drain]),
        _wait_step([server]),
        order,
        ChangeStep(text=end, removes=[key_of(drain)]),
    ]


def _load_order_body(target: str, version: str) -> bytes:
    body = {"order": "load-version", "target": target, "version": version}
    return json.dumps(body).encode()
