"""Signals to real processes while they start and stop."""

from __future__ import annotations

import contextlib
import os
import random
import signal
import subprocess
import sys
import sysconfig
import time
import tomllib

from tests import processes
from tests.fakes.startcase import (
    MAX_SIGNAL_DELAY_S,
    POLL_INTERVAL_S,
    ROLES,
    STOP_SIGNALS,
    TIMEOUT_S,
    StartCase,
    Started,
    wait_for_handlers,
)


class SignalTest(StartCase):
    """Signals at drawn moments of a start."""

    def _check(self, role: str, seed: int) -> None:
        draw = random.Random(seed)
        process = self.start(role)
        process.wait_for_handlers()
        end_s = time.monotonic() + draw.random() * MAX_SIGNAL_DELAY_S
        while time.monotonic() < end_s:
            process.popen.send_signal(signal.SIGHUP)
            time.sleep(draw.random() * 0.02)
        self.assertIsNone(process.popen.poll(), f"seed {seed}: {process.text}")
        # A second stop signal ends an entry or a replica at once with 5.
        count = 1 if role in ("entry", "replica") else 3
        for _ in range(count):
            process.popen.send_signal(draw.choice(STOP_SIGNALS))
            process.popen.send_signal(signal.SIGHUP)
        code = process.popen.wait(TIMEOUT_S)
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
        cases = [(role, "uvloop") for role in ROLES]
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
            code = process.popen.wait(TIMEOUT_S)
            self.assertEqual(0, code, process.text)
            (line,) = process.lines("ended")
            self.assertEqual("stopped-in-start", line["outcome"])
            self.assertNotIn("Traceback", process.text)

    def _wait_for_text(self, process: Started, text: str) -> None:
        end_s = time.monotonic() + TIMEOUT_S
        while text not in process.text:
            self.assertIsNone(process.popen.poll(), process.text)
            self.assertLess(time.monotonic(), end_s, process.text)
            time.sleep(POLL_INTERVAL_S)

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
        self.assertEqual(0, popen.wait(TIMEOUT_S))
        os.close(reader)
        os.close(writer)


class DeployedCommandTest(StartCase):
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
            process = Started(words[1:], env, out, listeners)
            self.addCleanup(process.end)
            process.wait_for("start")
            process.popen.terminate()
            self.assertEqual(0, process.popen.wait(TIMEOUT_S), process.text)

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
            timeout=TIMEOUT_S,
            check=True,
        )
        self.assertEqual("[]", done.stdout.strip())
