"""The operators' HTTP interface, on the inner address of every entry."""

from __future__ import annotations

import hmac
import uuid
from typing import TYPE_CHECKING, Any

import sanic
from sanic import response

from catkinpin import configuration
from catkinpin.core import changes, routing
from catkinpin.exceptions import BadRequestError, PeerLostError

if TYPE_CHECKING:
    from catkinpin.entry import Entry

_APPLY_TIMEOUT_S = 5.0


def add_routes(app: sanic.Sanic[Any, Any], entry: Entry) -> None:
    """Adds what operators call; all need the operators' key."""

    @app.get("/v1/operator/configuration")
    async def show(req: sanic.Request) -> Any:
        _check_operator(entry, req)
        return response.json(
            {
                "revision": entry.configured.revision,
                "content": entry.configured.content.decode(),
            }
        )

    @app.post("/v1/operator/configuration")
    async def apply(req: sanic.Request) -> Any:
        _check_operator(entry, req)
        return await _apply(entry, req)


async def _apply(entry: Entry, req: sanic.Request) -> Any:
    configuration.parse(req.body)
    base = req.headers.get("catkinpin-base-revision", "")
    if not base.isdigit():
        raise BadRequestError("Catkinpin-Base-Revision", "a number is needed")
    request_id = req.headers.get("idempotency-key") or uuid.uuid4().hex

    def make(ask: int) -> changes.Apply:
        return changes.Apply(
            ask=ask,
            request_id=request_id,
            base_revision=int(base),
            content=req.body,
            operator=req.headers.get("catkinpin-operator", ""),
        )

    try:
        applied = await entry.replicas.ask(
            routing.CONTROL_GROUP, make, _APPLY_TIMEOUT_S
        )
    except PeerLostError as exc:
        return response.json(
            {"error": {"message": str(exc), "outcome": "unknown"}}, status=503
        )
    body = {
        "accepted": applied.accepted,
        "revision": applied.revision,
        "operator": applied.operator,
    }
    return response.json(body, status=200 if applied.accepted else 409)


def _check_operator(entry: Entry, req: sanic.Request) -> None:
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    given = configuration.key_digest(key.strip())
    wanted = entry.cfg.operator_key_sha256
    ok = scheme.lower() == "bearer" and hmac.compare_digest(given, wanted)
    if not wanted or not ok:
        raise sanic.exceptions.Unauthorized("the operators' key is needed")
