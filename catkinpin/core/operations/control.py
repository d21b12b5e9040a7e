"""State machine of the control group: what is rare and must not be lost.

Every replica applies the same records in the same order. What was true when a
record was proposed may have changed by then, so each is decided here, when it
is applied.
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

if TYPE_CHECKING:
    from collections.abc import Iterable

# The first answer to a change is kept so long for those who send it again.
# Later a resend finds its base revision passed, and is refused: nothing can
# ever be applied twice.
RESULT_RETENTION_MS = 24 * 3_600_000
_TOMBSTONES = 10_000
_PLANS_KEPT_MS = 7 * 24 * 3_600_000
_NAMES_SHOWN = 20


@dataclasses.dataclass(frozen=True)
class ChangeResult:
    """Outcome of an operator's change, the same however often it is sent.

    Attributes:
        revision: the new revision, or the one that stands in the way.
        operator: who made that revision.
        request_id: by which request.
        changed: names of the items that it touched.
        reused: whether the request id stands for another request.
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
    """An item as of its last change; None where it was removed."""

    item: Item | None
    revision: int
    operator: str = ""


@dataclasses.dataclass
class PlanRun:
    """A plan and how far it is.

    Attributes:
        step: steps done.
        before: items as they were, by key, for undo.
        wrote: revision that the plan gave to each item it changed.
        fence: fencing token of the order that is under way.
        ordered: orders that an engine may have carried out.
        operator: who confirmed it, or took it back.
    """

    plan: plans.Plan
    state: PlanState = PlanState.PROPOSED
    step: int = 0
    steps: list[plans.Step] = dataclasses.field(default_factory=list)
    before: dict[ItemKey, Item | None] = dataclasses.field(default_factory=dict)
    wrote: dict[ItemKey, int] = dataclasses.field(default_factory=dict)
    fence: int = 0
    ordered: list[plans.OrderStep] = dataclasses.field(default_factory=list)
    at_ms: int = 0
    operator: str = ""

    @property
    def active(self) -> bool:
        """Whether steps are being carried out."""
        return self.state in (PlanState.RUNNING, PlanState.UNDOING)

    def current(self) -> plans.Step | None:
        """Returns the step under way, or None."""
        if not self.active or self.step >= len(self.steps):
            return None
        return self.steps[self.step]


