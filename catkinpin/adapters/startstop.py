"""Starts that wait for the disk, and that a stop signal can end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypeVar

from catkinpin import waiting
from catkinpin.adapters.disk import files
from catkinpin.exceptions import StorageError

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

_T = TypeVar("_T")

# A start that waits for nothing is over sooner, so it can be followed by a
# graceful stop.
_FINISH_S = 0.5
# Each attempt reads the stored data, which may take long.
_DISK_INTERVAL_S = 0.3


async def create_when_possible(resource: str, create: Callable[[], _T]) -> _T:
    """Creates a process; waits while its data folder can't be used.

    Raises:
        StorageError: the stored data can't be used.
    """
    try:
        return await waiting.retry(
            resource, create, files.is_temporary, _DISK_INTERVAL_S
        )
    except OSError as exc:
        raise StorageError(f"{resource}: {exc}") from exc


async def start_unless_stopped(
    start: Coroutine[Any, Any, None], stop: asyncio.Event
) -> bool:
    """Runs a start; cancels it if a stop signal arrives while it waits.

    Returns:
        Whether the start was completed.
    """
    start_task = asyncio.ensure_future(start)
    stop_task = asyncio.ensure_future(stop.wait())
    await asyncio.wait(
        {start_task, stop_task}, return_when=asyncio.FIRST_COMPLETED
    )
    stop_task.cancel()
    if not start_task.done():
        await asyncio.wait({start_task}, timeout=_FINISH_S)
    if not start_task.done():
        start_task.cancel()
        return False
    await start_task
    return True
