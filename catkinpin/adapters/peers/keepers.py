"""Links to the keepers, for whoever asks them: gateways and other keepers."""

from __future__ import annotations

import asyncio
import dataclasses
import functools
import logging
import time
from typing import TYPE_CHECKING, Any

from catkinpin.adapters.peers import links
from catkinpin.core.control import protocol
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from catkinpin.core.messages import Hello

log = logging.getLogger(__name__)

# Between two tries to find a leader; an election takes some hundred ms.
_RETRY_S = 0.04
# A keeper that was not reached for so long and that no other one names is
# gone for good.
_FORGET_S = 30.0
# One question to one keeper: a sync on a slow disk, twice the way between
# regions, and room. After that another may lead.
_ONE_ASK_S = 0.7


@dataclasses.dataclass
class Host:
    """A keeper and the stream to it.

    Attributes:
        info: its newest introduction, None before the first.
        seen_s: monotonic time at which it was last connected.
        asks: numbers of asks under way that only a leader answers.
    """

    link: links.PeerLink
    info: protocol.HostInfo | None = None
    seen_s: float = 0.0
    asks: set[int] = dataclasses.field(default_factory=set)

    @property
    def is_connected(self) -> bool:
        """Whether there is a stream now."""
        return self.link.connected.is_set()


class Keepers:
    """Streams to all keepers, found from a few seeds.

    Args:
        hello: how this process introduces itself.
        on_message: called with what a keeper says unasked.
    """

    def __init__(
        self,
        hello: Hello,
        on_message: Callable[[Host, Any], None] = lambda _host, _message: None,
    ) -> None:
        self._hello = hello
        self._on_message = on_message
        self._hosts: dict[str, Host] = {}
        self._leader = ""
        self._term = 0
        self.retiring: frozenset[str] = frozenset()

    def add(self, addresses: Iterable[str]) -> None:
        """Connects to keepers by their peer addresses."""
        for address in addresses:
            if address in self._hosts or address == self._hello.address:
                continue
            link = links.PeerLink(
                address,
                self._hello,
                protocol.FromKeeper,
                functools.partial(self._handle, address),
                link="to-keeper",
            )
            host = Host(link, seen_s=time.monotonic())
            self._hosts[address] = host
            host.link.start()

    async def stop(self) -> None:
        """Closes all streams."""
        for host in self._hosts.values():
            await host.link.stop()

    def connected(self) -> list[Host]:
        """Returns the keepers that can be asked now."""
        return [
            host
            for host in self._hosts.values()
            if host.is_connected and host.info is not None
        ]

    def by_node(self, node: str) -> Host | None:
        """Returns a keeper by its identity, None where it isn't connected."""
        for host in self.connected():
            if host.info is not None and host.info.node == node:
                return host
        return None

    def by_address(self, address: str) -> Host | None:
        """Returns a keeper by its peer address, None where not connected."""
        host = self._hosts.get(address)
        return host if host is not None and host.is_connected else None

    @property
    def leader(self) -> str:
        """Peer address of the leader, empty where not known."""
        return self._leader

    def gateway_count(self) -> int:
        """Returns how many gateways the keepers know; 0 at first."""
        counts = [h.info.gateways for h in self.connected() if h.info]
        return max(counts, default=0)

    def tick(self) -> None:
        """Forgets keepers that are gone for good."""
        now = time.monotonic()
        for address, host in list(self._hosts.items()):
            if host.is_connected:
                host.seen_s = now
            elif now - host.seen_s > _FORGET_S:
                log.info("keeper forgotten", extra={"peer": address})
                del self._hosts[address]
                # The task ends by itself; nobody waits for it.
                stopping = asyncio.ensure_future(host.link.stop())
                stopping.add_done_callback(lambda _: None)

    async def ask(
        self, host: Host, make: Callable[[int], Any], wait_s: float
    ) -> Any:
        """Asks one keeper.

        Args:
            host: whom to ask.
            make: returns the message for a number that correlates the reply.
            wait_s: longest wait.

        Raises:
            PeerLostError: no reply came; the keeper may or may not have acted.
        """
        return await host.link.ask(make(links.next_ask_id()), wait_s)

    async def ask_leader(
        self, make: Callable[[int], Any], wait_s: float
    ) -> Any:
        """Asks the leader, whoever that is by then.

        The message must be one that may be applied twice: where a leader dies
        after it has acted, the next one is asked the same.

        Raises:
            PeerLostError: there was no answer in time.
        """
        until = time.monotonic() + wait_s
        why = "no leader is known"
        while (left := until - time.monotonic()) > 0:
            host = self.by_address(self._leader)
            if host is not None:
                try:
                    reply = await self._ask_once(
                        host, make, min(left, _ONE_ASK_S)
                    )
                except PeerLostError as exc:
                    why = str(exc)
                else:
                    if not isinstance(reply, protocol.Refused):
                        return reply
                    why = reply.reason
            await asyncio.sleep(_RETRY_S)
        raise PeerLostError(why)

    async def _ask_once(
        self, host: Host, make: Callable[[int], Any], wait_s: float
    ) -> Any:
        """Asks a leader until it answers or another one leads.

        A leader whose host is frozen keeps its stream: only a message from the
        next one reveals it. Waiting on would cost each turn under way the
        rest of one ask's time on top of the election.
        """
        number = links.next_ask_id()
        host.asks.add(number)
        try:
            return await host.link.ask(make(number), wait_s)
        finally:
            host.asks.discard(number)

    def _give_up_asks(self) -> None:
        """Ends the waits for replies of keepers that lead no more."""
        for address, host in self._hosts.items():
            if address != self._leader:
                for number in host.asks:
                    host.link.abandon_ask(number)

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
                self._give_up_asks()
                self.retiring = frozenset(message.retiring)
            elif not message.term and self._term:
                # Its disk may be lost: it must not found the system anew.
                host.link.send(protocol.GroupSeen(term=self._term))
        self._on_message(host, message)
