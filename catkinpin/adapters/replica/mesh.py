"""Streams between the replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from catkinpin.adapters.peers import links
from catkinpin.adapters.replica import transport
from catkinpin.core import messages

if TYPE_CHECKING:
    from collections.abc import Callable

ROLE = "replica"
# Replicas speak on the stream that they opened; only pings come back on it.
_Back = messages.Ping | transport.NodeInfo


class Mesh:
    """One stream to each other replica, and who answers at its end.

    Args:
        addresses: peer addresses of the other replicas.
        on_connected: called with the address of each stream that comes up.
        grows: whether replicas that become known later are connected, too.
    """

    def __init__(
        self,
        addresses: list[str],
        on_connected: Callable[[str], None],
        *,
        grows: bool = False,
    ) -> None:
        self.addresses = addresses
        self._grows = grows
        self._hello: messages.Hello | None = None
        self._on_connected = on_connected
        self._links: dict[str, links.PeerLink] = {}
        self._address_of: dict[str, str] = {}

    def start(self, hello: messages.Hello) -> None:
        """Begins to connect."""
        self._hello = hello
        for address in self.addresses:
            self._connect(address, hello)

    def add(self, address: str) -> None:
        """Connects to a replica that became known, if the mesh grows."""
        if not self._grows or self._hello is None or not address:
            return
        if address not in self._links and address != self._hello.address:
            self.addresses.append(address)
            self._connect(address, self._hello)

    async def stop(self) -> None:
        """Closes all streams."""
        for link in self._links.values():
            await link.stop()

    def learn(self, node: str, address: str) -> None:
        """Notes at which address a replica answers now."""
        self._address_of[node] = address
        self.add(address)

    def send(self, node: str, message: Any) -> None:
        """Sends to a replica; dropped where it can't be reached."""
        link = self._links.get(self._address_of.get(node, ""))
        if link is not None:
            link.send(message)

    def broadcast(self, message: Any) -> None:
        """Sends to all other replicas that can be reached."""
        for link in self._links.values():
            link.send(message)

    def _connect(self, address: str, hello: messages.Hello) -> None:
        self._links[address] = links.PeerLink(
            address, hello, _Back, lambda _: None, self._connected
        )
        self._links[address].start()

    def _connected(self, link: links.PeerLink) -> None:
        self._on_connected(link.address)
