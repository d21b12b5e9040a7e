"""What a plan would bring: load, refusals, lost cache, bytes."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.operations.plans import (
    BYTES_PER_TOKEN,
    ClusterView,
    Forecast,
    ServerLoad,
    Step,
)

if TYPE_CHECKING:
    from catkinpin.core.messages import ServerReport
    from catkinpin.core.operations.deployments import (
        Configuration,
        Deployment,
        Item,
        ItemKey,
    )


@dataclasses.dataclass
class Draft:
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


def forecast(view: ClusterView, after: Configuration, draft: Draft) -> Forecast:
    """Returns what a drafted plan would bring.

    Args:
        view: what is known now.
        after: the configuration once the plan is carried out.
        draft: its steps and notes.
    """
    reports = {report.server: report for report in view.servers}
    added = collections.Counter[str]()
    gone = collections.Counter[str]()
    refused = list(draft.notes)
    programs = tokens = link = 0
    for usage in view.usage:
        left = reports.get(usage.server)
        if left is None:
            continue
        if usage.server in draft.reloaded:
            programs += usage.programs
            tokens += usage.tokens
            continue
        stays = after.allows(usage.deployment, left)
        if stays or not view.cfg.allows(usage.deployment, left):
            continue
        rest = _rest(view, after, usage.deployment, usage.target)
        programs += usage.programs
        tokens += usage.tokens
        gone[usage.server] += usage.calls
        if rest and all(r.region != left.region for r in rest):
            link += usage.tokens * BYTES_PER_TOKEN
        _spread(usage.calls, rest, added)
    for deployment in after.deployments:
        refused += _refusals(view, after, deployment)
    touched = _touched(view, after, draft)
    rests = (_rest(view, after, name, target) for name, target in touched)
    staying = {report.server for rest in rests for report in rest}
    loads = [_load(reports[n], added[n], gone[n]) for n in sorted(staying)]
    refused += [
        f"{load.server}: calls would wait, load over 1"
        for load in loads
        if load.after > 1 and load.after > load.before
    ]
    return Forecast(
        loads=loads,
        refused=refused,
        lost_programs=programs,
        lost_tokens=tokens,
        link_bytes=link,
    )


def _rest(
    view: ClusterView, cfg: Configuration, name: str, target: str
) -> list[ServerReport]:
    """Returns the servers that can take a deployment's calls for a target."""
    return [
        report
        for report in view.servers
        if target in report.serves
        and not report.leaving
        and report.server not in view.silent
        and cfg.allows(name, report)
    ]


def _spread(
    calls: int, rest: list[ServerReport], added: collections.Counter[str]
) -> None:
    places = sum(report.capacity for report in rest)
    for report in rest:
        added[report.server] += round(calls * report.capacity / places)


def _refusals(
    view: ClusterView, after: Configuration, deployment: Deployment
) -> list[str]:
    """Returns which targets had a server and would have none."""
    lines = []
    for target in deployment.targets:
        if _rest(view, after, deployment.name, target):
            continue
        if _rest(view, view.cfg, deployment.name, target):
            lines.append(
                f"every call of {deployment.name} for {target}: no server"
                " would be left"
            )
    return lines


def _touched(
    view: ClusterView, after: Configuration, draft: Draft
) -> set[tuple[str, str]]:
    """Returns deployment and target pairs whose servers change."""
    found = set()
    for deployment in after.deployments:
        for report in view.servers:
            before = view.cfg.allows(deployment.name, report)
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
