"""Publishes a keeper's state to all processes connected to it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from catkinpin.adapters.keeper.serverupdates import ServerUpdates
from catkinpin.adapters.peers import streams
from catkinpin.adapters.replica import mesh
from catkinpin.core.control import protocol

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.adapters.peers import links
    from catkinpin.adapters.replica import node
    from catkinpin.core.control.servers import Instance
    from catkinpin.roles import KeeperSettings

GATEWAY_ROLE = "gateway"
STORE_ROLE = "store"


class Publisher:
    """Publishes changes to gateways, stores and other keepers.

    Args:
        cfg: the keeper's settings.
        replica: this keeper's part in the control group.
        host: what this keeper believes.
        server: the streams of those who are connected.
    """

    def __init__(
        self,
        cfg: KeeperSettings,
        replica: node.Node,
        host: KeeperHost,
        server: links.PeerServer,
    ) -> None:
        self._cfg = cfg
        self._node = replica
        self._host = host
        self._server = server
        self._servers = ServerUpdates(
            host.state, lambda: self._streams(GATEWAY_ROLE)
        )

    def info(self) -> None:
        """Tells all who this keeper is and whom it knows."""
        self._broadcast(self._info())

    def gateways_info(self) -> None:
        """Tells gateways the same, as they share the servers' limits."""
        self._broadcast(self._info(), GATEWAY_ROLE)

    def routing(self) -> None:
        """Tells gateways which routes are the newest known here."""
        self._broadcast(self._routing_now(), GATEWAY_ROLE)

    def fleet(self, instances: list[Instance]) -> None:
        """Tells gateways of servers that changed."""
        self._servers.changed(instances)

    def tick(self) -> None:
        """Sends what gateways that read slowly have missed."""
        self._servers.tick()

    def quarantined(self, contents: list[str]) -> None:
        """Tells gateways of contents that no server may get."""
        self._broadcast(
            protocol.QuarantineUpdate(contents=contents), GATEWAY_ROLE
        )

    def unresponsive(self, servers: list[str]) -> None:
        """Tells gateways of plain servers that answer nobody."""
        self._broadcast(
            protocol.UnresponsiveUpdate(servers=servers), GATEWAY_ROLE
        )

    def expired(self, attempts: list[str]) -> None:
        """Tells stores of turns whose bytes are needed no more."""
        self._broadcast(protocol.Expired(attempts=attempts), STORE_ROLE)

    def send_state(self, stream: links.Stream) -> None:
        """Tells one that has just connected all that it needs."""
        stream.send(self._info())
        if stream.hello is None or stream.hello.role != GATEWAY_ROLE:
            return
        stream.send(self._routing_now())
        self._servers.send_all(stream)
        contents = list(self._host.state.quarantined)
        stream.send(protocol.QuarantineUpdate(contents=contents))

    def gateways(self) -> int:
        """Returns how many gateways are connected."""
        return sum(1 for _ in self._streams(GATEWAY_ROLE))

    def _info(self) -> protocol.HostInfo:
        group = self._host.group
        known = {member.address for member in group.members.members}
        known |= set(self._node.known_addresses())
        stores = self._host.state.stores.by_node.values()
        known |= {store.address for store in stores}
        return protocol.HostInfo(
            node=self._node.identity,
            address=self._cfg.peer_listen,
            domain=self._cfg.failure_domain,
            region=self._cfg.region,
            known=sorted(known | {self._cfg.peer_listen}),
            leader=group.leader,
            term=group.term,
            retiring=[store.node for store in stores if store.retiring],
            gateways=self.gateways(),
        )

    def _routing_now(self) -> protocol.RoutingUpdate:
        return protocol.RoutingUpdate(
            version=self._host.state.version,
            is_current=self._host.group.is_current(),
        )

    def _broadcast(self, message: Any, role: str = "") -> None:
        encoded = streams.encode(message)
        for stream in self._streams(role):
            stream.send_encoded(encoded)

    def _streams(self, role: str) -> Iterator[links.Stream]:
        """Yields the streams of all of a role; empty: of all but replicas."""
        for stream in self._server.streams:
            hello = stream.hello
            if hello is None or hello.role == mesh.ROLE:
                continue
            if not role or hello.role == role:
                yield stream
