"""HTTP with callers and servers whose bytes are not what they should be."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import testtools

from catkinpin.adapters.http.client import Failure, Pool, ResponseHead
from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.http.server import (
    HttpServer,
    Request,
    Responder,
    ServerLimits,
)
from catkinpin.verdicts import Verdict
from tests.fakes.rawserver import RawServer, Seen, sealed

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

_WAIT_S = 5.0


def _run(work: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(work, _WAIT_S)

    asyncio.run(bounded())


def _request(name: str, body: bytes = b"") -> bytes:
    head = f"POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: {name}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def _exchange(
    pool: Pool, address: str, name: str
) -> tuple[ResponseHead | Failure, bytes, Failure | None]:
    """Sends one request; returns head, body and how the body failed."""
    conn = await pool.acquire(address, 9, 1.0)
    assert not isinstance(conn, Failure)
    conn.send(
        _request(name), lambda headers: headers.get(b"request-id") == name
    )
    head = await conn.read_head()
    body, broke = b"", None
    if isinstance(head, ResponseHead):
        while (part := await conn.read_chunk()) is not None:
            if isinstance(part, Failure):
                broke = part
                break
            body += part
    conn.finish(asyncio.get_running_loop().time())
    pool.release(address, conn)
    return head, body, broke


class ClientTest(testtools.TestCase):
    """Answers of servers that misbehave."""

    def test_late_second_answer_goes_to_nobody(self) -> None:
        """A server answers one request twice, the second time a bit later.

        Taken for the answer to whatever came next on the connection, it would
        hand one caller what another one asked for.
        """

        async def twice(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, seen.headers["request-id"].encode()))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(sealed(seen, b"again"))

        async def play() -> None:
            server = RawServer(twice)
            await server.start()
            pool = Pool()
            for name in ("a", "b", "c"):
                head, body, broke = await _exchange(pool, server.address, name)
                self.assertIsInstance(head, ResponseHead)
                self.assertEqual((name.encode(), None), (body, broke))
                await asyncio.sleep(0.01 if name == "a" else 0.05)
            await server.stop()

        _run(play())

    def test_caller_that_leaves_while_a_connection_comes_up(self) -> None:
        """A caller leaves in the very moment in which its server is reached.

        Were its cancellation swallowed there, the request would be sent all
        the same, and the server would work for nobody.
        """

        async def never(seen: Seen, writer: asyncio.StreamWriter) -> None:
            raise AssertionError("nothing was sent")

        async def play() -> None:
            server = RawServer(never)
            await server.start()
            for turns in range(40):
                taking = asyncio.ensure_future(
                    Pool().acquire(server.address, 9, 1)
                )
                for _ in range(turns):
                    await asyncio.sleep(0)
                was_under_way = taking.cancel()
                await asyncio.wait({taking})
                self.assertEqual(was_under_way, taking.cancelled(), turns)
            await server.stop()

        _run(play())

    def test_connection_idle_for_long_is_not_used_for_what_runs_once(
        self,
    ) -> None:
        """A server drops idle connections without a word, and sooner than told.

        What is sent next on one is reset, and may have run for all one knows:
        its caller would get no answer to a call that must not be repeated.
        """

        async def answer(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, b"x"))

        async def play() -> None:
            server = RawServer(answer)
            await server.start()
            pool = Pool()
            await _exchange(pool, server.address, "a")
            await asyncio.sleep(0.1)
            used = await pool.acquire(server.address, 1, 1.0)
            assert not isinstance(used, Failure)
            self.assertFalse(used.is_first_exchange)
            pool.release(server.address, used)
            # Where all that may be open are, the one idle longest makes room.
            conn = await pool.acquire(server.address, 1, 1.0, max_idle_s=0.05)
            assert not isinstance(conn, Failure)
            self.assertTrue(conn.is_first_exchange)
            self.assertEqual(2, server.connections)
            conn.abort("the test is over")
            await server.stop()

        _run(play())

    def test_answer_to_an_older_request_is_passed_over(self) -> None:
        """An old answer arrives just where the next one is expected."""

        async def late(seen: Seen, writer: asyncio.StreamWriter) -> None:
            old = Seen("POST", "/x", {"request-id": "old"}, b"")
            writer.write(sealed(old, b"not yours"))
            writer.write(sealed(seen, b"yours"))

        async def play() -> None:
            server = RawServer(late)
            await server.start()
            pool = Pool()
            _, body, broke = await _exchange(pool, server.address, "new")
            self.assertEqual((b"yours", None), (body, broke))
            await _exchange(pool, server.address, "next")
            # Nothing that follows on such a connection can be told apart.
            self.assertEqual(2, server.connections)
            await server.stop()

        _run(play())

    def test_answer_that_ends_early_is_not_whole(self) -> None:
        """A server dies within its answer; its length says so."""

        async def half(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(sealed(seen, b"0123456789")[:-4])
            writer.close()

        async def play() -> None:
            server = RawServer(half)
            await server.start()
            _, body, broke = await _exchange(Pool(), server.address, "a")
            self.assertEqual(b"012345", body)
            assert broke is not None
            self.assertIs(Verdict.MAY_HAVE_RUN, broke.verdict)
            await server.stop()

        _run(play())

    def test_answer_without_length_ends_with_an_orderly_close_only(
        self,
    ) -> None:
        """A server gives no length; one such answer is reset on its way.

        Both look alike but for the way in which the connection ends.
        """

        async def unframed(seen: Seen, writer: asyncio.StreamWriter) -> None:
            name = seen.headers["request-id"]
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n\r\npart"
            writer.write(head.encode())
            await writer.drain()
            await asyncio.sleep(0.02)
            if name == "reset":
                writer.transport.abort()
            else:
                writer.close()

        async def play() -> None:
            server = RawServer(unframed)
            await server.start()
            _, body, broke = await _exchange(Pool(), server.address, "whole")
            self.assertEqual((b"part", None), (body, broke))
            await server.stop()

        _run(play())

    def test_bytes_that_are_no_answer_end_the_connection(self) -> None:
        """A faulty server sends something that is not HTTP."""

        async def garbage(seen: Seen, writer: asyncio.StreamWriter) -> None:
            writer.write(b"\x00\x01 nonsense\r\n\r\n")

        async def play() -> None:
            server = RawServer(garbage)
            await server.start()
            head, _, _ = await _exchange(Pool(), server.address, "a")
            assert isinstance(head, Failure)
            self.assertIs(Verdict.MAY_HAVE_RUN, head.verdict)
            await server.stop()

        _run(play())

    def test_connections_to_a_server_are_bounded(self) -> None:
        """A server resets what goes beyond its limit, requests included."""

        async def never(seen: Seen, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(_WAIT_S)

        async def play() -> None:
            server = RawServer(never)
            await server.start()
            pool = Pool()
            taken = [await pool.acquire(server.address, 2, 1.0) for _ in "abc"]
            refused = [t for t in taken if isinstance(t, Failure)]
            self.assertEqual(1, len(refused))
            self.assertIs(Verdict.NOT_RUN, refused[0].verdict)
            for conn in taken:
                if not isinstance(conn, Failure):
                    conn.abort("done")
            await asyncio.sleep(0.01)
            again = await pool.acquire(server.address, 2, 1.0)
            self.assertNotIsInstance(again, Failure)
            await server.stop()

        _run(play())


async def _echo(request: Request, responder: Responder) -> None:
    responder.answer(200, Headers(), request.target + b"|" + request.body)


async def _talk(address: str, data: bytes) -> bytes:
    """Sends bytes and returns all that comes until the server closes."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    answer = await reader.read()
    writer.close()
    return answer


