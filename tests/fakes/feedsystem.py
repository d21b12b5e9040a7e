"""Keepers and gateways in one process, with virtual time and no network.

The publishers, views and subscriptions are the real ones. The log, the links
and the previous release's keepers are fakes.
"""

from __future__ import annotations

import asyncio
import functools
import selectors
import types
from typing import TYPE_CHECKING, Any

from catkinpin import codec
from catkinpin.adapters.gateway.feed import FeedSubscription
from catkinpin.adapters.gateway.view import GatewayView
from catkinpin.adapters.keeper.publisher import GATEWAY_ROLE, Publisher
from catkinpin.adapters.peers.streams import Stream
from catkinpin.clock import Clock
from catkinpin.core import messages
from catkinpin.core.control import protocol, state
from catkinpin.core.control.feeds import FeedSelector

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from catkinpin.core.control.servers import Instance

TICK_S = 0.1
_TICKS_PER_STATE = 5
_TICKS_PER_INFO = 10
_SILENCE_TICKS = 15
_decoder = codec.decoder(protocol.FromKeeper)


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances a virtual time instead of waiting."""

    now_s = 1_000.0

    def select(self, timeout: float | None = None) -> Any:
        self.now_s += timeout or 0.0
        return super().select(0)


class _VirtualLoop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self.jumping = _JumpingSelector()
        super().__init__(self.jumping)

    def time(self) -> float:
        return self.jumping.now_s


def run_virtual(main: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine on an event loop with virtual time."""
    loop = _VirtualLoop()
    try:
        loop.run_until_complete(main)
    finally:
        loop.close()


