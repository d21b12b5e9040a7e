"""Runs gateways, keepers and stores, and reloads their seeds."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING, Protocol

import uvloop

from catkinpin import clock, decisions, exits, metrics
from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.http.server import HttpServer
from catkinpin.exceptions import CatkinpinError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.gateway.headers import HeaderCodec
    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.adapters.keeper.process import ControlHandler
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
    """A process whose seeds can change while it runs."""

    async def start(self) -> None:
        """Starts to serve."""

    async def stop(self) -> None:
        """Finishes the requests in flight and closes."""

    def set_seeds(self, seeds: list[str]) -> None:
        """Replaces the seeds."""


def run_gateway(
    cfg: GatewaySettings,
    regions: dict[str, str],
    codec: HeaderCodec,
    read_seeds: Callable[[], list[str]],
) -> None:
    """Runs a gateway until it is asked to stop.

    Args:
        cfg: the settings.
        regions: region of each failure domain.
        codec: translates the headers of requests and answers.
        read_seeds: returns the seeds in the current settings.
    """
    from catkinpin.adapters.gateway.process import Gateway

    _run_process(cfg, lambda: Gateway(cfg, regions, codec), read_seeds)


def run_keeper(
    cfg: KeeperSettings,
    regions: dict[str, str],
    control: ControlHandler,
    read_seeds: Callable[[], list[str]],
) -> None:
    """Runs a keeper until it is asked to stop.

    Args:
        cfg: the settings.
        regions: region of each failure domain.
        control: returns the HTTP handler of calls by servers and operators.
        read_seeds: returns the seeds in the current settings.
    """
    from catkinpin.adapters.keeper.process import Keeper

    _run_process(cfg, lambda: Keeper(cfg, regions, control), read_seeds)


def run_store(cfg: StoreSettings, read_seeds: Callable[[], list[str]]) -> None:
    """Runs a store until it is asked to stop.

    Args:
        cfg: the settings.
        read_seeds: returns the seeds in the current settings.
    """
    from catkinpin.adapters.store.process import Store

    _run_process(cfg, lambda: Store(cfg), read_seeds)


def _run_process(
    cfg: RoleSettings,
    make_process: Callable[[], ReloadableProcess],
    read_seeds: Callable[[], list[str]],
) -> None:
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    decisions.set_up(cfg.name)
    # The loaded modules are never freed, so garbage collections skip them.
    gc.freeze()
    gc.enable()
    try:
        uvloop.run(_serve(cfg, make_process, read_seeds))
    except CatkinpinError as exc:
        log.critical("%s", exc)
        sys.exit(exits.STORAGE_ERROR)


async def _serve(
    cfg: RoleSettings,
    make_process: Callable[[], ReloadableProcess],
    read_seeds: Callable[[], list[str]],
) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    loaded_ms = _age_ms()
    process = make_process()
    decisions.note("loaded", "", loaded_ms=loaded_ms, made_ms=_age_ms())
    if cfg.metrics_listen:
        await HttpServer(_answer_metrics).start(cfg.metrics_listen)
    await process.start()
    reloader = SeedReloader(process, cfg.seeds, read_seeds)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    while not stop.is_set():
        try:
            async with asyncio.timeout(_RELOAD_INTERVAL_S):
                await stop.wait()
        except TimeoutError:
            reloader.reload()
    try:
        async with asyncio.timeout(cfg.stop_timeout_ms / _MS_PER_S):
            await process.stop()
    except TimeoutError:
        decisions.note("stopped", "", outcome="cut", reason="took too long")
        os._exit(exits.STOP_TIMEOUT)
    # Nothing is left to write, and a regular shutdown of the interpreter would
    # only use up the stop timeout.
    os._exit(exits.OK)


def _age_ms() -> int:
    """Returns the time since this process started."""
    return clock.since_boot_ms() - clock.process_start_ms()


async def _answer_metrics(request: Request, responder: Responder) -> None:
    headers = Headers([(b"Content-Type", b"text/plain; version=0.0.4")])
    responder.answer(200, headers, metrics.exposition())


class SeedReloader:
    """Passes changed seeds to a process.

    Args:
        process: gets the seeds.
        seeds: the seeds that it was started with.
        read_seeds: returns the seeds in the current settings.
    """

    def __init__(
        self,
        process: ReloadableProcess,
        seeds: list[str],
        read_seeds: Callable[[], list[str]],
    ) -> None:
        self._process = process
        self._read_seeds = read_seeds
        self._seeds = seeds

    def reload(self) -> None:
        """Reads the settings; keeps the seeds if they can't be read."""
        try:
            seeds = self._read_seeds()
        except (OSError, ValueError, KeyError, TypeError) as exc:
            decisions.note("reload", "", outcome="kept", reason=repr(exc))
            return
        if seeds != self._seeds:
            self._seeds = seeds
            self._process.set_seeds(seeds)