class ServerTest(testtools.TestCase):
    """Requests of callers that misbehave, or that come in odd pieces."""

    def _play(self, data: bytes, limits: ServerLimits | None = None) -> bytes:
        answers: list[bytes] = []

        async def play() -> None:
            told = limits or ServerLimits(idle_timeout_s=0.1)
            server = HttpServer(_echo, lambda: told)
            address = await server.start("127.0.0.1:0")
            answers.append(await _talk(address, data))
            await server.stop()

        _run(play())
        return answers[0]

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        """A caller doesn't wait for one answer before it asks again."""
        answer = self._play(_request("a", b"one") + _request("b", b"two"))
        self.assertLess(answer.index(b"|one"), answer.index(b"|two"))

    def test_target_and_chunked_body_pass_unchanged(self) -> None:
        """A path with escapes and a body in chunks; neither is rewritten."""
        data = (
            b"POST /a%2Fb//c/../d?q=%20+1 HTTP/1.1\r\nHost: h\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\none\r\n4\r\n two\r\n0\r\n\r\n"
        )
        answer = self._play(data)
        self.assertIn(b"/a%2Fb//c/../d?q=%20+1|one two", answer)

    def test_what_is_too_large_is_refused_and_the_connection_closed(
        self,
    ) -> None:
        """A body or a head beyond the limits; it is not read to its end."""
        small = ServerLimits(header_bytes=200, body_bytes=10)
        answer = self._play(_request("a", b"x" * 11), small)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413 "))
        long = b"GET / HTTP/1.1\r\nX: " + b"y" * 300 + b"\r\n\r\n"
        answer = self._play(long, small)
        self.assertTrue(answer.startswith(b"HTTP/1.1 431 "))

    def test_what_is_not_http_gets_400(self) -> None:
        """A stranger talks to the port."""
        answer = self._play(b"hello\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 400 "))

    def test_caller_that_never_ends_its_head_is_let_go(self) -> None:
        """A caller sends half a head and then nothing.

        Its connection would stay for ever, and enough of them take all
        descriptors.
        """
        limits = ServerLimits(header_timeout_s=0.05)
        answer = self._play(b"GET / HTTP/1.1\r\nHo", limits)
        self.assertTrue(answer.startswith(b"HTTP/1.1 408 "))

    def test_handler_learns_that_its_caller_has_left(self) -> None:
        """A caller goes away while its request is served.

        Unnoticed, a server would work on for nobody.
        """
        disconnected = asyncio.Event()

        async def wait(request: Request, responder: Responder) -> None:
            await request.disconnected.wait()
            disconnected.set()

        async def play() -> None:
            server = HttpServer(wait)
            address = await server.start("127.0.0.1:0")
            host, port = address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(_request("a"))
            await asyncio.sleep(0.05)
            writer.close()
            await disconnected.wait()
            await server.stop()

        _run(play())

    def test_broken_off_answer_cannot_look_whole(self) -> None:
        """A server dies within a stream; its caller must notice."""

        async def half(request: Request, responder: Responder) -> None:
            responder.start(200, Headers(), None)
            responder.write(b"part")
            responder.abort()

        async def play() -> None:
            server = HttpServer(half)
            address = await server.start("127.0.0.1:0")
            try:
                answer = await _talk(address, _request("a"))
            except ConnectionError:
                answer = b""
            self.assertNotIn(b"0\r\n\r\n", answer)
            await server.stop()

        _run(play())
