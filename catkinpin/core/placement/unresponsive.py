"""Plain servers that are unresponsive: noticed by one gateway, avoided by all.

The pattern: a server takes requests and answers none, and its health is good.
Each of many gateways sends it a call of its own before it knows, and where
such a call may not be repeated each costs a program. So a gateway counts a
server as unresponsive once a call takes many times the usual, long before its
deadline, and the leader tells all gateways once two of them have said so.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.control.servers import ServerState

if TYPE_CHECKING:
    from collections.abc import Collection

    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.balance import Balancer

# A call is overdue after so many times what its route usually takes, and not
# before so long: a queue at a busy server takes some hundred ms.
_OVERDUE_TIMES = 6.0
_MIN_OVERDUE_MS = 350
# Gateways that must have seen it, where there are as many.
_MIN_GATEWAYS = 2
# What one gateway saw counts for so long.
_SEEN_MS = 2_000


@dataclasses.dataclass
class _Call:
    """A call that waits for its answer."""

    server: str
    overdue_ms: float


class PendingCalls:
    """Plain calls of one gateway that wait for their answers."""

    def __init__(self) -> None:
        self._calls: dict[str, _Call] = {}

    def add(
        self, attempt: str, server: str, usual_ms: float, now_ms: int
    ) -> None:
        """Notes that a call was sent."""
        limit_ms = max(_MIN_OVERDUE_MS, _OVERDUE_TIMES * usual_ms)
        self._calls[attempt] = _Call(server, now_ms + limit_ms)

    def remove(self, attempt: str) -> None:
        """Notes that a call waits no more."""
        self._calls.pop(attempt, None)

    def overdue_servers(self, now_ms: int) -> set[str]:
        """Returns servers that have an overdue call."""
        return {
            call.server
            for call in self._calls.values()
            if call.overdue_ms <= now_ms
        }


def eject_unresponsive(
    balancer: Balancer,
    unresponsive: Collection[str],
    servers: Collection[Instance],
    now_ms: int,
    until_ms: int,
) -> None:
    """Has a balancer leave out unresponsive servers of a service.

    At most half of the ready servers are left out at once, and none where more
    than half take many times the usual: then they are overloaded, and each
    that is left out overloads the others, until all have been out in turn.

    Args:
        balancer: of the gateway.
        unresponsive: servers, maybe of other services as well.
        servers: of the service.
        now_ms: monotonic time.
        until_ms: until when they are left out.
    """
    ready = [s for s in servers if s.state is ServerState.READY]
    found = [s.id for s in ready if s.id in unresponsive]
    if 2 * len(found) > len(ready):
        return
    out = balancer.ejected_servers(ready, now_ms)
    room = len(ready) // 2 - len(out.difference(found))
    found.sort(key=lambda server: server not in out)
    for server in found[: max(0, room)]:
        balancer.eject_until(server, until_ms)


class UnresponsiveServers:
    """What the leader has been told of unresponsive servers."""

    def __init__(self) -> None:
        self._seen: dict[str, dict[str, int]] = collections.defaultdict(dict)

    def reset(self) -> None:
        """Forgets everything."""
        self._seen.clear()

    def report(
        self, gateway: str, servers: Collection[str], now_ms: int
    ) -> None:
        """Takes what one gateway sees."""
        for server in servers:
            self._seen[server][gateway] = now_ms

    def confirmed(self, gateways: int, now_ms: int) -> list[str]:
        """Returns servers that enough gateways have seen unresponsive."""
        since_ms = now_ms - _SEEN_MS
        found = []
        for server, seen in list(self._seen.items()):
            recent = {g: at for g, at in seen.items() if at >= since_ms}
            if not recent:
                del self._seen[server]
                continue
            self._seen[server] = recent
            if len(recent) >= min(_MIN_GATEWAYS, max(1, gateways)):
                found.append(server)
        return sorted(found)
