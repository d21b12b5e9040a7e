"""Choice of a server for a call: plain functions over a view."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.scheduler import Job
    from catkinpin.core.servers import Server

Policy = Callable[["Job", list["Server"], int], "Server | None"]


def least_outstanding(
    job: Job, servers: list[Server], now_ms: int
) -> Server | None:
    """Chooses the server with the fewest granted calls for its capacity."""
    if not servers:
        return None
    return min(
        servers,
        key=lambda server: (
            server.granted / max(1, server.report.capacity),
            server.report.server,
        ),
    )


def sticky(job: Job, servers: list[Server], now_ms: int) -> Server | None:
    """Chooses the program's last server; without one, the least loaded."""
    for server in servers:
        if server.report.server == job.last_server:
            return server
    return least_outstanding(job, servers, now_ms)


def round_robin() -> Policy:
    """Returns a policy that takes the servers in turn."""
    turns: dict[str, int] = {}

    def choose(job: Job, servers: list[Server], now_ms: int) -> Server | None:
        if not servers:
            return None
        turn = turns.get(job.target, 0)
        turns[job.target] = turn + 1
        names = sorted(servers, key=lambda server: server.report.server)
        return names[turn % len(names)]

    return choose
