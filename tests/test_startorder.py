"""Deployments whose processes start in any order, amid faults and signals."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import socket
from typing import TYPE_CHECKING

from catkinpin.adapters.peers import keepers
from catkinpin.adapters.replica import mesh
from tests import base, hellos
from tests.fakes import deployment, startcase

if TYPE_CHECKING:
    import pathlib
    import subprocess
    from collections.abc import Iterator

_METRICS_PORT = 9464
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
_MAX_DELAY_S = 0.8
_LATE_KEEPER_S = 4.0
_STOP_S = 12.0
_ROUNDS = 8
# Characters of a log that a failed check shows.
_SHOWN_LOG = 2_000


class _DrawnDeployment(deployment.Deployment):
    """A deployment whose processes start when the test says so.

    Attributes:
        held_back: processes that don't start yet.
    """

    def __init__(self, folder: pathlib.Path, seed: int) -> None:
        super().__init__(folder)
        self.folder = folder
        self.draw = random.Random(seed)
        self.held_back: set[str] = set()
        self.on_first_start = self._start_late

    def start(self, name: str) -> None:
        """Starts a process, unless it is held back."""
        if name not in self.held_back:
            super().start(name)

    def hold_back_all(self) -> None:
        """Keeps all processes from starting."""
        self.held_back = set(self.hosts)

    def order(self) -> list[str]:
        """Returns all processes in the order of their first starts."""
        names = list(self.hosts)
        self.draw.shuffle(names)
        return names

    async def _start_late(self) -> None:
        """Starts the processes in a drawn order, one keeper long after."""
        names = self.order()
        last = self.draw.choice([n for n in names if n.startswith("keeper")])
        names.remove(last)
        for name in names:
            await asyncio.sleep(self.draw.random() * _MAX_DELAY_S)
            self.held_back.discard(name)
            self.start(name)
        await asyncio.sleep(_LATE_KEEPER_S)
        self.held_back.discard(last)
        self.start(last)

    def settings_path(self, name: str) -> pathlib.Path:
        """Returns the path of a process's settings."""
        return self.folder / f"{name}.toml"

    def port_of(self, name: str) -> int:
        """Returns a drawn port that a process listens on."""
        peer, front, ready, control = self._ports
        role = self.hosts[name].role
        listeners = {
            "gateway": (front, ready),
            "keeper": (peer, control),
            "store": (peer,),
        }
        return self.draw.choice((*listeners[role], _METRICS_PORT))

    def log_end(self, name: str) -> str:
        """Returns the name of a process and the end of its log."""
        text = (self.folder / f"{name}.log").read_text(errors="replace")
        return f"{name}: {text[-_SHOWN_LOG:]}"

    def ended_processes(self) -> list[tuple[str, int]]:
        """Returns the processes that don't run, with their exit codes."""
        found = []
        for host in self.hosts.values():
            assert host.process is not None
            if (code := host.process.poll()) is not None:
                found.append((host.name, code))
        return found


async def _wait_for_handlers(process: subprocess.Popen[bytes]) -> None:
    async with asyncio.timeout(_STOP_S):
        while not startcase.handles_stops(process):
            await asyncio.sleep(0.001)


class StopTest(base.TestCase):
    """A stop while other hosts become known."""

    def test_host_that_becomes_known_in_a_stop_does_not_fail_it(self) -> None:
        """Guards against a stop that ends with 1 as a host came just then."""
        for kind in ("keepers", "mesh"):
            asyncio.run(self._check(kind))

    async def _check(self, kind: str) -> None:
        hello = hellos.GATEWAY_HELLO
        hosts: keepers.Keepers | mesh.Mesh
        if kind == "keepers":
            hosts = keepers.Keepers(hello, lambda *_: None)
            hosts.add(["127.0.0.1:1", "127.0.0.1:2"])
        else:
            known = ["127.0.0.1:1", "127.0.0.1:2"]
            hosts = mesh.Mesh(known, lambda _: None, growable=True)
            hosts.start(hello)
        stopping = asyncio.ensure_future(hosts.stop())
        for port in range(3, 9):
            await asyncio.sleep(0)
            address = f"127.0.0.1:{port}"
            if isinstance(hosts, mesh.Mesh):
                hosts.add(address)
            else:
                hosts.add([address])
        await stopping
        await hosts.stop()


