"""Exchanges with servers: picks a server, sends a request, reads the head.

The verdict on a request says whether it has not run, ran or may have run. Only
a non-idempotent request that has not run may be sent again, or be refused with
a status that tells the caller that it will never run.
"""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.adapters.gateway.crashes import CrashReporter
from catkinpin.adapters.gateway.headers import ForwardingFields
from catkinpin.adapters.gateway.picking import ServerPicker
from catkinpin.adapters.gateway.timings import AnswerTimes
from catkinpin.adapters.http.client import DEFAULT_MAX_IDLE_S, Failure
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.context import GatewayContext
    from catkinpin.adapters.gateway.work import OpenCall
    from catkinpin.adapters.http.client import ResponseHead, ServerConnection
    from catkinpin.adapters.http.headers import Headers
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.requests.calls import Load

_MS_PER_S = 1_000
# A server that can't be reached within this time is ejected. Connecting takes
# some ms even between regions.
_CONNECT_TIMEOUT_S = 0.3
# Maximum idle time of a connection for a request that must not be sent twice.
# A new connection takes a ms; servers close idle ones after seconds.
_NON_REPEATABLE_MAX_IDLE_S = 1.0
# If another server may be tried, the gateway waits for the head for this
# multiple of the route's target latency, but at least for the minimum.
_HEAD_TIMEOUT_FACTOR = 4
_MIN_HEAD_TIMEOUT_S = 1.5
# Statuses from this one on count as failures of the server.
_MIN_SERVER_ERROR_STATUS = 500
# Multiplies the number of gateways that share a server's connection limit, to
# allow for gateways not known yet and for connections that the server has not
# seen closed yet.
_GATEWAY_COUNT_MARGIN = 1.2
_MIN_CONNECTIONS = 2
# What is read of an answer that is forwarded to nobody. Opening a connection
# costs less than reading more or waiting longer.
_MAX_DISCARDED_BYTES = 65_536
_DISCARD_TIMEOUT_S = 0.1


