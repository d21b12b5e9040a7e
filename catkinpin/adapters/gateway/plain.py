"""Forwards plain requests, which get one complete answer.

An idempotent request to a service whose capacity is contended may get a second
attempt while the first one still waits, see `Hedging`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.adapters.gateway.races import Race
from catkinpin.adapters.http.client import Failure
from catkinpin.adapters.http.pool import NO_FREE_CONNECTION
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.answers import AnswerWriter
    from catkinpin.adapters.gateway.context import GatewayContext
    from catkinpin.adapters.gateway.exchange import Exchange
    from catkinpin.adapters.gateway.work import OpenCall
    from catkinpin.adapters.http.client import ResponseHead, ServerConnection
    from catkinpin.core.placement.balance import Choice

_MS_PER_S = 1_000
# Share of the remaining time for an attempt after which another may follow.
_RETRYABLE_ATTEMPT_SHARE = 0.4
_SLOW_REASON = "no answer within its share of the time"
_MIN_SERVER_ERROR_STATUS = 500
# An answer up to this size is buffered until it is complete, so that another
# server can still be tried. Answers have some 800 bytes.
_MAX_BUFFERED_BYTES = 262_144
# An answer that does not state its size is cut off beyond this one: a server
# may send bytes without end.
_MAX_UNSIZED_BYTES = 16 * 1024 * 1024


class PlainForwarder:
    """Forwards plain requests to servers.

    Args:
        context: objects that all requests of the gateway share.
        exchange: sends requests to servers.
        answers: answers the callers.
    """

    def __init__(
        self, context: GatewayContext, exchange: Exchange, answers: AnswerWriter
    ) -> None:
        self._clock = context.clock
        self._contention = context.contention
        self._hedging = context.hedging
        self._exchange = exchange
        self._answers = answers

    async def serve(self, state: OpenCall) -> None:
        """Serves one request, trying as many servers as its route allows."""
        is_contended = self._contention.is_contended(state.service.name)
        if is_contended:
            self._hedging.record_call(self._clock.now_ms())
        is_retry = False
        while True:
            if (
                is_retry
                and is_contended
                and not self._may_retry(state, state.reason)
            ):
                state.reason += "; the retry budget is used up"
                break
            choice = await self._exchange.next_server(state)
            if choice is None:
                break
            if is_retry and is_contended:
                self._hedging.retries.spend(self._clock.now_ms())
            may_hedge = is_contended and (
                state.is_repeatable
                and state.run_count + 2 <= state.route.max_attempts
            )
            if await (
                self._try_hedged(state, choice)
                if may_hedge
                else self._try_in_time(state, choice)
            ):
                return
            if state.verdict is not Verdict.NOT_RUN and (
                not state.is_repeatable
                or state.run_count >= state.route.max_attempts
            ):
                break
            # Another server may have a free connection, and no server has
            # had to refuse or fail the request.
            is_retry = state.reason != NO_FREE_CONNECTION
        await self._exchange.wait_until_reported(state)
        self._answers.answer_failure(state)

    def _may_retry(self, state: OpenCall, reason: str) -> bool:
        """Returns whether the retry budget allows another server."""
        now_ms = self._clock.now_ms()
        if self._hedging.retries.has_room(now_ms):
            return True
        metrics.DENIED_RETRIES.inc()
        decisions.note(
            "retry-denied",
            state.call.attempt,
            service=state.service.name,
            reason=reason,
            **self._hedging.counts(now_ms),
        )
        return False

    async def _try_hedged(self, state: OpenCall, choice: Choice) -> bool:
        """Tries a server, and another one as well if it takes long.

        Returns:
            Whether the caller was answered.
        """
        route = state.route.name
        delay_ms = self._hedging.latencies.quantile_ms(route)
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        race = Race(state)
        race.start(state, self._try_in_time(state, choice, race))
        try:
            # A large answer may still be on its way to the caller.
            if (
                delay_ms is not None
                and not await race.wait_first(delay_ms / _MS_PER_S)
                and race.winner is None
            ):
                self._hedge(state, race, delay_ms)
            return await race.result()
        finally:
            await race.end()
            if race.winner is not None and (
                state.responder.status < _MIN_SERVER_ERROR_STATUS
            ):
                # If the first attempt lost, this is less than its latency,
                # but still more than the quantile.
                self._hedging.latencies.record(
                    route, (loop.time() - sent_s) * _MS_PER_S
                )
            self._note_hedge_result(state, race)

    def _hedge(self, state: OpenCall, race: Race, delay_ms: float) -> None:
        """Starts a second attempt if the budget and the servers allow it."""
        now_ms = self._clock.now_ms()
        facts = {
            "first": state.tried_servers[-1] if state.tried_servers else "",
            "route": state.route.name,
            "waited_ms": round(delay_ms, 1),
            **self._hedging.counts(now_ms),
        }
        if not self._hedging.may_hedge(now_ms):
            metrics.HEDGES.labels("denied").inc()
            decisions.routine("hedge-denied", state.call.attempt, **facts)
            return
        hedge = race.new_hedge()
        choice = self._exchange.pick_server(hedge)
        if choice is None:
            return
        self._hedging.record_hedge(now_ms)
        decisions.note(
            "hedge",
            state.call.attempt,
            second=choice.instance.id,
            load_age_ms=choice.load_age_ms,
            **facts,
        )
        race.start(hedge, self._try_in_time(hedge, choice, race))

    def _note_hedge_result(self, state: OpenCall, race: Race) -> None:
        if race.hedge is None:
            return
        if race.winner is None:
            result = "failed"
        else:
            result = "won" if race.winner is race.hedge else "lost"
        metrics.HEDGES.labels(result).inc()
        decisions.note(
            "hedge-ended",
            state.call.attempt,
            result=result,
            took_ms=state.elapsed_ms,
            reason=race.hedge.reason,
        )

    async def _try_in_time(
        self, state: OpenCall, choice: Choice, race: Race | None = None
    ) -> bool:
        """Tries one server within the time that one attempt may take.

        If the retry budget is used up by then, the attempt goes on: breaking
        it off would fail the call although time is left. It also goes on once
        its answer has started, which no other server can continue.

        Returns:
            Whether the caller was answered.
        """
        is_last = (
            not state.is_repeatable
            or state.run_count + 1 >= state.route.max_attempts
            or (race is not None and race.hedge is state)
        )
        limit_s = state.remaining_s * (
            1.0 if is_last else _RETRYABLE_ATTEMPT_SHARE
        )
        loop = asyncio.get_running_loop()
        ending = None
        try:
            async with asyncio.timeout(limit_s if is_last else None) as limit:
                if not is_last:
                    ending = loop.call_later(
                        limit_s, self._end_attempt, state, limit
                    )
                return await self._try_server(state, choice, is_last, race)
        except TimeoutError:
            if is_last:
                raise
            self._exchange.record_failure(state, choice, _SLOW_REASON)
            return False
        finally:
            if ending is not None:
                ending.cancel()

    def _end_attempt(self, state: OpenCall, limit: asyncio.Timeout) -> None:
        """Ends an attempt that took its share of the time, if it may."""
        if state.responder.started:
            return
        is_contended = self._contention.is_contended(state.service.name)
        if not is_contended or self._may_retry(state, _SLOW_REASON):
            limit.reschedule(asyncio.get_running_loop().time())

    async def _try_server(
        self,
        state: OpenCall,
        choice: Choice,
        is_last: bool,
        race: Race | None,
    ) -> bool:
        """Tries one server; returns whether the caller was answered."""
        sent = await self._exchange.send(state, choice, state.body)
        if isinstance(sent, Failure):
            return False
        conn, head = sent
        try:
            if self._exchange.is_refusal(head):
                state.reason = f"refused by {choice.instance.id}"
                await self._exchange.discard_rest(conn, head)
                return False
            state.verdict = Verdict.RAN
            if race is not None:
                is_last = race.is_last_attempt()
            is_error = head.status >= _MIN_SERVER_ERROR_STATUS
            if is_error and state.is_repeatable and not is_last:
                state.reason = f"status {head.status}"
                if self._may_discard_error(state, race):
                    self._exchange.record_failure(state, choice, state.reason)
                    return False
            return await self.forward_answer(state, choice, conn, head, race)
        finally:
            self._exchange.close(choice, conn)

    def _may_discard_error(self, state: OpenCall, race: Race | None) -> bool:
        """Returns whether another attempt may answer in place of an error."""
        if race is not None and not race.is_single_attempt:
            return True
        return not self._contention.is_contended(
            state.service.name
        ) or self._may_retry(state, state.reason)

    async def forward_answer(
        self,
        state: OpenCall,
        choice: Choice,
        conn: ServerConnection,
        head: ResponseHead,
        race: Race | None = None,
    ) -> bool:
        """Forwards an answer; returns whether the caller was answered."""
        buffered: list[bytes] = []
        size = 0
        started = False
        while (data := await conn.read_chunk()) is not None:
            if isinstance(data, Failure):
                state.verdict = Verdict.MAY_HAVE_RUN
                state.reason = data.reason
                self._exchange.record_break(state, choice, data)
                if started:
                    state.responder.abort()
                return started
            buffered.append(data)
            size += len(data)
            if head.length is None and size > _MAX_UNSIZED_BYTES:
                state.verdict = Verdict.MAY_HAVE_RUN
                state.reason = "an answer without an end"
                self._exchange.record_failure(state, choice, state.reason)
                state.responder.abort()
                return True
            if size > _MAX_BUFFERED_BYTES:
                if not started:
                    started = self._start(state, head, head.length, race)
                    if not started:
                        return False
                state.responder.write(b"".join(buffered))
                buffered.clear()
                await state.responder.drain()
        if not started and not self._start(state, head, size, race):
            return False
        state.responder.write(b"".join(buffered))
        state.responder.finish()
        self._exchange.record_answer(state, choice, head.status)
        return True

    def _start(
        self,
        state: OpenCall,
        head: ResponseHead,
        length: int | None,
        race: Race | None,
    ) -> bool:
        """Starts the answer, unless another attempt answers the caller."""
        if race is not None and not race.may_answer(state):
            return False
        if not self._answers.start(state, head, length):
            return False
        if race is not None:
            race.claim(state)
        return True
