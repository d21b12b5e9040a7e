"""Applies the admission of programs at the leading keeper, and logs it."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.core.control.servers import ServerState
from catkinpin.core.placement.admission import Admission, NewProgram

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.clock import Clock
    from catkinpin.core.control import protocol
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.control.turnrecords import Begin
    from catkinpin.core.placement.admission import AdmissionDecision
    from catkinpin.core.placement.contention import ContendedServices

# The slots of a service are added up again at this interval, and only updated
# when servers change: adding up 2,400 servers took 0.4 ms, and servers that
# start together change every few ms.
_SLOTS_INTERVAL_MS = 1_000


class ProgramAdmission:
    """Admits programs to contended services.

    Args:
        host: the control group's state, and whether this keeper leads.
        clock: the time source.
        contention: for which services capacity is contended.
        weights: weight of an account's share; 1 where there is none.
    """

    def __init__(
        self,
        host: KeeperHost,
        clock: Clock,
        contention: ContendedServices,
        weights: Mapping[str, float],
    ) -> None:
        self._host = host
        self._clock = clock
        self._contention = contention
        self._admission = Admission(clock.now_ms(), weights)
        self._slots_until_ms: dict[str, int] = {}
        # Slots of the ready servers, by service and server, and their sums.
        self._ready_slots: dict[str, dict[str, int]] = {}
        self._slots: dict[str, int] = {}

    def reset(self) -> None:
        """Drops all state after a change of the leader."""
        self._admission.reset(self._clock.now_ms())
        self._slots_until_ms = {}
        self._ready_slots = {}
        self._slots = {}

    def update_shares(self) -> None:
        """Computes the accounts' shares again."""
        self._admission.update_shares(self._clock.now_ms())

    def retain_accounts(self, accounts: Collection[str]) -> None:
        """Drops the usage of accounts that no longer exist."""
        self._admission.retain_accounts(accounts)

    def handle_server_changes(self, instances: Iterable[Instance]) -> None:
        """Updates the sums of slots of the services that changed."""
        for instance in instances:
            ready = self._ready_slots.get(instance.service)
            if ready is None:
                continue
            self._slots[instance.service] -= ready.pop(instance.id, 0)
            if instance.state is ServerState.READY:
                ready[instance.id] = instance.slots
                self._slots[instance.service] += instance.slots

    def admit(self, message: protocol.AskBegin, begin: Begin) -> int:
        """Decides whether a turn may begin; counts it if so.

        Returns:
            In how many ms its program may return; 0 if the turn may begin.
        """
        place = message.place
        if (
            place is None
            or not self._contention.is_contended(place.service)
            or not self._host.holds_lease()
        ):
            return 0
        now_ms = self._clock.now_ms()
        self._update_slots(place.service, now_ms)
        program = NewProgram(
            service=place.service,
            route=place.route,
            account=begin.account,
            program=begin.program,
            left_ms=begin.left_ms,
            request_left_ms=place.left_ms,
        )
        ledger = self._host.state.ledger
        turns = ledger.turn_count(begin.account, begin.program)
        is_new = (
            place.route
            and begin.program
            and not turns
            and not begin.previous
            and not ledger.knows_turn(begin.attempt)
        )
        if is_new:
            decision = self._admission.decide(program, now_ms)
            _report_decision(begin, place.route, decision)
            if decision.retry_ms:
                return decision.retry_ms
        self._admission.begin(begin.attempt, program, turns, now_ms)
        return 0

    def cancel(self, attempt: str) -> None:
        """Removes a turn whose begin was denied after its admission."""
        self._admission.cancel(attempt, self._clock.now_ms())

    def finish(self, message: protocol.AskFinish) -> None:
        """Ends a turn, and learns from it."""
        self._admission.finish(
            message.finish.attempt,
            message.report.slowdowns,
            self._clock.now_ms(),
            ran=message.finish.tokens > 0,
        )

    def _update_slots(self, service: str, now_ms: int) -> None:
        if now_ms >= self._slots_until_ms.get(service, 0):
            self._slots_until_ms[service] = now_ms + _SLOTS_INTERVAL_MS
            servers = self._host.state.fleet.servers_of(service)
            self._ready_slots[service] = {
                server.id: server.slots
                for server in servers
                if server.state is ServerState.READY
            }
            self._slots[service] = sum(self._ready_slots[service].values())
        self._admission.set_slots(service, self._slots[service], now_ms)


def _report_decision(
    begin: Begin, route: str, decision: AdmissionDecision
) -> None:
    metrics.ADMISSIONS.labels(decision.reason).inc()
    inputs = {
        name: round(value, 1) if isinstance(value, float) else value
        for name, value in dataclasses.asdict(decision).items()
    }
    write = decisions.note if decision.retry_ms else decisions.routine
    write(
        "no-capacity" if decision.retry_ms else "admitted",
        begin.attempt,
        program=begin.program,
        account=begin.account,
        route=route,
        **inputs,
    )
