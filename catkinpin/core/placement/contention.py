"""Tells for which services capacity is contended.

Some decisions are made only where a deployment calls for them: where its
settings say that callers compete for capacity, or where the servers of a
service report a slowdown, because they share their machines with other work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.requests.calls import Load


class ContendedServices:
    """The services whose capacity is contended.

    Args:
        configured: Whether the settings say so for all services.
    """

    def __init__(self, *, configured: bool) -> None:
        self._configured = configured
        self._reported: set[str] = set()

    def is_contended(self, service: str) -> bool:
        """Returns whether the capacity of a service is contended."""
        return self._configured or service in self._reported

    def record_load(self, service: str, load: Load) -> None:
        """Records a load that a server of the service reported."""
        if load.slowdown is not None:
            self.record_report(service)

    def record_report(self, service: str) -> None:
        """Records that a server of the service reported a slowdown.

        A service stays contended from then on: its servers share machines.
        """
        self._reported.add(service)
