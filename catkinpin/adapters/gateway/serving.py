"""Handles one request: admits it, finds its route and forwards it."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
from typing import TYPE_CHECKING

from catkinpin.adapters.gateway.answers import AnswerWriter
from catkinpin.adapters.gateway.exchange import Exchange
from catkinpin.adapters.gateway.plain import PlainForwarder
from catkinpin.adapters.gateway.streaming import StreamForwarder
from catkinpin.adapters.gateway.usage import wait_for_quota
from catkinpin.adapters.gateway.work import OpenCall
from catkinpin.adapters.tasks import brief
from catkinpin.core.control import routes
from catkinpin.core.control.routes import RouteKind
from catkinpin.core.requests.calls import RouteCall
from catkinpin.core.requests.digests import digests_of

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.context import GatewayContext
    from catkinpin.adapters.http.headers import Headers
    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.core.control.accounts import ClientAccount
    from catkinpin.core.control.routes import Route

log = logging.getLogger(__name__)

_MS_PER_S = 1_000
# Retry times for refused callers. A stopping gateway: retry at another one at
# once. One that has just started or can't reach a keeper: once it should know
# the routes. Quarantined content:
# hardly ever. Routes that lag: once the newer ones should be here.
_STOPPING_RETRY_AFTER_S = 0.02
_STARTING_RETRY_AFTER_S = 0.5
_QUARANTINE_RETRY_AFTER_S = 10.0
_LAGGING_RETRY_AFTER_S = 0.1
_FAILED_RETRY_AFTER_S = 0.15
_INTERNAL_ERROR = "an internal error"
_MAX_ID_LENGTH = 64
# A stopping gateway accepts a request whose deadline is before the stop. While
# the load balancer may not know that it stops, it also accepts one that is
# expected to take less than the time left, by this factor.
_WAITING_TIME_FACTOR = 2.0
# Share of its time that a request may wait for the routes of a gateway that
# has just started. The rest must suffice for serving it, here or at another
# gateway.
_ROUTES_WAIT_SHARE = 0.4
# Share of its time that a request may wait for the decision whether it is
# quarantined.
_DECISION_WAIT_SHARE = 0.5
# Assumed for that wait if a request has no deadline.
_DEFAULT_DEADLINE_MS = 1_000


class _UnknownKey:
    """Sentinel: no account has the request's API key."""


