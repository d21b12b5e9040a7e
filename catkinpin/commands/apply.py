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

_POLL_INTERVAL_S = 0.1


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
    """Applies a configuration file.

    Exit codes: 0 if the configuration is accepted, 1 if it is invalid, 4 if
    another change was accepted first, 5 if the answer was lost, 6 if the
    configuration is not in force everywhere in time.

    Args:
        file: the configuration file, TOML or JSON.
        base: revision that the change is based on.
        operator: name of the operator, shown to other operators.
        request_id: id of this change; use the same id to resend it.
        wait: wait until the configuration is in force everywhere.
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
        client.show(reply, json, _format_result)
        client.announce_resend(reply, request_id)
        if reply.exit_code or not wait:
            return reply.exit_code
        return await _wait_until_in_force(
            http, reply.body["revision"], wait_ms, json
        )

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


def _format_result(body: Any) -> str:
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


async def _wait_until_in_force(
    http: client.Client, revision: int, wait_ms: int, as_json: bool
) -> int:
    """Waits until every live process serves with a revision.

    Returns:
        The exit code of the command.
    """
    deadline_s = time.monotonic() + wait_ms / 1000
    while True:
        reply = await http.get(f"in-force?revision={revision}")
        if reply.exit_code:
            client.show(reply, as_json, str)
            return reply.exit_code
        lacking = reply.body.get("lacking", [])
        if not lacking:
            client.show(reply, as_json, lambda _: "in force everywhere")
            return client.EXIT_OK
        if time.monotonic() > deadline_s:
            client.show(reply, as_json, _format_lacking)
            return client.EXIT_NOT_IN_FORCE
        if not as_json:
            print(_format_lacking(reply.body), file=sys.stderr)
        await asyncio.sleep(_POLL_INTERVAL_S)


def _format_lacking(body: Any) -> str:
    process_texts = [
        f"{process['process']} (at revision {process['revision']}, may serve"
        f" {process['lease_left_ms']} ms more)"
        for process in body["lacking"]
    ]
    return f"not yet confirmed by: {', '.join(process_texts)}"
