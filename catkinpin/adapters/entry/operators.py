"""The HTTP interface for operators, on every entry's admin address."""

from __future__ import annotations

import asyncio
import hashlib
import hmac
import re
import uuid
from typing import TYPE_CHECKING, Any

import msgspec
import sanic
from sanic import response

from catkinpin import configuration
from catkinpin.adapters.entry import intents
from catkinpin.core import messages
from catkinpin.core.operations import changes, deployments
from catkinpin.core.programs import explanations, sharding
from catkinpin.exceptions import BadRequestError, PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.entry.context import EntryContext

_ANSWER_TIMEOUT_S = 8.0
_CATCH_UP_TIMEOUT_S = 2.0
_POLL_INTERVAL_S = 0.02
_OK = 200
_BAD_REQUEST = 400
_NOT_FOUND = 404
_CONFLICT = 409
_UNAVAILABLE = 503
_CALL_PATTERN = re.compile(r"([^/]+)/(.+)/([^/]+)")
_ID_PATTERN = re.compile(r"[0-9A-Za-z._:-]{1,100}")
_FINGERPRINT_PATTERN = re.compile(r"([0-9a-f]{2}){1,64}")


def add_routes(app: sanic.Sanic[Any, Any], entry: EntryContext) -> None:
    """Adds the routes for operators; all require the operators' key."""

    @app.get("/v1/operator/configuration")
    async def show(req: sanic.Request) -> Any:
        _check_operator(entry, req)
        return response.json(_configuration_body(entry))

    @app.post("/v1/operator/configuration")
    async def apply(req: sanic.Request) -> Any:
        _check_operator(entry, req)
        return await _apply_configuration(entry, req)

    @app.get("/v1/operator/in-force")
    async def in_force(req: sanic.Request) -> Any:
        _check_operator(entry, req)
        revision = _parse_number("revision", req.args.get("revision", ""))
        return await _ask_leader(
            entry, lambda ask: changes.GetInForce(ask=ask, revision=revision)
        )

    @app.get("/v1/operator/status")
    async def status(req: sanic.Request) -> Any:
        _check_operator(entry, req)
        return await _ask_leader(entry, lambda ask: changes.GetStatus(ask=ask))

    @app.get("/v1/operator/explain")
    async def explain(req: sanic.Request) -> Any:
        _check_operator(entry, req)
        key = _call_key(req.args.get("call", ""))
        return await _ask_leader(
            entry,
            lambda ask: explanations.Explain(ask=ask, key=key),
            group=sharding.group_of(key.program_key, entry.cfg.shards),
        )

    @app.post("/v1/operator/plans")
    async def plan(req: sanic.Request) -> Any:
        _check_operator(entry, req)
        return await _make_plan(entry, req)

    @app.post("/v1/operator/plans/<plan_id>/<verb:confirm|stop|undo>")
    async def act(req: sanic.Request, plan_id: str, verb: str) -> Any:
        _check_operator(entry, req)
        return await _act_on_plan(entry, req, plan_id, verb)

    @app.post("/v1/operator/quarantine/<fingerprint>/lift")
    async def lift(req: sanic.Request, fingerprint: str) -> Any:
        _check_operator(entry, req)
        return await _lift_quarantine(entry, req, fingerprint)


def _configuration_body(entry: EntryContext) -> dict[str, Any]:
    cfg = entry.active_config.configuration or configuration.Configuration()
    items = {
        "accounts": list(cfg.accounts.values()),
        "deployments": cfg.deployments,
        "drains": cfg.drains,
    }
    return {
        "revision": entry.active_config.revision,
        **msgspec.to_builtins(items),
    }


async def _apply_configuration(entry: EntryContext, req: sanic.Request) -> Any:
    wanted = configuration.parse(req.body)
    base = _parse_number(
        "Catkinpin-Base-Revision",
        req.headers.get("catkinpin-base-revision", ""),
    )
    request_id = _request_id(req)
    operator = req.headers.get("catkinpin-operator", "")
    upserts, removes = await _difference(entry, base, wanted)
    digest = hashlib.sha256(f"{base}\0{operator}\0".encode() + req.body)

    def make_message(ask: int) -> changes.Apply:
        return changes.Apply(
            ask=ask,
            request_id=request_id,
            base_revision=base,
            upserts=upserts,
            removes=removes,
            operator=operator,
            content_digest=digest.digest(),
        )

    return await _ask_leader(entry, make_message, request_id)


