"""The command `catkinpin explain`."""

from __future__ import annotations

from typing import Annotated, Any
from urllib import parse

from cyclopts import Parameter

from catkinpin import settings
from catkinpin.commands import client
from catkinpin.settings import OperatorSettings


def explain(
    call: str,
    *,
    json: bool = False,
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Shows the candidate servers of a recent call and their costs.

    Args:
        call: ACCOUNT/PROGRAM/REQUEST-ID.
        json: print JSON.
        cfg: how to reach the system.
    """
    cfg = cfg or settings.defaults(OperatorSettings)

    async def work(http: client.Client) -> int:
        reply = await http.get(f"explain?call={parse.quote(call, safe='')}")
        client.show(reply, json, _format_explanation)
        return reply.exit_code

    client.run(cfg, work)


def _format_explanation(body: Any) -> str:
    if not body["known"]:
        return "the leader holds no recent decision about this call"
    state = f"went to {body['chosen']}" if body["chosen"] else "waits"
    mode = "interactive" if body["interactive"] else "not interactive"
    head = (
        f"{state}, decided {body['age_ms']} ms ago at try {body['tries']};"
        f" turn {body['turns'] + 1}, {body['prompt_tokens']} tokens of which"
        f" {body['history_tokens']} are history,"
        f" {body['attained_tokens']} served before, {mode}"
    )
    rows = [
        (
            candidate["server"],
            candidate["wait_ms"]
            + candidate["prefill_ms"]
            + candidate["transfer_ms"],
            candidate["wait_ms"],
            candidate["prefill_ms"],
            candidate["transfer_ms"],
            "yes" if candidate["fits"] else "no",
            f"{candidate['load']}/{candidate['capacity']}",
            f"{candidate['active_tokens']}/{candidate['cache_tokens']}",
        )
        for candidate in body["candidates"]
    ]
    names = ("server", "cost ms", "wait", "prefill", "transfer", "has room")
    table = client.columns((*names, "calls", "tokens in cache"), rows)
    return f"{head}\n\n{table}"
