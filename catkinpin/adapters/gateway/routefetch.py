"""Fetches a routing document from one keeper, once several announce it."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING

from catkinpin.core.control import protocol, routes
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.view import ClusterView
    from catkinpin.adapters.peers.keepers import Host, Keepers

log = logging.getLogger(__name__)

# A keeper of our own region hears of a document some 10 ms after the others;
# waiting for it keeps the document off the link between regions.
_NEAR_WAIT_S = 0.1
# One fetch of some 100 KB over a busy link.
_FETCH_S = 1.0


class RouteFetch:
    """Keeps the view's routes at the newest version that is announced.

    Args:
        keepers: links to them.
        view: takes the documents.
        region: where this gateway stands.
    """

    def __init__(
        self, keepers: Keepers, view: ClusterView, region: str
    ) -> None:
        self._keepers = keepers
        self._view = view
        self._region = region
        self._versions: dict[str, int] = {}
        self._news = asyncio.Event()

    def announced(self, host: Host, message: protocol.RoutingUpdate) -> None:
        """Takes what a keeper says of its version."""
        self._versions[host.link.address] = message.version
        if message.version > self._view.version:
            self._news.set()

    async def run(self) -> None:
        """Fetches whenever there is something newer."""
        while True:
            await self._news.wait()
            self._news.clear()
            while (host := self._source()) is not None:
                if not self._is_near(host):
                    await asyncio.sleep(_NEAR_WAIT_S)
                    host = self._source() or host
                await self._fetch(host)

    async def _fetch(self, host: Host) -> None:
        try:
            reply = await self._keepers.ask(
                host,
                lambda ask: protocol.AskCurrent(ask=ask, from_leader=False),
                _FETCH_S,
            )
        except PeerLostError as exc:
            log.info("routes not fetched: %s", exc)
            self._versions.pop(host.link.address, None)
            return
        if reply.routing is not None:
            self._view.replace(routes.unpack(reply.routing))

    def _source(self) -> Host | None:
        """Returns a keeper that has something newer, a near one first."""
        newer = [
            host
            for host in self._keepers.connected()
            if self._versions.get(host.link.address, -1) > self._view.version
        ]
        newer.sort(key=lambda host: not self._is_near(host))
        return newer[0] if newer else None

    def _is_near(self, host: Host) -> bool:
        return host.info is not None and host.info.region == self._region
