"""Memory of gateway processes while a server sends bytes without end."""

from __future__ import annotations

import asyncio
import contextlib
import pathlib
import urllib.parse
from typing import TYPE_CHECKING

import aiohttp

from tests.fakes.rawserver import RawServer
from tests.test_deployment import DeploymentCase

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment
    from tests.fakes.rawserver import ReceivedRequest

_CALLERS = 16
_PLAY_S = 4.0
_UNIT_BYTES = 16_384
_MAX_GROWTH_KB = 24 * 1024
# Bytes that a server can send of an answer that nobody reads: mostly
# what the sockets hold.
_MAX_UNREAD_BYTES = 16 * 1024 * 1024


class _FaultyServer:
    """Answers each request with a beginning and then one unit for ever.

    Attributes:
        sent_bytes: bytes sent to all callers.
    """

    def __init__(self, begin: bytes, unit: bytes) -> None:
        self._begin = begin
        self._unit = unit * (_UNIT_BYTES // len(unit))
        self.sent_bytes = 0
        self.raw = RawServer(self._answer)

    async def _answer(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        name = seen.headers.get("x-attempt-id", "").encode()
        writer.write(self._begin.replace(b"{id}", name))
        while not writer.transport.is_closing():
            writer.write(self._unit)
            await writer.drain()
            self.sent_bytes += len(self._unit)


def _memory_kb(system: Deployment, gateway: str, field: str) -> int:
    """Returns a figure of a gateway process's memory."""
    process = system.hosts[gateway].process
    assert process is not None
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    lines = [ln for ln in status.splitlines() if ln.startswith(field + ":")]
    return int(lines[0].split()[1])


class EndlessMemoryTest(DeploymentCase):
    """A faulty server beside a sound one, and many callers at once."""

    def _play(
        self, begin: bytes, unit: bytes, *, path: str = "/u/x"
    ) -> _FaultyServer:
        server = _FaultyServer(begin, unit)

        async def work(system: Deployment) -> None:
            await server.raw.start()
            self.assertTrue(
                await system.send_heartbeat_of("m2", server.raw.address)
            )
            gateways = ("gateway-1", "gateway-2")
            before = {
                name: _memory_kb(system, name, "VmHWM") for name in gateways
            }
            end_s = asyncio.get_running_loop().time() + _PLAY_S
            statuses: list[int] = []

            async def call(number: int) -> None:
                sent = 0
                while asyncio.get_running_loop().time() < end_s:
                    sent += 1
                    status = 0
                    with contextlib.suppress(aiohttp.ClientError, OSError):
                        status = await system.call(
                            path, f"c{number}.{sent}", gateways[number % 2]
                        )
                    statuses.append(status)

            await asyncio.gather(*(call(n) for n in range(_CALLERS)))
            self.assertGreater(len(server.raw.requests), 0)
            self.assertGreater(statuses.count(200), 0)
            growth_kb = {
                name: _memory_kb(system, name, "VmHWM") - before[name]
                for name in gateways
            }
            self.assertLess(max(growth_kb.values()), _MAX_GROWTH_KB)
            await server.raw.stop()

        self.run_test(work)
        return server

    def test_header_lines_without_end(self) -> None:
        """Guards against the fields of many heads that fill the memory."""
        self._play(b"HTTP/1.1 200 OK\r\n", b"A: b\r\n")

    def test_trailer_lines_without_end(self) -> None:
        """Guards against the fields after many bodies that fill the memory."""
        begin = (
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
        )
        self._play(begin, b"A: b\r\n")

    def test_refusal_with_a_body_of_many_gigabytes(self) -> None:
        """Guards against reading what is forwarded to nobody."""
        begin = (
            b"HTTP/1.1 503 Full\r\nX-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n"
            b"X-Not-Executed: 1\r\nContent-Length: 99000000000\r\n\r\n"
        )
        server = self._play(begin, b"x")
        each_bytes = server.sent_bytes / len(server.raw.requests)
        self.assertLess(each_bytes, _MAX_UNREAD_BYTES)

    def test_callers_whose_fields_have_no_end(self) -> None:
        """Guards against what any stranger can send to a gateway."""

        async def send(netloc: str) -> None:
            host, port = netloc.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET / HTTP/1.1\r\nX-Field: ")
            with contextlib.suppress(ConnectionError, TimeoutError):
                async with asyncio.timeout(_PLAY_S):
                    while not writer.transport.is_closing():
                        writer.write(b"x" * _UNIT_BYTES)
                        await writer.drain()
            writer.transport.abort()

        async def work(system: Deployment) -> None:
            before_kb = _memory_kb(system, "gateway-1", "VmHWM")
            netloc = urllib.parse.urlsplit(system.url("gateway-1", "/")).netloc
            await asyncio.gather(*(send(netloc) for _ in range(_CALLERS)))
            growth_kb = _memory_kb(system, "gateway-1", "VmHWM") - before_kb
            self.assertLess(growth_kb, _MAX_GROWTH_KB)
            self.assertEqual(200, await system.send_turn("after"))

        self.run_test(work)
