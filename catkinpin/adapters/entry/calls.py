"""Runs calls at the caller's entry: begin, dispatch and finish."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import chat, digest, metrics, tracing
from catkinpin.adapters.entry import (
    dispatch,
    grants,
    outcomes,
    outgoing,
    relays,
    shards,
)
from catkinpin.core import messages
from catkinpin.core.programs import sharding
from catkinpin.core.requests import splice
from catkinpin.exceptions import DivergedError, PeerLostError
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

# How long the entry tries to report an outcome to the shard's leader.
_FINISH_TIMEOUT_S = 30.0
_RETRY_AFTER_MS = 1_000
_REPORT_COPIES = 3
_REPORT_INTERVAL_S = 1.0
_MS_PER_S = 1000
# Beyond the deadline, wait this long for the leader's answer before the entry
# answers the caller itself.
_DEADLINE_GRACE_S = 0.25


@dataclasses.dataclass(frozen=True)
class CallRequest:
    """A caller's validated request.

    Attributes:
        begin: the message for the shard's leader; `ask` is set for each send.
        messages: canonical messages of a model call.
        is_resendable: whether the caller chose the request id. If so, another
            entry may have received the same request.
    """

    begin: messages.Begin
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    messages: list[bytes]
    is_resendable: bool = False


FinalReply = messages.Finished | messages.Refused


class RunningCall:
    """A call in progress, with the stream of its answer.

    Attributes:
        events: data of a model's stream; None follows once `final` is set.
        final: the final answer, once there is one.
        verdict: whether the request ran, as far as is known.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.events: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._now_s = now_s
        self._began_s = now_s()
        self._has_streamed = False
        self.final: FinalReply | None = None
        self.verdict = Verdict.NOT_RUN
        self._splicer = splice.StreamSplicer()
        self._diverged = False

    def start_attempt(self) -> None:
        """Prepares for another attempt, which repeats the answer."""
        self._splicer.restart()

    def feed(self, data: bytes) -> None:
        """Queues the part of a stream event that the caller lacks."""
        if self.final is not None or self._diverged:
            return
        try:
            unsent = self._splicer.feed(data)
        except DivergedError:
            self._diverged = True
            return
        if unsent is None:
            return
        if not self._has_streamed:
            self._has_streamed = True
            metrics.FIRST_TOKEN_SECONDS.observe(self._now_s() - self._began_s)
        self.events.put_nowait(unsent)

    def end(self, final: FinalReply) -> None:
        """Sets the final answer; the first one counts."""
        if self.final is not None:
            return
        if self._diverged and isinstance(final, messages.Finished):
            # The answer differs from the part that was already streamed. It is
            # stored, and a resent request gets all of it.
            text = (
                "the server was lost and the answer, generated anew, differs"
                " from the part already sent; send the request again with its"
                " Idempotency-Key to get the whole answer"
            )
            final = _refusal(Reason.ANSWER_CHANGED, text, Verdict.RAN)
        self.final = final
        self.events.put_nowait(None)

    async def next_events(self) -> list[bytes] | None:
        """Waits for events and returns all queued ones; None at the end."""
        first = await self.events.get()
        if first is None:
            return None
        queued_events = [first]
        while not self.events.empty():
            data = self.events.get_nowait()
            if data is None:
                self.events.put_nowait(None)
                break
            queued_events.append(data)
        return queued_events

    async def wait_final(self) -> FinalReply:
        """Drops the stream's events and returns the final answer."""
        while await self.next_events() is not None:
            pass
        assert self.final is not None
        return self.final


