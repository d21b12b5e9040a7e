"""HTTP interface with which operators repair a replica that lost its disk."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Any

import sanic
from sanic import response

from catkinpin import configuration

if TYPE_CHECKING:
    from catkinpin.adapters.replica.node import Node

PATH = "/v1/operator/repair"


def add_routes(app: sanic.Sanic[Any, Any], node: Node, key_sha256: str) -> None:
    """Adds the routes to show and to order a repair; both need the key."""

    @app.get(PATH)
    async def show(req: sanic.Request) -> Any:
        _check_operator(req, key_sha256)
        return response.json(_state(node))

    @app.post(PATH)
    async def repair(req: sanic.Request) -> Any:
        _check_operator(req, key_sha256)
        node.repair()
        return response.json(_state(node))


def _state(node: Node) -> dict[str, Any]:
    votes_by_group = node.votes_by_group()
    waiting = [name for name, votes in votes_by_group.items() if not votes]
    if node.needs_repair():
        state = "needs-repair"
    elif waiting:
        state = "catching-up"
    else:
        state = "safe"
    return {
        "node": node.identity,
        "state": state,
        "groups": len(votes_by_group),
        "waiting": waiting,
        "detail": node.not_ready(),
    }


def _check_operator(req: sanic.Request, key_sha256: str) -> None:
    scheme, _, key = req.headers.get("authorization", "").partition(" ")
    given = configuration.key_digest(key.strip())
    ok = scheme.lower() == "bearer" and hmac.compare_digest(given, key_sha256)
    if not key_sha256 or not ok:
        raise sanic.exceptions.Unauthorized("the operators' key is needed")
