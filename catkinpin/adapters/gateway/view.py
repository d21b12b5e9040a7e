"""A gateway's copy of the routes, the servers and the quarantine."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from catkinpin import decisions, metrics
from catkinpin.adapters import unusable
from catkinpin.adapters.gateway.suspects import KnownSuspects
from catkinpin.core.control import protocol, routes, servers
from catkinpin.core.control.routes import RouteTable
from catkinpin.core.control.servers import Fleet, ServerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.clock import Clock
    from catkinpin.core.control.routes import Routing
    from catkinpin.core.control.servers import Instance

_MS_PER_S = 1_000
# Keepers that were restarted together take up to a second to come up and elect
# a leader 0.4 s after the last one is up. A multiple of both.
_STARTUP_MS = 3_000


class GatewayView:
    """Routes, servers and quarantined requests, as the keepers announce them.

    Several keepers announce the same state, some later than others. Versions,
    start times and sequence numbers are compared, so that late messages have
    no effect.

    Args:
        clock: source of the current time.
        on_gone: called with each server that is no longer ready or listed.

    Attributes:
        table: the routes, None until they are known.
        fleet: the servers.
        suspects: requests that crash servers, or are suspected of it.
        routes_changed_ms: time of the latest change of the routes.
    """

    def __init__(
        self, clock: Clock, on_gone: Callable[[Instance], None]
    ) -> None:
        self.table: RouteTable | None = None
        self.fleet = Fleet()
        self.suspects = KnownSuspects(clock)
        self.routes_changed_ms = clock.now_ms()
        self._clock = clock
        self._on_gone = on_gone
        self._started_ms = clock.now_ms()
        self._may_serve = asyncio.Event()
        # Newest version that a keeper confirmed to be the current one.
        self._confirmed_version = -1
        self._announced_version = -1
        # All changes of servers up to this log index are applied.
        self._servers_index = -1

    @property
    def has_current_routes(self) -> bool:
        """Whether the routes were current at some time since the start.

        The first keeper that answers a new process may lag; with its routes
        the gateway would serve a route that was removed long ago. So it waits
        for a keeper that knows the newest version.
        """
        return self._may_serve.is_set()

    async def wait_for_routes(self, wait_s: float) -> bool:
        """Waits for current routes; returns whether they are known.

        After a restart of all processes the gateways are up some hundred ms
        before a leader is elected. A caller that is refused in that time may
        retry too late, or too often for its program, whereas one that waits
        is served as soon as possible. A process that has been up for longer
        than `_STARTUP_MS` without routes is disconnected from the keepers;
        waiting there would only delay the refusal.
        """
        if self.has_current_routes:
            return True
        up_ms = self._clock.now_ms() - self._started_ms
        wait_s = min(wait_s, (_STARTUP_MS - up_ms) / _MS_PER_S)
        if wait_s <= 0:
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._may_serve.wait()
        return self.has_current_routes

    @property
    def requires_keys(self) -> bool:
        """Whether requests need an API key."""
        return self.table is not None and self.table.accounts is not None

    @property
    def is_lagging(self) -> bool:
        """Whether a keeper has announced newer routes than those held here."""
        return self._announced_version > self.version

    @property
    def version(self) -> int:
        """Version of the routes; -1 if there are none."""
        return self.table.routing.version if self.table is not None else -1

    def handle(self, message: Any) -> None:
        """Applies a message from a keeper."""
        match message:
            case protocol.RoutingUpdate():
                self._handle_routing(message)
            case protocol.ServersUpdate():
                self._handle_servers(message)
            case protocol.AllServers():
                update = protocol.ServersUpdate(
                    index=message.index,
                    instances=servers.unpack(message.packed),
                    whole=True,
                )
                self._handle_servers(update)
            case protocol.QuarantineUpdate():
                self.suspects.apply(message)

    def _handle_routing(self, message: protocol.RoutingUpdate) -> None:
        if message.version >= 0 and not routes.is_version(message.version):
            return
        self._announced_version = max(self._announced_version, message.version)
        if message.is_current:
            self._confirmed_version = max(
                self._confirmed_version, message.version
            )
            self._allow_if_current()

    def replace_routes(self, routing: Routing) -> None:
        """Replaces the routes, unless the given version is not newer."""
        if routing.version <= self.version or not routes.is_version(
            routing.version
        ):
            return
        before = self.version
        usable = routes.without_faults(routing)
        if usable != routing:
            unusable.log_routing(routing)
        self.table = RouteTable(usable)
        self.routes_changed_ms = self._clock.now_ms()
        decisions.note(
            "routes",
            "",
            version=routing.version,
            before=before,
            routes=len(routing.routes),
        )
        self._allow_if_current()

    def _allow_if_current(self) -> None:
        """Allows serving once the routes are current, and never revokes it.

        The gateway goes on serving while it fetches a newer version.
        """
        if 0 <= self._confirmed_version <= self.version:
            self._may_serve.set()

    def _handle_servers(self, message: protocol.ServersUpdate) -> None:
        """Applies changes, unless they are older than the state held here.

        Each stream begins with all servers and continues with all changes, so
        the state includes everything up to the highest index received. A
        keeper that lags, or replays its log after it lost its disk, names
        servers that have left since. A server that left while this gateway
        was not connected is not remembered, and would be added again.
        """
        if message.index < self._servers_index:
            metrics.FEED_OUTDATED.inc()
            decisions.routine(
                "outdated-servers",
                "",
                index=message.index,
                held=self._servers_index,
                listed=len(message.instances),
                whole=message.whole,
            )
            return
        self._servers_index = message.index
        unusable.log_servers(message.instances)
        for update in message.instances:
            for changed in self.fleet.apply(update):
                self._handle_change(changed)
        if not message.whole:
            return
        listed = {update.id for update in message.instances}
        for instance in list(self.fleet.servers.values()):
            if instance.id not in listed:
                self.fleet.drop(instance.id)
                self._on_gone(instance)

    def _handle_change(self, changed: Instance) -> None:
        decisions.note(
            "server",
            "",
            server=changed.id,
            state=changed.state,
            service=changed.service,
            address=changed.address,
            sequence=changed.sequence,
        )
        if changed.state is not ServerState.READY:
            self._on_gone(changed)