class Exchange:
    """Exchanges requests and answers with servers.

    Args:
        context: objects that all requests of the gateway share.
    """

    def __init__(self, context: GatewayContext) -> None:
        self._view = context.view
        self._balancer = context.balancer
        self._speeds = context.speeds
        self._pool = context.pool
        self._codec = context.codec
        self._clock = context.clock
        self._count_gateways = context.gateways
        self._waiting = context.waiting
        self._contention = context.contention
        self._picker = ServerPicker(context)
        self._crashes = CrashReporter(
            context.turns,
            context.usage,
            context.view.suspects,
            self.is_reachable,
        )

    async def next_server(self, state: OpenCall) -> Choice | None:
        """Picks the next server; returns None if none may be tried."""
        if await self._crashes.has_crashed_servers(state):
            state.reason = "it crashed servers"
            return None
        return self.pick_server(state)

    async def wait_until_reported(self, state: OpenCall) -> None:
        """Waits for a short while until a request's crashes are reported."""
        await self._crashes.wait_until_reported(state)

    def pick_server(self, state: OpenCall) -> Choice | None:
        """Picks the next server; returns None if none is left to try."""
        return self._picker.pick_server(state)

    async def send(
        self, state: OpenCall, choice: Choice, body: bytes, resume_at: str = ""
    ) -> tuple[ServerConnection, ResponseHead] | Failure:
        """Sends a request to a server and reads the head of its answer."""
        instance = choice.instance
        state.tried_servers.append(instance.id)
        state.is_suspected = self._is_suspected(state)
        conn = await self._connect(state, choice)
        if isinstance(conn, Failure):
            state.reason = conn.reason
            if conn.reason.startswith("no connection:"):
                self.record_failure(state, choice, conn.reason, immediate=True)
            return conn
        self._balancer.record_sent(instance, state.call)
        self._add_pending(state, choice)
        state.run_count += 1
        state.verdict = Verdict.MAY_HAVE_RUN
        metrics.ATTEMPTS.labels("sent").inc()
        try:
            conn.send(
                self._encode_request(state, choice, body, resume_at),
                lambda headers: self._belongs_to_request(state, conn, headers),
            )
            state.answer_times = AnswerTimes(asyncio.get_running_loop().time())
            try:
                head = await self._read_head(state, conn)
                self._record_responsive(state, choice, head)
            finally:
                self._end_pending(state, choice)
        except BaseException:
            self.close(choice, conn)
            raise
        if isinstance(head, Failure):
            state.reason = head.reason
            self.record_break(state, choice, head)
            self.close(choice, conn)
            return head
        self._record_head(state, choice, head)
        return conn, head

    async def _connect(
        self, state: OpenCall, choice: Choice
    ) -> ServerConnection | Failure:
        """Returns an idle connection to a server, or opens one."""
        is_contended = self._contention.is_contended(state.service.name)
        conn = await self._pool.acquire(
            choice.instance.address,
            self._max_connections(state),
            _CONNECT_TIMEOUT_S,
            self._max_idle_s(state),
            is_contended=is_contended,
        )
        if isinstance(conn, Failure) or not is_contended:
            return conn
        if conn.is_first_exchange and conn.opening is not None:
            decisions.routine(
                "connection",
                state.call.attempt,
                server=choice.instance.id,
                is_probed=conn.is_probed,
                **dataclasses.asdict(conn.opening),
            )
        return conn

    def _max_idle_s(self, state: OpenCall) -> float:
        """Returns for how long a request's connection may have been idle.

        A request that was running on a crashed server gets a new connection:
        if an idle one belongs to a server that has crashed too, the request
        would be taken for the cause of that crash.
        """
        if state.is_suspected:
            return 0.0
        if state.is_repeatable:
            return DEFAULT_MAX_IDLE_S
        return _NON_REPEATABLE_MAX_IDLE_S

    def _is_suspected(self, state: OpenCall) -> bool:
        return bool(state.break_checks) or self._view.suspects.is_suspect(
            state.digests
        )

    def is_refusal(self, head: ResponseHead) -> bool:
        """Returns whether a server states that it did not run the request."""
        return self._codec.decode_answer(head.headers).not_run

    def close(self, choice: Choice, conn: ServerConnection) -> None:
        """Ends an exchange; closes the connection if it is not complete."""
        conn.finish(asyncio.get_running_loop().time())
        self._pool.release(choice.instance.address, conn)
        self._balancer.record_ended(choice.instance)

    async def discard_rest(
        self, conn: ServerConnection, head: ResponseHead
    ) -> None:
        """Discards the rest of a short answer to keep the connection usable.

        A longer or late one is left unread, and its connection is closed.
        """
        size = head.length or 0
        try:
            async with asyncio.timeout(_DISCARD_TIMEOUT_S):
                while size <= _MAX_DISCARDED_BYTES:
                    data = await conn.read_chunk()
                    if not isinstance(data, bytes):
                        break
                    if head.length is None:
                        size += len(data)
        except TimeoutError:
            return

    def record_success(self, state: OpenCall, choice: Choice) -> None:
        """Records a complete answer and what it tells of the server's speed."""
        instance = choice.instance
        self._balancer.record_success(instance)
        self._crashes.record_answer(state)
        if state.service.engine is None:
            self._speeds.record_plain_call(
                state.route.name, state.answer_times.head_ms
            )
            return
        sample = state.answer_times.stream_timings(state.call, choice)
        if sample is not None:
            now_ms = self._clock.now_ms()
            self._speeds.record_stream(
                instance.service,
                instance.id,
                instance.started_ms,
                sample,
                now_ms,
            )

    def record_answer(
        self, state: OpenCall, choice: Choice, status: int
    ) -> None:
        """Records a complete answer, which may report a server error.

        A server that fails immediately always looks idle. Counted as healthy
        it would attract most requests while other servers have room; the
        symptom is an engine with few running requests and many answers of
        500. An engine is ejected after one such answer, because engines don't
        fail at random. A plain service is ejected after two in a
        row, because a call may fail for reasons of its own.
        """
        if status < _MIN_SERVER_ERROR_STATUS:
            self.record_success(state, choice)
            return
        is_engine = state.service.engine is not None
        self.record_failure(
            state, choice, f"status {status}", immediate=is_engine
        )

    def record_break(
        self, state: OpenCall, choice: Choice, failure: Failure
    ) -> None:
        """Records that a server broke off a request that may have run."""
        self.record_failure(state, choice, failure.reason)
        if failure.is_lost:
            self._crashes.check_server(state, choice)

    def record_failure(
        self,
        state: OpenCall,
        choice: Choice,
        reason: str,
        *,
        immediate: bool = False,
    ) -> None:
        """Records a failure of a server, which may eject the server.

        Args:
            state: the request.
            choice: the server.
            reason: why, for the log.
            immediate: whether this failure alone ejects the server.
        """
        state.failed_servers.append(choice.instance.id)
        now_ms = self._clock.now_ms()
        if self._balancer.record_failure(
            choice.instance, now_ms, immediate=immediate
        ):
            self._pool.retire(choice.instance.address)
            decisions.note(
                "ejected", "", server=choice.instance.id, reason=reason
            )

    async def is_reachable(self, state: OpenCall, choice: Choice) -> bool:
        """Returns whether a server can still be reached."""
        return await self._pool.is_accepting(
            choice.instance.address,
            self._max_connections(state),
            _CONNECT_TIMEOUT_S,
        )

    def _record_head(
        self, state: OpenCall, choice: Choice, head: ResponseHead
    ) -> None:
        facts = self._codec.decode_answer(head.headers)
        load = self._record_load(state, choice, facts.load)
        state.answer_times.record_head(asyncio.get_running_loop().time(), load)
        if facts.not_run:
            state.run_count -= 1
            state.verdict = (
                Verdict.NOT_RUN
                if state.run_count == 0
                else Verdict.MAY_HAVE_RUN
            )

    def _add_pending(self, state: OpenCall, choice: Choice) -> None:
        """Adds a plain call to those that wait for their answers."""
        if state.service.engine is None:
            self._waiting.add(
                _pending_key(state, choice),
                choice.instance.id,
                self._speeds.plain_ms(state.route.name),
                self._clock.now_ms(),
            )

    def _end_pending(self, state: OpenCall, choice: Choice) -> None:
        key = _pending_key(state, choice)
        if state.is_superseded:
            self._waiting.abandon(key)
        else:
            self._waiting.remove(key)

    def _record_responsive(
        self, state: OpenCall, choice: Choice, head: ResponseHead | Failure
    ) -> None:
        """Records an answer that shows that the server runs its requests."""
        if not isinstance(head, Failure) and not self.is_refusal(head):
            self._waiting.record_answer(_pending_key(state, choice))

    def _record_load(
        self, state: OpenCall, choice: Choice, load: Load | None
    ) -> Load | None:
        """Records and returns a reported load; ignores an implausible one."""
        if load is None:
            return None
        now_ms = self._clock.now_ms()
        if self._balancer.report_load(choice.instance, load, now_ms):
            self._contention.record_load(state.service.name, load)
            return load
        decisions.note(
            "implausible-load",
            state.call.attempt,
            server=choice.instance.id,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
        )
        return None

    async def _read_head(
        self, state: OpenCall, conn: ServerConnection
    ) -> ResponseHead | Failure:
        if not state.may_switch_server:
            return await conn.read_head()
        timeout_s = max(
            _MIN_HEAD_TIMEOUT_S,
            _HEAD_TIMEOUT_FACTOR * state.route.target_ms / _MS_PER_S,
        )
        try:
            async with asyncio.timeout(timeout_s):
                return await conn.read_head()
        except TimeoutError:
            return Failure(Verdict.MAY_HAVE_RUN, "silent for too long")

    def _belongs_to_request(
        self, state: OpenCall, conn: ServerConnection, headers: Headers
    ) -> bool:
        facts = self._codec.decode_answer(headers)
        if facts.attempt:
            return facts.attempt == state.call.attempt
        return facts.not_run and conn.is_first_exchange

    def _encode_request(
        self, state: OpenCall, choice: Choice, body: bytes, resume_at: str
    ) -> bytes:
        fields = ForwardingFields(
            server=choice.instance.id,
            left_ms=max(1, int(state.remaining_s * _MS_PER_S)),
            resume_at=resume_at,
            urgency=state.urgency,
            strips_key=self._view.requires_keys,
        )
        headers = self._codec.encode_for_server(
            state.request.headers.end_to_end(), state.call, fields
        )
        request = state.request
        head = request.method + b" " + request.target + b" HTTP/1.1\r\n"
        has_body = bool(body) or bool(request.headers.get(b"content-length"))
        if has_body:
            headers.add(b"Content-Length", b"%d" % len(body))
        return head + headers.encode() + b"\r\n" + body

    def _max_connections(self, state: OpenCall) -> int:
        """Returns how many connections the gateway may open to a server."""
        gateway_count = max(self._count_gateways(), 1) * _GATEWAY_COUNT_MARGIN
        limit = state.service.max_connections
        return max(_MIN_CONNECTIONS, int(limit / gateway_count))


def _pending_key(state: OpenCall, choice: Choice) -> str:
    """Returns the key of an attempt among the pending calls."""
    return f"{state.call.attempt}@{choice.instance.id}"
