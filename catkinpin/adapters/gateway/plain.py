"""Forwards plain requests, which get one complete answer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin.adapters.http.client import Failure
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.answers import AnswerWriter
    from catkinpin.adapters.gateway.exchange import Exchange
    from catkinpin.adapters.gateway.work import OpenCall
    from catkinpin.adapters.http.client import ResponseHead, ServerConnection
    from catkinpin.core.placement.balance import Choice

# Share of the remaining time for an attempt after which another may follow.
_RETRYABLE_ATTEMPT_SHARE = 0.4
# An answer up to this size is buffered until it is complete, so that another
# server can still be tried. Answers have some 800 bytes.
_MAX_BUFFERED_BYTES = 262_144


class PlainForwarder:
    """Forwards plain requests to servers.

    Args:
        exchange: sends requests to servers.
        answers: answers the callers.
    """

    def __init__(self, exchange: Exchange, answers: AnswerWriter) -> None:
        self._exchange = exchange
        self._answers = answers

    async def serve(self, state: OpenCall) -> None:
        """Serves one request, trying as many servers as its route allows."""
        is_repeatable = state.is_repeatable
        while True:
            choice = self._exchange.pick_server(state)
            if choice is None:
                break
            is_last = (
                not is_repeatable
                or state.run_count + 1 >= state.route.max_attempts
            )
            limit_s = state.remaining_s * (
                1.0 if is_last else _RETRYABLE_ATTEMPT_SHARE
            )
            try:
                async with asyncio.timeout(limit_s):
                    is_answered = await self._try_server(
                        state, choice, is_repeatable, is_last
                    )
            except TimeoutError:
                if is_last:
                    raise
                is_answered = False
                self._exchange.record_failure(
                    state, choice, "no answer within its share of the time"
                )
            if is_answered:
                return
            if state.verdict is not Verdict.NOT_RUN and (
                not is_repeatable or state.run_count >= state.route.max_attempts
            ):
                break
        self._answers.answer_failure(state)

    async def _try_server(
        self,
        state: OpenCall,
        choice: Choice,
        is_repeatable: bool,
        is_last: bool,
    ) -> bool:
        """Tries one server; returns whether the caller was answered."""
        sent = await self._exchange.send(state, choice, state.body)
        if isinstance(sent, Failure):
            return False
        conn, head = sent
        try:
            if self._exchange.is_refusal(head):
                state.reason = f"refused by {choice.instance.id}"
                await self._exchange.discard_rest(conn)
                return False
            state.verdict = Verdict.RAN
            if is_repeatable and not is_last and head.status >= 500:
                state.reason = f"status {head.status}"
                self._exchange.record_failure(state, choice, state.reason)
                return False
            return await self.forward_answer(state, choice, conn, head)
        finally:
            self._exchange.close(choice, conn)

    async def forward_answer(
        self,
        state: OpenCall,
        choice: Choice,
        conn: ServerConnection,
        head: ResponseHead,
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
            if size > _MAX_BUFFERED_BYTES:
                if not started:
                    started = self._answers.start(state, head, head.length)
                    if not started:
                        return False
                state.responder.write(b"".join(buffered))
                buffered.clear()
                await state.responder.drain()
        if not started and not self._answers.start(state, head, size):
            return False
        state.responder.write(b"".join(buffered))
        state.responder.finish()
        self._exchange.record_answer(state, choice, head.status)
        return True
