"""Runs a process until a signal stops it."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import TYPE_CHECKING, NoReturn, Protocol

import uvloop

from catkinpin import exits, logs, tracing, waiting
from catkinpin.adapters import startstop, tasks
from catkinpin.exceptions import (
    SettingsError,
    StopTimeoutError,
    StorageError,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.settings import ProcessSettings

log = logging.getLogger(__name__)

EXIT_OK = exits.OK
EXIT_FAILED = exits.FAILED
EXIT_STORAGE_ERROR = exits.STORAGE_ERROR
EXIT_STOP_TIMEOUT = exits.STOP_TIMEOUT
EXIT_FORCED_STOP = exits.FORCED_STOP


class Stoppable(Protocol):
    """A process that can be started and gracefully stopped."""

    async def start(self) -> None:
        """Starts serving."""

    async def stop(self) -> None:
        """Finishes the work in flight and closes.

        Raises:
            StopTimeoutError: the stop timed out; remaining work was aborted.
        """


def run(cfg: ProcessSettings, create_process: Callable[[], Stoppable]) -> None:
    """Serves until SIGTERM or SIGINT, then stops gracefully and exits."""
    logs.set_up(cfg.log_level, cfg.name)
    try:
        tracing.set_up(cfg.trace_file, cfg.name)
    except OSError as exc:
        # The process serves without spans.
        log.error("no spans are written: %s", exc)
    uvloop.run(_run_to_end(cfg, create_process))


async def _run_to_end(
    cfg: ProcessSettings, create_process: Callable[[], Stoppable]
) -> NoReturn:
    """Serves until a stop signal, and exits in each case.

    The process exits here, as signals would have their default actions while
    the interpreter shuts down.
    """
    try:
        outcome = await _serve(cfg, create_process)
    except StopTimeoutError as exc:
        exits.end_process(EXIT_STOP_TIMEOUT, "cut", str(exc))
    except SettingsError as exc:
        exits.end_process(exits.USAGE_ERROR, "settings", str(exc))
    except StorageError as exc:
        exits.end_process(EXIT_STORAGE_ERROR, "storage", str(exc))
    except Exception as exc:
        exits.end_process(EXIT_FAILED, "fault", tasks.brief(exc))
    exits.end_process(EXIT_OK, outcome, "")


async def _serve(
    cfg: ProcessSettings, create_process: Callable[[], Stoppable]
) -> str:
    """Serves until a stop signal; returns the kind of end."""
    loop = asyncio.get_running_loop()
    # The port comes first: while a predecessor has it, the data may change.
    await waiting.reserve_port(cfg.peer_listen)
    process = await startstop.create_when_possible(
        "the data folder", create_process
    )
    # Until here, `startup` ends the process at a stop signal.
    stop = asyncio.Event()

    def handle_stop_signal() -> None:
        if stop.is_set():
            # A second signal means: don't wait for work in flight any longer.
            exits.end_process(
                EXIT_FORCED_STOP, "forced", "a second stop signal"
            )
        stop.set()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, handle_stop_signal)
    loop.add_signal_handler(signal.SIGHUP, _log_ignored_reload)
    try:
        if not await startstop.start_unless_stopped(process.start(), stop):
            return "stopped-in-start"
        await stop.wait()
        await process.stop()
        return "stopped"
    finally:
        _ignore_signals()


def _ignore_signals() -> None:
    """Makes signals harmless until the process has exited.

    A signal would make a clean stop look like a failure. The handlers are
    replaced, as removing one restores the default action for a moment, and not
    by SIG_IGN, as the interpreter reports a pending signal that it ignores.
    """
    for signum in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(signum, lambda *_: None)


def _log_ignored_reload() -> None:
    log.info("ignored SIGHUP: settings are read only at the start")
