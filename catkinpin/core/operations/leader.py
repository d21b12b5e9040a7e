"""Leader of the control group: grants leases, makes plans, offers orders."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from catkinpin.core import messages
from catkinpin.core.operations import changes, drafts, plans, reports
from catkinpin.core.operations.leases import LEASE_MS, Leases
from catkinpin.core.operations.orders import Orders
from catkinpin.core.operations.waiters import RecordWaiters, Waiter
from catkinpin.core.programs import sharding

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.operations.control import ControlState, PlanRun

# Least time without calls before a plan's servers count as idle. Attempts that
# another process has just granted reach this process's log within this time.
_MIN_IDLE_MS = 1_000
_WAIT_CHECK_INTERVAL_MS = 500


@dataclasses.dataclass(frozen=True)
class Propose:
    """Command: append this record to the control group's log."""

    record: changes.ControlRecord


@dataclasses.dataclass(frozen=True)
class Send:
    """Command: send this message to this incarnation of a process."""

    to: str
    message: Any


Command = Propose | Send


class ControlLeader:
    """Leader's part of the control group; a new leader starts without it.

    Args:
        state: the replicated state, read only.
        now_ms: monotonic time of the election.
        get_view: returns the current servers and programs.

    Attributes:
        connected: processes with a stream to this one, by incarnation.
    """

    def __init__(
        self,
        state: ControlState,
        now_ms: int,
        get_view: Callable[[], plans.ClusterView],
    ) -> None:
        self._state = state
        self._get_view = get_view
        self.leases = Leases(state.processes.values(), now_ms)
        self.connected: dict[str, changes.ProcessInfo] = {}
        self._orders = Orders(state, now_ms)
        self._waiters = RecordWaiters()
        self._registering: dict[str, Waiter] = {}
        self._idle_since_ms: dict[str, int] = {}
        self._last_check_ms = now_ms

    def handle(
        self, info: changes.ProcessInfo, message: Any, now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Handles a message from a process."""
        match message:
            case changes.RenewLease():
                return self._renew_lease(info, message, now_ms)
            case changes.Apply():
                return self._propose_change(info, message, wall_ms)
            case changes.GetInForce():
                return [self._in_force_reply(info, message, now_ms)]
            case changes.MakePlan():
                return self._make_plan(info, message, wall_ms)
            case changes.ConfirmPlan():
                return self._confirm_plan(info, message, wall_ms)
            case changes.StopPlan() | changes.UndoPlan():
                return self._stop_or_undo(info, message, wall_ms)
            case changes.Quarantine():
                return self._propose_quarantine(info, message, wall_ms)
            case changes.GetStatus():
                return [self._status_reply(info, message, now_ms)]
            case changes.OrderClaim():
                lease = self._orders.grant_claim(message, now_ms)
                return [Send(info.incarnation, lease)]
            case changes.OrderResult():
                return self._handle_order_result(info, message, wall_ms)
        return []

    def redirect_waiters(self) -> list[Command]:
        """Tells all waiting processes that this replica no longer leads."""
        waiters = [*self._waiters.all_waiters(), *self._registering.values()]
        return [
            Send(
                waiter.incarnation,
                messages.NotLeader(
                    ask=waiter.ask, group=sharding.CONTROL_GROUP
                ),
            )
            for waiter in waiters
        ]

    def answer_waiters(
        self, record: changes.ControlRecord, outcome: Any, now_ms: int
    ) -> list[Command]:
        """Answers the processes that wait for a committed record."""
        match record:
            case changes.ConfigChanged():
                commands = self._answer_change(record, outcome)
            case changes.ProcessesChanged():
                commands = self._answer_registrations(record, now_ms)
            case changes.Quarantined() | changes.QuarantineLifted():
                key = record.fingerprint.hex()
                commands = [
                    Send(waiter.incarnation, changes.Done(ask=waiter.ask))
                    for waiter in self._waiters.remove(key, _kind_of(record))
                ]
            case (
                changes.PlanMade()
                | changes.PlanConfirmed()
                | changes.PlanStopped()
                | changes.PlanUndone()
            ):
                commands = self._answer_plan(record, outcome)
            case _:
                commands = []
        return commands

    def push_update(self, before: int) -> list[Command]:
        """Sends the update from `before` to the processes at that revision.

        A process at an older revision gets its update when it renews its lease.
        """
        update = self._state.update_since(before)
        return [
            Send(incarnation, update)
            for incarnation, holder in self.leases.holders.items()
            if holder.revision == before and holder.info.role != "replica"
        ]

    def tick(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Registers new processes in one record and advances plans."""
        commands: list[Command] = []
        up = [
            self.connected[incarnation]
            for incarnation in self._registering
            if incarnation in self.connected
        ]
        gone = self.leases.remove_expired(now_ms)
        if up or gone:
            record = changes.ProcessesChanged(at_ms=wall_ms, up=up, gone=gone)
            commands.append(Propose(record))
        for offer in self._orders.create_due_offers(now_ms):
            entry = self._choose_entry(offer)
            if entry is not None:
                commands.append(Send(entry, offer))
        if now_ms - self._last_check_ms >= _WAIT_CHECK_INTERVAL_MS:
            self._last_check_ms = now_ms
            commands += self._advance_idle_plans(now_ms, wall_ms)
            lapsed = self._state.quarantine.lapsed_records(wall_ms)
            commands += map(Propose, lapsed)
        return commands

    def propose_server_facts(
        self, facts: list[changes.ServerFacts], wall_ms: int
    ) -> list[Command]:
        """Proposes the server facts that differ from the replicated ones."""
        known = self._state.servers
        changed = [f for f in facts if known.get(f.server) != f]
        if not changed:
            return []
        return [Propose(changes.ServersChanged(at_ms=wall_ms, servers=changed))]

    def _renew_lease(
        self, info: changes.ProcessInfo, renew: changes.RenewLease, now_ms: int
    ) -> list[Command]:
        self.connected[info.incarnation] = info
        current = self._state.revision
        lease = changes.Lease(ask=renew.ask, revision=current)
        if renew.revision == current and current > 0:
            if self.leases.renew(info.incarnation, current, now_ms):
                lease = changes.Lease(
                    ask=renew.ask, revision=current, lease_ms=LEASE_MS
                )
                return [Send(info.incarnation, lease)]
            # The process must be in the log before it gets a lease. The next
            # leader would not know of the lease otherwise, and report a change
            # as in force while the holder serves under the old configuration.
            self._registering[info.incarnation] = Waiter(
                info.incarnation, renew.ask
            )
            return []
        self.leases.record_revision(info.incarnation, renew.revision)
        if renew.wants_update and renew.revision < current:
            update = self._state.update_since(renew.revision)
            lease = changes.Lease(
                ask=renew.ask, revision=current, update=update
            )
        return [Send(info.incarnation, lease)]

    def _answer_registrations(
        self, record: changes.ProcessesChanged, now_ms: int
    ) -> list[Command]:
        commands: list[Command] = []
        for info in record.up:
            self.leases.add_holder(info, now_ms)
            waiter = self._registering.pop(info.incarnation, None)
            if waiter is not None:
                # The process asks again at once and then gets its lease.
                lease = changes.Lease(
                    ask=waiter.ask, revision=self._state.revision
                )
                commands.append(Send(info.incarnation, lease))
        return commands

    def _propose_change(
        self, info: changes.ProcessInfo, change: changes.Apply, wall_ms: int
    ) -> list[Command]:
        self._waiters.add(
            info, change.ask, change.request_id, change.content_digest
        )
        record = changes.ConfigChanged(
            at_ms=wall_ms,
            request_id=change.request_id,
            base_revision=change.base_revision,
            upserts=change.upserts,
            removes=change.removes,
            operator=change.operator,
            content_digest=change.content_digest,
        )
        return [Propose(record)]

    def _answer_change(
        self, record: changes.ConfigChanged, outcome: Any
    ) -> list[Command]:
        waiters = self._waiters.remove(record.request_id, record.content_digest)
        return [
            Send(
                waiter.incarnation,
                changes.Applied(
                    ask=waiter.ask,
                    accepted=outcome.accepted,
                    revision=outcome.revision,
                    operator=outcome.operator,
                    request_id=outcome.request_id,
                    changed=list(outcome.changed),
                    reused=outcome.reused,
                ),
            )
            for waiter in waiters
        ]

    def _in_force_reply(
        self, info: changes.ProcessInfo, get: changes.GetInForce, now_ms: int
    ) -> Send:
        answer = changes.InForce(
            ask=get.ask,
            revision=self._state.revision,
            lacking=self.leases.find_lagging(get.revision, now_ms),
        )
        return Send(info.incarnation, answer)

    def _make_plan(
        self, info: changes.ProcessInfo, make: changes.MakePlan, wall_ms: int
    ) -> list[Command]:
        known = self._state.plans.get(make.plan_id)
        if known is not None:
            return [
                self._plan_reply(info.incarnation, make.ask, make.plan_id, [])
            ]
        made = drafts.make_plan(
            make.plan_id, make.intent, make.operator, self._get_view()
        )
        if isinstance(made, plans.InvalidIntent):
            return [
                self._plan_reply(
                    info.incarnation, make.ask, make.plan_id, made.problems
                )
            ]
        record = changes.PlanMade(at_ms=wall_ms, plan=made)
        self._waiters.add(info, make.ask, make.plan_id, _kind_of(record))
        return [Propose(record)]

    def _confirm_plan(
        self, info: changes.ProcessInfo, msg: changes.ConfirmPlan, wall_ms: int
    ) -> list[Command]:
        run = self._state.plans.get(msg.plan_id)
        if run is not None and run.state is plans.PlanState.PROPOSED:
            problems = self._find_departed_servers(run)
            if problems:
                return [
                    self._plan_reply(
                        info.incarnation, msg.ask, msg.plan_id, problems
                    )
                ]
        record = changes.PlanConfirmed(
            at_ms=wall_ms, plan_id=msg.plan_id, operator=msg.operator
        )
        self._waiters.add(info, msg.ask, msg.plan_id, _kind_of(record))
        return [Propose(record)]

    def _find_departed_servers(self, run: PlanRun) -> list[str]:
        """Returns a problem for each server the plan needs that has left."""
        present = {r.server for r in self._get_view().servers if not r.leaving}
        return [
            f"server {name}: counted on by the plan, has left since"
            for name in run.plan.rest
            if name not in present
        ]

    def _stop_or_undo(
        self,
        info: changes.ProcessInfo,
        msg: changes.StopPlan | changes.UndoPlan,
        wall_ms: int,
    ) -> list[Command]:
        stop = isinstance(msg, changes.StopPlan)
        kind = changes.PlanStopped if stop else changes.PlanUndone
        record = kind(at_ms=wall_ms, plan_id=msg.plan_id, operator=msg.operator)
        self._waiters.add(info, msg.ask, msg.plan_id, _kind_of(record))
        return [Propose(record)]

    def _answer_plan(self, record: Any, outcome: Any) -> list[Command]:
        made = isinstance(record, changes.PlanMade)
        plan_id = record.plan.plan_id if made else record.plan_id
        return [
            self._plan_reply(
                waiter.incarnation, waiter.ask, plan_id, outcome or []
            )
            for waiter in self._waiters.remove(plan_id, _kind_of(record))
        ]

    def _plan_reply(
        self, to: str, ask: int, plan_id: str, problems: list[str]
    ) -> Send:
        run = self._state.plans.get(plan_id)
        answer = changes.PlanShown(
            ask=ask,
            plan=run.plan if run is not None else None,
            progress=reports.plan_progress(
                run, [], self._orders.last_problem(plan_id)
            )
            if run is not None
            else None,
            forecast=run.plan.forecast if run is not None else None,
            problems=problems,
        )
        return Send(to, answer)

    def _propose_quarantine(
        self, info: changes.ProcessInfo, msg: changes.Quarantine, wall_ms: int
    ) -> list[Command]:
        record: changes.ControlRecord
        if msg.lift:
            record = changes.QuarantineLifted(
                fingerprint=msg.fingerprint,
                at_ms=wall_ms,
                operator=msg.operator,
            )
        else:
            record = changes.Quarantined(
                fingerprint=msg.fingerprint, reason=msg.reason, at_ms=wall_ms
            )
        self._waiters.add(
            info, msg.ask, msg.fingerprint.hex(), _kind_of(record)
        )
        return [Propose(record)]

    def _handle_order_result(
        self, info: changes.ProcessInfo, msg: changes.OrderResult, wall_ms: int
    ) -> list[Command]:
        commands: list[Command] = [
            Send(info.incarnation, changes.Done(ask=msg.ask))
        ]
        if self._orders.record_result(msg):
            record = changes.PlanAdvanced(
                at_ms=wall_ms, plan_id=msg.plan_id, step=msg.step
            )
            commands.append(Propose(record))
        return commands

    def _choose_entry(self, offer: changes.OrderOffer) -> str | None:
        server = self._orders.find_server(offer)
        entries = [
            info
            for info in self.connected.values()
            if info.role == "entry" and info.incarnation in self.leases.holders
        ]
        region = server.region if server is not None else ""
        near = [info for info in entries if info.region == region]
        chosen = min(
            near or entries, key=lambda info: info.process, default=None
        )
        return chosen.incarnation if chosen is not None else None

    def _advance_idle_plans(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Ends the wait steps of plans whose servers are idle."""
        waiting = [
            (plan_id, run, step)
            for plan_id, run in self._state.plans.items()
            if isinstance(step := run.current_step(), plans.WaitStep)
        ]
        if not waiting:
            return []
        usage = self._get_view().usage
        commands: list[Command] = []
        for plan_id, run, step in waiting:
            newest = max(run.written_revisions.values(), default=0)
            busy = self.leases.find_lagging(newest, now_ms) or any(
                use.calls for use in usage if reports.waits_for(step, use)
            )
            if busy:
                self._idle_since_ms.pop(plan_id, None)
                continue
            idle_since_ms = self._idle_since_ms.setdefault(plan_id, now_ms)
            if now_ms - idle_since_ms >= _MIN_IDLE_MS:
                del self._idle_since_ms[plan_id]
                record = changes.PlanAdvanced(
                    at_ms=wall_ms, plan_id=plan_id, step=run.step
                )
                commands.append(Propose(record))
        return commands

    def _status_reply(
        self, info: changes.ProcessInfo, get: changes.GetStatus, now_ms: int
    ) -> Send:
        status = reports.status(
            get.ask,
            self._state,
            self._get_view(),
            self.leases.holders.values(),
            self._orders.last_problem,
            now_ms,
        )
        return Send(info.incarnation, status)


def _kind_of(record: changes.ControlRecord) -> bytes:
    return type(record).__name__.encode()
