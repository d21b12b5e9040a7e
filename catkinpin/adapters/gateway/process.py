"""The gateway process: HTTP servers and links to the keepers."""

from __future__ import annotations

import asyncio
import logging
import random
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock, decisions
from catkinpin.adapters.gateway.context import GatewayContext
from catkinpin.adapters.gateway.feed import FeedSubscription
from catkinpin.adapters.gateway.freshroutes import FreshRoutes
from catkinpin.adapters.gateway.routefetch import RouteFetcher
from catkinpin.adapters.gateway.serving import RequestHandler
from catkinpin.adapters.gateway.turns import TurnClient
from catkinpin.adapters.gateway.usage import UsageReporter
from catkinpin.adapters.gateway.view import GatewayView
from catkinpin.adapters.http.pool import Pool
from catkinpin.adapters.http.requestparser import ServerLimits
from catkinpin.adapters.http.server import HttpServer
from catkinpin.adapters.keeper.publisher import GATEWAY_ROLE
from catkinpin.adapters.peers import keepers
from catkinpin.adapters.tasks import BackgroundTasks, keep_running
from catkinpin.core import messages
from catkinpin.core.control import protocol
from catkinpin.core.control.feeds import FeedSelector
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.contention import ContendedServices
from catkinpin.core.placement.hedging import Hedging
from catkinpin.core.placement.speeds import Speeds
from catkinpin.core.placement.subsets import Subsets
from catkinpin.core.placement.unresponsive import (
    PendingCalls,
    eject_unresponsive,
)

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.headers import HeaderCodec
    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.core.control.routes import CallerLimits
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.tolerance import Tolerance
    from catkinpin.roles import GatewaySettings

log = logging.getLogger(__name__)

_TICK_INTERVAL_S = 0.1
_MS_PER_S = 1_000
# After this time without a link to any keeper the gateway is not ready: it
# can't begin turns, other gateways may. Longer than an election or the restart
# of a keeper.
_MAX_DISCONNECTED_MS = 2_000
# A server that other gateways reported as unresponsive is ejected for this
# long. The leader repeats its message while the server stays unresponsive.
_UNRESPONSIVE_EJECTION_MS = 1_500
# Part of the stop timeout reserved for closing once no request is in flight.
_CLOSE_RESERVE_MS = 200
# Part before that reserved for answering what has not ended by then.
_ANSWER_RESERVE_MS = 400
# Bounds of the limits for callers, which an operator may set to any number.
_MAX_HEADER_BYTES = 256 * 1024
_MAX_BODY_BYTES = 32 * 1024 * 1024
_MAX_TIMEOUT_S = 120.0


