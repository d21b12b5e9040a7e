"""An application service whose servers crash on some requests."""

from __future__ import annotations

import asyncio
import itertools
import json
import time
from typing import TYPE_CHECKING, Any

from tests.fakes.rawserver import RawServer, ReceivedRequest

if TYPE_CHECKING:
    from collections.abc import Coroutine

    from tests.fakes.deployment import Deployment

_RUN_S = 0.03
_ANNOUNCE_INTERVAL_S = 0.03
# A server that is silent for 15 s counts as lost.
_REPEAT_INTERVAL_S = 5.0
# Answer to any request: one event, for routes of streams.
_EVENT = "id: 1\ndata: ok\n\n"
# Time after which a crashed server is replaced by a new incarnation.
_RESTART_S = 0.4


class CrashingService:
    """Servers of the service "tools", which crash on requests to one path.

    Args:
        system: the deployment to which they announce themselves.
        target: path that crashes a server.
        run_s: time that a request runs before it is answered or crashes its
            server.

    Attributes:
        crash_times_s: when servers crashed, on the monotonic clock.
        received: paths of the requests that reached a server.
    """

    def __init__(
        self, system: Deployment, target: str, run_s: float = _RUN_S
    ) -> None:
        self._system = system
        self._target = target
        self._run_s = run_s
        self.received: list[str] = []
        self._newest: RawServer | None = None
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
        for task in list(self._tasks):
            task.cancel()
        for server in list(self._writers):
            await self._end(server)

    async def _start_server(self) -> None:
        server = RawServer(lambda req, writer: self._run(server, req, writer))
        await server.start()
        self._writers[server] = set()
        name = f"tool-{next(self._ids)}"
        while not await self._announce(server, name, 1):
            await asyncio.sleep(_ANNOUNCE_INTERVAL_S)
        self._spawn(self._repeat_announcements(server, name))

    async def _announce(
        self, server: RawServer, name: str, number: int
    ) -> bool:
        """Announces a server; returns whether a keeper accepted that."""
        body = json.dumps(
            {
                "service": "tools",
                "address": server.address,
                "zone": "a",
                "slots": 8,
                "state": "ready",
                "seq": number,
                "born": 1,
            }
        ).encode()
        path = f"/-/instances/{name}"
        status, _ = await self._system.call_keeper("PUT", path, body)
        return status == 200

    async def _repeat_announcements(self, server: RawServer, name: str) -> None:
        for number in itertools.count(2):
            await asyncio.sleep(_REPEAT_INTERVAL_S)
            if server not in self._writers:
                return
            await self._announce(server, name, number)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

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
        self.received.append(received.target)
        self._newest = server
        await asyncio.sleep(self._run_s)
        if received.target == self._target:
            await self._crash(server)
            return
        if server not in self._writers:
            return
        name = received.headers["x-attempt-id"]
        answer = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n"
            f"X-Response-Seal: s\r\nContent-Length: {len(_EVENT)}\r\n\r\n"
            f"{_EVENT}"
        )
        writer.write(answer.encode())

    async def crash_newest(self) -> None:
        """Crashes the server that got a request last."""
        if self._newest is not None:
            await self._crash(self._newest)

    async def crash_busy(self, count: int) -> None:
        """Crashes servers that run requests, all at the same moment."""
        busy = [server for server, writers in self._writers.items() if writers]
        await asyncio.gather(*(self._crash(s) for s in busy[:count]))

    async def _crash(self, server: RawServer) -> None:
        if server not in self._writers:
            return
        self.crash_times_s.append(time.monotonic())
        await self._end(server)
        self._spawn(self._restart())

    async def _end(self, server: RawServer) -> None:
        """Ends a server: it closes all of its connections."""
        await server.stop()
        for writer in self._writers.pop(server):
            writer.transport.abort()

    async def _restart(self) -> None:
        await asyncio.sleep(_RESTART_S)
        await self._start_server()
