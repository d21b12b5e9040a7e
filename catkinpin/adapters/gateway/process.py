"""The gateway process: callers' HTTP, readiness, links to the keepers."""

from __future__ import annotations

import asyncio
import logging
import random
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock, decisions
from catkinpin.adapters.gateway.context import Parts
from catkinpin.adapters.gateway.routefetch import RouteFetch
from catkinpin.adapters.gateway.serving import Serving
from catkinpin.adapters.gateway.turns import Turns
from catkinpin.adapters.gateway.usage import Usage
from catkinpin.adapters.gateway.view import View
from catkinpin.adapters.http.client import Pool
from catkinpin.adapters.http.server import HttpServer, ServerLimits
from catkinpin.adapters.keeper.publisher import GATEWAY_ROLE
from catkinpin.adapters.peers import keepers
from catkinpin.core import messages
from catkinpin.core.control import protocol
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.speeds import Speeds
from catkinpin.core.placement.unresponsive import (
    PendingCalls,
    eject_unresponsive,
)

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.headers import HeaderCodec
    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.core.control.servers import Instance
    from catkinpin.roles import GatewaySettings

log = logging.getLogger(__name__)

_TICK_S = 0.1
_MS = 1_000
# Without any keeper for so long this gateway can begin no turn; callers do
# better elsewhere. Longer than an election or a keeper's restart.
_DISCONNECTED_MS = 2_000
# A server that others find unresponsive is left out for so long; the leader
# repeats it while it is.
_AVOID_MS = 1_500
# Left of a stop's time for closing once nothing is in flight.
_CLOSE_MS = 200


class Gateway:
    """A gateway process and its parts.

    Args:
        cfg: the settings.
        regions: region of each failure domain.
        codec: translates headers.
    """

    def __init__(
        self,
        cfg: GatewaySettings,
        regions: dict[str, str],
        codec: HeaderCodec,
    ) -> None:
        self.cfg = cfg
        self.clock = clock.system_clock()
        self._pool = Pool()
        speeds = Speeds()
        self._balancer = Balancer(
            cfg.failure_domain, regions, random.Random(), speeds
        )
        self.view = View(self.clock, self._server_gone)
        self.keepers = keepers.Keepers(
            _hello(cfg),
            self._on_keeper_message,
        )
        self._turns = Turns(
            self.keepers,
            cfg.region,
            cfg.cache_bytes,
            cfg.copies,
        )
        self._waiting = PendingCalls()
        self._usage = self._new_usage()
        self._serving = Serving(
            Parts(
                view=self.view,
                balancer=self._balancer,
                speeds=speeds,
                pool=self._pool,
                turns=self._turns,
                codec=codec,
                clock=self.clock,
                usage=self._usage,
                waiting=self._waiting,
                gateways=self._count_gateways,
                domain=cfg.failure_domain,
            )
        )
        self.server = HttpServer(self._serving.handle, self._limits)
        self._ready = HttpServer(self._answer_ready)
        self._stopping = False
        self._last_connected_ms = self.clock.now_ms()
        self._was_ready = False
        self._routes = RouteFetch(self.keepers, self.view, cfg.region)
        self._tasks: list[asyncio.Task[None]] = []

    def _new_usage(self) -> Usage:
        return Usage(
            self.keepers,
            self.clock,
            self._count_gateways,
            lambda: self._waiting.overdue_servers(self.clock.now_ms()),
        )

    async def start(self) -> None:
        """Listens and connects to the keepers."""
        await self._ready.start(self.cfg.ready_listen)
        await self.server.start(self.cfg.listen)
        self.keepers.add(self.cfg.seeds)
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self._routes.run()),
            asyncio.create_task(self._usage.run()),
        ]
        decisions.note(
            "start", "", listen=self.cfg.listen, seeds=list(self.cfg.seeds)
        )

    async def stop(self) -> None:
        """Lets the balancer notice, finishes what is in flight, and ends."""
        decisions.note("stop", "", in_flight=self.server.count_busy())
        self._stopping = True
        loop = asyncio.get_running_loop()
        until = loop.time() + (self.cfg.stop_timeout_ms - _CLOSE_MS) / _MS
        self.server.close_when_answered()
        # New connections still come until the balancer has asked twice; one
        # that is refused costs its caller a try.
        await asyncio.sleep(self.cfg.balancer_wait_ms / _MS)
        self._serving.ends_s = until
        while loop.time() < until and (
            self.server.count_busy() or self._turns.unsettled
        ):
            self.server.close_idle()
            await asyncio.sleep(_TICK_S)
        self.server.close_idle()
        decisions.note("stopped", "", cut=self.server.count_busy())
        await self.server.stop()
        await self._ready.stop()
        for task in self._tasks:
            task.cancel()
        await self.keepers.stop()

    def set_seeds(self, seeds: list[str]) -> None:
        """Takes other seeds while it runs."""
        decisions.note("reload", "", seeds=seeds)
        self.keepers.add(seeds)

    def not_ready(self) -> str:
        """Returns why callers should go elsewhere, or an empty string."""
        if self._stopping:
            return "stopping"
        if not self.view.serves:
            return "no routes known yet"
        if self.clock.now_ms() - self._last_connected_ms > _DISCONNECTED_MS:
            return "no keeper can be reached"
        return ""

    def _on_keeper_message(self, host: keepers.Host, message: Any) -> None:
        self.view.handle(message)
        if isinstance(message, protocol.RoutingUpdate):
            self._routes.announced(host, message)
        if isinstance(message, protocol.UnresponsiveUpdate):
            self._avoid(message.servers)

    def _avoid(self, servers: list[str]) -> None:
        """Leaves servers out that other gateways find unresponsive."""
        decisions.note("unresponsive-servers", "", servers=servers)
        now_ms = self.clock.now_ms()
        fleet = self.view.fleet
        known = [fleet.servers[s] for s in servers if s in fleet.servers]
        for service in {instance.service for instance in known}:
            eject_unresponsive(
                self._balancer,
                servers,
                fleet.servers_of(service),
                now_ms,
                now_ms + _AVOID_MS,
            )

    async def _answer_ready(
        self, request: Request, responder: Responder
    ) -> None:
        responder.answer(503 if self.not_ready() else 200)

    def _count_gateways(self) -> int:
        return self.keepers.gateway_count() or self.cfg.gateways_expected

    def _limits(self) -> ServerLimits:
        table = self.view.table
        if table is None:
            return ServerLimits()
        limits = table.routing.limits
        return ServerLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / _MS,
            idle_timeout_s=limits.idle_timeout_ms / _MS,
        )

    def _server_gone(self, instance: Instance) -> None:
        self._pool.retire(instance.address)
        if instance.state.is_offline:
            self._balancer.forget(instance.id)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self.keepers.tick()
            if self.keepers.connected():
                self._last_connected_ms = self.clock.now_ms()
            why = self.not_ready()
            if (not why) != self._was_ready:
                self._was_ready = not why
                decisions.note("ready", "", ready=not why, reason=why)


def _hello(cfg: GatewaySettings) -> messages.Hello:
    """Returns how this gateway introduces itself to keepers and stores."""
    return messages.Hello(
        process=cfg.name,
        incarnation=uuid.uuid4().hex[:12],
        role=GATEWAY_ROLE,
        address="",
        domain=cfg.failure_domain,
        region=cfg.region,
    )
