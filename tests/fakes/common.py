"""Shared parts of the fake servers: flags, announcements, serving."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import signal
import uuid
from typing import TYPE_CHECKING, Any

import aiohttp
import uvloop
from aiohttp import web

if TYPE_CHECKING:
    from collections.abc import Callable

ANNOUNCE_INTERVAL_S = 0.3


def arguments(**defaults: Any) -> argparse.Namespace:
    """Parses the command line.

    Args:
        **defaults: default of each flag by its name, with `_` for `-`. A flag
            has the type of its default, or is a string if that is None.
    """
    parser = argparse.ArgumentParser()
    for name, default in defaults.items():
        kind = str if default is None else type(default)
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, default=default, type=kind)
    return parser.parse_args()


async def announce(
    entries: list[str],
    make: Callable[[], Any],
    make_events: Callable[[], Any] = lambda: None,
    *,
    everywhere: bool = False,
) -> None:
    """Sends announcements and cache events until cancelled.

    Args:
        entries: admin addresses of the entries.
        make: returns the announcement, or None to send none.
        make_events: returns the cache events, or None to send none.
        everywhere: whether to send to every entry before the usual sending
            to the first entry that accepts it.
    """
    timeout = aiohttp.ClientTimeout(total=1)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        while True:
            for path, body in (("announce", make()), ("events", make_events())):
                if body is not None:
                    url = f"/v1/servers/{path}"
                    for entry in entries if everywhere else []:
                        await _send(http, [entry], url, body)
                    await _send(http, entries, url, body)
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)


async def _send(
    http: aiohttp.ClientSession, entries: list[str], path: str, body: Any
) -> None:
    """Posts to the first entry that accepts the request."""
    for entry in entries:
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with http.post(f"http://{entry}{path}", json=body) as resp:
                if resp.ok:
                    return


async def serve(app: web.Application, port: int) -> None:
    """Serves an application on loopback until SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    await stop.wait()
    await runner.cleanup()


def run(main: Any) -> None:
    """Runs the main coroutine of a fake server."""
    uvloop.run(main)


def new_incarnation() -> str:
    """Returns a new id for a run of the process."""
    return uuid.uuid4().hex
