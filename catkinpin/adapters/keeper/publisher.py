"""Sends a keeper's state to the processes that are connected to it.

Changes of servers, quarantines and unresponsive servers are the feed. Only the
gateways that have subscribed get it, and those of the previous release, which
don't subscribe to any keeper.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from catkinpin import decisions, metrics
from catkinpin.adapters.keeper.serverupdates import ServerUpdates
from catkinpin.adapters.peers import peerserver, streams
from catkinpin.adapters.replica import mesh
from catkinpin.core.control import protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.adapters.peers import links
    from catkinpin.adapters.replica import node
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.control.state import SuspectChange
    from catkinpin.roles import KeeperSettings

GATEWAY_ROLE = "gateway"
STORE_ROLE = "store"
KEEPER_ROLE = "keeper"


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
        server: peerserver.PeerServer,
    ) -> None:
        self._cfg = cfg
        self._node = replica
        self._host = host
        self._server = server
        self._subscribers: set[links.Stream] = set()
        self._published_info: protocol.HostInfo | None = None
        self._server_updates = ServerUpdates(host.state, self._feed_streams)

    def subscribe(self, stream: links.Stream, *, active: bool) -> None:
        """Starts or stops the feed of a gateway."""
        is_gateway = stream.hello and stream.hello.role == GATEWAY_ROLE
        if not is_gateway or active == (stream in self._subscribers):
            return
        if active:
            self._subscribers.add(stream)
            # Before the servers, so that links to stores are up soon.
            stream.send(self._host_info())
            self._send_feed(stream)
            stream.send(self._feed_state())
        else:
            self._subscribers.discard(stream)
        self._note_subscription(stream, active=active)

    def drop_stream(self, stream: links.Stream) -> None:
        """Forgets the subscription of a stream that has ended."""
        if stream in self._subscribers:
            self._subscribers.discard(stream)
            self._note_subscription(stream, active=False)

    def publish_feed_state(self) -> None:
        """Tells subscribers up to which index they have all changes."""
        self._server_updates.flush()
        # A slow gateway lacks changes until it gets all servers.
        complete = [
            stream
            for stream in self._subscribers
            if not self._server_updates.is_slow(stream)
        ]
        _send_to(complete, self._feed_state())

    def publish_info(self) -> None:
        """Sends this keeper's identity and known hosts to all processes."""
        self._published_info = self._host_info()
        self._broadcast(self._published_info)

    def publish_status(self) -> None:
        """Sends this keeper's identity and the leader to all processes.

        Gateways that get no feed from here get the stores from their own feed.
        """
        self._publish_info_to("")

    def publish_changed_info(self) -> None:
        """Sends gateways this keeper's identity and known hosts if changed.

        Gateways divide the servers' limits by the number of gateways.
        """
        if self._host_info() != self._published_info:
            self._publish_info_to(GATEWAY_ROLE)

    def publish_routing(self) -> None:
        """Sends the version of the newest routes known here to gateways."""
        self._broadcast(self._routing_update(), GATEWAY_ROLE)

    def publish_servers(self, instances: list[Instance]) -> None:
        """Sends changed servers to gateways."""
        self._server_updates.add_changed(instances)

    def send_to_slow_gateways(self) -> None:
        """Sends all servers to slow gateways that have emptied their queue."""
        self._server_updates.send_to_slow_gateways()

    def publish_suspects(
        self, change: SuspectChange, *, is_leader: bool
    ) -> None:
        """Sends gateways a change of quarantined and suspected requests.

        The leader sends it to the other keepers as well, which relay it. They
        apply the record only after the leader's next message, some tens of ms
        later, and until then a caller may send a harmful request again.
        """
        message = protocol.QuarantineUpdate(
            contents=change.quarantined,
            suspects=change.suspects,
            cleared=change.cleared,
            held=change.held,
            lifted=[*change.lifted, *change.lapsed],
        )
        _send_to(self._feed_streams(), message)
        if is_leader:
            _send_to(self._streams(KEEPER_ROLE), message)

    def publish_unresponsive(self, servers: list[str]) -> None:
        """Publishes the unresponsive servers of plain services.

        Only the leader knows them. It sends them to the gateways that get its
        feed and to the other keepers, which relay them to their subscribers.
        """
        targets = [*self._feed_streams(), *self._streams(KEEPER_ROLE)]
        _send_to(targets, protocol.UnresponsiveUpdate(servers=servers))

    def relay(
        self,
        message: protocol.UnresponsiveUpdate | protocol.QuarantineUpdate,
    ) -> None:
        """Relays a message of the leader to subscribers."""
        _send_to(self._subscribers, message)

    def replace_feed(self) -> None:
        """Sends the whole feed after a snapshot has replaced the state."""
        self._server_updates.replace_all()
        _send_to(self._feed_streams(), self._all_suspects())

    def publish_expired(self, attempts: list[str]) -> None:
        """Sends to stores the turns whose bytes are no longer needed."""
        self._broadcast(protocol.Expired(attempts=attempts), STORE_ROLE)

    def send_state(self, stream: links.Stream) -> None:
        """Sends the state that a newly connected process needs.

        Links may be established often, so a gateway that subscribes gets
        neither the servers nor the stores before it has subscribed.
        """
        hello = stream.hello
        if hello is None or hello.role != GATEWAY_ROLE:
            stream.send(self._host_info())
            return
        stream.send(self._host_info(with_stores=not hello.subscribes))
        stream.send(self._routing_update())
        if not hello.subscribes:
            self._send_feed(stream)

    def gateway_count(self) -> int:
        """Returns how many gateways are connected."""
        return sum(1 for _ in self._streams(GATEWAY_ROLE))

    def _send_feed(self, stream: links.Stream) -> None:
        """Sends the state with which the feed of a gateway begins."""
        self._server_updates.send_all(stream)
        stream.send(self._all_suspects())

    def _all_suspects(self) -> protocol.QuarantineUpdate:
        suspects = self._host.state.suspects
        return protocol.QuarantineUpdate(
            contents=list(self._host.state.quarantined),
            suspects=list(suspects.crash_counts()),
            held=list(suspects.judged_counts()),
            lifted=list(self._host.state.lifted),
            whole=True,
        )

    def _feed_state(self) -> protocol.FeedState:
        return protocol.FeedState(
            index=self._host.state.index,
            is_current=self._host.group.is_current(),
        )

    def _note_subscription(self, stream: links.Stream, *, active: bool) -> None:
        metrics.FEED_SUBSCRIPTIONS.labels(str(active).lower()).inc()
        metrics.FEED_SUBSCRIBERS.set(len(self._subscribers))
        decisions.note(
            "subscription",
            "",
            gateway=stream.hello.process if stream.hello else "",
            active=active,
            index=self._host.state.index,
            is_current=self._host.group.is_current(),
            subscribers=len(self._subscribers),
        )

    def _publish_info_to(self, role: str) -> None:
        self._published_info = self._host_info()
        full = streams.encode(self._published_info)
        brief = streams.encode(self._host_info(with_stores=False))
        with_feed = set(self._feed_streams())
        for stream in self._streams(role):
            is_gateway = stream.hello and stream.hello.role == GATEWAY_ROLE
            needs_stores = not is_gateway or stream in with_feed
            stream.send_encoded(full if needs_stores else brief)

    def _host_info(self, *, with_stores: bool = True) -> protocol.HostInfo:
        group = self._host.group
        known = {member.address for member in group.members.members}
        known |= set(self._node.known_addresses())
        stores = self._host.state.stores.by_node.values()
        if with_stores:
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
            offers_feed=True,
        )

    def _routing_update(self) -> protocol.RoutingUpdate:
        return protocol.RoutingUpdate(
            version=self._host.state.version,
            is_current=self._host.group.is_current(),
        )

    def _broadcast(self, message: Any, role: str = "") -> None:
        _send_to(self._streams(role), message)

    def _feed_streams(self) -> Iterator[links.Stream]:
        """Yields the streams of the gateways that get the feed."""
        for stream in self._streams(GATEWAY_ROLE):
            is_legacy = stream.hello and not stream.hello.subscribes
            if is_legacy or stream in self._subscribers:
                yield stream

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


def _send_to(targets: Iterable[links.Stream], message: Any) -> None:
    """Encodes a message once and sends it on several streams."""
    encoded = streams.encode(message)
    for stream in targets:
        stream.send_encoded(encoded)