async def _difference(
    entry: EntryContext, base: int, wanted: configuration.Configuration
) -> tuple[list[deployments.Item], list[deployments.ItemKey]]:
    """Returns the changes from the base revision to the wanted configuration.

    If this process has a newer revision than the base, the change is either
    rejected or a resent one, and its content does not matter. Drains belong to
    plans and are not changed.

    Raises:
        BadRequestError: this process does not get the base revision in time.
    """
    end = asyncio.get_running_loop().time() + _CATCH_UP_TIMEOUT_S
    while entry.active_config.revision < base:
        if asyncio.get_running_loop().time() > end:
            text = f"revision {base} is not known here yet"
            raise BadRequestError("Catkinpin-Base-Revision", text)
        await asyncio.sleep(_POLL_INTERVAL_S)
    if entry.active_config.revision > base:
        return [], []
    cfg = entry.active_config.configuration or configuration.Configuration()
    old = {deployments.key_of(item): item for item in cfg.items()}
    new = {deployments.key_of(item): item for item in wanted.items()}
    upserts = [item for key, item in new.items() if old.get(key) != item]
    removes = [key for key in old if key.kind != "drain" and key not in new]
    return upserts, removes


async def _make_plan(entry: EntryContext, req: sanic.Request) -> Any:
    intent = intents.parse(req.body)
    request_id = _request_id(req)
    digest = hashlib.sha256(request_id.encode()).hexdigest()
    plan_id = f"plan-{digest[:8]}"
    operator = req.headers.get("catkinpin-operator", "")
    return await _ask_leader(
        entry,
        lambda ask: changes.MakePlan(
            ask=ask, plan_id=plan_id, intent=intent, operator=operator
        ),
        request_id,
    )


async def _act_on_plan(
    entry: EntryContext, req: sanic.Request, plan_id: str, verb: str
) -> Any:
    message_types: dict[str, Any] = {
        "confirm": changes.ConfirmPlan,
        "stop": changes.StopPlan,
        "undo": changes.UndoPlan,
    }
    operator = req.headers.get("catkinpin-operator", "")
    return await _ask_leader(
        entry,
        lambda ask: message_types[verb](
            ask=ask, plan_id=plan_id, operator=operator
        ),
    )


async def _lift_quarantine(
    entry: EntryContext, req: sanic.Request, fingerprint: str
) -> Any:
    """Ends the quarantine of the request content with this fingerprint."""
    if not _FINGERPRINT_PATTERN.fullmatch(fingerprint):
        raise BadRequestError("fingerprint", "a number in hex is allowed")
    operator = req.headers.get("catkinpin-operator", "")
    return await _ask_leader(
        entry,
        lambda ask: changes.Quarantine(
            ask=ask,
            fingerprint=bytes.fromhex(fingerprint),
            lift=True,
            operator=operator,
        ),
    )


async def _ask_leader(
    entry: EntryContext,
    make_message: Callable[[int], Any],
    request_id: str = "",
    group: str = sharding.CONTROL_GROUP,
) -> Any:
    """Asks a group's leader and returns its answer as JSON."""
    try:
        answer = await entry.replicas.ask(
            group, make_message, _ANSWER_TIMEOUT_S
        )
    except PeerLostError as exc:
        error = {
            "message": f"{exc}; whether it was carried out is not known",
            "outcome": "unknown",
            "request_id": request_id,
        }
        return response.json({"error": error}, status=_UNAVAILABLE)
    body = msgspec.to_builtins(answer)
    body.pop("ask", None)
    body.pop("type", None)
    if request_id:
        body.setdefault("request_id", request_id)
    return response.json(body, status=_status_of(answer))


def _call_key(text: str) -> messages.CallKey:
    match = _CALL_PATTERN.fullmatch(text)
    if match is None:
        raise BadRequestError("call", "ACCOUNT/PROGRAM/REQUEST-ID is needed")
    account, program, request_id = match.groups()
    return messages.CallKey(
        account=account, program=program, request_id=request_id
    )


def _status_of(answer: Any) -> int:
    match answer:
        case explanations.Explained(known=False):
            return _NOT_FOUND
        case changes.Applied(accepted=False):
            return _CONFLICT
        case changes.PlanShown(plan=None):
            return _BAD_REQUEST
        case changes.PlanShown() if answer.problems:
            return _CONFLICT
    return _OK


def _request_id(req: sanic.Request) -> str:
    request_id: str = req.headers.get("idempotency-key") or uuid.uuid4().hex
    if not _ID_PATTERN.fullmatch(request_id):
        text = "1 to 100 letters, digits and . _ : - are allowed"
        raise BadRequestError("Idempotency-Key", text)
    return request_id


def _parse_number(field: str, text: str) -> int:
    if not re.fullmatch(r"[0-9]{1,18}", text):
        text = f"a whole number from 0 is allowed, got {text!r}"
        raise BadRequestError(field, text)
    return int(text)


def _check_operator(entry: EntryContext, req: sanic.Request) -> None:
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    given = configuration.key_digest(key.strip())
    expected = entry.cfg.operator_key_sha256
    matches = scheme.lower() == "bearer" and hmac.compare_digest(
        given, expected
    )
    if not expected or not matches:
        raise sanic.exceptions.Unauthorized("the operators' key is needed")
