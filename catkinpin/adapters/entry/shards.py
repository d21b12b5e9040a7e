"""The entry's connections to the replicas, and who leads what."""

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

_RETRY_S = 0.05


class Replicas:
    """Streams to all replicas.

    Args:
        addresses: peer addresses of the replicas.
        hello: how this entry introduces itself.
        on_message: called with messages that are not replies.
        on_connected: called with each stream that comes up.
    """

    def __init__(
        self,
        addresses: list[str],
        hello: messages.Hello,
        on_message: Callable[[Any], None],
        on_connected: Callable[[links.PeerLink], None],
    ) -> None:
        self._leaders: dict[str, messages.GroupLeader] = {}
        self._asked: dict[int, tuple[str, links.PeerLink]] = {}
        self._on_message = on_message
        self.links: dict[str, links.PeerLink] = {}
        for address in addresses:
            self.links[address] = links.PeerLink(
                address, hello, wire.ToEntry, self._handle, on_connected
            )

    def start(self) -> None:
        """Begins to connect to all replicas."""
        for link in self.links.values():
            link.start()

    async def stop(self) -> None:
        """Closes all streams."""
        for link in self.links.values():
            await link.stop()

    def knows_leader(self, group: str) -> bool:
        """Returns whether the group's leader is known and connected."""
        link = self._leader(group)
        return link is not None and link.connected.is_set()

    def broadcast(self, message: Any) -> None:
        """Sends a message to every replica that is connected."""
        for link in self.links.values():
            link.send(message)

    async def ask(
        self, group: str, make: Callable[[int], Any], timeout_s: float
    ) -> Any:
        """Asks the group's leader, and asks again when leadership moves.

        Args:
            group: the log group.
            make: builds the message from the number that correlates the reply;
                the message must be safe to send more than once.
            timeout_s: when to give up.

        Raises:
            PeerLostError: no leader answered in time.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        sent = False
        while True:
            left = deadline - loop.time()
            if left <= 0:
                text = f"no leader of {group} answered"
                raise PeerLostError(text, sent=sent)
            try:
                return await self._ask_leader(group, make, left)
            except (PeerLostError, NotLeaderError) as exc:
                sent = sent or (isinstance(exc, PeerLostError) and exc.sent)
                log.debug("ask again: %s", exc, extra={"group": group})
            await asyncio.sleep(_RETRY_S)

    async def _ask_leader(
        self, group: str, make: Callable[[int], Any], left: float
    ) -> Any:
        link = self._leader(group)
        if link is None:
            text = f"no leader of {group} is known"
            raise PeerLostError(text, sent=False)
        ask = links.next_ask_id()
        self._asked[ask] = (group, link)
        try:
            reply = await link.ask(make(ask), left)
        finally:
            del self._asked[ask]
        if isinstance(reply, messages.NotLeader):
            raise NotLeaderError(reply.leader)
        return reply

    def _leader(self, group: str) -> links.PeerLink | None:
        known = self._leaders.get(group)
        return self.links.get(known.leader) if known is not None else None

    def _ask_again(self, group: str) -> None:
        """Takes back what was asked under an earlier term.

        A leader that lost its office forgets who waits for it. Its stream
        may stay open for ever, and the caller would wait until its deadline.
        """
        for ask, (asked, link) in list(self._asked.items()):
            if asked == group:
                link.abandon_ask(ask)

    def _handle(self, message: Any) -> None:
        if isinstance(message, messages.GroupLeader):
            known = self._leaders.get(message.group)
            if known is None or message.term >= known.term:
                self._leaders[message.group] = message
            if known is not None and message.term > known.term:
                self._ask_again(message.group)
            return
        self._on_message(message)
