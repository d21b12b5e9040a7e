"""The commands `catkinpin plan ...`, `confirm`, `stop` and `undo`."""

from __future__ import annotations

import json as jsonlib
from typing import Annotated, Any, Literal

from cyclopts import Parameter

from catkinpin import settings
from catkinpin.commands import client
from catkinpin.settings import OperatorSettings

Scope = Literal["server", "host", "domain", "region"]


@Parameter(name="*")
class Options(OperatorSettings):
    """Options that all plan commands share.

    Attributes:
        operator: name of the operator, shown to other operators.
        request_id: id of this request; use the same id to resend it.
        json_: print JSON.
    """

    operator: str = ""
    request_id: str = ""
    json_: Annotated[bool, Parameter(name="--json")] = False


def move(
    deployment: str,
    *,
    off: Annotated[list[str], Parameter(consume_multiple=True)],
    options: Options | None = None,
) -> None:
    """Plans to move a deployment off backend servers.

    Args:
        deployment: name of the deployment.
        off: names of the servers.
        options: options that all plan commands share.
    """
    _make_plan(options, kind="move", deployment=deployment, off=off)


def drain(scope: Scope, name: str, *, options: Options | None = None) -> None:
    """Plans to stop new work for a server, host, failure domain or region.

    Args:
        scope: kind of resource to drain.
        name: its name; for a host, its IP.
        options: options that all plan commands share.
    """
    _make_plan(options, kind="drain", scope=scope, name=name)


def undrain(scope: Scope, name: str, *, options: Options | None = None) -> None:
    """Plans to end a drain.

    Args:
        scope: kind of the drained resource.
        name: its name; for a host, its IP.
        options: options that all plan commands share.
    """
    _make_plan(options, kind="undrain", scope=scope, name=name)


def budget(
    deployment: str,
    *,
    tokens: int = 0,
    turns: int = 0,
    seconds: int = 0,
    options: Options | None = None,
) -> None:
    """Plans a new budget for programs that begin later.

    Args:
        deployment: name of the deployment.
        tokens: tokens a program may spend; 0: unchanged.
        turns: calls a program may make; 0: unchanged.
        seconds: time a program may take; 0: unchanged.
        options: options that all plan commands share.
    """
    _make_plan(
        options,
        kind="budget",
        deployment=deployment,
        tokens=tokens,
        turns=turns,
        seconds=seconds,
    )


def scale(
    deployment: str, *, servers: int, options: Options | None = None
) -> None:
    """Plans to set the number of backend servers for each target.

    Args:
        deployment: name of the deployment.
        servers: number of servers for each target.
        options: options that all plan commands share.
    """
    _make_plan(options, kind="scale", deployment=deployment, servers=servers)


def version(
    deployment: str,
    target: str,
    new: str,
    *,
    options: Options | None = None,
) -> None:
    """Plans to deploy a new version of a model, one server at a time.

    Args:
        deployment: name of the deployment.
        target: name of the model.
        new: the new version.
        options: options that all plan commands share.
    """
    _make_plan(
        options,
        kind="version",
        deployment=deployment,
        target=target,
        version=new,
    )


def confirm(plan_id: str, *, options: Options | None = None) -> None:
    """Carries out a plan if the state that it is based on still holds.

    Args:
        plan_id: id of the plan.
        options: options that all plan commands share.
    """
    _act_on_plan(plan_id, "confirm", options)


def stop(plan_id: str, *, options: Options | None = None) -> None:
    """Stops a plan at its current step; its changes stay in force.

    Args:
        plan_id: id of the plan.
        options: options that all plan commands share.
    """
    _act_on_plan(plan_id, "stop", options)


def undo(plan_id: str, *, options: Options | None = None) -> None:
    """Reverts the changes of a plan, whatever its current step.

    Args:
        plan_id: id of the plan.
        options: options that all plan commands share.
    """
    _act_on_plan(plan_id, "undo", options)


def _make_plan(options: Options | None, **intent: Any) -> None:
    opts = options or settings.defaults(Options)
    request_id = client.new_request_id(opts.request_id)

    async def work(http: client.Client) -> int:
        reply = await http.post(
            "plans",
            jsonlib.dumps(intent).encode(),
            operator=opts.operator,
            request_id=request_id,
        )
        client.show(reply, opts.json_, _format_plan)
        client.announce_resend(reply, request_id)
        return reply.exit_code

    client.run(opts, work)


def _act_on_plan(plan_id: str, verb: str, options: Options | None) -> None:
    opts = options or settings.defaults(Options)

    async def work(http: client.Client) -> int:
        path = f"plans/{plan_id}/{verb}"
        reply = await http.post(path, operator=opts.operator)
        client.show(reply, opts.json_, _format_progress)
        if reply.exit_code == client.EXIT_OUTCOME_UNKNOWN:
            print("Run it again: it is carried out only once.")
        return reply.exit_code

    client.run(opts, work)


def _format_progress(body: Any) -> str:
    problems = body.get("problems", [])
    if problems:
        return "not carried out:\n" + "\n".join(f"  {p}" for p in problems)
    progress = body["progress"]
    return f"{progress['plan_id']}: {progress['state']}"


def _format_plan(body: Any) -> str:
    plan = body.get("plan")
    if plan is None:
        problems = [f"  {problem}" for problem in body["problems"]]
        return "\n".join(["no plan:", *problems])
    forecast = plan["forecast"]
    lines = [f"{plan['plan_id']}, from revision {plan['revision']}", ""]
    lines += [
        f"  {number}. {step['text']}"
        for number, step in enumerate(plan["steps"], 1)
    ]
    loads = [
        (load["server"], load["before"], load["after"])
        for load in forecast.get("loads", [])
    ]
    lines += ["", client.columns(("server that stays", "load", "then"), loads)]
    refused = forecast.get("refused", [])
    lines += ["", "refused, or to note: " + ("; ".join(refused) or "nothing")]
    lines += [
        f"cache lost: {forecast.get('lost_tokens', 0)} tokens of"
        f" {forecast.get('lost_programs', 0)} programs",
        f"over the link: {forecast.get('link_bytes', 0)} bytes at most",
        "",
        f"Nothing has changed. Carry it out: catkinpin confirm"
        f" {plan['plan_id']}",
    ]
    return "\n".join(lines)
