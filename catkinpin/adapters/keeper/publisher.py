"""Sends a keeper's state to the processes that are connected to it."""

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
        replica: this keeper's node of the control group.
        host: the control group's state.
        server: holds the streams of the connected processes.
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
        self._server_updates = ServerUpdates(
            host.state, lambda: self._streams(GATEWAY_ROLE)
        )

    def publish_info(self) -> None:
        """Sends this keeper's identity and known hosts to all processes."""
        self._broadcast(self._host_info())

    def publish_info_to_gateways(self) -> None:
        """Sends the same to gateways only.

        Gateways divide the servers' limits by the number of gateways.
        """
        self._broadcast(self._host_info(), GATEWAY_ROLE)

    def publish_routing(self) -> None:
        """Sends the version of the newest routes known here to gateways."""
        self._broadcast(self._routing_update(), GATEWAY_ROLE)

    def publish_servers(self, instances: list[Instance]) -> None:
        """Sends changed servers to gateways."""
        self._server_updates.add_changed(instances)

    def send_to_slow_gateways(self) -> None:
        """Sends all servers to slow gateways that have emptied their queue."""
        self._server_updates.send_to_slow_gateways()

    def publish_quarantine(self, contents: list[str]) -> None:
        """Sends gateways the digests of contents that no server may get."""
        self._broadcast(
            protocol.QuarantineUpdate(contents=contents), GATEWAY_ROLE
        )

    def publish_unresponsive(self, servers: list[str]) -> None:
        """Tells gateways which servers of plain services are unresponsive."""
        self._broadcast(
            protocol.UnresponsiveUpdate(servers=servers), GATEWAY_ROLE
        )

    def publish_expired(self, attempts: list[str]) -> None:
        """Sends to stores the turns whose bytes are no longer needed."""
        self._broadcast(protocol.Expired(attempts=attempts), STORE_ROLE)

    def send_state(self, stream: links.Stream) -> None:
        """Sends the whole state that a newly connected process needs."""
        stream.send(self._host_info())
        if stream.hello is None or stream.hello.role != GATEWAY_ROLE:
            return
        stream.send(self._routing_update())
        self._server_updates.send_all(stream)
        contents = list(self._host.state.quarantined)
        stream.send(protocol.QuarantineUpdate(contents=contents))

    def gateway_count(self) -> int:
        """Returns how many gateways are connected."""
        return sum(1 for _ in self._streams(GATEWAY_ROLE))

    def _host_info(self) -> protocol.HostInfo:
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
            gateways=self.gateway_count(),
        )

    def _routing_update(self) -> protocol.RoutingUpdate:
        return protocol.RoutingUpdate(
            version=self._host.state.version,
            is_current=self._host.group.is_current(),
        )

    def _broadcast(self, message: Any, role: str = "") -> None:
        encoded = streams.encode(message)
        for stream in self._streams(role):
            stream.send_encoded(encoded)

    def _streams(self, role: str) -> Iterator[links.Stream]:
        """Yields the streams of the processes of a role.

        An empty role yields all but the streams between replicas.
        """
        for stream in self._server.streams:
            hello = stream.hello
            if hello is None or hello.role == mesh.ROLE:
                continue
            if not role or hello.role == role:
                yield stream
