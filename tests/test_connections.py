"""Tests how connections to contended services are kept, proved and chosen."""

from __future__ import annotations

import asyncio
import ctypes
import errno
import socket
import struct
from typing import TYPE_CHECKING, Any
from unittest import mock

import uvloop

from catkinpin.adapters.http import probes
from catkinpin.adapters.http.client import (
    Failure,
    OpenReason,
    ServerConnection,
)
from catkinpin.adapters.http.pool import Pool
from catkinpin.core.control.routes import RouteKind
from catkinpin.core.requests.calls import Load
from catkinpin.verdicts import Verdict
from tests.fakes.gatewaycase import GatewayCase
from tests.fakes.gatewayrig import Rig, abort_connection
from tests.fakes.rawserver import RawServer, ReceivedRequest, sealed_answer

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_LIMIT = 4
# From Linux's `asm-generic/socket.h`; Python's `socket` has no name for it.
_SO_ATTACH_FILTER = 26
_MAX_IDLE_S = 0.02


async def _answer(seen: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(sealed_answer(seen, b"x", Keep_Alive="timeout=10"))


async def _acquire(
    pool: Pool, address: str, **options: Any
) -> ServerConnection:
    conn = await pool.acquire(
        address, _LIMIT, 1.0, **{"is_contended": True, **options}
    )
    assert isinstance(conn, ServerConnection), conn
    return conn


async def _use(conn: ServerConnection) -> Failure | None:
    """Exchanges one request; returns the failure, if any."""
    conn.send(b"GET / HTTP/1.1\r\nRequest-Id: a\r\n\r\n", lambda _: True)
    head = await conn.read_head()
    if isinstance(head, Failure):
        conn.finish(asyncio.get_running_loop().time())
        return head
    while await conn.read_chunk() is not None:
        pass
    conn.finish(asyncio.get_running_loop().time())
    return None


async def _serve(pool: Pool, address: str, **options: Any) -> ServerConnection:
    """Exchanges one request through the pool; returns its connection."""
    conn = await _acquire(pool, address, **options)
    assert await _use(conn) is None
    pool.release(address, conn)
    return conn


def _reason(conn: ServerConnection) -> OpenReason | None:
    return conn.opening.reason if conn.opening else None


def _drop_segments(sock: socket.socket) -> None:
    """Has the kernel drop all segments that arrive at a socket."""
    return_nothing = struct.pack("HBBI", 0x06, 0, 0, 0)
    code = ctypes.create_string_buffer(return_nothing)
    program = struct.pack("HL", 1, ctypes.addressof(code))
    sock.setsockopt(socket.SOL_SOCKET, _SO_ATTACH_FILTER, program)


class PoolTest(GatewayCase):
    """Idle connections of the pool."""

    def _with_server(
        self,
        scenario: Callable[[Pool, RawServer], Awaitable[None]],
        answer: Any = _answer,
        run: Callable[[Any], None] | None = None,
    ) -> None:
        async def main() -> None:
            server = RawServer(answer)
            await server.start()
            await scenario(Pool(), server)
            await server.stop()

        (run or self.run_within_limit)(main())

    def test_proved_connection_serves_what_runs_once(self) -> None:
        """Guards against a new connection after each second without a call."""

        async def scenario(pool: Pool, server: RawServer) -> None:
            conn = await _serve(pool, server.address)
            self.assertIs(OpenReason.FIRST, _reason(conn))
            await asyncio.sleep(2 * _MAX_IDLE_S)
            again = await _acquire(pool, server.address, max_idle_s=_MAX_IDLE_S)
            self.assertIs(conn, again)
            self.assertEqual(1, server.connections)

        self._with_server(scenario)

    def test_probes_are_answered_while_a_connection_is_idle(self) -> None:
        """Guards against probe settings that the system doesn't apply.

        It runs on the event loop of the processes, whose transports differ.
        """

        async def scenario(pool: Pool, server: RawServer) -> None:
            conn = await _serve(pool, server.address)
            await asyncio.sleep(1.6)
            silent_ms = probes.silent_ms(conn._transport)
            assert silent_ms is not None
            self.assertLess(silent_ms, 1_300)
            for silent_ms, is_proved in ((2_499, True), (2_500, False)):
                with mock.patch.object(
                    probes, "silent_ms", return_value=silent_ms
                ):
                    self.assertEqual(is_proved, conn.is_proved())

        self._with_server(scenario, run=uvloop.run)

    def test_silent_connection_is_not_used_and_closed_by_its_probes(
        self,
    ) -> None:
        """Guards against a request that may have run on a dead connection.

        The server's end drops all that arrives, as behind a link that is down.
        """

        async def answer_and_drop(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await _answer(seen, writer)
            await writer.drain()
            writers.append(writer)

        writers: list[asyncio.StreamWriter] = []

        async def scenario(pool: Pool, server: RawServer) -> None:
            conn = await _serve(pool, server.address)
            await asyncio.sleep(0.05)
            _drop_segments(writers[0].get_extra_info("socket"))
            await asyncio.sleep(2.6)
            again = await _acquire(pool, server.address, max_idle_s=1.0)
            self.assertIsNot(conn, again)
            # On a busy machine the probes may have closed it by now.
            self.assertIn(
                _reason(again), (OpenReason.UNPROVED, OpenReason.EXPIRED)
            )
            await asyncio.sleep(0.9)
            self.assertTrue(conn.closed)

        self._with_server(scenario, answer_and_drop, run=uvloop.run)

    def test_system_without_probes_keeps_the_short_limit(self) -> None:
        """Guards against trusting connections that nothing checks."""

        async def scenario(pool: Pool, server: RawServer) -> None:
            with mock.patch.object(probes, "silent_ms", lambda _: None):
                conn = await _serve(pool, server.address)
                await asyncio.sleep(2 * _MAX_IDLE_S)
                again = await _acquire(
                    pool, server.address, max_idle_s=_MAX_IDLE_S
                )
            self.assertFalse(conn.is_probed)
            self.assertIs(OpenReason.UNPROVED, _reason(again))

        self._with_server(scenario)

    def test_idle_time_follows_the_server_and_contention(self) -> None:
        """Guards against other idle times where capacity isn't contended."""

        async def scenario(pool: Pool, server: RawServer) -> None:
            for is_contended, kept_s in ((True, 9.7), (False, 9.0)):
                conn = await _acquire(
                    pool, server.address, is_contended=is_contended
                )
                await _use(conn)
                left_s = conn.idle_until_s - asyncio.get_running_loop().time()
                self.assertAlmostEqual(kept_s, left_s, delta=0.3)
                self.assertEqual(is_contended, conn.is_probed)

        self._with_server(scenario)

    def test_idle_time_begins_at_the_end_of_a_response(self) -> None:
        """Guards against reusing a connection that the server has closed.

        The time runs from the head where nothing is probed, and where reading
        was paused, as the end may have been sent long before it was read.
        """

        async def stay_silent(*_: object) -> None:
            """Leaves the response to the test."""

        async def scenario(pool: Pool, server: RawServer) -> None:
            loop = asyncio.get_running_loop()
            for is_contended, size, kept_s, is_extended in (
                (True, 10, 9.7, True),
                (False, 10, 9.0, False),
                (True, 300_000, 9.7, False),
            ):
                conn = await _acquire(
                    pool, server.address, is_contended=is_contended
                )
                conn.send(b"GET / HTTP/1.1\r\n\r\n", lambda _: True)
                conn.data_received(
                    b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=10\r\n"
                    b"Content-Length: %d\r\n\r\n" % size + b"x" * (size - 1)
                )
                await asyncio.sleep(0.02)
                ended_s = loop.time()
                conn.data_received(b"x")
                self.assertEqual(
                    is_extended, conn.idle_until_s >= ended_s + kept_s
                )
                conn.abort("unused")

        self._with_server(scenario, stay_silent)

    def test_connection_that_the_server_closed_is_not_proved(self) -> None:
        """Guards against a close that the event loop has not seen yet."""
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname())
            accepted, _ = listener.accept()
            transport = mock.Mock(get_extra_info=lambda _: client)
            self.assertIsNotNone(probes.silent_ms(transport))
            accepted.close()
            self.assertEqual(b"", client.recv(1))
            self.assertIsNone(probes.silent_ms(transport))
            client.close()

    def test_last_used_is_taken_first_and_surplus_expires(self) -> None:
        """Guards against keeping every connection of a burst in use."""

        async def scenario(pool: Pool, server: RawServer) -> None:
            conns = [await _acquire(pool, server.address) for _ in range(3)]
            for conn in conns:
                await _use(conn)
                pool.release(server.address, conn)
            self.assertEqual(
                [OpenReason.FIRST, OpenReason.BUSY, OpenReason.BUSY],
                [_reason(conn) for conn in conns],
            )
            conns[0].idle_until_s = 0.1
            for _ in range(5):
                self.assertIs(conns[2], await _serve(pool, server.address))
            await asyncio.sleep(0)
            self.assertEqual(
                [True, False, False], [conn.closed for conn in conns]
            )

        self._with_server(scenario)

    def test_connection_whose_reading_is_paused_is_not_reused(self) -> None:
        """Guards against a request whose response is never read.

        A cancelled attempt may leave a large response unread that has arrived
        completely.
        """

        async def stay_silent(*_: object) -> None:
            """Leaves the response to the test."""

        async def scenario(pool: Pool, server: RawServer) -> None:
            conn = await _acquire(pool, server.address)
            conn.send(b"GET / HTTP/1.1\r\n\r\n", lambda _: True)
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n"
            conn.data_received(head + b"x" * 300_000)
            conn.finish(asyncio.get_running_loop().time())
            pool.release(server.address, conn)
            self.assertFalse(pool.has_idle(server.address))

        self._with_server(scenario, stay_silent)

    def test_server_that_closes_early_costs_a_connection_only(self) -> None:
        """Guards against sending on connections that the server closed."""

        async def answer_and_close(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await _answer(seen, writer)
            await writer.drain()
            writer.close()

        async def scenario(pool: Pool, server: RawServer) -> None:
            for _ in range(6):
                conn = await _serve(pool, server.address)
                await asyncio.sleep(0.1)
                self.assertFalse(pool.has_idle(server.address))
            self.assertIs(OpenReason.EXPIRED, _reason(conn))

        self._with_server(scenario, answer_and_close)

    def test_all_connections_reset_at_once_leave_room_for_new_ones(
        self,
    ) -> None:
        """Guards against counting reset connections against the limit.

        A server restarts at the same address: its connections are reset, and
        the next requests need as many new ones.
        """

        async def answer_then_reset(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await _answer(seen, writer)
            writers.append(writer)

        writers: list[asyncio.StreamWriter] = []

        async def scenario(pool: Pool, server: RawServer) -> None:
            for _ in range(2):
                conns = [
                    await _acquire(pool, server.address) for _ in range(_LIMIT)
                ]
                for conn in conns:
                    await _use(conn)
                    pool.release(server.address, conn)
                self.assertTrue(pool.has_idle(server.address))
                while writers:
                    writers.pop().transport.abort()
                await asyncio.sleep(0.1)
                self.assertFalse(pool.has_idle(server.address))
            self.assertEqual(2 * _LIMIT, server.connections)

        self._with_server(scenario, answer_then_reset)


class GatewayConnectionsTest(GatewayCase):
    """Requests of a gateway to a contended service."""

    def test_break_on_a_kept_connection_is_not_repeated(self) -> None:
        """Guards against running a request twice on a kept connection.

        The server breaks the connection before any byte of an answer, so the
        request may have run.
        """

        async def answer_first(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            readers.append(seen.reader)
            first = len(readers) == 1
            await (_answer if first else abort_connection)(seen, writer)

        readers: list[asyncio.StreamReader | None] = []
        rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)

        async def scenario() -> None:
            rig.contention.record_load("s", Load(0, 0, 4, slowdown=1.0))
            await rig.start(answer_first)
            first = await rig.ask("q1", Deadline="1000")
            await asyncio.sleep(1.1)
            second = await rig.ask("q2", Deadline="1000")
            self.assertEqual((200, 502), (first.status, second.status))
            self.assertEqual(2, len(readers))
            self.assertIs(readers[0], readers[1])
            await rig.stop()

        self.run_within_limit(scenario())

    def _count_crashes(self, code: int) -> int:
        """Returns the crash reports after a connection ended by an error."""
        rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)
        rig.contention.record_load("s", Load(0, 0, 4, slowdown=1.0))
        original = ServerConnection.connection_lost

        def lose(conn: ServerConnection, _: object) -> None:
            original(conn, OSError(code, "lost"))

        async def lose_connection(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            await rig.servers[0].stop()
            writer.transport.abort()

        async def scenario() -> None:
            await rig.start(lose_connection)
            with mock.patch.object(ServerConnection, "connection_lost", lose):
                response = await rig.ask(Deadline="1000")
                await asyncio.sleep(0.05)
            self.assertEqual(502, response.status)
            await rig.stop()

        self.run_within_limit(scenario())
        return len(rig.turns.crashes)

    def test_timeout_of_a_link_is_no_crash_of_the_server(self) -> None:
        """Guards against quarantining requests that a link was cut under.

        The probes end connections with a running request as well, and while
        the link is down the server can't be reached.
        """
        self.assertEqual(0, self._count_crashes(errno.ETIMEDOUT))
        self.assertEqual(0, self._count_crashes(errno.EHOSTUNREACH))
        self.assertEqual(1, self._count_crashes(errno.ECONNRESET))

    def test_no_connection_means_the_request_has_not_run(self) -> None:
        """Guards against a verdict that forbids trying another server."""

        async def scenario() -> None:
            server = RawServer(_answer)
            await server.start()
            await server.stop()
            failure = await Pool().acquire(
                server.address, _LIMIT, 1.0, is_contended=True
            )
            assert isinstance(failure, Failure)
            self.assertIs(Verdict.NOT_RUN, failure.verdict)

        self.run_within_limit(scenario())
