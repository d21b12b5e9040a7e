"""Callers that read their answers slowly while a gateway stops."""

from __future__ import annotations

import asyncio
import signal
import socket
import urllib.parse
from typing import TYPE_CHECKING

from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.http.server import HttpServer, Request, Responder
from tests import base
from tests.test_deployment import DeploymentCase

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment

_ANSWER_BYTES = 250_000
# As on a small host's link: the loopback interface would hold the answer.
_SEGMENT_BYTES = 1_460
_RECEIVE_BYTES = 4_096
_READERS = 3
# The gateway waits for the balancer, and then for what it has in flight.
_READ_AFTER_S = 4.0
_TERM_AFTER_S = 0.5


async def _open_slow_connection(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection whose unread bytes stay with their sender."""
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
    return await asyncio.open_connection(sock=sock, limit=_RECEIVE_BYTES)


async def _read_late(system: Deployment, number: int) -> int:
    """Sends a call, and reads its answer late; returns the body's length."""
    url = urllib.parse.urlsplit(system.url("gateway-1", "/u/x"))
    reader, writer = await _open_slow_connection(url.netloc)
    head = (
        f"POST {url.path} HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Attempt-Id: slow-{number}\r\nX-Deadline-Ms: 3000\r\n"
        "Content-Length: 0\r\n\r\n"
    )
    writer.write(head.encode())
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(_READ_AFTER_S)
    length = 0
    while part := await reader.read(_RECEIVE_BYTES):
        length += len(part)
    writer.close()
    return length


class SlowReaderTest(DeploymentCase):
    """Answers that are whole at the gateway and not yet at their callers."""

    def test_stopping_gateway_delivers_what_slow_callers_read(self) -> None:
        """Guards against a planned stop that cuts answers being read."""

        async def work(system: Deployment) -> None:
            system.plain_answer = "x" * _ANSWER_BYTES
            readers = [
                asyncio.ensure_future(_read_late(system, number))
                for number in range(_READERS)
            ]
            await asyncio.sleep(_TERM_AFTER_S)
            system.kill("gateway-1", signal.SIGTERM)
            lengths = await asyncio.gather(*readers)
            self.assertEqual([_ANSWER_BYTES] * _READERS, lengths)

        self.run_test(work)


class UnsentBytesTest(base.TestCase):
    """What a server counts as in progress."""

    def test_connection_with_unsent_bytes_is_in_progress(self) -> None:
        """Guards against a stop that takes an unread answer for delivered."""

        async def main() -> None:
            async def handle(_: Request, responder: Responder) -> None:
                responder.answer(200, Headers(), b"x" * 10_000_000)

            server = HttpServer(handle)
            address = await server.start("127.0.0.1:0")
            reader, writer = await _open_slow_connection(address)
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n")
            self.assertEqual(1, server.count_busy())
            server.close_idle()
            self.assertEqual(1, server.count_busy())
            length = len(await reader.read(-1))
            self.assertEqual(10_000_000, length)
            self.assertEqual(0, server.count_busy())
            writer.close()
            await server.stop()

        self.run_async(main())
