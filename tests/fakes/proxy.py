"""A fault-injecting TCP proxy, steered at `/fake` on its control port.

Each direction (`up` towards the target, `down` towards the client) has a
delay, a rate, silence for all connections, for those that are open when it is
switched on or for the next so many, and a reset once so many bytes have
passed. `cut` ends all connections and
refuses new ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any

from aiohttp import web

from tests.fakes import common

_BUFFER = 65_536


class Proxy:
    """State of the fake; `settings` can be changed while it runs."""

    def __init__(self, args: Any) -> None:
        self.args = args
        self.pairs: set[Pair] = set()
        self.passed = {"up": 0, "down": 0}
        self.settings: dict[str, Any] = {"cut": False}
        for way in ("up", "down"):
            self.settings[f"{way}_delay_ms"] = 0
            self.settings[f"{way}_bytes_per_s"] = 0
            self.settings[f"{way}_silent"] = False
            self.settings[f"{way}_silent_open"] = False
            self.settings[f"{way}_silent_next"] = 0
            self.settings[f"{way}_reset_at"] = -1

    def steer(self, changes: dict[str, Any]) -> None:
        """Changes settings, and acts on connections that are open."""
        self.settings.update(changes)
        for pair in list(self.pairs):
            for way in ("up", "down"):
                if changes.get(f"{way}_silent_open"):
                    pair.silent.add(way)
            if self.settings["cut"]:
                pair.reset()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries one connection."""
        if self.settings["cut"]:
            writer.transport.abort()
            return
        host, _, port = self.args.target.rpartition(":")
        try:
            up = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = Pair(writer, up[1])
        self.pairs.add(pair)
        for way in ("up", "down"):
            if self.settings[f"{way}_silent_next"]:
                self.settings[f"{way}_silent_next"] -= 1
                pair.silent.add(way)
        try:
            await asyncio.gather(
                self._carry("up", reader, up[1], pair),
                self._carry("down", up[0], writer, pair),
            )
        finally:
            self.pairs.discard(pair)

    async def _carry(
        self,
        way: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: Pair,
    ) -> None:
        passed = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(_BUFFER):
                await asyncio.sleep(self.settings[f"{way}_delay_ms"] / 1000)
                rate = self.settings[f"{way}_bytes_per_s"]
                if rate:
                    await asyncio.sleep(len(data) / rate)
                if self.settings[f"{way}_silent"] or way in pair.silent:
                    continue
                limit = self.settings[f"{way}_reset_at"]
                if 0 <= limit <= passed + len(data):
                    writer.write(data[: limit - passed])
                    await writer.drain()
                    pair.reset()
                    return
                passed += len(data)
                self.passed[way] += len(data)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


class Pair:
    """Both ends of a connection that the proxy carries."""

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.writers = writers
        self.silent: set[str] = set()

    def reset(self) -> None:
        """Resets both ends."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None:
                linger = struct.pack("ii", 1, 0)
                with contextlib.suppress(OSError):
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()


async def main() -> None:
    """Runs the proxy."""
    args = common.arguments(port=0, control=0, target="")
    proxy = Proxy(args)
    routes = web.RouteTableDef()

    @routes.post("/fake")
    async def steer(req: web.Request) -> web.Response:
        proxy.steer(await req.json())
        return web.json_response(proxy.settings)

    @routes.get("/fake")
    async def look(req: web.Request) -> web.Response:
        return web.json_response(
            {"passed": proxy.passed, "open": len(proxy.pairs)}
        )

    app = web.Application()
    app.add_routes(routes)
    server = await asyncio.start_server(proxy.accept, "127.0.0.1", args.port)
    async with server:
        await common.serve(app, args.control)


if __name__ == "__main__":
    common.run(main())
