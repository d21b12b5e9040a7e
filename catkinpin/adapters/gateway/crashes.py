"""Requests that crash servers: their digest, and crash reports."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from catkinpin.adapters.tasks import BackgroundTasks

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.gateway.turns import Turns
    from catkinpin.adapters.gateway.work import Work
    from catkinpin.adapters.http.server import Request
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.requests.calls import RouteCall

_DIGEST_BYTES = 16


def digest_of(request: Request, call: RouteCall) -> str:
    """Returns what a request is known by when it comes again.

    Its id is another one then. A request without a body is told apart by its
    program as well: many share its path, and are not at fault.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    parts = [request.method, request.target, call.affinity.encode()]
    parts.append(request.body or call.program.encode())
    for part in parts:
        digest.update(len(part).to_bytes(4, "big") + part)
    return digest.hexdigest()


class Crashes:
    """Reports servers that crashed while they ran a request.

    Args:
        turns: sends the reports.
        is_alive: asks whether the server of a choice can still be reached.
    """

    def __init__(
        self,
        turns: Turns,
        is_alive: Callable[[Work, Choice], Awaitable[bool]],
    ) -> None:
        self._turns = turns
        self._is_alive = is_alive
        self._tasks = BackgroundTasks()

    def suspect(self, work: Work, choice: Choice) -> None:
        """Looks whether a server that broke off has ended; reports it then."""
        self._tasks.spawn(self._report(work, choice))

    async def _report(self, work: Work, choice: Choice) -> None:
        if await self._is_alive(work, choice):
            return
        instance = choice.instance
        incarnation = f"{instance.id}/{instance.started_ms}"
        content = digest_of(work.request, work.call)
        await self._turns.report_crash(content, incarnation)
