"""Serves one request: finds its route, sends it, answers.

What becomes of a request is a verdict: it has not run, it ran, or it may have.
Only the first lets a non-idempotent request be sent again, or be refused with
a status that promises that it never will run.
"""

from __future__ import annotations

import asyncio
import dataclasses
import enum
import hashlib
import logging
import random
from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.adapters.gateway.ports import Sending
from catkinpin.adapters.gateway.turns import Started, Unknown
from catkinpin.adapters.http.client import Failure
from catkinpin.core import routes, urgency
from catkinpin.core.events import EventReader
from catkinpin.core.ledger import Denial
from catkinpin.core.routes import RouteKind
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.gateway.ports import HeaderCodec
    from catkinpin.adapters.gateway.turns import Turns
    from catkinpin.adapters.gateway.view import View
    from catkinpin.adapters.http.client import Head, Pool, ServerConnection
    from catkinpin.adapters.http.headers import Headers
    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.clock import Clock
    from catkinpin.core.balance import Balancer, Choice
    from catkinpin.core.calls import RouteCall
    from catkinpin.core.routes import Route, Service

log = logging.getLogger(__name__)

_MS = 1_000
# Statuses that promise that the request has not run and never will.
_PROMISES = frozenset({408, 421, 429, 503})
# Servers that may refuse a request one after the other before we do.
_MOST_REFUSALS = 3
# A server that can't be reached in this time is left out; a connection takes
# some ms even between regions.
_CONNECT_S = 0.3
# The part of an idempotent request's time that its first server gets.
_FIRST_PART = 0.4
# Bytes of a plain answer held back until it is whole, so that another server
# can still be asked. Answers are some 800 bytes.
_HELD_BYTES = 262_144
# A resumable stream that is silent for so many of its longest good pauses, at
# least so long, goes on at another server.
_SILENT_GAPS = 3
_SILENT_LEAST_S = 1.5
_DIGEST_BYTES = 16
# Longest wait for a leader: an election takes about a second.
_LEADER_S = 1.3
_LEADER_PART = 0.4
# When to come back, in s: an election, and a queue that empties.
_RETRY_LEADER_S = 0.3
_RETRY_FULL_S = 0.15
_RETRY_ELSEWHERE_S = 0.02
_RETRY_QUARANTINE_S = 10.0
# Gateways that may come before all know of it, and connections that a server
# has not seen closed yet, take this much more of its limit.
_GATEWAYS_MARGIN = 1.2
_FEWEST_CONNECTIONS = 2


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


@dataclasses.dataclass
class Work:
    """One request on its way.

    Attributes:
        deadline_s: the loop's time by which the caller must have its answer.
        verdict: whether it may have run, as far as known.
        sent_to: servers that it was sent to.
        tokens: handed to the caller.
        reason: why the last try failed.
        urgency: to a model server.
    """

    call: RouteCall
    route: Route
    service: Service
    request: Request
    responder: Responder
    deadline_s: float
    body: bytes
    verdict: Verdict = Verdict.NOT_RUN
    sent_to: list[str] = dataclasses.field(default_factory=list)
    runs: int = 0
    tokens: int = 0
    reason: str = ""
    urgency: int = urgency.USUAL
    choice: Choice | None = None


