"""Choice of a server for a call: plain functions over a view."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable
from typing import TYPE_CHECKING

from catkinpin.core.servers import Server

if TYPE_CHECKING:
    from catkinpin.core.shard import Program


@dataclasses.dataclass(frozen=True)
class Request:
    """What placement knows about a call.

    Attributes:
        prompt_tokens: upper bound of the prompt, in tokens.
        region: region of the caller's entry.
    """

    program: Program | None
    kind: str
    target: str
    prompt_tokens: int
    region: str


Policy = Callable[[Request, list[Server], int], Server | None]


def least_outstanding(
    req: Request, servers: list[Server], now_ms: int
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


def sticky(req: Request, servers: list[Server], now_ms: int) -> Server | None:
    """Chooses the program's last server; without one, the least loaded."""
    if req.program is not None:
        for server in servers:
            if server.report.server == req.program.last_server:
                return server
    return least_outstanding(req, servers, now_ms)
