"""Requests whose answer comes as events, turns of programs among them."""

from __future__ import annotations

import asyncio
import dataclasses
import enum
from typing import TYPE_CHECKING

from catkinpin.adapters.gateway.turns import (
    OverQuota,
    Started,
    TurnResult,
    Unknown,
)
from catkinpin.adapters.gateway.usage import wait_for_room
from catkinpin.adapters.http.client import Failure
from catkinpin.core.control.ledger import Denial
from catkinpin.core.placement import urgency
from catkinpin.core.placement.placer import PlaceTurn, TurnReport
from catkinpin.core.requests.events import EventReader
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.answers import Answers
    from catkinpin.adapters.gateway.context import Parts
    from catkinpin.adapters.gateway.exchange import Exchange
    from catkinpin.adapters.gateway.plain import Plain
    from catkinpin.adapters.gateway.work import Work
    from catkinpin.adapters.http.client import ResponseHead, ServerConnection
    from catkinpin.core.placement.balance import Choice

_MS = 1_000
# A resumable stream that is silent for so many of the route's target
# latencies, at least so long, goes on at another server.
_SILENT_TARGETS = 3
_MIN_SILENCE_S = 1.5
# Longest wait for a leader: an election takes about a second.
_LEADER_S = 1.3
_LEADER_SHARE = 0.4
# When to come back, in s, after an election.
_RETRY_LEADER_S = 0.3


class _End(enum.Enum):
    """How a try to stream from one server ended."""

    WHOLE = "whole"
    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclasses.dataclass
class _Passed:
    """What the caller has of a stream.

    Attributes:
        last_id: of the last event passed on.
        output: data of all events, each followed by a line feed.
    """

    last_id: str = ""
    started: bool = False
    output: bytearray = dataclasses.field(default_factory=bytearray)


