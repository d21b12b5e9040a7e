"""Logs what other processes sent or stored and this release can't use."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from catkinpin.core.control import routes, servers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.control.routes import Routing
    from catkinpin.core.control.servers import Instance

log = logging.getLogger(__name__)

_MAX_ID_LENGTH = 64
_MAX_TEXT = 300


def log_servers(instances: Iterable[Instance]) -> None:
    """Logs the servers that can't be used, each in one short line."""
    for instance in instances:
        if why := servers.fault(instance):
            name = ascii(instance.id[:_MAX_ID_LENGTH])
            log.warning("server %s is not used: %s", name, why)


def log_routing(routing: Routing) -> None:
    """Logs in one short line which parts of a document can't be used."""
    if found := routes.problems(routing):
        log.warning(
            "version %d of the routes is used without its errors: %s",
            routing.version,
            ascii("; ".join(found)[:_MAX_TEXT]),
        )
