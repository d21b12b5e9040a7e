"""Starts of real processes that meet busy ports or odd arguments."""

from __future__ import annotations

import json
import shlex
import socket
import subprocess
import sys
import time

from tests import processes
from tests.fakes.startcase import (
    METRICS_PORT,
    READY_LINES,
    ROLES,
    TIMEOUT_S,
    StartCase,
)


class BusyPortTest(StartCase):
    """Ports that another process uses while a process starts."""

    def _check(self, role: str, port_name: str) -> None:
        listeners = self.new_ports()
        port = listeners[port_name]
        with self.held(port):
            process = self.start(role, listeners)
            waiting = f"port {self.ip}:{port}"
            line = process.wait_for("waiting", f"waiting for {waiting}")
            self.assertIn("in use", line["reason"])
        process.wait_for(*READY_LINES)
        self.wait_until_open(port)
        process.popen.terminate()
        self.assertEqual(0, process.popen.wait(TIMEOUT_S), process.text)

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
        for role in ROLES:
            with self.held(METRICS_PORT):
                process = self.start(role)
                process.wait_for("start")
                process.wait_for("waiting")
            self.wait_until_open(METRICS_PORT)
            process.popen.terminate()
            self.assertEqual(0, process.popen.wait(TIMEOUT_S), process.text)

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
                code = process.popen.wait(TIMEOUT_S)
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
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(
            ["False", "False", "127.0.0.1"], done.stdout.split(), done.stderr
        )


class StandardFilesTest(StartCase):
    """Standard files that are closed at a start."""

    def test_closed_standard_files_end_no_process(self) -> None:
        """Guards against an end, or log lines that go to a socket."""
        for role in (*ROLES, "entry", "replica"):
            listeners = self.new_ports()
            command = ["platform", role]
            env = {"PYTHONPATH": str(processes.ROOT)}
            if role in ROLES:
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
            self.assertEqual(0, popen.wait(TIMEOUT_S), role)


class UsageTest(StartCase):
    """Starts that can't be mended by waiting."""

    def _check(self, code: int, reason: str, *args: str, **env: str) -> None:
        done = subprocess.run(
            [sys.executable, "platform", *args],
            cwd=processes.ROOT,
            env={"PYTHONPATH": str(processes.ROOT), **env},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
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
