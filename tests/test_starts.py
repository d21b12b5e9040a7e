"""Starts of real processes that meet busy ports, signals and odd settings."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import json
import os
import pathlib
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import sysconfig
import time
import tomllib
from typing import TYPE_CHECKING, Any

from catkinpin import startup
from catkinpin.adapters.disk import files, segments
from catkinpin.adapters.disk.storage import Storage
from catkinpin.adapters.disk.turnbytes import TurnBytes
from catkinpin.adapters.replica.identity import Identity
from catkinpin.exceptions import (
    DiskFullError,
    SettingsError,
    StorageError,
    UnavailableStorageError,
)
from tests import base, ports, processes

if TYPE_CHECKING:
    from collections.abc import Iterator

_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.01
_METRICS_PORT = 9464
_ROLES = ("gateway", "keeper", "store")
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
# The longest drawn time from the first line of the program to a signal. A
# start takes about as long.
_MAX_SIGNAL_DELAY_S = 0.6
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


class _Started:
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
        found = []
        for text in self.text.splitlines():
            if text.startswith("{"):
                line = json.loads(text)
                if name in (line.get("decision"), line.get("message")):
                    found.append(line)
        return found

    def wait_for(self, *names: str) -> dict[str, Any]:
        """Returns the first line with one of the names; fails if it ends."""
        for _ in range(int(_TIMEOUT_S / _POLL_INTERVAL_S)):
            for name in names:
                if lines := self.lines(name):
                    return lines[0]
            if self.popen.poll() is not None:
                break
            time.sleep(_POLL_INTERVAL_S)
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
    mask = sum(1 << (signum - 1) for signum in _STOP_SIGNALS)
    return int(caught, 16) & mask == mask


def wait_for_handlers(process: subprocess.Popen[bytes]) -> None:
    """Waits until a process's own code handles stop signals."""
    end_s = time.monotonic() + _TIMEOUT_S
    while not handles_stops(process):
        if time.monotonic() > end_s:
            raise AssertionError("no handlers")
        time.sleep(0.001)


class _StartCase(base.TestCase):
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
    ) -> _Started:
        """Starts a process of any role."""
        listeners = listeners or self.new_ports()
        command = ["platform", role]
        if role in _ROLES:
            path = settings or self.settings(role, listeners)
            env["CATKINPIN_NODE_FILE"] = str(path)
        else:
            command = self._command(role, listeners)
        out = self.folder / f"{role}-{self._count}-{time.monotonic_ns()}.out"
        started = _Started(command, env, out, listeners)
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
        end_s = time.monotonic() + _TIMEOUT_S
        while not self.is_open(port):
            self.assertLess(time.monotonic(), end_s, f"port {port} is closed")
            time.sleep(_POLL_INTERVAL_S)


_READY_LINES = ("start", "entry ready", "replica ready")


