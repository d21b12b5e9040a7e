"""Streams from this replica to the other replicas."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from catkinpin.adapters.peers import links
from catkinpin.adapters.replica import transport
from catkinpin.adapters.tasks import BackgroundTasks
from catkinpin.core import addresses, messages

if TYPE_CHECKING:
    from collections.abc import Callable

ROLE = "replica"
# More replicas can only come from foreign messages. Members of the groups are
# recorded again at an interval, so that the oldest ones are others.
_MAX_REPLICAS = 4_096
_MAX_LINKS = 1_024
# Links to addresses that only another process has named, and that never
# connected. They are dropped after a while for others.
_MAX_UNPROVED_LINKS = 16
_UNPROVED_LINK_S = 30.0
# Each replica sends on the streams that it opened itself; the other end sends
# only pings back.
_ReturnMessage = messages.Ping | transport.NodeInfo


class Mesh:
    """One stream to each other replica, and the identities at their ends.

    Args:
        addresses: peer addresses of the other replicas.
        on_connected: called with the address of each stream that connects.
        growable: whether to connect to replicas that become known later.
    """

    def __init__(
        self,
        addresses: list[str],
        on_connected: Callable[[str], None],
        *,
        growable: bool = False,
    ) -> None:
        self.addresses = addresses
        self._growable = growable
        self._hello: messages.Hello | None = None
        self._on_connected = on_connected
        self._links: dict[str, links.PeerLink] = {}
        # For each address that only another process named: when it did.
        self._unproved_since_s: dict[str, float] = {}
        self._address_of: dict[str, str] = {}
        self._stopping = BackgroundTasks()

    def start(self, hello: messages.Hello) -> None:
        """Starts to connect."""
        self._hello = hello
        for address in self.addresses:
            self._connect(address, hello)

    def add_named(self, address: str) -> None:
        """Connects to an address that another process named.

        It may name addresses without end, and each costs an attempt to connect
        every moment; so few are tried at a time, and not for ever.
        """
        self._drop_unproved()
        if (
            address not in self._links
            and len(self._unproved_since_s) < _MAX_UNPROVED_LINKS
        ):
            self.add(address)
            if address in self._links:
                self._unproved_since_s[address] = time.monotonic()

    def known(self) -> list[str]:
        """Returns the addresses that were more than named by a process."""
        return [a for a in self.addresses if a not in self._unproved_since_s]

    def _drop_unproved(self) -> None:
        now_s = time.monotonic()
        for address, since_s in list(self._unproved_since_s.items()):
            link = self._links[address]
            if link.connected.is_set():
                del self._unproved_since_s[address]
            elif now_s - since_s > _UNPROVED_LINK_S:
                del self._unproved_since_s[address], self._links[address]
                self.addresses.remove(address)
                self._stopping.spawn(link.stop())

    def add(self, address: str) -> None:
        """Connects to a replica that became known, if the mesh can grow."""
        self._unproved_since_s.pop(address, None)
        if not self._growable or self._hello is None or not address:
            return
        if len(self._links) >= _MAX_LINKS or not addresses.is_host_port(
            address
        ):
            return
        if address not in self._links and address != self._hello.address:
            self.addresses.append(address)
            self._connect(address, self._hello)

    async def stop(self) -> None:
        """Closes all streams."""
        for link in list(self._links.values()):
            await link.stop()

    def set_address(self, node: str, address: str) -> None:
        """Records a replica's current address, and connects to a new one."""
        self._address_of.pop(node, None)
        self._address_of[node] = address
        while len(self._address_of) > _MAX_REPLICAS:
            del self._address_of[next(iter(self._address_of))]
        self.add(address)

    def send(self, node: str, message: Any) -> None:
        """Sends to a replica; drops the message if there is no stream to it."""
        link = self._links.get(self._address_of.get(node, ""))
        if link is not None:
            link.send(message)

    def broadcast(self, message: Any) -> None:
        """Sends to all other replicas."""
        for link in self._links.values():
            link.send(message)

    def _connect(self, address: str, hello: messages.Hello) -> None:
        self._links[address] = links.PeerLink(
            address,
            hello,
            _ReturnMessage,
            lambda _: None,
            self._handle_connected,
        )
        self._links[address].start()

    def _handle_connected(self, link: links.PeerLink) -> None:
        self._on_connected(link.address)
