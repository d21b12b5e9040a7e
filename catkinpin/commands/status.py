"""The command `catkinpin status`, and lifting of quarantines."""

from __future__ import annotations

import asyncio
from typing import Annotated, Any

from cyclopts import Parameter

from catkinpin import settings
from catkinpin.commands import client
from catkinpin.settings import OperatorSettings

_EVERY_S = 1.0


def status(
    *,
    watch: bool = False,
    json: bool = False,
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Shows processes, backend servers and the progress of plans.

    Args:
        watch: show it again every second, until interrupted.
        json: print JSON, one object a line.
        cfg: how to reach the system.
    """
    cfg = cfg or settings.defaults(OperatorSettings)

    async def work(http: client.Client) -> int:
        while True:
            reply = await http.get("status")
            client.show(reply, json, _table)
            if not watch:
                return reply.exit_code
            await asyncio.sleep(_EVERY_S)

    client.run(cfg, work)


def lift(
    fingerprint: str,
    *,
    operator: str = "",
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Lets quarantined requests run again.

    Args:
        fingerprint: of the requests' content, as `catkinpin status` shows it.
        operator: who decides so.
        cfg: how to reach the system.
    """
    cfg = cfg or settings.defaults(OperatorSettings)

    async def work(http: client.Client) -> int:
        path = f"quarantine/{fingerprint}/lift"
        reply = await http.post(path, operator=operator)
        client.show(reply, False, lambda _: "lifted")
        return reply.exit_code

    client.run(cfg, work)


def _table(body: Any) -> str:
    who = body["operator"] or "an operator"
    parts = [f"revision {body['revision']} by {who}"]
    parts.append(
        client.columns(
            ("process", "role", "failure domain", "revision", "lease ms"),
            [
                (
                    one["process"],
                    one["role"],
                    one["domain"],
                    one["revision"],
                    one["lease_left_ms"] or "lapsed",
                )
                for one in body.get("processes", [])
            ],
        )
    )
    parts.append(
        client.columns(
            ("server", "serves", "failure domain", "state", "load"),
            [
                (
                    one["server"],
                    ",".join(one["serves"]),
                    one["domain"],
                    one["state"],
                    f"{one['running']}+{one['waiting']}/{one['capacity']}",
                )
                for one in body.get("servers", [])
            ],
        )
    )
    parts += [_plan(one) for one in body.get("plans", [])]
    for fingerprint, reason in body.get("quarantined", {}).items():
        parts.append(f"quarantined {fingerprint}: {reason}")
    return "\n\n".join(parts) + "\n"


def _plan(one: Any) -> str:
    lines = [
        f"{one['plan_id']} by {one['operator'] or 'an operator'}:"
        f" {one['state']}, step {one['step']} of {len(one['steps'])} done;"
        f" {one.get('calls_left', 0)} calls and"
        f" {one.get('programs_left', 0)} programs still on its servers"
    ]
    for number, text in enumerate(one["steps"]):
        mark = "x" if number < one["step"] else " "
        lines.append(f"  [{mark}] {text}")
    if one.get("note"):
        lines.append(f"  {one['note']}")
    return "\n".join(lines)
