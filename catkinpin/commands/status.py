"""The commands `catkinpin status` and `catkinpin lift`."""

from __future__ import annotations

import asyncio
from typing import Annotated, Any

from cyclopts import Parameter

from catkinpin import settings
from catkinpin.commands import client
from catkinpin.settings import OperatorSettings

_WATCH_INTERVAL_S = 1.0


def status(
    *,
    watch: bool = False,
    json: bool = False,
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Shows processes, backend servers and the progress of plans.

    Args:
        watch: repeat every second until interrupted.
        json: print JSON, one object per line.
        cfg: how to reach the system.
    """
    cfg = cfg or settings.defaults(OperatorSettings)

    async def work(http: client.Client) -> int:
        while True:
            reply = await http.get("status")
            client.show(reply, json, _format_status)
            if not watch:
                return reply.exit_code
            await asyncio.sleep(_WATCH_INTERVAL_S)

    client.run(cfg, work)


def lift(
    fingerprint: str,
    *,
    operator: str = "",
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Lets quarantined requests run again.

    Args:
        fingerprint: fingerprint of the requests' content, as shown by
            `catkinpin status`.
        operator: name of the operator.
        cfg: how to reach the system.
    """
    cfg = cfg or settings.defaults(OperatorSettings)

    async def work(http: client.Client) -> int:
        path = f"quarantine/{fingerprint}/lift"
        reply = await http.post(path, operator=operator)
        client.show(reply, False, lambda _: "lifted")
        return reply.exit_code

    client.run(cfg, work)


def _format_status(body: Any) -> str:
    operator = body["operator"] or "an operator"
    parts = [f"revision {body['revision']} by {operator}"]
    parts.append(
        client.columns(
            ("process", "role", "failure domain", "revision", "lease ms"),
            [
                (
                    process["process"],
                    process["role"],
                    process["domain"],
                    process["revision"],
                    process["lease_left_ms"] or "lapsed",
                )
                for process in body.get("processes", [])
            ],
        )
    )
    parts.append(
        client.columns(
            ("server", "serves", "failure domain", "state", "load"),
            [
                (
                    server["server"],
                    ",".join(server["serves"]),
                    server["domain"],
                    server["state"],
                    f"{server['running']}+{server['waiting']}"
                    f"/{server['capacity']}",
                )
                for server in body.get("servers", [])
            ],
        )
    )
    parts += [_format_plan(plan) for plan in body.get("plans", [])]
    for fingerprint, reason in body.get("quarantined", {}).items():
        parts.append(f"quarantined {fingerprint}: {reason}")
    return "\n\n".join(parts) + "\n"


def _format_plan(plan: Any) -> str:
    lines = [
        f"{plan['plan_id']} by {plan['operator'] or 'an operator'}:"
        f" {plan['state']}, step {plan['step']} of {len(plan['steps'])} done;"
        f" {plan.get('calls_left', 0)} calls and"
        f" {plan.get('programs_left', 0)} programs still on its servers"
    ]
    for number, text in enumerate(plan["steps"]):
        mark = "x" if number < plan["step"] else " "
        lines.append(f"  [{mark}] {text}")
    if plan.get("note"):
        lines.append(f"  {plan['note']}")
    return "\n".join(lines)
