"""Tests streams between processes, on real sockets."""

from __future__ import annotations

import asyncio
import select
import socket
import zlib
from typing import Any
from unittest import mock

from catkinpin import codec
from catkinpin.adapters.peers import links, peerserver
from catkinpin.adapters.replica import mesh
from catkinpin.core.control import protocol, routes
from tests import base, ports
from tests.hellos import GATEWAY_HELLO

_STOP_TIMEOUT_S = 2.0
# Less than what remains of the second after which the system resends a lost
# first packet; more than the link's own delays and those of a busy machine.
_CONNECTED_TIMEOUT_S = 0.65
# A link connects within some ten iterations of the event loop; the test stops
# it after each number of iterations up to this one.
_LOOP_ITERATIONS = 60
_PROCESSES = 400


class StopTest(base.TestCase):
    """Links that are stopped at any moment while they start."""

    def test_link_stops_whenever_it_is_told_to(self) -> None:
        """Guards against a link that ignores a stop while it connects.

        If connecting swallows the cancellation, the link goes on running. The
        process then waits for it for ever and has to be killed, which loses the
        requests in flight.
        """

        async def main() -> None:
            server = peerserver.PeerServer(
                protocol.ToKeeper, lambda *_: None, lambda _: None
            )
            address = await server.start("127.0.0.1:0")
            for iterations in range(_LOOP_ITERATIONS):
                await self._stop_after(iterations, address)
            await server.stop()

        self.run_async(main())

    def test_stopped_server_serves_no_stream(self) -> None:
        """Guards against a stream to a component that has stopped.

        Its successor would get nothing from the host at the other end.
        """

        async def main() -> None:
            for iterations in range(_LOOP_ITERATIONS // 4):
                server = peerserver.PeerServer(
                    protocol.ToKeeper, lambda *_: None, lambda _: None
                )
                address = await server.start("127.0.0.1:0")
                link = links.PeerLink(
                    address, GATEWAY_HELLO, Any, lambda _: None
                )
                host, _, port = address.rpartition(":")
                with socket.create_connection((host, int(port))):
                    link.start()
                    for _ in range(iterations):
                        await asyncio.sleep(0)
                    await server.stop()
                    await asyncio.sleep(0.05)
                    self.assertEqual(set(), server.streams)
                    self.assertFalse(link.connected.is_set())
                await link.stop()

        self.run_async(main())

    async def _stop_after(self, iterations: int, address: str) -> None:
        link = links.PeerLink(address, GATEWAY_HELLO, Any, lambda _: None)
        link.start()
        for _ in range(iterations):
            await asyncio.sleep(0)
        stopping = asyncio.ensure_future(link.stop())
        done, _ = await asyncio.wait({stopping}, timeout=_STOP_TIMEOUT_S)
        self.assertTrue(
            done, f"stop after {iterations} iterations of the loop hangs"
        )


class SilentHostTest(base.TestCase):
    """Links to hosts that answer no packet for some time."""

    def test_link_is_up_soon_after_its_host_is(self) -> None:
        """Guards against links that wait for the resend of a lost packet.

        After a power loss of all hosts, one is back before another. Its first
        packet to the other is lost, and the operating system resends it only
        after a second. For this second keepers elect no leader and gateways
        find none, although all hosts are up.
        """

        async def main() -> None:
            (port,) = ports.free_ports(1)
            address = f"127.0.0.1:{port}"
            unaccepting = socket.create_server(("127.0.0.1", port), backlog=0)
            backlog_fillers = [socket.socket() for _ in range(4)]
            for sock in backlog_fillers:
                sock.setblocking(False)
                sock.connect_ex(("127.0.0.1", port))
            link = links.PeerLink(address, GATEWAY_HELLO, Any, lambda _: None)
            link.start()
            await asyncio.sleep(0.2)
            for sock in [unaccepting, *backlog_fillers]:
                sock.close()
            server = peerserver.PeerServer(
                protocol.ToKeeper, lambda *_: None, lambda _: None
            )
            await server.start(address)
            async with asyncio.timeout(_CONNECTED_TIMEOUT_S):
                await link.connected.wait()
            await link.stop()
            await server.stop()

        self.run_async(main())


class MassRestartTest(base.TestCase):
    """Hundreds of processes that connect before any is accepted."""

    def test_process_that_is_busy_drops_no_connection(self) -> None:
        """Guards against a backlog so small that connects take seconds."""

        async def main() -> None:
            server = peerserver.PeerServer(
                protocol.ToKeeper, lambda *_: None, lambda _: None
            )
            host, _, port = (await server.start("127.0.0.1:0")).rpartition(":")
            sockets = [socket.socket() for _ in range(_PROCESSES)]
            for sock in sockets:
                sock.setblocking(False)
                sock.connect_ex((host, int(port)))
            # The event loop is blocked here, so the server accepts nothing.
            _, connected, _ = select.select([], sockets, [], 0)
            for sock in sockets:
                sock.close()
            await server.stop()
            self.assertEqual(_PROCESSES, len(connected))

        self.run_async(main())


class NamedAddressesTest(base.TestCase):
    """Addresses of replicas that other processes name."""

    def test_many_named_addresses_cost_few_links(self) -> None:
        """Guards against links without end, and a member that gets none."""

        async def main() -> None:
            group = mesh.Mesh([], lambda _: None, growable=True)
            group.start(GATEWAY_HELLO)
            for number in range(1_100):
                group.add_named(f"127.0.0.1:{number + 1}")
            self.assertLess(len(group.addresses), 100)
            self.assertEqual([], group.known())
            group.set_address("member", "127.0.0.1:2000")
            group.set_address("named", "127.0.0.1:1")
            self.assertEqual(
                {"127.0.0.1:2000", "127.0.0.1:1"}, set(group.known())
            )
            with mock.patch.object(mesh, "_UNPROVED_LINK_S", 0.0):
                group.add_named("127.0.0.1:3000")
            self.assertIn("127.0.0.1:3000", group.addresses)
            self.assertLess(len(group.addresses), 10)
            await group.stop()

        self.run_async(main())


class CompressedTest(base.TestCase):
    """Compressed parts of messages."""

    def test_data_that_expand_without_end_are_refused(self) -> None:
        """Guards against a short message that fills the memory."""
        packed = zlib.compress(bytes(65 * 1024 * 1024))
        self.assertLess(len(packed), 100_000)
        self.assertRaises(ValueError, codec.decompress, packed)
        self.assertRaises(ValueError, codec.decompress, packed[:1000])
        self.assertEqual(b"whole", codec.decompress(zlib.compress(b"whole")))

    def test_every_version_in_range_can_be_sent(self) -> None:
        """Guards against routes that are in force and never sent."""
        for version in (0, 1, codec.MAX_NUMBER, codec.MAX_NUMBER + 1):
            update = protocol.RoutingUpdate(version=version, is_current=True)
            self.assertEqual(
                routes.is_version(version), not codec.must_be_refused(update)
            )
