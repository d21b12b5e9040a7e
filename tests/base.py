"""Shared test helpers: a cluster of processes, waiting, HTTP calls."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import shutil
import tempfile
import time
import zlib
from typing import TYPE_CHECKING, Any

import aiohttp
import testtools
import uvloop

from catkinpin import configuration
from tests import ports, processes
from tests.processes import Process
from tests.replies import Reply, Streamed

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

OPERATOR_KEY = "operator-key"
ACCOUNT_KEYS = {"ruegg": "ruegg-key", "kunci": "kunci-key"}
_DEFAULT_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02


class TestCase(testtools.TestCase):
    """Base class of tests: each test gets its own temporary folder."""

    def setUp(self) -> None:
        super().setUp()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="catkinpin-"))
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        self.addOnException(self._keep_logs)

    def _keep_logs(self, exc_info: Any) -> None:
        """Copies the logs of a failed test: it may not fail again."""
        kept = processes.ROOT / "out" / "failed" / self.id()
        kept.mkdir(parents=True, exist_ok=True)
        for path in self.folder.glob("*.log"):
            shutil.copy(path, kept)

    def run_async(self, main: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine to completion on a new event loop."""
        uvloop.run(main)


async def until(
    check: Callable[[], Awaitable[Any]],
    what: str,
    wait_s: float = _DEFAULT_TIMEOUT_S,
) -> Any:
    """Polls `check` until its result is true, and returns the result.

    A failed connection or a timeout in `check` counts as not yet true.

    Args:
        check: called at each poll.
        what: what is waited for, for the error message.
        wait_s: how long to wait.

    Raises:
        AssertionError: `check` did not return a true value in time.
    """
    deadline = time.monotonic() + wait_s
    while True:
        with contextlib.suppress(
            aiohttp.ClientError, TimeoutError, ConnectionError
        ):
            if result := await check():
                return result
        if time.monotonic() > deadline:
            raise AssertionError(f"timed out after {wait_s} s: {what}")
        await asyncio.sleep(_POLL_INTERVAL_S)


