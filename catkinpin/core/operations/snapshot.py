"""Encodes the control group's state for snapshots and decodes it.

The first byte of a snapshot is the version of its format.
"""

from __future__ import annotations

import msgspec

from catkinpin import codec
from catkinpin.core.operations import changes, control, plans
from catkinpin.core.operations.deployments import Item, ItemKey
from catkinpin.core.operations.quarantine import ContentQuarantine
from catkinpin.core.terms import Term
from catkinpin.exceptions import StorageError

FORMAT_VERSION = 1


class _Item(codec.Message, frozen=True):
    key: ItemKey
    item: Item | None
    revision: int
    operator: str


class _Result(codec.Message, frozen=True):
    request_id: str
    result: control.ChangeResult


class _Before(codec.Message, frozen=True):
    """An item before a plan changed it, and the revision of that change."""

    key: ItemKey
    item: Item | None
    wrote: int


class _Run(codec.Message, frozen=True):
    plan: plans.Plan
    state: plans.PlanState
    step: int
    steps: list[plans.Step]
    before: list[_Before]
    fence: int
    ordered: list[plans.OrderStep]
    at_ms: int
    operator: str


class _State(codec.Message, frozen=True):
    revision: int
    now_ms: int
    oldest_base: int
    fence: int
    last: control.ChangeResult
    items: list[_Item]
    results: list[_Result]
    processes: list[changes.ProcessInfo]
    servers: list[changes.ServerFacts]
    quarantine: list[changes.Quarantined]
    plans: list[_Run]
    terms: list[Term] = []
    trials: list[Term] = []


_decoder = codec.decoder(_State)


def encode_state(state: control.ControlState) -> bytes:
    """Returns the state as bytes that `decode_state` reads."""
    saved = _State(
        revision=state.revision,
        now_ms=state.now_ms,
        oldest_base=state.oldest_base,
        fence=state.last_fencing_token,
        last=state.last_change,
        items=[
            _Item(
                key=key,
                item=version.item,
                revision=version.revision,
                operator=version.operator,
            )
            for key, version in state.items.items()
        ],
        results=[
            _Result(request_id=request_id, result=result)
            for request_id, result in state.change_results.items()
        ],
        processes=list(state.processes.values()),
        servers=list(state.servers.values()),
        quarantine=state.quarantine.records(),
        plans=[_encode_run(run) for run in state.plans.values()],
        terms=list(state.quarantine.terms.running.values()),
        trials=list(state.quarantine.terms.trials.values()),
    )
    return bytes([FORMAT_VERSION]) + codec.encode_state(saved)


def decode_state(data: bytes) -> control.ControlState:
    """Returns the state in a snapshot.

    Raises:
        StorageError: the format is unknown, or the content does not match it.
    """
    if not data or data[0] != FORMAT_VERSION:
        found = data[0] if data else "nothing"
        text = (
            f"control snapshot: format {FORMAT_VERSION} is supported,"
            f" got {found}"
        )
        raise StorageError(text)
    try:
        saved = _decoder.decode(data[1:])
    except msgspec.MsgspecError as exc:
        raise StorageError(f"control snapshot: {exc}") from exc
    state = control.ControlState()
    state.revision = saved.revision
    state.now_ms = saved.now_ms
    state.oldest_base = saved.oldest_base
    state.last_fencing_token = saved.fence
    state.last_change = saved.last
    state.restore_items(
        (item.key, control.ItemVersion(item.item, item.revision, item.operator))
        for item in saved.items
    )
    state.change_results = {
        result.request_id: result.result for result in saved.results
    }
    state.processes = {info.incarnation: info for info in saved.processes}
    state.servers = {facts.server: facts for facts in saved.servers}
    state.quarantine = ContentQuarantine(
        saved.quarantine, saved.terms, saved.trials
    )
    state.plans = {run.plan.plan_id: _decode_run(run) for run in saved.plans}
    return state


def _encode_run(run: control.PlanRun) -> _Run:
    return _Run(
        plan=run.plan,
        state=run.state,
        step=run.step,
        steps=run.steps,
        before=[
            _Before(key=key, item=item, wrote=run.written_revisions[key])
            for key, item in run.items_before.items()
        ],
        fence=run.fencing_token,
        ordered=run.issued_orders,
        at_ms=run.at_ms,
        operator=run.operator,
    )


def _decode_run(saved: _Run) -> control.PlanRun:
    return control.PlanRun(
        plan=saved.plan,
        state=saved.state,
        step=saved.step,
        steps=saved.steps,
        items_before={before.key: before.item for before in saved.before},
        written_revisions={before.key: before.wrote for before in saved.before},
        fencing_token=saved.fence,
        issued_orders=saved.ordered,
        at_ms=saved.at_ms,
        operator=saved.operator,
    )
