"""Builds the status of plans, processes and servers for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from catkinpin.core.operations import changes, plans

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from catkinpin.core.operations.control import ControlState, PlanRun
    from catkinpin.core.operations.leases import Holder


def plan_progress(
    run: PlanRun, usages: list[plans.ServerUsage], note: str
) -> plans.PlanProgress:
    """Returns a plan's progress.

    Args:
        run: the plan.
        usages: calls and cached histories on each server.
        note: last problem with the plan's orders to engines.
    """
    waits = [s for s in run.steps if isinstance(s, plans.WaitStep)]
    awaited = [
        usage
        for usage in usages
        if any(waits_for(step, usage) for step in waits)
    ]
    return plans.PlanProgress(
        plan_id=run.plan.plan_id,
        state=run.state,
        operator=run.operator or run.plan.operator,
        step=run.step,
        steps=[step.text for step in run.steps],
        calls_left=sum(usage.calls for usage in awaited),
        programs_left=sum(usage.programs for usage in awaited),
        note=note,
    )


def status(
    ask: int,
    state: ControlState,
    view: plans.ClusterView,
    holders: Iterable[Holder],
    order_problem: Callable[[str], str],
    now_ms: int,
) -> changes.Status:
    """Returns the status of processes, servers and plans.

    Args:
        ask: number of the request.
        state: state of the control group.
        view: current servers and programs.
        holders: holders of leases.
        order_problem: returns the last problem with a plan's orders.
        now_ms: monotonic time.
    """
    processes = [
        changes.ProcessStatus(
            process=holder.info.process,
            incarnation=holder.info.incarnation,
            role=holder.info.role,
            domain=holder.info.domain,
            region=holder.info.region,
            revision=holder.revision,
            lease_left_ms=max(0, holder.expires_at_ms - now_ms),
        )
        for holder in holders
    ]
    return changes.Status(
        ask=ask,
        revision=state.revision,
        operator=state.last_change.operator,
        processes=sorted(processes, key=lambda process: process.process),
        servers=[_server_status(view, r) for r in view.servers],
        plans=[
            plan_progress(run, view.usage, order_problem(run.plan.plan_id))
            for run in state.plans.values()
        ],
        quarantined={
            fingerprint.hex(): reason
            for fingerprint, reason in state.quarantine.reasons.items()
        },
    )


def waits_for(step: plans.WaitStep, usage: plans.ServerUsage) -> bool:
    """Returns whether a step waits for the calls of `usage` to end."""
    deployment_matches = step.deployment in ("", usage.deployment)
    return deployment_matches and usage.server in step.servers


def _server_status(
    view: plans.ClusterView, report: Any
) -> changes.ServerStatus:
    state = "in use"
    if view.cfg.is_drained(report):
        state = "drained"
    if report.leaving:
        state = "leaving"
    return changes.ServerStatus(
        server=report.server,
        kind=report.kind,
        serves=report.serves,
        domain=report.domain,
        region=report.region,
        capacity=report.capacity,
        running=report.running,
        waiting=report.waiting,
        state=state,
    )
