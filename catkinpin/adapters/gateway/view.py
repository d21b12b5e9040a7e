"""What a gateway believes: routes and servers, as the keepers tell them."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from catkinpin import decisions
from catkinpin.core.control import protocol, servers
from catkinpin.core.control.routes import RouteTable
from catkinpin.core.control.servers import Fleet, ServerState

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.clock import Clock
    from catkinpin.core.control.routes import Routing
    from catkinpin.core.control.servers import Instance

_MS = 1_000
# Keepers that were restarted together have a leader 0.4 s after the last one
# is up, and that takes up to a second. A multiple of both.
_STARTING_MS = 3_000


class ClusterView:
    """Routes and servers.

    Several keepers tell the same, some later than others. Versions, births
    and sequence numbers decide, so that late messages change nothing.

    Args:
        clock: time.
        on_gone: called with each server that is gone.

    Attributes:
        table: the routes, None before any is known.
        fleet: the servers.
        quarantined: digests of requests that no server may get.
        changed_ms: when the routes changed last.
    """

    def __init__(
        self, clock: Clock, on_gone: Callable[[Instance], None]
    ) -> None:
        self.table: RouteTable | None = None
        self.fleet = Fleet()
        self.quarantined: set[str] = set()
        self.changed_ms = clock.now_ms()
        self._clock = clock
        self._on_gone = on_gone
        self._began_ms = clock.now_ms()
        self._known = asyncio.Event()
        # Newest version of which a keeper knew that there was none newer.
        self._current = -1
        self._announced = -1
        self._index = 0

    @property
    def serves(self) -> bool:
        """Whether the routes known are fit to decide by.

        A process that has just started may hear first of a keeper that lags;
        it would then serve a route that was removed long ago.
        So it waits for one that knows the newest.
        """
        return self._known.is_set()

    async def wait_serves(self, wait_s: float) -> bool:
        """Waits until the routes are fit to decide by; returns whether so.

        After everything was restarted all gateways are up some hundred ms
        before there is a leader. A caller that is refused meanwhile may come
        back too late, or too often for its program; one that waits here is
        served at the first moment. A process that has been up for longer
        without routes is cut off: waiting there would only delay a refusal.
        """
        if self.serves:
            return True
        up_ms = self._clock.now_ms() - self._began_ms
        wait_s = min(wait_s, (_STARTING_MS - up_ms) / _MS)
        if wait_s <= 0:
            return False
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self._known.wait()
        return self.serves

    @property
    def asks_for_keys(self) -> bool:
        """Whether requests need an API key."""
        return self.table is not None and self.table.accounts is not None

    @property
    def is_behind(self) -> bool:
        """Whether a keeper has announced routes that aren't here yet."""
        return self._announced > self.version

    @property
    def version(self) -> int:
        """Version of the routes, -1 for none."""
        return self.table.routing.version if self.table is not None else -1

    def handle(self, message: Any) -> None:
        """Takes what a keeper says."""
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
                self.quarantined.update(message.contents)

    def _handle_routing(self, message: protocol.RoutingUpdate) -> None:
        self._announced = max(self._announced, message.version)
        if message.is_current:
            self._current = max(self._current, message.version)
            self._settle()

    def replace(self, routing: Routing) -> None:
        """Takes a routing document; one that is not newer changes nothing."""
        if routing.version <= self.version:
            return
        before = self.version
        self.table = RouteTable(routing)
        self.changed_ms = self._clock.now_ms()
        decisions.note(
            "routes",
            "",
            version=routing.version,
            before=before,
            routes=len(routing.routes),
        )
        self._settle()

    def _settle(self) -> None:
        """Starts to serve once the routes are the newest; for good.

        A newer version that is still being fetched stops nothing.
        """
        if 0 <= self._current <= self.version:
            self._known.set()

    def _handle_servers(self, message: protocol.ServersUpdate) -> None:
        for announced in message.instances:
            for changed in self.fleet.apply(announced):
                self._note(changed)
        if not message.whole:
            self._index = max(self._index, message.index)
            return
        if message.index < self._index:
            return
        self._index = message.index
        listed = {announced.id for announced in message.instances}
        for instance in list(self.fleet.servers.values()):
            if instance.id not in listed:
                self.fleet.drop(instance.id)
                self._on_gone(instance)

    def _note(self, changed: Instance) -> None:
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
