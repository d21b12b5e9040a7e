"""Tracks which servers each gateway used lately, on the leader.

A gateway keeps an idle connection to a server for some seconds. The leader
doesn't see connections, but it names the servers, so it knows where one is
likely to exist.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.control.servers import Instance

# A use older than this doesn't count: the servers of the known deployments
# close connections that were idle for 10 s.
_MAX_AGE_MS = 8_000
# Limit of tracked pairs, some 200 bytes each. With 410 gateways and 2,400
# servers there could be 984,000 pairs, but all turns of 8 s use far fewer.
_MAX_PAIRS = 50_000


class UsedServers:
    """The servers that each gateway used within the last seconds."""

    def __init__(self) -> None:
        # An incarnation's start is part of the key, as a restarted server has
        # lost its connections. The least recent use comes first.
        self._used_ms: collections.OrderedDict[tuple[str, str, int], int] = (
            collections.OrderedDict()
        )
        self._by_gateway: dict[str, set[tuple[str, int]]] = {}

    def __len__(self) -> int:
        """Returns the number of tracked pairs of gateway and server."""
        return len(self._used_ms)

    def record_use(self, gateway: str, server: Instance, now_ms: int) -> None:
        """Records that a gateway uses a connection to a server."""
        pair = (gateway, server.id, server.started_ms)
        self._used_ms[pair] = now_ms
        self._used_ms.move_to_end(pair)
        self._by_gateway.setdefault(gateway, set()).add(pair[1:])
        self._remove_old(now_ms)

    def record_failure(self, gateway: str, server: Instance) -> None:
        """Records that a server failed a turn of the gateway.

        The gateway then closes its connections to the server.
        """
        self._remove((gateway, server.id, server.started_ms))

    def ids_used_by(self, gateway: str, now_ms: int) -> set[str]:
        """Returns the IDs of the servers that a gateway used."""
        self._remove_old(now_ms)
        return {server for server, _ in self._by_gateway.get(gateway, ())}

    def used_by(self, gateway: str, now_ms: int) -> Callable[[Instance], bool]:
        """Returns a function that tells whether the gateway used a server."""
        oldest_ms = now_ms - _MAX_AGE_MS

        def is_used(server: Instance) -> bool:
            pair = (gateway, server.id, server.started_ms)
            used_ms = self._used_ms.get(pair)
            return used_ms is not None and used_ms >= oldest_ms

        return is_used

    def _remove_old(self, now_ms: int) -> None:
        """Removes old pairs, and the least recent ones above the limit."""
        while self._used_ms:
            pair, used_ms = next(iter(self._used_ms.items()))
            is_old = used_ms < now_ms - _MAX_AGE_MS
            if not is_old and len(self._used_ms) <= _MAX_PAIRS:
                return
            self._remove(pair)

    def _remove(self, pair: tuple[str, str, int]) -> None:
        if self._used_ms.pop(pair, None) is None:
            return
        pairs = self._by_gateway[pair[0]]
        pairs.remove(pair[1:])
        if not pairs:
            del self._by_gateway[pair[0]]
