"""Digests of requests, and reports of servers that crashed on them."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.adapters.tasks import BackgroundTasks

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.gateway.turns import TurnClient
    from catkinpin.adapters.gateway.work import OpenCall
    from catkinpin.adapters.http.server import Request
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.requests.calls import RouteCall

_DIGEST_BYTES = 16
# Tells targets and bodies apart in the log, which must not contain them.
_LOG_DIGEST_BYTES = 4


def content_digest(request: Request, call: RouteCall) -> str:
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


class CrashReporter:
    """Reports servers that crashed while they ran a request.

    Args:
        turns: sends the reports.
        is_alive: returns whether the chosen server can still be reached.
    """

    def __init__(
        self,
        turns: TurnClient,
        is_reachable: Callable[[OpenCall, Choice], Awaitable[bool]],
    ) -> None:
        self._turns = turns
        self._is_reachable = is_reachable
        self._tasks = BackgroundTasks()

    def check_server(self, state: OpenCall, choice: Choice) -> None:
        """Reports a server that broke off, if it can't be reached any more."""
        self._tasks.spawn(self._report_if_down(state, choice))

    async def _report_if_down(self, state: OpenCall, choice: Choice) -> None:
        is_reachable = await self._is_reachable(state, choice)
        instance = choice.instance
        incarnation = f"{instance.id}/{instance.started_ms}"
        content = content_digest(state.request, state.call)
        result = "reachable" if is_reachable else "crashed"
        metrics.SERVER_BREAKS.labels(result).inc()
        decisions.note(
            "server-break",
            state.call.attempt,
            server=incarnation,
            result=result,
            content=content,
            target=_short_digest(state.request.target),
            body=_short_digest(state.request.body),
            affinity=_short_digest(state.call.affinity.encode()),
            program=state.call.program,
            account=state.call.account,
            route=state.route.name,
        )
        if not is_reachable:
            await self._turns.report_crash(content, incarnation)


def _short_digest(data: bytes) -> str:
    """Returns a digest for the log; empty for no data."""
    if not data:
        return ""
    return hashlib.blake2b(data, digest_size=_LOG_DIGEST_BYTES).hexdigest()
