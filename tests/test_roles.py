"""Settings of gateways, keepers and stores."""

from __future__ import annotations

import pathlib
import subprocess
import sys

from catkinpin import roles
from catkinpin.exceptions import SettingsError
from tests import base, processes

_LOADED = """
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
    """What an operator who deploys them meets."""

    def test_every_problem_is_listed_at_once(self) -> None:
        """The platform's file has a wrong port, a negative time and no seeds.

        One start names all; nothing is served with half of them.
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
        """A library that one role needs is imported by all.

        Each of a hundred hosts pays for it in memory, and all callers wait
        longer after everything was restarted.
        """
        done = subprocess.run(
            [sys.executable, "-c", _LOADED],
            cwd=processes.ROOT,
            capture_output=True,
            text=True,
            timeout=60,
            check=True,
        )
        self.assertEqual("[]", done.stdout.strip())
