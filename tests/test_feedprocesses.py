"""Tests feeds of real keeper processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin.adapters.peers import keepers
from catkinpin.core.control import protocol
from tests import base
from tests.hellos import GATEWAY_HELLO
from tests.test_deployment import DeploymentCase

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment


class UnresponsiveServersTest(DeploymentCase):
    """What only the leader knows, and a subscriber of another keeper."""

    def test_unresponsive_servers_reach_feeds_of_followers(self) -> None:
        """Guards against servers ejected by the leader's subscribers only."""
        self.run_test(self._report_unresponsive)

    async def _report_unresponsive(self, system: Deployment) -> None:
        addresses = {
            name: line["address"]
            for name in system.hosts
            for line in system.read_log(name)
            if name.startswith("keeper") and line["decision"] == "start"
        }
        leader = addresses[system.find_leader()]
        follower = next(a for a in addresses.values() if a != leader)
        received: list[tuple[str, Any]] = []
        clients = [
            keepers.Keepers(
                msgspec.structs.replace(
                    GATEWAY_HELLO, process=f"g{number}", subscribes=True
                ),
                lambda host, message: received.append(
                    (host.link.address, message)
                ),
            )
            for number in range(2)
        ]
        for client in clients:
            client.add(addresses.values())

        async def are_connected() -> bool:
            return all(client.by_address(follower) for client in clients)

        await base.until(are_connected, "the clients are connected")
        host = clients[0].by_address(follower)
        assert host is not None
        host.link.send(protocol.Subscribe(active=True))
        for client in clients:
            await client.ask_leader(
                lambda ask: protocol.ReportUse(
                    ask=ask, uses=[], unresponsive=["m1"]
                ),
                2.0,
            )

        async def is_known() -> bool:
            update = protocol.UnresponsiveUpdate(servers=["m1"])
            return (follower, update) in received

        await base.until(is_known, "the follower relays the server", 2.0)
        # The feed comes from the follower alone.
        feed_types = (
            protocol.AllServers,
            protocol.FeedState,
            protocol.UnresponsiveUpdate,
        )
        sources = {
            address
            for address, message in received
            if isinstance(message, feed_types)
        }
        self.assertEqual({follower}, sources)
        await asyncio.gather(*(client.stop() for client in clients))
