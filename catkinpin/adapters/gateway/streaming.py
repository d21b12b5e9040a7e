"""Forwards requests that get an event stream, including turns of programs."""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

from catkinpin.adapters.gateway.forwarded import Forwarded
from catkinpin.adapters.gateway.turnresults import (
    BeginFailed,
    OverCapacity,
    OverQuota,
    Resumability,
    StartedTurn,
    TurnResult,
)
from catkinpin.adapters.gateway.usage import wait_for_quota
from catkinpin.adapters.http.client import Failure
from catkinpin.core.control.turnrecords import Denial
from catkinpin.core.placement import urgency
from catkinpin.core.placement.placer import (
    PlaceTurn,
    ServerSlowdown,
    TurnReport,
)
from catkinpin.core.requests import digests
from catkinpin.core.requests.events import EventReader
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.answers import AnswerWriter
    from catkinpin.adapters.gateway.context import GatewayContext
    from catkinpin.adapters.gateway.exchange import Exchange
    from catkinpin.adapters.gateway.plain import PlainForwarder
    from catkinpin.adapters.gateway.work import OpenCall
    from catkinpin.adapters.http.client import ResponseHead, ServerConnection
    from catkinpin.core.placement.balance import Choice

_MS_PER_S = 1_000
# A resumable stream that is silent for this multiple of the route's target
# latency, but at least for the minimum, is resumed on another server.
_SILENCE_FACTOR = 3
_MIN_SILENCE_S = 1.5
# Timeout for the leader, also as a share of the remaining time. An election
# takes about a second.
_LEADER_TIMEOUT_S = 1.3
_LEADER_TIMEOUT_SHARE = 0.4
# Turns that can't be resumed are refused for good: their callers can only send
# them again from the start.
_RESUME_REFUSALS = {
    Denial.NO_SUCH_EVENT: "no turn that it may resume has the event",
    Denial.SEVERAL_TURNS: "several turns that it may resume have the event",
    Denial.NOT_RESUMABLE: "its turns can't be resumed, or its id is in use",
}
# Retry time for the caller when the leader could not begin a turn.
_LEADER_RETRY_AFTER_S = 0.3


class _AttemptEnd(enum.Enum):
    """How an attempt to stream from one server ended."""

    WHOLE = "whole"
    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"


