"""Ejects servers that fail more calls than others.

A server that announces itself but fails its calls looks idle and attracts
work. It is ejected for a time that doubles with each ejection, and gets one
call at a time on its return until calls succeed. At most a share of the
servers is ejected at once: if most servers fail, the cause lies elsewhere.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

CONSECUTIVE_FAILURES_TO_EJECT = 4
MAX_EJECTED_SHARE = 0.3
# From this number of servers on, one may be ejected regardless of the share.
_MIN_SERVERS_FOR_EJECTION = 3
_EJECT_BASE_MS = 2_000
_EJECT_CAP_MS = 60_000
# Successful calls after its return until a server counts as healthy.
_PROBATION_CALLS = 5


@dataclasses.dataclass
class _Health:
    """Health of one incarnation of a server.

    Attributes:
        failures: Consecutive failures.
        ejections: Consecutive ejections without a passed probation.
        until_ms: End of the last ejection.
        probation: Successful calls missing until the server is healthy.
    """

    incarnation: str
    failures: int = 0
    ejections: int = 0
    until_ms: int = 0
    probation: int = 0


class OutlierDetector:
    """Tracks the health of servers by the outcomes of their calls."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._servers: dict[str, _Health] = {}
        self._unhealthy: dict[str, _Health] = {}

    def register(self, server: str, incarnation: str) -> None:
        """Registers a server; a new incarnation starts as healthy."""
        known = self._servers.get(server)
        if known is None or known.incarnation != incarnation:
            self._servers[server] = _Health(incarnation)
            self._unhealthy.pop(server, None)

    def forget(self, server: str) -> None:
        """Removes a server that is gone."""
        self._servers.pop(server, None)
        self._unhealthy.pop(server, None)

    def record_success(self, server: str) -> None:
        """Records a successful call."""
        health = self._servers.get(server)
        if health is None:
            return
        health.failures = 0
        if health.probation:
            health.probation -= 1
            if not health.probation:
                health.ejections = 0
                self._unhealthy.pop(server, None)

    def record_failure(self, server: str, now_ms: int) -> None:
        """Records a failure caused by the server and may eject it."""
        health = self._servers.get(server)
        if health is None or health.until_ms > now_ms:
            return
        health.failures += 1
        # During probation, a single failure shows that it has not recovered.
        is_due = (
            health.failures >= CONSECUTIVE_FAILURES_TO_EJECT or health.probation
        )
        if is_due and self._can_eject(now_ms):
            self._eject(server, health, now_ms)

    def admits(self, server: str, granted: int, now_ms: int) -> bool:
        """Returns whether the server may get one more call.

        Args:
            server: Name of the server.
            granted: Calls that it runs now.
            now_ms: Monotonic time.
        """
        health = self._unhealthy.get(server)
        if health is None:
            return True
        if health.until_ms > now_ms:
            return False
        return granted < 1 if health.probation else True

    def ejected_servers(self, now_ms: int) -> list[str]:
        """Returns the servers that are ejected now."""
        return [
            name
            for name, health in self._unhealthy.items()
            if health.until_ms > now_ms
        ]

    def _can_eject(self, now_ms: int) -> bool:
        max_ejected = int(MAX_EJECTED_SHARE * len(self._servers))
        if len(self._servers) >= _MIN_SERVERS_FOR_EJECTION:
            max_ejected = max(1, max_ejected)
        return len(self.ejected_servers(now_ms)) < max_ejected

    def _eject(self, server: str, health: _Health, now_ms: int) -> None:
        self._unhealthy[server] = health
        health.ejections += 1
        health.failures = 0
        health.probation = _PROBATION_CALLS
        duration_ms = min(
            _EJECT_CAP_MS, _EJECT_BASE_MS << (health.ejections - 1)
        )
        health.until_ms = (
            now_ms + duration_ms + self._rng.randrange(duration_ms // 4)
        )
