"""Streams between processes, on real sockets."""

from __future__ import annotations

import asyncio
from typing import Any

from catkinpin.adapters import peers
from catkinpin.core import keeping, messages
from tests import base

_STOP_S = 2.0
# Turns of the loop after which a link is up on any machine seen so far: some
# ten; each turn before is one at which a stop may come.
_TURNS = 60
_HELLO = messages.Hello(
    process="test",
    incarnation="1",
    role="gateway",
    address="",
    domain="a",
    region="a",
)


class StopTest(base.TestCase):
    """Links that are stopped at every moment of their start."""

    def test_link_stops_whenever_it_is_told_to(self) -> None:
        """A process is told to stop just as one of its links comes up.

        A cancellation that is swallowed by the connection leaves the link
        running; the process waits for it for ever and has to be killed, with
        all requests that it still had.
        """

        async def main() -> None:
            server = peers.PeerServer(
                keeping.ToKeeper, lambda *_: None, lambda _: None
            )
            address = await server.start("127.0.0.1:0")
            for turns in range(_TURNS):
                await self._stop_after(turns, address)
            await server.stop()

        self.run_async(main())

    async def _stop_after(self, turns: int, address: str) -> None:
        link = peers.PeerLink(address, _HELLO, Any, lambda _: None)
        link.start()
        for _ in range(turns):
            await asyncio.sleep(0)
        stopping = asyncio.ensure_future(link.stop())
        done, _ = await asyncio.wait({stopping}, timeout=_STOP_S)
        self.assertTrue(done, f"a stop after {turns} turns of the loop hangs")