class Cluster:
    """Runs replicas, entries and fake servers as processes on loopback.

    Attributes:
        folder: holds the logs and the data of the processes.
        processes: each process by its name.
        addresses: base URL of each entry and fake server, and of each
            proxy's control interface, by name.
        admin: address of the admin interface of each entry and replica.
        replicas: addresses at which the replicas are reached.
        entries: admin addresses of the entries.
        http: client session for the test's own requests.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.addresses: dict[str, str] = {}
        self.admin: dict[str, str] = {}
        self.replicas: list[str] = []
        self.entries: list[str] = []
        self.shards = 1
        self.http: aiohttp.ClientSession

    async def __aenter__(self) -> Cluster:
        if not hasattr(self, "http"):
            timeout = aiohttp.ClientTimeout(total=60)
            self.http = aiohttp.ClientSession(timeout=timeout)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self.http.close()
        for process in self.processes.values():
            process.end()

    def spawn(self, name: str, module: str, /, **flags: Any) -> Process:
        """Starts a process.

        Args:
            name: name of the process and of its log file.
            module: module to run, and its subcommand if it has one.
            **flags: command-line flags, with `_` for `-`; a list repeats
                the flag for each of its values.
        """
        args = []
        for flag, value in flags.items():
            values = value if isinstance(value, list) else [value]
            for item in values:
                args += ["--" + flag.replace("_", "-"), str(item)]
        log = self.folder / f"{name}.log"
        self.processes[name] = Process(module, args, log)
        return self.processes[name]

    def add_replicas(
        self, count: int, *, proxied: bool = False, **flags: Any
    ) -> None:
        """Starts the replicas of one group.

        With `proxied` each replica is reached through the proxy
        `NAME-proxy`, also by the other replicas.
        """
        free = ports.free_ports(2 * count)
        self.replicas = listen = [f"127.0.0.1:{port}" for port in free[:count]]
        if proxied:
            self.replicas = [
                self.add_proxy(f"replica-{number}-proxy", address)
                for number, address in enumerate(listen, start=1)
            ]
        for number in range(count):
            name = f"replica-{number + 1}"
            self.admin[name] = f"127.0.0.1:{free[count + number]}"
            self.spawn(
                name,
                "catkinpin replica",
                name=name,
                peer_listen=listen[number],
                peer_advertise=self.replicas[number],
                admin_listen=self.admin[name],
                data_folder=self.folder / name,
                replicas=self.replicas,
                shards=self.shards,
                trace_file=self.folder / "spans.jsonl",
                **flags,
            )

    def add_entry(
        self,
        name: str,
        region: str = "",
        *,
        proxied: bool = False,
        **flags: Any,
    ) -> str:
        """Starts an entry and returns its URL for callers.

        With `proxied` other entries reach it through the proxy `NAME-proxy`.
        """
        callers, admin, peer = ports.free_ports(3)
        if proxied:
            proxy = self.add_proxy(f"{name}-proxy", f"127.0.0.1:{peer}")
            flags["peer_advertise"] = proxy
        self.addresses[name] = f"http://127.0.0.1:{callers}"
        self.admin[name] = f"127.0.0.1:{admin}"
        self.entries.append(self.admin[name])
        self.spawn(
            name,
            "catkinpin entry",
            name=name,
            region=region,
            listen=f"127.0.0.1:{callers}",
            admin_listen=self.admin[name],
            peer_listen=f"127.0.0.1:{peer}",
            replicas=flags.pop("replicas", self.replicas),
            shards=self.shards,
            operator_key_sha256=configuration.key_digest(OPERATOR_KEY),
            **{"trace_file": self.folder / "spans.jsonl", **flags},
        )
        return self.addresses[name]

    def add_fake(
        self, kind: str, name: str, *, proxied: bool = False, **flags: Any
    ) -> str:
        """Starts a fake backend server and returns its URL.

        With `proxied` it announces the address of the proxy `NAME-proxy`.

        Args:
            kind: module in tests.fakes, as `engine` or `service`.
            name: name of the server and its process.
            proxied: whether it is reached through a proxy.
            **flags: further flags of the process.
        """
        port = ports.free_ports(1)[0]
        if proxied:
            proxy = self.add_proxy(f"{name}-proxy", f"127.0.0.1:{port}")
            flags["address"] = f"http://{proxy}"
        self.addresses[name] = f"http://127.0.0.1:{port}"
        self.spawn(
            name,
            f"tests.fakes.{kind}",
            name=name,
            port=port,
            entries=",".join(self.entries),
            **flags,
        )
        return self.addresses[name]

    def add_proxy(self, name: str, target: str) -> str:
        """Starts a proxy to `target` and returns the proxy's address."""
        port, control = ports.free_ports(2)
        self.addresses[name] = f"http://127.0.0.1:{control}"
        self.spawn(
            name, "tests.fakes.proxy", port=port, control=control, target=target
        )
        return f"127.0.0.1:{port}"

    async def steer(self, name: str, **settings: Any) -> None:
        """Changes settings of a fake server or a proxy."""
        url = self.addresses[name] + "/fake"

        async def accepted() -> bool:
            async with self.http.post(url, json=settings) as resp:
                return resp.ok

        await until(accepted, f"{name} accepts its settings")

    async def look(self, name: str) -> Any:
        """Returns the state that a fake server or a proxy reports."""
        async with self.http.get(self.addresses[name] + "/fake") as resp:
            return await resp.json()

    async def ready(self, name: str) -> None:
        """Waits until an entry or replica reports that it is ready."""

        async def check() -> bool:
            url = f"http://{self.admin[name]}/health/ready"
            async with self.http.get(url) as resp:
                return resp.status == 200

        await until(check, f"{name} is ready")

    async def apply(self, content: str, base: int = 0) -> Any:
        """Applies a configuration through the first entry."""
        url = f"http://{self.entries[0]}/v1/operator/configuration"
        headers = {
            "Authorization": f"Bearer {OPERATOR_KEY}",
            "Catkinpin-Base-Revision": str(base),
            "Idempotency-Key": f"change-{base}-{zlib.crc32(content.encode())}",
        }

        async def check() -> Any:
            async with self.http.post(
                url, data=content, headers=headers
            ) as resp:
                return await resp.json() if resp.status in (200, 409) else None

        return await until(check, "the configuration is applied")

    async def serving(self, entry: str, target: str, kind: str) -> None:
        """Waits until a call to a target through an entry succeeds."""

        async def check() -> bool:
            if kind == "model":
                reply = await self.chat(entry, target, [user("probe")])
            else:
                reply = await self.call_service(entry, target, "probe", "")
            return bool(reply.status == 200)

        await until(check, f"{target} is served through {entry}")

    async def chat(
        self,
        entry: str,
        model: str,
        messages: list[Any],
        account: str = "ruegg",
        headers: dict[str, str] | None = None,
        **fields: Any,
    ) -> Reply:
        """Makes a model call."""
        body = {"model": model, "messages": messages, **fields}
        url = self.addresses[entry] + "/v1/chat/completions"
        auth = {"Authorization": f"Bearer {ACCOUNT_KEYS[account]}"}
        async with self.http.post(
            url, json=body, headers={**auth, **(headers or {})}
        ) as resp:
            return await Reply.read(resp)

    async def stream(
        self,
        entry: str,
        model: str,
        messages: list[Any],
        headers: dict[str, str] | None = None,
        on_token: Callable[[int], Awaitable[None]] | None = None,
    ) -> Streamed:
        """Makes a streamed model call.

        Args:
            entry: name of the entry.
            model: target of the call.
            messages: prompt.
            headers: further request headers.
            on_token: called after each token with the number of tokens
                received so far.
        """
        body = {"model": model, "messages": messages, "stream": True}
        url = self.addresses[entry] + "/v1/chat/completions"
        auth = {"Authorization": f"Bearer {ACCOUNT_KEYS['ruegg']}"}
        streamed = Streamed()
        async with self.http.post(
            url, json=body, headers={**auth, **(headers or {})}
        ) as resp:
            streamed.status = resp.status
            async for line in resp.content:
                streamed.feed(line.strip())
                if on_token is not None and streamed.fresh:
                    await on_token(len(streamed.words))
        return streamed

    async def call_service(
        self,
        entry: str,
        name: str,
        path: str,
        data: str,
        account: str = "kunci",
        headers: dict[str, str] | None = None,
        method: str = "POST",
    ) -> Reply:
        """Makes a service call."""
        url = f"{self.addresses[entry]}/v1/services/{name}/{path}"
        auth = {"Authorization": f"Bearer {ACCOUNT_KEYS[account]}"}
        async with self.http.request(
            method, url, data=data, headers={**auth, **(headers or {})}
        ) as resp:
            return await Reply.read(resp)


