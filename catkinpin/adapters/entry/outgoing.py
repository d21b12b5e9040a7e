"""Requests as they go to backend servers, and how long each may take."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A request as it goes to a backend server.

    Attributes:
        kind: `model` or `service`.
        deadline_ms: milliseconds left of the caller's deadline.
    """

    kind: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_ms: int
    traceparent: str


@dataclasses.dataclass(frozen=True)
class Timeouts:
    """How long to wait for a backend server, in milliseconds.

    Attributes:
        connect_ms: for a connection.
        progress_low_ms: shortest silence of a stream that is looked into.
        progress_high_ms: longest silence that is not looked into.
        first_token_ms: for an engine's first event.
    """

    connect_ms: int
    progress_low_ms: int
    progress_high_ms: int
    first_token_ms: int
