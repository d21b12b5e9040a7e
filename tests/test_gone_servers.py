"""Connections to servers that are gone."""

from __future__ import annotations

import asyncio
import tracemalloc
from typing import TYPE_CHECKING

from catkinpin.adapters.http.client import Failure
from catkinpin.adapters.http.pool import Pool
from tests import base
from tests.fakes.rawserver import RawServer, ReceivedRequest, sealed_answer

if TYPE_CHECKING:
    from catkinpin.adapters.http.headers import Headers


class PoolTest(base.TestCase):
    """Connections to servers that come and go."""

    def test_connections_to_servers_that_are_gone_leave_nothing(self) -> None:
        """Guards against connections that are kept for addresses of the past.

        A request still runs when its server is taken for gone, and its
        connection is returned later.
        """

        async def answer(
            seen: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(sealed_answer(seen, b"ok"))

        async def use(pool: Pool) -> None:
            server = RawServer(answer)
            await server.start()
            conn = await pool.acquire(server.address, 2, 1.0)
            assert not isinstance(conn, Failure)
            conn.send(_REQUEST, _matches_any)
            await conn.read_head()
            while isinstance(await conn.read_chunk(), bytes):
                pass
            pool.retire(server.address)
            conn.finish(asyncio.get_running_loop().time())
            pool.release(server.address, conn)
            await server.stop()
            for writer in server.writers:
                writer.close()
            while not conn.closed:
                await asyncio.sleep(0.001)

        async def main() -> None:
            pool = Pool()
            await use(pool)
            tracemalloc.start()
            self.addCleanup(tracemalloc.stop)
            before = tracemalloc.get_traced_memory()[0]
            for _ in range(200):
                await use(pool)
            self.assertLess(
                tracemalloc.get_traced_memory()[0] - before, 500_000
            )

        self.run_async(main())


_REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\n\r\n"


def _matches_any(_: Headers) -> bool:
    return True
