"""The leader's view of the backend servers, from late and lossy reports."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.messages import ServerRef

if TYPE_CHECKING:
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
    """

    report: ServerReport
    seen_ms: int
    granted: int = 0

    @property
    def ref(self) -> ServerRef:
        """Names this life of the server."""
        return ServerRef(
            server=self.report.server,
            incarnation=self.report.incarnation,
            address=self.report.address,
            region=self.report.region,
        )


class ServerView:
    """Every backend server that announced itself."""

    def __init__(self) -> None:
        self.servers: dict[str, Server] = {}

    def report(self, report: ServerReport, made_ms: int) -> None:
        """Takes in a report made at `made_ms`; an older one is dropped."""
        known = self.servers.get(report.server)
        if known is None or known.report.incarnation != report.incarnation:
            if known is None or made_ms >= known.seen_ms:
                self.servers[report.server] = Server(report, made_ms)
            return
        if made_ms < known.seen_ms:
            return
        known.report = report
        known.seen_ms = made_ms

    def cache_events(self, events: CacheEvents) -> None:
        """Takes in what an engine says of its prefix cache."""

    def usable(
        self, kind: str, target: str, now_ms: int, without: tuple[str, ...] = ()
    ) -> list[Server]:
        """Returns the servers that may get new work for `target`."""
        found = []
        for server in self.servers.values():
            report = server.report
            if report.kind != kind or target not in report.serves:
                continue
            if report.leaving or report.server in without:
                continue
            if now_ms - server.seen_ms > SILENT_AFTER_MS:
                continue
            found.append(server)
        return found

    def serves(self, kind: str, target: str) -> bool:
        """Returns whether any known server, even a silent one, serves it."""
        return any(
            server.report.kind == kind and target in server.report.serves
            for server in self.servers.values()
        )

    def attempt_started(self, server: str) -> None:
        """Counts a grant, which reports will show only later."""
        if server in self.servers:
            self.servers[server].granted += 1

    def attempt_ended(self, server: str) -> None:
        """Takes back a counted grant."""
        found = self.servers.get(server)
        if found is not None and found.granted > 0:
            found.granted -= 1

    def forget_silent(self, now_ms: int) -> None:
        """Drops servers that have been silent for long."""
        self.servers = {
            name: server
            for name, server in self.servers.items()
            if now_ms - server.seen_ms < _FORGET_AFTER_MS
        }
