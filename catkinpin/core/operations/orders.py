"""Orders to engines: who may send which, and until when.

An engine that checks fencing tokens refuses an old order itself. For one that
does not, an order counts only while a claim on it stands: an entry asks the
leader right before it sends, must be done within the claim's time from its own
question, and no other order goes to that server before that time is over, also
not from the leader's successor.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.operations import changes, plans

if TYPE_CHECKING:
    from catkinpin.core.operations.control import ControlState

CLAIM_MS = 5_000
_DRIFT_MS = 50
_OFFER_EVERY_MS = 1_000


class Orders:
    """Orders that are under way; lost with the leadership."""

    def __init__(self, state: ControlState, now_ms: int) -> None:
        self._state = state
        self._since_ms = now_ms
        self._offered: dict[tuple[str, int], int] = {}
        self._busy: dict[str, int] = {}
        self._notes: dict[str, str] = {}

    def due(self, now_ms: int) -> list[changes.OrderOffer]:
        """Returns orders that an entry should be asked to carry now."""
        offers = []
        for plan_id, run in self._state.plans.items():
            step = run.current()
            if not isinstance(step, plans.OrderStep):
                continue
            if not self._free(step.server, now_ms):
                continue
            key = (plan_id, run.step)
            last = self._offered.get(key)
            if last is not None and now_ms - last < _OFFER_EVERY_MS:
                continue
            self._offered[key] = now_ms
            offers.append(changes.OrderOffer(plan_id=plan_id, step=run.step))
        return offers

    def claim(
        self, claim: changes.OrderClaim, now_ms: int
    ) -> changes.OrderLease:
        """Returns the order if it still stands and nothing else is on its way.

        The order is due again once the time of the claim is over without an
        answer.
        """
        run = self._state.plans.get(claim.plan_id)
        step = run.current() if run is not None else None
        if (
            run is None
            or not isinstance(step, plans.OrderStep)
            or run.step != claim.step
            or not self._free(step.server, now_ms)
        ):
            return changes.OrderLease(ask=claim.ask)
        server = self._state.servers.get(step.server)
        if server is None:
            self._notes[claim.plan_id] = f"{step.server} is not known"
            return changes.OrderLease(ask=claim.ask)
        self._busy[step.server] = now_ms + CLAIM_MS + _DRIFT_MS
        return changes.OrderLease(
            ask=claim.ask,
            address=server.address,
            fence=run.fence,
            body=step.order,
            valid_ms=CLAIM_MS,
        )

    def result(self, result: changes.OrderResult) -> bool:
        """Notes an engine's answer; returns whether the step is done."""
        run = self._state.plans.get(result.plan_id)
        step = run.current() if run is not None else None
        if run is None or not isinstance(step, plans.OrderStep):
            return False
        if run.step != result.step:
            return False
        self._notes[result.plan_id] = "" if result.ok else result.text
        if result.ok:
            self._busy.pop(step.server, None)
        return result.ok

    def server_of(
        self, offer: changes.OrderOffer
    ) -> changes.ServerFacts | None:
        """Returns the server that an order is for."""
        run = self._state.plans[offer.plan_id]
        step = run.current()
        assert isinstance(step, plans.OrderStep)
        return self._state.servers.get(step.server)

    def note(self, plan_id: str) -> str:
        """Returns what last went wrong with a plan's order."""
        return self._notes.get(plan_id, "")

    def _free(self, server: str, now_ms: int) -> bool:
        facts = self._state.servers.get(server)
        fenced = facts is not None and facts.honours_fencing
        # An order that the leader before this one let go may still be on its
        # way; an engine that ignores tokens would take it after ours, and go
        # back to the old version unseen.
        if not fenced and now_ms < self._since_ms + CLAIM_MS + _DRIFT_MS:
            return False
        return now_ms >= self._busy.get(server, now_ms)
