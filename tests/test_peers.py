"""Streams between processes, on real sockets."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Any

from catkinpin.adapters.peers import links
from catkinpin.core.control import protocol
from tests import base, ports
from tests.hellos import GATEWAY_HELLO

_STOP_S = 2.0
# Less than what is left of the second after which a lost first packet is sent
# again; more than a link's own wait and a busy machine's delays.
_RESTART_S = 0.65
# Turns of the loop after which a link is up on any machine seen so far: some
# ten; each turn before is one at which a stop may come.
_TURNS = 60
_PROCESSES = 400


class StopTest(base.TestCase):
    """Links that are stopped at every moment of their start."""

    def test_link_stops_whenever_it_is_told_to(self) -> None:
        """A process is told to stop just as one of its links comes up.

        A cancellation that is swallowed by the connection leaves the link
        running; the process waits for it for ever and has to be killed, with
        all requests that it still had.
        """

        async def main() -> None:
            server = links.PeerServer(
                protocol.ToKeeper, lambda *_: None, lambda _: None
            )
            address = await server.start("127.0.0.1:0")
            for turns in range(_TURNS):
                await self._stop_after(turns, address)
            await server.stop()

        self.run_async(main())

    async def _stop_after(self, turns: int, address: str) -> None:
        link = links.PeerLink(address, GATEWAY_HELLO, Any, lambda _: None)
        link.start()
        for _ in range(turns):
            await asyncio.sleep(0)
        stopping = asyncio.ensure_future(link.stop())
        done, _ = await asyncio.wait({stopping}, timeout=_STOP_S)
        self.assertTrue(done, f"a stop after {turns} turns of the loop hangs")


class SilentHostTest(base.TestCase):
    """Links to hosts that answer no packet for a while."""

    def test_link_is_up_soon_after_its_host_is(self) -> None:
        """All hosts lose power at once, and one is back before another.

        The first packet to the one that is still dark is lost, and the system
        sends the next only a second later. Waiting for that, keepers elect no
        leader and gateways find none, for a second in which all could serve.
        """

        async def main() -> None:
            (port,) = ports.free_ports(1)
            address = f"127.0.0.1:{port}"
            dark = socket.create_server(("127.0.0.1", port), backlog=0)
            filling = [socket.socket() for _ in range(4)]
            for sock in filling:
                sock.setblocking(False)
                sock.connect_ex(("127.0.0.1", port))
            link = links.PeerLink(address, GATEWAY_HELLO, Any, lambda _: None)
            link.start()
            await asyncio.sleep(0.2)
            for sock in [dark, *filling]:
                sock.close()
            server = links.PeerServer(
                protocol.ToKeeper, lambda *_: None, lambda _: None
            )
            await server.start(address)
            async with asyncio.timeout(_RESTART_S):
                await link.connected.wait()
            await link.stop()
            await server.stop()

        self.run_async(main())


class MassRestartTest(base.TestCase):
    """Hundreds of processes that connect at once, before any is accepted."""

    def test_process_that_is_busy_drops_no_connection(self) -> None:
        """Guards against processes that can't reach a keeper for seconds."""

        async def main() -> None:
            server = links.PeerServer(
                protocol.ToKeeper, lambda *_: None, lambda _: None
            )
            host, _, port = (await server.start("127.0.0.1:0")).rpartition(":")
            conns = [socket.socket() for _ in range(_PROCESSES)]
            for conn in conns:
                conn.setblocking(False)
                conn.connect_ex((host, int(port)))
            # The loop accepts nothing meanwhile.
            _, up, _ = select.select([], conns, [], 0)
            for conn in conns:
                conn.close()
            await server.stop()
            self.assertEqual(_PROCESSES, len(up))

        self.run_async(main())
