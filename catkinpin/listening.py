"""Listening sockets opened before the rest of a process is loaded.

While a port is closed, callers are refused at once and use up their retries
in less time than a process takes to load. While it is open, their connections
wait in the accept queue and are served first.
"""

from __future__ import annotations

import socket

# Connections that may wait to be accepted. After a restart of everything all
# processes and servers connect at once; the system drops what the queue can't
# hold, and the first packet is sent again only seconds later.
BACKLOG = 1_024

_opened: dict[str, socket.socket] = {}


def open_early(address: str) -> None:
    """Opens the port of a server that starts later.

    Args:
        address: IP and port.

    Raises:
        OSError: the port can't be opened.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    _opened[address] = socket.create_server(
        (host, int(port)), family=family, backlog=BACKLOG
    )


def claim_socket(address: str) -> socket.socket | None:
    """Returns the socket opened for an address, None if there is none."""
    return _opened.pop(address, None)
