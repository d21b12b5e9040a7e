"""What a keeper publishes to many gateways, without a network.

The pattern: thousands of servers announce themselves at once, or all gateways
connect at once, as after a start of everything.
"""

from __future__ import annotations

import asyncio
import tracemalloc
from typing import TYPE_CHECKING, Any

from catkinpin import clock, codec
from catkinpin.adapters.gateway.view import GatewayView
from catkinpin.adapters.keeper.serverupdates import ServerUpdates
from catkinpin.adapters.peers.streams import Stream
from catkinpin.core.control import protocol, servers, state
from tests import base
from tests.fakes.instances import instance

if TYPE_CHECKING:
    from collections.abc import Callable

_SERVERS = 3_000
_GATEWAYS = 250
_RECORDS_A_SYNC = 30
# A keeper's host has 296 MB for all that it does.
_MAX_BYTES = 32 * 1024 * 1024

_decoder = codec.decoder(protocol.FromKeeper)


class _Stream(Stream):
    """A stream whose queue a test reads, or leaves to grow."""

    def __init__(self) -> None:
        super().__init__("test")

    def read(self) -> list[Any]:
        read, self._outbox = self._outbox, []
        return read


class ServerUpdatesTest(base.TestCase):
    """Memory and messages, by servers and gateways."""

    def setUp(self) -> None:
        super().setUp()
        self.state = state.ControlState()
        self.streams = [_Stream() for _ in range(_GATEWAYS)]
        self.updates = ServerUpdates(self.state, lambda: self.streams)

    def _announce(
        self, count: int, read: Callable[[], None] = lambda: None
    ) -> None:
        async def main() -> None:
            for number in range(count):
                one = instance(f"s{number}", address=f"10.0.0.1:{number}")
                self.updates.changed(self.state.fleet.apply(one))
                if number % _RECORDS_A_SYNC == _RECORDS_A_SYNC - 1:
                    await asyncio.sleep(0)
                    await asyncio.sleep(0)
                    read()
            await asyncio.sleep(0)
            await asyncio.sleep(0)

        asyncio.run(main())

    def _view(self, raws: list[Any]) -> GatewayView:
        view = GatewayView(clock.system_clock(), lambda _: None)
        for raw in raws:
            view.handle(_decoder.decode(raw))
        return view

    def test_memory_of_a_start_fits_a_keeper(self) -> None:
        """Guards against a keeper that ends for what waits for gateways."""
        tracemalloc.start()
        try:
            self._announce(_SERVERS)
            for stream in self.streams:
                self.updates.send_all(stream)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak, _MAX_BYTES)

    def test_changes_of_one_turn_are_one_message_for_all(self) -> None:
        """Guards against a copy of each change for each gateway."""
        self._announce(_RECORDS_A_SYNC)
        first = self.streams[0].read()
        self.assertEqual(1, len(first))
        for stream in self.streams[1:]:
            self.assertIs(first[0], stream.read()[0])
        self.assertEqual(_RECORDS_A_SYNC, len(self._view(first).fleet.servers))

    def test_slow_gateway_gets_all_servers_once_it_has_caught_up(self) -> None:
        """Guards against a queue that grows, and against changes missed."""
        slow = self.streams[0]
        read: list[Any] = []
        self._announce(_SERVERS)
        self.updates.tick()
        self.assertLess(slow.queued, _SERVERS // _RECORDS_A_SYNC)
        read += slow.read()
        self.updates.tick()
        read += slow.read()
        self.assertEqual(_SERVERS, len(self._view(read).fleet.servers))
        self._announce(1)
        self.updates.tick()
        self.assertEqual([], slow.read())

    def test_gateway_that_keeps_up_gets_each_change(self) -> None:
        """Guards against a fall-back to all servers without need."""
        read: list[Any] = []
        self._announce(_SERVERS, lambda: read.extend(self.streams[0].read()))
        self.updates.tick()
        read += self.streams[0].read()
        kinds = {type(_decoder.decode(raw)) for raw in read}
        self.assertEqual({protocol.ServersUpdate}, kinds)
        self.assertEqual(_SERVERS, len(self._view(read).fleet.servers))

    def test_all_servers_follow_each_change(self) -> None:
        """Guards against a new gateway that hears of an earlier state."""
        stream = self.streams[0]
        self._announce(2)
        stream.read()
        self.updates.send_all(stream)
        gone = instance("s1", state=servers.ServerState.GONE, sequence=2)

        async def leave() -> None:
            self.updates.changed(self.state.fleet.apply(gone))

        asyncio.run(leave())
        stream.read()
        self.updates.send_all(stream)
        self.assertEqual(["s0"], list(self._view(stream.read()).fleet.servers))
