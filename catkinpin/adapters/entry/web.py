"""Runs Sanic in the process's own event loop.

It starts no worker processes and installs no signal handlers.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from typing import TYPE_CHECKING, Any

import sanic

from catkinpin import waiting

if TYPE_CHECKING:
    from sanic.server.async_server import AsyncioServer

log = logging.getLogger(__name__)

_CLOSE_TIMEOUT_S = 2.0
_CLOSE_POLL_INTERVAL_S = 0.01

_app_numbers = itertools.count(1)


def new_app(role: str, max_body_bytes: int) -> sanic.Sanic[Any, Any]:
    """Returns an application without routes."""
    app: sanic.Sanic[Any, Any] = sanic.Sanic(
        f"catkinpin-{role}-{next(_app_numbers)}", configure_logging=False
    )
    app.config.ACCESS_LOG = False
    app.config.MOTD = False
    # Touchup rewrites methods at start-up, which fails for a second application
    # in the same process.
    app.config.TOUCHUP = False
    app.config.REQUEST_MAX_SIZE = max_body_bytes
    app.config.RESPONSE_TIMEOUT = 3600
    app.config.KEEP_ALIVE_TIMEOUT = 75
    app.config.FALLBACK_ERROR_FORMAT = "json"
    return app


class WebServer:
    """A listening application.

    Attributes:
        address: IP address and actual port.
    """

    def __init__(self, server: AsyncioServer, address: str) -> None:
        self._server = server
        self.address = address

    async def close(self, timeout_s: float = _CLOSE_TIMEOUT_S) -> bool:
        """Stops listening, and closes each connection once it is idle.

        Responses in progress are sent completely within `timeout_s`.

        Returns:
            Whether all connections were closed within `timeout_s`.
        """
        self._server.server.close()
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        while self._connections() and loop.time() < end:
            for conn in self._connections():
                conn.close_if_idle()
            await asyncio.sleep(_CLOSE_POLL_INTERVAL_S)
        remaining = self._connections()
        for conn in remaining:
            conn.abort()
        return not remaining

    def _connections(self) -> list[Any]:
        return list(self._server.connections or ())


async def serve(app: sanic.Sanic[Any, Any], address: str) -> WebServer:
    """Listens on `address` and returns once requests are accepted.

    Waits while the port can't be opened.
    """
    host, _, _ = address.rpartition(":")
    server = await app.create_server(
        sock=await waiting.open_port(address),
        return_asyncio_server=True,
        access_log=False,
        asyncio_server_kwargs={"start_serving": False},
    )
    assert server is not None
    await server.startup()
    await server.before_start()
    await server.start_serving()
    await server.after_start()
    sock = server.server.sockets[0]
    bound = sock.getsockname()
    return WebServer(server, f"{host}:{bound[1]}")
