"""Runs a process until a signal stops it."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING, Protocol

import uvloop

from catkinpin import exits, logs, tracing
from catkinpin.exceptions import CatkinpinError, StopTimeoutError

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
    tracing.set_up(cfg.trace_file, cfg.name)
    try:
        uvloop.run(_serve(create_process))
    except StopTimeoutError as exc:
        log.error("%s", exc)
        sys.exit(EXIT_STOP_TIMEOUT)
    except CatkinpinError as exc:
        log.critical("%s", exc)
        sys.exit(EXIT_STORAGE_ERROR)


async def _serve(create_process: Callable[[], Stoppable]) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()

    def handle_stop_signal() -> None:
        if stop.is_set():
            # A second signal means: don't wait for work in flight any longer.
            log.error("second stop signal; exiting immediately")
            os._exit(EXIT_FORCED_STOP)
        stop.set()

    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, handle_stop_signal)
    loop.add_signal_handler(signal.SIGHUP, _log_ignored_reload)
    process = create_process()
    try:
        await process.start()
        await stop.wait()
        await process.stop()
    finally:
        _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores signals until the process has exited.

    The event loop restores their default actions when it closes. A signal
    during interpreter shutdown would make a clean stop look like a failure.
    They are blocked meanwhile, as removing a handler also restores the default.
    """
    signums = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    signal.pthread_sigmask(signal.SIG_BLOCK, signums)
    for signum in signums:
        loop.remove_signal_handler(signum)
        signal.signal(signum, signal.SIG_IGN)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, signums)


def _log_ignored_reload() -> None:
    log.info("ignored SIGHUP: settings are read only at the start")
