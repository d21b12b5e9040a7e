"""Command-line flags and environment variables of a process."""

from __future__ import annotations

import os
import subprocess
import sys

from tests import base, processes

_EXIT_USAGE = 2
_TIMEOUT_S = 30


class SettingsTest(base.TestCase):
    """Flags and environment variables are validated together."""

    def _run(self, *args: str, **env: str) -> tuple[int, str]:
        completed = subprocess.run(
            [sys.executable, "-m", "catkinpin", *args],
            cwd=processes.ROOT,
            env={**os.environ, **env},
            capture_output=True,
            text=True,
            timeout=_TIMEOUT_S,
            check=False,
        )
        return completed.returncode, completed.stderr

    def test_every_problem_is_listed_with_flag_variable_and_value(self) -> None:
        """Guards against a start that reports only the first invalid setting.

        Two flags and a variable are invalid and a required flag is missing.
        All four are listed, and the process does not start.
        """
        code, text = self._run(
            "entry", "--listen", "foo", "--shards", "0",
            CATKINPIN_STOP_TIMEOUT_MS="-5",
        )  # fmt: skip
        self.assertEqual(_EXIT_USAGE, code)
        self.assertIn("4 invalid settings", text)
        for flag, value in (
            ("--listen (CATKINPIN_LISTEN)", "'foo'"),
            ("--shards (CATKINPIN_SHARDS)", "'0'"),
            ("--stop-timeout-ms (CATKINPIN_STOP_TIMEOUT_MS)", "'-5'"),
            ("--replicas (CATKINPIN_REPLICAS)", "[]"),
        ):
            self.assertIn(flag, text)
            self.assertIn(f"got {value}", text)

    def test_an_unknown_flag_is_named(self) -> None:
        code, text = self._run("replica", "--data-foldr", "x")
        self.assertNotEqual(0, code)
        self.assertIn("--data-foldr", text)
