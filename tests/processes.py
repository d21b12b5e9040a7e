"""Child processes of a test."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
_STOP_S = 15.0


class Process:
    """A child process that ends with the test."""

    def __init__(self, module: str, args: list[str], log: pathlib.Path) -> None:
        self._command = [sys.executable, "-m", *module.split(), *args]
        self.log = log
        self._popen: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Starts the process, or starts it again with the same arguments."""
        with self.log.open("ab") as out:
            self._popen = subprocess.Popen(
                self._command, stdout=out, stderr=out, cwd=ROOT
            )

    @property
    def pid(self) -> int:
        """Id of the running process."""
        assert self._popen is not None
        return self._popen.pid

    def exit_code(self) -> int | None:
        """Returns the exit code, None while the process runs."""
        assert self._popen is not None
        return self._popen.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """Kills the process and waits until it is gone."""
        assert self._popen is not None
        self._popen.kill()
        self._popen.wait()

    def stop(self) -> int:
        """Stops the process gracefully and returns its exit code."""
        assert self._popen is not None
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.terminate()
        try:
            return self._popen.wait(_STOP_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def wait(self) -> int:
        """Waits until the process has ended and returns its exit code."""
        assert self._popen is not None
        return self._popen.wait(_STOP_S)

    def end(self) -> None:
        """Ends the process in whatever state it is."""
        assert self._popen is not None
        if self._popen.poll() is None:
            self._popen.kill()
        self._popen.wait()
