"""Links of gateways, stores and keepers to the keepers and stores."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import logging
import random
import time
from typing import TYPE_CHECKING, Any

from catkinpin import decisions, metrics
from catkinpin.adapters.peers import links
from catkinpin.core.addresses import is_host_port
from catkinpin.core.control import protocol
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from catkinpin.core.messages import Hello

log = logging.getLogger(__name__)

# Between two attempts to reach the leader; an election takes some hundred ms.
_RETRY_DELAY_S = 0.04
# A host that was not connected for this long counts as lost. It may be back at
# any time, so it is still tried, but less often the longer it is away.
_LOST_AFTER_S = 30.0
_MAX_RECONNECT_DELAY_S = 3.0
# Share of a host's time away that passes between two attempts to reach it.
_RECONNECT_SHARE = 0.02
# Longest wait for one keeper's reply: a sync on a slow disk, a round trip
# between regions, and some reserve. After that another keeper may lead.
_SINGLE_ASK_TIMEOUT_S = 0.7
# More hosts can only come from foreign messages, or from years of replaced
# hosts; the one that was away longest is dropped for a new one.
_MAX_HOSTS = 4_096


@dataclasses.dataclass
class Host:
    """A keeper or a store, and the link to it.

    Attributes:
        info: its latest description of itself, None before the first.
        is_seed: whether the settings name it.
        is_lost: whether it has been away for so long that it counts as lost.
        last_connected_s: monotonic time at which it was last connected.
        leader_ask_ids: ids of the pending requests that this host was sent
            because it led. They fail once another host leads.
    """

    link: links.PeerLink
    info: protocol.HostInfo | None = None
    is_seed: bool = False
    is_lost: bool = False
    last_connected_s: float = 0.0
    leader_ask_ids: set[int] = dataclasses.field(default_factory=set)

    @property
    def is_connected(self) -> bool:
        """Whether the link has a stream now."""
        return self.link.connected.is_set()


class Keepers:
    """Links to all keepers and stores, which it finds from a few seeds.

    Args:
        hello: first message on each link; it says which process this is.
        on_message: called with each message that is not a reply.
        on_disconnected: called with a host after the stream to it has ended.

    Attributes:
        retiring: identities of the stores that are being emptied.
    """

    def __init__(
        self,
        hello: Hello,
        on_message: Callable[[Host, Any], None] = lambda _host, _message: None,
        on_disconnected: Callable[[Host], None] = lambda _host: None,
    ) -> None:
        self._hello = hello
        self._on_message = on_message
        self._on_disconnected = on_disconnected
        self._hosts: dict[str, Host] = {}
        self._leader = ""
        self._term = 0
        self.retiring: frozenset[str] = frozenset()

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Connects to the hosts that the settings name, as long as they do."""
        seeds = list(addresses)
        self.add(seeds)
        for address, host in self._hosts.items():
            host.is_seed = address in seeds

    def add(self, addresses: Iterable[str]) -> None:
        """Connects to the hosts at these peer addresses."""
        for address in addresses:
            if address in self._hosts or address == self._hello.address:
                continue
            # Keepers of earlier releases also know hosts without an address.
            if not is_host_port(address) or not self._has_room():
                continue
            link = links.PeerLink(
                address,
                self._hello,
                protocol.FromKeeper,
                functools.partial(self._handle, address),
                on_disconnected=functools.partial(
                    self._handle_disconnect, address
                ),
                link="to-keeper",
                reconnect_delay_s=functools.partial(
                    self._reconnect_delay_s, address
                ),
            )
            host = Host(link, last_connected_s=time.monotonic())
            self._hosts[address] = host
            host.link.start()

    async def stop(self) -> None:
        """Closes all links."""
        for host in list(self._hosts.values()):
            await host.link.stop()

    def connected(self) -> list[Host]:
        """Returns the connected hosts that have described themselves."""
        return [
            host
            for host in self._hosts.values()
            if host.is_connected and host.info is not None
        ]

    def addresses(self) -> list[str]:
        """Returns the peer addresses of all hosts, connected or not."""
        return list(self._hosts)

    def host_count(self) -> int:
        """Returns how many hosts are connected or were so recently."""
        return sum(not host.is_lost for host in self._hosts.values())

    def by_node(self, node: str) -> Host | None:
        """Returns a host by its identity, None if it isn't connected."""
        for host in self.connected():
            if host.info is not None and host.info.node == node:
                return host
        return None

    def by_address(self, address: str) -> Host | None:
        """Returns a host by its peer address, None if it isn't connected."""
        host = self._hosts.get(address)
        return host if host is not None and host.is_connected else None

    @property
    def leader(self) -> str:
        """Peer address of the leader, "" while it is unknown."""
        return self._leader

    def gateway_count(self) -> int:
        """Returns the largest gateway count that a host reports, or 0."""
        counts = [h.info.gateways for h in self.connected() if h.info]
        return max(counts, default=0)

    def tick(self) -> None:
        """Notes which hosts were lost or are back."""
        now_s = time.monotonic()
        for address, host in self._hosts.items():
            away_s = now_s - host.last_connected_s
            if host.is_connected:
                host.last_connected_s = now_s
            is_lost = not host.is_connected and away_s > _LOST_AFTER_S
            if is_lost != host.is_lost:
                host.is_lost = is_lost
                decisions.note(
                    "host-lost" if is_lost else "host-back",
                    "",
                    address=address,
                    is_seed=host.is_seed,
                    away_s=int(away_s),
                )
        lost_count = len(self._hosts) - self.host_count()
        metrics.LOST_HOSTS.set(lost_count)

    def _reconnect_delay_s(self, address: str) -> float:
        """Returns the pause before the next attempt to reach a host.

        Processes that lost the same host try it at different times.
        """
        host = self._hosts.get(address)
        if host is None or not host.is_lost:
            return links.RECONNECT_DELAY_S
        away_s = time.monotonic() - host.last_connected_s
        delay_s = min(_MAX_RECONNECT_DELAY_S, _RECONNECT_SHARE * away_s)
        return delay_s * random.uniform(0.5, 1.0)

    def _has_room(self) -> bool:
        """Returns whether one more host may be added.

        Drops the host that was away longest, if there are too many.
        """
        if len(self._hosts) < _MAX_HOSTS:
            return True
        lost = [
            address
            for address, host in self._hosts.items()
            if host.is_lost and not host.is_seed
        ]
        if not lost:
            return False
        oldest = min(lost, key=lambda a: self._hosts[a].last_connected_s)
        host = self._hosts.pop(oldest)
        # Nothing needs to wait for this task.
        stopping = asyncio.ensure_future(host.link.stop())
        stopping.add_done_callback(lambda _: None)
        return True

    async def ask(
        self, host: Host, make_message: Callable[[int], Any], wait_s: float
    ) -> Any:
        """Sends a message to one host and waits for the reply.

        Args:
            host: receives the message.
            make_message: returns the message with the given request id.
            wait_s: longest wait.

        Raises:
            PeerLostError: there was no reply in time; the host may or may not
                have handled the message.
        """
        return await host.link.ask(make_message(links.next_ask_id()), wait_s)

    async def ask_leader(
        self, make_message: Callable[[int], Any], wait_s: float
    ) -> Any:
        """Sends a message to the leader and waits for the reply, with retries.

        The message must be idempotent: if a leader crashes after it has handled
        the message, the next leader gets the same message.

        Raises:
            PeerLostError: there was no reply in time.
        """
        deadline = time.monotonic() + wait_s
        last_error = "no leader is known"
        while (left_s := deadline - time.monotonic()) > 0:
            host = self.by_address(self._leader)
            if host is not None:
                try:
                    reply = await self._ask_while_leading(
                        host, make_message, min(left_s, _SINGLE_ASK_TIMEOUT_S)
                    )
                except PeerLostError as exc:
                    last_error = str(exc)
                else:
                    if not isinstance(reply, protocol.Refused):
                        return reply
                    last_error = reply.reason
            await asyncio.sleep(_RETRY_DELAY_S)
        raise PeerLostError(last_error)

    async def _ask_while_leading(
        self, host: Host, make_message: Callable[[int], Any], wait_s: float
    ) -> Any:
        """Asks a leader; waits until it replies or another keeper leads.

        The stream to a frozen leader stays open, so only a message from the
        next leader shows that it no longer leads. If the request kept
        waiting, each turn in progress would lose the rest of the request's
        timeout in addition to the election.
        """
        ask_id = links.next_ask_id()
        host.leader_ask_ids.add(ask_id)
        try:
            return await host.link.ask(make_message(ask_id), wait_s)
        finally:
            host.leader_ask_ids.discard(ask_id)

    def _abandon_stale_asks(self) -> None:
        """Fails the pending requests to keepers that no longer lead."""
        for address, host in self._hosts.items():
            if address != self._leader:
                for ask_id in host.leader_ask_ids:
                    host.link.abandon_ask(ask_id)

    def _handle(self, address: str, message: Any) -> None:
        host = self._hosts.get(address)
        if host is None:
            return
        if isinstance(message, protocol.HostInfo):
            host.info = message
            self.add(message.known)
            if message.term >= self._term and message.leader:
                self._term = message.term
                self._leader = message.leader
                self._abandon_stale_asks()
                self.retiring = frozenset(message.retiring)
            elif not message.term and self._term:
                # It may have lost its disk; tells it that the group exists, so
                # that it does not found a new one.
                host.link.send(protocol.GroupSeen(term=self._term))
        self._on_message(host, message)

    def _handle_disconnect(self, address: str) -> None:
        host = self._hosts.get(address)
        if host is not None:
            self._on_disconnected(host)
