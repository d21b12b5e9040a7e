"""Decides whether a new program is admitted.

If all programs were admitted in overload, they would share the delay and all
would be late. The leader therefore admits a program only if the servers have
room for it or if it ends in time in spite of the queue. Otherwise it tells the
program when to return and keeps room for it.

Turns of programs in progress are never refused.
"""

from __future__ import annotations

import dataclasses
import enum
import math
from typing import TYPE_CHECKING

from catkinpin.core.placement.demand import ServiceDemand
from catkinpin.core.placement.promises import Promise, Promises
from catkinpin.core.placement.shares import Shares, Standing

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from catkinpin.core.placement.demand import OpenTurn, RouteAverages
    from catkinpin.core.placement.placer import ServerSlowdown

# A new leader knows no running programs, so it refuses none for this long.
_LEARNING_MS = 1_000
# Share of its time left that an admitted program may be expected to take. A
# refused one still ends in time if it waits for less than the rest. The last
# part covers errors of the estimate: programs differ from their route's mean.
_ADMITTED_TIME_SHARE = 0.7
_PROMISED_TIME_SHARE = 0.85
_SHARE_TIME_SHARE = 0.95
# Bound against a division by zero.
_MIN_CAPACITY = 0.01
# Callers honour a return time up to this share of their request's time left.
_HONOURED_SHARE = 1 / 3
# A promise holds unless the capacity has fallen below this share.
_MIN_CAPACITY_SHARE = 0.9
_MIN_RETRY_MS = 20


class AdmissionReason(enum.StrEnum):
    """Why a program was admitted or refused."""

    ROOM = "room"
    IN_TIME = "in-time"
    UNKNOWN = "unknown"
    NEW_LEADER = "new-leader"
    KNOWN_PROGRAM = "known-program"
    RETURNED = "returned"
    BELOW_SHARE = "below-share"
    REFUSED = "refused"
    ABOVE_SHARE = "above-share"


@dataclasses.dataclass(frozen=True)
class NewProgram:
    """A program that asks for its first turn.

    Attributes:
        left_ms: time left until the program's deadline; 0 if unknown.
        request_left_ms: time left until the request's deadline.
    """

    service: str
    route: str
    account: str
    program: str
    left_ms: int
    request_left_ms: int


@dataclasses.dataclass(frozen=True)
class AdmissionDecision:
    """A decision with its inputs; the fields are those of its log event.

    Attributes:
        retry_ms: in how many ms to return; 0 for an admitted program.
        is_promised: whether room is kept for its return.
        needed: slots needed, with the program and those promised to return.
        capacity: slots, divided by the servers' mean slowdown.
        idle_ms: time that the program would take without a queue.
        expected_ms: time that the program is expected to take.
        left_ms: time left that it is compared with.
        learned_age_ms: age of the route's averages.
        used_slots: slots that its account used lately; only where a share
            counts.
        share_slots: slots that its account may use; infinite if there is
            enough for all accounts.
    """

    reason: AdmissionReason
    retry_ms: int = 0
    is_promised: bool = False
    needed: float = 0.0
    capacity: float = 0.0
    idle_ms: int = 0
    expected_ms: int = 0
    left_ms: int = 0
    learned_age_ms: int = 0
    used_slots: float = 0.0
    share_slots: float = 0.0


