"""Runs a process until it is asked to stop."""

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
        """Begins to serve."""

    async def stop(self) -> None:
        """Finishes what is in flight and closes.

        Raises:
            StopTimeoutError: it took too long; the rest was cut off.
        """


def run(cfg: ProcessSettings, make: Callable[[], Stoppable]) -> None:
    """Serves until SIGTERM or SIGINT, then stops gracefully and exits."""
    logs.set_up(cfg.log_level, cfg.name)
    tracing.set_up(cfg.trace_file, cfg.name)
    try:
        uvloop.run(_serve(make))
    except StopTimeoutError as exc:
        log.error("%s", exc)
        sys.exit(EXIT_STOP_TIMEOUT)
    except CatkinpinError as exc:
        log.critical("%s", exc)
        sys.exit(EXIT_STORAGE_ERROR)


async def _serve(make: Callable[[], Stoppable]) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()

    def signalled() -> None:
        if stop.is_set():
            # Whoever asks twice no longer wants to wait for what is in flight.
            log.error("asked to stop again; ending at once")
            os._exit(EXIT_FORCED_STOP)
        stop.set()

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, signalled)
    loop.add_signal_handler(signal.SIGHUP, _note_reload)
    process = make()
    try:
        await process.start()
        await stop.wait()
        await process.stop()
    finally:
        _ignore_signals(loop)


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores signals from here to the end of the process.

    The loop restores their defaults as it closes. One that came while the
    interpreter ends would turn an orderly stop into one that looks failed.
    """
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _note_reload() -> None:
    log.info("SIGHUP changes nothing: settings are read at the start")