def in_virtual_time(
    test: Callable[[Any], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    """Returns a test that runs an asynchronous one in virtual time."""

    @functools.wraps(test)
    def run(case: Any) -> None:
        run_virtual(test(case))

    return run


def _now_ms() -> int:
    return round(asyncio.get_running_loop().time() * 1_000)


CLOCK = Clock(now_ms=_now_ms, wall_ms=_now_ms)


class QueueStream(Stream):
    """A stream whose send queue a test reads; counts the bytes queued."""

    def __init__(self, hello: messages.Hello | None = None) -> None:
        super().__init__("test")
        self.hello = hello
        self.byte_count = 0

    def read(self) -> list[Any]:
        """Returns the queued messages and empties the queue."""
        queued, self._send_queue = self._send_queue, []
        self.byte_count += sum(len(message) for message in queued)
        return [_decoder.decode(message) for message in queued]


class Keeper:
    """A keeper of this or, with `is_legacy`, of the previous release.

    Attributes:
        is_up: whether it runs; a frozen one keeps its streams open.
        is_cut_off: whether it is cut off from the rest of its group.
        delay_ticks: how long its messages to gateways are on their way.
    """

    def __init__(
        self, system: System, address: str, region: str, *, is_legacy: bool
    ) -> None:
        self.address = address
        self.region = region
        self.is_legacy = is_legacy
        self.is_up = True
        self.is_frozen = False
        self.is_cut_off = False
        self.delay_ticks = 0
        self.streams: set[QueueStream] = set()
        self._system = system
        self._was_current = False
        self.restart()

    def restart(self) -> None:
        """Starts with an empty disk: it replays the whole log."""
        self.is_up = True
        self.is_frozen = False
        self.applied = 0
        self.state = state.ControlState()
        group = types.SimpleNamespace(
            members=types.SimpleNamespace(members=[]),
            leader="k1",
            term=1,
            is_current=self.is_current,
        )
        node = types.SimpleNamespace(
            identity=self.address,
            known_addresses=lambda: list(self._system.keepers),
        )
        cfg = types.SimpleNamespace(
            peer_listen=self.address,
            failure_domain=self.region,
            region=self.region,
        )
        fakes: list[Any] = [
            cfg,
            node,
            types.SimpleNamespace(state=self.state, group=group),
            self,
        ]
        self.publisher = Publisher(*fakes)

    def is_current(self) -> bool:
        """Returns whether it has applied the whole log."""
        return not self.is_cut_off and self.applied == len(self._system.log)

    def apply(self, count: int) -> None:
        """Applies up to so many of the next records of the log."""
        for instance in self._system.log[self.applied : self.applied + count]:
            self.applied += 1
            self.state.index = self.applied
            changed = self.state.fleet.apply(instance)
            if self.is_legacy:
                self._send_legacy(changed, whole=False)
            else:
                self.publisher.publish_servers(changed)

    def connect(self, stream: QueueStream) -> None:
        """Accepts a gateway's stream."""
        self.streams.add(stream)
        if not self.is_legacy:
            self.publisher.send_state(stream)
            return
        hello = stream.hello
        assert hello is not None
        stream.send(_legacy_info(self.address, self.region))
        stream.send(self._routing_update())
        self._send_legacy(list(self.state.fleet.servers.values()), whole=True)

    def tick(self, number: int) -> None:
        """Does what a keeper's periodic work does."""
        if not self.is_cut_off:
            self.apply(1_000)
        if self.is_legacy:
            return
        self.publisher.send_to_slow_gateways()
        if self.is_current() != self._was_current:
            self._was_current = self.is_current()
            self.publisher.publish_status()
            self.publisher.publish_routing()
        if number % _TICKS_PER_INFO == 0:
            self.publisher.publish_changed_info()
        if number % _TICKS_PER_STATE == 0:
            self.publisher.publish_feed_state()

    def _routing_update(self) -> protocol.RoutingUpdate:
        return protocol.RoutingUpdate(version=1, is_current=self.is_current())

    def _send_legacy(self, instances: list[Instance], *, whole: bool) -> None:
        for stream in self.streams:
            stream.send(
                protocol.ServersUpdate(
                    index=self.applied, instances=instances, whole=whole
                )
            )


def _legacy_info(address: str, region: str) -> protocol.HostInfo:
    return protocol.HostInfo(
        node=address,
        address=address,
        domain=region,
        region=region,
        known=[],
        leader="k1",
        term=1,
    )


class _Link:
    """A gateway's link to a keeper; connects again at each tick."""

    def __init__(self, gateway: Gateway, keeper: Keeper) -> None:
        self.address = keeper.address
        self.keeper = keeper
        self.link = self
        self.stream: QueueStream | None = None
        self._gateway = gateway
        self._silent_ticks = 0
        self._in_flight: list[tuple[int, list[Any]]] = []

    def silence_ms(self) -> int:
        return round(self._silent_ticks * TICK_S * 1_000)

    def earliest_sent_ms(self) -> int:
        delay_ms = self.keeper.delay_ticks * TICK_S * 1_000
        return _now_ms() - round(delay_ms) - 500

    def send(self, message: Any) -> None:
        assert not self.keeper.is_legacy
        if self.stream is not None and not self.keeper.is_frozen:
            self.keeper.publisher.subscribe(self.stream, active=message.active)

    def tick(self, number: int, *, is_cut: bool) -> None:
        if not self.keeper.is_up or self._silent_ticks > _SILENCE_TICKS:
            self.disconnect()
        if is_cut or self.keeper.is_frozen or not self.keeper.is_up:
            self._silent_ticks += 1
            return
        self._silent_ticks = 0
        if self.stream is None:
            self.stream = QueueStream(self._gateway.hello)
            self.keeper.connect(self.stream)
        self._in_flight.append((number, self.stream.read()))
        while self._in_flight and (
            self._in_flight[0][0] + self.keeper.delay_ticks <= number
        ):
            for message in self._in_flight.pop(0)[1]:
                self._gateway.handle(self, message)

    def disconnect(self) -> None:
        self._silent_ticks = 0
        stream, self.stream = self.stream, None
        self._in_flight.clear()
        if stream is not None:
            stream.read()
            self.keeper.streams.discard(stream)
            self.keeper.publisher.drop_stream(stream)
            self._gateway.feed.handle_disconnect(self)  # type: ignore[arg-type]


class Gateway:
    """A gateway's view and subscription.

    Attributes:
        seen: newest start time and sequence number seen of each server.
    """

    def __init__(self, system: System, name: str, region: str) -> None:
        self.name = name
        self.region = region
        self.hello = messages.Hello(
            process=name,
            incarnation="1",
            role=GATEWAY_ROLE,
            address="",
            domain=region,
            region=region,
            subscribes=True,
        )
        self.view = GatewayView(CLOCK, lambda _: None)
        self.selector = FeedSelector(name, region)
        keepers: Any = self
        self.feed = FeedSubscription(keepers, self.selector, CLOCK)
        self.links = {
            k.address: _Link(self, k) for k in system.keepers.values()
        }

    def connected(self) -> list[_Link]:
        """Returns the links that have a stream."""
        return [link for link in self.links.values() if link.stream]

    def by_address(self, address: str) -> _Link | None:
        """Returns a link that has a stream."""
        link = self.links.get(address)
        return link if link is not None and link.stream else None

    def handle(self, link: _Link, message: Any) -> None:
        """Handles a message from a keeper."""
        host: Any = link
        self.view.handle(message)
        self.feed.handle(host, message)

    def state_of(self, server: str) -> str:
        """Returns the state of a server, empty if it is not known."""
        known = self.view.fleet.servers.get(server)
        return str(known.state) if known is not None else ""


class System:
    """Five keepers in two regions, and gateways.

    Args:
        legacy: addresses of keepers of the previous release.

    Attributes:
        log: the committed announcements.
        is_cut: returns whether a gateway and a keeper can't reach each other.
    """

    def __init__(self, legacy: tuple[str, ...] = ()) -> None:
        self.log: list[Instance] = []
        self.keepers: dict[str, Keeper] = {}
        for number in range(1, 6):
            address = f"k{number}"
            region = "a" if number <= 3 else "b"
            self.keepers[address] = Keeper(
                self, address, region, is_legacy=address in legacy
            )
        self.gateways: list[Gateway] = []
        self.is_cut: Callable[[Gateway, Keeper], bool] = lambda _g, _k: False
        self.on_tick: Callable[[], None] = lambda: None
        self._tick_count = 0

    def add_gateways(self, count: int) -> None:
        """Adds gateways, half of them in each region."""
        for number in range(count):
            region = "ab"[number % 2]
            self.gateways.append(Gateway(self, f"g{number}", region))

    async def run(self, duration_s: float) -> None:
        """Lets virtual time pass."""
        for _ in range(round(duration_s / TICK_S)):
            await asyncio.sleep(TICK_S)
            self._tick_count += 1
            for keeper in self.keepers.values():
                if keeper.is_up and not keeper.is_frozen:
                    keeper.tick(self._tick_count)
            for gateway in self.gateways:
                for link in gateway.links.values():
                    is_cut = self.is_cut(gateway, link.keeper)
                    link.tick(self._tick_count, is_cut=is_cut)
                gateway.feed.update()
            self.on_tick()
