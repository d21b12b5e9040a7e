"""Child processes that tests start."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
_STOP_TIMEOUT_S = 15.0


def handle_interrupts() -> None:
    """Lets the processes that are started from now on be interrupted.

    A shell starts its background jobs with SIGINT ignored. Their processes
    inherit that, and would lose a SIGINT that arrives before they handle it.
    """
    if signal.getsignal(signal.SIGINT) is signal.SIG_IGN:
        signal.signal(signal.SIGINT, signal.default_int_handler)


class Process:
    """A child process that runs a Python module.

    Attributes:
        log: file to which its output is appended.
    """

    def __init__(self, module: str, args: list[str], log: pathlib.Path) -> None:
        self._command = [sys.executable, "-m", *module.split(), *args]
        self.log = log
        self._popen: subprocess.Popen[bytes] | None = None
        self.start()

    def start(self) -> None:
        """Starts the process; a restart uses the same arguments."""
        handle_interrupts()
        with self.log.open("ab") as log_file:
            self._popen = subprocess.Popen(
                self._command, stdout=log_file, stderr=log_file, cwd=ROOT
            )

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._popen is not None
        return self._popen.pid

    def exit_code(self) -> int | None:
        """Returns the exit code, or None while the process runs."""
        assert self._popen is not None
        return self._popen.poll()

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        os.kill(self.pid, number)

    def kill(self) -> None:
        """Kills the running process and waits until it has exited."""
        assert self._popen is not None
        self._popen.kill()
        self._popen.wait()

    def stop(self) -> int:
        """Sends SIGTERM and returns the exit code.

        Continues the process first, as a stopped one would not handle it.

        Raises:
            subprocess.TimeoutExpired: the process did not exit in time; it
                has been killed.
        """
        assert self._popen is not None
        if self._popen.poll() is None:
            self._popen.send_signal(signal.SIGCONT)
            self._popen.terminate()
        try:
            return self._popen.wait(_STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self.kill()
            raise

    def wait(self) -> int:
        """Waits until the process has exited and returns its exit code."""
        assert self._popen is not None
        return self._popen.wait(_STOP_TIMEOUT_S)

    def end(self) -> None:
        """Kills the process if it still runs, and waits until it has exited."""
        assert self._popen is not None
        if self._popen.poll() is None:
            self._popen.kill()
        self._popen.wait()