class Serving:
    """Serves requests through one gateway.

    Attributes:
        is_closing: whether requests that come now are refused, not run.
    """

    def __init__(
        self,
        view: View,
        balancer: Balancer,
        pool: Pool,
        turns: Turns,
        codec: HeaderCodec,
        clock: Clock,
        gateways: Callable[[], int],
    ) -> None:
        self._view = view
        self._balancer = balancer
        self._pool = pool
        self._turns = turns
        self._codec = codec
        self._clock = clock
        self._gateways = gateways
        self._rng = random.Random()
        self.is_closing = False
        self._tasks: set[asyncio.Task[None]] = set()

    async def handle(self, request: Request, responder: Responder) -> None:
        """Answers one request."""
        serving = asyncio.ensure_future(self._serve(request, responder))
        leaving = asyncio.ensure_future(request.gone.wait())
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
            decisions.routine("left", self._codec.call(request.headers).attempt)

    async def _serve(self, request: Request, responder: Responder) -> None:
        call = self._codec.call(request.headers)
        if self.is_closing:
            # Another gateway has the time that this one no longer has; cut
            # off at the end, the request would have run for nothing.
            self._refuse(responder, call, 503, "stopping", _RETRY_ELSEWHERE_S)
            return
        if not self._view.serves or self._view.table is None:
            self._refuse(responder, call, 503, "no routes known yet", 0.5)
            return
        if not call.attempt:
            self._refuse(responder, call, 400, "the request names no id")
            return
        host = request.headers.get(b"host").partition(":")[0]
        path = request.target.partition(b"?")[0].decode("latin-1")
        route = self._view.table.find(host, path)
        if route is None:
            self._refuse(responder, call, 404, "no such route")
            return
        name = routes.pick_service(route, self._rng)
        service = self._view.table.services[name]
        work = Work(call, route, service, request, responder, 0.0, request.body)
        wait_ms = min(call.deadline_ms or route.timeout_ms, route.timeout_ms)
        work.deadline_s = request.arrived_s + wait_ms / _MS
        if self._digest(work) in self._view.quarantined:
            reason = "it crashed servers before"
            self._refuse(responder, call, 503, reason, _RETRY_QUARANTINE_S)
            return
        try:
            async with asyncio.timeout_at(work.deadline_s):
                await self._run(work)
        except TimeoutError:
            work.reason = work.reason or "the deadline has passed"
            self._give_up(work)
        self._note(work)

    async def _run(self, work: Work) -> None:
        if work.route.kind is not RouteKind.STREAM:
            await self._plain(work)
        elif work.call.program and self._is_accounted(work):
            await self._turn(work)
        else:
            await self._stream(work, b"")

    def _is_accounted(self, work: Work) -> bool:
        return work.route.keeps_history or work.call.budget >= 0

    # Plain requests.

    async def _plain(self, work: Work) -> None:
        idempotent = work.route.kind is RouteKind.IDEMPOTENT
        while True:
            choice = self._pick(work)
            if choice is None:
                break
            last = not idempotent or work.runs + 1 >= work.route.max_attempts
            limit_s = self._left_s(work) * (1.0 if last else _FIRST_PART)
            try:
                async with asyncio.timeout(limit_s):
                    done = await self._try_plain(work, choice, idempotent, last)
            except TimeoutError:
                if last:
                    raise
                done = False
                self._failed(choice, "no answer in its part of the time")
            if done:
                return
            if work.verdict is not Verdict.NOT_RUN and (
                not idempotent or work.runs >= work.route.max_attempts
            ):
                break
        self._give_up(work)

    async def _try_plain(
        self, work: Work, choice: Choice, idempotent: bool, last: bool
    ) -> bool:
        """Sends to one server; returns whether the caller was answered."""
        sent = await self._send(work, choice, work.body)
        if isinstance(sent, Failure):
            return False
        conn, head = sent
        try:
            facts = self._codec.answer(head.headers)
            if facts.not_run:
                work.reason = f"refused by {choice.instance.id}"
                await self._drain(conn)
                return False
            work.verdict = Verdict.RAN
            if idempotent and not last and head.status >= 500:
                work.reason = f"status {head.status}"
                self._failed(choice, work.reason)
                return False
            return await self._pass_plain(work, choice, conn, head)
        finally:
            self._end(choice, conn)

    async def _pass_plain(
        self, work: Work, choice: Choice, conn: ServerConnection, head: Head
    ) -> bool:
        held: list[bytes] = []
        size = 0
        started = False
        while (data := await conn.chunk()) is not None:
            if isinstance(data, Failure):
                work.verdict = Verdict.MAY_HAVE_RUN
                work.reason = data.reason
                self._broke(work, choice, data)
                if started:
                    work.responder.abort()
                return started
            held.append(data)
            size += len(data)
            if size > _HELD_BYTES:
                if not started:
                    started = self._start(work, head, head.length)
                    if not started:
                        return False
                work.responder.write(b"".join(held))
                held.clear()
                await work.responder.drain()
        if not started and not self._start(work, head, size):
            return False
        work.responder.write(b"".join(held))
        work.responder.finish()
        self._balancer.succeeded(choice.instance)
        return True

    def _start(self, work: Work, head: Head, length: int | None) -> bool:
        """Starts the answer with a server's head, where that can be passed."""
        facts = self._codec.answer(head.headers)
        if head.status < 300 and not facts.is_sealed:
            work.reason = "an answer that the server doesn't vouch for"
            return False
        if head.status in _PROMISES:
            # The server ran it, or didn't say that it hadn't; passed on, the
            # status would promise the caller that it never will run.
            work.reason = f"status {head.status} without a promise"
            return False
        headers = head.headers.end_to_end()
        work.responder.start(head.status, headers, length, head.reason)
        return True

    # Streams.

    async def _turn(self, work: Work) -> None:
        wait_s = min(_LEADER_S, self._left_s(work) * _LEADER_PART)
        began = await self._turns.begin(work.call, work.route, wait_s)
        if isinstance(began, Unknown):
            work.reason = began.reason
            self._refuse(
                work.responder, work.call, 503, began.reason, _RETRY_LEADER_S
            )
            return
        if began is Denial.NO_SUCH_TURN:
            self._refuse(work.responder, work.call, 404, "no such turn")
            return
        if began is Denial.BUDGET_SPENT:
            self._refuse(work.responder, work.call, 402, "the budget is spent")
            return
        assert isinstance(began, Started)
        work.urgency = urgency.of_turn(began.allowed_ms, began.elapsed_ms)
        self._remember_cache(work, began.server)
        is_settled = False
        try:
            is_settled = await self._stream(work, began.history)
        finally:
            if not is_settled:
                self._turns.settle(work.call, work.tokens, _server_of(work))

    def _remember_cache(self, work: Work, server: str) -> None:
        """Notes where the prompt lies that an earlier turn has read.

        That turn may have come in at another gateway. Unknown here, the
        session would move to another server, which reads it all anew.
        """
        instance = self._view.fleet.servers.get(server)
        if instance is not None:
            self._balancer.read(instance, work.call.prompt[:-1])

    async def _stream(self, work: Work, history: bytes) -> bool:
        """Streams an answer; returns whether its turn is settled."""
        body = history + work.body
        passed = _Passed(work.call.resume_at)
        while True:
            choice = self._pick(work)
            if choice is None:
                break
            end = await self._try_stream(work, choice, body, passed)
            if end is _End.WHOLE:
                return await self._end_stream(work, passed)
            if end is _End.ANSWERED:
                return False
            if end is _End.REFUSED:
                continue
            if not await self._may_resume(work, choice):
                break
        self._give_up(work)
        return False

    async def _try_stream(
        self, work: Work, choice: Choice, body: bytes, passed: _Passed
    ) -> _End:
        sent = await self._send(work, choice, body, passed.last_id)
        if isinstance(sent, Failure):
            if work.verdict is Verdict.NOT_RUN:
                return _End.REFUSED
            return _End.BROKEN
        conn, head = sent
        try:
            facts = self._codec.answer(head.headers)
            if facts.not_run:
                work.reason = f"refused by {choice.instance.id}"
                await self._drain(conn)
                return _End.REFUSED
            work.verdict = Verdict.RAN
            if head.status >= 300:
                if passed.started:
                    return _End.BROKEN
                done = await self._pass_plain(work, choice, conn, head)
                return _End.ANSWERED if done else _End.BROKEN
            if not passed.started:
                if not self._start(work, head, None):
                    return _End.BROKEN
                passed.started = True
            return await self._pass_events(work, choice, conn, passed)
        finally:
            self._end(choice, conn)

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
            data = await self._next_chunk(work, conn)
            if data is None:
                if not reader.is_between:
                    work.reason = "the stream ended within an event"
                    return _End.BROKEN
                self._balancer.succeeded(choice.instance)
                return _End.WHOLE
            if isinstance(data, Failure):
                work.reason = data.reason
                work.verdict = Verdict.MAY_HAVE_RUN
                self._broke(work, choice, data)
                return _End.BROKEN
            events, raw = reader.feed(data)
            if not events:
                continue
            for event in events:
                passed.output += event.data + b"\n"
                passed.last_id = event.id or passed.last_id
            work.tokens += tokens * len(events)
            work.responder.write(raw)
            await work.responder.drain()

    async def _next_chunk(
        self, work: Work, conn: ServerConnection
    ) -> bytes | Failure | None:
        if not self._may_leave(work):
            return await conn.chunk()
        gap_s = max(_SILENT_LEAST_S, _SILENT_GAPS * work.route.target_ms / _MS)
        try:
            async with asyncio.timeout(gap_s):
                return await conn.chunk()
        except TimeoutError:
            return Failure(Verdict.MAY_HAVE_RUN, "silent for too long")

    async def _end_stream(self, work: Work, passed: _Passed) -> bool:
        """Ends a whole stream, once its turn lasts."""
        if not work.route.keeps_history or not work.call.program:
            work.responder.finish()
            return False
        data = work.body + bytes(passed.output)
        why = await self._turns.finish(
            work.call, data, work.tokens, _server_of(work)
        )
        if why:
            # The caller would build on a turn that may be lost.
            work.reason = why
            work.responder.abort()
            return True
        work.responder.finish()
        return True

    async def _may_resume(self, work: Work, choice: Choice) -> bool:
        if not work.route.resumable or work.responder.is_gone:
            return False
        if work.runs < work.route.max_attempts:
            return True
        # A server that has ended doesn't count; one that only broke off does.
        probe = await self._pool.take(
            choice.instance.address, self._most(work), _CONNECT_S
        )
        if isinstance(probe, Failure):
            return work.runs <= work.route.max_attempts
        self._pool.give_back(choice.instance.address, probe)
        return False

    # Requests that crash servers.

    def _digest(self, work: Work) -> str:
        """Returns what a request is known by when it comes again.

        Its id is another one then. A request without a body is told apart by
        its program as well: many share its path, and are not at fault.
        """
        request, call = work.request, work.call
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        parts = [request.method, request.target, call.affinity.encode()]
        parts.append(request.body or call.program.encode())
        for part in parts:
            digest.update(len(part).to_bytes(4, "big") + part)
        return digest.hexdigest()

    async def _report_crash(self, work: Work, choice: Choice) -> None:
        """Tells the keepers if the server that broke off has ended."""
        instance = choice.instance
        probe = await self._pool.take(
            instance.address, self._most(work), _CONNECT_S
        )
        if not isinstance(probe, Failure):
            self._pool.give_back(instance.address, probe)
            return
        life = f"{instance.id}/{instance.born_ms}"
        await self._turns.report_crash(self._digest(work), life)

    # One server.

    def _pick(self, work: Work) -> Choice | None:
        if len(work.sent_to) > _MOST_REFUSALS:
            return None
        servers = self._view.fleet.of(work.service.name)
        choice = self._balancer.pick(
            servers, work.call, self._clock.now_ms(), work.sent_to
        )
        if choice is None:
            work.reason = work.reason or "no server is left"
            return None
        hopeless = work.urgency >= urgency.HOPELESS
        if hopeless and self._balancer.is_full(
            choice.instance, self._clock.now_ms()
        ):
            work.reason = "past twice its time, and all places are taken"
            return None
        work.choice = choice
        return choice

    async def _send(
        self, work: Work, choice: Choice, body: bytes, resume_at: str = ""
    ) -> tuple[ServerConnection, Head] | Failure:
        """Sends a request to a server and waits for the head of its answer."""
        instance = choice.instance
        work.sent_to.append(instance.id)
        conn = await self._pool.take(
            instance.address, self._most(work), _CONNECT_S
        )
        if isinstance(conn, Failure):
            work.reason = conn.reason
            if conn.reason.startswith("no connection:"):
                self._failed(choice, conn.reason, sure=True)
            return conn
        self._balancer.sent(instance, work.call)
        work.runs += 1
        work.verdict = Verdict.MAY_HAVE_RUN
        metrics.ATTEMPTS.labels("sent").inc()
        try:
            conn.send(
                self._encode(work, choice, body, resume_at),
                lambda headers: self._is_ours(work, conn, headers),
            )
            head = await self._head(work, conn)
        except BaseException:
            self._end(choice, conn)
            raise
        if isinstance(head, Failure):
            work.reason = head.reason
            self._broke(work, choice, head)
            self._end(choice, conn)
            return head
        facts = self._codec.answer(head.headers)
        if facts.load is not None:
            self._balancer.told(instance, facts.load, self._clock.now_ms())
        if facts.not_run:
            work.runs -= 1
            work.verdict = (
                Verdict.NOT_RUN if work.runs == 0 else Verdict.MAY_HAVE_RUN
            )
        return conn, head

    async def _head(self, work: Work, conn: ServerConnection) -> Head | Failure:
        if not self._may_leave(work):
            return await conn.head()
        gap_s = max(_SILENT_LEAST_S, 4 * work.route.target_ms / _MS)
        try:
            async with asyncio.timeout(gap_s):
                return await conn.head()
        except TimeoutError:
            return Failure(Verdict.MAY_HAVE_RUN, "silent for too long")

    def _may_leave(self, work: Work) -> bool:
        """Returns whether a silent server may be left for another one.

        An engine that is full is silent too: it has put the request back
        behind more urgent ones. Broken off with nowhere else to go, a caller
        would lose an answer that was only late.
        """
        route = work.route
        streams = route.kind is RouteKind.STREAM and route.resumable
        return streams and work.runs < route.max_attempts

    def _is_ours(
        self, work: Work, conn: ServerConnection, headers: Headers
    ) -> bool:
        facts = self._codec.answer(headers)
        if facts.attempt:
            return facts.attempt == work.call.attempt
        return facts.not_run and conn.is_fresh

    def _encode(
        self, work: Work, choice: Choice, body: bytes, resume_at: str
    ) -> bytes:
        left_ms = max(1, int(self._left_s(work) * _MS))
        sending = Sending(
            server=choice.instance.id,
            left_ms=left_ms,
            resume_at=resume_at,
            urgency=work.urgency,
        )
        headers = self._codec.to_server(
            work.request.headers.end_to_end(), work.call, sending
        )
        request = work.request
        head = request.method + b" " + request.target + b" HTTP/1.1\r\n"
        has_body = bool(body) or bool(request.headers.get(b"content-length"))
        if has_body:
            headers.add(b"Content-Length", b"%d" % len(body))
        return head + headers.encode() + b"\r\n" + body

    def _end(self, choice: Choice, conn: ServerConnection) -> None:
        """Ends an exchange; one that is not over is cut off."""
        conn.finish(asyncio.get_running_loop().time())
        self._pool.give_back(choice.instance.address, conn)
        self._balancer.ended(choice.instance)

    async def _drain(self, conn: ServerConnection) -> None:
        """Reads the rest of a short answer, so that the connection stays."""
        while isinstance(await conn.chunk(), bytes):
            pass

    def _broke(self, work: Work, choice: Choice, failure: Failure) -> None:
        """Notes that a server broke off what it may have begun to run."""
        self._failed(choice, failure.reason)
        if failure.is_lost:
            task = asyncio.ensure_future(self._report_crash(work, choice))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _failed(
        self, choice: Choice, reason: str, *, sure: bool = False
    ) -> None:
        now = self._clock.now_ms()
        if self._balancer.failed(choice.instance, now, sure=sure):
            self._pool.retire(choice.instance.address)
            decisions.note(
                "ejected", "", server=choice.instance.id, reason=reason
            )

    def _most(self, work: Work) -> int:
        """Returns how many connections this gateway may have to a server."""
        gateways = max(self._gateways(), 1) * _GATEWAYS_MARGIN
        limit = work.service.max_connections
        return max(_FEWEST_CONNECTIONS, int(limit / gateways))

    def _left_s(self, work: Work) -> float:
        return work.deadline_s - asyncio.get_running_loop().time()

    # Answers of our own.

    def _give_up(self, work: Work) -> None:
        """Answers a request that can't be served, by what may have become."""
        if work.responder.started:
            work.responder.abort()
            return
        if work.verdict is Verdict.NOT_RUN:
            self._refuse(
                work.responder, work.call, 503, work.reason, _RETRY_FULL_S
            )
            return
        passed = asyncio.get_running_loop().time() >= work.deadline_s
        status = 504 if passed else 502
        self._refuse(work.responder, work.call, status, work.reason)

    def _refuse(
        self,
        responder: Responder,
        call: RouteCall,
        status: int,
        reason: str,
        retry_s: float = 0.0,
    ) -> None:
        headers = self._codec.refusal(call.attempt, retry_s)
        responder.answer(status, headers)
        metrics.REFUSALS.labels(str(status)).inc()
        decisions.note(
            "refused",
            call.attempt,
            status=status,
            reason=reason,
            program=call.program,
            routes=self._view.version,
            routes_age_ms=self._clock.now_ms() - self._view.changed_ms,
        )

    def _note(self, work: Work) -> None:
        loop_s = asyncio.get_running_loop().time()
        took_ms = int((loop_s - work.request.arrived_s) * _MS)
        metrics.CALL_SECONDS.observe(took_ms / _MS)
        choice = work.choice
        facts = {
            "status": work.responder.status,
            "whole": work.responder.finished,
            "took_ms": took_ms,
            "verdict": work.verdict,
            "program": work.call.program,
            "route": work.route.name,
            "servers": work.sent_to,
            "routes": self._view.version,
            "tokens": work.tokens,
            "program_left_ms": work.call.program_left_ms,
            "urgency": work.urgency,
        }
        if choice is not None:
            facts["cost_ms"] = round(choice.cost_ms, 1)
            facts["cached"] = choice.cached_tokens
            facts["load_age_ms"] = choice.load_age_ms
        if work.responder.finished and work.responder.status < 500:
            decisions.routine("served", work.call.attempt, **facts)
        else:
            facts["reason"] = work.reason
            decisions.note("failed", work.call.attempt, **facts)


def _server_of(work: Work) -> str:
    """Returns the server that has the request's prompt, if one ran it."""
    if work.choice is None or work.verdict is Verdict.NOT_RUN:
        return ""
    return work.choice.instance.id
