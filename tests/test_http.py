"""HTTP client and server with peers that send malformed or late bytes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import testtools

from catkinpin.adapters.http.client import Failure, ResponseHead
from catkinpin.adapters.http.headers import Headers
from catkinpin.adapters.http.pool import Pool
from catkinpin.adapters.http.requestparser import ServerLimits
from catkinpin.adapters.http.server import HttpServer, Request, Responder
from catkinpin.verdicts import Verdict
from tests.fakes.rawserver import RawServer, ReceivedRequest, sealed_answer

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

_TEST_TIMEOUT_S = 5.0


def _run_within_limit(coro: Coroutine[Any, Any, None]) -> None:
    async def bounded() -> None:
        await asyncio.wait_for(coro, _TEST_TIMEOUT_S)

    asyncio.run(bounded())


def _request(name: str, body: bytes = b"") -> bytes:
    head = f"POST /x HTTP/1.1\r\nHost: h\r\nRequest-Id: {name}\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


async def _exchange(
    pool: Pool, address: str, name: str
) -> tuple[ResponseHead | Failure, bytes, Failure | None]:
    """Sends one request; returns head, body and the body's failure, if any."""
    conn = await pool.acquire(address, 9, 1.0)
    assert not isinstance(conn, Failure)
    conn.send(
        _request(name), lambda headers: headers.get(b"request-id") == name
    )
    head = await conn.read_head()
    body, failure = b"", None
    if isinstance(head, ResponseHead):
        while (part := await conn.read_chunk()) is not None:
            if isinstance(part, Failure):
                failure = part
                break
            body += part
    conn.finish(asyncio.get_running_loop().time())
    pool.release(address, conn)
    return head, body, failure


