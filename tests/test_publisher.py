"""Tests what a keeper sends to many gateways, without a network.

The load is that of a start of the whole system: thousands of servers announce
themselves at once, and all gateways connect at once.
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
_RECORDS_PER_SYNC = 30
# A keeper's host has 296 MB of memory for everything that runs on it.
_MAX_BYTES = 32 * 1024 * 1024

# Far above the 20 ms of a batch, for a busy machine; a drained server must be
# known within 2.5 s.
_MAX_BATCH_WAIT_S = 1.0

_decoder = codec.decoder(protocol.FromKeeper)


class _Stream(Stream):
    """A stream whose send queue grows until a test reads it."""

    def __init__(self) -> None:
        super().__init__("test")

    def read(self) -> list[Any]:
        queued, self._send_queue = self._send_queue, []
        return queued


class ServerUpdatesTest(base.TestCase):
    """Memory and messages for many servers and gateways."""

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
                one = instance(f"s{number}", address=f"10.0.0.1:{number + 1}")
                self.updates.add_changed(self.state.fleet.apply(one))
                if number % _RECORDS_PER_SYNC == _RECORDS_PER_SYNC - 1:
                    self.updates.flush()
                    read()
            self.updates.flush()

        asyncio.run(main())

    def _view(self, encoded: list[Any]) -> GatewayView:
        view = GatewayView(clock.system_clock(), lambda _: None)
        for message in encoded:
            view.handle(_decoder.decode(message))
        return view

    def test_memory_of_a_start_fits_a_keeper(self) -> None:
        """Guards against a keeper that runs out of memory for send queues."""
        tracemalloc.start()
        try:
            self._announce(_SERVERS)
            for stream in self.streams:
                self.updates.send_all(stream)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertLess(peak, _MAX_BYTES)

    def test_changes_within_some_ms_are_one_message_sent_in_time(self) -> None:
        """Guards against a message for each record, and against none at all."""

        async def main() -> list[Any]:
            for number in range(_RECORDS_PER_SYNC):
                one = instance(f"s{number}", address=f"10.0.0.1:{number + 1}")
                self.updates.add_changed(self.state.fleet.apply(one))
                await asyncio.sleep(0)
            async with asyncio.timeout(_MAX_BATCH_WAIT_S):
                while not self.streams[0].queue_length:
                    await asyncio.sleep(0.001)
            return self.streams[0].read()

        messages = asyncio.run(main())
        self.assertEqual(1, len(messages))
        self.assertEqual(
            _RECORDS_PER_SYNC, len(self._view(messages).fleet.servers)
        )

    def test_changes_of_one_batch_are_one_message_for_all(self) -> None:
        """Guards against encoding each change for each gateway."""
        self._announce(_RECORDS_PER_SYNC)
        first = self.streams[0].read()
        self.assertEqual(1, len(first))
        for stream in self.streams[1:]:
            self.assertIs(first[0], stream.read()[0])
        self.assertEqual(
            _RECORDS_PER_SYNC, len(self._view(first).fleet.servers)
        )

    def test_slow_gateway_gets_all_servers_once_it_has_caught_up(self) -> None:
        """Guards against unbounded send queues and missed changes."""
        slow = self.streams[0]
        read: list[Any] = []
        self._announce(_SERVERS)
        self.updates.send_to_slow_gateways()
        self.assertLess(slow.queue_length, _SERVERS // _RECORDS_PER_SYNC)
        read += slow.read()
        self.updates.send_to_slow_gateways()
        read += slow.read()
        self.assertEqual(_SERVERS, len(self._view(read).fleet.servers))
        self._announce(1)
        self.updates.send_to_slow_gateways()
        self.assertEqual([], slow.read())

    def test_gateway_that_keeps_up_gets_each_change(self) -> None:
        """Guards against sending all servers without need."""
        read: list[Any] = []
        self._announce(_SERVERS, lambda: read.extend(self.streams[0].read()))
        self.updates.send_to_slow_gateways()
        read += self.streams[0].read()
        kinds = {type(_decoder.decode(message)) for message in read}
        self.assertEqual({protocol.ServersUpdate}, kinds)
        self.assertEqual(_SERVERS, len(self._view(read).fleet.servers))

    def test_all_servers_follow_each_change(self) -> None:
        """Guards against sending an outdated state to a new gateway."""
        stream = self.streams[0]
        self._announce(2)
        stream.read()
        self.updates.send_all(stream)
        gone = instance("s1", state=servers.ServerState.GONE, sequence=2)

        async def leave() -> None:
            self.updates.add_changed(self.state.fleet.apply(gone))

        asyncio.run(leave())
        stream.read()
        self.updates.send_all(stream)
        self.assertEqual(["s0"], list(self._view(stream.read()).fleet.servers))