class ControlState:
    """The control group's state; its revision only ever rises.

    Attributes:
        items: every item by key, in the order of their last change; removed
            ones stay as tombstones, so that differences can be computed.
        oldest_base: the oldest revision that differences can start from.
        processes: by incarnation.
        servers: hard facts by server name.
        quarantine: reason by fingerprint.
        fence: the last fencing token handed out.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.now_ms = 0
        self.items: dict[ItemKey, ItemVersion] = {}
        self.oldest_base = 0
        self._cfg: Configuration | None = None
        self._tombstones = 0
        self.last = ChangeResult(True, 0, "")
        self.results: dict[str, ChangeResult] = {}
        self.processes: dict[str, changes.ProcessInfo] = {}
        self.servers: dict[str, changes.ServerFacts] = {}
        self.quarantine: dict[bytes, str] = {}
        self.fence = 0
        self.plans: dict[str, PlanRun] = {}

    def apply(
        self, index: int, record: changes.ControlRecord
    ) -> ChangeResult | list[str] | None:
        """Applies a committed record.

        Returns:
            The outcome of a `ConfigChanged`; for a plan's record, why it could
            not be carried out (empty: it was); None for all others.
        """
        self.now_ms = max(self.now_ms, record.at_ms)
        match record:
            case changes.ConfigChanged():
                return self._config_changed(record)
            case changes.ProcessesChanged():
                for info in record.up:
                    self.processes[info.incarnation] = info
                for incarnation in record.gone:
                    self.processes.pop(incarnation, None)
            case changes.ServersChanged():
                for facts in record.servers:
                    self.servers[facts.server] = facts
            case changes.Quarantined():
                self.quarantine.setdefault(record.fingerprint, record.reason)
            case changes.QuarantineLifted():
                self.quarantine.pop(record.fingerprint, None)
            case _:
                return self._plan_record(record)
        return None

    @property
    def cfg(self) -> Configuration:
        """The configuration of this revision; built when first asked for."""
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
        """Replaces all items by those of a snapshot."""
        self.items = dict(pairs)
        self._tombstones = sum(v.item is None for v in self.items.values())
        self._cfg = None

    def revision_of(self, key: ItemKey) -> int:
        """Returns the revision of an item's last change; 0: never there."""
        version = self.items.get(key)
        return version.revision if version is not None else 0

    def update_since(self, base: int) -> changes.ConfigUpdate:
        """Returns what leads from a revision to the newest one."""
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

    def _config_changed(self, record: changes.ConfigChanged) -> ChangeResult:
        self._forget_old_results()
        known = self.results.get(record.request_id)
        if known is not None:
            if known.content_digest != record.content_digest:
                return dataclasses.replace(known, accepted=False, reused=True)
            return known
        result = self._decide(record)
        self.results[record.request_id] = result
        return result

    def _forget_old_results(self) -> None:
        oldest = self.now_ms - RESULT_RETENTION_MS
        while self.results:
            request_id, result = next(iter(self.results.items()))
            if result.at_ms >= oldest:
                return
            del self.results[request_id]

    def _decide(self, record: changes.ConfigChanged) -> ChangeResult:
        # Two operators who both start from the same revision would overwrite
        # each other unseen; the second one learns who was first instead.
        if record.base_revision != self.revision:
            return dataclasses.replace(
                self.last,
                accepted=False,
                revision=self.revision,
                at_ms=self.now_ms,
                content_digest=record.content_digest,
            )
        names = self._change(record.upserts, record.removes, record.operator)
        self.last = ChangeResult(
            True,
            self.revision,
            record.operator,
            record.request_id,
            names,
            at_ms=self.now_ms,
            content_digest=record.content_digest,
        )
        return self.last

    def _change(
        self, upserts: Iterable[Item], removes: Iterable[ItemKey], operator: str
    ) -> tuple[str, ...]:
        """Makes the next revision; returns the names of what it touches."""
        self.revision += 1
        pairs: list[tuple[ItemKey, Item | None]] = []
        pairs += [(key_of(item), item) for item in upserts]
        pairs += [(key, None) for key in removes]
        for key, item in pairs:
            old = self.items.pop(key, None)
            self._tombstones -= old is not None and old.item is None
            self._tombstones += item is None
            self.items[key] = ItemVersion(item, self.revision, operator)
        self._forget_old_tombstones()
        self._cfg = None
        shown = [f"{key.kind} {key.name}" for key, _ in pairs[:_NAMES_SHOWN]]
        if len(pairs) > _NAMES_SHOWN:
            shown.append(f"and {len(pairs) - _NAMES_SHOWN} more")
        return tuple(shown)

    def _forget_old_tombstones(self) -> None:
        if self._tombstones <= _TOMBSTONES:
            return
        removed = [k for k, v in self.items.items() if v.item is None]
        for key in removed[: len(removed) // 2]:
            self.oldest_base = self.items.pop(key).revision
            self._tombstones -= 1

    def _plan_record(self, record: changes.ControlRecord) -> list[str]:
        match record:
            case changes.PlanMade():
                return self._plan_made(record)
            case changes.PlanConfirmed():
                return self._plan_confirmed(record)
            case changes.PlanAdvanced():
                return self._plan_advanced(record)
            case changes.PlanStopped():
                return self._plan_stopped(record)
            case changes.PlanUndone():
                return self._plan_undone(record)
        return []

    def _plan_made(self, record: changes.PlanMade) -> list[str]:
        oldest = self.now_ms - _PLANS_KEPT_MS
        self.plans = {
            plan_id: run
            for plan_id, run in self.plans.items()
            if run.active or run.at_ms >= oldest
        }
        plan = record.plan
        if plan.plan_id not in self.plans:
            self.plans[plan.plan_id] = PlanRun(
                plan, steps=list(plan.steps), at_ms=self.now_ms
            )
        return []

    def _plan_confirmed(self, record: changes.PlanConfirmed) -> list[str]:
        run = self.plans.get(record.plan_id)
        if run is None:
            return [f"plan {record.plan_id!r} is not known"]
        if run.state in (PlanState.RUNNING, PlanState.DONE):
            return []
        if run.state is not PlanState.PROPOSED:
            return [f"the plan is {run.state}; make a new one"]
        problems = self._changed_since(
            {base.key: base.revision for base in run.plan.base}
        )
        if problems:
            return problems
        run.state = PlanState.RUNNING
        run.operator = record.operator or run.plan.operator
        self._run_changes(run)
        return []

    def _changed_since(self, known: dict[ItemKey, int]) -> list[str]:
        """Returns which items have changed since, when and by whom."""
        problems = []
        for key, revision in known.items():
            version = self.items.get(key)
            if version is not None and version.revision != revision:
                who = version.operator or "an operator"
                problems.append(
                    f"{key.kind} {key.name}: changed at revision"
                    f" {version.revision} by {who}"
                )
        return problems

    def _run_changes(self, run: PlanRun) -> None:
        """Carries out steps that are done at once, up to one that is not."""
        run.at_ms = self.now_ms
        while run.step < len(run.steps):
            step = run.steps[run.step]
            if isinstance(step, plans.OrderStep):
                self.fence += 1
                run.fence = self.fence
                if run.state is PlanState.RUNNING:
                    run.ordered.append(step)
            if not isinstance(step, plans.ChangeStep):
                return
            self._change_for(run, step)
            run.step += 1
        undoing = run.state is PlanState.UNDOING
        run.state = PlanState.UNDONE if undoing else PlanState.DONE

    def _change_for(self, run: PlanRun, step: plans.ChangeStep) -> None:
        keys = [key_of(item) for item in step.upserts] + list(step.removes)
        for key in keys:
            version = self.items.get(key)
            item = version.item if version is not None else None
            run.before.setdefault(key, item)
        names = self._change(step.upserts, step.removes, run.operator)
        for key in keys:
            run.wrote[key] = self.revision
        self.last = ChangeResult(
            True,
            self.revision,
            run.operator,
            run.plan.plan_id,
            names,
            at_ms=self.now_ms,
        )

    def _plan_advanced(self, record: changes.PlanAdvanced) -> list[str]:
        run = self.plans.get(record.plan_id)
        if run is None or run.current() is None or run.step != record.step:
            return []
        run.step += 1
        self._run_changes(run)
        return []

    def _plan_stopped(self, record: changes.PlanStopped) -> list[str]:
        run = self.plans.get(record.plan_id)
        if run is None:
            return [f"plan {record.plan_id!r} is not known"]
        if run.state in (PlanState.PROPOSED, PlanState.RUNNING):
            run.state = PlanState.STOPPED
            run.at_ms = self.now_ms
        if run.state is not PlanState.STOPPED:
            return [f"the plan is {run.state}"]
        return []

    def _plan_undone(self, record: changes.PlanUndone) -> list[str]:
        run = self.plans.get(record.plan_id)
        if run is None:
            return [f"plan {record.plan_id!r} is not known"]
        if run.state in (PlanState.UNDOING, PlanState.UNDONE):
            return []
        problems = self._changed_since(run.wrote)
        if problems:
            return problems
        run.state = PlanState.UNDOING
        run.step = 0
        run.steps = self._reversed(run)
        run.operator = record.operator or run.operator
        self._run_changes(run)
        return []

    def _reversed(self, run: PlanRun) -> list[plans.Step]:
        upserts = [item for item in run.before.values() if item is not None]
        removes = [key for key, item in run.before.items() if item is None]
        steps: list[plans.Step] = []
        if run.before:
            text = "take the plan's changes back"
            steps.append(
                plans.ChangeStep(text=text, upserts=upserts, removes=removes)
            )
        for order in reversed(run.ordered):
            steps.append(
                plans.OrderStep(
                    text=f"take back: {order.text}",
                    server=order.server,
                    order=order.reverse,
                    reverse=order.order,
                )
            )
        return steps
