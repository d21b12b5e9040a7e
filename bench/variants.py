"""What is compared: the baselines and the policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core import placement, scheduler

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.servers import ServerView

    Make = Callable[[ServerView], scheduler.Scheduler]

POLICY = "policy"


def _baseline(make: Callable[[], placement.Policy]) -> Make:
    return lambda view: scheduler.Scheduler(view, make())


def _policy(view: ServerView) -> scheduler.Scheduler:
    prices = placement.Prices()
    return scheduler.Scheduler(
        view,
        placement.by_cost(prices),
        scheduler.WaitPlan(),
        placement.keeps_home(prices),
    )


VARIANTS: dict[str, Make] = {
    "round robin": _baseline(placement.round_robin),
    "least outstanding": _baseline(lambda: placement.least_outstanding),
    "sticky": _baseline(lambda: placement.sticky),
    POLICY: _policy,
}
