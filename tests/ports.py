"""Allocates free ports that no other test process uses."""

from __future__ import annotations

import contextlib
import fcntl
import itertools
import os
import pathlib
import socket
import tempfile

# The range is below the system's ephemeral ports: an outgoing connection could
# otherwise take a port after it was allocated and before it is bound.
_FIRST_PORT = 10_000
_PORT_COUNT = 20_000
_next_port = itertools.count(os.getpid() * 101)


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now, and never the same port twice."""
    allocated: list[int] = []
    while len(allocated) < count:
        port = _FIRST_PORT + next(_next_port) % _PORT_COUNT
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            _reserve(port)
            allocated.append(port)
    return allocated


def _reserve(port: int) -> None:
    """Locks a port against other test processes until this one exits.

    Two test processes could otherwise allocate the same free port before one
    of their child processes has bound it.

    Raises:
        OSError: another test process has reserved it.
    """
    folder = pathlib.Path(tempfile.gettempdir()) / "catkinpin-ports"
    folder.mkdir(exist_ok=True)
    fd = os.open(folder / str(port), os.O_RDWR | os.O_CREAT, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(fd)
        raise
