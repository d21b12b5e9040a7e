"""The leader's view of the backend servers, from late and lossy reports."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.messages import ProgramKey, ServerRef
from catkinpin.core.placement.residents import Residents

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import CacheEvents, ServerReport

# A server that has not announced itself for this long gets no new work.
SILENT_AFTER_MS = 2_000
_FORGET_AFTER_MS = 60_000


@dataclasses.dataclass
class Server:
    """A backend server as last reported, and what was granted since.

    Attributes:
        seen_ms: when the last report was made, on our monotonic clock.
        granted: attempts that we granted and that have not finished.
        others: running calls that we did not grant, as the reports suggest.
        residents: the programs whose prefixes it is thought to hold.
    """

    report: ServerReport
    reported_ms: int
    granted: int = 0
    foreign_calls: int = 0
    residents: Residents = dataclasses.field(default_factory=Residents)

    @property
    def ref(self) -> ServerRef:
        """Names this incarnation of the server."""
        return ServerRef(
            server=self.report.server,
            incarnation=self.report.incarnation,
            address=self.report.address,
            region=self.report.region,
        )

    @property
    def load(self) -> int:
        """Running calls: what we granted, and what others did."""
        return self.granted + self.foreign_calls

    def apply_report(self, report: ServerReport, made_ms: int) -> None:
        """Takes in a newer report of the same incarnation.

        A report that claims to run more calls than fit is a lie: one broken
        counter would keep a server idle for ever, beside callers that wait. It
        counts for nothing. A report that claims too few changes nothing, as
        what we granted counts in any case.
        """
        self.report = report
        self.reported_ms = made_ms
        honest = report.running <= report.capacity
        foreign = report.running + report.waiting - self.granted
        self.foreign_calls = max(0, foreign) if honest else 0
        if report.kind == "model":
            self.residents.reconcile(report.held, made_ms)


class ServerView:
    """Every backend server that announced itself."""

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}
        # Names by what they serve, so that a choice looks at no other server.
        self._by_target: dict[tuple[str, str], dict[str, Server]] = {}

    def apply_report(self, report: ServerReport, made_ms: int) -> None:
        """Takes in a report made at `made_ms`; an older one is dropped."""
        known = self.servers.get(report.server)
        if known is None or known.report.incarnation != report.incarnation:
            if known is None or made_ms >= known.reported_ms:
                self._forget(report.server)
                self._remember(Server(report, made_ms))
            return
        if made_ms < known.reported_ms:
            return
        same = (
            known.report.kind == report.kind
            and known.report.serves == report.serves
        )
        if not same:
            self._forget(report.server)
        known.apply_report(report, made_ms)
        if not same:
            self._remember(known)

    def apply_cache_events(self, events: CacheEvents) -> None:
        """Takes in what an engine says of its prefix cache.

        Events that were lost leave the ledger wrong until the next report of
        all that the engine holds.
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
        without: tuple[str, ...] = (),
        allowed: Callable[[ServerReport], bool] = lambda _: True,
        only: str | None = None,
    ) -> list[Server]:
        """Returns the servers that may get new work for `target`.

        With `only`, no other server is looked at.
        """
        found = []
        servers = self._by_target.get((kind, target), {})
        if only is not None:
            servers = {only: servers[only]} if only in servers else {}
        for name, server in servers.items():
            if server.report.leaving or name in without:
                continue
            if now_ms - server.reported_ms > SILENT_AFTER_MS:
                continue
            if not allowed(server.report):
                continue
            found.append(server)
        return found

    def silent_servers(self, now_ms: int) -> list[str]:
        """Returns the servers that have not reported for some time."""
        return [
            name
            for name, server in self.servers.items()
            if now_ms - server.reported_ms > SILENT_AFTER_MS
        ]

    def has_server(self, kind: str, target: str) -> bool:
        """Returns whether any known server, even a silent one, serves it."""
        return bool(self._by_target.get((kind, target)))

    def forget_silent(self, now_ms: int) -> None:
        """Drops servers that have been silent for long."""
        for name, server in list(self.servers.items()):
            if now_ms - server.reported_ms >= _FORGET_AFTER_MS:
                self._forget(name)

    def _remember(self, server: Server) -> None:
        report = server.report
        self.servers[report.server] = server
        for target in report.serves:
            names = self._by_target.setdefault((report.kind, target), {})
            names[report.server] = server

    def _forget(self, name: str) -> None:
        server = self.servers.pop(name, None)
        if server is None:
            return
        for target in server.report.serves:
            served = self._by_target.get((server.report.kind, target), {})
            served.pop(name, None)
