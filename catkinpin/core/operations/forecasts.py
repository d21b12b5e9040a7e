"""Forecasts the effects of a plan on load, refusals, caches and links."""

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
    """Steps of a plan in the making, and what its forecast needs.

    Attributes:
        steps: steps of the plan.
        upserts: items that the whole plan adds or replaces.
        removes: items that the whole plan removes.
        dependencies: other items that must stay unchanged until the plan is
            confirmed.
        warnings: remarks for the forecast.
        reloaded_servers: servers that load a new version and so lose their
            caches.
    """

    steps: list[Step]
    upserts: list[Item] = dataclasses.field(default_factory=list)
    removes: list[ItemKey] = dataclasses.field(default_factory=list)
    dependencies: list[ItemKey] = dataclasses.field(default_factory=list)
    warnings: list[str] = dataclasses.field(default_factory=list)
    reloaded_servers: list[str] = dataclasses.field(default_factory=list)


def forecast(view: ClusterView, after: Configuration, draft: Draft) -> Forecast:
    """Returns the expected effects of a drafted plan.

    Args:
        view: current configuration, servers and programs.
        after: configuration once the plan is carried out.
        draft: draft of the plan.
    """
    reports = {report.server: report for report in view.servers}
    added = collections.Counter[str]()
    removed = collections.Counter[str]()
    refused = list(draft.warnings)
    programs = tokens = link_bytes = 0
    for usage in view.usage:
        report = reports.get(usage.server)
        if report is None:
            continue
        if usage.server in draft.reloaded_servers:
            programs += usage.programs
            tokens += usage.tokens
            continue
        stays = after.allows(usage.deployment, report)
        if stays or not view.cfg.allows(usage.deployment, report):
            continue
        remaining = _servers_for(view, after, usage.deployment, usage.target)
        programs += usage.programs
        tokens += usage.tokens
        removed[usage.server] += usage.calls
        if remaining and all(r.region != report.region for r in remaining):
            link_bytes += usage.tokens * BYTES_PER_TOKEN
        _distribute(usage.calls, remaining, added)
    for deployment in after.deployments:
        refused += _warn_of_lost_targets(view, after, deployment)
    pairs = _find_affected_targets(view, after, draft)
    groups = (_servers_for(view, after, name, target) for name, target in pairs)
    kept = {report.server for group in groups for report in group}
    loads = [_load_of(reports[n], added[n], removed[n]) for n in sorted(kept)]
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
        link_bytes=link_bytes,
    )


def _servers_for(
    view: ClusterView, cfg: Configuration, name: str, target: str
) -> list[ServerReport]:
    """Returns the servers that may take a deployment's calls for a target."""
    return [
        report
        for report in view.servers
        if target in report.serves
        and not report.leaving
        and report.server not in view.silent
        and cfg.allows(name, report)
    ]


def _distribute(
    calls: int,
    servers: list[ServerReport],
    added: collections.Counter[str],
) -> None:
    """Adds calls to the servers' counts in proportion to their capacity."""
    total = sum(report.capacity for report in servers)
    for report in servers:
        added[report.server] += round(calls * report.capacity / total)


def _warn_of_lost_targets(
    view: ClusterView, after: Configuration, deployment: Deployment
) -> list[str]:
    """Returns a warning for each target that would lose its last server."""
    warnings = []
    for target in deployment.targets:
        if _servers_for(view, after, deployment.name, target):
            continue
        if _servers_for(view, view.cfg, deployment.name, target):
            warnings.append(
                f"every call of {deployment.name} for {target}: no server"
                " would be left"
            )
    return warnings


def _find_affected_targets(
    view: ClusterView, after: Configuration, draft: Draft
) -> set[tuple[str, str]]:
    """Returns the deployment and target pairs whose servers change."""
    found = set()
    for deployment in after.deployments:
        for report in view.servers:
            before = view.cfg.allows(deployment.name, report)
            differs = before != after.allows(deployment.name, report)
            if differs or report.server in draft.reloaded_servers:
                shared = set(deployment.targets) & set(report.serves)
                found |= {(deployment.name, target) for target in shared}
    return found


def _load_of(report: ServerReport, added: int, removed: int) -> ServerLoad:
    """Returns the load of a server with calls moved to and from it."""
    calls = report.running + report.waiting
    capacity = max(1, report.capacity)
    return ServerLoad(
        server=report.server,
        before=round(calls / capacity, 3),
        after=round((calls + added - removed) / capacity, 3),
    )
