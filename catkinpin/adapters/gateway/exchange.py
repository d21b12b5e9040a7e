"""One exchange with one server: picked, sent to, its answer's head read.

What becomes of a request is a verdict: it has not run, it ran, or it may have.
Only the first lets a non-idempotent request be sent again, or be refused with
a status that promises that it never will run.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.adapters.gateway.crashes import Crashes
from catkinpin.adapters.gateway.headers import Sending
from catkinpin.adapters.gateway.timings import Times
from catkinpin.adapters.http.client import DEFAULT_MAX_IDLE_S, Failure
from catkinpin.core.control.servers import ServerState
from catkinpin.core.placement import unresponsive, urgency
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.context import Parts
    from catkinpin.adapters.gateway.work import Work
    from catkinpin.adapters.http.client import ResponseHead, ServerConnection
    from catkinpin.adapters.http.headers import Headers
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.requests.calls import Load

_MS = 1_000
# Servers that may refuse a request one after the other before we do.
_MAX_REFUSALS = 3
# A server that can't be reached in this time is left out; a connection takes
# some ms even between regions.
_CONNECT_S = 0.3
# How long a connection may have been idle for a request that may not be sent
# twice. A new one takes a ms; servers drop idle ones after seconds.
_ONCE_IDLE_S = 1.0
# Where another server can go on, one that says nothing for so many of the
# route's target latencies, at least so long, is left.
_SILENT_TARGETS = 4
_MIN_SILENCE_S = 1.5
# A plain server with an overdue call gets no other for so long.
_AVOID_MS = 500
# Answers from this status on are a server's failures.
_SERVER_FAILED = 500
# Gateways that may come before all know of it, and connections that a server
# has not seen closed yet, take this much more of its limit.
_GATEWAYS_MARGIN = 1.2
_MIN_CONNECTIONS = 2


class Exchange:
    """Exchanges requests and answers with servers, one at a time."""

    def __init__(self, parts: Parts) -> None:
        self._view = parts.view
        self._balancer = parts.balancer
        self._speeds = parts.speeds
        self._pool = parts.pool
        self._codec = parts.codec
        self._clock = parts.clock
        self._gateways = parts.gateways
        self._waiting = parts.waiting
        self._crashes = Crashes(parts.turns, self.is_alive)

    def pick(self, work: Work) -> Choice | None:
        """Picks the next server; None where none is left to ask."""
        if len(work.sent_to) > _MAX_REFUSALS:
            return None
        servers = self._view.fleet.servers_of(work.service.name)
        now_ms = self._clock.now_ms()
        overdue = self._waiting.overdue_servers(now_ms)
        if overdue:
            unresponsive.eject_unresponsive(
                self._balancer, overdue, servers, now_ms, now_ms + _AVOID_MS
            )
        choice = self._placed(work, now_ms) or self._balancer.pick(
            servers, work.call, now_ms, work.sent_to, work.route.name
        )
        if choice is None:
            work.reason = work.reason or "no server is left"
            return None
        hopeless = work.urgency >= urgency.URGENCY_EXPIRED
        if hopeless and self._balancer.is_busy(choice.instance, now_ms):
            work.reason = "past twice its time, and its server is busy"
            return None
        work.choice = choice
        return choice

    def _placed(self, work: Work, now_ms: int) -> Choice | None:
        """Returns the server that the leader names, if it can be used."""
        instance = self._view.fleet.servers.get(work.placed)
        if instance is None or instance.id in work.sent_to:
            return None
        is_ready = instance.state is ServerState.READY
        if not is_ready or instance.service != work.service.name:
            return None
        return self._balancer.estimate(instance, work.call, now_ms)

    async def send(
        self, work: Work, choice: Choice, body: bytes, resume_at: str = ""
    ) -> tuple[ServerConnection, ResponseHead] | Failure:
        """Sends a request to a server and waits for the head of its answer."""
        instance = choice.instance
        work.sent_to.append(instance.id)
        conn = await self._pool.acquire(
            instance.address,
            self._max_connections(work),
            _CONNECT_S,
            DEFAULT_MAX_IDLE_S if work.is_repeatable else _ONCE_IDLE_S,
        )
        if isinstance(conn, Failure):
            work.reason = conn.reason
            if conn.reason.startswith("no connection:"):
                self.failed(work, choice, conn.reason, sure=True)
            return conn
        self._balancer.record_sent(instance, work.call)
        if work.service.engine is None:
            self._waiting.add(
                work.call.attempt,
                instance.id,
                self._speeds.plain_ms(work.route.name),
                self._clock.now_ms(),
            )
        work.runs += 1
        work.verdict = Verdict.MAY_HAVE_RUN
        metrics.ATTEMPTS.labels("sent").inc()
        try:
            conn.send(
                self._encode(work, choice, body, resume_at),
                lambda headers: self._is_ours(work, conn, headers),
            )
            work.times = Times(asyncio.get_running_loop().time())
            try:
                head = await self._head(work, conn)
            finally:
                self._waiting.remove(work.call.attempt)
        except BaseException:
            self.end(choice, conn)
            raise
        if isinstance(head, Failure):
            work.reason = head.reason
            self.broke(work, choice, head)
            self.end(choice, conn)
            return head
        self._record_head(work, choice, head)
        return conn, head

    def not_run(self, head: ResponseHead) -> bool:
        """Returns whether a server says that it did not run the request."""
        return self._codec.answer(head.headers).not_run

    def end(self, choice: Choice, conn: ServerConnection) -> None:
        """Ends an exchange; one that is not over is cut off."""
        conn.finish(asyncio.get_running_loop().time())
        self._pool.release(choice.instance.address, conn)
        self._balancer.record_ended(choice.instance)

    async def drain(self, conn: ServerConnection) -> None:
        """Reads the rest of a short answer, so that the connection stays."""
        while isinstance(await conn.read_chunk(), bytes):
            pass

    def succeeded(self, work: Work, choice: Choice) -> None:
        """Notes a whole answer, and learns its server's speed from it."""
        instance = choice.instance
        self._balancer.record_success(instance)
        if work.service.engine is None:
            self._speeds.record_plain_call(work.route.name, work.times.head_ms)
            return
        sample = work.times.streamed(work.call, choice)
        if sample is not None:
            now_ms = self._clock.now_ms()
            self._speeds.record_stream(
                instance.service,
                instance.id,
                instance.started_ms,
                sample,
                now_ms,
            )

    def answered(self, work: Work, choice: Choice, status: int) -> None:
        """Notes a whole answer, which may be a server's own failure.

        A server that fails at once is always idle. Taken for a good one it
        draws request after request, while the others have room; one sees an
        engine with few requests running and many answers of 500. Engines
        don't fail on a whim, so one such answer leaves them out; of a plain
        service a call may fail for its own reasons, so it takes two in a row.
        """
        if status < _SERVER_FAILED:
            self.succeeded(work, choice)
            return
        is_engine = work.service.engine is not None
        self.failed(work, choice, f"status {status}", sure=is_engine)

    def broke(self, work: Work, choice: Choice, failure: Failure) -> None:
        """Notes that a server broke off what it may have begun to run."""
        self.failed(work, choice, failure.reason)
        if failure.is_lost:
            self._crashes.suspect(work, choice)

    def failed(
        self, work: Work, choice: Choice, reason: str, *, sure: bool = False
    ) -> None:
        """Notes that a server failed; one that fails often gets nothing."""
        work.failed.append(choice.instance.id)
        now = self._clock.now_ms()
        if self._balancer.record_failure(choice.instance, now, immediate=sure):
            self._pool.retire(choice.instance.address)
            decisions.note(
                "ejected", "", server=choice.instance.id, reason=reason
            )

    async def is_alive(self, work: Work, choice: Choice) -> bool:
        """Returns whether a server can still be reached."""
        address = choice.instance.address
        probe = await self._pool.acquire(
            address, self._max_connections(work), _CONNECT_S
        )
        if isinstance(probe, Failure):
            return False
        self._pool.release(address, probe)
        return True

    def _record_head(
        self, work: Work, choice: Choice, head: ResponseHead
    ) -> None:
        facts = self._codec.answer(head.headers)
        load = self._record_load(work, choice, facts.load)
        work.times.head(asyncio.get_running_loop().time(), load)
        if facts.not_run:
            work.runs -= 1
            work.verdict = (
                Verdict.NOT_RUN if work.runs == 0 else Verdict.MAY_HAVE_RUN
            )

    def _record_load(
        self, work: Work, choice: Choice, load: Load | None
    ) -> Load | None:
        """Records the load that a server reports, if it is plausible."""
        if load is None:
            return None
        if self._balancer.report_load(
            choice.instance, load, self._clock.now_ms()
        ):
            return load
        decisions.note(
            "implausible-load",
            work.call.attempt,
            server=choice.instance.id,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
        )
        return None

    async def _head(
        self, work: Work, conn: ServerConnection
    ) -> ResponseHead | Failure:
        if not work.may_leave:
            return await conn.read_head()
        gap_s = max(
            _MIN_SILENCE_S, _SILENT_TARGETS * work.route.target_ms / _MS
        )
        try:
            async with asyncio.timeout(gap_s):
                return await conn.read_head()
        except TimeoutError:
            return Failure(Verdict.MAY_HAVE_RUN, "silent for too long")

    def _is_ours(
        self, work: Work, conn: ServerConnection, headers: Headers
    ) -> bool:
        facts = self._codec.answer(headers)
        if facts.attempt:
            return facts.attempt == work.call.attempt
        return facts.not_run and conn.is_first_exchange

    def _encode(
        self, work: Work, choice: Choice, body: bytes, resume_at: str
    ) -> bytes:
        sending = Sending(
            server=choice.instance.id,
            left_ms=max(1, int(work.left_s * _MS)),
            resume_at=resume_at,
            urgency=work.urgency,
            hides_key=self._view.asks_for_keys,
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

    def _max_connections(self, work: Work) -> int:
        """Returns how many connections this gateway may have to a server."""
        gateways = max(self._gateways(), 1) * _GATEWAYS_MARGIN
        limit = work.service.max_connections
        return max(_MIN_CONNECTIONS, int(limit / gateways))
