"""Starts a small deployment, and stand-ins for its servers and clients.

The deployment consists of three keepers, two stores and two gateways, each a
process started with the command of the deploy file on a loopback address of
its own. Everything here uses the standard library only.
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
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Coroutine

ROOT = pathlib.Path(__file__).resolve().parent.parent
PASSED, BROKEN, NOT_RUN = 0, 1, 2
_START_TIMEOUT_S = 25.0
_CHECK_IN_INTERVAL_S = 1.2
_POLL_INTERVAL_S = 0.05
_CALL_TIMEOUT_S = 2.0
# The record has so much of a body.
_EXCERPT_BYTES = 80
# A case that takes longer could not be run.
_CASE_TIMEOUT_S = 110.0
_ZONES = ("zone-a", "zone-b", "zone-c")
_REGION = "region-1"
# Environment variables that the platform passes on to a process.
_PASSED_VARIABLES = ("PATH", "HOME", "LANG")
_POLICIES = (
    "base",
    "drain",
    "config",
    "cost",
    "recover",
    "agent",
    "stream",
    "engine",
)
# The bounds of the site foerderwacht.
_SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = ["{serves}"]
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port_range = [{peer},{peer}]
seeds = [{seeds}]
bootstrap = {first}
in_failure_budget = {counted}
discovery = "registry"
entry = "vip"
heartbeat_ms = 1200
policies = [{policies}]
config_mode = "highest"
data_dir = "{data}"
[zones]
{zones}
[listen]
{listen}
[limits]
cpu_share = 1.0
cores = 1
memory_mb = 296
max_fds = 4096
link_mbps = 1000.0
disk_mb = 450
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
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


class NotRunError(Exception):
    """The case could not be run; says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def add(self, event: str, **facts: Any) -> None:
        """Writes an event with the seconds since the start of the case."""
        at_s = round(time.monotonic() - self._started_s, 3)
        line = json.dumps({"at_s": at_s, "event": event, **facts})
        self._file.write(line + "\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


@dataclasses.dataclass
class Node:
    """A process of the deployment.

    Attributes:
        is_first_start: whether the next start is the first of the system.
    """

    name: str
    role: str
    ip: str
    zone: str
    process: subprocess.Popen[bytes] | None = None
    is_first_start: bool = True


class Deployment:
    """The processes of a small deployment.

    Args:
        folder: temporary folder for settings, data and logs.
        record: where signals are noted.
        policies: further policies in the settings of all processes.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        record: Record,
        policies: tuple[str, ...] = (),
    ) -> None:
        self._folder = folder
        self._policies = (*_POLICIES, *policies)
        self._record = record
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._roles = roles["roles"]
        network = f"127.{30 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        self.nodes: dict[str, Node] = {}
        for role, count in (("keeper", 3), ("store", 2), ("gateway", 2)):
            for number in range(1, count + 1):
                name = f"{role}-{number}"
                ip = f"{network}.{len(self.nodes) + 2}"
                zone = _ZONES[(number - 1) % len(_ZONES)]
                self.nodes[name] = Node(name, role, ip, zone)
        ips = [node.ip for node in self.nodes.values()]
        self.peer, self.front, self.ready, self.control = _free_ports(ips, 4)

    def start(self, name: str) -> None:
        """Starts a process with the command of the deploy file."""
        node = self.nodes[name]
        settings = self._folder / f"{name}.toml"
        settings.write_text(self._settings_text(node))
        (self._folder / f"{name}.data").mkdir(exist_ok=True)
        env = {k: os.environ[k] for k in _PASSED_VARIABLES if k in os.environ}
        env["PYTHONPATH"] = "target/deps"
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CATKINPIN_NODE_FILE"] = str(settings)
        with (self._folder / f"{name}.log").open("ab") as out:
            node.process = subprocess.Popen(
                self._roles[node.role]["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
            )
        node.is_first_start = False
        self._record.add("start", node=name)

    def add_store(self, name: str, like: str) -> None:
        """Adds a store at a new address, in the zone of another one."""
        known = self.nodes[like]
        ip = f"{known.ip.rpartition('.')[0]}.{len(self.nodes) + 2}"
        self.nodes[name] = Node(
            name, known.role, ip, known.zone, is_first_start=False
        )

    def wipe(self, name: str) -> None:
        """Kills a process and deletes its data."""
        self.send_signal(name, signal.SIGKILL)
        process = self.nodes[name].process
        assert process is not None
        process.wait()
        shutil.rmtree(self._folder / f"{name}.data")
        self._record.add("disk-lost", node=name)

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Sends a signal to a process of this deployment."""
        process = self.nodes[name].process
        assert process is not None
        process.send_signal(number)
        self._record.add("signal", node=name, signal=number.name)

    def has_ended(self, name: str) -> bool:
        """Returns whether a process has ended."""
        process = self.nodes[name].process
        return process is None or process.poll() is not None

    def stop_all(self) -> None:
        """Kills and reaps all processes that this deployment started."""
        for node in self.nodes.values():
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
        for node in self.nodes.values():
            if node.process is not None:
                node.process.wait()

    def read_log(self, name: str) -> list[dict[str, Any]]:
        """Returns the decisions that a process has logged."""
        path = self._folder / f"{name}.log"
        if not path.exists():
            return []
        lines = path.read_text(errors="replace").splitlines()
        found = []
        for line in lines:
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return [line for line in found if isinstance(line, dict)]

    def leader(self) -> str:
        """Returns the keeper that reported leadership in the newest term."""
        newest, leader = -1, ""
        for node in self.nodes.values():
            for line in self.read_log(node.name):
                leads = line.get("decision") == "leadership"
                if leads and line["leading"] and line["term"] > newest:
                    newest, leader = line["term"], node.name
        return leader

    async def call_control(
        self, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes]:
        """Calls keepers in turn until one answers with less than 500."""
        status, answer = 0, b""
        for node in self.nodes.values():
            if node.role != "keeper":
                continue
            with contextlib.suppress(OSError, TimeoutError, EOFError):
                async with asyncio.timeout(_CALL_TIMEOUT_S):
                    status, answer = await _call(
                        node.ip, self.control, method, path, body
                    )
                if status < 500:
                    break
        return status, answer

    async def is_ready(self, name: str) -> bool:
        """Returns whether a gateway says that it is ready."""
        ip = self.nodes[name].ip
        try:
            async with asyncio.timeout(_CALL_TIMEOUT_S):
                status, _ = await _call(ip, self.ready, "GET", "/-/ready")
        except (OSError, TimeoutError, EOFError):
            return False
        return status == 200

    def _settings_text(self, node: Node) -> str:
        role = self._roles[node.role]
        keepers = [n.ip for n in self.nodes.values() if n.role == "keeper"]
        listen = {
            "keeper": f'control = "{node.ip}:{self.control}"',
            "store": "",
            "gateway": f'front = "{node.ip}:{self.front}"\n'
            f'ready = "{node.ip}:{self.ready}"',
        }[node.role]
        has_disk = node.role != "gateway"
        return _SETTINGS.format(
            name=node.name,
            role=node.role,
            machine_class=role["on"],
            serves=role["serves"][0],
            ip=node.ip,
            zone=node.zone,
            region=_REGION,
            peer=self.peer,
            seeds=",".join(f'"{ip}:{self.control}"' for ip in keepers),
            first="true" if node.is_first_start else "false",
            policies=",".join(f'"{policy}"' for policy in self._policies),
            counted="true" if has_disk else "false",
            data=self._folder / f"{node.name}.data" if has_disk else "",
            zones="\n".join(f'{zone} = "{_REGION}"' for zone in _ZONES),
            listen=listen,
        )


@dataclasses.dataclass
class Received:
    """A request that a server stand-in received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt(self) -> str:
        """Id of the client attempt."""
        return self.headers.get("x-attempt-id", "")


class Server:
    """A server stand-in that announces itself until it is stopped.

    It echoes ids, seals its answers and honours `X-Expect-Instance`, as the
    pages ask of a sound server.

    Args:
        deployment: gets its announcements.
        record: where each run is noted.
        service: name of its service.
        answer: writes the answer to a request that it runs.
        slots: number of requests that it says it runs at once.
        number: tells the servers of a service apart.

    Attributes:
        id: names this lifetime of the server.
        runs: the requests that it has begun to run.
        active: number of requests that it is running now.
    """

    def __init__(
        self,
        deployment: Deployment,
        record: Record,
        service: str,
        answer: Callable[[Received, asyncio.StreamWriter], Awaitable[None]],
        slots: int = 64,
        number: int = 1,
    ) -> None:
        self._deployment = deployment
        self._record = record
        self._service = service
        self._answer = answer
        self._slots = slots
        self._number = number
        self._lifetime = 0
        self.id = ""
        self.runs: list[Received] = []
        self.active = 0
        self._born_ms = 0
        self._sequence = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._checking_in: asyncio.Task[None] | None = None
        self.address = ""

    async def start(self) -> None:
        """Begins a lifetime: listens, and announces the server."""
        self._lifetime += 1
        self._sequence = 0
        self._born_ms = int(time.time() * 1000)
        self.id = f"i-{self._service}-{self._number}-{self._lifetime}"
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        await wait_until(self.check_in, "a keeper takes a check-in")
        self._checking_in = asyncio.create_task(self._repeat_check_ins())

    async def stop(self) -> None:
        """Ends the announcements and stops listening."""
        if self._checking_in is not None:
            self._checking_in.cancel()
        if self._server is not None:
            self._server.close()

    async def crash(self) -> None:
        """Ends at once: resets all channels and announces nothing more."""
        self._record.add("server-crash", server=self.id)
        await self.stop()
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def check_in(self) -> bool:
        """Announces the server once; returns whether that was accepted."""
        self._sequence += 1
        body = {
            "service": self._service,
            "address": self.address,
            "zone": _ZONES[(self._number - 1) % len(_ZONES)],
            "version": "v1",
            "slots": self._slots,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self._sequence,
            "born": self._born_ms,
        }
        status, _ = await self._deployment.call_control(
            "PUT", f"/-/instances/{self.id}", json.dumps(body).encode()
        )
        return status == 200

    async def _repeat_check_ins(self) -> None:
        while True:
            await asyncio.sleep(_CHECK_IN_INTERVAL_S)
            await self.check_in()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while received := await _read_request(reader):
                await self._serve_request(received, writer)
        except (OSError, EOFError) as exc:
            self._record.add("server-channel-ended", reason=repr(exc))
        except asyncio.CancelledError:
            # The case is over. Streams report a cancelled session as an error.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(
        self, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        if received.headers.get("x-expect-instance", self.id) != self.id:
            head = (
                f"HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "
                f"{received.attempt}\r\nX-Not-Executed: 1\r\n"
                f"Content-Length: 0\r\n\r\n"
            )
            writer.write(head.encode())
            return
        self.runs.append(received)
        self._record.add(
            "run",
            attempt=received.attempt,
            server=self.id,
            request=f"{received.method} {received.target}",
            body=_excerpt(received.body),
        )
        self.active += 1
        try:
            await self._answer(received, writer)
            await writer.drain()
        finally:
            self.active -= 1
        self._record.add("ran", attempt=received.attempt)


async def answer_plain(
    received: Received, writer: asyncio.StreamWriter, body: bytes
) -> None:
    """Answers with a whole body of a stated length."""
    head = (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {received.attempt}\r\n"
        f"X-Response-Seal: s.{received.attempt}\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer.write(head.encode() + body)
    await writer.drain()


async def answer_stream(
    received: Received,
    writer: asyncio.StreamWriter,
    events: int,
    gap_s: float,
) -> None:
    """Answers with a stream of events, `gap_s` apart."""
    head = (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {received.attempt}\r\n"
        f"X-Response-Seal: s.{received.attempt}\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode())
    for number in range(1, events + 1):
        event = f"id: {number}\ndata: {received.attempt}-{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(gap_s)
    writer.write(b"0\r\n\r\n")


def event_output(attempt: str, events: int) -> bytes:
    """Returns what a stream adds to the prompt of the next turn."""
    return b"".join(
        b"%s-%d\n" % (attempt.encode(), n + 1) for n in range(events)
    )


@dataclasses.dataclass
class Outcome:
    """What a client got.

    Attributes:
        status: status of the answer; 0 if none came.
        is_whole: whether the answer came to its stated end.
        body: the body as far as it came.
        ended_s: monotonic time at which the answer ended.
    """

    status: int = 0
    is_whole: bool = False
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    ended_s: float = 0.0


async def send_turn(
    deployment: Deployment,
    record: Record,
    attempt: str,
    previous: str = "",
    gateway: str = "gateway-1",
    program: str = "p",
    new_input: str = "",
) -> Outcome:
    """Sends a turn, whose input is its id if none is given."""
    headers = {
        "Host": "app.example",
        "X-Attempt-Id": attempt,
        "X-Program-Id": program,
        "X-Session-Id": program,
        "X-Program-Deadline-Ms": "20000",
        "X-Token-Budget": "100000",
        "X-Token-Usage": "100,100",
        "X-Model": "m",
        "X-Prompt-Prefix": f"{abs(hash(program)) % 10**6:x}:100",
        "X-Deadline-Ms": "4000",
    }
    if previous:
        headers["X-Previous-Turn"] = previous
    record.add("send", attempt=attempt, previous=previous, gateway=gateway)
    node = deployment.nodes[gateway]
    outcome = Outcome()
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        async with asyncio.timeout(8.0):
            reader, writer = await asyncio.open_connection(
                node.ip, deployment.front
            )
            try:
                writer.write(
                    encode_request(
                        "POST",
                        "/turns/1",
                        headers,
                        (new_input or f"<{attempt}>").encode(),
                    )
                )
                await read_answer(reader, outcome)
            finally:
                writer.close()
    outcome.ended_s = time.monotonic()
    record.add(
        "answer",
        attempt=attempt,
        status=outcome.status,
        whole=outcome.is_whole,
        body=_excerpt(outcome.body),
    )
    return outcome


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a request with a body of a stated length."""
    fields = dict(headers)
    if body or method != "GET":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_answer(reader: asyncio.StreamReader, outcome: Outcome) -> None:
    """Reads an answer into `outcome`, which keeps what came of a part."""
    head = await reader.readuntil(b"\r\n\r\n")
    first, fields = _parse_head(head)
    outcome.status = int(first.split(" ")[1])
    outcome.headers = fields
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            outcome.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif "content-length" in fields:
        left = int(fields["content-length"])
        while left:
            part = await reader.read(min(left, 65_536))
            if not part:
                raise EOFError("the answer is cut off")
            outcome.body += part
            left -= len(part)
    else:
        outcome.body = await reader.read()
    outcome.is_whole = True


async def wait_until(
    work: Callable[[], Awaitable[bool]],
    what: str,
    timeout_s: float = _START_TIMEOUT_S,
) -> None:
    """Repeats a call until it returns true.

    Raises:
        NotRunError: it did not in time.
    """
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        if await work():
            return
        await asyncio.sleep(_POLL_INTERVAL_S)
    raise NotRunError(f"not in {timeout_s:.0f} s: {what}")


def route(name: str, prefix: str, kind: str, service: str) -> dict[str, Any]:
    """Returns a route of a manifest; streams keep what was said."""
    is_stream = kind == "stream"
    return {
        "name": name,
        "host": "app.example",
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 4_000,
        "target_latency_ms": 300,
        "priority": 0,
        "service": service,
        "max_attempts": 1 if kind == "unsafe" else 2,
        "server_history": is_stream,
        "retain_s": 60.0,
        "session_affinity": is_stream,
        "resumable": False,
        "gap_aim_ms": 400,
    }


def manifest(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns a manifest with a model service and a plain one."""
    engine = {
        "slots": 64,
        "kv_capacity": 851_871,
        "event_tokens": 17,
        "models": [{"name": "m"}],
    }
    services = [
        {
            "name": "models",
            "health_path": "/health",
            "max_conns": 370,
            "protocol": "h1",
            "tls": False,
            "engine": engine,
        },
        {
            "name": "app",
            "health_path": "/health",
            "max_conns": 110,
            "protocol": "h1",
            "tls": False,
        },
    ]
    limits = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    }
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": limits,
    }


@contextlib.asynccontextmanager
async def started(
    record: Record,
    routes: list[dict[str, Any]],
    policies: tuple[str, ...] = (),
) -> AsyncIterator[Deployment]:
    """Starts a deployment, and waits until its gateways are ready."""
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        deployment = Deployment(pathlib.Path(folder), record, policies)
        try:
            for name in deployment.nodes:
                deployment.start(name)
            body = json.dumps(manifest(1, routes)).encode()

            async def put_manifest() -> bool:
                status, _ = await deployment.call_control(
                    "PUT", "/-/config", body
                )
                return status == 200

            await wait_until(put_manifest, "a keeper takes the manifest")
            for name in ("gateway-1", "gateway-2"):
                await wait_until(
                    lambda name=name: deployment.is_ready(name),  # type: ignore[misc]
                    f"{name} is ready",
                )
            yield deployment
        finally:
            deployment.stop_all()


def run_case(
    folder: pathlib.Path,
    case: Callable[[Record, bool], Coroutine[Any, Any, str]],
) -> None:
    """Runs a case and ends the process with its verdict.

    Args:
        folder: folder of the case, for its record.
        case: gets the record and whether to disrupt the deployment; returns
            how the rule was broken, or an empty string.
    """
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.add("case", case=folder.name, disrupted=is_disrupted)
    # Ends the processes of the case, too, if the script is told to end.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        broken = asyncio.run(
            asyncio.wait_for(case(record, is_disrupted), _CASE_TIMEOUT_S)
        )
        code = BROKEN if broken else PASSED
        record.add("verdict", broken=broken)
        print(broken or "the rule held")
    except Exception as exc:
        code = NOT_RUN
        record.add("not-run", reason=repr(exc))
        print(f"not run: {exc!r}")
    record.close()
    sys.exit(code)


async def _call(
    ip: str, port: int, method: str, path: str, body: bytes = b""
) -> tuple[int, bytes]:
    reader, writer = await asyncio.open_connection(ip, port)
    try:
        writer.write(encode_request(method, path, {"Host": ip}, body))
        outcome = Outcome()
        await read_answer(reader, outcome)
        return outcome.status, outcome.body
    finally:
        writer.close()


async def _read_request(reader: asyncio.StreamReader) -> Received | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as exc:
        if exc.partial:
            raise
        return None
    first, fields = _parse_head(head)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Received(method, target, fields, body)


def _parse_head(head: bytes) -> tuple[str, dict[str, str]]:
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Returns ports that are free on all addresses now."""
    found: list[int] = []
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in found and all(_is_free(ip, port) for ip in ips):
            found.append(port)
        if len(found) == count:
            return found
    raise NotRunError("no free ports")


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((ip, port))
        except OSError:
            return False
    return True


def _excerpt(body: bytes) -> str:
    text = body[:_EXCERPT_BYTES].decode("latin-1")
    if len(body) <= _EXCERPT_BYTES:
        return text
    return f"{text}... ({len(body)} bytes)"
