"""Orders (commands) of plans to engines: which entry may send one, and when.

Entries send the orders. Right before it sends one, an entry claims the order
from the leader; the engine must have answered within `CLAIM_MS` from when the
entry sent its claim. Until then, unless the order succeeds first, nobody gets
an order for the same server. An engine that checks fencing tokens refuses an
old order itself; for other engines, a new leader waits until the claims of its
predecessor have expired.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.operations import changes, plans

if TYPE_CHECKING:
    from catkinpin.core.operations.control import ControlState

CLAIM_MS = 5_000
_CLOCK_DRIFT_MS = 50
_OFFER_INTERVAL_MS = 1_000


class Orders:
    """Orders in progress; a new leader starts without them.

    Args:
        state: the replicated state, read only.
        now_ms: monotonic time of the election.
    """

    def __init__(self, state: ControlState, now_ms: int) -> None:
        self._state = state
        self._elected_ms = now_ms
        self._offered_ms: dict[tuple[str, int], int] = {}
        self._busy_until_ms: dict[str, int] = {}
        self._problems: dict[str, str] = {}

    def create_due_offers(self, now_ms: int) -> list[changes.OrderOffer]:
        """Returns the messages that ask entries to send the orders due now.

        An order is offered again at an interval until an entry claims it.
        """
        offers = []
        for plan_id, run in self._state.plans.items():
            step = run.current_step()
            if not isinstance(step, plans.OrderStep):
                continue
            if not self._may_send(step.server, now_ms):
                continue
            key = (plan_id, run.step)
            offered_ms = self._offered_ms.get(key)
            if (
                offered_ms is not None
                and now_ms - offered_ms < _OFFER_INTERVAL_MS
            ):
                continue
            self._offered_ms[key] = now_ms
            offers.append(changes.OrderOffer(plan_id=plan_id, step=run.step))
        return offers

    def grant_claim(
        self, claim: changes.OrderClaim, now_ms: int
    ) -> changes.OrderLease:
        """Returns the order if it is still due and its server is free.

        The order is offered again if the claim expires without an answer.
        """
        run = self._state.plans.get(claim.plan_id)
        step = run.current_step() if run is not None else None
        if (
            run is None
            or not isinstance(step, plans.OrderStep)
            or run.step != claim.step
            or not self._may_send(step.server, now_ms)
        ):
            return changes.OrderLease(ask=claim.ask)
        server = self._state.servers.get(step.server)
        if server is None:
            self._problems[claim.plan_id] = f"{step.server} is not known"
            return changes.OrderLease(ask=claim.ask)
        self._busy_until_ms[step.server] = now_ms + CLAIM_MS + _CLOCK_DRIFT_MS
        return changes.OrderLease(
            ask=claim.ask,
            address=server.address,
            fence=run.fencing_token,
            body=step.order,
            valid_ms=CLAIM_MS,
        )

    def record_result(self, result: changes.OrderResult) -> bool:
        """Records an engine's answer; returns whether the step is done."""
        run = self._state.plans.get(result.plan_id)
        step = run.current_step() if run is not None else None
        if run is None or not isinstance(step, plans.OrderStep):
            return False
        if run.step != result.step:
            return False
        self._problems[result.plan_id] = "" if result.ok else result.text
        if result.ok:
            self._busy_until_ms.pop(step.server, None)
        return result.ok

    def find_server(
        self, offer: changes.OrderOffer
    ) -> changes.ServerFacts | None:
        """Returns the server of an offered order, None if it is not known."""
        run = self._state.plans[offer.plan_id]
        step = run.current_step()
        assert isinstance(step, plans.OrderStep)
        return self._state.servers.get(step.server)

    def last_problem(self, plan_id: str) -> str:
        """Returns the last problem with a plan's orders; empty if none."""
        return self._problems.get(plan_id, "")

    def _may_send(self, server: str, now_ms: int) -> bool:
        facts = self._state.servers.get(server)
        checks_token = facts is not None and facts.honours_fencing
        # An order that the previous leader allowed may still be on its way. An
        # engine that ignores tokens would carry it out after ours and silently
        # go back to the old version.
        if (
            not checks_token
            and now_ms < self._elected_ms + CLAIM_MS + _CLOCK_DRIFT_MS
        ):
            return False
        return now_ms >= self._busy_until_ms.get(server, now_ms)
