"""Digests of requests, and reports of servers that crashed on them."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from catkinpin.adapters.tasks import Tasks

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.gateway.turns import Turns
    from catkinpin.adapters.gateway.work import Work
    from catkinpin.adapters.http.server import Request
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.requests.calls import RouteCall

_DIGEST_BYTES = 16


def digest_of(request: Request, call: RouteCall) -> str:
    """Returns a digest that is equal when the request is sent again.

    The digest leaves out the request's id, which is new each time. That of a
    request without a body includes its program: many programs request the
    same path, and those that don't crash servers must not be quarantined.
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
        is_alive: returns whether the chosen server can still be reached.
    """

    def __init__(
        self,
        turns: Turns,
        is_alive: Callable[[Work, Choice], Awaitable[bool]],
    ) -> None:
        self._turns = turns
        self._is_alive = is_alive
        self._tasks = Tasks()

    def suspect(self, work: Work, choice: Choice) -> None:
        """Reports a server that broke off, if it can't be reached any more."""
        self._tasks.spawn(self._report_if_down(work, choice))

    async def _report_if_down(self, work: Work, choice: Choice) -> None:
        if await self._is_alive(work, choice):
            return
        instance = choice.instance
        incarnation = f"{instance.id}/{instance.started_ms}"
        content = digest_of(work.request, work.call)
        await self._turns.report_crash(content, incarnation)
