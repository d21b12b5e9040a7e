"""Runs keepers, stores and gateways as processes on loopback addresses."""

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

from tests import logfiles, ports, processes
from tests.fakes.rawserver import RawServer, ReceivedRequest

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Awaitable, Callable

_WAIT_S = 15.0
_POLL_INTERVAL_S = 0.03
# The loss of a copy's holder is detected within a second, and making another
# copy takes less than a second.
_COPY_QUIET_S = 4.0
# A server that sends no announcement for 15 s counts as lost.
_HEARTBEAT_INTERVAL_S = 1.0
# Settings that these tests don't vary, in the platform's format.
_COMMON_SETTINGS = """
bootstrap = {first}
[zones]
{regions}
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
memory_mb = 200
[tolerate]
machines = {tolerate[machines]}
zones = {tolerate[zones]}
regions = {tolerate[regions]}
[bounds]
grace_s = 8
catch_up_s = {catch_up}
"""


def stream_route(name: str, prefix: str, **changes: Any) -> dict[str, Any]:
    """Returns a route of a manifest whose turns are kept.

    Args:
        name: its name.
        prefix: prefix of its paths.
        **changes: other fields, or other values of these.
    """
    return {
        "name": name,
        "host": "h.example",
        "path_prefix": prefix,
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
        **changes,
    }


@dataclasses.dataclass
class Host:
    """A process of the deployment.

    Attributes:
        ip: address that it listens on.
        folder: folder for its data.
        process: the running process, None before the first start.
        is_first_start: whether the next start is the first of the system.
    """

    name: str
    role: str
    ip: str
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    is_first_start: bool = True


