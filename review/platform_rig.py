"""A small deployment of the real programs, and stand-ins for what is outside.

Processes are started with the commands of the deploy file, on loopback
addresses and with settings like those of a small installation. Clients, the
operator and the backend servers are stand-ins that speak the users' protocol.
Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent
_WAIT_S = 20.0
_POLL_S = 0.05
_HEARTBEAT_S = 1.2
_ACK_TIMEOUT_S = 1.0
_BOUNDS = """
seed_lag_s = 3
reuse_after_s = 2
connectivity_window_ms = 3000
ack_ms = 4000
catch_up_s = 4.7
drain_ms = 2500
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2500
rollback_slack_ms = 250
skew_max_ms = 5000
recover_s = 12
pass_ms = 200
again_s = 0
finish_s = 10
settle_ms = 1000
"""
_POLICIES = [
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "agent",
    "stream",
    "engine",
]
_CLASSES = {"gateway": "front", "keeper": "core", "store": "storage"}


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w")
        self._start_s = time.monotonic()

    def add(self, event: str, **fields: Any) -> None:
        """Adds a line with the time since the start in s."""
        line = {"t": round(time.monotonic() - self._start_s, 3), "event": event}
        self._file.write(json.dumps({**line, **fields}) + "\n")
        self._file.flush()


@dataclasses.dataclass
class Answer:
    """What a client has received for one attempt.

    Attributes:
        status: the status; 0 if no head came.
        whole: whether the answer came to its end.
    """

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


class Channel:
    """A client's channel to one address, which may carry many requests."""

    def __init__(
        self,
        address: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._address = address
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, address: str) -> Channel:
        """Opens a channel."""
        host, _, port = address.rpartition(":")
        return cls(address, *await asyncio.open_connection(host, int(port)))

    def close(self) -> None:
        """Closes the channel."""
        self._writer.close()

    async def exchange(
        self,
        method: str,
        path: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Answer:
        """Sends a request and reads the answer.

        If `timeout_s` passes, the client closes its channel, as one that gives
        up.
        """
        answer = Answer()
        fields = {"Host": self._address, **(headers or {})}
        if body or method in ("POST", "PUT"):
            fields["Content-Length"] = str(len(body))
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(
            f"{name}: {value}\r\n" for name, value in fields.items()
        )
        try:
            async with asyncio.timeout(timeout_s):
                self._writer.write(head.encode() + b"\r\n" + body)
                await self._writer.drain()
                await _read_answer(self._reader, answer)
        except (OSError, EOFError, ValueError):
            self.close()
        return answer


async def exchange(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Sends a request on a channel of its own and reads the answer."""
    try:
        async with asyncio.timeout(timeout_s):
            channel = await Channel.open(address)
    except OSError:
        return Answer()
    try:
        return await channel.exchange(method, path, headers, body, timeout_s)
    finally:
        channel.close()


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            answer.headers[name.lower()] = value.strip()
    answer.status = int(lines[0].split()[1])
    if "chunked" in answer.headers.get("transfer-encoding", ""):
        while size := int(await reader.readline(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    elif length := answer.headers.get("content-length", ""):
        answer.body = await reader.readexactly(int(length))
    answer.whole = True


@dataclasses.dataclass
class Received:
    """A request that a backend server has received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """The id of the client's attempt."""
        return self.headers.get("x-attempt-id", "")


class BackendServer:
    """A sound backend server, which checks in as the protocol says.

    Args:
        system: the deployment.
        service: its service.
        name: its id.
        run: runs a request and writes the answer.
        slots: requests that it runs at once.
    """

    def __init__(
        self,
        system: System,
        service: str,
        name: str,
        run: Callable[[Received, asyncio.StreamWriter], Awaitable[None]],
        slots: int = 8,
    ) -> None:
        self.system = system
        self.service = service
        self.name = name
        self.state = "ready"
        self.address = ""
        self.born = int(time.time() * 1000)
        self._run = run
        self._slots = slots
        self._sequence = 0
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens, and checks in from now on."""
        self._server = await asyncio.start_server(
            self._serve, self.system.outside_ip, 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.system.outside_ip}:{port}"
        await self.system.wait_until(self.check_in)
        self._beats = asyncio.create_task(self._beat())

    def stop(self) -> None:
        """Stops checking in and listening."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    async def check_in(self) -> bool:
        """Checks in once, at the next node after a failure."""
        self._sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": "zh-a",
            "version": "v1",
            "slots": self._slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self.born,
        }
        answer = await self.system.call_control(
            "PUT", f"/-/instances/{self.name}", json.dumps(fields).encode()
        )
        return answer.status == 200

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            await self.check_in()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        ended = (OSError, EOFError, ValueError, asyncio.CancelledError)
        with contextlib.suppress(*ended):
            while received := await self._read_request(reader):
                expected = received.headers.get("x-expect-instance")
                if expected not in (None, self.name):
                    writer.write(
                        sealed(received, b"", "421 Other", "X-Not-Executed: 1")
                    )
                else:
                    await self._run(received, writer)
                await writer.drain()
        writer.close()

    async def _read_request(
        self, reader: asyncio.StreamReader
    ) -> Received | None:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", "0"))
        body = await reader.readexactly(length)
        return Received(method, target, headers, body)


def sealed(
    received: Received, body: bytes, status: str = "200 OK", more: str = ""
) -> bytes:
    """Returns a whole answer of a backend server."""
    head = (
        f"HTTP/1.1 {status}\r\nX-Attempt-Id: {received.attempt}\r\n"
        f"Content-Length: {len(body)}\r\nKeep-Alive: timeout=4\r\n"
    )
    seal = "" if more else f"X-Response-Seal: s.{received.attempt}\r\n"
    return (head + seal + (more and more + "\r\n") + "\r\n").encode() + body


async def stream_events(
    received: Received,
    writer: asyncio.StreamWriter,
    events: list[str],
    gap_s: float = 0.0,
) -> None:
    """Writes a whole event stream; ids begin after `Last-Event-Id`."""
    writer.write(
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {received.attempt}\r\n"
        f"X-Response-Seal: s.{received.attempt}\r\n"
        "Content-Type: text/event-stream\r\nKeep-Alive: timeout=4\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    first = int(received.headers.get("last-event-id") or 0)
    for number, data in enumerate(events, 1):
        if number <= first:
            continue
        part = f"id: {number}\ndata: {data}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(part), part))
        await writer.drain()
        await asyncio.sleep(gap_s)
    writer.write(b"0\r\n\r\n")


@dataclasses.dataclass
class Host:
    """A process of the deployment, on an address of its own."""

    name: str
    role: str
    ip: str
    folder: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    is_first_start: bool = True


class System:
    """Keepers, stores and gateways as processes on loopback addresses.

    Args:
        keepers: number of keepers.
        stores: number of stores.
        gateways: number of gateways.
    """

    def __init__(
        self, keepers: int = 3, stores: int = 2, gateways: int = 2
    ) -> None:
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="catkinpin-review"))
        self._commands = _role_commands()
        number = os.getpid()
        self._network = f"127.{30 + number % 200}.{number // 200 % 250}"
        self.outside_ip = f"{self._network}.250"
        self._ports = _free_ports(4)
        self.hosts: dict[str, Host] = {}
        counts = {"keeper": keepers, "store": stores, "gateway": gateways}
        for role, count in counts.items():
            for n in range(1, count + 1):
                self._add_host(f"{role}-{n}", role)
        self.seeds = [
            f"{h.ip}:{self._ports[3]}" for h in self.of_role("keeper")[:3]
        ]
        self._next_control = 0
        self.version = 0

    def _add_host(self, name: str, role: str) -> Host:
        ip = f"{self._network}.{2 + len(self.hosts)}"
        host = Host(name, role, ip, self.folder / name)
        self.hosts[name] = host
        return host

    def add_host(self, name: str, role: str) -> Host:
        """Adds a machine with an empty disk, and starts its process."""
        host = self._add_host(name, role)
        host.is_first_start = False
        self.start(name)
        return host

    def of_role(self, role: str) -> list[Host]:
        """Returns the hosts of a role."""
        return [h for h in self.hosts.values() if h.role == role]

    def start_all(self) -> None:
        """Starts all processes for the first time."""
        for name in self.hosts:
            self.start(name)

    def start(self, name: str) -> None:
        """Starts a process with the command of the deploy file."""
        host = self.hosts[name]
        host.folder.mkdir(exist_ok=True)
        settings = self.folder / f"{name}.toml"
        settings.write_text(self._settings_text(host))
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["CATKINPIN_NODE_FILE"] = str(settings)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.folder / f"{name}.log").open("ab") as out:
            host.process = subprocess.Popen(
                self._commands[host.role],
                cwd=ROOT,
                env=env,
                stdout=out,
                stderr=out,
            )
        host.is_first_start = False

    def send_signal(self, name: str, number: int) -> None:
        """Sends a signal to a running process; waits for its end if killed."""
        process = self.hosts[name].process
        if process is None or process.poll() is not None:
            return
        process.send_signal(number)
        if number == signal.SIGKILL:
            process.wait()

    def kill(self, name: str) -> None:
        """Kills a process."""
        self.send_signal(name, signal.SIGKILL)

    def wipe(self, name: str) -> None:
        """Kills a process and empties its disk."""
        self.kill(name)
        shutil.rmtree(self.hosts[name].folder)

    def close(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for host in self.hosts.values():
            if host.process is not None and host.process.poll() is None:
                host.process.kill()
                host.process.wait()
        if not os.environ.get("KEEP"):
            shutil.rmtree(self.folder, ignore_errors=True)

    async def wait_until(
        self, work: Callable[[], Awaitable[Any]], wait_s: float = _WAIT_S
    ) -> Any:
        """Repeats a call until its result is true, and returns the result."""
        async with asyncio.timeout(wait_s):
            while True:
                if found := await work():
                    return found
                await asyncio.sleep(_POLL_S)

    def front(self, name: str) -> str:
        """Returns the address at which a gateway serves clients."""
        return f"{self.hosts[name].ip}:{self._ports[1]}"

    def control(self, name: str) -> str:
        """Returns the address at which a keeper serves the operator."""
        return f"{self.hosts[name].ip}:{self._ports[3]}"

    async def is_ready(self, name: str) -> bool:
        """Asks a gateway for readiness, as the platform does."""
        address = f"{self.hosts[name].ip}:{self._ports[2]}"
        answer = await exchange(address, "GET", "/-/ready", timeout_s=1.0)
        return answer.status == 200

    async def call_control(
        self, method: str, path: str, body: bytes = b""
    ) -> Answer:
        """Calls keepers in turn until one answers clearly."""
        answer = Answer()
        keepers = self.of_role("keeper")
        for _ in keepers:
            keeper = keepers[self._next_control % len(keepers)]
            headers = {"Content-Type": "application/json"}
            address = self.control(keeper.name)
            answer = await exchange(
                address, method, path, headers, body, _ACK_TIMEOUT_S
            )
            if (
                answer.whole
                and answer.status not in (0, 408, 429)
                and (answer.status < 500)
            ):
                return answer
            self._next_control += 1
        return answer

    async def put_manifest(
        self,
        routes: list[dict[str, Any]],
        services: list[dict[str, Any]],
        **more: Any,
    ) -> None:
        """Sends a new manifest until it is acknowledged."""
        self.version += 1
        manifest = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            **more,
        }
        body = json.dumps(manifest).encode()

        async def put() -> bool:
            answer = await self.call_control("PUT", "/-/config", body)
            return answer.status == 200

        await self.wait_until(put)

    async def wait_ready(self) -> None:
        """Waits until all gateways are ready."""
        for host in self.of_role("gateway"):
            await self.wait_until(lambda name=host.name: self.is_ready(name))

    def decisions(self, name: str) -> list[dict[str, Any]]:
        """Returns the decisions that a process has logged."""
        text = (self.folder / f"{name}.log").read_text()
        lines = [ln for ln in text.splitlines() if ln.startswith("{")]
        return [json.loads(line) for line in lines]

    def leader(self) -> str:
        """Returns the keeper that logged leadership in the newest term."""
        newest, found = -1, ""
        for host in self.of_role("keeper"):
            for line in self.decisions(host.name):
                leads = line["decision"] == "leadership" and line["leading"]
                if leads and line["term"] > newest:
                    newest, found = line["term"], host.name
        return found

    def _settings_text(self, host: Host) -> str:
        peer, front, ready, control = self._ports
        listen = {
            "gateway": f'front = "{host.ip}:{front}"\n'
            f'ready = "{host.ip}:{ready}"\n',
            "keeper": f'control = "{host.ip}:{control}"\n',
            "store": "",
        }[host.role]
        budgeted = str(host.role != "gateway").lower()
        data = "" if host.role == "gateway" else f'data_dir = "{host.folder}"\n'
        return (
            f'node_name = "{host.name}"\nrole = "{host.role}"\n'
            f'machine_class = "{_CLASSES[host.role]}"\n'
            f'ip = "{host.ip}"\nzone = "zh-a"\nregion = "ch-nord"\n'
            f"port_range = [{peer},{peer}]\nseeds = {json.dumps(self.seeds)}\n"
            f"bootstrap = {str(host.is_first_start).lower()}\n"
            f"in_failure_budget = {budgeted}\n{data}"
            f"heartbeat_ms = 1200\npolicies = {json.dumps(_POLICIES)}\n"
            'config_mode = "highest"\n[zones]\nzh-a = "ch-nord"\n'
            f"[listen]\n{listen}"
            "[limits]\nmemory_mb = 200\nmax_fds = 4100\n"
            "[tolerate]\nmachines = 1\nzones = 0\nregions = 0\n"
            f"[bounds]{_BOUNDS}"
        )


