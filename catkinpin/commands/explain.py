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
    """Shows which servers a recent call could have got, and their costs.

    Args:
        call: ACCOUNT/PROGRAM/REQUEST-ID.
        json: print JSON.
        cfg: how to reach the system.
    """
    cfg = cfg or settings.defaults(OperatorSettings)

    async def work(http: client.Client) -> int:
        reply = await http.get(f"explain?call={parse.quote(call, safe='')}")
        client.show(reply, json, _table)
        return reply.exit_code

    client.run(cfg, work)


def _table(body: Any) -> str:
    if not body["known"]:
        return "the leader remembers no decision about this call"
    state = f"went to {body['chosen']}" if body["chosen"] else "waits"
    who = "someone waits at a screen" if body["interactive"] else "no screen"
    head = (
        f"{state}, decided {body['age_ms']} ms ago at try {body['tries']};"
        f" turn {body['turns'] + 1}, {body['prompt_tokens']} tokens of which"
        f" {body['history_tokens']} are history,"
        f" {body['attained_tokens']} served before, {who}"
    )
    rows = [
        (
            one["server"],
            one["wait_ms"] + one["prefill_ms"] + one["transfer_ms"],
            one["wait_ms"],
            one["prefill_ms"],
            one["transfer_ms"],
            "yes" if one["fits"] else "no",
            f"{one['load']}/{one['capacity']}",
            f"{one['active_tokens']}/{one['cache_tokens']}",
        )
        for one in body["candidates"]
    ]
    names = ("server", "cost ms", "wait", "prefill", "transfer", "has room")
    table = client.columns((*names, "calls", "tokens in cache"), rows)
    return f"{head}\n\n{table}"
