"""Keeps a gateway that was frozen or cut off from acting on old routes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from catkinpin import decisions
from catkinpin.core.control import protocol
from catkinpin.core.control.freshness import RouteFreshness

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.view import GatewayView
    from catkinpin.adapters.peers.keepers import Host, Keepers
    from catkinpin.clock import Clock

_MS_PER_S = 1_000
# Requests wait for keepers' messages only after a freeze or a cut.
_CHECK_INTERVAL_S = 0.02


class FreshRoutes:
    """Tells whether the routes of a gateway may be relied on.

    Args:
        keepers: links to the keepers.
        view: holds the routes.
        clock: source of the current time.
        max_age_ms: age from which routes must not be relied on.
    """

    def __init__(
        self,
        keepers: Keepers,
        view: GatewayView,
        clock: Clock,
        max_age_ms: int,
    ) -> None:
        self._keepers = keepers
        self._view = view
        self._clock = clock
        self._freshness = RouteFreshness(max_age_ms)
        self._were_fresh = True

    def handle(self, host: Host, message: Any) -> None:
        """Records what a keeper says about its state."""
        if isinstance(message, protocol.RoutingUpdate | protocol.FeedState):
            self._freshness.record_currency(
                host.link.address, is_current=message.is_current
            )

    def handle_disconnect(self, host: Host) -> None:
        """Records that a keeper can't confirm the routes any more."""
        self._freshness.remove_keeper(host.link.address)

    def update(self) -> None:
        """Confirms the routes if a keeper does; logs a change."""
        if not self._view.is_lagging:
            self._freshness.confirm(
                {
                    host.link.address: host.link.earliest_sent_ms()
                    for host in self._keepers.connected()
                }
            )
        now_ms = self._clock.now_ms()
        are_fresh = self._freshness.are_fresh(now_ms)
        if are_fresh != self._were_fresh:
            self._were_fresh = are_fresh
            decisions.note(
                "routes-fresh" if are_fresh else "routes-outdated",
                "",
                version=self._view.version,
                age_ms=self._freshness.age_ms(now_ms),
                keepers=len(self._keepers.connected()),
            )

    def are_fresh(self) -> bool:
        """Returns whether the routes may be relied on now."""
        if self._freshness.are_fresh(self._clock.now_ms()):
            return True
        self.update()
        return self._were_fresh

    async def wait(self, wait_s: float) -> bool:
        """Waits until the routes may be relied on; returns whether they may.

        Returns at once when no keeper has confirmed them for long.
        """
        loop = asyncio.get_running_loop()
        regain_ms = self._freshness.regain_wait_ms(self._clock.now_ms())
        until_s = loop.time() + min(wait_s, regain_ms / _MS_PER_S)
        while not self.are_fresh():
            if loop.time() >= until_s:
                return False
            await asyncio.sleep(_CHECK_INTERVAL_S)
        return True
