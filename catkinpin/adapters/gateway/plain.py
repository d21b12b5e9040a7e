"""Requests whose answer comes as a whole."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin.adapters.http.client import Failure
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.answers import Answers
    from catkinpin.adapters.gateway.exchange import Exchange
    from catkinpin.adapters.gateway.work import Work
    from catkinpin.adapters.http.client import ResponseHead, ServerConnection
    from catkinpin.core.placement.balance import Choice

# The part of an idempotent request's time that its first server gets.
_FIRST_ATTEMPT_SHARE = 0.4
# Bytes of a plain answer held back until it is whole, so that another server
# can still be asked. Answers are some 800 bytes.
_HELD_BYTES = 262_144


class Plain:
    """Serves plain requests.

    Args:
        exchange: with the servers.
        answers: to the callers.
    """

    def __init__(self, exchange: Exchange, answers: Answers) -> None:
        self._exchange = exchange
        self._answers = answers

    async def serve(self, work: Work) -> None:
        """Serves one, at as many servers as it may run on."""
        idempotent = work.is_repeatable
        while True:
            choice = self._exchange.pick(work)
            if choice is None:
                break
            last = not idempotent or work.runs + 1 >= work.route.max_attempts
            limit_s = work.left_s * (1.0 if last else _FIRST_ATTEMPT_SHARE)
            try:
                async with asyncio.timeout(limit_s):
                    done = await self._try(work, choice, idempotent, last)
            except TimeoutError:
                if last:
                    raise
                done = False
                self._exchange.failed(
                    work, choice, "no answer in its part of time"
                )
            if done:
                return
            if work.verdict is not Verdict.NOT_RUN and (
                not idempotent or work.runs >= work.route.max_attempts
            ):
                break
        self._answers.give_up(work)

    async def _try(
        self, work: Work, choice: Choice, idempotent: bool, last: bool
    ) -> bool:
        """Sends to one server; returns whether the caller was answered."""
        sent = await self._exchange.send(work, choice, work.body)
        if isinstance(sent, Failure):
            return False
        conn, head = sent
        try:
            if self._exchange.not_run(head):
                work.reason = f"refused by {choice.instance.id}"
                await self._exchange.drain(conn)
                return False
            work.verdict = Verdict.RAN
            if idempotent and not last and head.status >= 500:
                work.reason = f"status {head.status}"
                self._exchange.failed(work, choice, work.reason)
                return False
            return await self.pass_on(work, choice, conn, head)
        finally:
            self._exchange.end(choice, conn)

    async def pass_on(
        self,
        work: Work,
        choice: Choice,
        conn: ServerConnection,
        head: ResponseHead,
    ) -> bool:
        """Passes an answer on; returns whether the caller was answered."""
        held: list[bytes] = []
        size = 0
        started = False
        while (data := await conn.read_chunk()) is not None:
            if isinstance(data, Failure):
                work.verdict = Verdict.MAY_HAVE_RUN
                work.reason = data.reason
                self._exchange.broke(work, choice, data)
                if started:
                    work.responder.abort()
                return started
            held.append(data)
            size += len(data)
            if size > _HELD_BYTES:
                if not started:
                    started = self._answers.start(work, head, head.length)
                    if not started:
                        return False
                work.responder.write(b"".join(held))
                held.clear()
                await work.responder.drain()
        if not started and not self._answers.start(work, head, size):
            return False
        work.responder.write(b"".join(held))
        work.responder.finish()
        self._exchange.answered(work, choice, head.status)
        return True
