"""Replicated state machine of the control group.

It holds the state that changes rarely and must survive any single process.
Every replica applies the same records in the same order. The state may change
between the proposal of a record and its application, so records are accepted
or refused here, when they are applied.
"""

from __future__ import annotations

import dataclasses
import itertools
from typing import TYPE_CHECKING

from catkinpin.core.operations import changes, plans
from catkinpin.core.operations.deployments import (
    Configuration,
    Item,
    ItemKey,
    key_of,
)
from catkinpin.core.operations.plans import PlanState
from catkinpin.core.operations.quarantine import ContentQuarantine

if TYPE_CHECKING:
    from collections.abc import Iterable

# A resend gets the stored result of the first request for this long. A later
# resend is refused because its base revision is out of date, so no change is
# ever applied twice.
RESULT_RETENTION_MS = 24 * 3_600_000
_MAX_TOMBSTONES = 10_000
_PLAN_RETENTION_MS = 7 * 24 * 3_600_000
_MAX_NAMES = 20  # in ChangeResult.changed


@dataclasses.dataclass(frozen=True)
class ChangeResult:
    """Result of an operator's change; each resend gets the same one.

    Attributes:
        revision: revision that the change made or, if it was refused, the
            current revision, which differs from its base.
        operator: operator who made that revision.
        request_id: request that made that revision.
        changed: kinds and names of the items changed at that revision.
        reused: whether another request has used the same request id before.
    """

    accepted: bool
    revision: int
    operator: str
    request_id: str = ""
    changed: tuple[str, ...] = ()
    reused: bool = False
    at_ms: int = 0
    content_digest: bytes = b""


@dataclasses.dataclass(frozen=True)
class ItemVersion:
    """An item after its last change; `item` is None if it was removed."""

    item: Item | None
    revision: int
    operator: str = ""


@dataclasses.dataclass
class PlanRun:
    """A plan and its progress.

    Attributes:
        step: number of completed steps, which is the index of the current one.
        steps: steps of the plan or, during an undo, of the undo.
        items_before: items by key before the plan changed them, for an undo.
        written_revisions: revision of the plan's last change of each item.
        fencing_token: fencing token of the current order.
        issued_orders: orders that an engine may have carried out.
        operator: operator who confirmed or undid the plan.
    """

    plan: plans.Plan
    state: PlanState = PlanState.PROPOSED
    step: int = 0
    steps: list[plans.Step] = dataclasses.field(default_factory=list)
    items_before: dict[ItemKey, Item | None] = dataclasses.field(
        default_factory=dict
    )
    written_revisions: dict[ItemKey, int] = dataclasses.field(
        default_factory=dict
    )
    fencing_token: int = 0
    issued_orders: list[plans.OrderStep] = dataclasses.field(
        default_factory=list
    )
    at_ms: int = 0
    operator: str = ""

    @property
    def is_active(self) -> bool:
        """Whether the plan is running or being undone."""
        return self.state in (PlanState.RUNNING, PlanState.UNDOING)

    def current_step(self) -> plans.Step | None:
        """Returns the step in progress, or None if no step is."""
        if not self.is_active or self.step >= len(self.steps):
            return None
        return self.steps[self.step]


