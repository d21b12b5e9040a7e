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
_POLL_S = 0.5
_EXIT_NOT_SAFE = 4


def repair(
    replica: str,
    *,
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Lets a replica with an empty data folder replace the one lost there.

    Waits until the new replica votes in all groups and holds their logs, and
    says so: until then the loss of another replica may stop the system. Exits
    with 4 where that is not reached in time; run it again to go on.

    Args:
        replica: admin address (URL) of the replica with the empty folder.
        cfg: the operators' key, and how long to wait.
    """
    cfg = cfg or settings.defaults(OperatorSettings)
    sys.exit(asyncio.run(_repair(cfg, replica.rstrip("/") + _PATH)))


async def _repair(cfg: OperatorSettings, url: str) -> int:
    headers = {"Authorization": f"Bearer {cfg.operator_key}"}
    loop = asyncio.get_running_loop()
    deadline = loop.time() + cfg.timeout_ms / 1000
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
            if loop.time() > deadline:
                print(_not_safe(state))
                return _EXIT_NOT_SAFE
            await asyncio.sleep(_POLL_S)


def _not_safe(state: dict[str, Any]) -> str:
    waiting = ", ".join(state["waiting"])
    return (
        f"NOT SAFE yet, {state['state']}: waiting for {waiting};"
        f" {state['detail']}. Don't stop another replica; run this again."
    )
