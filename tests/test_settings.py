"""Settings, as an operator who starts a process meets them."""

from __future__ import annotations

import os
import subprocess
import sys

from tests import base, processes

_USAGE = 2
_SLOW_S = 30


class SettingsTest(base.TestCase):
    """Flags and environment variables, checked together."""

    def _start(self, *args: str, **env: str) -> tuple[int, str]:
        done = subprocess.run(
            [sys.executable, "-m", "catkinpin", *args],
            cwd=processes.ROOT,
            env={**os.environ, **env},
            capture_output=True,
            text=True,
            timeout=_SLOW_S,
            check=False,
        )
        return done.returncode, done.stderr

    def test_every_problem_is_listed_with_flag_variable_and_value(self) -> None:
        """An operator mistypes two flags and a variable, and forgets one.

        One start names all four; nothing is served with half of them.
        """
        code, text = self._start(
            "entry", "--listen", "foo", "--shards", "0",
            CATKINPIN_STOP_TIMEOUT_MS="-5",
        )  # fmt: skip
        self.assertEqual(_USAGE, code)
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
        code, text = self._start("replica", "--data-foldr", "x")
        self.assertNotEqual(0, code)
        self.assertIn("--data-foldr", text)