class ControlState:
    """State of the control group.

    Attributes:
        revision: revision of the configuration; it never decreases.
        now_ms: latest time of the applied records.
        items: every item by key, ordered by last change. Removed items stay as
            tombstones, from which `update_since` computes what was removed.
        oldest_base: oldest revision that an incremental update can start from.
        last_change: result of the last accepted change.
        change_results: results of recent changes by request id, oldest first.
        processes: registered processes by incarnation.
        servers: facts of backend servers by server name.
        quarantine: contents of requests that no server may get.
        last_fencing_token: last fencing token that an order got.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.now_ms = 0
        self.items: dict[ItemKey, ItemVersion] = {}
        self.oldest_base = 0
        self._cfg: Configuration | None = None
        self._tombstones = 0
        self.last_change = ChangeResult(True, 0, "")
        self.change_results: dict[str, ChangeResult] = {}
        self.processes: dict[str, changes.ProcessInfo] = {}
        self.servers: dict[str, changes.ServerFacts] = {}
        self.quarantine = ContentQuarantine()
        self.last_fencing_token = 0
        self.plans: dict[str, PlanRun] = {}

    def apply(
        self, index: int, record: changes.ControlRecord
    ) -> ChangeResult | list[str] | None:
        """Applies a committed record.

        Returns:
            The result of a `ConfigChanged`; the problems that prevented a
            plan's record from being carried out, empty if none did; None for
            all other records.
        """
        self.now_ms = max(self.now_ms, record.at_ms)
        match record:
            case changes.ConfigChanged():
                return self._apply_change(record)
            case changes.ProcessesChanged():
                for info in record.up:
                    self.processes[info.incarnation] = info
                for incarnation in record.gone:
                    self.processes.pop(incarnation, None)
            case changes.ServersChanged():
                for facts in record.servers:
                    self.servers[facts.server] = facts
            case changes.Quarantined() | changes.QuarantineLifted():
                self.quarantine.apply(record)
            case _:
                return self._apply_plan_record(record)
        return None

    @property
    def cfg(self) -> Configuration:
        """The configuration at this revision; built at its first use."""
        if self._cfg is None:
            self._cfg = Configuration(
                version.item
                for version in self.items.values()
                if version.item is not None
            )
        return self._cfg

    def restore_items(
        self, pairs: Iterable[tuple[ItemKey, ItemVersion]]
    ) -> None:
        """Replaces all items with those of a snapshot."""
        self.items = dict(pairs)
        self._tombstones = sum(v.item is None for v in self.items.values())
        self._cfg = None

    def revision_of(self, key: ItemKey) -> int:
        """Returns the revision of an item's last change, 0 if it has none."""
        version = self.items.get(key)
        return version.revision if version is not None else 0

    def update_since(self, base: int) -> changes.ConfigUpdate:
        """Returns the update from a revision to the current one.

        It holds all items if `base` is 0 or older than `oldest_base`.
        """
        if base < max(1, self.oldest_base):
            return changes.ConfigUpdate(
                base=0, revision=self.revision, upserts=self.cfg.items()
            )
        newer = itertools.takewhile(
            lambda pair: pair[1].revision > base, reversed(self.items.items())
        )
        upserts: list[Item] = []
        removes: list[ItemKey] = []
        for key, version in newer:
            if version.item is not None:
                upserts.append(version.item)
            else:
                removes.append(key)
        return changes.ConfigUpdate(
            base=base,
            revision=self.revision,
            upserts=upserts,
            removes=removes,
        )

    def _apply_change(self, record: changes.ConfigChanged) -> ChangeResult:
        self._drop_expired_results()
        earlier = self.change_results.get(record.request_id)
        if earlier is not None:
            if earlier.content_digest != record.content_digest:
                return dataclasses.replace(earlier, accepted=False, reused=True)
            return earlier
        result = self._apply_new_change(record)
        self.change_results[record.request_id] = result
        return result

    def _drop_expired_results(self) -> None:
        oldest = self.now_ms - RESULT_RETENTION_MS
        while self.change_results:
            request_id, result = next(iter(self.change_results.items()))
            if result.at_ms >= oldest:
                return
            del self.change_results[request_id]

    def _apply_new_change(self, record: changes.ConfigChanged) -> ChangeResult:
        # Of two operators who start from the same revision, the second would
        # silently overwrite the first one's change. So the second change is
        # refused, and the result names the first one.
        if record.base_revision != self.revision:
            return dataclasses.replace(
                self.last_change,
                accepted=False,
                revision=self.revision,
                at_ms=self.now_ms,
                content_digest=record.content_digest,
            )
        names = self._create_revision(
            record.upserts, record.removes, record.operator
        )
        self.last_change = ChangeResult(
            True,
            self.revision,
            record.operator,
            record.request_id,
            names,
            at_ms=self.now_ms,
            content_digest=record.content_digest,
        )
        return self.last_change

    def _create_revision(
        self, upserts: Iterable[Item], removes: Iterable[ItemKey], operator: str
    ) -> tuple[str, ...]:
        """Creates the next revision; returns the names of the changed items."""
        self.revision += 1
        pairs: list[tuple[ItemKey, Item | None]] = []
        pairs += [(key_of(item), item) for item in upserts]
        pairs += [(key, None) for key in removes]
        for key, item in pairs:
            old = self.items.pop(key, None)
            self._tombstones -= old is not None and old.item is None
            self._tombstones += item is None
            self.items[key] = ItemVersion(item, self.revision, operator)
        self._drop_old_tombstones()
        self._cfg = None
        shown = [f"{key.kind} {key.name}" for key, _ in pairs[:_MAX_NAMES]]
        if len(pairs) > _MAX_NAMES:
            shown.append(f"and {len(pairs) - _MAX_NAMES} more")
        return tuple(shown)

    def _drop_old_tombstones(self) -> None:
        if self._tombstones <= _MAX_TOMBSTONES:
            return
        removed = [k for k, v in self.items.items() if v.item is None]
        for key in removed[: len(removed) // 2]:
            self.oldest_base = self.items.pop(key).revision
            self._tombstones -= 1

    def _apply_plan_record(self, record: changes.ControlRecord) -> list[str]:
        match record:
            case changes.PlanMade():
                return self._add_plan(record)
            case changes.PlanConfirmed():
                return self._confirm_plan(record)
            case changes.PlanAdvanced():
                return self._advance_plan(record)
            case changes.PlanStopped():
                return self._stop_plan(record)
            case changes.PlanUndone():
                return self._undo_plan(record)
        return []

    def _add_plan(self, record: changes.PlanMade) -> list[str]:
        oldest = self.now_ms - _PLAN_RETENTION_MS
        self.plans = {
            plan_id: run
            for plan_id, run in self.plans.items()
            if run.is_active or run.at_ms >= oldest
        }
        plan = record.plan
        if plan.plan_id not in self.plans:
            self.plans[plan.plan_id] = PlanRun(
                plan, steps=list(plan.steps), at_ms=self.now_ms
            )
        return []

    def _confirm_plan(self, record: changes.PlanConfirmed) -> list[str]:
        run = self.plans.get(record.plan_id)
        if run is None:
            return [f"plan {record.plan_id!r} is not known"]
        if run.state in (PlanState.RUNNING, PlanState.DONE):
            return []
        if run.state is not PlanState.PROPOSED:
            return [f"the plan is {run.state}; make a new one"]
        problems = self._find_conflicts(
            {base.key: base.revision for base in run.plan.base}
        )
        if problems:
            return problems
        run.state = PlanState.RUNNING
        run.operator = record.operator or run.plan.operator
        self._run_immediate_steps(run)
        return []

    def _find_conflicts(self, expected: dict[ItemKey, int]) -> list[str]:
        """Returns a problem for each item that has another revision."""
        problems = []
        for key, revision in expected.items():
            version = self.items.get(key)
            if version is not None and version.revision != revision:
                who = version.operator or "an operator"
                problems.append(
                    f"{key.kind} {key.name}: changed at revision"
                    f" {version.revision} by {who}"
                )
        return problems

    def _run_immediate_steps(self, run: PlanRun) -> None:
        """Runs changes up to the next wait or order, which gets a token."""
        run.at_ms = self.now_ms
        while run.step < len(run.steps):
            step = run.steps[run.step]
            if isinstance(step, plans.OrderStep):
                self.last_fencing_token += 1
                run.fencing_token = self.last_fencing_token
                if run.state is PlanState.RUNNING:
                    run.issued_orders.append(step)
            if not isinstance(step, plans.ChangeStep):
                return
            self._run_change_step(run, step)
            run.step += 1
        undoing = run.state is PlanState.UNDOING
        run.state = PlanState.UNDONE if undoing else PlanState.DONE

    def _run_change_step(self, run: PlanRun, step: plans.ChangeStep) -> None:
        keys = [key_of(item) for item in step.upserts] + list(step.removes)
        for key in keys:
            version = self.items.get(key)
            item = version.item if version is not None else None
            run.items_before.setdefault(key, item)
        names = self._create_revision(step.upserts, step.removes, run.operator)
        for key in keys:
            run.written_revisions[key] = self.revision
        self.last_change = ChangeResult(
            True,
            self.revision,
            run.operator,
            run.plan.plan_id,
            names,
            at_ms=self.now_ms,
        )

    def _advance_plan(self, record: changes.PlanAdvanced) -> list[str]:
        run = self.plans.get(record.plan_id)
        if run is None or run.current_step() is None or run.step != record.step:
            return []
        run.step += 1
        self._run_immediate_steps(run)
        return []

    def _stop_plan(self, record: changes.PlanStopped) -> list[str]:
        run = self.plans.get(record.plan_id)
        if run is None:
            return [f"plan {record.plan_id!r} is not known"]
        if run.state in (PlanState.PROPOSED, PlanState.RUNNING):
            run.state = PlanState.STOPPED
            run.at_ms = self.now_ms
        if run.state is not PlanState.STOPPED:
            return [f"the plan is {run.state}"]
        return []

    def _undo_plan(self, record: changes.PlanUndone) -> list[str]:
        run = self.plans.get(record.plan_id)
        if run is None:
            return [f"plan {record.plan_id!r} is not known"]
        if run.state in (PlanState.UNDOING, PlanState.UNDONE):
            return []
        problems = self._find_conflicts(run.written_revisions)
        if problems:
            return problems
        run.state = PlanState.UNDOING
        run.step = 0
        run.steps = self._build_undo_steps(run)
        run.operator = record.operator or run.operator
        self._run_immediate_steps(run)
        return []

    def _build_undo_steps(self, run: PlanRun) -> list[plans.Step]:
        upserts = [
            item for item in run.items_before.values() if item is not None
        ]
        removes = [
            key for key, item in run.items_before.items() if item is None
        ]
        steps: list[plans.Step] = []
        if run.items_before:
            text = "take the plan's changes back"
            steps.append(
                plans.ChangeStep(text=text, upserts=upserts, removes=removes)
            )
        for order in reversed(run.issued_orders):
            steps.append(
                plans.OrderStep(
                    text=f"take back: {order.text}",
                    server=order.server,
                    order=order.reverse,
                    reverse=order.order,
                )
            )
        return steps