class StreamForwarder:
    """Forwards event streams.

    Args:
        context: objects that all requests of the gateway share.
        exchange: sends requests to servers.
        answers: answers the callers.
        plain: forwards the error answers of servers, which are no streams.
    """

    def __init__(
        self,
        context: GatewayContext,
        exchange: Exchange,
        answers: AnswerWriter,
        plain: PlainForwarder,
    ) -> None:
        self._view = context.view
        self._domain = context.domain
        self._balancer = context.balancer
        self._speeds = context.speeds
        self._turns = context.turns
        self._exchange = exchange
        self._answers = answers
        self._plain = plain

    async def serve(self, state: OpenCall) -> None:
        """Serves one request; begins and settles it if it is a turn."""
        if state.is_turn:
            await self._serve_turn(state)
        else:
            await self._stream_answer(
                state, b"", Forwarded(state.call.resume_at)
            )

    async def _serve_turn(self, state: OpenCall) -> None:
        began = await self._begin_turn(state)
        if not isinstance(began, StartedTurn):
            self._refuse_turn(state, began)
            return
        state.urgency = urgency.turn_urgency(began.program_status)
        state.program_status = began.program_status
        state.assigned_server = began.assigned_server
        self._record_cached_prompt(state, began.server)
        is_settled = False
        try:
            forwarded = Forwarded(
                state.call.resume_at, _is_kept(state), began.events
            )
            forwarded.add_kept(began.kept)
            is_settled = await self._stream_answer(
                state, began.history, forwarded
            )
        finally:
            if not is_settled:
                self._turns.settle(state.call, self._turn_result(state))

    async def _begin_turn(
        self, state: OpenCall
    ) -> StartedTurn | Denial | OverQuota | OverCapacity | BeginFailed:
        """Begins a turn; waits for its quota if that takes little time."""
        quota_deadline_s = state.quota_deadline_s
        while True:
            wait_s = min(
                _LEADER_TIMEOUT_S, state.remaining_s * _LEADER_TIMEOUT_SHARE
            )
            began = await self._turns.begin(
                state.call,
                state.route,
                wait_s,
                self._placement_request(state),
                _resumability(state),
            )
            if not isinstance(began, OverQuota):
                return began
            if not await wait_for_quota(began.retry_ms, quota_deadline_s):
                return began

    def _placement_request(self, state: OpenCall) -> PlaceTurn | None:
        """Returns the request for a server; None for a plain service."""
        if state.service.engine is None:
            return None
        return PlaceTurn(
            service=state.service.name,
            domain=self._domain,
            prompt=list(state.call.prompt),
            max_tokens=state.call.max_tokens,
            left_ms=max(0, int(state.remaining_s * _MS_PER_S)),
            route=state.route.name,
        )

    def _refuse_turn(
        self,
        state: OpenCall,
        why: BeginFailed | OverQuota | OverCapacity | Denial,
    ) -> None:
        """Refuses a turn that could not be begun."""
        responder, call = state.responder, state.call
        if isinstance(why, BeginFailed):
            state.reason = why.reason
            self._answers.refuse(
                responder, call, 503, why.reason, _LEADER_RETRY_AFTER_S
            )
        elif isinstance(why, OverQuota):
            self._answers.refuse_over_quota(responder, call, why.retry_ms)
        elif isinstance(why, OverCapacity):
            self._answers.refuse_over_capacity(responder, call, why.retry_ms)
        elif why is Denial.NO_SUCH_TURN:
            self._answers.refuse(responder, call, 404, "no such turn")
        elif why in _RESUME_REFUSALS:
            self._answers.refuse(responder, call, 409, _RESUME_REFUSALS[why])
        else:
            self._answers.refuse(responder, call, 402, "the budget is spent")

    def _record_cached_prompt(self, state: OpenCall, server: str) -> None:
        """Records that a server has cached the prompt of an earlier turn.

        That turn may have been sent through another gateway. Without this the
        session would move to another server, which would prefill the whole
        prompt again.
        """
        instance = self._view.fleet.servers.get(server)
        if instance is not None:
            self._balancer.record_prompt(instance, state.call.prompt[:-1])

    async def _stream_answer(
        self, state: OpenCall, history: bytes, forwarded: Forwarded
    ) -> bool:
        """Streams an answer; returns whether its turn is settled already."""
        body = history + state.body
        while True:
            choice = await self._exchange.next_server(state)
            if choice is None:
                break
            attempt_end = await self._stream_from(
                state, choice, body, forwarded
            )
            if attempt_end is _AttemptEnd.WHOLE:
                return await self._finish_stream(state, forwarded)
            if attempt_end is _AttemptEnd.ANSWERED:
                return False
            if attempt_end is _AttemptEnd.REFUSED:
                continue
            if not forwarded.may_go_on or not await self._may_try_another(
                state, choice
            ):
                break
        await self._exchange.wait_until_reported(state)
        self._answers.answer_failure(state)
        return False

    async def _stream_from(
        self,
        state: OpenCall,
        choice: Choice,
        body: bytes,
        forwarded: Forwarded,
    ) -> _AttemptEnd:
        sent = await self._exchange.send(state, choice, body, forwarded.last_id)
        if isinstance(sent, Failure):
            if state.verdict is Verdict.NOT_RUN:
                return _AttemptEnd.REFUSED
            return _AttemptEnd.BROKEN
        conn, head = sent
        try:
            if self._exchange.is_refusal(head):
                state.reason = f"refused by {choice.instance.id}"
                await self._exchange.discard_rest(conn, head)
                return _AttemptEnd.REFUSED
            state.verdict = Verdict.RAN
            return await self._forward_answer(
                state, choice, conn, head, forwarded
            )
        finally:
            self._exchange.close(choice, conn)

    async def _forward_answer(
        self,
        state: OpenCall,
        choice: Choice,
        conn: ServerConnection,
        head: ResponseHead,
        forwarded: Forwarded,
    ) -> _AttemptEnd:
        if head.status >= 300:
            if forwarded.started:
                return _AttemptEnd.BROKEN
            is_answered = await self._plain.forward_answer(
                state, choice, conn, head
            )
            return _AttemptEnd.ANSWERED if is_answered else _AttemptEnd.BROKEN
        if not forwarded.started:
            if not self._answers.start(state, head, None):
                return _AttemptEnd.BROKEN
            forwarded.started = True
        return await self._forward_events(state, choice, conn, forwarded)

    async def _forward_events(
        self,
        state: OpenCall,
        choice: Choice,
        conn: ServerConnection,
        forwarded: Forwarded,
    ) -> _AttemptEnd:
        reader = EventReader()
        event_tokens = (
            state.service.engine.event_tokens if state.service.engine else 0
        )
        while True:
            data = await _next_chunk(state, conn, forwarded)
            if data is None:
                if not reader.is_at_boundary:
                    state.reason = "the stream ended in the middle of an event"
                    return _AttemptEnd.BROKEN
                self._exchange.record_success(state, choice)
                return _AttemptEnd.WHOLE
            if isinstance(data, Failure):
                state.reason = data.reason
                state.verdict = Verdict.MAY_HAVE_RUN
                self._exchange.record_break(state, choice, data)
                return _AttemptEnd.BROKEN
            events, raw = reader.feed(data)
            if reader.is_endless:
                state.reason = "an event without an end"
                state.verdict = Verdict.MAY_HAVE_RUN
                self._exchange.record_failure(state, choice, state.reason)
                return _AttemptEnd.BROKEN
            if not events:
                continue
            if problem := await forwarded.add(events):
                state.reason = problem
                if forwarded.is_endless:
                    self._exchange.record_failure(state, choice, problem)
                state.responder.abort()
                return _AttemptEnd.ANSWERED
            state.tokens += event_tokens * len(events)
            now_s = asyncio.get_running_loop().time()
            state.answer_times.record_events(now_s, event_tokens * len(events))
            state.responder.write(raw)
            await state.responder.drain()

    async def _finish_stream(
        self, state: OpenCall, forwarded: Forwarded
    ) -> bool:
        """Ends a complete stream after storing its turn.

        Returns:
            Whether the turn is settled already.
        """
        if not _is_kept(state):
            state.responder.finish()
            return False
        data = state.body + bytes(forwarded.output)
        why = await self._turns.finish(
            state.call, data, self._turn_result(state)
        )
        if why:
            # Otherwise the caller would continue a turn that may be lost.
            state.reason = why
            state.responder.abort()
            return True
        state.responder.finish()
        return True

    def _turn_result(self, state: OpenCall) -> TurnResult:
        """Returns the outcome of a turn for the leader."""
        speed = self._speeds.engine_speed(state.service.name)
        lost_ms = urgency.lost_ms(
            state.call, state.tokens, state.elapsed_ms, speed
        )
        report = TurnReport(
            failed=state.failed_servers,
            speed=speed,
            slowdowns=_reported_slowdowns(state),
        )
        return TurnResult(state.tokens, state.executed_on, lost_ms, report)

    async def _may_try_another(self, state: OpenCall, choice: Choice) -> bool:
        if not state.route.resumable or state.responder.is_disconnected:
            return False
        if state.run_count < state.route.max_attempts:
            return True
        # One attempt more is allowed if the server has crashed, but not if it
        # only broke off the connection.
        if await self._exchange.is_reachable(state, choice):
            return False
        return state.run_count <= state.route.max_attempts


