"""Serves one request: finds its route, has it served, answers in time."""

from __future__ import annotations

import asyncio
import dataclasses
import random
from typing import TYPE_CHECKING

from catkinpin.adapters.gateway.answers import Answers
from catkinpin.adapters.gateway.crashes import digest_of
from catkinpin.adapters.gateway.exchange import Exchange
from catkinpin.adapters.gateway.plain import Plain
from catkinpin.adapters.gateway.streaming import Streaming
from catkinpin.adapters.gateway.usage import wait_for_room
from catkinpin.adapters.gateway.work import Work
from catkinpin.core.control import routes
from catkinpin.core.control.routes import RouteKind

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.context import Parts
    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.core.control.accounts import ClientAccount
    from catkinpin.core.control.routes import Route, Service
    from catkinpin.core.requests.calls import RouteCall

_MS = 1_000
# When to come back, in s: to another gateway at once, to one that has just
# started once it knows the routes, with quarantined content hardly ever.
_RETRY_ELSEWHERE_S = 0.02
_RETRY_STARTING_S = 0.5
_RETRY_QUARANTINE_S = 10.0
_RETRY_BEHIND_S = 0.1
# While a gateway ends, a request must have so many times what it likely takes,
# and at least so long: callers whose requests would end in time are served.
_STOPPING_FACTOR = 6.0
_ENDING_S = 2.5
# Of its time, what a request may wait for a gateway that has just started;
# the rest must do for the request itself, at this gateway or another.
_STARTING_SHARE = 0.4
# Time of a request that names none.
_WAIT_MS = 1_000


class _Unknown:
    """Sentinel: no account holds the request's key."""


class Serving:
    """Serves requests through one gateway.

    Attributes:
        ends_s: the loop's time by which all must have ended, None while this
            gateway goes on.
    """

    def __init__(self, parts: Parts) -> None:
        self._view = parts.view
        self._codec = parts.codec
        self._speeds = parts.speeds
        self._answers = Answers(parts.view, parts.codec, parts.clock)
        exchange = Exchange(parts)
        self._usage = parts.usage
        self._plain = Plain(exchange, self._answers)
        self._streaming = Streaming(parts, exchange, self._answers, self._plain)
        self._rng = random.Random()
        self.ends_s: float | None = None

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answers one request."""
        call = self._codec.call(request.headers)
        serving = asyncio.ensure_future(self._serve(request, responder, call))
        leaving = asyncio.ensure_future(request.disconnected.wait())
        await asyncio.wait(
            {serving, leaving}, return_when=asyncio.FIRST_COMPLETED
        )
        leaving.cancel()
        if not serving.done():
            # The server would work on for nobody.
            serving.cancel()
        try:
            await serving
        except asyncio.CancelledError:
            self._answers.left(call)

    async def _serve(
        self, request: Request, responder: Responder, call: RouteCall
    ) -> None:
        refuse = self._answers.refuse
        wait_s = (call.deadline_ms or _WAIT_MS) / _MS * _STARTING_SHARE
        if not await self._view.wait_serves(wait_s) or not self._view.table:
            reason = "no routes known yet"
            refuse(responder, call, 503, reason, _RETRY_STARTING_S)
            return
        if not call.attempt:
            refuse(responder, call, 400, "the request names no id")
            return
        host = request.headers.get(b"host").partition(":")[0]
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = self._view.table.find(host, path)
        if route is None:
            refuse(responder, call, 404, "no such route")
            return
        account = self._account(call, route)
        if isinstance(account, _Unknown):
            self._refuse_unknown(responder, call)
            return
        if account is not None:
            call = dataclasses.replace(call, account=account.name)
        if self._is_quarantined(request, call):
            reason = "it crashed servers before"
            refuse(responder, call, 503, reason, _RETRY_QUARANTINE_S)
            return
        name = routes.pick_service(route, self._rng)
        service = self._view.table.services[name]
        if self._ends_before(call, route, service):
            # Another gateway has the time that this one no longer has; cut
            # off at the end, the request would have run for nothing.
            refuse(responder, call, 503, "stopping", _RETRY_ELSEWHERE_S)
            return
        deadline_s = request.arrived_s + _wait_s(call, route)
        work = Work(
            call, route, service, request, responder, deadline_s, request.body
        )
        if account is None or await self._admits(work, account):
            await self._run(work)

    def _account(
        self, call: RouteCall, route: Route
    ) -> ClientAccount | _Unknown | None:
        """Returns whose request it is, None where that doesn't matter."""
        accounts = self._view.table.accounts if self._view.table else None
        if accounts is None:
            return None
        found = accounts.find(call.key_digest)
        if found is None and not route.is_open:
            return _Unknown()
        return found

    def _refuse_unknown(self, responder: Responder, call: RouteCall) -> None:
        """Refuses a key that no account holds, or that may just be added."""
        refuse = self._answers.refuse
        if self._view.is_behind:
            reason = "the key isn't known, and newer accounts are on their way"
            refuse(responder, call, 503, reason, _RETRY_BEHIND_S)
            return
        refuse(responder, call, 401, "no account holds the key")

    async def _admits(self, work: Work, account: ClientAccount) -> bool:
        """Counts a plain request against its quota, or refuses it."""
        if work.is_turn:
            return True
        in_program = bool(work.call.program)
        until_s = work.quota_until_s
        while retry_ms := self._usage.retry_ms(account, in_program=in_program):
            if not await wait_for_room(retry_ms, until_s):
                self._answers.over_quota(work.responder, work.call, retry_ms)
                return False
        self._usage.note(account, in_program=in_program)
        return True

    def _ends_before(
        self, call: RouteCall, route: Route, service: Service
    ) -> bool:
        """Returns whether this gateway may end before the request does."""
        if self.ends_s is None:
            return False
        likely_ms = self._speeds.expected_ms(service.name, route.name, call)
        need_s = max(_ENDING_S, _STOPPING_FACTOR * likely_ms / _MS)
        return asyncio.get_running_loop().time() + need_s > self.ends_s

    def _is_quarantined(self, request: Request, call: RouteCall) -> bool:
        quarantined = self._view.quarantined
        return bool(quarantined) and digest_of(request, call) in quarantined

    async def _run(self, work: Work) -> None:
        plain = work.route.kind is not RouteKind.STREAM
        serve = self._plain.serve if plain else self._streaming.serve
        try:
            async with asyncio.timeout_at(work.deadline_s):
                await serve(work)
        except TimeoutError:
            work.reason = work.reason or "the deadline has passed"
            self._answers.give_up(work)
        self._answers.note(work)


def _wait_s(call: RouteCall, route: Route) -> float:
    """Returns how long a caller waits, and the operator lets it."""
    return min(call.deadline_ms or route.timeout_ms, route.timeout_ms) / _MS
