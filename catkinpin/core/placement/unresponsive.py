"""Detects unresponsive application servers and informs all gateways.

An unresponsive server accepts requests, answers none and still passes its
health checks. Each of many gateways would lose a call of its own before it
notices, and every call that must not be repeated costs a program. A gateway
therefore counts a server as unresponsive once a call takes many times its
usual time, long before the deadline. Once two gateways have reported a server,
the leader informs all of them.
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

# A call is overdue after this multiple of its route's usual time, but not
# before the minimum: a queue at a busy server takes some hundred ms.
_OVERDUE_FACTOR = 6.0
_MIN_OVERDUE_MS = 350
# Gateways that must report a server, if there are as many.
_MIN_GATEWAYS = 2
# Lifetime of a gateway's report.
_REPORT_LIFETIME_MS = 2_000


@dataclasses.dataclass
class _PendingCall:
    """A call without an answer yet.

    Attributes:
        overdue_ms: Time from which the call is overdue.
    """

    server: str
    overdue_ms: float


class PendingCalls:
    """Unanswered calls of one gateway to application services."""

    def __init__(self) -> None:
        self._calls: dict[str, _PendingCall] = {}

    def add(
        self, attempt: str, server: str, usual_ms: float, now_ms: int
    ) -> None:
        """Adds a call that was sent."""
        timeout_ms = max(_MIN_OVERDUE_MS, _OVERDUE_FACTOR * usual_ms)
        self._calls[attempt] = _PendingCall(server, now_ms + timeout_ms)

    def remove(self, attempt: str) -> None:
        """Removes a call that was answered or given up."""
        self._calls.pop(attempt, None)

    def overdue_servers(self, now_ms: int) -> set[str]:
        """Returns the servers that have an overdue call."""
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
    """Ejects the unresponsive servers of a service from a balancer.

    At most half of the ready servers are ejected at once. If more than half
    are unresponsive, none is: they are overloaded, and each ejection would
    overload the others until all had been ejected in turn.

    Args:
        balancer: Balancer of the gateway.
        unresponsive: IDs of unresponsive servers, also of other services.
        servers: Servers of the service.
        now_ms: Monotonic time.
        until_ms: End of the ejection.
    """
    ready = [server for server in servers if server.state is ServerState.READY]
    found = [server.id for server in ready if server.id in unresponsive]
    if 2 * len(found) > len(ready):
        return
    ejected = balancer.ejected_servers(ready, now_ms)
    free_ejections = len(ready) // 2 - len(ejected.difference(found))
    found.sort(key=lambda server: server not in ejected)
    for server in found[: max(0, free_ejections)]:
        balancer.eject_until(server, until_ms)


class UnresponsiveServers:
    """Collects the gateways' reports of unresponsive servers on the leader."""

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, int]] = collections.defaultdict(dict)

    def reset(self) -> None:
        """Clears all reports."""
        self._reports.clear()

    def report(
        self, gateway: str, servers: Collection[str], now_ms: int
    ) -> None:
        """Records the servers that a gateway finds unresponsive."""
        for server in servers:
            self._reports[server][gateway] = now_ms

    def confirmed(self, gateways: int, now_ms: int) -> list[str]:
        """Returns the servers that enough gateways have reported.

        Args:
            gateways: Number of gateways.
            now_ms: Monotonic time.
        """
        oldest_ms = now_ms - _REPORT_LIFETIME_MS
        found = []
        for server, seen in list(self._reports.items()):
            recent = {g: at for g, at in seen.items() if at >= oldest_ms}
            if not recent:
                del self._reports[server]
                continue
            self._reports[server] = recent
            if len(recent) >= min(_MIN_GATEWAYS, max(1, gateways)):
                found.append(server)
        return sorted(found)
