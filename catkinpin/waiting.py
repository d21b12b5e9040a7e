"""Waits for resources of the host, such as ports and disks.

A port may still be in use by a predecessor, and a disk may be full for a
while. A process that ended would have to be started again and again.
"""

from __future__ import annotations

import asyncio
import logging
import time
from typing import TYPE_CHECKING, TypeVar

from catkinpin import decisions, listening, startup

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

log = logging.getLogger(__name__)

_MS_PER_S = 1_000
_ANY_PORT = ":0"

_T = TypeVar("_T")


class _WaitLog:
    """Writes a line when a wait begins, every few seconds, and at its end."""

    def __init__(self, resource: str) -> None:
        self._resource = resource
        self._began_s = self._next_line_s = time.monotonic()
        self._is_waiting = False

    def failed(self, exc: Exception) -> None:
        """Records a failed attempt."""
        self._is_waiting = True
        now_s = time.monotonic()
        if now_s >= self._next_line_s:
            self._next_line_s = now_s + startup.WAIT_LINE_INTERVAL_S
            self._write("waiting", str(exc))

    def succeeded(self) -> None:
        """Records the end of the wait, if there was any."""
        if self._is_waiting:
            self._write("waited", "")

    def _write(self, decision: str, reason: str) -> None:
        waited_ms = int((time.monotonic() - self._began_s) * _MS_PER_S)
        reason = reason.encode(errors="backslashreplace").decode()
        if decisions.is_enabled():
            decisions.note(
                decision,
                "",
                resource=self._resource,
                reason=reason,
                waited_ms=waited_ms,
            )
        else:
            log.warning(
                "%s for %s",
                decision,
                self._resource,
                extra={"reason": reason, "waited_ms": waited_ms},
            )


async def retry(
    resource: str,
    work: Callable[[], _T],
    can_wait: Callable[[Exception], bool],
    interval_s: float = startup.RETRY_INTERVAL_S,
) -> _T:
    """Repeats work until it succeeds, and returns its result.

    Args:
        resource: what is waited for, in the log.
        work: the work.
        can_wait: whether another attempt may succeed after an exception.
        interval_s: time between two attempts.

    Raises:
        Exception: the work failed for good.
    """
    wait_log = _WaitLog(resource)
    while True:
        try:
            result = work()
        except Exception as exc:
            if not can_wait(exc):
                raise
            wait_log.failed(exc)
        else:
            wait_log.succeeded()
            return result
        await asyncio.sleep(interval_s)


async def open_port(address: str) -> socket.socket:
    """Returns a listening socket; waits while it can't be opened.

    The socket is the one that was opened early, if any.

    Args:
        address: IP and port.
    """
    sock = listening.claim_socket(address)
    if sock is not None:
        return sock
    return await retry(
        f"port {address}", lambda: listening.open_socket(address), _is_os_error
    )


async def reserve_port(address: str) -> None:
    """Opens the listening socket of a server that starts later."""
    if not address.endswith(_ANY_PORT):
        listening.keep_socket(address, await open_port(address))


def _is_os_error(exc: Exception) -> bool:
    return isinstance(exc, OSError)
