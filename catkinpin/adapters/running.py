"""Runs gateways and keepers, and has them take settings that change."""

from __future__ import annotations

import asyncio
import gc
import logging
import os
import signal
import sys
from typing import TYPE_CHECKING, Protocol

import uvloop

from catkinpin import decisions, exits, metrics
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

# Settings may change without a signal; a read of a small file costs little.
_SETTINGS_EVERY_S = 2.0
_MS = 1_000


class Reloading(Protocol):
    """A process that takes other seeds while it runs."""

    async def start(self) -> None:
        """Begins to serve."""

    async def stop(self) -> None:
        """Finishes what is in flight and closes."""

    def reconfigured(self, seeds: list[str]) -> None:
        """Takes other seeds."""


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
        codec: translates headers.
        read_seeds: returns the keepers that the settings name now.
    """
    from catkinpin.adapters.gateway.process import Gateway

    _run(cfg, lambda: Gateway(cfg, regions, codec), read_seeds)


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
        control: returns the handler of servers' and operators' calls.
        read_seeds: returns the keepers that the settings name now.
    """
    from catkinpin.adapters.keeper.process import Keeper

    _run(cfg, lambda: Keeper(cfg, regions, control), read_seeds)


def run_store(cfg: StoreSettings, read_seeds: Callable[[], list[str]]) -> None:
    """Runs a store until it is asked to stop.

    Args:
        cfg: the settings.
        read_seeds: returns the keepers that the settings name now.
    """
    from catkinpin.adapters.store.process import Store

    _run(cfg, lambda: Store(cfg), read_seeds)


def _run(
    cfg: RoleSettings,
    make: Callable[[], Reloading],
    read_seeds: Callable[[], list[str]],
) -> None:
    logging.basicConfig(level=logging.WARNING, stream=sys.stderr)
    decisions.set_up(cfg.name)
    # What was loaded stays for good; collections need not look at it.
    gc.freeze()
    try:
        uvloop.run(_serve(cfg, make, read_seeds))
    except CatkinpinError as exc:
        log.critical("%s", exc)
        sys.exit(exits.STORAGE_ERROR)


async def _serve(
    cfg: RoleSettings,
    make: Callable[[], Reloading],
    read_seeds: Callable[[], list[str]],
) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    process = make()
    if cfg.metrics_listen:
        await HttpServer(_answer_metrics).start(cfg.metrics_listen)
    await process.start()
    reload = Reload(process, cfg.seeds, read_seeds)
    loop.add_signal_handler(signal.SIGHUP, reload.now)
    while not stop.is_set():
        try:
            async with asyncio.timeout(_SETTINGS_EVERY_S):
                await stop.wait()
        except TimeoutError:
            reload.now()
    try:
        async with asyncio.timeout(cfg.stop_timeout_ms / _MS):
            await process.stop()
    except TimeoutError:
        decisions.note("stopped", "", outcome="cut", reason="took too long")
        os._exit(exits.STOP_TIMEOUT)
    # Nothing is left to write; an orderly end of the interpreter would only
    # take from the time that a stop may take.
    os._exit(exits.OK)


async def _answer_metrics(request: Request, responder: Responder) -> None:
    headers = Headers([(b"Content-Type", b"text/plain; version=0.0.4")])
    responder.answer(200, headers, metrics.exposition())


class Reload:
    """Takes seeds that have changed; a file that can't be read changes none.

    Args:
        process: that takes them.
        seeds: that it was started with.
        read_seeds: returns the keepers that the settings name now.
    """

    def __init__(
        self,
        process: Reloading,
        seeds: list[str],
        read_seeds: Callable[[], list[str]],
    ) -> None:
        self._process = process
        self._read_seeds = read_seeds
        self._seeds = seeds

    def now(self) -> None:
        """Reads the settings again."""
        try:
            seeds = self._read_seeds()
        except (OSError, ValueError, KeyError, TypeError) as exc:
            decisions.note("reload", "", outcome="kept", reason=repr(exc))
            return
        if seeds != self._seeds:
            self._seeds = seeds
            self._process.reconfigured(seeds)
