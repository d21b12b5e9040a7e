"""Callers that send without end, send slowly, or don't read."""

from __future__ import annotations

import asyncio
import contextlib
import resource
from typing import TYPE_CHECKING

from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.http.requestparser import ServerLimits
from catkinpin.adapters.http.server import HttpServer, Request, Responder
from tests import base

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
_UNIT_BYTES = 65_536
_MAX_SENT_BYTES = 24 * 1024 * 1024
_MAX_GROWTH_KB = 40 * 1024
_WAIT_S = 5.0


def _peak_kb() -> int:
    """Returns the most memory that this process has had, in KB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


async def _answer(_: Request, responder: Responder) -> None:
    responder.answer(200)


class EndlessCallerTest(base.TestCase):
    """What callers send, on any port of any process."""

    def _serve(
        self,
        work: Callable[[HttpServer, str], Awaitable[None]],
        handler: Callable[[Request, Responder], Awaitable[None]] = _answer,
        **limits: float,
    ) -> None:
        async def main() -> None:
            server = HttpServer(handler, lambda: ServerLimits(**limits))  # type: ignore[arg-type]
            address = await server.start("127.0.0.1:0")
            async with asyncio.timeout(_WAIT_S):
                await work(server, address)
            await server.stop()

        self.run_async(main())

    def _send_without_end(self, begin: bytes, unit: bytes) -> None:
        """Sends a beginning and a unit for ever, which must end early."""

        async def work(__: HttpServer, address: str) -> None:
            before_kb = _peak_kb()
            sent_bytes = 0
            host, port = address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(begin)
            units = unit * (_UNIT_BYTES // len(unit))
            with contextlib.suppress(ConnectionError):
                while not writer.transport.is_closing():
                    writer.write(units)
                    await writer.drain()
                    sent_bytes += len(units)
                    self.assertLess(sent_bytes, _MAX_SENT_BYTES)
            self.assertLess(_peak_kb() - before_kb, _MAX_GROWTH_KB)
            writer.close()

        self._serve(work, header_timeout_s=60.0)

    def test_field_without_end(self) -> None:
        """Guards against a field that is kept until memory is full."""
        self._send_without_end(_HEAD + b"X-Field: ", b"x")

    def test_target_without_end(self) -> None:
        """Guards against a target that is kept until memory is full."""
        self._send_without_end(b"GET /", b"x")

    def test_method_without_end(self) -> None:
        """Guards against a beginning that is read for ever."""
        self._send_without_end(b"", b"\r\n")

    def test_fields_without_end(self) -> None:
        """Guards against a head that is kept until memory is full."""
        self._send_without_end(_HEAD, b"A: b\r\n")

    def test_chunk_extension_without_end(self) -> None:
        """Guards against framing that is read for ever."""
        begin = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n4;x="
        self._send_without_end(begin, b"x")

    def test_trailers_without_end(self) -> None:
        """Guards against fields after the body that are kept for ever."""
        begin = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
        self._send_without_end(begin, b"A: b\r\n")

    def test_trailer_is_no_field_of_the_request(self) -> None:
        """Guards against a trailer that passes for a field of the head."""
        seen: list[str] = []

        async def handle(request: Request, responder: Responder) -> None:
            seen.append(request.headers.get(b"x-field"))
            responder.answer(200)

        async def work(_: HttpServer, address: str) -> None:
            request = (
                _HEAD + b"Transfer-Encoding: chunked\r\nConnection: close"
                b"\r\n\r\n2\r\nok\r\n0\r\nX-Field: late\r\n\r\n"
            )
            self.assertIn(b" 200 ", await _ask(address, request))
            self.assertEqual([""], seen)

        self._serve(work, handle)

    def test_body_that_comes_slowly_is_refused(self) -> None:
        """Guards against a body that holds its connection for ever."""

        async def work(_: HttpServer, address: str) -> None:
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_HEAD + b"Content-Length: 1000\r\n\r\n")
            answer = asyncio.ensure_future(reader.read())
            while not answer.done():
                writer.write(b"x")
                await asyncio.wait({answer}, timeout=0.05)
            self.assertIn(b" 408 ", answer.result())
            self.assertIn(b"Connection: close", answer.result())
            writer.close()

        self._serve(work, body_timeout_s=0.4)

    def test_body_of_a_pipelined_request_that_comes_slowly(self) -> None:
        """Guards against a time limit that an earlier request's end lifts."""

        async def work(server: HttpServer, address: str) -> None:
            host, port = address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            get = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
            writer.write(get + get + b"GET / HTT")
            await asyncio.sleep(0.1)
            self.assertEqual(1, len(server.connections))
            while server.connections:
                await asyncio.sleep(0.05)
            writer.close()

        self._serve(work, _answer_late, header_timeout_s=0.4)

    def test_pipelined_requests_without_end(self) -> None:
        """Guards against thousands of requests parsed from one read."""

        async def never_answer(_: Request, __: Responder) -> None:
            await asyncio.sleep(60.0)

        async def work(server: HttpServer, address: str) -> None:
            before_kb = _peak_kb()
            host, port = address.split(":")
            data = b"GET / HTTP/1.1\r\n\r\n" * 14_000
            writers = []
            for _ in range(10):
                _, writer = await asyncio.open_connection(host, int(port))
                writer.write(data)
                writers.append(writer)
            await asyncio.sleep(1.0)
            self.assertEqual(10, len(server.connections))
            self.assertLess(_peak_kb() - before_kb, _MAX_GROWTH_KB)
            for writer in writers:
                writer.transport.abort()

        self._serve(work, never_answer)

    def test_pipelined_requests_of_any_number_are_answered(self) -> None:
        """Guards against requests that are lost between two reads."""

        async def work(_: HttpServer, address: str) -> None:
            request = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 4_999
            request += b"GET / HTTP/1.1\r\nConnection: close\r\n\r\n"
            answer = await _ask(address, request)
            self.assertEqual(5_000, answer.count(b"HTTP/1.1 200 OK"))

        self._serve(work)

    def test_answers_that_nobody_reads_are_not_produced(self) -> None:
        """Guards against pipelined requests whose answers fill the memory."""
        answered = 0

        async def handle(_: Request, responder: Responder) -> None:
            nonlocal answered
            answered += 1
            responder.answer(200, Headers(), b"x" * 200_000)

        async def work(server: HttpServer, address: str) -> None:
            host, port = address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n" * 1_000)
            await asyncio.sleep(0.3)
            self.assertLess(answered, 100)
            while server.connections:
                await asyncio.sleep(0.05)
            writer.transport.abort()

        self._serve(work, handle, idle_timeout_s=0.5)

    def test_caller_that_never_reads_loses_its_connection(self) -> None:
        """Guards against connections that are closing for ever."""

        async def handle(_: Request, responder: Responder) -> None:
            responder.answer(200, Headers(), b"x" * 20_000_000)

        async def work(server: HttpServer, address: str) -> None:
            host, port = address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(_HEAD + b"Connection: close\r\n")
            writer.write(b"Content-Length: 0\r\n\r\n")
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(server.connections))
            while server.connections:
                await asyncio.sleep(0.05)
            writer.transport.abort()

        self._serve(work, handle, idle_timeout_s=0.5)

    def test_caller_that_still_sends_gets_its_refusal(self) -> None:
        """Guards against a refusal that is lost as the connection is reset."""

        async def work(server: HttpServer, address: str) -> None:
            body = b"x" * 5_000_000
            for _ in range(5):
                host, port = address.split(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(_HEAD + b"Content-Length: 5000000\r\n\r\n")
                writer.write(body)
                await asyncio.sleep(0.1)
                self.assertIn(b" 413 ", await reader.read())
                writer.close()
            while server.connections:
                await asyncio.sleep(0.01)

        self._serve(work)

    def test_large_bodies_of_many_slow_callers(self) -> None:
        """Guards against bodies, each within its limit, that fill the memory.

        Callers with small requests are served beside them, and later, once
        the others have left, those with large ones.
        """
        part = b"x" * 3_500_000

        async def send_part(address: str) -> asyncio.StreamReader:
            host, port = address.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(_HEAD + b"Content-Length: 4000000\r\n\r\n" + part)
            writers.append(writer)
            return reader

        writers: list[asyncio.StreamWriter] = []

        async def work(server: HttpServer, address: str) -> None:
            readers = [await send_part(address) for _ in range(30)]
            await asyncio.sleep(0.5)
            small = _HEAD + b"Content-Length: 9\r\nConnection: close\r\n\r\n"
            self.assertIn(b" 200 ", await _ask(address, small + b"x" * 9))
            refused = []
            for reader in readers:
                with contextlib.suppress(ConnectionError, TimeoutError):
                    async with asyncio.timeout(0.02):
                        refused.append((await reader.read(999))[9:12])
            self.assertGreater(len(refused), 10)
            self.assertEqual({b"503"}, {status for status in refused if status})
            for writer in writers:
                writer.transport.abort()
            while server.connections:
                await asyncio.sleep(0.01)
            large = _HEAD + b"Content-Length: 3500000\r\nConnection: close"
            for _ in range(30):
                answer = await _ask(address, large + b"\r\n\r\n" + part)
                self.assertIn(b" 200 ", answer)

        self._serve(work)


async def _answer_late(_: Request, responder: Responder) -> None:
    await asyncio.sleep(0.1)
    responder.answer(200)


async def _ask(address: str, request: bytes) -> bytes:
    """Sends bytes and returns the whole answer."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(request)
    answer = await reader.read()
    writer.close()
    return answer