def _role_commands() -> dict[str, list[str]]:
    """Returns the commands of the deploy file."""
    content = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {
        name: role["run"].split() for name, role in content["roles"].items()
    }


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind(("127.0.0.1", 0))
        return [sock.getsockname()[1] for sock in socks]


STREAM_SERVICE = {
    "name": "models",
    "health_path": "/health",
    "max_conns": 170,
    "protocol": "h1",
    "tls": False,
    "engine": {
        "slots": 12,
        "kv_capacity": 456679,
        "token_kv_bytes": 18432,
        "link_mbps": 740000.0,
        "moves": True,
        "backups": True,
        "event_tokens": 20,
        "most": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m"}],
    },
}
PLAIN_SERVICE = {
    "name": "app",
    "health_path": "/health",
    "max_conns": 110,
    "protocol": "h1",
    "tls": False,
}


def route(name: str, prefix: str, kind: str, **more: Any) -> dict[str, Any]:
    """Returns a route of the manifest."""
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4000,
        "target_latency_ms": 300,
        "priority": 0,
        "service": "models" if kind == "stream" else "app",
        "max_attempts": 1,
        "server_history": False,
        "retain_s": 60.0,
        "session_affinity": kind == "stream",
        "resumable": False,
        "gap_aim_ms": 400,
        **more,
    }
