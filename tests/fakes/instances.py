"""Announcements of backend servers, for tests."""

from __future__ import annotations

from typing import Any

import msgspec

from catkinpin.core.control.servers import Instance, ServerState


def instance(name: str = "s1", **changes: Any) -> Instance:
    """Returns a ready server, with some of its fields changed."""
    default = Instance(
        id=name,
        service="models",
        address=f"{name}:80",
        domain="a",
        state=ServerState.READY,
        started_ms=1,
        sequence=1,
        slots=12,
    )
    return msgspec.structs.replace(default, **changes)
