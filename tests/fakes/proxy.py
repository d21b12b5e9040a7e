"""TCP proxy that injects faults, configured at `/fake` on its control port.

The settings of each direction (`up` towards the target, `down` towards the
client) are:

    delay_ms: delay of each block of data
    bytes_per_s: bandwidth, 0 for no limit
    silent: drops the data of all connections
    silent_open: drops the data of the connections that are open when it is set
    silent_next: drops the data of so many of the next connections
    reset_at: resets a connection after so many bytes, -1 for never

`cut` resets all connections and refuses new ones.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from typing import Any

from aiohttp import web

from tests.fakes import common

_READ_BYTES = 65_536


class Proxy:
    """Proxy with settings that can be changed while it runs."""

    def __init__(self, args: Any) -> None:
        self.args = args
        self.pairs: set[ConnectionPair] = set()
        self.passed = {"up": 0, "down": 0}
        self.settings: dict[str, Any] = {"cut": False}
        for direction in ("up", "down"):
            self.settings[f"{direction}_delay_ms"] = 0
            self.settings[f"{direction}_bytes_per_s"] = 0
            self.settings[f"{direction}_silent"] = False
            self.settings[f"{direction}_silent_open"] = False
            self.settings[f"{direction}_silent_next"] = 0
            self.settings[f"{direction}_reset_at"] = -1

    def configure(self, changes: dict[str, Any]) -> None:
        """Changes settings and applies them to open connections."""
        self.settings.update(changes)
        for pair in list(self.pairs):
            for direction in ("up", "down"):
                if changes.get(f"{direction}_silent_open"):
                    pair.silent.add(direction)
            if self.settings["cut"]:
                pair.reset()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection until both directions have ended."""
        if self.settings["cut"]:
            writer.transport.abort()
            return
        host, _, port = self.args.target.rpartition(":")
        try:
            target_streams = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = ConnectionPair(writer, target_streams[1])
        self.pairs.add(pair)
        for direction in ("up", "down"):
            if self.settings[f"{direction}_silent_next"]:
                self.settings[f"{direction}_silent_next"] -= 1
                pair.silent.add(direction)
        try:
            await asyncio.gather(
                self._forward("up", reader, target_streams[1], pair),
                self._forward("down", target_streams[0], writer, pair),
            )
        finally:
            self.pairs.discard(pair)

    async def _forward(
        self,
        direction: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        pair: ConnectionPair,
    ) -> None:
        passed = 0
        with contextlib.suppress(OSError):
            while data := await reader.read(_READ_BYTES):
                await asyncio.sleep(
                    self.settings[f"{direction}_delay_ms"] / 1000
                )
                rate = self.settings[f"{direction}_bytes_per_s"]
                if rate:
                    await asyncio.sleep(len(data) / rate)
                if (
                    self.settings[f"{direction}_silent"]
                    or direction in pair.silent
                ):
                    continue
                limit = self.settings[f"{direction}_reset_at"]
                if 0 <= limit <= passed + len(data):
                    writer.write(data[: limit - passed])
                    await writer.drain()
                    pair.reset()
                    return
                passed += len(data)
                self.passed[direction] += len(data)
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()


class ConnectionPair:
    """Both ends of a forwarded connection.

    Attributes:
        silent: directions whose data is dropped.
    """

    def __init__(self, *writers: asyncio.StreamWriter) -> None:
        self.writers = writers
        self.silent: set[str] = set()

    def reset(self) -> None:
        """Closes both ends with a TCP reset."""
        for writer in self.writers:
            sock = writer.get_extra_info("socket")
            if sock is not None:
                reset_on_close = struct.pack("ii", 1, 0)
                with contextlib.suppress(OSError):
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close
                    )
            writer.transport.abort()


async def main() -> None:
    """Runs the proxy."""
    args = common.arguments(port=0, control=0, target="")
    proxy = Proxy(args)
    routes = web.RouteTableDef()

    @routes.post("/fake")
    async def configure(req: web.Request) -> web.Response:
        proxy.configure(await req.json())
        return web.json_response(proxy.settings)

    @routes.get("/fake")
    async def show(req: web.Request) -> web.Response:
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
