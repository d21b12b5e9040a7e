"""Settings files of real processes that are incomplete or odd."""

from __future__ import annotations

import signal
import subprocess
import sys
import time
from typing import TYPE_CHECKING

from catkinpin import startup
from catkinpin.exceptions import (
    SettingsError,
)
from tests import processes
from tests.fakes.startcase import (
    POLL_INTERVAL_S,
    ROLES,
    STOP_SIGNALS,
    TIMEOUT_S,
    StartCase,
    Started,
)

if TYPE_CHECKING:
    import pathlib

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


class SettingsTest(StartCase):
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
            timeout=TIMEOUT_S,
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
        for role in ROLES:
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
        for number in STOP_SIGNALS:
            process = self.start("store", None, self.folder / "missing.toml")
            process.wait_for("waiting")
            process.popen.send_signal(number)
            self.assertEqual(0, process.popen.wait(TIMEOUT_S), process.text)
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
        for role in ROLES:
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
            self.assertEqual(0, process.popen.wait(TIMEOUT_S), process.text)

    def _wait_for_reloads(self, process: Started, count: int) -> None:
        end_s = time.monotonic() + TIMEOUT_S
        while len(process.lines("reload")) < count:
            self.assertIsNone(process.popen.poll(), process.text)
            self.assertLess(time.monotonic(), end_s, process.text)
            time.sleep(POLL_INTERVAL_S)

    def test_letters_beyond_ascii_need_no_locale(self) -> None:
        """Guards against settings that are only read in a UTF-8 locale."""
        for role in ROLES:
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
