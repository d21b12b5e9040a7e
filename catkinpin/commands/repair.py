"""The command `catkinpin repair`."""

from __future__ import annotations

import asyncio
import sys
from typing import Annotated, Any

import aiohttp
from cyclopts import Parameter

from catkinpin import settings
from catkinpin.settings import OperatorSettings

_PATH = "/v1/operator/repair"
_POLL_INTERVAL_S = 0.5
_EXIT_NOT_SAFE = 4


def repair(
    replica: str,
    *,
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Replaces a replica whose disk was lost by one with an empty data folder.

    Waits until the new replica votes in all groups and holds their logs. Until
    then, the loss of another replica may stop the system. Exits with 4 if that
    state is not reached in time; run the command again to continue.

    Args:
        replica: admin address (URL) of the replica with the empty folder.
        cfg: the operators' key and the longest wait.
    """
    cfg = cfg or settings.defaults(OperatorSettings)
    sys.exit(asyncio.run(_request_repair(cfg, replica.rstrip("/") + _PATH)))


async def _request_repair(cfg: OperatorSettings, url: str) -> int:
    headers = {"Authorization": f"Bearer {cfg.operator_key}"}
    loop = asyncio.get_running_loop()
    deadline_s = loop.time() + cfg.timeout_ms / 1000
    timeout = aiohttp.ClientTimeout(total=cfg.timeout_ms / 1000)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        async with http.post(url, headers=headers) as resp:
            if not resp.ok:
                print(await resp.text())
                return 1
        while True:
            async with http.get(url, headers=headers) as resp:
                state = await resp.json()
            if state["state"] == "safe":
                print(f"safe: votes in all {state['groups']} groups")
                return 0
            if loop.time() > deadline_s:
                print(_format_not_safe(state))
                return _EXIT_NOT_SAFE
            await asyncio.sleep(_POLL_INTERVAL_S)


def _format_not_safe(state: dict[str, Any]) -> str:
    waiting = ", ".join(state["waiting"])
    return (
        f"NOT SAFE yet, {state['state']}: waiting for {waiting};"
        f" {state['detail']}. Don't stop another replica; run this again."
    )