class ClientTest(testtools.TestCase):
    """Responses of servers that misbehave."""

    def test_late_second_answer_goes_to_nobody(self) -> None:
        """Guards against giving one caller another caller's response.

        A server answers a request twice, the second time a little later, and
        the second response is attributed to the connection's next request.
        """

        async def answer_twice(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(
                sealed_answer(seen, seen.headers["request-id"].encode())
            )
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.write(sealed_answer(seen, b"again"))

        async def main() -> None:
            server = RawServer(answer_twice)
            await server.start()
            pool = Pool()
            for name in ("a", "b", "c"):
                head, body, failure = await _exchange(
                    pool, server.address, name
                )
                self.assertIsInstance(head, ResponseHead)
                self.assertEqual((name.encode(), None), (body, failure))
                await asyncio.sleep(0.01 if name == "a" else 0.05)
            await server.stop()

        _run_within_limit(main())

    def test_caller_that_leaves_while_a_connection_comes_up(self) -> None:
        """Guards against a request that is sent after its caller has left.

        The caller leaves just when the connection to the server is
        established, and the cancellation is lost.
        """

        async def never_answer(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            raise AssertionError("nothing was sent")

        async def main() -> None:
            server = RawServer(never_answer)
            await server.start()
            for loop_turns in range(40):
                acquiring = asyncio.ensure_future(
                    Pool().acquire(server.address, 9, 1)
                )
                for _ in range(loop_turns):
                    await asyncio.sleep(0)
                was_pending = acquiring.cancel()
                await asyncio.wait({acquiring})
                self.assertEqual(was_pending, acquiring.cancelled(), loop_turns)
            await server.stop()

        _run_within_limit(main())

    def test_connection_idle_for_long_is_not_used_for_what_runs_once(
        self,
    ) -> None:
        """Guards against sending a run-once call on a long-idle connection.

        A server drops idle connections silently and before its stated timeout.
        The next request on one is reset, and whether it ran is then unknown.
        """

        async def answer(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"x"))

        async def main() -> None:
            server = RawServer(answer)
            await server.start()
            pool = Pool()
            await _exchange(pool, server.address, "a")
            await asyncio.sleep(0.1)
            reused = await pool.acquire(server.address, 1, 1.0)
            assert not isinstance(reused, Failure)
            self.assertFalse(reused.is_first_exchange)
            pool.release(server.address, reused)
            # The limit is reached, so the longest idle connection is closed.
            conn = await pool.acquire(server.address, 1, 1.0, max_idle_s=0.05)
            assert not isinstance(conn, Failure)
            self.assertTrue(conn.is_first_exchange)
            self.assertEqual(2, server.connections)
            conn.abort("the test is over")
            await server.stop()

        _run_within_limit(main())

    def test_answer_to_an_older_request_is_passed_over(self) -> None:
        """Guards against taking a late response for the expected one."""

        async def answer_late(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            old = ReceivedRequest("POST", "/x", {"request-id": "old"}, b"")
            writer.write(sealed_answer(old, b"not yours"))
            writer.write(sealed_answer(seen, b"yours"))

        async def main() -> None:
            server = RawServer(answer_late)
            await server.start()
            pool = Pool()
            _, body, failure = await _exchange(pool, server.address, "new")
            self.assertEqual((b"yours", None), (body, failure))
            await _exchange(pool, server.address, "next")
            # Later responses on such a connection can't be attributed, so the
            # next request uses a new one.
            self.assertEqual(2, server.connections)
            await server.stop()

        _run_within_limit(main())

    def test_answer_that_ends_early_is_not_whole(self) -> None:
        """Guards against accepting a response shorter than its length.

        A server dies while it sends the response.
        """

        async def answer_half(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"0123456789")[:-4])
            writer.close()

        async def main() -> None:
            server = RawServer(answer_half)
            await server.start()
            _, body, failure = await _exchange(Pool(), server.address, "a")
            self.assertEqual(b"012345", body)
            assert failure is not None
            self.assertIs(Verdict.MAY_HAVE_RUN, failure.verdict)
            await server.stop()

        _run_within_limit(main())

    def test_answer_without_length_ends_with_an_orderly_close_only(
        self,
    ) -> None:
        """Guards against failing responses that state no length.

        Such a response is complete if the connection is closed in order. If
        the connection is reset, it is incomplete.
        """

        async def answer_without_length(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            name = seen.headers["request-id"]
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {name}\r\n\r\npart"
            writer.write(head.encode())
            await writer.drain()
            await asyncio.sleep(0.02)
            if name == "reset":
                writer.transport.abort()
            else:
                writer.close()

        async def main() -> None:
            server = RawServer(answer_without_length)
            await server.start()
            _, body, failure = await _exchange(Pool(), server.address, "whole")
            self.assertEqual((b"part", None), (body, failure))
            await server.stop()

        _run_within_limit(main())

    def test_bytes_that_are_no_answer_end_the_connection(self) -> None:
        """Guards against waiting for ever when a server does not send HTTP."""

        async def send_garbage(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(b"\x00\x01 nonsense\r\n\r\n")

        async def main() -> None:
            server = RawServer(send_garbage)
            await server.start()
            head, _, _ = await _exchange(Pool(), server.address, "a")
            assert isinstance(head, Failure)
            self.assertIs(Verdict.MAY_HAVE_RUN, head.verdict)
            await server.stop()

        _run_within_limit(main())

    def test_connections_to_a_server_are_bounded(self) -> None:
        """Guards against exceeding a server's connection limit.

        The server resets connections beyond its limit, and their requests.
        """

        async def never_answer(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await asyncio.sleep(_TEST_TIMEOUT_S)

        async def main() -> None:
            server = RawServer(never_answer)
            await server.start()
            pool = Pool()
            acquired = [
                await pool.acquire(server.address, 2, 1.0) for _ in "abc"
            ]
            refused = [
                result for result in acquired if isinstance(result, Failure)
            ]
            self.assertEqual(1, len(refused))
            self.assertIs(Verdict.NOT_RUN, refused[0].verdict)
            for conn in acquired:
                if not isinstance(conn, Failure):
                    conn.abort("done")
            await asyncio.sleep(0.01)
            again = await pool.acquire(server.address, 2, 1.0)
            self.assertNotIsInstance(again, Failure)
            await server.stop()

        _run_within_limit(main())


async def _answer_echo(request: Request, responder: Responder) -> None:
    responder.answer(200, Headers(), request.target + b"|" + request.body)


async def _exchange_raw(address: str, data: bytes) -> bytes:
    """Sends bytes and returns all bytes received until the server closes."""
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    answer = await reader.read()
    writer.close()
    return answer


class ServerTest(testtools.TestCase):
    """Requests of callers that misbehave or send in unusual pieces."""

    def _response_to(
        self, data: bytes, limits: ServerLimits | None = None
    ) -> bytes:
        answers: list[bytes] = []

        async def main() -> None:
            current_limits = limits or ServerLimits(idle_timeout_s=0.1)
            server = HttpServer(_answer_echo, lambda: current_limits)
            address = await server.start("127.0.0.1:0")
            answers.append(await _exchange_raw(address, data))
            await server.stop()

        _run_within_limit(main())
        return answers[0]

    def test_pipelined_requests_are_answered_in_order(self) -> None:
        """Guards against responses in another order than the requests."""
        answer = self._response_to(
            _request("a", b"one") + _request("b", b"two")
        )
        self.assertLess(answer.index(b"|one"), answer.index(b"|two"))

    def test_target_and_chunked_body_pass_unchanged(self) -> None:
        """Guards against rewriting an escaped path or a chunked body."""
        data = (
            b"POST /a%2Fb//c/../d?q=%20+1 HTTP/1.1\r\nHost: h\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n"
            b"3\r\none\r\n4\r\n two\r\n0\r\n\r\n"
        )
        answer = self._response_to(data)
        self.assertIn(b"/a%2Fb//c/../d?q=%20+1|one two", answer)

    def test_what_is_too_large_is_refused_and_the_connection_closed(
        self,
    ) -> None:
        """Guards against reading heads or bodies beyond the limits."""
        small_limits = ServerLimits(header_bytes=200, body_bytes=10)
        answer = self._response_to(_request("a", b"x" * 11), small_limits)
        self.assertTrue(answer.startswith(b"HTTP/1.1 413 "))
        long = b"GET / HTTP/1.1\r\nX: " + b"y" * 300 + b"\r\n\r\n"
        answer = self._response_to(long, small_limits)
        self.assertTrue(answer.startswith(b"HTTP/1.1 431 "))

    def test_what_is_not_http_gets_400(self) -> None:
        """Guards against waiting when a client does not send HTTP."""
        answer = self._response_to(b"hello\r\n\r\n")
        self.assertTrue(answer.startswith(b"HTTP/1.1 400 "))

    def test_caller_with_unfinished_head_is_disconnected(self) -> None:
        """Guards against running out of file descriptors.

        A caller sends half a head and then nothing; without a timeout, its
        connection would stay open for ever.
        """
        limits = ServerLimits(header_timeout_s=0.05)
        answer = self._response_to(b"GET / HTTP/1.1\r\nHo", limits)
        self.assertTrue(answer.startswith(b"HTTP/1.1 408 "))

    def test_handler_learns_that_its_caller_has_left(self) -> None:
        """Guards against work for a caller that has disconnected."""
        disconnected = asyncio.Event()

        async def wait_for_disconnect(
            request: Request, responder: Responder
        ) -> None:
            await request.disconnected.wait()
            disconnected.set()

        async def main() -> None:
            server = HttpServer(wait_for_disconnect)
            address = await server.start("127.0.0.1:0")
            host, port = address.split(":")
            _, writer = await asyncio.open_connection(host, int(port))
            writer.write(_request("a"))
            await asyncio.sleep(0.05)
            writer.close()
            await disconnected.wait()
            await server.stop()

        _run_within_limit(main())

    def test_broken_off_answer_cannot_look_whole(self) -> None:
        """Guards against an aborted stream that looks complete to a caller."""

        async def answer_half(request: Request, responder: Responder) -> None:
            responder.start(200, Headers(), None)
            responder.write(b"part")
            responder.abort()

        async def main() -> None:
            server = HttpServer(answer_half)
            address = await server.start("127.0.0.1:0")
            try:
                answer = await _exchange_raw(address, _request("a"))
            except ConnectionError:
                answer = b""
            self.assertNotIn(b"0\r\n\r\n", answer)
            await server.stop()

        _run_within_limit(main())
