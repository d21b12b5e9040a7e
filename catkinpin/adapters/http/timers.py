"""A timer of the event loop that can be started again."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable


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

    def cancel(self) -> None:
        """Cancels the timer if it is running."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None
