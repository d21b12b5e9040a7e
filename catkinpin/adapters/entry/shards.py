"""The connections to the replicas, and the leaders of the log groups."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from catkinpin.adapters.peers import links, wire
from catkinpin.core import messages
from catkinpin.exceptions import NotLeaderError, PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

_RETRY_DELAY_S = 0.05


class Replicas:
    """Connections to all replicas.

    Args:
        addresses: peer addresses of the replicas.
        hello: first message on each stream; it says which process this is.
        on_message: called with messages that are not replies.
        on_connected: called with each link that is established.
    """

    def __init__(
        self,
        addresses: list[str],
        hello: messages.Hello,
        on_message: Callable[[Any], None],
        on_connected: Callable[[links.PeerLink], None],
    ) -> None:
        self._leaders: dict[str, messages.GroupLeader] = {}
        self._pending_asks: dict[int, tuple[str, links.PeerLink]] = {}
        self._on_message = on_message
        self.links: dict[str, links.PeerLink] = {}
        for address in addresses:
            self.links[address] = links.PeerLink(
                address, hello, wire.ToEntry, self._handle, on_connected
            )

    def start(self) -> None:
        """Starts to connect to all replicas."""
        for link in self.links.values():
            link.start()

    async def stop(self) -> None:
        """Closes all connections."""
        for link in self.links.values():
            await link.stop()

    def knows_leader(self, group: str) -> bool:
        """Returns whether the group's leader is known and connected."""
        link = self._leader_link(group)
        return link is not None and link.connected.is_set()

    def broadcast(self, message: Any) -> None:
        """Sends a message to every replica that is connected."""
        for link in self.links.values():
            link.send(message)

    async def ask(
        self, group: str, make_message: Callable[[int], Any], timeout_s: float
    ) -> Any:
        """Asks the group's leader, and asks again if the leader changes.

        Args:
            group: the log group.
            make_message: builds the message from the number that matches the
                reply to it. The message must be safe to send more than once.
            timeout_s: how long to retry.

        Raises:
            PeerLostError: no leader answered in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        sent = False
        while True:
            left_s = deadline - loop.time()
            if left_s <= 0:
                text = f"no leader of {group} answered"
                raise PeerLostError(text, sent=sent)
            try:
                return await self._ask_leader(group, make_message, left_s)
            except (PeerLostError, NotLeaderError) as exc:
                sent = sent or (isinstance(exc, PeerLostError) and exc.sent)
                log.debug("ask again: %s", exc, extra={"group": group})
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _ask_leader(
        self, group: str, make_message: Callable[[int], Any], left_s: float
    ) -> Any:
        link = self._leader_link(group)
        if link is None:
            text = f"no leader of {group} is known"
            raise PeerLostError(text, sent=False)
        ask = links.next_ask_id()
        self._pending_asks[ask] = (group, link)
        try:
            reply = await link.ask(make_message(ask), left_s)
        finally:
            del self._pending_asks[ask]
        if isinstance(reply, messages.NotLeader):
            raise NotLeaderError(reply.leader)
        return reply

    def _leader_link(self, group: str) -> links.PeerLink | None:
        known = self._leaders.get(group)
        return self.links.get(known.leader) if known is not None else None

    def _abandon_asks(self, group: str) -> None:
        """Abandons the requests that were sent to a leader of an earlier term.

        A replica that no longer leads drops the requests that wait. Its stream
        may stay open forever, so the caller would wait until its deadline.
        """
        for ask, (asked_group, link) in list(self._pending_asks.items()):
            if asked_group == group:
                link.abandon_ask(ask)

    def _handle(self, message: Any) -> None:
        if isinstance(message, messages.GroupLeader):
            known = self._leaders.get(message.group)
            if known is None or message.term >= known.term:
                self._leaders[message.group] = message
            if known is not None and message.term > known.term:
                self._abandon_asks(message.group)
            return
        self._on_message(message)