class Deployment:
    """Some keepers, stores and gateways, and a model server.

    The first three keepers are the seeds.

    Args:
        folder: folder for settings, logs and data.
        gateways: number of gateways.
        stores: number of stores.
        keepers: number of keepers.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        gateways: int = 2,
        stores: int = 2,
        keepers: int = 3,
    ) -> None:
        self._folder = folder
        self._ports = ports.free_ports(4)
        # Each run uses a network of its own, so that concurrent runs don't
        # collide.
        network = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.hosts: dict[str, Host] = {}
        roles = [("keeper", keepers), ("store", stores), ("gateway", gateways)]
        last_octet = 1
        for role, count in roles:
            for number in range(1, count + 1):
                last_octet += 1
                name = f"{role}-{number}"
                data = folder / name
                self.hosts[name] = Host(
                    name, role, f"{network}.{last_octet}", data
                )
        self.model_server = RawServer(self._answer_request)
        self.version = 0
        # Client accounts in the manifest; None: no request needs an API key.
        self.tenants: list[dict[str, Any]] | None = None
        # Routes and services that the manifest has besides its own two.
        self.more_routes: list[dict[str, Any]] = []
        self.more_services: list[dict[str, Any]] = []
        # Policies in the settings of all processes.
        self.policies: list[str] = []
        # How long a lost host counts as lost once it or its successor is back.
        self.catch_up_s = 15.0
        # What may be lost at the same time.
        self.tolerate = {"machines": 1, "zones": 0, "regions": 0}
        # Failure domain of each host that isn't in "a", and their regions.
        self.domains: dict[str, str] = {}
        self.regions = {"a": "r", "b": "r"}
        self._sequence = 0
        self._session: aiohttp.ClientSession
        self._heartbeat_task: asyncio.Task[None]
        self.chunk_gap_s = 0.0
        # Address that the model server announces, e.g. that of a proxy; empty
        # for its own.
        self.server_address = ""
        # Body of answers to plain requests; their id if empty.
        self.plain_answer = ""
        # Called with each request that reaches the model server.
        self.on_request: Callable[[ReceivedRequest], None] = lambda _: None
        # Called once after all processes have started for the first time.
        self.on_first_start: Callable[[], Awaitable[None]] | None = None
        # Hosts in the order of their first starts, with the time in s before
        # each; empty: all at once.
        self.start_delays_s: dict[str, float] = {}
        # Size of each host's log when its process was started.
        self._log_sizes: dict[str, int] = {}
        # For the host that lost its disk last: how often it had registered as
        # a store and had started before that.
        self._registrations_before = 0
        self._starts_before = 0

    async def __aenter__(self) -> Deployment:
        self._session = aiohttp.ClientSession()
        for name in self.start_delays_s or self.hosts:
            await asyncio.sleep(self.start_delays_s.get(name, 0.0))
            self.start(name)
        if self.on_first_start is not None:
            await self.on_first_start()
        if not self.model_server.address:
            await self.model_server.start()
        await self.wait_until(self.send_manifest)
        await self.wait_until(self.send_heartbeat)
        await self.wait_until(self._are_stores_registered)
        self._heartbeat_task = asyncio.create_task(self._repeat_heartbeats())
        return self

    async def __aexit__(self, *_: object) -> None:
        self._heartbeat_task.cancel()
        await self._session.close()
        await self.model_server.stop()
        for host in self.hosts.values():
            self.kill(host.name)

    def add_store(self, name: str) -> None:
        """Adds a store with an empty disk, at an address that is not in use."""
        network, _, octet = max(
            (host.ip.rpartition(".") for host in self.hosts.values()),
            key=lambda parts: int(parts[2]),
        )
        ip = f"{network}.{int(octet) + 1}"
        data = self._folder / name
        self.hosts[name] = Host(name, "store", ip, data, is_first_start=False)

    def domain_of(self, name: str) -> str:
        """Returns the failure domain of a host."""
        return self.domains.get(name, "a")

    def write_settings(self, name: str) -> pathlib.Path:
        """Writes a host's settings file, which its process reads again."""
        settings = self._folder / f"{name}.toml"
        settings.write_text(self._settings_text(self.hosts[name]))
        return settings

    def start(self, name: str) -> None:
        """Starts a process, after writing its settings file."""
        host = self.hosts[name]
        host.folder.mkdir(exist_ok=True)
        settings = self.write_settings(name)
        env = dict(os.environ, PYTHONPATH=str(processes.ROOT))
        env["CATKINPIN_NODE_FILE"] = str(settings)
        processes.handle_interrupts()
        with (self._folder / f"{name}.log").open("ab") as out:
            self._log_sizes[name] = out.tell()
            host.process = subprocess.Popen(
                [sys.executable, "platform", host.role],
                cwd=processes.ROOT,
                env=env,
                stdout=out,
                stderr=out,
            )
        host.is_first_start = False

    def has_written(self, name: str) -> bool:
        """Returns whether a host's latest process has written any output."""
        log = self._folder / f"{name}.log"
        return log.stat().st_size > self._log_sizes.get(name, 0)

    def kill(self, name: str, number: int = signal.SIGKILL) -> None:
        """Sends a signal to a running process; waits for the end if SIGKILL."""
        process = self.hosts[name].process
        if process is None or process.poll() is not None:
            return
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def wipe(self, name: str) -> None:
        """Kills a process and deletes its data folder."""
        self.kill(name)
        self._registrations_before = self._count_decisions("store", name)
        self._starts_before = self._count_starts(name)
        shutil.rmtree(self.hosts[name].folder)

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Returns the decisions that a process has logged."""
        log = self._folder / f"{name}.log"
        return logfiles.decisions(log.read_bytes())

    def find_leader(self) -> str:
        """Returns the keeper that logged leadership in the newest term."""
        found = ""
        newest = -1
        for host in self.hosts.values():
            if host.role != "keeper":
                continue
            for line in self.read_log(host.name):
                leads = line["decision"] == "leadership" and line["leading"]
                if leads and line["term"] > newest:
                    newest, found = line["term"], host.name
        return found

    async def _are_stores_registered(self) -> bool:
        names = [h.name for h in self.hosts.values() if h.role == "store"]
        return all(self._count_decisions("store", name) for name in names)

    async def wait_repaired(self, name: str) -> None:
        """Waits until a host that lost its disk is back and all data is copied.

        The time needed depends on the machine. The repair counts as complete
        once the host has rejoined and no copy was made for some seconds.
        """
        host = self.hosts[name]
        kind = "leader" if host.role == "keeper" else "store"

        async def has_rejoined() -> bool:
            if self._count_starts(name) == self._starts_before:
                # The log still ends with lines from before the disk was lost.
                return False
            if kind == "leader":
                lines = self.read_log(name)
                starts = [ln["decision"] == "start" for ln in lines]
                last_start = len(lines) - 1 - starts[::-1].index(True)
                return any(ln["decision"] == kind for ln in lines[last_start:])
            return (
                self._count_decisions("store", name)
                > self._registrations_before
            )

        await self.wait_until(has_rejoined)
        before = -1
        while before != self._count_decisions("copied"):
            before = self._count_decisions("copied")
            await asyncio.sleep(_COPY_QUIET_S)

    def _count_starts(self, name: str) -> int:
        return sum(line["decision"] == "start" for line in self.read_log(name))

    def _count_decisions(self, decision: str, store: str = "") -> int:
        """Returns how often the keepers logged a decision about a store."""
        return sum(
            line["decision"] == decision and line.get("store", "") == store
            for host in self.hosts.values()
            if host.role == "keeper"
            for line in self.read_log(host.name)
        )

    async def wait_until(self, work: Callable[[], Any]) -> Any:
        """Repeats a call until its result is true, and returns the result."""
        async with asyncio.timeout(_WAIT_S):
            while True:
                with contextlib.suppress(OSError, aiohttp.ClientError):
                    if found := await work():
                        return found
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def send_manifest(self, **route: Any) -> int:
        """Sends a new manifest.

        Args:
            **route: changed fields of the manifest's first route.

        Returns:
            Its version if a keeper accepted it, else 0.
        """
        self.version += 1
        version = self.version
        fields = stream_route("r", "/t/", **route)
        unsafe_route = {
            **fields,
            "name": "u",
            "path_prefix": "/u/",
            "kind": "unsafe",
            "server_history": False,
        }
        engine = {"slots": 8, "kv_capacity": 10_000, "event_tokens": 2}
        service = {"name": "models", "max_conns": 50, "engine": engine}
        manifest: dict[str, Any] = {
            "version": version,
            "routes": [fields, unsafe_route, *self.more_routes],
            "services": [service, *self.more_services],
        }
        if self.tenants is not None:
            manifest["tenants"] = self.tenants
        body = json.dumps(manifest).encode()
        status, _ = await self.call_keeper("PUT", "/-/config", body)
        return version if status == 200 else 0

    async def send_heartbeat(self) -> bool:
        """Announces the model server; returns whether a keeper accepted it."""
        address = self.server_address or self.model_server.address
        return await self.send_heartbeat_of("m1", address)

    async def send_heartbeat_of(self, server: str, address: str) -> bool:
        """Announces a server; returns whether a keeper accepted it."""
        self._sequence += 1
        fields = {
            "service": "models",
            "address": address,
            "zone": "a",
            "slots": 8,
            "state": "ready",
            "seq": self._sequence,
            "born": 1,
        }
        body = json.dumps(fields).encode()
        path = f"/-/instances/{server}"
        status, _ = await self.call_keeper("PUT", path, body)
        return status == 200

    async def _repeat_heartbeats(self) -> None:
        """Announces the model server once per interval, as servers do."""
        while True:
            await asyncio.sleep(_HEARTBEAT_INTERVAL_S)
            with contextlib.suppress(OSError, aiohttp.ClientError):
                await self.send_heartbeat()

    async def call_keeper(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Returns the first answer of a keeper with a status below 500.

        Returns:
            Status and body; if no keeper answers below 500, the last answer.
        """
        status_and_body = (0, b"")
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
                    status_and_body = (answer.status, await answer.read())
                if status_and_body[0] < 500:
                    return status_and_body
        return status_and_body

    @property
    def front_port(self) -> int:
        """Port on which gateways serve callers."""
        return self._ports[1]

    @property
    def control_port(self) -> int:
        """Port on which keepers serve servers and operators."""
        return self._ports[3]

    async def get_readiness(self, gateway: str) -> int:
        """Returns the status of a gateway's readiness check."""
        url = f"http://{self.hosts[gateway].ip}:{self._ports[2]}/-/ready"
        async with self._session.get(url) as answer:
            return answer.status

    def url(self, gateway: str, path: str) -> str:
        """Returns a gateway's URL for callers."""
        return f"http://{self.hosts[gateway].ip}:{self._ports[1]}{path}"

    def control_url(self, keeper: str, path: str) -> str:
        """Returns a keeper's URL for servers and operators."""
        return f"http://{self.hosts[keeper].ip}:{self._ports[3]}{path}"

    async def send_turn(
        self,
        name: str,
        previous: str = "",
        gateway: str = "gateway-1",
        path: str = "/t/x",
        **headers: str,
    ) -> int:
        """Sends a turn; returns its status, 0 if the answer is incomplete."""
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
        url = self.url(gateway, path)
        try:
            async with self._session.post(
                url, data=f"<{name}>".encode(), headers=fields
            ) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientPayloadError:
            return 0

    async def call(
        self,
        path: str,
        attempt: str,
        gateway: str,
        body: bytes = b"",
        **headers: str,
    ) -> int:
        """Sends a GET request, or a POST request if it has a body.

        Returns:
            Its status; 0 if the answer is incomplete.
        """
        fields = {
            "Host": "h.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": "2000",
            **{k.replace("_", "-"): v for k, v in headers.items()},
        }
        method = "POST" if body else "GET"
        url = self.url(gateway, path)
        try:
            async with self._session.request(
                method, url, headers=fields, data=body or None
            ) as answer:
                await answer.read()
                return answer.status
        except aiohttp.ClientPayloadError:
            return 0

    async def retry_turn_until_served(
        self, name: str, previous: str = ""
    ) -> bool:
        """Repeats a turn under new IDs; returns whether it was served."""
        for number in range(200):
            with contextlib.suppress(aiohttp.ClientError, OSError):
                if await self.send_turn(f"{name}.{number}", previous) == 200:
                    return True
            await asyncio.sleep(_POLL_INTERVAL_S)
        return False

    async def _answer_request(
        self, received: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        self.on_request(received)
        name = received.headers["x-attempt-id"]
        if received.target.startswith("/u/"):
            answer = self.plain_answer or name
            body = (
                f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n"
                f"X-Response-Seal: s\r\nContent-Length: {len(answer)}\r\n\r\n"
                f"{answer}"
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
            await asyncio.sleep(self.chunk_gap_s)
        writer.write(b"0\r\n\r\n")

    def _settings_text(self, host: Host) -> str:
        keepers = [h.ip for h in self.hosts.values() if h.role == "keeper"]
        seeds = keepers[:3]
        domain = self.domain_of(host.name)
        peer, front, ready, control = self._ports
        quoted_seeds = ",".join(f'"{ip}:{control}"' for ip in seeds)
        head = (
            f'node_name = "{host.name}"\nip = "{host.ip}"\nzone = "{domain}"\n'
            f'region = "{self.regions[domain]}"\nport_range = [{peer},{peer}]\n'
            f'seeds = [{quoted_seeds}]\ndata_dir = "{host.folder}"'
        )
        policies = ",".join(f'"{policy}"' for policy in self.policies)
        head += f"\npolicies = [{policies}]"
        first = "true" if host.is_first_start else "false"
        return head + _COMMON_SETTINGS.format(
            ip=host.ip,
            front=front,
            ready=ready,
            control=control,
            first=first,
            catch_up=self.catch_up_s,
            tolerate=self.tolerate,
            regions="\n".join(f'{d} = "{r}"' for d, r in self.regions.items()),
        )
