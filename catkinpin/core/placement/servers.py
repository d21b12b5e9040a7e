"""The leader's view of the backend servers, built from delayed reports.

Reports arrive late and may be lost.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.messages import ProgramKey, ServerRef
from catkinpin.core.placement.residents import Residents

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import CacheEvents, ServerReport

# A server without a report for this long gets no new work.
SILENT_AFTER_MS = 2_000
# A server without a report for this long is removed.
_REMOVE_AFTER_MS = 60_000


@dataclasses.dataclass
class Server:
    """A backend server: its last report and the calls granted by this process.

    Attributes:
        report: The last report.
        reported_ms: Time of the last report on the local monotonic clock.
        granted: Unfinished attempts that this process granted.
        foreign_calls: Calls granted by other processes, derived from reports.
        residents: Program prefixes that the server is assumed to have cached.
    """

    report: ServerReport
    reported_ms: int
    granted: int = 0
    foreign_calls: int = 0
    residents: Residents = dataclasses.field(default_factory=Residents)

    @property
    def ref(self) -> ServerRef:
        """Reference to this incarnation of the server."""
        return ServerRef(
            server=self.report.server,
            incarnation=self.report.incarnation,
            address=self.report.address,
            region=self.report.region,
        )

    @property
    def load(self) -> int:
        """Calls on the server, granted by this process or by others."""
        return self.granted + self.foreign_calls

    def apply_report(self, report: ServerReport, made_ms: int) -> None:
        """Applies a newer report of the same incarnation.

        A report of more running calls than the capacity is false, and its
        counts are ignored: a broken counter would otherwise keep a server idle
        for ever while callers wait. A report of too few calls does no harm, as
        the calls granted by this process count in any case.
        """
        self.report = report
        self.reported_ms = made_ms
        is_plausible = report.running <= report.capacity
        not_granted = report.running + report.waiting - self.granted
        self.foreign_calls = max(0, not_granted) if is_plausible else 0
        if report.kind == "model":
            self.residents.reconcile(report.held, made_ms)


class ServerView:
    """All backend servers that have reported."""

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        # Servers by kind and target, so that a choice scans only these.
        self._by_target: dict[tuple[str, str], dict[str, Server]] = {}

    def apply_report(self, report: ServerReport, made_ms: int) -> None:
        """Applies a report made at `made_ms`, unless a newer one is known."""
        known = self.servers.get(report.server)
        if known is None or known.report.incarnation != report.incarnation:
            if known is None or made_ms >= known.reported_ms:
                self._remove(report.server)
                self._add(Server(report, made_ms))
            return
        if made_ms < known.reported_ms:
            return
        serves_same = (
            known.report.kind == report.kind
            and known.report.serves == report.serves
        )
        if not serves_same:
            self._remove(report.server)
        known.apply_report(report, made_ms)
        if not serves_same:
            self._add(known)

    def apply_cache_events(self, events: CacheEvents) -> None:
        """Applies an engine's events about its prefix cache.

        After lost events the state is wrong until the next full report of the
        engine's cache.
        """
        server = self.servers.get(events.server)
        if server is None or server.report.incarnation != events.incarnation:
            return
        for event in events.events:
            account, _, program = event.program.partition("/")
            key = ProgramKey(account=account, program=program)
            server.residents.record_cache_event(key, event.tokens)

    def usable_servers(
        self,
        kind: str,
        target: str,
        now_ms: int,
        excluded: tuple[str, ...] = (),
        is_allowed: Callable[[ServerReport], bool] = lambda _: True,
        only_server: str | None = None,
    ) -> list[Server]:
        """Returns the servers that may get new work.

        Args:
            kind: Kind of the calls.
            target: Target of the calls.
            now_ms: Monotonic time.
            excluded: Names of excluded servers.
            is_allowed: Returns whether a server may be used.
            only_server: Name of the only server to consider; None for all.
        """
        usable = []
        servers = self._by_target.get((kind, target), {})
        if only_server is not None:
            servers = (
                {only_server: servers[only_server]}
                if only_server in servers
                else {}
            )
        for name, server in servers.items():
            if server.report.leaving or name in excluded:
                continue
            if now_ms - server.reported_ms > SILENT_AFTER_MS:
                continue
            if not is_allowed(server.report):
                continue
            usable.append(server)
        return usable

    def silent_servers(self, now_ms: int) -> list[str]:
        """Returns the names of the servers whose last report is too old."""
        return [
            name
            for name, server in self.servers.items()
            if now_ms - server.reported_ms > SILENT_AFTER_MS
        ]

    def has_server(self, kind: str, target: str) -> bool:
        """Returns whether any server, even a silent one, serves the target."""
        return bool(self._by_target.get((kind, target)))

    def forget_silent(self, now_ms: int) -> None:
        """Removes servers that have been silent for long."""
        for name, server in list(self.servers.items()):
            if now_ms - server.reported_ms >= _REMOVE_AFTER_MS:
                self._remove(name)

    def _add(self, server: Server) -> None:
        report = server.report
        self.servers[report.server] = server
        for target in report.serves:
            names = self._by_target.setdefault((report.kind, target), {})
            names[report.server] = server

    def _remove(self, name: str) -> None:
        server = self.servers.pop(name, None)
        if server is None:
            return
        for target in server.report.serves:
            served = self._by_target.get((server.report.kind, target), {})
            served.pop(name, None)