class RequestHandler:
    """Handles the requests that arrive at one gateway.

    Args:
        context: objects that all requests of the gateway share.

    Attributes:
        stop_deadline_s: loop time by which all requests must have ended; None
            unless the gateway is stopping and the load balancer knows it.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._view = context.view
        self._codec = context.codec
        self._speeds = context.speeds
        self._fresh_routes = context.fresh_routes
        self._answers = AnswerWriter(context.view, context.codec, context.clock)
        exchange = Exchange(context)
        self._usage = context.usage
        self._plain = PlainForwarder(context, exchange, self._answers)
        self._streaming = StreamForwarder(
            context, exchange, self._answers, self._plain
        )
        self._rng = random.Random()
        self.stop_deadline_s: float | None = None
        self._end_s: float | None = None
        self._end_limits: set[asyncio.Timeout] = set()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Serves one request; cancels that if the caller disconnects."""
        try:
            call = self._codec.decode_request(request.headers)
        except Exception as exc:
            log.error("a request's headers failed: %s", brief(exc))
            call = RouteCall(attempt="")
            self._answers.refuse(responder, call, 503, _INTERNAL_ERROR)
            return
        serving = asyncio.ensure_future(
            self._serve_safely(request, responder, call)
        )
        disconnected = asyncio.ensure_future(request.disconnected.wait())
        await asyncio.wait(
            {serving, disconnected}, return_when=asyncio.FIRST_COMPLETED
        )
        disconnected.cancel()
        if not serving.done():
            # Otherwise the server would generate an answer that no one reads.
            serving.cancel()
        try:
            await serving
        except asyncio.CancelledError:
            self._answers.log_caller_left(call)

    async def _serve_safely(
        self, request: Request, responder: Responder, call: RouteCall
    ) -> None:
        """Serves one request; answers it also if that fails unexpectedly.

        `_forward` handles failures of requests that servers may have run.
        """
        try:
            await self._serve(request, responder, call)
        except Exception as exc:
            log.error("request %s failed: %s", _short(call), brief(exc))
            if not responder.started:
                retry_s = _FAILED_RETRY_AFTER_S
                self._answers.refuse(
                    responder, call, 503, _INTERNAL_ERROR, retry_s
                )
            elif not responder.finished:
                responder.abort()

    async def _serve(
        self, request: Request, responder: Responder, call: RouteCall
    ) -> None:
        refuse = self._answers.refuse
        wait_s = (
            (call.deadline_ms or _DEFAULT_DEADLINE_MS)
            / _MS_PER_S
            * _ROUTES_WAIT_SHARE
        )
        if not await self._view.wait_for_routes(wait_s) or not self._view.table:
            reason = "no routes known yet"
            refuse(responder, call, 503, reason, _STARTING_RETRY_AFTER_S)
            return
        if not await self._has_fresh_routes(wait_s):
            reason = "no keeper has confirmed the routes for long"
            refuse(responder, call, 503, reason, _STARTING_RETRY_AFTER_S)
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
        account = self._find_account(call, route)
        if isinstance(account, _UnknownKey):
            self._refuse_unknown_key(responder, call)
            return
        if account is not None:
            call = dataclasses.replace(call, account=account.name)
        name = routes.pick_service(route, self._rng)
        state = OpenCall(
            call,
            route,
            self._view.table.services[name],
            request,
            responder,
            request.arrived_s + _timeout_s(call, route),
            request.body,
            digests=digests_of(
                host, request.method, request.target, request.body, call
            ),
        )
        await self._serve_before_end(state, account)

    async def _has_fresh_routes(self, wait_s: float) -> bool:
        """Returns whether the routes may be relied on, after a short wait."""
        fresh = self._fresh_routes
        if fresh is None or fresh.are_fresh():
            return True
        return await fresh.wait(wait_s)

    def end_by(self, end_s: float) -> None:
        """Has each request answered by a time, as the gateway stops then.

        What has not run by then is refused, and what may have run fails: an
        answer tells its caller more than a connection that breaks.

        Args:
            end_s: the loop's time.
        """
        self._end_s = end_s
        for limit in self._end_limits:
            limit.reschedule(end_s)

    def encode_refusal(self, request: Headers) -> Headers:
        """Returns the fields with which a request that is not read is refused.

        Args:
            request: the fields of the request.
        """
        call = self._codec.decode_request(request)
        return self._codec.encode_refusal(call.attempt, _STOPPING_RETRY_AFTER_S)

    async def _serve_before_end(
        self, state: OpenCall, account: ClientAccount | None
    ) -> None:
        limit = asyncio.timeout_at(self._end_s)
        try:
            async with limit:
                self._end_limits.add(limit)
                await self._serve_on_route(state, account)
        except TimeoutError:
            state.reason = "the gateway stops"
            if not state.responder.finished:
                self._answers.answer_failure(state)
            self._answers.log_outcome(state)
        finally:
            self._end_limits.discard(limit)

    async def _serve_on_route(
        self, state: OpenCall, account: ClientAccount | None
    ) -> None:
        """Serves a request that its route and its account allow."""
        refuse = self._answers.refuse
        responder, call = state.responder, state.call
        suspects = self._view.suspects
        await suspects.wait_for_decision(
            state.digests, state.remaining_s * _DECISION_WAIT_SHARE
        )
        if digest := suspects.quarantined_digest(state.digests):
            reason = f"quarantined as {digest}, which crashed servers"
            refuse(responder, call, 503, reason, _QUARANTINE_RETRY_AFTER_S)
            return
        if self._may_stop_first(state):
            # This gateway is stopping. It might abort the request while a
            # server runs it, and the server's work would be lost. Another
            # gateway has enough time for it.
            refuse(responder, call, 503, "stopping", _STOPPING_RETRY_AFTER_S)
            return
        if account is None or await self._admit(state, account):
            await self._forward(state)

    def _find_account(
        self, call: RouteCall, route: Route
    ) -> ClientAccount | _UnknownKey | None:
        """Returns the account that sent the request.

        Returns:
            The account; `_UnknownKey` for a key without an account; None if
            there are no accounts or the route is open.
        """
        accounts = self._view.table.accounts if self._view.table else None
        if accounts is None:
            return None
        found = accounts.find(call.key_digest)
        if found is None and not route.is_open:
            return _UnknownKey()
        return found

    def _refuse_unknown_key(
        self, responder: Responder, call: RouteCall
    ) -> None:
        """Refuses a key without an account, which may just have been added."""
        refuse = self._answers.refuse
        if self._view.is_lagging:
            reason = "the key isn't known, and newer accounts are on their way"
            refuse(responder, call, 503, reason, _LAGGING_RETRY_AFTER_S)
            return
        refuse(responder, call, 401, "no account holds the key")

    async def _admit(self, state: OpenCall, account: ClientAccount) -> bool:
        """Counts a plain request against its quota, or refuses it.

        Returns:
            Whether the request may be forwarded.
        """
        if state.is_turn:
            return True
        in_program = bool(state.call.program)
        quota_deadline_s = state.quota_deadline_s
        while retry_ms := self._usage.retry_ms(account, in_program=in_program):
            if not await wait_for_quota(retry_ms, quota_deadline_s):
                self._answers.refuse_over_quota(
                    state.responder, state.call, retry_ms
                )
                return False
        self._usage.record(account, in_program=in_program)
        return True

    def _may_stop_first(self, state: OpenCall) -> bool:
        """Returns whether the gateway may stop before the request ends."""
        end_s = self.stop_deadline_s or self._end_s
        if end_s is None:
            return False
        left_s = end_s - asyncio.get_running_loop().time()
        if 0 < state.remaining_s <= left_s:
            return False
        expected_s = (
            self._speeds.expected_ms(
                state.service.name, state.route.name, state.call
            )
            / _MS_PER_S
        )
        # A longer time than expected would cut a request, so only the deadline
        # counts once the load balancer sends no new ones.
        return (
            self.stop_deadline_s is not None
            or _WAITING_TIME_FACTOR * expected_s > left_s
        )

    async def _forward(self, state: OpenCall) -> None:
        is_plain = state.route.kind is not RouteKind.STREAM
        serve = self._plain.serve if is_plain else self._streaming.serve
        try:
            async with asyncio.timeout_at(state.deadline_s):
                await serve(state)
        except TimeoutError:
            state.reason = state.reason or "the deadline has passed"
            self._answers.answer_failure(state)
        except Exception as exc:
            log.error("request %s failed: %s", _short(state.call), brief(exc))
            state.reason = _INTERNAL_ERROR
            if not state.responder.finished:
                self._answers.answer_failure(state)
        self._answers.log_outcome(state)


def _short(call: RouteCall) -> str:
    return ascii(call.attempt[:_MAX_ID_LENGTH])


def _timeout_s(call: RouteCall, route: Route) -> float:
    """Returns the shorter of the caller's deadline and the route's timeout."""
    return (
        min(call.deadline_ms or route.timeout_ms, route.timeout_ms) / _MS_PER_S
    )
