"""TCP keep-alive probes, which tell whether the other end still answers.

The kernel sends the probes, so an idle connection is checked without a request
on it: a host that is down answers none, and one that restarted resets the
connection.
"""

from __future__ import annotations

import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

# The first probe follows after this idle time, the next ones at the interval;
# after this number of unanswered ones the kernel closes the connection.
_IDLE_S = 1
_INTERVAL_S = 1
_UNANSWERED = 2
# Bounds the whole time without an acknowledgement, also of sent data.
_USER_TIMEOUT_MS = 3_000
# State of a connection that neither end has closed, in the first byte of
# Linux's `tcp_info`.
_TCP_ESTABLISHED = 1
# Fields `tcpi_last_data_recv` and `tcpi_last_ack_recv` of that structure,
# in ms. The kernel only ever appends to it.
_TCP_INFO_BYTES = 104
_LAST_RECEIVED = struct.Struct("=2I")
_LAST_RECEIVED_OFFSET = 52


def enable(transport: asyncio.BaseTransport) -> bool:
    """Enables probes on a connection; returns whether the system has them."""
    sock = transport.get_extra_info("socket")
    if sock is None or silent_ms(transport) is None:
        return False
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        for option, value in (
            (socket.TCP_KEEPIDLE, _IDLE_S),
            (socket.TCP_KEEPINTVL, _INTERVAL_S),
            (socket.TCP_KEEPCNT, _UNANSWERED),
            (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
        ):
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
    except (AttributeError, OSError):
        return False
    return True


def silent_ms(transport: asyncio.BaseTransport) -> int | None:
    """Returns the time since the other end sent data or acknowledged any.

    An answered probe counts as an acknowledgement. Returns None if the system
    can't tell or an end has closed the connection; this process may not have
    been notified of that yet.
    """
    sock = transport.get_extra_info("socket")
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO_BYTES
        )
        if info[0] != _TCP_ESTABLISHED:
            return None
        return int(min(_LAST_RECEIVED.unpack_from(info, _LAST_RECEIVED_OFFSET)))
    except (AttributeError, IndexError, OSError, struct.error):
        return None