class Admission:
    """Admits new programs, and learns from the turns of all programs.

    Args:
        now_ms: monotonic time.
        weights: weight of an account's share; 1 where there is none.
    """

    def __init__(
        self, now_ms: int, weights: Mapping[str, float] | None = None
    ) -> None:
        self._weights = weights or {}
        self.reset(now_ms)

    def reset(self, now_ms: int) -> None:
        """Clears all state, as another leader may have decided since."""
        self._reset_ms = now_ms
        self._services: dict[str, ServiceDemand] = {}
        self._shares: dict[str, Shares] = {}
        self._promises = Promises()

    def set_slots(self, service: str, slots: int, now_ms: int) -> None:
        """Sets the slots of a service's ready servers."""
        demand = self._service(service, now_ms)
        demand.advance(now_ms)
        demand.slots = slots

    def update_shares(self, now_ms: int) -> None:
        """Computes the accounts' shares again; called several times a second.

        It sorts the accounts, so it is not part of a decision.
        """
        for service, shares in self._shares.items():
            shares.update(self._services[service].capacity(now_ms), now_ms)

    def retain_accounts(self, accounts: Collection[str]) -> None:
        """Drops the usage of accounts that no longer exist."""
        for shares in self._shares.values():
            shares.retain(accounts)

    def decide(self, program: NewProgram, now_ms: int) -> AdmissionDecision:
        """Decides whether a new program may begin; a refusal is recorded."""
        demand = self._service(program.service, now_ms)
        demand.advance(now_ms)
        self._promises.advance(now_ms)
        route = demand.route(program.route)
        key = (program.service, program.account, program.program)
        promise = self._promises.find(key)
        decision = self._estimate(demand, program, promise, now_ms)
        if demand.knows_program(key[1:]):
            reason = AdmissionReason.KNOWN_PROGRAM
        elif promise is not None and _holds(promise, decision, now_ms):
            reason = AdmissionReason.RETURNED
        elif now_ms - self._reset_ms < _LEARNING_MS:
            reason = AdmissionReason.NEW_LEADER
        elif not route.is_known or not demand.slots:
            reason = AdmissionReason.UNKNOWN
        elif decision.needed <= decision.capacity:
            reason = AdmissionReason.ROOM
        elif decision.expected_ms <= _ADMITTED_TIME_SHARE * decision.left_ms:
            reason = AdmissionReason.IN_TIME
        else:
            decision = self._weigh_shares(program, route, decision, now_ms)
            if decision.reason is not AdmissionReason.BELOW_SHARE:
                return self._refuse(program, route, decision, now_ms)
            reason = decision.reason
        self._promises.remove(key)
        if promise is None and program.left_ms:
            route.left_ms.add(program.left_ms)
        return dataclasses.replace(decision, reason=reason)

    def begin(
        self,
        attempt: str,
        program: NewProgram,
        earlier_turns: int,
        now_ms: int,
    ) -> None:
        """Begins a turn of an admitted program.

        Args:
            attempt: ID of the turn; a resent one changes nothing.
            program: its program, new or in progress.
            earlier_turns: number of the program's turns that ended.
            now_ms: monotonic time.
        """
        demand = self._service(program.service, now_ms)
        turn = demand.begin(
            attempt,
            (program.account, program.program or attempt),
            program.route,
            earlier_turns,
            program.request_left_ms,
            now_ms,
        )
        if turn is not None:
            shares = self._shares.get(program.service)
            if shares is None:
                shares = self._shares[program.service] = Shares(self._weights)
            shares.charge(program.account, turn.expected_ms, now_ms)

    def finish(
        self,
        attempt: str,
        slowdowns: Iterable[ServerSlowdown],
        now_ms: int,
        *,
        ran: bool,
    ) -> None:
        """Ends a turn.

        Args:
            attempt: ID of the turn; an unknown one changes nothing.
            slowdowns: slowdowns that servers reported with its answer.
            now_ms: monotonic time.
            ran: whether a server ran it to its end.
        """
        service, turn = self._find_turn(attempt)
        if turn is None:
            return
        demand = self._services[service]
        demand.record_slowdowns(slowdowns, now_ms)
        slot_ms = demand.finish(attempt, now_ms, ran=ran)
        account, _ = turn.program
        self._shares[service].charge(
            account, slot_ms - turn.expected_ms, now_ms
        )

    def cancel(self, attempt: str, now_ms: int) -> None:
        """Removes a turn whose begin was denied."""
        service, turn = self._find_turn(attempt)
        if turn is None:
            return
        self._services[service].cancel(attempt, now_ms)
        account, _ = turn.program
        self._shares[service].charge(account, -turn.expected_ms, now_ms)

    def _find_turn(self, attempt: str) -> tuple[str, OpenTurn | None]:
        """Returns an open turn and its service; there are few services."""
        for service, demand in self._services.items():
            turn = demand.find_turn(attempt)
            if turn is not None:
                return service, turn
        return "", None

    def _service(self, name: str, now_ms: int) -> ServiceDemand:
        demand = self._services.get(name)
        if demand is None:
            demand = self._services[name] = ServiceDemand(now_ms)
        return demand

    def _estimate(
        self,
        demand: ServiceDemand,
        program: NewProgram,
        promise: Promise | None,
        now_ms: int,
    ) -> AdmissionDecision:
        """Returns the inputs of a decision.

        Turns and pauses of all programs stretch by the ratio of the slots
        needed to the capacity: a program that waits for a slot doesn't pause
        meanwhile, so a queue raises the share of time that it needs a slot.
        """
        route = demand.route(program.route)
        promised = self._promises.reserved_slots(program.service)
        if promise is not None and promise.is_reserved:
            promised -= promise.occupancy
        capacity = demand.capacity(now_ms)
        # The averages overestimate while ended programs still count, and the
        # open turns while many programs are new. The lower one is more exact.
        estimated = demand.needed + route.occupancy
        observed = (demand.open_turns + 1) * capacity / max(1, demand.slots)
        needed = min(estimated, observed) + promised
        left_ms = program.left_ms or program.request_left_ms
        mean_left_ms = route.left_ms.value or left_ms
        # Deadlines grow with the length of programs. If the longer time of a
        # long program counted as slack, long programs would crowd out others;
        # if a short one were taken for an average one, it would be refused.
        length = min(1.0, left_ms / max(1.0, mean_left_ms))
        length = max(length, 1 / max(1.0, route.turns.value))
        idle_ms = route.duration_ms * length
        stretch = max(1.0, needed / max(_MIN_CAPACITY, capacity))
        return AdmissionDecision(
            reason=AdmissionReason.REFUSED,
            needed=needed,
            capacity=capacity,
            idle_ms=int(idle_ms),
            expected_ms=int(idle_ms * stretch),
            left_ms=int(min(left_ms, mean_left_ms)),
            learned_age_ms=now_ms - route.updated_ms,
        )

    def _weigh_shares(
        self,
        program: NewProgram,
        route: RouteAverages,
        decision: AdmissionDecision,
        now_ms: int,
    ) -> AdmissionDecision:
        """Sets the reason by the account's share; called if capacity is short.

        Programs of accounts above their share are refused at a shorter queue
        than those of accounts below. The difference is the room that these
        find while one account asks for more than there is.
        """
        shares = self._shares.get(program.service)
        if shares is None:
            return decision
        reason = decision.reason
        standing = shares.standing(program.account, now_ms)
        if standing is Standing.ABOVE:
            reason = AdmissionReason.ABOVE_SHARE
        elif standing is Standing.BELOW and (
            decision.expected_ms <= _SHARE_TIME_SHARE * decision.left_ms
        ):
            reason = AdmissionReason.BELOW_SHARE
        if reason is not AdmissionReason.BELOW_SHARE:
            shares.record_refusal(program.account, route.slot_ms, now_ms)
        return dataclasses.replace(
            decision,
            reason=reason,
            used_slots=shares.used_slots(program.account, now_ms),
            share_slots=shares.share(program.account),
        )

    def _refuse(
        self,
        program: NewProgram,
        route: RouteAverages,
        decision: AdmissionDecision,
        now_ms: int,
    ) -> AdmissionDecision:
        """Gives a refused program its return time.

        It is the time until enough running programs have ended that the
        program fits. Where it would then be late, or the caller would not wait
        so long, no room is kept, and the time is that until all others ahead
        have ended. A caller honours no such time, so it does not return to be
        refused again. No room is kept for an account above its share either:
        it would be taken from the others.
        """
        key = (program.service, program.account, program.program)
        honoured_ms = _HONOURED_SHARE * program.request_left_ms
        promise = self._promises.find(key)
        if promise is not None and now_ms < promise.due_ms:
            return dataclasses.replace(
                decision, retry_ms=promise.due_ms - now_ms, is_promised=True
            )
        fitting_ms = max(
            decision.idle_ms, _ADMITTED_TIME_SHARE * decision.left_ms
        )
        wait_ms = max(_MIN_RETRY_MS, decision.expected_ms - fitting_ms)
        useful_ms = (
            _PROMISED_TIME_SHARE - _ADMITTED_TIME_SHARE
        ) * decision.left_ms
        is_above = decision.reason is AdmissionReason.ABOVE_SHARE
        fits = not is_above and wait_ms <= min(useful_ms, honoured_ms)
        if not fits:
            # The request may have much longer than the program. Room for a
            # program that is late would stay reserved for all that time.
            unhonoured_ms = honoured_ms + _MIN_RETRY_MS
            wait_ms = max(wait_ms, decision.expected_ms, unhonoured_ms)
        retry_ms = math.ceil(wait_ms)
        is_promised = bool(program.program) and fits
        self._promises.remove(key)
        if is_promised:
            self._promises.add(
                key,
                Promise(now_ms + retry_ms, decision.capacity, route.occupancy),
            )
        return dataclasses.replace(
            decision, retry_ms=retry_ms, is_promised=is_promised
        )


def _holds(promise: Promise, decision: AdmissionDecision, now_ms: int) -> bool:
    """Returns whether a returning program is admitted by its promise."""
    has_capacity = decision.capacity >= _MIN_CAPACITY_SHARE * promise.capacity
    return promise.is_due(now_ms) and has_capacity
