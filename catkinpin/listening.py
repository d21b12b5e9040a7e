"""Opens listening sockets before the rest of a process is loaded.

While a port is closed, callers are refused immediately and use up their
retries in less time than a process takes to load. While it is open, their
connections wait in the accept queue and are served first.
"""

from __future__ import annotations

import socket

# Maximum length of the accept queue. After a restart of the whole system, all
# processes and servers connect at once; the kernel drops connections beyond
# the queue, and their first packet is resent only seconds later.
BACKLOG = 1_024

_sockets: dict[str, socket.socket] = {}


def open_early(address: str) -> None:
    """Opens the listening socket of a server that starts later.

    If that is not possible yet, the server opens it.

    Args:
        address: IP and port.
    """
    try:
        _sockets[address] = open_socket(address)
    except OSError:
        return


def open_socket(address: str) -> socket.socket:
    """Returns a listening socket.

    Args:
        address: IP and port.

    Raises:
        OSError: the port can't be opened.
    """
    host, _, port = address.rpartition(":")
    host = host.strip("[]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server(
        (host, int(port)), family=family, backlog=BACKLOG
    )


def keep_socket(address: str, sock: socket.socket) -> None:
    """Keeps a listening socket for a server that starts later."""
    _sockets[address] = sock


def claim_socket(address: str) -> socket.socket | None:
    """Removes and returns the socket opened for an address, if any."""
    return _sockets.pop(address, None)
