"""Settings of gateways, keepers and stores."""

from __future__ import annotations

import json
import os
import pathlib
import signal
import subprocess
import sys

from catkinpin import roles
from catkinpin.adapters import running
from catkinpin.core.tolerance import Tolerance
from catkinpin.exceptions import SettingsError
from catkinpin.roles import ReloadedSettings
from tests import base, processes

_TIMEOUT_S = 10.0
_NEW_SEEDS = ["127.0.0.1:2"]
_PRINT_SIGHUP_HANDLING = """
import signal, sys
from catkinpin import __main__ as programs
loaded = [name for name in ("pydantic", "cyclopts") if name in sys.modules]
sys.argv = ["catkinpin-{program}", "--version"]
try:
    programs.{program}()
except SystemExit:
    pass
print(loaded, signal.getsignal(signal.SIGHUP) is signal.SIG_IGN)
"""
_NODE_FILE = """
node_name = "n"
ip = "127.0.0.1"
zone = "a"
region = "r"
port_range = [1, 1]
seeds = ["127.0.0.1:1"]
data_dir = "{folder}"
bootstrap = true
[zones]
a = "r"
[listen]
control = "127.0.0.1:1"
[limits]
memory_mb = 200
[tolerate]
machines = 1
zones = 0
regions = 0
[bounds]
grace_s = 8
"""
_PRINT_LOADED_LIBRARIES = """
import sys
sys.path.insert(0, "platform")
import control, names, nodefile, settings
from catkinpin.adapters import running
from catkinpin.adapters.gateway import process as gateway
from catkinpin.adapters.keeper import process as keeper
from catkinpin.adapters.store import process as store
print([n for n in ("pydantic", "sanic", "aiohttp", "grpc") if n in sys.modules])
"""


class RolesTest(base.TestCase):
    """Validation of settings, and the memory that the processes take."""

    def test_every_problem_is_listed_at_once(self) -> None:
        """Guards against a start that reports only the first invalid setting.

        The platform's file has an invalid port, an address without a port, a
        negative timeout and no seeds.
        """
        exc = self.assertRaises(
            SettingsError,
            roles.GatewaySettings,
            listen="10.0.0.1:70000",
            ready_listen="nowhere",
            stop_timeout_ms=-5,
            seeds=[],
        )
        text = str(exc)
        self.assertIn("4 invalid settings", text)
        for name in ("listen", "ready_listen", "stop_timeout_ms", "seeds"):
            self.assertIn(f"  {name}: ", text)
        self.assertIn("got '10.0.0.1:70000'", text)

    def test_settings_without_a_problem_are_taken(self) -> None:
        cfg = roles.KeeperSettings(
            seeds=["10.0.0.1:65535", "[::1]:80"],
            data_folder=pathlib.Path("x"),
            metrics_listen="",
        )
        self.assertEqual(pathlib.Path("x"), cfg.data_folder)

    def test_these_processes_load_no_heavy_library(self) -> None:
        """Guards against an import that brings a heavy library into all roles.

        It would take memory on each of a hundred hosts, and callers would
        wait longer after a restart of the whole system.
        """
        completed = subprocess.run(
            [sys.executable, "-c", _PRINT_LOADED_LIBRARIES],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual("[]", completed.stdout.strip())


class DataFolderTest(base.TestCase):
    """A data folder that can't be used."""

    def test_unusable_data_folder_ends_with_one_line(self) -> None:
        """Guards against a traceback instead of a line that names the path."""
        file = self.folder / "file"
        file.touch()
        for role in ("keeper", "store"):
            settings = self.folder / f"{role}.toml"
            settings.write_text(_NODE_FILE.format(folder=file / "data"))
            completed = subprocess.run(
                [sys.executable, "platform", role],
                cwd=processes.ROOT,
                env={
                    "PYTHONPATH": str(processes.ROOT),
                    "CATKINPIN_NODE_FILE": str(settings),
                },
                capture_output=True,
                text=True,
                timeout=_TIMEOUT_S,
            )
            self.assertEqual(3, completed.returncode, completed.stderr)
            (line,) = completed.stderr.splitlines()
            self.assertIn(f"{file}/data", line)


class ReloadSignalTest(base.TestCase):
    """A reload signal that arrives before a process can handle it."""

    def test_signal_during_a_start_does_not_end_the_process(self) -> None:
        """Guards against SIGHUP's default action while settings are read."""
        settings = self.folder / "node.toml"
        os.mkfifo(settings)
        process = subprocess.Popen(
            [sys.executable, "platform", "store"],
            cwd=processes.ROOT,
            env={
                "PYTHONPATH": str(processes.ROOT),
                "CATKINPIN_NODE_FILE": str(settings),
            },
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.kill)
        # Blocks until the process opens the FIFO to read its settings.
        with settings.open("w") as out:
            process.send_signal(signal.SIGHUP)
            out.write("no settings")
        assert process.stdout is not None
        line = json.loads(process.stdout.readline())
        self.assertEqual("waiting", line["decision"])
        self.assertIn("Expected '='", line["reason"])
        # It reads again, so it opens the FIFO once more.
        with settings.open("w"):
            process.send_signal(signal.SIGHUP)
        process.terminate()
        self.assertEqual(0, process.wait(_TIMEOUT_S))

    def test_entries_and_replicas_ignore_it_before_they_load(self) -> None:
        """Guards against SIGHUP's default action while libraries load."""
        for program in ("entry", "replica"):
            completed = subprocess.run(
                [
                    sys.executable,
                    "-c",
                    _PRINT_SIGHUP_HANDLING.format(program=program),
                ],
                cwd=processes.ROOT,
                capture_output=True,
                text=True,
                check=True,
            )
            self.assertEqual("[] True", completed.stdout.splitlines()[-1])


class _RecordingProcess:
    """A process that only records the seeds that it is given."""

    def __init__(self) -> None:
        self.seeds: list[str] = []
        self.tolerance = Tolerance()

    async def start(self) -> None:
        """Does nothing."""

    async def stop(self) -> None:
        """Does nothing."""

    def set_seeds(self, seeds: list[str]) -> None:
        """Records the new seeds."""
        self.seeds = seeds

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Records the new tolerance."""
        self.tolerance = tolerance


class ReloadTest(base.TestCase):
    """Settings that change while a process starts."""

    def test_seeds_that_changed_during_the_start_are_taken(self) -> None:
        """Guards against seeds that are reloaded but not applied."""
        process = _RecordingProcess()
        reloader = running.SettingsReloader(
            process,
            ReloadedSettings(seeds=["127.0.0.1:1"]),
            lambda: ReloadedSettings(seeds=_NEW_SEEDS),
        )
        reloader.reload()
        self.assertEqual(_NEW_SEEDS, process.seeds)

    def test_losses_that_must_be_survived_change_without_a_restart(
        self,
    ) -> None:
        """Guards against copies in one failure domain until the next start."""
        process = _RecordingProcess()
        tolerance = Tolerance(hosts=1, domains=1)
        reloader = running.SettingsReloader(
            process,
            ReloadedSettings(seeds=_NEW_SEEDS, tolerance=Tolerance(hosts=1)),
            lambda: ReloadedSettings(seeds=_NEW_SEEDS, tolerance=tolerance),
        )
        reloader.reload()
        self.assertEqual(tolerance, process.tolerance)
