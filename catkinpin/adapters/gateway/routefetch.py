"""Fetches routing documents that keepers announce."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from catkinpin.adapters.tasks import brief
from catkinpin.core.control import protocol, routes
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.view import GatewayView
    from catkinpin.adapters.peers.keepers import Host, Keepers

log = logging.getLogger(__name__)

# A keeper in this region may get a document some 10 ms after those elsewhere.
# Waiting for it avoids a transfer over the link between regions.
_SAME_REGION_WAIT_S = 0.1
# A document has some 100 KB; the link may be busy.
_FETCH_TIMEOUT_S = 1.0


class RouteFetcher:
    """Keeps the routes of a view at the newest announced version.

    Args:
        keepers: links to the keepers.
        view: gets the fetched documents.
        region: region of this gateway.
    """

    def __init__(
        self, keepers: Keepers, view: GatewayView, region: str
    ) -> None:
        self._keepers = keepers
        self._view = view
        self._region = region
        self._versions: dict[str, int] = {}
        self._newer_announced = asyncio.Event()

    def record_announcement(
        self, host: Host, message: protocol.RoutingUpdate
    ) -> None:
        """Records which version a keeper holds."""
        if not routes.is_version(message.version):
            self._versions.pop(host.link.address, None)
            return
        self._versions[host.link.address] = message.version
        if message.version > self._view.version:
            self._newer_announced.set()

    async def run(self) -> None:
        """Fetches each newer version, for as long as the gateway runs."""
        while True:
            await self._newer_announced.wait()
            self._newer_announced.clear()
            while (host := self._newer_source()) is not None:
                if not self._is_in_region(host):
                    await asyncio.sleep(_SAME_REGION_WAIT_S)
                    host = self._newer_source() or host
                await self._fetch(host)

    async def _fetch(self, host: Host) -> None:
        try:
            reply = await self._keepers.ask(
                host,
                lambda ask: protocol.AskCurrent(ask=ask, from_leader=False),
                _FETCH_TIMEOUT_S,
            )
        except PeerLostError as exc:
            log.info("fetching routes failed: %s", exc)
            self._versions.pop(host.link.address, None)
            return
        if reply.routing is None:
            return
        try:
            self._view.replace_routes(routes.unpack(reply.routing))
        except Exception as exc:
            # Another keeper may hold a document that can be read.
            log.warning("routes can't be read: %s", brief(exc))
            self._versions.pop(host.link.address, None)

    def _newer_source(self) -> Host | None:
        """Returns a keeper with a newer version, preferably in this region."""
        newer = [
            host
            for host in self._keepers.connected()
            if self._versions.get(host.link.address, -1) > self._view.version
        ]
        newer.sort(key=lambda host: not self._is_in_region(host))
        return newer[0] if newer else None

    def _is_in_region(self, host: Host) -> bool:
        return host.info is not None and host.info.region == self._region