class BusyPortTest(_StartCase):
    """Ports that another process uses while a process starts."""

    def _check(self, role: str, port_name: str) -> None:
        listeners = self.new_ports()
        port = listeners[port_name]
        with self.held(port):
            process = self.start(role, listeners)
            waiting = f"port {self.ip}:{port}"
            line = process.wait_for("waiting", f"waiting for {waiting}")
            self.assertIn("in use", line["reason"])
        process.wait_for(*_READY_LINES)
        self.wait_until_open(port)
        process.popen.terminate()
        self.assertEqual(0, process.popen.wait(_TIMEOUT_S), process.text)

    def test_gateway_waits_for_the_callers_port(self) -> None:
        """Guards against a successor that ends while its predecessor drains."""
        self._check("gateway", "front")

    def test_gateway_waits_for_the_readiness_port(self) -> None:
        """Guards against a gateway that ends as its readiness port is used."""
        self._check("gateway", "ready")

    def test_keeper_waits_for_its_ports(self) -> None:
        """Guards against a keeper that ends as one of its ports is in use."""
        for port_name in ("peer", "control"):
            self._check("keeper", port_name)

    def test_store_waits_for_its_port(self) -> None:
        """Guards against a store that ends as its port is in use."""
        self._check("store", "peer")

    def test_entry_waits_for_its_ports(self) -> None:
        """Guards against an entry that ends as one of its ports is in use."""
        for port_name in ("peer", "front", "admin"):
            self._check("entry", port_name)

    def test_replica_waits_for_its_ports(self) -> None:
        """Guards against a replica that ends as one of its ports is in use."""
        for port_name in ("peer", "admin"):
            self._check("replica", port_name)

    def test_used_metrics_port_delays_nothing(self) -> None:
        """Guards against a process that doesn't serve for want of metrics."""
        for role in _ROLES:
            with self.held(_METRICS_PORT):
                process = self.start(role)
                process.wait_for("start")
                process.wait_for("waiting")
            self.wait_until_open(_METRICS_PORT)
            process.popen.terminate()
            self.assertEqual(0, process.popen.wait(_TIMEOUT_S), process.text)

    def test_signal_ends_the_wait_for_a_port(self) -> None:
        """Guards against a waiting process that only SIGKILL ends."""
        for role, name in (
            ("gateway", "front"),
            ("keeper", "peer"),
            ("store", "peer"),
            ("entry", "front"),
            ("entry", "peer"),
            ("replica", "admin"),
        ):
            listeners = self.new_ports()
            port = listeners[name]
            with self.held(port):
                process = self.start(role, listeners)
                waiting = f"waiting for port {self.ip}:{port}"
                process.wait_for("waiting", waiting)
                process.popen.terminate()
                code = process.popen.wait(_TIMEOUT_S)
            self.assertEqual(0, code, process.text)
            self.assertEqual(1, process.text.count("stopped-in-start"), role)
            self.assertNotIn("Traceback", process.text)

    def test_wait_for_an_address_or_descriptors_goes_on(self) -> None:
        """Guards against an end for an address that comes later, or EMFILE."""
        code = (
            "import asyncio, os, resource\n"
            "from catkinpin import waiting\n"
            "async def main():\n"
            "    lost = asyncio.ensure_future(\n"
            "        waiting.open_port('192.0.2.1:7'))\n"
            "    await asyncio.sleep(0.2)\n"
            "    print(lost.done())\n"
            "    lost.cancel()\n"
            "    resource.setrlimit(resource.RLIMIT_NOFILE, (60, 60))\n"
            "    fds = []\n"
            "    try:\n"
            "        while True: fds.append(os.dup(0))\n"
            "    except OSError: pass\n"
            "    opening = asyncio.ensure_future(\n"
            "        waiting.open_port('127.0.0.1:0'))\n"
            "    await asyncio.sleep(0.2)\n"
            "    print(opening.done())\n"
            "    for fd in fds: os.close(fd)\n"
            "    print((await opening).getsockname()[0])\n"
            "asyncio.run(main())\n"
        )
        done = subprocess.run(
            [sys.executable, "-c", code],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
        self.assertEqual(
            ["False", "False", "127.0.0.1"], done.stdout.split(), done.stderr
        )


class SignalTest(_StartCase):
    """Signals at drawn moments of a start."""

    def _check(self, role: str, seed: int) -> None:
        draw = random.Random(seed)
        process = self.start(role)
        process.wait_for_handlers()
        end_s = time.monotonic() + draw.random() * _MAX_SIGNAL_DELAY_S
        while time.monotonic() < end_s:
            process.popen.send_signal(signal.SIGHUP)
            time.sleep(draw.random() * 0.02)
        self.assertIsNone(process.popen.poll(), f"seed {seed}: {process.text}")
        # A second stop signal ends an entry or a replica at once with 5.
        count = 1 if role in ("entry", "replica") else 3
        for _ in range(count):
            process.popen.send_signal(draw.choice(_STOP_SIGNALS))
            process.popen.send_signal(signal.SIGHUP)
        code = process.popen.wait(_TIMEOUT_S)
        self.assertEqual(0, code, f"{role}, seed {seed}: {process.text}")
        ends = process.text.count('"outcome":"stop')
        ends += process.text.count('"outcome": "stop')
        self.assertEqual(1, ends, f"{role}, seed {seed}: {process.text}")
        self.assertNotIn("Traceback", process.text)

    def test_gateway_stops_cleanly_at_any_moment(self) -> None:
        """Guards against a signal's default action while a gateway starts."""
        for seed in range(4):
            self._check("gateway", seed)

    def test_keeper_stops_cleanly_at_any_moment(self) -> None:
        """Guards against a signal's default action while a keeper starts."""
        for seed in range(100, 106):
            self._check("keeper", seed)

    def test_store_stops_cleanly_at_any_moment(self) -> None:
        """Guards against a signal's default action while a store starts."""
        for seed in range(200, 206):
            self._check("store", seed)

    def test_entry_stops_cleanly_at_any_moment(self) -> None:
        """Guards against a signal's default action while an entry starts."""
        for seed in range(300, 304):
            self._check("entry", seed)

    def test_replica_stops_cleanly_at_any_moment(self) -> None:
        """Guards against a signal's default action while a replica starts."""
        for seed in range(400, 404):
            self._check("replica", seed)

    def test_signal_while_libraries_load_is_a_clean_stop(self) -> None:
        """Guards against the default action, or an exception in an import."""
        loading = "import time\nprint('loading', flush=True)\ntime.sleep(30)\n"
        cases = [(role, "uvloop") for role in _ROLES]
        cases += [("entry", "cyclopts"), ("replica", "cyclopts")]
        for role, library in cases:
            folder = self.folder / f"libraries-{role}"
            folder.mkdir()
            (folder / f"{library}.py").write_text(loading)
            path = f"{folder}:{processes.ROOT}"
            process = self.start(role, PYTHONPATH=path)
            self._wait_for_text(process, "loading")
            for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
                process.popen.send_signal(number)
            code = process.popen.wait(_TIMEOUT_S)
            self.assertEqual(0, code, process.text)
            (line,) = process.lines("ended")
            self.assertEqual("stopped-in-start", line["outcome"])
            self.assertNotIn("Traceback", process.text)

    def _wait_for_text(self, process: _Started, text: str) -> None:
        end_s = time.monotonic() + _TIMEOUT_S
        while text not in process.text:
            self.assertIsNone(process.popen.poll(), process.text)
            self.assertLess(time.monotonic(), end_s, process.text)
            time.sleep(_POLL_INTERVAL_S)

    def test_signal_ends_a_start_whose_output_nobody_reads(self) -> None:
        """Guards against a line about the end that blocks the end."""
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(writer, bytes(4096))
        os.set_blocking(writer, True)
        env = {"PYTHONPATH": str(processes.ROOT)}
        env["CATKINPIN_NODE_FILE"] = str(self.folder / "missing.toml")
        popen = subprocess.Popen(
            [sys.executable, "platform", "store"],
            cwd=processes.ROOT,
            env=env,
            stdout=writer,
            stderr=writer,
        )
        self.addCleanup(popen.kill)
        wait_for_handlers(popen)
        time.sleep(0.2)
        self.assertIsNone(popen.poll())
        popen.terminate()
        self.assertEqual(0, popen.wait(_TIMEOUT_S))
        os.close(reader)
        os.close(writer)


class DeployedCommandTest(_StartCase):
    """The commands of the deploy file."""

    def test_roles_start_as_deployed(self) -> None:
        """Guards against a module that only the commands of tests find."""
        roles = tomllib.loads(
            (processes.ROOT / "deploy/system.toml").read_text()
        )
        for role, entry in roles["roles"].items():
            words = entry["run"].replace("target/", "").split()
            listeners = self.new_ports()
            path = self.settings(role, listeners)
            # The build installs the libraries in a folder of their own.
            libraries = sysconfig.get_paths()["purelib"]
            env = {
                "CATKINPIN_NODE_FILE": str(path),
                "PYTHONPATH": f"{processes.ROOT}:{libraries}",
            }
            out = self.folder / f"{role}.out"
            process = _Started(words[1:], env, out, listeners)
            self.addCleanup(process.end)
            process.wait_for("start")
            process.popen.terminate()
            self.assertEqual(0, process.popen.wait(_TIMEOUT_S), process.text)

    def test_little_is_loaded_before_signals_are_handled(self) -> None:
        """Guards against an import that leaves signals their default action."""
        code = (
            "import sys\n"
            "from catkinpin import startup\n"
            "startup.handle_signals()\n"
            "heavy = ('enum', 're', 'typing', 'json', 'logging', 'asyncio')\n"
            "print([name for name in heavy if name in sys.modules])\n"
        )
        done = subprocess.run(
            [sys.executable, "-S", "-c", code],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=True,
        )
        self.assertEqual("[]", done.stdout.strip())


class StandardFilesTest(_StartCase):
    """Standard files that are closed at a start."""

    def test_closed_standard_files_end_no_process(self) -> None:
        """Guards against an end, or log lines that go to a socket."""
        for role in (*_ROLES, "entry", "replica"):
            listeners = self.new_ports()
            command = ["platform", role]
            env = {"PYTHONPATH": str(processes.ROOT)}
            if role in _ROLES:
                path = self.settings(role, listeners)
                env["CATKINPIN_NODE_FILE"] = str(path)
            else:
                command = self._command(role, listeners)
            closing = shlex.join([sys.executable, *command])
            popen = subprocess.Popen(
                ["sh", "-c", f"exec {closing} <&- >&- 2>&-"],
                cwd=processes.ROOT,
                env=env,
            )
            self.addCleanup(popen.kill)
            names = {"gateway": "front", "store": "peer", "keeper": "control"}
            port = listeners[names.get(role, "admin")]
            self.wait_until_open(port)
            time.sleep(0.5)
            with socket.create_connection((self.ip, port), 1.0) as conn:
                conn.settimeout(0.3)
                self.assertRaises(TimeoutError, conn.recv, 1)
            popen.terminate()
            self.assertEqual(0, popen.wait(_TIMEOUT_S), role)


class UsageTest(_StartCase):
    """Starts that can't be mended by waiting."""

    def _check(self, code: int, reason: str, *args: str, **env: str) -> None:
        done = subprocess.run(
            [sys.executable, "platform", *args],
            cwd=processes.ROOT,
            env={"PYTHONPATH": str(processes.ROOT), **env},
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
        self.assertEqual(code, done.returncode, done.stderr)
        (line,) = done.stderr.splitlines()
        self.assertIn(reason, line)
        (ended,) = done.stdout.splitlines()
        self.assertEqual(code, json.loads(ended)["code"])

    def test_wrong_use_ends_with_one_line(self) -> None:
        """Guards against a traceback, or a keeper in place of another role."""
        for args in (("keeperr",), (), ("store", "store")):
            self._check(2, "argument", *args, CATKINPIN_NODE_FILE="x")
        self._check(2, "CATKINPIN_NODE_FILE", "store")

    def test_fault_of_the_program_ends_with_one_line(self) -> None:
        """Guards against an end without a line that names its kind."""
        (self.folder / "uvloop.py").write_text("raise RuntimeError('odd')")
        settings = self.settings("store", self.new_ports())
        self._check(
            1,
            "RuntimeError: odd",
            "store",
            CATKINPIN_NODE_FILE=str(settings),
            PYTHONPATH=f"{self.folder}:{processes.ROOT}",
        )


# Changes of valid settings that make them invalid.
_ODD_SETTINGS: tuple[tuple[str, str], ...] = (
    ("node_name =", "other_name ="),
    ("[bounds]", "[bound]"),
    ("[tolerate]", "[tolerates]"),
    ('node_name = "n"', "node_name = 7"),
    ('ip = "', 'ip = "a b'),
    ("port_range = [", "port_range = [] #"),
    ("port_range = [", "port_range = [true, "),
    ("port_range = [", "port_range = [0, "),
    ("port_range = [", "port_range = [70000, "),
    ("port_range = [", "port_range = [1.5, "),
    ("seeds = [", "seeds = [] #"),
    ("seeds = [", "seeds = [7, "),
    ("seeds = [", 'seeds = "x" #'),
    ("seeds = [", 'seeds = ["nowhere", '),
    ("seeds = [", 'seeds = ["127.0.0.1:²", '),
    ("seeds = [", f'seeds = ["127.0.0.1:{"9" * 5000}", '),
    ("data_dir = ", "data_dir = 7 #"),
    ("data_dir = ", 'data_dir = "" #'),
    ("data_dir = ", 'data_dir = "a\\u0000b" #'),
    ("bootstrap = true", "bootstrap = 1"),
    ("[zones]", "zones = 7\n[zone_map]"),
    ('a = "r"', "a = 7"),
    ("[listen]", "[[listen]]"),
    ('control = "', 'control = "nowhere" #'),
    ('control = "', "control = [7] #"),
    ("grace_s = 3.5", "grace_s = inf"),
    ("grace_s = 3.5", "grace_s = nan"),
    ("grace_s = 3.5", "grace_s = -1"),
    ("grace_s = 3.5", "grace_s = 1e308"),
    ("grace_s = 3.5", "grace_s = true"),
    ("grace_s = 3.5", 'grace_s = "8"'),
    ("grace_s = 3.5", f"grace_s = {'9' * 5000}"),
    ("grace_s = 3.5", "grace_s = 8\nquota_overage = 2"),
    ("grace_s = 3.5", "grace_s = 8\nquota_slack = -0.5"),
    ("grace_s = 3.5", "grace_s = 8\nquota_slack = inf"),
    ("machines = 1", "machines = -1"),
    ("machines = 1", "machines = 1e9999"),
    ("machines = 1", 'machines = "1"'),
    ("[zones]", "policies = 7\n[zones]"),
    ("[zones]", "policies = [[]]\n[zones]"),
    ("[zones]", f"deep = {'[' * 20_000}\n[zones]"),
    ("[zones]", f'large = "{"x" * 2_000_000}"\n[zones]'),
)
_READ_SETTINGS = """
import sys
sys.path.insert(0, "platform")
import nodefile, settings
from catkinpin.exceptions import SettingsError
try:
    node = nodefile.read("keeper")
    settings.for_keeper(node)
    print("valid")
except SettingsError as exc:
    print("invalid:", len(str(exc)) < 300 or exc)
"""


class SettingsTest(_StartCase):
    """Settings files that are incomplete or odd."""

    def _read(self, path: pathlib.Path) -> str:
        done = subprocess.run(
            [sys.executable, "-c", _READ_SETTINGS],
            cwd=processes.ROOT,
            env={
                "PYTHONPATH": str(processes.ROOT),
                "CATKINPIN_NODE_FILE": str(path),
            },
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
        return done.stdout.strip() or done.stderr[-300:]

    def test_every_odd_setting_is_found_at_the_border(self) -> None:
        """Guards against a value that raises far from the settings' reader."""
        path = self.settings("keeper", self.new_ports())
        valid = path.read_text()
        self.assertEqual("valid", self._read(path))
        for old, new in _ODD_SETTINGS:
            self.assertIn(old, valid)
            path.write_text(valid.replace(old, new, 1))
            self.assertEqual("invalid: True", self._read(path), new[:60])
        for data in (b"", b"\xff\xfe\x00", b'node_name = "', b"\0" * 500):
            path.write_bytes(data)
            self.assertEqual("invalid: True", self._read(path), str(data))
        path.unlink()
        self.assertEqual("invalid: True", self._read(path), "missing")
        path.mkdir()
        self.assertEqual("invalid: True", self._read(path), "a folder")

    def test_shortest_grace_period_is_valid(self) -> None:
        """Guards against a process that never starts as it may not drain."""
        path = self.settings("keeper", self.new_ports())
        path.write_text(
            path.read_text().replace("grace_s = 3.5", "grace_s = 0")
        )
        self.assertEqual("valid", self._read(path))

    def test_start_waits_for_valid_settings(self) -> None:
        """Guards against an end as settings are missing or half written."""
        for role in _ROLES:
            listeners = self.new_ports()
            path = self.settings(role, listeners)
            valid = path.read_text()
            path.unlink()
            process = self.start(role, listeners, path)
            self.assertIn("No such file", process.wait_for("waiting")["reason"])
            for part in (valid[:40], valid[:300], ""):
                path.write_text(part)
                time.sleep(0.1)
                self.assertIsNone(process.popen.poll(), process.text)
            path.write_text(valid)
            process.wait_for("start")

    def test_signal_ends_the_wait_for_settings(self) -> None:
        """Guards against a waiting process that only SIGKILL ends."""
        for number in _STOP_SIGNALS:
            process = self.start("store", None, self.folder / "missing.toml")
            process.wait_for("waiting")
            process.popen.send_signal(number)
            self.assertEqual(0, process.popen.wait(_TIMEOUT_S), process.text)
            self.assertEqual(1, len(process.lines("ended")))

    def test_wait_for_settings_is_bounded(self) -> None:
        """Guards against a start that waits for ever for odd settings."""

        def read() -> str:
            raise SettingsError("odd")

        exc = self.assertRaises(
            SettingsError, startup.wait_for_settings, read, 0.12
        )
        self.assertEqual("odd", str(exc))

    def test_odd_settings_in_a_reload_change_nothing(self) -> None:
        """Guards against a running process that odd settings end."""
        odd = [
            f"deep = {'[' * 20_000}",
            "",
            "\0\0",
            "half = ",
            'seeds = ["127.0.0.1:²"]',
        ]
        for role in _ROLES:
            listeners = self.new_ports()
            path = self.settings(role, listeners)
            valid = path.read_text()
            process = self.start(role, listeners, path)
            process.wait_for("start")
            for count, text in enumerate(odd, 1):
                path.write_text(text)
                process.popen.send_signal(signal.SIGHUP)
                self._wait_for_reloads(process, count)
            path.write_text(valid)
            process.popen.send_signal(signal.SIGHUP)
            process.popen.terminate()
            self.assertEqual(0, process.popen.wait(_TIMEOUT_S), process.text)

    def _wait_for_reloads(self, process: _Started, count: int) -> None:
        end_s = time.monotonic() + _TIMEOUT_S
        while len(process.lines("reload")) < count:
            self.assertIsNone(process.popen.poll(), process.text)
            self.assertLess(time.monotonic(), end_s, process.text)
            time.sleep(_POLL_INTERVAL_S)

    def test_letters_beyond_ascii_need_no_locale(self) -> None:
        """Guards against settings that are only read in a UTF-8 locale."""
        for role in _ROLES:
            listeners = self.new_ports()
            path = self.settings(role, listeners)
            text = path.read_text().replace('"n"', '"Zürich-ß"')
            folder = self.folder / f"{role}-data-é"
            text = text.replace("data_dir = ", f'data_dir = "{folder}" # ')
            path.write_text(text, encoding="utf-8")
            process = self.start(
                role,
                listeners,
                path,
                LC_ALL="C",
                PYTHONCOERCECLOCALE="0",
                PYTHONUTF8="0",
            )
            line = process.wait_for("start")
            self.assertEqual("Zürich-ß", line["process"])
            self.assertEqual(role != "gateway", folder.exists())


class _PowerLossError(Exception):
    """The host loses power."""


class _PowerLossOps:
    """File operations until a power loss, which empties files not synced."""

    def __init__(self, steps: int) -> None:
        self._steps = steps
        self._unsynced: set[str] = set()

    def ops(self) -> files.FileOps:
        return files.FileOps(
            pwrite=self._pwrite, fdatasync=self._sync, fsync=self._sync
        )

    def _step(self) -> None:
        self._steps -= 1
        if self._steps < 0:
            for path in self._unsynced:
                os.truncate(path, 0)
            raise _PowerLossError

    def _pwrite(self, fd: int, data: memoryview, offset: int) -> int:
        self._step()
        self._unsynced.add(os.readlink(f"/proc/self/fd/{fd}"))
        return os.pwrite(fd, data, offset)

    def _sync(self, fd: int) -> None:
        self._step()
        self._unsynced.discard(os.readlink(f"/proc/self/fd/{fd}"))
        os.fsync(fd)


def _fail_full(*_: object) -> int:
    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


# Runs a program one of whose file operations fails while a file exists.
_FAULTY_DISK = """
import os, runpy, sys
marker, operation, number, program = sys.argv[1:5]
original = getattr(os, operation)
def fail(*args, **kwargs):
    if os.path.exists(marker):
        raise OSError(int(number), os.strerror(int(number)))
    return original(*args, **kwargs)
setattr(os, operation, fail)
sys.argv[:5] = ["program"]
sys.path[0] = program
if program == "catkinpin":
    runpy.run_module(program, run_name="__main__", alter_sys=True)
else:
    runpy.run_path(program, run_name="__main__")
"""


class DiskTest(_StartCase):
    """Data folders that can't be used yet."""

    def _check_faulty(self, role: str, operation: str, number: int) -> None:
        """Checks that a process waits until its disk can be used again."""
        listeners = self.new_ports()
        script = self.folder / "faulty.py"
        script.write_text(_FAULTY_DISK)
        marker = self.folder / "faulty"
        marker.touch()
        words = [str(script), str(marker), operation, str(number)]
        env: dict[str, str] = {}
        if role in _ROLES:
            words += ["platform", role]
            path = self.settings(role, listeners)
            env["CATKINPIN_NODE_FILE"] = str(path)
        else:
            words += self._command(role, listeners)[1:]
        out = self.folder / f"{role}-{operation}-{number}.out"
        process = _Started(words, env, out, listeners)
        self.addCleanup(process.end)
        line = process.wait_for("waiting", "waiting for the data folder")
        self.assertIn(os.strerror(number), line["reason"])
        marker.unlink()
        process.wait_for(*_READY_LINES)
        process.popen.terminate()
        self.assertEqual(0, process.popen.wait(_TIMEOUT_S), process.text)

    def test_start_waits_for_a_full_disk(self) -> None:
        """Guards against a start that a disk full for a while ends."""
        for role in ("keeper", "store", "replica"):
            self._check_faulty(role, "pwrite", errno.ENOSPC)

    def test_start_waits_for_a_folder_that_cannot_be_made_yet(self) -> None:
        """Guards against an end as the disk isn't mounted or writable yet."""
        for role in ("keeper", "store", "replica"):
            for number in (errno.EROFS, errno.EACCES):
                self._check_faulty(role, "mkdir", number)

    def test_keeper_waits_for_a_folder_that_another_process_uses(self) -> None:
        """Guards against a successor that ends while its predecessor stops."""
        for role in ("keeper", "replica"):
            listeners = self.new_ports()
            folder = self.folder / f"{role}-{self._count}"
            folder.mkdir()
            with (folder / "lock").open("w") as lock:
                fcntl.flock(lock, fcntl.LOCK_EX)
                process = self.start(role, listeners)
                waiting = "waiting for the data folder"
                line = process.wait_for("waiting", waiting)
                self.assertIn("another process uses", line["reason"])
            process.wait_for(*_READY_LINES)

    def test_damaged_identity_ends_with_one_line(self) -> None:
        """Guards against a traceback, or a wait for what can't be mended."""
        for role in ("keeper", "store", "replica"):
            for data in ("", '{"version":1,"no'):
                listeners = self.new_ports()
                folder = self.folder / f"{role}-{self._count}"
                folder.mkdir()
                (folder / "identity.json").write_text(data)
                process = self.start(role, listeners)
                code = process.popen.wait(_TIMEOUT_S)
                self.assertEqual(3, code, process.text)
                (line,) = process.lines("ended")
                self.assertEqual("storage", line["outcome"])
                self.assertIn("identity.json", line["reason"])
                self.assertNotIn("Traceback", process.text)

    def test_power_loss_leaves_a_whole_identity(self) -> None:
        """Guards against an identity that a power loss leaves empty or cut."""
        is_done = False
        count = 0
        while not is_done:
            folder = self.folder / f"power-{count}"
            folder.mkdir()
            node = Identity(folder, files.FileOps()).node
            try:
                Identity(folder, _PowerLossOps(count).ops()).save_joining()
                is_done = True
            except (_PowerLossError, StorageError):
                count += 1
            self.assertEqual(node, Identity(folder, files.FileOps()).node)
        self.assertGreaterEqual(count, 3)

    def test_power_loss_before_the_first_identity_is_survived(self) -> None:
        """Guards against a first start whose rest prevents the next one."""
        for count in range(3):
            folder = self.folder / f"first-{count}"
            folder.mkdir()
            ops = _PowerLossOps(count).ops()
            self.assertRaises(_PowerLossError, Identity, folder, ops)
            self.assertTrue(Identity(folder, files.FileOps()).node)

    def test_full_disk_at_a_start_can_be_waited_for(self) -> None:
        """Guards against a start that a disk full for a while ends."""
        full = files.FileOps(pwrite=_fail_full)
        for make in (
            lambda ops: Storage(self.folder / "log", ops),
            lambda ops: Identity(self.folder, ops),
        ):
            exc = self.assertRaises(DiskFullError, make, full)
            self.assertTrue(files.is_temporary(exc))
            # The same process tries again, so the folder is locked no more.
            make(files.FileOps())

    def test_failed_attempts_leave_no_files(self) -> None:
        """Guards against a wait that fills the disk or uses up descriptors."""

        def fail(_: int) -> None:
            raise OSError(errno.EMFILE, os.strerror(errno.EMFILE))

        ops = files.FileOps(fsync=fail)
        turns = self.folder / "turns"
        before = len(os.listdir("/proc/self/fd"))
        for _ in range(3):
            self.assertRaises(UnavailableStorageError, TurnBytes, turns, ops)
            Storage(self.folder / "made").close()
            for path in (self.folder / "made/log").iterdir():
                path.unlink()
            log = segments.Segment
            path = self.folder / "made/log/00000001.segment"
            self.assertRaises(OSError, log, path, ops, True)
            self.assertEqual([], list((self.folder / "made/log").iterdir()))
        self.assertEqual([], list(turns.iterdir()))
        self.assertEqual(before, len(os.listdir("/proc/self/fd")))

    def test_errors_that_may_pass_are_told_apart(self) -> None:
        """Guards against a wait for a fault, and an end for a short lack."""
        for number in (errno.ENOSPC, errno.EROFS, errno.EACCES, errno.EMFILE):
            self.assertTrue(files.is_temporary(OSError(number, "")))
        for number in (errno.EIO, errno.ENOTDIR, errno.EEXIST, errno.EINVAL):
            self.assertFalse(files.is_temporary(OSError(number, "")))
        self.assertFalse(files.is_temporary(ValueError()))
