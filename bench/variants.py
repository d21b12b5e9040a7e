"""What is compared: the baselines and the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.placement import candidates, scheduler

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.placement.servers import ServerView

    Make = Callable[[ServerView], scheduler.Scheduler]

POLICY = "policy"


def _baseline(make: Callable[[], candidates.Policy]) -> Make:
    return lambda view: scheduler.Scheduler(view, make())


def _policy(view: ServerView) -> scheduler.Scheduler:
    prices = candidates.CostModel()
    return scheduler.Scheduler(
        view,
        candidates.by_cost(prices),
        scheduler.QueueOptions(),
        candidates.home_is_cheapest(prices),
    )


VARIANTS: dict[str, Make] = {
    "round robin": _baseline(candidates.round_robin),
    "least outstanding": _baseline(lambda: candidates.least_outstanding),
    "sticky": _baseline(lambda: candidates.sticky),
    POLICY: _policy,
}
