"""An application service whose servers crash on some requests."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import TYPE_CHECKING, Any

from tests.fakes.rawserver import RawServer, ReceivedRequest

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment

# Time that a request runs before it is answered or crashes its server.
_RUN_S = 0.03
# Time after which a crashed server is replaced by a new incarnation.
_RESTART_S = 0.4


class CrashingService:
    """Servers of the service "tools", which crash on requests to one path.

    Args:
        system: the deployment to which they announce themselves.
        target: path that crashes a server.

    Attributes:
        crash_times_s: when servers crashed, on the monotonic clock.
    """

    def __init__(self, system: Deployment, target: str) -> None:
        self._system = system
        self._target = target
        self._ids = itertools.count(1)
        self._writers: dict[RawServer, set[asyncio.StreamWriter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.crash_times_s: list[float] = []

    @property
    def crashes(self) -> int:
        """Number of servers that have crashed."""
        return len(self.crash_times_s)

    @staticmethod
    def add_to(system: Deployment, **route: Any) -> None:
        """Adds the service and its route "/c/" to the manifest."""
        system.more_services.append({"name": "tools", "max_conns": 50})
        system.more_routes.append(
            {
                "name": "c",
                "host": "h.example",
                "path_prefix": "/c/",
                "kind": "safe",
                "timeout_ms": 2_000,
                "target_latency_ms": 200,
                "priority": 0,
                "service": "tools",
                "max_attempts": 2,
                **route,
            }
        )

    async def start(self, count: int) -> None:
        """Starts servers and waits until they are announced."""
        for _ in range(count):
            await self._start_server()

    async def stop(self) -> None:
        """Stops all servers."""
        for task in self._tasks:
            task.cancel()
        for server in list(self._writers):
            await self._end(server)

    async def _start_server(self) -> None:
        server = RawServer(lambda req, writer: self._run(server, req, writer))
        await server.start()
        self._writers[server] = set()
        body = json.dumps(
            {
                "service": "tools",
                "address": server.address,
                "zone": "a",
                "slots": 8,
                "state": "ready",
                "seq": 1,
                "born": 1,
            }
        ).encode()
        path = f"/-/instances/tool-{next(self._ids)}"
        while (await self._system.call_keeper("PUT", path, body))[0] != 200:
            await asyncio.sleep(_RUN_S)

    async def _run(
        self,
        server: RawServer,
        received: ReceivedRequest,
        writer: asyncio.StreamWriter,
    ) -> None:
        if server not in self._writers:
            writer.transport.abort()
            return
        self._writers[server].add(writer)
        await asyncio.sleep(_RUN_S)
        if received.target == self._target:
            if server in self._writers:
                self.crash_times_s.append(time.monotonic())
                await self._end(server)
                task = asyncio.ensure_future(self._restart())
                self._tasks.add(task)
            return
        if server not in self._writers:
            return
        name = received.headers["x-attempt-id"]
        answer = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n"
            "X-Response-Seal: s\r\nContent-Length: 2\r\n\r\nok"
        )
        writer.write(answer.encode())

    async def _end(self, server: RawServer) -> None:
        """Ends a server: it closes all of its connections."""
        await server.stop()
        for writer in self._writers.pop(server):
            writer.transport.abort()

    async def _restart(self) -> None:
        await asyncio.sleep(_RESTART_S)
        await self._start_server()