def user(text: str) -> dict[str, str]:
    """Returns a chat message of the role `user`."""
    return {"role": "user", "content": text}


def config(budget: int = 1_000_000) -> str:
    """Returns a configuration with all test accounts and targets."""
    lines = []
    for name, key in ACCOUNT_KEYS.items():
        digest = configuration.key_digest(key)
        lines += [
            "[[accounts]]",
            f'name = "{name}"',
            f'key_sha256 = "{digest}"',
        ]
    targets = '["berater", "melder", "agent-models", "kiosk-app"]'
    lines += [
        "[[deployments]]",
        'name = "all"',
        f"targets = {targets}",
        f"budget_tokens = {budget}",
    ]
    return "\n".join(lines)


async def small(
    folder: pathlib.Path,
    entries: int = 1,
    engines: dict[str, Any] | None = None,
    services: dict[str, Any] | None = None,
    replicas: int = 1,
    replicas_proxied: bool = False,
    **flags: Any,
) -> Cluster:
    """Starts a small cluster and waits until its targets are served.

    Args:
        folder: holds the logs and the data of the processes.
        entries: number of entries.
        engines: flags of each fake engine by its name; None starts one,
            `engine-1`.
        services: flags of each fake service by its name; None starts one,
            `service-1`.
        replicas: number of replicas.
        replicas_proxied: whether the replicas are reached through proxies.
        **flags: flags of every entry.
    """
    cluster = Cluster(folder)
    await cluster.__aenter__()
    cluster.add_replicas(replicas, proxied=replicas_proxied)
    for number in range(entries):
        cluster.add_entry(f"entry-{number + 1}", **flags)
    for name, engine_flags in (engines or {"engine-1": {}}).items():
        cluster.add_fake("engine", name, **engine_flags)
    for name, service_flags in (services or {"service-1": {}}).items():
        cluster.add_fake("service", name, **service_flags)
    await cluster.apply(config())
    for number in range(entries):
        await cluster.ready(f"entry-{number + 1}")
    await cluster.serving("entry-1", "berater", "model")
    await cluster.serving("entry-1", "kiosk-app", "service")
    return cluster
