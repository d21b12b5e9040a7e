"""Keepers, stores and gateways as real processes on loopback addresses."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import shutil
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import aiohttp

from tests import ports, processes
from tests.fakes.rawserver import RawServer, ReceivedRequest

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Awaitable, Callable

_WAIT_S = 15.0
_POLL_S = 0.03
# A lost holder is noticed within a second, and a copy takes a part of one.
_SETTLED_S = 4.0
# A server that is silent for 15 s counts as gone.
_BEAT_S = 1.0
# Settings that say nothing to these tests, as the platform writes them.
_COMMON = """
bootstrap = {first}
[zones]
a = "r"
b = "r"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
memory_mb = 200
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
grace_s = 8
"""


@dataclasses.dataclass
class Host:
    """A process, where it listens, and its folder."""

    name: str
    role: str
    ip: str
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    first: bool = True


class Deployment:
    """Three keepers, stores and gateways, and a model server.

    Args:
        folder: for settings, logs and data.
        gateways: how many.
        stores: how many.
    """

    def __init__(
        self, folder: pathlib.Path, gateways: int = 2, stores: int = 2
    ) -> None:
        self._folder = folder
        self._ports = ports.free_ports(4)
        # Addresses of its own, so that several runs don't meet.
        net = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.hosts: dict[str, Host] = {}
        roles = [("keeper", 3), ("store", stores), ("gateway", gateways)]
        last = 1
        for role, count in roles:
            for number in range(1, count + 1):
                last += 1
                name = f"{role}-{number}"
                data = folder / name
                self.hosts[name] = Host(name, role, f"{net}.{last}", data)
        self.model = RawServer(self._stream)
        self.version = 0
        # Client accounts of the manifest; None: no request needs a key.
        self.tenants: list[dict[str, Any]] | None = None
        self._sequence = 0
        self._session: aiohttp.ClientSession
        self._beating: asyncio.Task[None]
        self.gap_s = 0.0
        # Where the server says it is; a test may put a proxy before it.
        self.server_address = ""
        # Called with each request that reaches the server.
        self.on_request: Callable[[ReceivedRequest], None] = lambda _: None
        # Called once all processes were started for the first time.
        self.on_first_start: Callable[[], Awaitable[None]] | None = None
        # Of the host that lost its disk last: times that it had registered as
        # a store, and had started, before.
        self._seen = 0
        self._starts = 0

    async def __aenter__(self) -> Deployment:
        self._session = aiohttp.ClientSession()
        for host in self.hosts.values():
            self.start(host.name)
        if self.on_first_start is not None:
            await self.on_first_start()
        if not self.model.address:
            await self.model.start()
        await self.until(self.configure)
        await self.until(self.send_heartbeat)
        await self.until(self._knows_stores)
        self._beating = asyncio.create_task(self._keep_beating())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._beating.cancel()
        await self._session.close()
        await self.model.stop()
        for host in self.hosts.values():
            self.kill(host.name)

    def start(self, name: str) -> None:
        """Starts a process."""
        host = self.hosts[name]
        host.folder.mkdir(exist_ok=True)
        settings = self._folder / f"{name}.toml"
        settings.write_text(self._settings(host))
        env = dict(os.environ, PYTHONPATH=str(processes.ROOT))
        env["CATKINPIN_NODE_FILE"] = str(settings)
        with (self._folder / f"{name}.log").open("ab") as out:
            host.process = subprocess.Popen(
                [sys.executable, "platform", host.role],
                cwd=processes.ROOT,
                env=env,
                stdout=out,
                stderr=out,
            )
        host.first = False

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Sends a signal, and waits for the end after SIGKILL."""
        process = self.hosts[name].process
        if process is None or process.poll() is not None:
            return
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def wipe(self, name: str) -> None:
        """Takes a process's disk."""
        self.kill(name)
        self._seen = self._count("store", name)
        self._starts = self._count_starts(name)
        shutil.rmtree(self.hosts[name].folder)

    def log(self, name: str) -> list[dict[str, Any]]:
        """Returns the decisions that a process has written."""
        text = (self._folder / f"{name}.log").read_text()
        lines = [ln for ln in text.splitlines() if ln.startswith("{")]
        return [json.loads(line) for line in lines]

    def leader(self) -> str:
        """Returns the name of the keeper that leads, as it says itself."""
        found = ""
        newest = -1
        for host in self.hosts.values():
            if host.role != "keeper":
                continue
            for line in self.log(host.name):
                leads = line["decision"] == "leadership" and line["leading"]
                if leads and line["term"] > newest:
                    newest, found = line["term"], host.name
        return found

    async def _knows_stores(self) -> bool:
        names = [h.name for h in self.hosts.values() if h.role == "store"]
        return all(self._count("store", name) for name in names)

    async def repaired(self, name: str) -> None:
        """Waits until a host that lost its disk is back and copies are made.

        How long that takes depends on the machine; so it counts as done once
        the host belongs again and no copy was made for some seconds.
        """
        host = self.hosts[name]
        kind = "leader" if host.role == "keeper" else "store"

        async def belongs() -> bool:
            if self._count_starts(name) == self._starts:
                # What it wrote before it lost its disk says nothing.
                return False
            if kind == "leader":
                lines = self.log(name)
                starts = [ln["decision"] == "start" for ln in lines]
                last = len(lines) - 1 - starts[::-1].index(True)
                return any(ln["decision"] == kind for ln in lines[last:])
            return self._count("store", name) > self._seen

        await self.until(belongs)
        before = -1
        while before != self._count("copied"):
            before = self._count("copied")
            await asyncio.sleep(_SETTLED_S)

    def _count_starts(self, name: str) -> int:
        return sum(line["decision"] == "start" for line in self.log(name))

    def _count(self, decision: str, store: str = "") -> int:
        """Returns how many such lines the keepers have written."""
        return sum(
            line["decision"] == decision and line.get("store", "") == store
            for host in self.hosts.values()
            if host.role == "keeper"
            for line in self.log(host.name)
        )

    async def until(self, work: Callable[[], Any]) -> Any:
        """Repeats a call until it returns something true."""
        async with asyncio.timeout(_WAIT_S):
            while True:
                with contextlib.suppress(OSError, aiohttp.ClientError):
                    if found := await work():
                        return found
                await asyncio.sleep(_POLL_S)

    async def configure(self, **route: Any) -> bool:
        """Sends a manifest to any keeper; returns whether one took it."""
        self.version += 1
        fields = {
            "name": "r",
            "host": "h.example",
            "path_prefix": "/t/",
            "kind": "stream",
            "timeout_ms": 4_000,
            "target_latency_ms": 300,
            "priority": 0,
            "service": "models",
            "max_attempts": 1,
            "server_history": True,
            "retain_s": 60.0,
            "session_affinity": True,
            "resumable": False,
            **route,
        }
        plain = {
            **fields,
            "name": "u",
            "path_prefix": "/u/",
            "kind": "unsafe",
            "server_history": False,
        }
        engine = {"slots": 8, "kv_capacity": 10_000, "event_tokens": 2}
        service = {"name": "models", "max_conns": 50, "engine": engine}
        manifest: dict[str, Any] = {
            "version": self.version,
            "routes": [fields, plain],
            "services": [service],
        }
        if self.tenants is not None:
            manifest["tenants"] = self.tenants
        body = json.dumps(manifest).encode()
        return (await self.control("PUT", "/-/config", body))[0] == 200

    async def send_heartbeat(self) -> bool:
        """Announces the model server."""
        self._sequence += 1
        fields = {
            "service": "models",
            "address": self.server_address or self.model.address,
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "seq": self._sequence,
            "born": 1,
        }
        body = json.dumps(fields).encode()
        status, _ = await self.control("PUT", "/-/instances/m1", body)
        return status == 200

    async def _keep_beating(self) -> None:
        """Announces the model server again and again, as servers do."""
        while True:
            await asyncio.sleep(_BEAT_S)
            with contextlib.suppress(OSError, aiohttp.ClientError):
                await self.send_heartbeat()

    async def control(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Calls the first keeper that answers without a 5xx."""
        got = (0, b"")
        for host in self.hosts.values():
            if host.role != "keeper":
                continue
            url = f"http://{host.ip}:{self._ports[3]}{path}"
            timeout = aiohttp.ClientTimeout(total=2.0)
            with contextlib.suppress(
                aiohttp.ClientError, TimeoutError, OSError
            ):
                async with self._session.request(
                    method, url, data=body, timeout=timeout
                ) as answer:
                    got = (answer.status, await answer.read())
                if got[0] < 500:
                    return got
        return got

    async def ready(self, gateway: str) -> int:
        """Returns the status of a gateway's readiness."""
        url = f"http://{self.hosts[gateway].ip}:{self._ports[2]}/-/ready"
        async with self._session.get(url) as answer:
            return answer.status

    def url(self, gateway: str, path: str) -> str:
        """Returns the URL at which a gateway takes callers."""
        return f"http://{self.hosts[gateway].ip}:{self._ports[1]}{path}"

    async def turn(
        self,
        name: str,
        previous: str = "",
        gateway: str = "gateway-1",
        **headers: str,
    ) -> int:
        """Sends a turn; returns its status, 0 where the answer broke off."""
        fields = {
            "Host": "h.example",
            "X-Attempt-Id": name,
            "X-Program-Id": "p",
            "X-Token-Usage": "10,6",
            "X-Token-Budget": "1000",
            "X-Deadline-Ms": "3000",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        if previous:
            fields["X-Previous-Turn"] = previous
        url = self.url(gateway, "/t/x")
        try:
            async with self._session.post(
                url, data=f"<{name}>".encode(), headers=fields
            ) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientPayloadError:
            return 0

    async def served(self, name: str, previous: str = "") -> bool:
        """Sends a turn again, under new ids, until it is served."""
        for number in range(200):
            with contextlib.suppress(aiohttp.ClientError, OSError):
                if await self.turn(f"{name}.{number}", previous) == 200:
                    return True
            await asyncio.sleep(_POLL_S)
        return False

    async def _stream(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.on_request(seen)
        name = seen.headers["x-attempt-id"]
        if seen.target.startswith("/u/"):
            body = (
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n"
                f"X-Response-Seal: s\r\nContent-Length: {len(name)}\r\n\r\n"
                f"{name}"
            )
            writer.write(body.encode())
            return
        head = (
            f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n"
            "X-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        for number in (1, 2):
            part = f"id: {number}\ndata: {name}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")

    def _settings(self, host: Host) -> str:
        seeds = [h.ip for h in self.hosts.values() if h.role == "keeper"]
        peer, front, ready, control = self._ports
        listed = ",".join(f'"{ip}:{control}"' for ip in seeds)
        head = (
            f'node_name = "{host.name}"\nip = "{host.ip}"\nzone = "a"\n'
            f'region = "r"\nport_range = [{peer},{peer}]\n'
            f'seeds = [{listed}]\ndata_dir = "{host.folder}"'
        )
        first = "true" if host.first else "false"
        return head + _COMMON.format(
            ip=host.ip, front=front, ready=ready, control=control, first=first
        )
