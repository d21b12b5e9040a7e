"""The command `catkinpin apply`."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import uuid
from typing import Annotated

import aiohttp
from cyclopts import Parameter

from catkinpin import settings
from catkinpin.settings import OperatorSettings

_CONFLICT = 409
_EXIT_REFUSED = 4
_PATH = "/v1/operator/configuration"


def apply(
    file: pathlib.Path,
    *,
    base: int,
    operator: str = "",
    request_id: str = "",
    cfg: Annotated[OperatorSettings | None, Parameter(name="*")] = None,
) -> None:
    """Makes a file the configuration.

    Args:
        file: the configuration, TOML or JSON.
        base: revision that the change starts from.
        operator: who makes the change, shown to others.
        request_id: id of this change; give the same one to resend it.
        cfg: how to reach the system.
    """
    cfg = cfg or settings.defaults(OperatorSettings)
    request_id = request_id or uuid.uuid4().hex
    code = asyncio.run(
        _apply(cfg, file.read_bytes(), base, operator, request_id)
    )
    sys.exit(code)


async def _apply(
    cfg: OperatorSettings,
    content: bytes,
    base: int,
    operator: str,
    request_id: str,
) -> int:
    headers = {
        "Authorization": f"Bearer {cfg.operator_key}",
        "Catkinpin-Base-Revision": str(base),
        "Catkinpin-Operator": operator,
        "Idempotency-Key": request_id,
    }
    timeout = aiohttp.ClientTimeout(total=cfg.timeout_ms / 1000)
    async with (
        aiohttp.ClientSession(timeout=timeout) as http,
        http.post(cfg.entry + _PATH, data=content, headers=headers) as resp,
    ):
        print(await resp.text())
        if resp.status == _CONFLICT:
            return _EXIT_REFUSED
        return 0 if resp.ok else 1