class Gateway:
    """A gateway process and its parts.

    Args:
        cfg: settings of the gateway.
        regions: region of each failure domain.
        codec: decodes and encodes headers.
    """

    def __init__(
        self, cfg: GatewaySettings, regions: dict[str, str], codec: HeaderCodec
    ) -> None:
        self.cfg = cfg
        self.clock = clock.system_clock()
        self._pool = Pool()
        speeds = Speeds()
        self._balancer = Balancer(
            cfg.failure_domain, regions, random.Random(), speeds
        )
        self.view = GatewayView(self.clock, self._on_server_gone)
        self.keepers = keepers.Keepers(
            _make_hello(cfg),
            self._on_keeper_message,
            self._on_keeper_lost,
        )
        self._feed = self._new_feed()
        self._turns = TurnClient(
            self.keepers,
            cfg.region,
            cfg.cache_bytes,
            cfg.tolerance,
        )
        self._fresh_routes = FreshRoutes(
            self.keepers, self.view, self.clock, cfg.max_routes_age_ms
        )
        self._pending_calls = PendingCalls()
        self._usage = self._new_usage()
        self._handler = self._new_handler(speeds, regions, codec)
        self.server = HttpServer(self._handler.handle, self._caller_limits)
        self._readiness_server = HttpServer(self._answer_readiness)
        self._stopping = False
        self._last_connected_ms = self.clock.now_ms()
        self._was_ready = False
        self._route_fetcher = RouteFetcher(self.keepers, self.view, cfg.region)
        self._tasks = BackgroundTasks()

    def _new_handler(
        self, speeds: Speeds, regions: dict[str, str], codec: HeaderCodec
    ) -> RequestHandler:
        return RequestHandler(
            GatewayContext(
                view=self.view,
                balancer=self._balancer,
                speeds=speeds,
                pool=self._pool,
                turns=self._turns,
                codec=codec,
                clock=self.clock,
                usage=self._usage,
                waiting=self._pending_calls,
                contention=ContendedServices(
                    configured=self.cfg.contended_capacity
                ),
                subsets=Subsets(
                    self.cfg.name, self.cfg.failure_domain, regions
                ),
                hedging=Hedging(),
                gateways=self._count_gateways,
                domain=self.cfg.failure_domain,
                fresh_routes=self._fresh_routes,
            )
        )

    def _new_feed(self) -> FeedSubscription:
        selector = FeedSelector(self.cfg.name, self.cfg.region)
        return FeedSubscription(self.keepers, selector, self.clock)

    def _new_usage(self) -> UsageReporter:
        return UsageReporter(
            self.keepers,
            self.clock,
            self._count_gateways,
            self._pending_calls,
        )

    async def start(self) -> None:
        """Listens and connects to the keepers."""
        await self.server.start(self.cfg.listen)
        self.keepers.set_seeds(self.cfg.seeds)
        for work in (self._tick, self._route_fetcher.run, self._usage.run):
            self._tasks.spawn(keep_running(work))
        # Callers are served even if the port for readiness is in use.
        self._tasks.spawn(self._readiness_server.start(self.cfg.ready_listen))
        await asyncio.sleep(0)
        decisions.note(
            "start", "", listen=self.cfg.listen, seeds=list(self.cfg.seeds)
        )

    async def stop(self) -> None:
        """Waits for the load balancer, finishes open requests and closes."""
        decisions.note("stop", "", in_flight=self.server.count_busy())
        self._stopping = True
        loop = asyncio.get_running_loop()
        deadline_s = (
            loop.time()
            + (self.cfg.stop_timeout_ms - _CLOSE_RESERVE_MS) / _MS_PER_S
        )
        end_s = deadline_s - _ANSWER_RESERVE_MS / _MS_PER_S
        self._handler.end_by(end_s)
        self.server.close_when_answered()
        # The load balancer opens new connections until it has probed readiness
        # twice. Refusing one would cost its caller an attempt.
        await asyncio.sleep(self.cfg.balancer_wait_ms / _MS_PER_S)
        self._handler.stop_deadline_s = end_s
        while loop.time() < deadline_s and (
            self.server.count_busy() or self._turns.unsettled_count
        ):
            if loop.time() >= end_s:
                self.server.stop_listening()
                self.server.refuse_unread(self._handler.encode_refusal)
            self.server.close_idle()
            await asyncio.sleep(_TICK_INTERVAL_S)
        self.server.close_idle()
        decisions.note("stopped", "", cut=self.server.count_busy())
        self._feed.stop()
        await self.server.stop()
        await self._readiness_server.stop()
        self._tasks.cancel()
        await self.keepers.stop()

    def set_seeds(self, seeds: list[str]) -> None:
        """Applies changed seeds while the gateway runs."""
        decisions.note("reload", "", seeds=seeds)
        self.keepers.set_seeds(seeds)

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Stores turns from now on so that they survive other losses."""
        decisions.note("reload", "", **tolerance.described())
        self._turns.set_tolerance(tolerance)

    def not_ready_reason(self) -> str:
        """Returns why the gateway is not ready; an empty string if it is."""
        if self._stopping:
            return "stopping"
        if not self.view.has_current_routes:
            return "no routes known yet"
        if self.clock.now_ms() - self._last_connected_ms > _MAX_DISCONNECTED_MS:
            return "no keeper can be reached"
        if not self._fresh_routes.are_fresh():
            return "no keeper confirms the routes"
        return ""

    def _on_keeper_message(self, host: keepers.Host, message: Any) -> None:
        self.view.handle(message)
        self._feed.handle(host, message)
        self._fresh_routes.handle(host, message)
        if isinstance(message, protocol.RoutingUpdate):
            self._route_fetcher.record_announcement(host, message)
        if isinstance(message, protocol.UnresponsiveUpdate):
            self._eject_unresponsive(message.servers)

    def _on_keeper_lost(self, host: keepers.Host) -> None:
        self._feed.handle_disconnect(host)
        self._fresh_routes.handle_disconnect(host)

    def _eject_unresponsive(self, servers: list[str]) -> None:
        """Ejects servers that other gateways reported as unresponsive."""
        decisions.note("unresponsive-servers", "", servers=servers)
        now_ms = self.clock.now_ms()
        fleet = self.view.fleet
        known = [
            fleet.servers[server]
            for server in servers
            if server in fleet.servers
        ]
        for service in {instance.service for instance in known}:
            eject_unresponsive(
                self._balancer,
                servers,
                fleet.servers_of(service),
                now_ms,
                now_ms + _UNRESPONSIVE_EJECTION_MS,
            )

    async def _answer_readiness(
        self, request: Request, responder: Responder
    ) -> None:
        responder.answer(503 if self.not_ready_reason() else 200)

    def _count_gateways(self) -> int:
        return self.keepers.gateway_count() or self.cfg.gateways_expected

    def _caller_limits(self) -> ServerLimits:
        table = self.view.table
        if table is None:
            return ServerLimits()
        return bounded_limits(table.routing.limits)

    def _on_server_gone(self, instance: Instance) -> None:
        self._pool.retire(instance.address)
        if instance.state.is_offline:
            self._balancer.forget(instance.id)
            self._pending_calls.forget(instance.id)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            self.keepers.tick()
            self._feed.update()
            self._fresh_routes.update()
            if self.keepers.connected():
                self._last_connected_ms = self.clock.now_ms()
            reason = self.not_ready_reason()
            if (not reason) != self._was_ready:
                self._was_ready = not reason
                decisions.note("ready", "", ready=not reason, reason=reason)


def bounded_limits(limits: CallerLimits) -> ServerLimits:
    """Returns an operator's limits, within those that a process can bear."""
    return ServerLimits(
        header_bytes=min(limits.max_header_bytes, _MAX_HEADER_BYTES),
        body_bytes=min(limits.max_body_bytes, _MAX_BODY_BYTES),
        header_timeout_s=min(
            limits.header_timeout_ms / _MS_PER_S, _MAX_TIMEOUT_S
        ),
        idle_timeout_s=min(limits.idle_timeout_ms / _MS_PER_S, _MAX_TIMEOUT_S),
    )


def _make_hello(cfg: GatewaySettings) -> messages.Hello:
    """Returns the first message of the gateway on links to other hosts."""
    return messages.Hello(
        process=cfg.name,
        incarnation=uuid.uuid4().hex[:12],
        role=GATEWAY_ROLE,
        address="",
        domain=cfg.failure_domain,
        region=cfg.region,
        subscribes=True,
    )
