"""The variants that are compared: three baselines and the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.placement import candidates, scheduler

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.placement.servers import ServerView

    SchedulerFactory = Callable[[ServerView], scheduler.Scheduler]

POLICY = "policy"


def _baseline_factory(
    make_policy: Callable[[], candidates.Policy],
) -> SchedulerFactory:
    return lambda view: scheduler.Scheduler(view, make_policy())


def _make_policy_scheduler(view: ServerView) -> scheduler.Scheduler:
    cost_model = candidates.CostModel()
    return scheduler.Scheduler(
        view,
        candidates.by_cost(cost_model),
        scheduler.QueueOptions(),
        candidates.home_is_cheapest(cost_model),
    )


VARIANTS: dict[str, SchedulerFactory] = {
    "round robin": _baseline_factory(candidates.round_robin),
    "least outstanding": _baseline_factory(
        lambda: candidates.least_outstanding
    ),
    "sticky": _baseline_factory(lambda: candidates.sticky),
    POLICY: _make_policy_scheduler,
}
