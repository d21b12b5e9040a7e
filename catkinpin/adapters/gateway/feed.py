"""Subscribes a gateway to one keeper's feed of changes."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING, Any

from catkinpin import decisions, metrics
from catkinpin.adapters.peers import streams
from catkinpin.core.control import feeds, protocol

if TYPE_CHECKING:
    from catkinpin.adapters.peers.keepers import Host, Keepers
    from catkinpin.clock import Clock

_MS_PER_S = 1_000
# A message proves that it was sent after the latest of our pings that its
# sender had received. Pings are this far apart.
_PING_INTERVAL_MS = int(streams.PING_INTERVAL_S * _MS_PER_S)


class FeedSubscription:
    """Keeps one subscription among the keepers that offer a feed.

    Args:
        keepers: links to the keepers.
        selector: selects the keeper to subscribe to.
        clock: source of the current time.
    """

    def __init__(
        self, keepers: Keepers, selector: feeds.FeedSelector, clock: Clock
    ) -> None:
        self._keepers = keepers
        self._selector = selector
        self._clock = clock
        self._index = -1
        self._stopped = False
        self._settle_timer: asyncio.TimerHandle | None = None

    def handle(self, host: Host, message: Any) -> None:
        """Applies what a keeper says about itself and its feed."""
        address = host.link.address
        now_ms = self._clock.now_ms()
        match message:
            case protocol.HostInfo():
                if message.offers_feed:
                    self._selector.add_keeper(address, message.region, now_ms)
                    self._start_settling()
            case protocol.RoutingUpdate():
                self._selector.record_currency(
                    address, now_ms, is_current=message.is_current
                )
                if not self._selector.feed:
                    self.update()
            case protocol.FeedState():
                self._handle_state(host, message, now_ms)

    def handle_disconnect(self, host: Host) -> None:
        """Replaces the feed at once if the stream to it has ended."""
        self._selector.remove_keeper(host.link.address)
        if host.link.address == self._selector.feed:
            self.update()

    def stop(self) -> None:
        """Makes no further change; the links are about to close."""
        self._stopped = True
        if self._settle_timer is not None:
            self._settle_timer.cancel()

    def update(self) -> None:
        """Changes the feed if that is due; the gateway calls it at each tick.

        The former feed is ended although the next one has not begun: its
        messages that are on their way are applied all the same.
        """
        if self._stopped:
            return
        silence_ms = {
            host.link.address: host.link.silence_ms()
            for host in self._keepers.connected()
        }
        change = self._selector.choose(self._clock.now_ms(), silence_ms)
        if change is None:
            return
        metrics.FEED_CHANGES.labels(change.reason).inc()
        decisions.note(
            "feed", "", index=self._index, **dataclasses.asdict(change)
        )
        self._send(change.feed, active=True)
        self._send(change.before, active=False)

    def _handle_state(
        self, host: Host, message: protocol.FeedState, now_ms: int
    ) -> None:
        """Records a state, and when it was sent.

        The time of receipt would make a feed seem alive whose messages wait for
        seconds on a slow link.
        """
        address = host.link.address
        sent_ms = host.link.earliest_sent_ms() + _PING_INTERVAL_MS
        self._selector.record_state(address, min(now_ms, sent_ms), now_ms)
        self._selector.record_currency(
            address, now_ms, is_current=message.is_current
        )
        if address == self._selector.feed:
            self._index = message.index

    def _start_settling(self) -> None:
        """Chooses the first feed after other keepers had time to connect."""
        if self._selector.feed or self._settle_timer is not None:
            return
        # The time is in whole ms, so a timer may fire one too early.
        self._settle_timer = asyncio.get_running_loop().call_later(
            (feeds.SETTLE_MS + 1) / _MS_PER_S, self._end_settling
        )

    def _end_settling(self) -> None:
        self._settle_timer = None
        self.update()

    def _send(self, address: str, *, active: bool) -> None:
        host = self._keepers.by_address(address)
        if host is not None:
            host.link.send(protocol.Subscribe(active=active))
