"""A pool of client connections to backend servers."""

from __future__ import annotations

import asyncio
import errno

from catkinpin import metrics
from catkinpin.adapters.http.client import (
    DEFAULT_MAX_IDLE_S,
    Failure,
    Opening,
    OpenReason,
    ServerConnection,
)
from catkinpin.core.control.servers import split_address
from catkinpin.verdicts import Verdict

_MS_PER_S = 1_000
# Reason of a failure by this process's own limit, which no server caused.
NO_FREE_CONNECTION = "no connection is free"
# Errors by which the system denies this process one more connection.
_OWN_LIMIT_ERRORS = (
    errno.EMFILE,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.EADDRNOTAVAIL,
)
# Addresses remembered as connected before, to tell why a connection is opened.
_MAX_KNOWN_ADDRESSES = 4_096


class Pool:
    """A pool of connections to all backend servers.

    A server accepts a limited number of connections in total and resets those
    beyond it, so each gateway keeps to its share of the limit.
    """

    def __init__(self) -> None:
        self._idle: dict[str, list[ServerConnection]] = {}
        self._open_counts: dict[str, int] = {}
        self._known_addresses: dict[str, None] = {}

    async def acquire(
        self,
        address: str,
        limit: int,
        timeout_s: float,
        max_idle_s: float = DEFAULT_MAX_IDLE_S,
        *,
        is_contended: bool = False,
    ) -> ServerConnection | Failure:
        """Returns an idle connection to a server, or opens one.

        Args:
            address: the server's address.
            limit: most connections that this process may open to the server.
            timeout_s: connect timeout.
            max_idle_s: connections that were idle for longer are not used. The
                server may have dropped one silently; a request sent on it is
                reset, and whether it ran is then unknown. One that probes
                prove alive is used in any case.
            is_contended: whether the service's capacity is contended. Its
                connections are probed and kept for longer.
        """
        taken = self._take_idle(address, limit, max_idle_s)
        if isinstance(taken, ServerConnection):
            metrics.CONNECTIONS_REUSED.inc()
            conn = taken
        else:
            opened = await self._open(address, limit, timeout_s)
            if isinstance(opened, Failure):
                return opened
            conn = opened
            conn.opening = taken
            metrics.CONNECTIONS_OPENED.labels(taken.reason).inc()
            self._remember(address)
        if is_contended:
            conn.enable_probes()
        return conn

    async def is_accepting(
        self, address: str, limit: int, timeout_s: float
    ) -> bool:
        """Returns whether a server accepts a new connection.

        An idle connection proves nothing: when a server crashes, some of its
        connections are seen closed later than others. If the limit is reached
        by connections in use, nothing is known, and the result is true.
        """
        if self._idle.get(address):
            self._close_longest_idle(address, limit)
        opened = await self._open(address, limit, timeout_s)
        if isinstance(opened, Failure):
            return opened.reason == NO_FREE_CONNECTION
        metrics.CONNECTIONS_OPENED.labels(OpenReason.CHECK).inc()
        opened.abort("opened as a check")
        return True

    def has_idle(self, address: str) -> bool:
        """Returns whether there is a usable idle connection to a server."""
        idle = self._idle.get(address)
        if not idle:
            return False
        now_s = asyncio.get_running_loop().time()
        return any(conn.is_usable(now_s) for conn in reversed(idle))

    def _take_idle(
        self, address: str, limit: int, max_idle_s: float
    ) -> ServerConnection | Opening:
        """Returns the idle connection used last, or why to open one."""
        now = asyncio.get_running_loop().time()
        idle = self._idle.get(address, [])
        open_count = self._open_counts.get(address, 0)
        reason, idle_ms = OpenReason.EXPIRED, -1
        if open_count and not idle:
            reason = OpenReason.BUSY
        elif address not in self._known_addresses:
            reason = OpenReason.FIRST
        while idle:
            conn = idle[-1]
            idle_s = now - conn.idle_since_s
            if not conn.is_usable(now):
                idle.pop()
                conn.abort("idle for too long")
                idle_ms = int(idle_s * _MS_PER_S)
            elif idle_s <= max_idle_s or conn.is_proved():
                return idle.pop()
            else:
                self._close_longest_idle(address, limit)
                reason = OpenReason.UNPROVED
                idle_ms = int(idle_s * _MS_PER_S)
                break
        return Opening(reason, open_count, idle_ms)

    async def _open(
        self, address: str, limit: int, timeout_s: float
    ) -> ServerConnection | Failure:
        if self._open_counts.get(address, 0) >= limit:
            return Failure(Verdict.NOT_RUN, NO_FREE_CONNECTION)
        target = split_address(address)
        if target is None:
            return Failure(Verdict.NOT_RUN, "no connection: not an address")
        self._open_counts[address] = self._open_counts.get(address, 0) + 1
        try:
            async with asyncio.timeout(timeout_s):
                conn = await _connect(*target)
        except (OSError, UnicodeError) as exc:
            self._count_closed(address)
            # The resolver raises a UnicodeError for a host with a long label.
            if isinstance(exc, OSError) and exc.errno in _OWN_LIMIT_ERRORS:
                return Failure(Verdict.NOT_RUN, NO_FREE_CONNECTION)
            return Failure(Verdict.NOT_RUN, f"no connection: {exc!r}")
        except asyncio.CancelledError:
            self._count_closed(address)
            raise
        conn.on_closed = lambda: self._count_closed(address)
        if conn.closed:
            self._count_closed(address)
        return conn

    def _remember(self, address: str) -> None:
        self._known_addresses[address] = None
        if len(self._known_addresses) > _MAX_KNOWN_ADDRESSES:
            self._known_addresses.pop(next(iter(self._known_addresses)))

    def _close_longest_idle(self, address: str, limit: int) -> None:
        """Closes the longest idle connection if the limit is reached."""
        if self._open_counts.get(address, 0) < limit:
            return
        conn = self._idle[address].pop(0)
        conn.on_closed = lambda: None
        conn.abort("replaced by a new connection")
        self._count_closed(address)

    def release(self, address: str, conn: ServerConnection) -> None:
        """Returns a connection to the pool once its exchange has ended."""
        now = asyncio.get_running_loop().time()
        if not conn.is_usable(now):
            conn.abort("not usable again")
            return
        idle = self._idle.setdefault(address, [])
        idle.append(conn)
        while conn.is_probed and not idle[0].is_usable(now):
            idle.pop(0).abort("idle for too long")

    def retire(self, address: str) -> None:
        """Closes the idle connections to a server that is gone or failing."""
        for conn in self._idle.pop(address, []):
            conn.abort("the server is gone or failing")

    def _count_closed(self, address: str) -> None:
        remaining = self._open_counts.get(address, 0) - 1
        if remaining > 0:
            self._open_counts[address] = remaining
        else:
            self._open_counts.pop(address, None)
            # All connections in it are closed.
            self._idle.pop(address, None)


async def _connect(host: str, port: int) -> ServerConnection:
    loop = asyncio.get_running_loop()
    _, conn = await loop.create_connection(ServerConnection, host, port)
    return conn
