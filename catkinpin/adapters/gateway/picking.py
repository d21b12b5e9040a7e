"""Picks the server for an attempt of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import decisions, digest, metrics
from catkinpin.core.control.servers import ServerState
from catkinpin.core.placement import unresponsive, urgency

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from catkinpin.adapters.gateway.context import GatewayContext
    from catkinpin.adapters.gateway.work import OpenCall
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.balance import Choice

# Once more servers than this have been tried, no further one is picked.
_MAX_REFUSALS = 3
# A plain server with an overdue call gets no further calls for this long.
_OVERDUE_EJECTION_MS = 500


class ServerPicker:
    """Picks servers, and knows which of them are out of use for a while.

    Args:
        context: objects that all requests of the gateway share.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._view = context.view
        self._balancer = context.balancer
        self._pool = context.pool
        self._clock = context.clock
        self._waiting = context.waiting
        self._contention = context.contention
        self._subsets = context.subsets

    def pick_server(self, state: OpenCall) -> Choice | None:
        """Picks the next server; returns None if none is left to try."""
        if len(state.tried_servers) > _MAX_REFUSALS:
            return None
        if self._view.suspects.is_quarantined(state.digests):
            state.reason = "its content has crashed servers"
            return None
        servers = self._view.fleet.servers_of(state.service.name)
        now_ms = self._clock.now_ms()
        overdue = self._waiting.overdue_servers(now_ms)
        if overdue:
            unresponsive.eject_unresponsive(
                self._balancer,
                overdue,
                servers,
                now_ms,
                now_ms + _OVERDUE_EJECTION_MS,
            )
        choice = (
            self._suspect_choice(state, servers, now_ms)
            or self._leader_choice(state, now_ms)
            or self._balancer.pick(
                self._candidates(state, servers, now_ms),
                state.call,
                now_ms,
                state.tried_servers,
                state.route.name,
                is_connected=self._connected_servers(state),
            )
        )
        if choice is None:
            state.reason = state.reason or "no server is left"
            return None
        is_expired = state.urgency >= urgency.URGENCY_EXPIRED
        if is_expired and self._balancer.is_busy(choice.instance, now_ms):
            state.reason = (
                "the program is past twice its time and the server is busy"
            )
            return None
        state.choice = choice
        return choice

    def _candidates(
        self, state: OpenCall, servers: Collection[Instance], now_ms: int
    ) -> Collection[Instance]:
        """Returns the servers among which one is picked for a request."""
        service = state.service
        is_engine = service.engine is not None
        if is_engine or not self._contention.is_contended(service.name):
            return servers
        selection = self._subsets.select(
            service.name, servers, self._balancer, state.tried_servers, now_ms
        )
        if not selection.subset:
            return servers
        result = "all" if selection.is_exceeded else "subset"
        metrics.SUBSET_CHOICES.labels(result).inc()
        if selection.is_new:
            subset = selection.subset
            decisions.note("subset", "", service=service.name, servers=subset)
        if selection.is_exceeded:
            decisions.routine(
                "subset-exceeded",
                state.call.attempt,
                used_share=round(selection.used_share, 2),
                failing=selection.failing,
                load_age_ms=selection.load_age_ms,
            )
        return selection.servers

    def _connected_servers(
        self, state: OpenCall
    ) -> Callable[[Instance], bool] | None:
        """Returns a test for idle connections if they count for the choice."""
        if not self._contention.is_contended(state.service.name):
            return None
        return lambda instance: self._pool.has_idle(instance.address)

    def _suspect_choice(
        self, state: OpenCall, servers: Collection[Instance], now_ms: int
    ) -> Choice | None:
        """Returns the server on which all gateways run a suspected request.

        Copies of a harmful request then crash one server, through however many
        gateways they come, and suspects run apart from each other, so that the
        next crash tells them apart. A busy server is not used for that: a
        harmless request that all programs send would overload it.
        """
        suspect = self._view.suspects.suspected_digest(state.digests)
        if not suspect:
            return None
        usable = [
            server
            for server in servers
            if server.state is ServerState.READY
            and server.id not in state.tried_servers
            and not self._balancer.is_busy(server, now_ms)
        ]
        usable.sort(
            key=lambda s: digest.of_bytes(f"{suspect}\0{s.id}".encode())
        )
        for server in usable:
            choice = self._balancer.estimate(server, state.call, now_ms)
            if choice is not None:
                return choice
        return None

    def _leader_choice(self, state: OpenCall, now_ms: int) -> Choice | None:
        """Returns the server that the leader selected, if it can be used."""
        instance = self._view.fleet.servers.get(state.assigned_server)
        if instance is None or instance.id in state.tried_servers:
            return None
        is_ready = instance.state is ServerState.READY
        if not is_ready or instance.service != state.service.name:
            return None
        return self._balancer.estimate(instance, state.call, now_ms)
