"""The build of the deploy file, beside starts and in carried-over folders."""

from __future__ import annotations

import os
import pathlib
import subprocess
import threading
import tomllib
import zipfile

from tests import base, processes

_BUILDS = 6


class BuildTest(base.TestCase):
    """Runs the build command in a small copy of the repository."""

    def setUp(self) -> None:
        super().setUp()
        self._root = pathlib.Path(self.folder) / "root"
        for folder in ("catkinpin/core", "platform", "deploy"):
            (self._root / folder).mkdir(parents=True)
        deploy = processes.ROOT / "deploy"
        for path in deploy.glob("*.*"):
            (self._root / "deploy" / path.name).write_bytes(path.read_bytes())
        (self._root / "deploy/requirements.txt").write_text("")
        self._write("platform/__main__.py", "print('a')\n")
        for number in range(200):
            self._write(f"catkinpin/core/m{number}.py", f"N = {number}\n")

    def _write(self, path: str, text: str) -> None:
        (self._root / path).write_text(text)

    def _build(self) -> int:
        text = (self._root / "deploy/system.toml").read_text()
        command = tomllib.loads(text)["build"]
        return subprocess.run(
            command, shell=True, cwd=self._root, capture_output=True
        ).returncode

    def test_program_is_complete_at_any_moment_of_a_build(self) -> None:
        """Guards against a process that does not start beside a build."""
        (self._root / "target/deps").mkdir(parents=True)
        (self._root / "target/deps/.built").touch()
        self.assertEqual(0, self._build())
        names = [f"target/deps/catkinpin/core/m{n}.py" for n in (0, 199)]
        names.append("target/platform/__main__.py")
        missing: list[str] = []
        done = threading.Event()

        def watch() -> None:
            while not done.is_set():
                missing.extend(
                    name for name in names if not (self._root / name).exists()
                )

        watcher = threading.Thread(target=watch)
        watcher.start()
        codes = []
        for number in range(_BUILDS):
            self._write("platform/__main__.py", f"print({number})\n")
            codes.append(self._build())
        done.set()
        watcher.join()
        self.assertEqual([0] * _BUILDS, codes)
        self.assertEqual([], missing[:3])

    def test_builds_at_once_leave_the_sources_as_they_are(self) -> None:
        """Guards against a build that copies into what another one copied."""
        (self._root / "target/deps").mkdir(parents=True)
        (self._root / "target/deps/.built").touch()
        self._write("platform/left.py", "")
        self.assertEqual(0, self._build())
        (self._root / "platform/left.py").unlink()
        self._write("platform/__main__.py", "print('b')\n")
        codes: list[int] = []
        builds = [
            threading.Thread(target=lambda: codes.append(self._build()))
            for _ in range(4)
        ]
        for build in builds:
            build.start()
        for build in builds:
            build.join()
        self.assertEqual([0] * 4, codes)
        built = self._root / "target/platform"
        sources = [path.name for path in built.rglob("*.py")]
        self.assertEqual(["__main__.py"], sources)
        self.assertEqual(
            b"b\n", subprocess.check_output(["python3", str(built)])
        )

    def test_dependencies_of_another_machine_are_installed_again(self) -> None:
        """Guards against a carried-over folder whose libraries don't load."""
        wheel = self._root / "tiny-1.0-py3-none-any.whl"
        with zipfile.ZipFile(wheel, "w") as file:
            info = "tiny-1.0.dist-info"
            file.writestr("tiny.py", "NAME = 'tiny'\n")
            file.writestr(
                f"{info}/METADATA",
                "Metadata-Version: 2.1\nName: tiny\nVersion: 1.0\n",
            )
            kind = "Wheel-Version: 1.0\nRoot-Is-Purelib: true\n"
            file.writestr(f"{info}/WHEEL", kind + "Tag: py3-none-any\n")
            file.writestr(f"{info}/RECORD", "")
        requirements = self._root / "deploy/requirements.txt"
        requirements.write_text(f"./{wheel.name}\n")
        os.utime(requirements, (1, 1))
        deps = self._root / "target/deps"
        deps.mkdir(parents=True)
        (deps / "tiny.py").write_text("raise ImportError('other machine')\n")
        (deps / ".built").touch()
        self.assertEqual(0, self._build())
        self.assertEqual("NAME = 'tiny'\n", (deps / "tiny.py").read_text())
