"""What a keeper publishes to many gateways.

The pattern: thousands of servers announce themselves at once, or all gateways
connect at once, as after a start of everything.
"""

from __future__ import annotations

import asyncio
import types
from typing import Any, cast

from catkinpin import clock, codec
from catkinpin.adapters.gateway.view import View
from catkinpin.adapters.keeper.publisher import GATEWAY_ROLE, Publisher
from catkinpin.adapters.peers.streams import Stream
from catkinpin.core import messages
from catkinpin.core.control import protocol, servers
from catkinpin.core.control.servers import Fleet
from tests import base
from tests.fakes.instances import instance

_SERVERS = 3_000
_GATEWAYS = 250


class _Stream(Stream):
    """A stream whose queue a test can look into."""

    @property
    def queued(self) -> list[Any]:
        return self._outbox


def _stream() -> _Stream:
    stream = _Stream("test")
    stream.hello = messages.Hello(
        process="g",
        incarnation="i",
        role=GATEWAY_ROLE,
        address="",
        domain="a",
        region="r",
    )
    return stream


class PublisherTest(base.TestCase):
    """Memory and messages by servers and gateways."""

    def setUp(self) -> None:
        super().setUp()
        self.fleet = Fleet()
        self.streams = [_stream() for _ in range(_GATEWAYS)]
        state = types.SimpleNamespace(index=7, fleet=self.fleet)
        self.publisher = Publisher(
            cast("Any", None),
            cast("Any", None),
            cast("Any", types.SimpleNamespace(state=state)),
            cast("Any", types.SimpleNamespace(streams=self.streams)),
        )

    def _announce_all(self) -> None:
        async def announce() -> None:
            for number in range(_SERVERS):
                one = instance(f"s{number}")
                self.fleet.apply(one)
                self.publisher.fleet([one])
            await asyncio.sleep(0.2)

        asyncio.run(announce())

    def test_servers_that_come_at_once_are_one_message(self) -> None:
        """Guards against a keeper that runs out of memory by its queues."""
        self._announce_all()
        first = self.streams[0].queued
        self.assertEqual(1, len(first))
        for stream in self.streams:
            self.assertIs(first[0], stream.queued[0])

    def test_latest_state_of_a_server_is_published(self) -> None:
        """Guards against a drain that is lost among other changes."""

        async def announce() -> None:
            self.publisher.fleet([instance("s1")])
            draining = servers.ServerState.DRAINING
            self.publisher.fleet([instance("s1", state=draining, sequence=2)])
            await asyncio.sleep(0.2)

        asyncio.run(announce())
        view = View(clock.system_clock(), lambda _: None)
        (raw,) = self.streams[0].queued
        decoder = codec.decoder(protocol.FromKeeper)
        view.handle(decoder.decode(raw))
        found = view.fleet.servers["s1"]
        self.assertIs(servers.ServerState.DRAINING, found.state)

    def test_snapshot_is_packed_once_and_read_whole(self) -> None:
        """Guards against a copy of all servers for each gateway."""
        self._announce_all()
        told = self.publisher.all_servers()
        self.assertIs(told.data, self.publisher.all_servers().data)
        view = View(clock.system_clock(), lambda _: None)
        view.handle(told)
        self.assertEqual(_SERVERS, len(view.fleet.servers))
