"""What only the control group's leader does: leases, plans, orders."""

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

# How long a plan's servers must have been without calls: attempts that another
# process has just granted reach this one's log by then.
_SETTLE_MS = 1_000
_CHECK_EVERY_MS = 500


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
    """Leads the control group; its state is lost with the leadership.

    Args:
        state: the replicated state, read only.
        now_ms: monotonic time of taking office.
        look: returns what is known of servers and programs now.

    Attributes:
        connected: processes with a stream to this one, by incarnation.
    """

    def __init__(
        self,
        state: ControlState,
        now_ms: int,
        look: Callable[[], plans.ClusterView],
    ) -> None:
        self._state = state
        self._look = look
        self.leases = Leases(state.processes.values(), now_ms)
        self.connected: dict[str, changes.ProcessInfo] = {}
        self._orders = Orders(state, now_ms)
        self._waiters = RecordWaiters()
        self._arriving: dict[str, Waiter] = {}
        self._empty_since: dict[str, int] = {}
        self._looked_ms = now_ms

    def handle(
        self, info: changes.ProcessInfo, message: Any, now_ms: int, wall_ms: int
    ) -> list[Command]:
        """Takes a process's message."""
        match message:
            case changes.RenewLease():
                return self._renew(info, message, now_ms)
            case changes.Apply():
                return self._apply(info, message, wall_ms)
            case changes.GetInForce():
                return [self._in_force(info, message, now_ms)]
            case changes.MakePlan():
                return self._make_plan(info, message, wall_ms)
            case changes.ConfirmPlan():
                return self._confirm(info, message, wall_ms)
            case changes.StopPlan() | changes.UndoPlan():
                return self._stop_or_undo(info, message, wall_ms)
            case changes.Quarantine():
                return self._quarantine(info, message, wall_ms)
            case changes.GetStatus():
                return [self._status(info, message, now_ms)]
            case changes.OrderClaim():
                lease = self._orders.claim(message, now_ms)
                return [Send(info.incarnation, lease)]
            case changes.OrderResult():
                return self._order_result(info, message, wall_ms)
        return []

    def redirect_waiters(self) -> list[Command]:
        """Sends those who wait to whoever leads next."""
        waiters = [*self._waiters.all(), *self._arriving.values()]
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
        """Answers those who wait for a record that is now committed."""
        match record:
            case changes.ConfigChanged():
                commands = self._answer_change(record, outcome)
            case changes.ProcessesChanged():
                commands = self._answer_arrivals(record, now_ms)
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
        """Sends what changed since revision `before` to all lease holders.

        Who confirmed an older one gets what it lacks when it renews.
        """
        update = self._state.update_since(before)
        return [
            Send(incarnation, update)
            for incarnation, holder in self.leases.holders.items()
            if holder.revision == before and holder.info.role != "replica"
        ]

    def tick(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Registers arrivals in one record, and carries plans on."""
        commands: list[Command] = []
        up = [
            self.connected[incarnation]
            for incarnation in self._arriving
            if incarnation in self.connected
        ]
        gone = self.leases.gone(now_ms)
        if up or gone:
            record = changes.ProcessesChanged(at_ms=wall_ms, up=up, gone=gone)
            commands.append(Propose(record))
        for offer in self._orders.due(now_ms):
            entry = self._entry_near(offer)
            if entry is not None:
                commands.append(Send(entry, offer))
        if now_ms - self._looked_ms >= _CHECK_EVERY_MS:
            self._looked_ms = now_ms
            commands += self._advance(now_ms, wall_ms)
        return commands

    def propose_server_facts(
        self, facts: list[changes.ServerFacts], wall_ms: int
    ) -> list[Command]:
        """Registers hard facts of servers where they differ from the log."""
        known = self._state.servers
        new = [one for one in facts if known.get(one.server) != one]
        if not new:
            return []
        return [Propose(changes.ServersChanged(at_ms=wall_ms, servers=new))]

    def _renew(
        self, info: changes.ProcessInfo, renew: changes.RenewLease, now_ms: int
    ) -> list[Command]:
        self.connected[info.incarnation] = info
        current = self._state.revision
        lease = changes.Lease(ask=renew.ask, revision=current)
        if renew.revision == current and current > 0:
            if self.leases.renew(info.incarnation, current, now_ms):
                lease = changes.Lease(
                    ask=renew.ask,
                    revision=current,
                    lease_ms=LEASE_MS,
                )
                return [Send(info.incarnation, lease)]
            # A lease that the log knows nothing of would be forgotten with
            # this leader, and the next one would call a change in force while
            # its holder still serves under the old configuration.
            self._arriving[info.incarnation] = Waiter(
                info.incarnation, renew.ask
            )
            return []
        self.leases.confirmed(info.incarnation, renew.revision)
        if renew.wants_update and renew.revision < current:
            update = self._state.update_since(renew.revision)
            lease = changes.Lease(
                ask=renew.ask, revision=current, update=update
            )
        return [Send(info.incarnation, lease)]

    def _answer_arrivals(
        self, record: changes.ProcessesChanged, now_ms: int
    ) -> list[Command]:
        commands: list[Command] = []
        for info in record.up:
            self.leases.registered(info, now_ms)
            waiter = self._arriving.pop(info.incarnation, None)
            if waiter is not None:
                # It asks again at once, and then gets its lease.
                lease = changes.Lease(
                    ask=waiter.ask, revision=self._state.revision
                )
                commands.append(Send(info.incarnation, lease))
        return commands

    def _apply(
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

    def _in_force(
        self, info: changes.ProcessInfo, get: changes.GetInForce, now_ms: int
    ) -> Send:
        answer = changes.InForce(
            ask=get.ask,
            revision=self._state.revision,
            lacking=self.leases.lacking(get.revision, now_ms),
        )
        return Send(info.incarnation, answer)

    def _make_plan(
        self, info: changes.ProcessInfo, make: changes.MakePlan, wall_ms: int
    ) -> list[Command]:
        known = self._state.plans.get(make.plan_id)
        if known is not None:
            return [self._shown(info.incarnation, make.ask, make.plan_id, [])]
        made = drafts.make_plan(
            make.plan_id, make.intent, make.operator, self._look()
        )
        if isinstance(made, plans.InvalidIntent):
            return [
                self._shown(
                    info.incarnation, make.ask, make.plan_id, made.problems
                )
            ]
        record = changes.PlanMade(at_ms=wall_ms, plan=made)
        self._waiters.add(info, make.ask, make.plan_id, _kind_of(record))
        return [Propose(record)]

    def _confirm(
        self, info: changes.ProcessInfo, msg: changes.ConfirmPlan, wall_ms: int
    ) -> list[Command]:
        run = self._state.plans.get(msg.plan_id)
        if run is not None and run.state is plans.PlanState.PROPOSED:
            problems = self._rest_has_changed(run)
            if problems:
                return [
                    self._shown(
                        info.incarnation, msg.ask, msg.plan_id, problems
                    )
                ]
        record = changes.PlanConfirmed(
            at_ms=wall_ms, plan_id=msg.plan_id, operator=msg.operator
        )
        self._waiters.add(info, msg.ask, msg.plan_id, _kind_of(record))
        return [Propose(record)]

    def _rest_has_changed(self, run: PlanRun) -> list[str]:
        """Returns which servers that the forecast counts on are not there."""
        there = {r.server for r in self._look().servers if not r.leaving}
        return [
            f"server {name}: counted on by the plan, has left since"
            for name in run.plan.rest
            if name not in there
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
            self._shown(waiter.incarnation, waiter.ask, plan_id, outcome or [])
            for waiter in self._waiters.remove(plan_id, _kind_of(record))
        ]

    def _shown(
        self, to: str, ask: int, plan_id: str, problems: list[str]
    ) -> Send:
        run = self._state.plans.get(plan_id)
        answer = changes.PlanShown(
            ask=ask,
            plan=run.plan if run is not None else None,
            progress=reports.plan_progress(run, [], self._orders.note(plan_id))
            if run is not None
            else None,
            forecast=run.plan.forecast if run is not None else None,
            problems=problems,
        )
        return Send(to, answer)

    def _quarantine(
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

    def _order_result(
        self, info: changes.ProcessInfo, msg: changes.OrderResult, wall_ms: int
    ) -> list[Command]:
        commands: list[Command] = [
            Send(info.incarnation, changes.Done(ask=msg.ask))
        ]
        if self._orders.result(msg):
            record = changes.PlanAdvanced(
                at_ms=wall_ms, plan_id=msg.plan_id, step=msg.step
            )
            commands.append(Propose(record))
        return commands

    def _entry_near(self, offer: changes.OrderOffer) -> str | None:
        server = self._orders.server_of(offer)
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

    def _advance(self, now_ms: int, wall_ms: int) -> list[Command]:
        """Ends the waits of plans whose servers have become empty."""
        waiting = [
            (plan_id, run, step)
            for plan_id, run in self._state.plans.items()
            if isinstance(step := run.current(), plans.WaitStep)
        ]
        if not waiting:
            return []
        usage = self._look().usage
        commands: list[Command] = []
        for plan_id, run, step in waiting:
            newest = max(run.wrote.values(), default=0)
            busy = self.leases.lacking(newest, now_ms) or any(
                one.calls for one in usage if reports.counts(step, one)
            )
            if busy:
                self._empty_since.pop(plan_id, None)
                continue
            since = self._empty_since.setdefault(plan_id, now_ms)
            if now_ms - since >= _SETTLE_MS:
                del self._empty_since[plan_id]
                record = changes.PlanAdvanced(
                    at_ms=wall_ms, plan_id=plan_id, step=run.step
                )
                commands.append(Propose(record))
        return commands

    def _status(
        self, info: changes.ProcessInfo, get: changes.GetStatus, now_ms: int
    ) -> Send:
        status = reports.status(
            get.ask,
            self._state,
            self._look(),
            self.leases.holders.values(),
            self._orders.note,
            now_ms,
        )
        return Send(info.incarnation, status)


def _kind_of(record: changes.ControlRecord) -> bytes:
    return type(record).__name__.encode()
