"""Background tasks that nothing awaits."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Keeps background tasks until they end, and logs their exceptions.

    The event loop holds only weak references to tasks. Without another
    reference a task may be garbage-collected before it ends, and an exception
    that nothing retrieves stays unnoticed.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, coro: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a coroutine as a task."""
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)
        return task

    def cancel(self) -> None:
        """Cancels all tasks that are still running."""
        for task in list(self._tasks):
            task.cancel()

    def _handle_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("background task failed", exc_info=task.exception())
