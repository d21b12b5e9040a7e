"""Requests to backend servers, and their timeouts."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class BackendRequest:
    """A request to a backend server.

    Attributes:
        kind: `model` or `service`.
        deadline_ms: milliseconds left until the caller's deadline.
    """

    kind: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_ms: int
    traceparent: str


@dataclasses.dataclass(frozen=True)
class BackendTimeouts:
    """Timeouts for backend servers.

    Attributes:
        connect_ms: connect timeout.
        progress_low_ms: lower bound of the estimated timeout after which a
            silent stream is resumed on a new connection.
        progress_high_ms: its upper bound.
        first_token_ms: timeout for an engine's first event.
    """

    connect_ms: int
    progress_low_ms: int
    progress_high_ms: int
    first_token_ms: int