def _resumability(state: OpenCall) -> Resumability | None:
    """Returns how a turn is resumed; None if its output is not kept."""
    if not (state.route.resumable and state.route.keeps_history):
        return None
    engine = state.service.engine
    return Resumability(
        key=digests.resume_key(state.digests, state.call),
        event_tokens=engine.event_tokens if engine is not None else 0,
    )


def _is_kept(state: OpenCall) -> bool:
    """Returns whether a stream's output becomes a part of its history."""
    return state.route.keeps_history and bool(state.call.program)


def _reported_slowdowns(state: OpenCall) -> list[ServerSlowdown]:
    """Returns the slowdown that the turn's last server reported, if any."""
    load = state.answer_times.load
    if load is None or load.slowdown is None or state.choice is None:
        return []
    now_s = asyncio.get_running_loop().time()
    age_ms = int((now_s - state.answer_times.head_s) * _MS_PER_S)
    server = state.choice.instance.id
    return [
        ServerSlowdown(server=server, slowdown=load.slowdown, age_ms=age_ms)
    ]


async def _next_chunk(
    state: OpenCall, conn: ServerConnection, forwarded: Forwarded
) -> bytes | Failure | None:
    if not (state.may_switch_server and forwarded.may_go_on):
        return await conn.read_chunk()
    timeout_s = max(
        _MIN_SILENCE_S, _SILENCE_FACTOR * state.route.target_ms / _MS_PER_S
    )
    try:
        async with asyncio.timeout(timeout_s):
            return await conn.read_chunk()
    except TimeoutError:
        return Failure(Verdict.MAY_HAVE_RUN, "silent for too long")
