"""A gateway's asks to the leader, on real sockets."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from catkinpin.adapters.peers import keepers, links
from catkinpin.core import messages
from catkinpin.core.control import protocol
from tests import base
from tests.hellos import GATEWAY_HELLO

if TYPE_CHECKING:
    from collections.abc import Callable

# Well below the time for which one ask waits for its reply.
_AT_ONCE_S = 0.35


class _Keeper:
    """A keeper that says who leads, and answers where a test wants it to."""

    def __init__(self, *, answers: bool) -> None:
        self.asked = 0
        # How often it heard that there was a leader.
        self.seen = 0
        self.address = ""
        self.leader = ""
        self.term = 1
        self.on_asked: Callable[[], None] = lambda: None
        self._answers = answers
        self._server = links.PeerServer(
            protocol.ToKeeper, self._handle, lambda _: None
        )

    async def start(self) -> None:
        self.address = await self._server.start("127.0.0.1:0")

    async def stop(self) -> None:
        await self._server.stop()

    def tell(self) -> None:
        info = protocol.HostInfo(
            node=self.address,
            address=self.address,
            domain="a",
            region="a",
            known=[],
            leader=self.leader,
            term=self.term,
        )
        for stream in self._server.streams:
            stream.send(info)

    def _handle(self, stream: links.Stream, message: Any) -> None:
        if isinstance(message, messages.Hello):
            self.tell()
            return
        if isinstance(message, protocol.GroupSeen):
            self.seen += 1
            return
        self.asked += 1
        self.on_asked()
        if self._answers:
            stream.send(protocol.Done(ask=message.ask))


class GroupKnownTest(base.TestCase):
    """A keeper that lost its disk, and processes that knew its group."""

    def test_keeper_without_a_leader_hears_that_there_was_one(self) -> None:
        """Guards against a system that is founded over one that exists."""

        async def main() -> None:
            old, empty = _Keeper(answers=True), _Keeper(answers=True)
            empty.term = 0
            for keeper in (old, empty):
                await keeper.start()
            old.leader = old.address
            known = keepers.Keepers(GATEWAY_HELLO)
            known.add([old.address])

            async def knows() -> bool:
                return bool(known.leader)

            async def told() -> bool:
                return empty.seen == 1

            await base.until(knows, "a leader is known")
            self.assertEqual(0, old.seen)
            known.add([empty.address])
            await base.until(told, "the keeper is told")
            await known.stop()
            for keeper in (old, empty):
                await keeper.stop()

        self.run_async(main())


class LeaderTest(base.TestCase):
    """Leaders that change under an ask."""

    def test_ask_to_a_frozen_leader_goes_to_the_next_one(self) -> None:
        """The leader's host freezes with asks of turns under way.

        Another keeper is elected in less than a second. Turns that wait on
        for the frozen one's reply would lose as much time again.
        """

        async def main() -> None:
            frozen, fresh = _Keeper(answers=False), _Keeper(answers=True)
            await frozen.start()
            await fresh.start()
            frozen.leader = fresh.leader = frozen.address

            def elected() -> None:
                fresh.leader = fresh.address
                fresh.term = 2
                fresh.tell()

            frozen.on_asked = elected
            asker = keepers.Keepers(GATEWAY_HELLO)
            asker.add([frozen.address, fresh.address])

            async def known() -> bool:
                return len(asker.connected()) == 2

            await base.until(known, "both keepers are connected")
            begun = time.monotonic()
            reply = await asker.ask_leader(
                lambda ask: protocol.AskCurrent(ask=ask), 3.0
            )
            took_s = time.monotonic() - begun
            self.assertIsInstance(reply, protocol.Done)
            self.assertEqual((1, 1), (frozen.asked, fresh.asked))
            self.assertLess(took_s, _AT_ONCE_S)
            await asker.stop()
            await frozen.stop()
            await fresh.stop()

        self.run_async(main())