class Calls:
    """Runs callers' calls.

    A call continues to its end even if its caller disconnects.

    Attributes:
        running: calls without a final answer, by their task.
    """

    def __init__(
        self,
        replicas: shards.Replicas,
        dispatcher: dispatch.Dispatcher,
        relay: relays.RelayClient,
        shard_count: int,
    ) -> None:
        self._replicas = replicas
        self._dispatcher = dispatcher
        self._relay_client = relay
        self._shard_count = shard_count
        self._recovery_tasks: set[asyncio.Task[None]] = set()
        self.running: dict[asyncio.Task[None], CallRequest] = {}
        self._callers: dict[asyncio.Task[None], RunningCall] = {}

    def describe_running(self) -> list[str]:
        """Returns the programs and request ids of the running calls."""
        keys = [req.begin.key for req in self.running.values()]
        return [f"{key.program} {key.request_id}" for key in keys]

    def start(self, req: CallRequest) -> RunningCall:
        """Starts a call in a new task."""
        call = RunningCall(asyncio.get_running_loop().time)
        task = asyncio.create_task(self._run(req, call))
        self.running[task] = req
        self._callers[task] = call
        metrics.CALLS_IN_FLIGHT.set(len(self.running))
        task.add_done_callback(self._forget_task)
        return call

    def answer_running(self) -> None:
        """Answers callers whose calls a stop cuts; later grants aren't used."""
        for task, call in list(self._callers.items()):
            verdict = call.verdict
            if verdict is Verdict.NOT_RUN:
                task.cancel()
                if self.running[task].is_resendable:
                    verdict = Verdict.MAY_HAVE_RUN
            call.end(_refusal(Reason.STOPPING, "this host stops", verdict))

    def handle_recall(self, recall: messages.Recall) -> None:
        """Revokes a grant for the leader and reports what became of it.

        Reports nothing if the attempt is in progress here.
        """
        state = self._dispatcher.grants.recall(recall.attempt)
        if state is grants.GrantState.IN_USE:
            return
        not_run = state is grants.GrantState.REVOKED
        finish = messages.Finish(
            ask=0,
            key=recall.key,
            attempt=recall.attempt,
            verdict=Verdict.NOT_RUN if not_run else Verdict.MAY_HAVE_RUN,
            reason=Reason.NOT_READY if not_run else Reason.OUTCOME_UNKNOWN,
            text="the grant was taken back",
        )
        self._replicas.broadcast(finish)

    def recover(self, order: messages.Recover) -> None:
        """Recovers the outcome of an attempt whose entry is gone."""
        if self._dispatcher.grants.mark_used(order.attempt):
            task = asyncio.create_task(self._recover(order))
            self._recovery_tasks.add(task)
            task.add_done_callback(self._recovery_tasks.discard)

    async def _recover(self, order: messages.Recover) -> None:
        grant = messages.Granted(
            ask=0, key=order.key, attempt=order.attempt, server=order.server
        )
        req = outgoing.BackendRequest(
            kind="service",
            method="GET",
            path="",
            headers=[],
            body=b"",
            deadline_ms=order.deadline_ms,
            traceparent="",
        )
        finish = await self._dispatcher.recover(grant, req, 0, _ignore_event)
        await self.report_outcome(finish)
        self._dispatcher.grants.mark_over(order.attempt)

    async def report_outcome(self, finish: messages.Finish) -> None:
        """Reports an outcome that no caller waits for here to the leader.

        The message is not acknowledged, so it is sent `_REPORT_COPIES` times;
        the leader drops duplicates.
        """
        for _ in range(_REPORT_COPIES):
            self._replicas.broadcast(finish)
            await asyncio.sleep(_REPORT_INTERVAL_S)

    def _forget_task(self, task: asyncio.Task[None]) -> None:
        self.running.pop(task, None)
        self._callers.pop(task, None)
        metrics.CALLS_IN_FLIGHT.set(len(self.running))

    async def _run(self, req: CallRequest, call: RunningCall) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        # The caller gets an answer at the deadline, whatever the call still
        # waits for.
        deadline_timer = loop.call_later(
            req.begin.deadline_ms / _MS_PER_S + _DEADLINE_GRACE_S,
            lambda: call.end(
                _refusal(Reason.DEADLINE, "the deadline passed", call.verdict)
            ),
        )
        with tracing.span("call", req.begin.traceparent) as span:
            span.note("program", req.begin.key.program)
            span.note("request_id", req.begin.key.request_id)
            try:
                final = await self._run_attempts(req, call, span.traceparent)
            except Exception:
                log_fields = _log_fields(req, span.trace_id)
                log.exception("call failed", extra=log_fields)
                final = _refusal(
                    Reason.INTERNAL, "internal error", Verdict.MAY_HAVE_RUN
                )
            call.end(final)
            deadline_timer.cancel()
            self._record_end(req, call, span, loop.time() - began)

    def _record_end(
        self,
        req: CallRequest,
        call: RunningCall,
        span: tracing.Span,
        seconds: float,
    ) -> None:
        """Updates the metrics for an ended call, and logs a refusal."""
        final = call.final
        verdict = Verdict.RAN
        if isinstance(final, messages.Refused):
            verdict = final.verdict
            metrics.REFUSALS.labels(final.reason).inc()
            log.info(
                "call refused",
                extra={
                    **_log_fields(req, span.trace_id),
                    "reason": final.reason,
                    "verdict": verdict,
                    "text": final.text,
                },
            )
        span.note("verdict", verdict)
        metrics.CALLS.labels(req.begin.kind, verdict).inc()
        metrics.CALL_SECONDS.observe(seconds)

    async def _run_attempts(
        self, req: CallRequest, call: RunningCall, traceparent: str
    ) -> FinalReply:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + req.begin.deadline_ms / _MS_PER_S
        group = sharding.group_of(req.begin.key.program_key, self._shard_count)
        try:
            with tracing.span("begin", traceparent):
                reply = await self._begin(group, req, deadline)
            while isinstance(reply, messages.Granted):
                if self._dispatcher.grants.knows(reply.attempt):
                    # A duplicate of a grant that is in use: ask again, to get
                    # the outcome of its attempt.
                    metrics.DROPPED_ANSWERS.inc()
                    reply = await self._begin(group, req, deadline)
                    continue
                earlier_verdict = call.verdict
                call.verdict = Verdict.MAY_HAVE_RUN
                left_ms = int((deadline - loop.time()) * _MS_PER_S)
                try:
                    finish = await self._attempt(
                        reply, req, call, left_ms, traceparent
                    )
                except Exception:
                    # Without a report, the attempt would block its slot and
                    # the program's next call until the deadline.
                    log.exception("attempt failed", extra=_log_fields(req, ""))
                    text = "internal error"
                    finish = outcomes.may_have_run(reply, Reason.INTERNAL, text)
                call.verdict = max(
                    earlier_verdict, finish.verdict, key=_certainty
                )
                try:
                    with tracing.span("finish", traceparent):
                        reply = await self._finish(group, finish)
                finally:
                    self._dispatcher.grants.mark_over(finish.attempt)
        except PeerLostError as exc:
            text = "the shard's leader did not answer in time"
            if exc.sent and req.is_resendable:
                # Another entry may have received the same request, and the
                # leader may have granted it there.
                call.verdict = Verdict.MAY_HAVE_RUN
            return _refusal(Reason.NO_LEADER, text, call.verdict)
        final: FinalReply = reply
        return final

    async def _begin(
        self, group: str, req: CallRequest, deadline: float
    ) -> Any:
        loop = asyncio.get_running_loop()

        def make_message(ask: int) -> messages.Begin:
            left_ms = max(1, int((deadline - loop.time()) * _MS_PER_S))
            return msgspec.structs.replace(
                req.begin, ask=ask, deadline_ms=left_ms
            )

        return await self._replicas.ask(
            group, make_message, deadline - loop.time()
        )

    async def _finish(self, group: str, finish: messages.Finish) -> Any:
        def make_message(ask: int) -> messages.Finish:
            return msgspec.structs.replace(finish, ask=ask)

        return await self._replicas.ask(group, make_message, _FINISH_TIMEOUT_S)

    async def _attempt(
        self,
        grant: messages.Granted,
        req: CallRequest,
        call: RunningCall,
        left_ms: int,
        traceparent: str,
    ) -> messages.Finish:
        call.start_attempt()
        body = req.body
        digests = req.begin.digests
        known_count = grant.skip
        if grant.history:
            body = chat.with_messages(
                body, [*grant.history, *chat.raw_messages(body)]
            )
            digests = [*map(digest.of_bytes, grant.history), *digests]
            known_count = len(grant.history)
        request = outgoing.BackendRequest(
            kind=req.begin.kind,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=body,
            deadline_ms=max(1, left_ms),
            traceparent=traceparent,
        )
        history = relays.PromptDigests(digests, known_count)
        finish = await self._dispatch(grant, request, history, call.feed)
        metrics.ATTEMPTS.labels(finish.verdict).inc()
        if not finish.messages:
            return finish
        new = req.messages[grant.skip :]
        return msgspec.structs.replace(
            finish, messages=[*new, *finish.messages]
        )

    async def _dispatch(
        self,
        grant: messages.Granted,
        req: outgoing.BackendRequest,
        history: relays.PromptDigests,
        on_data: Callable[[bytes], None],
    ) -> messages.Finish:
        refused = self._dispatcher.use_grant(grant)
        if refused is not None:
            return refused
        if grant.dispatcher:
            return await self._relay_client.dispatch(
                grant, req, history, on_data
            )
        return await self._dispatcher.dispatch(grant, req, on_data)


def _refusal(reason: Reason, text: str, verdict: Verdict) -> messages.Refused:
    return messages.Refused(
        ask=0,
        reason=reason,
        text=text,
        verdict=verdict,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _ignore_event(data: bytes) -> None:
    """Ignores an event of an attempt whose caller is not connected here."""


def _certainty(verdict: Verdict) -> int:
    """Returns the rank of a verdict, from not run to ran."""
    return (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN).index(verdict)


def _log_fields(req: CallRequest, trace_id: str) -> dict[str, str]:
    key = req.begin.key
    return {
        "trace_id": trace_id,
        "account": key.account,
        "program": key.program,
        "call": key.request_id,
    }
