"""Background tasks that nothing awaits, and unexpected exceptions in them."""

from __future__ import annotations

import asyncio
import logging
import pathlib
import traceback
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

log = logging.getLogger(__name__)

# The text of an exception may contain input of any length.
_MAX_TEXT = 200
# Innermost calls that a line about an exception names.
_MAX_FRAMES = 4
# Wait before work that failed is started again.
_RESTART_DELAY_S = 0.2


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
        if task.cancelled():
            return
        exc = task.exception()
        if exc is not None:
            log.error("background task failed: %s", brief(exc))


async def keep_running(work: Callable[[], Awaitable[None]]) -> None:
    """Runs work that lasts as long as its process; restarts it if it fails.

    Otherwise an exception in one round of a loop would end all later rounds,
    and the process would go on without them.
    """
    while True:
        try:
            await work()
        except Exception as exc:
            log.error("%s failed: %s", _name_of(work), brief(exc))
        await asyncio.sleep(_RESTART_DELAY_S)


def log_loop_error(
    loop: asyncio.AbstractEventLoop, context: dict[str, Any]
) -> None:
    """Logs an exception that nothing handles, as one bounded line.

    An event loop calls it for exceptions of its callbacks and for those of
    tasks that nothing awaits.
    """
    exc = context.get("exception")
    text = str(context.get("message"))[:_MAX_TEXT]
    if exc is None:
        loop.default_exception_handler(context)
    else:
        log.error("callback failed: %s: %s", text, brief(exc))


def brief(exc: BaseException) -> str:
    """Returns an exception and where it was raised, as one bounded line."""
    frames = traceback.extract_tb(exc.__traceback__)[-_MAX_FRAMES:]
    places = [
        f"{pathlib.PurePath(frame.filename).name}:{frame.lineno}"
        for frame in frames
    ]
    text = ascii(str(exc))[1:-1]
    if len(text) > _MAX_TEXT:
        text = text[:_MAX_TEXT] + "..."
    return f"{type(exc).__name__}: {text} at {' '.join(places)}"


def _name_of(work: Callable[[], Awaitable[None]]) -> str:
    return getattr(work, "__qualname__", repr(work))
