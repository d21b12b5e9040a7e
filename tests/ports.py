"""Ports that no other test process takes."""

from __future__ import annotations

import contextlib
import fcntl
import itertools
import os
import pathlib
import socket
import tempfile

# Below the range from which the system takes ports for outgoing connections:
# one of those could take a port between its choice and its use.
_FIRST_PORT = 10_000
_PORTS = 20_000
_next_port = itertools.count(os.getpid() * 101)


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now; none is returned twice."""
    found: list[int] = []
    while len(found) < count:
        port = _FIRST_PORT + next(_next_port) % _PORTS
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            _reserve(port)
            found.append(port)
    return found


def _reserve(port: int) -> None:
    """Keeps a port from other test processes until this one ends.

    Two of them could otherwise choose the same free port before either of
    the processes that they start has bound it.

    Raises:
        OSError: another test process has it.
    """
    folder = pathlib.Path(tempfile.gettempdir()) / "catkinpin-ports"
    folder.mkdir(exist_ok=True)
    fd = os.open(folder / str(port), os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(fd)
        raise
