"""Work that nobody waits for, kept until it ends."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine

log = logging.getLogger(__name__)


class BackgroundTasks:
    """Tasks in the background; one that fails says so in the log.

    The loop holds tasks only weakly: one that nobody keeps may vanish in the
    middle of its work, and an exception that nobody takes is never seen.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def spawn(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Begins some work."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def cancel(self) -> None:
        """Cancels all that is under way."""
        for task in list(self._tasks):
            task.cancel()

    def _ended(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            log.error("a task failed", exc_info=task.exception())