class StartOrderTest(base.TestCase):
    """No process ends by itself, and all serve in the end."""

    def test_hosts_may_come_in_any_order(self) -> None:
        """Guards against a process that ends as the others aren't there yet."""
        for seed in (1, 2):
            asyncio.run(self._check_order(seed))

    async def _check_order(self, seed: int) -> None:
        folder = self.folder / f"order-{seed}"
        folder.mkdir()
        system = _DrawnDeployment(folder, seed)
        system.hold_back_all()
        async with system:
            await self._check_service(system, f"order {seed}")

    def test_faults_and_signals_at_starts_end_no_process(self) -> None:
        """Guards against starts that take what they meet for final."""
        for seed in (11, 12):
            asyncio.run(self._check_faults(seed))

    async def _check_faults(self, seed: int) -> None:
        folder = self.folder / f"faults-{seed}"
        folder.mkdir()
        system = _DrawnDeployment(folder, seed)
        system.on_first_start = None
        actions = (
            self._restart_with_busy_port,
            self._restart_with_torn_settings,
            self._stop_in_start,
            self._stop_with_signals,
        )
        async with system:
            for number in range(_ROUNDS):
                name = system.draw.choice(list(system.hosts))
                action = system.draw.choice(actions)
                await action(system, name)
                where = f"seed {seed}, {number}: {action.__name__} of {name}"
                await asyncio.sleep(0.3)
                self.assertEqual([], system.ended_processes(), where)
            await self._check_service(system, f"faults {seed}")

    async def _check_service(self, system: _DrawnDeployment, name: str) -> None:
        """Checks that each gateway serves turns, and that all processes run."""
        for host in system.hosts.values():
            if host.role == "gateway":
                served = await self._is_served(system, host.name)
                self.assertTrue(served, f"{name}: {host.name}")
        self.assertEqual([], system.ended_processes(), name)

    async def _is_served(self, system: _DrawnDeployment, gateway: str) -> bool:
        for number in range(300):
            with contextlib.suppress(OSError):
                attempt = f"{gateway}.{number}"
                if await system.send_turn(attempt, gateway=gateway) == 200:
                    return True
            await asyncio.sleep(0.05)
        return False

    async def _restart_with_busy_port(
        self, system: _DrawnDeployment, name: str
    ) -> None:
        system.kill(name)
        port = system.port_of(name)
        with self._held(system.hosts[name].ip, port):
            system.start(name)
            await asyncio.sleep(0.3 + system.draw.random())
            await self._send_reloads(system, name)
        await asyncio.sleep(0.3)

    async def _restart_with_torn_settings(
        self, system: _DrawnDeployment, name: str
    ) -> None:
        system.kill(name)
        system.start(name)
        path = system.settings_path(name)
        whole = path.read_bytes()
        # The process has read nothing yet.
        path.write_bytes(whole[: system.draw.randrange(len(whole))])
        await asyncio.sleep(system.draw.random() * 0.5)
        path.write_bytes(whole)

    async def _stop_in_start(self, system: _DrawnDeployment, name: str) -> None:
        system.kill(name)
        for _ in range(2):
            system.start(name)
            process = system.hosts[name].process
            assert process is not None
            await _wait_for_handlers(process)
            await asyncio.sleep(system.draw.random() * 0.4)
            await self._stop(system, name)
        system.start(name)

    async def _stop_with_signals(
        self, system: _DrawnDeployment, name: str
    ) -> None:
        await self._send_reloads(system, name)
        await self._stop(system, name)
        system.start(name)

    async def _send_reloads(self, system: _DrawnDeployment, name: str) -> None:
        process = system.hosts[name].process
        assert process is not None
        await _wait_for_handlers(process)
        for _ in range(5):
            system.kill(name, signal.SIGHUP)
            await asyncio.sleep(system.draw.random() * 0.01)

    async def _stop(self, system: _DrawnDeployment, name: str) -> None:
        """Sends overlapping signals; checks that the stop is a clean one."""
        process = system.hosts[name].process
        assert process is not None
        signals = [system.draw.choice(_STOP_SIGNALS), signal.SIGHUP]
        async with asyncio.timeout(_STOP_S):
            while process.poll() is None:
                system.kill(name, system.draw.choice(signals))
                await asyncio.sleep(0.01)
        self.assertEqual(0, process.returncode, system.log_end(name))

    @contextlib.contextmanager
    def _held(self, ip: str, port: int) -> Iterator[None]:
        with socket.create_server((ip, port)):
            yield