class Streaming:
    """Serves streams.

    Args:
        parts: servers, speeds and turns among them.
        exchange: with the servers.
        answers: to the callers.
        plain: passes a server's failure on, which is no stream.
    """

    def __init__(
        self,
        parts: Parts,
        exchange: Exchange,
        answers: Answers,
        plain: Plain,
    ) -> None:
        self._view = parts.view
        self._domain = parts.domain
        self._balancer = parts.balancer
        self._speeds = parts.speeds
        self._turns = parts.turns
        self._exchange = exchange
        self._answers = answers
        self._plain = plain

    async def serve(self, work: Work) -> None:
        """Serves one; a program's turn is begun before and settled after."""
        if work.is_turn:
            await self._turn(work)
        else:
            await self._stream(work, b"")

    async def _turn(self, work: Work) -> None:
        began = await self._begin(work)
        if not isinstance(began, Started):
            self._deny(work, began)
            return
        work.urgency = urgency.turn_urgency(began.program_status)
        work.program_status = began.program_status
        work.placed = began.placed
        self._remember_cache(work, began.server)
        is_settled = False
        try:
            is_settled = await self._stream(work, began.history)
        finally:
            if not is_settled:
                self._turns.settle(work.call, self._turn_result(work))

    async def _begin(
        self, work: Work
    ) -> Started | Denial | OverQuota | Unknown:
        """Begins a turn, and waits for its quota where that is soon."""
        until_s = work.quota_until_s
        while True:
            wait_s = min(_LEADER_S, work.left_s * _LEADER_SHARE)
            began = await self._turns.begin(
                work.call, work.route, wait_s, self._place_turn(work)
            )
            if not isinstance(began, OverQuota):
                return began
            if not await wait_for_room(began.retry_ms, until_s):
                return began

    def _place_turn(self, work: Work) -> PlaceTurn | None:
        """Returns what the leader needs to name a model server."""
        if work.service.engine is None:
            return None
        return PlaceTurn(
            service=work.service.name,
            domain=self._domain,
            prompt=list(work.call.prompt),
            max_tokens=work.call.max_tokens,
            left_ms=max(0, int(work.left_s * _MS)),
        )

    def _deny(self, work: Work, why: Unknown | OverQuota | Denial) -> None:
        """Refuses a turn that may not begin, or not now."""
        responder, call = work.responder, work.call
        if isinstance(why, Unknown):
            work.reason = why.reason
            self._answers.refuse(
                responder, call, 503, why.reason, _RETRY_LEADER_S
            )
        elif isinstance(why, OverQuota):
            self._answers.over_quota(responder, call, why.retry_ms)
        elif why is Denial.NO_SUCH_TURN:
            self._answers.refuse(responder, call, 404, "no such turn")
        else:
            self._answers.refuse(responder, call, 402, "the budget is spent")

    def _remember_cache(self, work: Work, server: str) -> None:
        """Notes where the prompt lies that an earlier turn has read.

        That turn may have come in at another gateway. Unknown here, the
        session would move to another server, which reads it all anew.
        """
        instance = self._view.fleet.servers.get(server)
        if instance is not None:
            self._balancer.record_prompt(instance, work.call.prompt[:-1])

    async def _stream(self, work: Work, history: bytes) -> bool:
        """Streams an answer; returns whether its turn is settled."""
        body = history + work.body
        passed = _Passed(work.call.resume_at)
        while True:
            choice = self._exchange.pick(work)
            if choice is None:
                break
            end = await self._try(work, choice, body, passed)
            if end is _End.WHOLE:
                return await self._end(work, passed)
            if end is _End.ANSWERED:
                return False
            if end is _End.REFUSED:
                continue
            if not await self._may_resume(work, choice):
                break
        self._answers.give_up(work)
        return False

    async def _try(
        self, work: Work, choice: Choice, body: bytes, passed: _Passed
    ) -> _End:
        sent = await self._exchange.send(work, choice, body, passed.last_id)
        if isinstance(sent, Failure):
            if work.verdict is Verdict.NOT_RUN:
                return _End.REFUSED
            return _End.BROKEN
        conn, head = sent
        try:
            if self._exchange.not_run(head):
                work.reason = f"refused by {choice.instance.id}"
                await self._exchange.drain(conn)
                return _End.REFUSED
            work.verdict = Verdict.RAN
            return await self._pass_on(work, choice, conn, head, passed)
        finally:
            self._exchange.end(choice, conn)

    async def _pass_on(
        self,
        work: Work,
        choice: Choice,
        conn: ServerConnection,
        head: ResponseHead,
        passed: _Passed,
    ) -> _End:
        if head.status >= 300:
            if passed.started:
                return _End.BROKEN
            done = await self._plain.pass_on(work, choice, conn, head)
            return _End.ANSWERED if done else _End.BROKEN
        if not passed.started:
            if not self._answers.start(work, head, None):
                return _End.BROKEN
            passed.started = True
        return await self._pass_events(work, choice, conn, passed)

    async def _pass_events(
        self,
        work: Work,
        choice: Choice,
        conn: ServerConnection,
        passed: _Passed,
    ) -> _End:
        reader = EventReader()
        tokens = work.service.engine.event_tokens if work.service.engine else 0
        while True:
            data = await _next_chunk(work, conn)
            if data is None:
                if not reader.is_at_boundary:
                    work.reason = "the stream ended within an event"
                    return _End.BROKEN
                self._exchange.succeeded(work, choice)
                return _End.WHOLE
            if isinstance(data, Failure):
                work.reason = data.reason
                work.verdict = Verdict.MAY_HAVE_RUN
                self._exchange.broke(work, choice, data)
                return _End.BROKEN
            events, raw = reader.feed(data)
            if not events:
                continue
            for event in events:
                passed.output += event.data + b"\n"
                passed.last_id = event.id or passed.last_id
            work.tokens += tokens * len(events)
            now_s = asyncio.get_running_loop().time()
            work.times.events(now_s, tokens * len(events))
            work.responder.write(raw)
            await work.responder.drain()

    async def _end(self, work: Work, passed: _Passed) -> bool:
        """Ends a whole stream, once its turn lasts."""
        if not work.route.keeps_history or not work.call.program:
            work.responder.finish()
            return False
        data = work.body + bytes(passed.output)
        why = await self._turns.finish(work.call, data, self._turn_result(work))
        if why:
            # The caller would build on a turn that may be lost.
            work.reason = why
            work.responder.abort()
            return True
        work.responder.finish()
        return True

    def _turn_result(self, work: Work) -> TurnResult:
        """Returns what a turn came to."""
        speed = self._speeds.engine_speed(work.service.name)
        lost_ms = urgency.lost_ms(work.call, work.tokens, work.took_ms, speed)
        report = TurnReport(failed=work.failed, speed=speed)
        return TurnResult(work.tokens, work.ran_on, lost_ms, report)

    async def _may_resume(self, work: Work, choice: Choice) -> bool:
        if not work.route.resumable or work.responder.is_disconnected:
            return False
        if work.runs < work.route.max_attempts:
            return True
        # A server that has ended doesn't count; one that only broke off does.
        if await self._exchange.is_alive(work, choice):
            return False
        return work.runs <= work.route.max_attempts


async def _next_chunk(
    work: Work, conn: ServerConnection
) -> bytes | Failure | None:
    if not work.may_leave:
        return await conn.read_chunk()
    gap_s = max(_MIN_SILENCE_S, _SILENT_TARGETS * work.route.target_ms / _MS)
    try:
        async with asyncio.timeout(gap_s):
            return await conn.read_chunk()
    except TimeoutError:
        return Failure(Verdict.MAY_HAVE_RUN, "silent for too long")
