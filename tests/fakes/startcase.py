"""Starts of single processes, for tests of what a start meets."""

from __future__ import annotations

import contextlib
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import time
from typing import TYPE_CHECKING, Any

from tests import base, logfiles, ports, processes

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.01
METRICS_PORT = 9464
ROLES = ("gateway", "keeper", "store")
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# The longest drawn time from the first line of the program to a signal. A
# start takes about as long.
MAX_SIGNAL_DELAY_S = 0.6
_SETTINGS = """
node_name = "n"
ip = "{ip}"
zone = "a"
region = "r"
port_range = [{peer}, {peer}]
seeds = ["{ip}:{control}"]
data_dir = "{folder}"
bootstrap = true
[zones]
a = "r"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
grace_s = 3.5
"""


class Started:
    """A started process, its output and its ports.

    Attributes:
        popen: the process.
        ports: port of each listener.
    """

    def __init__(
        self,
        command: list[str],
        env: dict[str, str],
        out: pathlib.Path,
        listeners: dict[str, int],
    ) -> None:
        self.ports = listeners
        self._out = out
        processes.handle_interrupts()
        with out.open("ab") as file:
            self.popen = subprocess.Popen(
                [sys.executable, *command],
                cwd=processes.ROOT,
                env={"PYTHONPATH": str(processes.ROOT), **env},
                stdout=file,
                stderr=file,
            )

    @property
    def text(self) -> str:
        """Everything that was written."""
        return self._out.read_text(errors="replace")

    def lines(self, name: str) -> list[dict[str, Any]]:
        """Returns the JSON lines with a decision or a message."""
        return [
            line
            for line in logfiles.decisions(self._out.read_bytes())
            if name in (line.get("decision"), line.get("message"))
        ]

    def wait_for(self, *names: str) -> dict[str, Any]:
        """Returns the first line with one of the names; fails if it ends."""
        for _ in range(int(TIMEOUT_S / POLL_INTERVAL_S)):
            for name in names:
                if lines := self.lines(name):
                    return lines[0]
            if self.popen.poll() is not None:
                break
            time.sleep(POLL_INTERVAL_S)
        raise AssertionError(
            f"no {names}, exit code {self.popen.poll()}: {self.text}"
        )

    def wait_for_handlers(self) -> None:
        """Waits until the process's own code handles stop signals."""
        wait_for_handlers(self.popen)

    def end(self) -> None:
        """Kills the process if it still runs."""
        if self.popen.poll() is None:
            self.popen.kill()
        self.popen.wait()


def handles_stops(process: subprocess.Popen[bytes]) -> bool:
    """Returns whether a process's own code handles SIGTERM and SIGINT."""
    text = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    (caught,) = re.findall(r"SigCgt:\s+(\w+)", text)
    mask = sum(1 << (signum - 1) for signum in STOP_SIGNALS)
    return int(caught, 16) & mask == mask


def wait_for_handlers(process: subprocess.Popen[bytes]) -> None:
    """Waits until a process's own code handles stop signals."""
    end_s = time.monotonic() + TIMEOUT_S
    while not handles_stops(process):
        if time.monotonic() > end_s:
            raise AssertionError("no handlers")
        time.sleep(0.001)


class StartCase(base.TestCase):
    """Starts processes on loopback addresses."""

    def setUp(self) -> None:
        super().setUp()
        pid = os.getpid()
        self.ip = f"127.{224 + pid % 20}.{pid // 20 % 250}.9"
        self._count = 0

    def settings(self, role: str, listeners: dict[str, int]) -> pathlib.Path:
        """Writes a settings file for a role of the platform."""
        path = self.folder / f"{role}-{self._count}.toml"
        folder = self.folder / f"{role}-{self._count}"
        path.write_text(
            _SETTINGS.format(ip=self.ip, folder=folder, **listeners)
        )
        return path

    def new_ports(self) -> dict[str, int]:
        """Returns free ports for all listeners."""
        self._count += 1
        names = ("peer", "front", "ready", "control", "admin")
        return dict(zip(names, ports.free_ports(len(names)), strict=True))

    def start(
        self,
        role: str,
        listeners: dict[str, int] | None = None,
        settings: pathlib.Path | None = None,
        **env: str,
    ) -> Started:
        """Starts a process of any role."""
        listeners = listeners or self.new_ports()
        command = ["platform", role]
        if role in ROLES:
            path = settings or self.settings(role, listeners)
            env["CATKINPIN_NODE_FILE"] = str(path)
        else:
            command = self._command(role, listeners)
        out = self.folder / f"{role}-{self._count}-{time.monotonic_ns()}.out"
        started = Started(command, env, out, listeners)
        self.addCleanup(started.end)
        return started

    def _command(self, role: str, listeners: dict[str, int]) -> list[str]:
        peer = f"{self.ip}:{listeners['peer']}"
        args = ["-m", "catkinpin", role, "--peer-listen", peer]
        args += ["--admin-listen", f"{self.ip}:{listeners['admin']}"]
        if role == "entry":
            args += ["--listen", f"{self.ip}:{listeners['front']}"]
            return [*args, "--replicas", f"{self.ip}:1"]
        folder = self.folder / f"{role}-{self._count}"
        return [*args, "--replicas", peer, "--data-folder", str(folder)]

    @contextlib.contextmanager
    def held(self, port: int) -> Iterator[None]:
        """Keeps a port in use."""
        with socket.create_server((self.ip, port)):
            yield

    def is_open(self, port: int) -> bool:
        """Returns whether connections to a port are accepted."""
        with contextlib.suppress(OSError):
            socket.create_connection((self.ip, port), 1.0).close()
            return True
        return False

    def wait_until_open(self, port: int) -> None:
        """Waits until connections to a port are accepted."""
        end_s = time.monotonic() + TIMEOUT_S
        while not self.is_open(port):
            self.assertLess(time.monotonic(), end_s, f"port {port} is closed")
            time.sleep(POLL_INTERVAL_S)


READY_LINES = ("start", "entry ready", "replica ready")
