"""Servers that fail more than others get no work for a while.

A server that answers its announcements but fails its calls attracts work, as
it always looks idle. It is ejected for a time that doubles at each repeat; it
returns with one call at a time until calls succeed. Never more than a share of
the servers is ejected: if most fail, the fault lies elsewhere.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

CONSECUTIVE_FAILURES_TO_EJECT = 4
MAX_EJECTED_SHARE = 0.3
# Of this many servers one may be ejected, whatever the share.
_MIN_COUNT = 3
_EJECT_BASE_MS = 2_000
_EJECT_CAP_MS = 60_000
# Successes after the return until the server counts as healthy.
_PROBATION = 5


@dataclasses.dataclass
class _Health:
    """What is known of one incarnation of a server."""

    incarnation: str
    failures: int = 0
    ejections: int = 0
    until_ms: int = 0
    probation: int = 0


class OutlierDetector:
    """Health of servers by the outcome of their calls."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._servers: dict[str, _Health] = {}
        self._sick: dict[str, _Health] = {}

    def register(self, server: str, incarnation: str) -> None:
        """Notes a server; a new incarnation starts without a record."""
        known = self._servers.get(server)
        if known is None or known.incarnation != incarnation:
            self._servers[server] = _Health(incarnation)
            self._sick.pop(server, None)

    def forget(self, server: str) -> None:
        """Forgets a server that is gone."""
        self._servers.pop(server, None)
        self._sick.pop(server, None)

    def record_success(self, server: str) -> None:
        """Notes an answer."""
        health = self._servers.get(server)
        if health is None:
            return
        health.failures = 0
        if health.probation:
            health.probation -= 1
            if not health.probation:
                health.ejections = 0
                self._sick.pop(server, None)

    def record_failure(self, server: str, now_ms: int) -> None:
        """Notes a failure that was the server's."""
        health = self._servers.get(server)
        if health is None or health.until_ms > now_ms:
            return
        health.failures += 1
        # On probation one failure is enough: it has not recovered.
        due = (
            health.failures >= CONSECUTIVE_FAILURES_TO_EJECT or health.probation
        )
        if due and self._room(now_ms):
            self._eject(server, health, now_ms)

    def admits(self, server: str, granted: int, now_ms: int) -> bool:
        """Returns whether the server may get one more call.

        Args:
            server: its name.
            granted: calls it holds now.
            now_ms: monotonic time.
        """
        health = self._sick.get(server)
        if health is None:
            return True
        if health.until_ms > now_ms:
            return False
        return granted < 1 if health.probation else True

    def ejected_servers(self, now_ms: int) -> list[str]:
        """Returns the servers that are ejected now."""
        return [
            name
            for name, health in self._sick.items()
            if health.until_ms > now_ms
        ]

    def _room(self, now_ms: int) -> bool:
        limit = int(MAX_EJECTED_SHARE * len(self._servers))
        if len(self._servers) >= _MIN_COUNT:
            limit = max(1, limit)
        return len(self.ejected_servers(now_ms)) < limit

    def _eject(self, server: str, health: _Health, now_ms: int) -> None:
        self._sick[server] = health
        health.ejections += 1
        health.failures = 0
        health.probation = _PROBATION
        bound = min(_EJECT_CAP_MS, _EJECT_BASE_MS << (health.ejections - 1))
        health.until_ms = now_ms + bound + self._rng.randrange(bound // 4)
