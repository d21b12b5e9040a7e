"""Ends an HTTP server's requests before its process stops."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin.adapters.http.headers import Headers

if TYPE_CHECKING:
    from catkinpin.adapters.http.server import HttpServer, Request, Responder

_POLL_INTERVAL_S = 0.02


async def drain(server: HttpServer, timeout_s: float) -> None:
    """Waits for the requests in progress, and has later ones refused.

    A request that is not read by then is refused as well: without an answer
    its caller could not tell that it has not run.

    Args:
        server: the server, which is left listening.
        timeout_s: longest time to wait.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + timeout_s
    server.close_when_answered()
    while server.count_busy() and loop.time() < end_s:
        server.close_idle()
        await asyncio.sleep(_POLL_INTERVAL_S)
    server.handler = _refuse
    server.refuse_unread(lambda _: Headers())


async def _refuse(_: Request, responder: Responder) -> None:
    responder.answer(503)
