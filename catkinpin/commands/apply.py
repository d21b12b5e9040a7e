"""The commands `catkinpin apply` and `catkinpin show`."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time
from typing import Annotated, Any

from cyclopts import Parameter

from catkinpin import settings
from catkinpin.commands import client
from catkinpin.settings import OperatorSettings

_POLL_S = 0.1


def apply(
    file: pathlib.Path,
    *,
    base: int,
    operator: str = "",
    request_id: str = "",
    wait: bool = False,
    wait_ms: int = 10_000,
    json: bool = False,
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Makes a file the configuration.

    Exits with 0 once it is accepted, 1 where it is invalid, 4 where another
    change was first, 5 where the answer was lost, 6 where it is not in force
    everywhere in time.

    Args:
        file: the configuration, TOML or JSON.
        base: revision that the change starts from.
        operator: who makes the change, shown to others.
        request_id: id of this change; give the same one to resend it.
        wait: return only once it is in force everywhere.
        wait_ms: longest wait, in ms.
        json: print JSON.
        cfg: how to reach the system.
    """
    cfg = cfg or settings.defaults(OperatorSettings)
    request_id = client.new_request_id(request_id)
    content = file.read_bytes()

    async def work(http: client.Client) -> int:
        reply = await http.post(
            "configuration",
            content,
            operator=operator,
            request_id=request_id,
            headers={"Catkinpin-Base-Revision": str(base)},
        )
        client.show(reply, json, _applied)
        client.announce_resend(reply, request_id)
        if reply.exit_code or not wait:
            return reply.exit_code
        return await _in_force(http, reply.body["revision"], wait_ms, json)

    client.run(cfg, work)


def show(
    *,
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Prints the configuration in force, as JSON with its revision."""
    cfg = cfg or settings.defaults(OperatorSettings)

    async def work(http: client.Client) -> int:
        reply = await http.get("configuration")
        client.show(reply, True, str)
        return reply.exit_code

    client.run(cfg, work)


def _applied(body: Any) -> str:
    if body["accepted"]:
        return f"revision {body['revision']}"
    changed = ", ".join(body.get("changed", [])) or "nothing"
    who = body.get("operator") or "an operator"
    if body.get("reused"):
        return (
            f"the request id is taken: {who} used it for revision"
            f" {body['revision']}, which changed {changed}; take another id"
        )
    return (
        f"not applied: {who} was first with revision {body['revision']}"
        f" (request {body['request_id']}), which changed {changed};"
        " look at it with `catkinpin show` and start from there"
    )


async def _in_force(
    http: client.Client, revision: int, wait_ms: int, as_json: bool
) -> int:
    """Waits until every live process serves under a revision."""
    end = time.monotonic() + wait_ms / 1000
    while True:
        reply = await http.get(f"in-force?revision={revision}")
        if reply.exit_code:
            client.show(reply, as_json, str)
            return reply.exit_code
        lacking = reply.body.get("lacking", [])
        if not lacking:
            client.show(reply, as_json, lambda _: "in force everywhere")
            return client.EXIT_OK
        if time.monotonic() > end:
            client.show(reply, as_json, _under_replicated)
            return client.EXIT_NOT_IN_FORCE
        if not as_json:
            print(_under_replicated(reply.body), file=sys.stderr)
        await asyncio.sleep(_POLL_S)


def _under_replicated(body: Any) -> str:
    names = [
        f"{one['process']} (at revision {one['revision']}, may serve"
        f" {one['lease_left_ms']} ms more)"
        for one in body["lacking"]
    ]
    return f"not yet confirmed by: {', '.join(names)}"
