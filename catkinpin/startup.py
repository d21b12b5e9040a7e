"""What a process does before its libraries are loaded.

This module is imported before any other, so that the default actions of
signals hold as briefly as possible. It imports only what loads in a
millisecond.
"""

from __future__ import annotations

# The module `signal` needs `enum`, which takes longer to load than the rest
# of the interpreter's start.
import _signal  # type: ignore[import-not-found]
import os
import select
import time

from catkinpin.exceptions import SettingsError

TYPE_CHECKING = False
if TYPE_CHECKING:
    from collections.abc import Callable
    from types import FrameType
    from typing import Any, NoReturn, TypeVar

    _T = TypeVar("_T")

_NS_PER_MS = 1_000_000
_MS_PER_S = 1_000

# Read when this package is imported, before any slow import.
BEGAN_MS = time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS

STDIN_FD = 0
STDOUT_FD = 1
STDERR_FD = 2

# How long a start waits for valid settings, and how often it tries and says
# what it waits for.
SETTINGS_WAIT_S = 30.0
RETRY_INTERVAL_S = 0.05
WAIT_LINE_INTERVAL_S = 5.0

_STOP_SIGNALS = {_signal.SIGTERM: "SIGTERM", _signal.SIGINT: "SIGINT"}


def handle_signals(out_fd: int = STDOUT_FD) -> None:
    """Handles signals until the event loop does.

    SIGHUP is ignored, since its default action would end the process. SIGTERM
    and SIGINT end it with 0 at once: nothing is served yet, and an exception
    could be raised inside of any import.

    Args:
        out_fd: where the line about the end is written.
    """

    def end(signum: int, _: FrameType | None) -> None:
        line = (
            f'{{"at_ms":{time.time_ns() // _NS_PER_MS},"process":"",'
            f'"decision":"ended","outcome":"stopped-in-start","code":0,'
            f'"reason":"{_STOP_SIGNALS[signum]} during the start"}}\n'
        )
        _write(out_fd, line.encode())
        os._exit(0)

    _signal.signal(_signal.SIGHUP, _signal.SIG_IGN)
    for signum in _STOP_SIGNALS:
        _signal.signal(signum, end)


def open_standard_files() -> None:
    """Opens standard input, output and error if they are closed.

    Otherwise a socket would get the number of one of them, and lines of the
    log would be sent to another process.
    """
    for fd in (STDIN_FD, STDOUT_FD, STDERR_FD):
        try:
            os.fstat(fd)
        except OSError:
            # The lowest free number is the one that is closed.
            os.open(os.devnull, os.O_RDWR)


def _write(fd: int, line: bytes) -> None:
    """Writes a line, unless it would block as nobody reads the pipe."""
    try:
        if select.select([], [fd], [], 0)[1]:
            os.write(fd, line)
    except (OSError, ValueError):
        return


def write_line(decision: str, **fields: Any) -> None:
    """Writes a decision line before `decisions` is loaded."""
    import json

    line = {"at_ms": time.time_ns() // _NS_PER_MS, "process": ""}
    text = json.dumps({**line, "decision": decision, **fields})
    _write(STDOUT_FD, text.encode() + b"\n")


def end_process(code: int, outcome: str, reason: str) -> NoReturn:
    """Says in one line why the process can't go on, and ends it.

    Args:
        code: the exit code.
        outcome: the kind of end.
        reason: what can't be mended.
    """
    write_line("ended", outcome=outcome, code=code, reason=reason)
    text = " ".join(f"{outcome}: {reason}".split())
    _write(STDERR_FD, text.encode("ascii", "backslashreplace") + b"\n")
    os._exit(code)


def wait_for_settings(
    read: Callable[[], _T], wait_s: float = SETTINGS_WAIT_S
) -> _T:
    """Reads the settings again until they are valid.

    A file may be missing or incomplete while it is being written.

    Args:
        read: returns the settings.
        wait_s: longest wait.

    Raises:
        SettingsError: they are still invalid after `wait_s`.
    """
    began_s = next_line_s = time.monotonic()
    while True:
        try:
            return read()
        except SettingsError as exc:
            now_s = time.monotonic()
            if now_s - began_s >= wait_s:
                raise
            if now_s >= next_line_s:
                next_line_s = now_s + WAIT_LINE_INTERVAL_S
                write_line(
                    "waiting",
                    resource="settings",
                    reason=str(exc),
                    waited_ms=int((now_s - began_s) * _MS_PER_S),
                )
        time.sleep(RETRY_INTERVAL_S)
