"""Timers of connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable

# Longest wait for a caller that still sends a request that is refused, and most
# bytes read of it.
_LINGER_S = 1.0
_MAX_LINGER_BYTES = 8 * 1024 * 1024


class Timer:
    """Calls a function after a time, unless it is cancelled or restarted."""

    def __init__(self) -> None:
        self._handle: asyncio.TimerHandle | None = None

    def start(
        self, wait_s: float, callback: Callable[..., None], *args: Any
    ) -> None:
        """Starts the timer, in place of one that is running."""
        self.cancel()
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(wait_s, callback, *args)

    @property
    def is_running(self) -> bool:
        """Whether the timer was started and not cancelled since."""
        return self._handle is not None

    def cancel(self) -> None:
        """Cancels the timer if it is running."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None


class UnreadTimer:
    """Calls a function if what was sent is not read for a time.

    Args:
        timeout_s: returns the time.
        unsent_bytes: returns how many bytes wait until the other end reads.
        on_unread: the function.
    """

    def __init__(
        self,
        timeout_s: Callable[[], float],
        unsent_bytes: Callable[[], int],
        on_unread: Callable[[], None],
    ) -> None:
        self._timeout_s = timeout_s
        self._unsent_bytes = unsent_bytes
        self._on_unread = on_unread
        self._timer = Timer()

    def start(self) -> None:
        """Starts to watch the bytes that are unsent now."""
        self._timer.start(self._timeout_s(), self._check, self._unsent_bytes())

    def cancel(self) -> None:
        """Ends the watch."""
        self._timer.cancel()

    def _check(self, unsent_bytes: int) -> None:
        if self._unsent_bytes() >= unsent_bytes:
            self._on_unread()
        else:
            self.start()


class LingeringClose:
    """Closes a connection a while after its last answer was written.

    If it were closed while its caller still sends, the caller's system would
    drop the answer.

    Args:
        close: closes the connection.
    """

    def __init__(self, close: Callable[[], None]) -> None:
        self._close = close
        self._timer = Timer()
        self._discarded_bytes = 0

    @property
    def is_waiting(self) -> bool:
        """Whether the caller may still send."""
        return self._timer.is_running

    def start(self) -> None:
        """Begins to wait until the caller has stopped to send."""
        self._timer.start(_LINGER_S, self._close)

    def discard(self, size: int) -> None:
        """Counts bytes that the caller sent meanwhile."""
        self._discarded_bytes += size
        if self._discarded_bytes > _MAX_LINGER_BYTES:
            self._close()

    def cancel(self) -> None:
        """Ends the wait, as the connection is closed."""
        self._timer.cancel()
