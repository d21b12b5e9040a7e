"""A request as an HTTP server passes it to its handler."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

    from catkinpin.adapters.http.headers import Headers


@dataclasses.dataclass
class Request:
    """A complete request.

    Attributes:
        target: path and query as received.
        version: HTTP version, such as '1.1'.
        arrived_s: the loop's time at which its head was read.
        disconnected: set once the caller has disconnected.
    """

    method: bytes
    target: bytes
    version: str
    headers: Headers
    body: bytes
    arrived_s: float
    disconnected: asyncio.Event
