"""Runs gateways, keepers and stores, and reloads their settings."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from typing import TYPE_CHECKING, NoReturn, Protocol

import uvloop

from catkinpin import clock, decisions, exits, metrics, waiting
from catkinpin.adapters import startstop, tasks
from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.http.server import HttpServer
from catkinpin.exceptions import StorageError
from catkinpin.roles import ReloadedSettings

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.gateway.headers import HeaderCodec
    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.adapters.keeper.process import ControlHandler
    from catkinpin.core.tolerance import Tolerance
    from catkinpin.roles import (
        GatewaySettings,
        KeeperSettings,
        RoleSettings,
        StoreSettings,
    )

log = logging.getLogger(__name__)

# Settings may change without a signal, and reading a small file is cheap.
_RELOAD_INTERVAL_S = 2.0
_MS_PER_S = 1_000


class ReloadableProcess(Protocol):
    """A process of which some settings can change while it runs."""

    async def start(self) -> None:
        """Starts to serve."""

    async def stop(self) -> None:
        """Finishes the requests in flight and closes."""

    def set_seeds(self, seeds: list[str]) -> None:
        """Replaces the seeds."""

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Replaces the losses that stored data must survive."""


def run_gateway(
    cfg: GatewaySettings,
    regions: dict[str, str],
    codec: HeaderCodec,
    read_settings: Callable[[], ReloadedSettings],
) -> None:
    """Runs a gateway until it is asked to stop.

    Args:
        cfg: the settings.
        regions: region of each failure domain.
        codec: translates the headers of requests and answers.
        read_settings: returns what may have changed in the settings.
    """
    from catkinpin.adapters.gateway.process import Gateway

    _run_process(cfg, lambda: Gateway(cfg, regions, codec), read_settings)


def run_keeper(
    cfg: KeeperSettings,
    regions: dict[str, str],
    control: ControlHandler,
    read_settings: Callable[[], ReloadedSettings],
) -> None:
    """Runs a keeper until it is asked to stop.

    Args:
        cfg: the settings.
        regions: region of each failure domain.
        control: returns the HTTP handler of calls by servers and operators.
        read_settings: returns what may have changed in the settings.
    """
    from catkinpin.adapters.keeper.process import Keeper

    _run_process(cfg, lambda: Keeper(cfg, regions, control), read_settings)


def run_store(
    cfg: StoreSettings, read_settings: Callable[[], ReloadedSettings]
) -> None:
    """Runs a store until it is asked to stop.

    Args:
        cfg: the settings.
        read_settings: returns what may have changed in the settings.
    """
    from catkinpin.adapters.store.process import Store

    _run_process(cfg, lambda: Store(cfg), read_settings)


def _run_process(
    cfg: RoleSettings,
    make_process: Callable[[], ReloadableProcess],
    read_settings: Callable[[], ReloadedSettings],
) -> None:
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    decisions.set_up(cfg.name)
    # The loaded modules are never freed, so garbage collections skip them.
    gc.freeze()
    gc.enable()
    uvloop.run(_run_to_end(cfg, make_process, read_settings))


async def _run_to_end(
    cfg: RoleSettings,
    make_process: Callable[[], ReloadableProcess],
    read_settings: Callable[[], ReloadedSettings],
) -> NoReturn:
    """Serves until a stop signal, and exits in each case.

    The process exits here because the event loop restores the signals' default
    actions when it closes, and a regular shutdown of the interpreter would only
    use up the stop timeout.
    """
    try:
        await _serve(cfg, make_process, read_settings)
    except StorageError as exc:
        exits.end_process(exits.STORAGE_ERROR, "storage", str(exc))
    except Exception as exc:
        exits.end_process(exits.FAILED, "fault", tasks.brief(exc))
    exits.end_process(exits.OK, "stopped", "")


async def _serve(
    cfg: RoleSettings,
    make_process: Callable[[], ReloadableProcess],
    read_settings: Callable[[], ReloadedSettings],
) -> None:
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(tasks.log_loop_error)
    loaded_ms = _age_ms()
    process = await _make_when_possible(cfg, make_process)
    # Until here, `startup` ends the process at a stop signal.
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    decisions.note("loaded", "", loaded_ms=loaded_ms, made_ms=_age_ms())
    # Nothing depends on the metrics, so nothing waits for their port.
    metrics_task = asyncio.create_task(_serve_metrics(cfg.metrics_listen))
    if not await startstop.start_unless_stopped(process.start(), stop):
        exits.end_process(exits.OK, "stopped-in-start", "")
    in_force = ReloadedSettings(seeds=cfg.seeds, tolerance=cfg.tolerance)
    reloader = SettingsReloader(process, in_force, read_settings)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    while not stop.is_set():
        try:
            async with asyncio.timeout(_RELOAD_INTERVAL_S):
                await stop.wait()
        except TimeoutError:
            reloader.reload()
    metrics_task.cancel()
    try:
        async with asyncio.timeout(cfg.stop_timeout_ms / _MS_PER_S):
            await process.stop()
    except TimeoutError:
        decisions.note("stopped", "", outcome="cut", reason="took too long")
        exits.end_process(exits.STOP_TIMEOUT, "cut", "the stop took too long")


async def _make_when_possible(
    cfg: RoleSettings, make_process: Callable[[], ReloadableProcess]
) -> ReloadableProcess:
    """Creates the process; waits while its port or its disk can't be used.

    The port comes first: while a predecessor has it, the data may change.
    """
    if not hasattr(cfg, "data_folder"):
        return make_process()
    await waiting.reserve_port(cfg.peer_listen)
    return await startstop.create_when_possible(
        f"folder {cfg.data_folder}", make_process
    )


async def _serve_metrics(address: str) -> None:
    if address:
        await HttpServer(_answer_metrics).start(address)


def _age_ms() -> int:
    """Returns the time since this process started."""
    return clock.since_boot_ms() - clock.process_start_ms()


async def _answer_metrics(request: Request, responder: Responder) -> None:
    headers = Headers([(b"Content-Type", b"text/plain; version=0.0.4")])
    responder.answer(200, headers, metrics.exposition())


class SettingsReloader:
    """Passes changed settings to a process.

    Args:
        process: gets the settings.
        in_force: what it was started with.
        read_settings: returns what may have changed in the settings.
    """

    def __init__(
        self,
        process: ReloadableProcess,
        in_force: ReloadedSettings,
        read_settings: Callable[[], ReloadedSettings],
    ) -> None:
        self._process = process
        self._read_settings = read_settings
        self._in_force = in_force
        self._kept_reason = ""

    def reload(self) -> None:
        """Reads the settings; keeps those in force if they can't be read."""
        try:
            new = self._read_settings()
        except Exception as exc:
            # Whatever is wrong with the file, the process can go on.
            self._note_kept(str(exc))
            return
        self._kept_reason = ""
        old, self._in_force = self._in_force, new
        if new.seeds != old.seeds:
            self._process.set_seeds(new.seeds)
        if new.tolerance != old.tolerance:
            self._process.set_tolerance(new.tolerance)

    def _note_kept(self, reason: str) -> None:
        """Writes why the settings are kept, once per reason."""
        reason = reason.encode(errors="backslashreplace").decode()
        if reason != self._kept_reason:
            self._kept_reason = reason
            decisions.note("reload", "", outcome="kept", reason=reason)
