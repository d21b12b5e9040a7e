"""A call at the caller's entry: begin, dispatch, finish."""

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

# How long the outcome of a dispatch is offered to the shard's leader.
_FINISH_TIMEOUT_S = 30.0
_RETRY_AFTER_MS = 1_000
_REPORTS = 3
_REPORT_RETRY_S = 1.0
_MS_PER_S = 1000
# At the deadline the leader's own answer is given this time to come first.
_DEADLINE_GRACE_S = 0.25


@dataclasses.dataclass(frozen=True)
class CallRequest:
    """A caller's validated request.

    Attributes:
        begin: what the shard's leader gets; `ask` is set at each sending.
        messages: canonical messages of a model call.
        resendable: whether the caller chose the request id, so that another
            entry may have got the same request.
    """

    begin: messages.Begin
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    messages: list[bytes]
    resendable: bool = False


Final = messages.Finished | messages.Refused


class RunningCall:
    """A call under way, and what its caller can already have.

    Attributes:
        events: data of a model's stream, then None when `final` is set.
        verdict: what is known so far of whether the request ran.
    """

    def __init__(self, now_s: Callable[[], float]) -> None:
        self.events: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._now_s = now_s
        self._began_s = now_s()
        self._streams = False
        self.final: Final | None = None
        self.verdict = Verdict.NOT_RUN
        self._splice = splice.StreamSplicer()
        self._diverged = False

    def start_attempt(self) -> None:
        """Notes that another attempt answers from the start."""
        self._splice.restart()

    def feed(self, data: bytes) -> None:
        """Passes on what is new of an event of the answer's stream."""
        if self.final is not None or self._diverged:
            return
        try:
            fresh = self._splice.feed(data)
        except DivergedError:
            self._diverged = True
            return
        if fresh is None:
            return
        if not self._streams:
            self._streams = True
            metrics.FIRST_TOKEN.observe(self._now_s() - self._began_s)
        self.events.put_nowait(fresh)

    def end(self, final: Final) -> None:
        """Sets the final answer; the first one counts."""
        if self.final is not None:
            return
        if self._diverged and isinstance(final, messages.Finished):
            # What the caller has does not begin this answer. The whole of it
            # is stored; it comes with the same request sent again.
            text = (
                "the server was lost and the answer, generated anew, differs"
                " from the part already sent; send the request again with its"
                " Idempotency-Key to get the whole answer"
            )
            final = _refusal(Reason.ANSWER_CHANGED, text, Verdict.RAN)
        self.final = final
        self.events.put_nowait(None)

    async def ready(self) -> list[bytes] | None:
        """Waits for events and returns all there are; None after the last."""
        first = await self.events.get()
        if first is None:
            return None
        found = [first]
        while not self.events.empty():
            data = self.events.get_nowait()
            if data is None:
                self.events.put_nowait(None)
                break
            found.append(data)
        return found

    async def wait(self) -> Final:
        """Returns the final answer, dropping the stream."""
        while await self.ready() is not None:
            pass
        assert self.final is not None
        return self.final


class Calls:
    """Runs callers' calls; one that lost its caller still runs to its end.

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
        self._relay = relay
        self._shard_count = shard_count
        self._recovering: set[asyncio.Task[None]] = set()
        self.running: dict[asyncio.Task[None], CallRequest] = {}

    def waits_for(self) -> list[str]:
        """Returns the programs and request ids of calls under way."""
        keys = [req.begin.key for req in self.running.values()]
        return [f"{key.program} {key.request_id}" for key in keys]

    def start(self, req: CallRequest) -> RunningCall:
        """Starts a call in a task of its own."""
        call = RunningCall(asyncio.get_running_loop().time)
        task = asyncio.create_task(self._run(req, call))
        self.running[task] = req
        metrics.IN_FLIGHT.set(len(self.running))
        task.add_done_callback(self._done)
        return call

    def recalled(self, recall: messages.Recall) -> None:
        """Answers a leader that takes a grant back."""
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
        """Finds out what became of an attempt whose own entry is gone."""
        if self._dispatcher.grants.mark_used(order.attempt):
            task = asyncio.create_task(self._recover(order))
            self._recovering.add(task)
            task.add_done_callback(self._recovering.discard)

    async def _recover(self, order: messages.Recover) -> None:
        grant = messages.Granted(
            ask=0, key=order.key, attempt=order.attempt, server=order.server
        )
        req = outgoing.Outgoing(
            kind="service",
            method="GET",
            path="",
            headers=[],
            body=b"",
            deadline_ms=order.deadline_ms,
            traceparent="",
        )
        finish = await self._dispatcher.recover(grant, req, 0, _drop)
        await self.report(finish)
        self._dispatcher.grants.mark_over(order.attempt)

    async def report(self, finish: messages.Finish) -> None:
        """Takes to the leader an outcome that no caller waits for here.

        Nothing confirms it, so it is sent a few times; a leader that has it
        already drops it.
        """
        for _ in range(_REPORTS):
            self._replicas.broadcast(finish)
            await asyncio.sleep(_REPORT_RETRY_S)

    def _done(self, task: asyncio.Task[None]) -> None:
        self.running.pop(task, None)
        metrics.IN_FLIGHT.set(len(self.running))

    async def _run(self, req: CallRequest, call: RunningCall) -> None:
        loop = asyncio.get_running_loop()
        began = loop.time()
        # Whatever this process still waits for, at the deadline the caller
        # gets its answer.
        timer = loop.call_later(
            req.begin.deadline_ms / _MS_PER_S + _DEADLINE_GRACE_S,
            lambda: call.end(
                _refusal(Reason.DEADLINE, "the deadline passed", call.verdict)
            ),
        )
        with tracing.hop("call", req.begin.traceparent) as hop:
            hop.note("program", req.begin.key.program)
            hop.note("request_id", req.begin.key.request_id)
            try:
                final = await self._to_the_end(req, call, hop.traceparent)
            except Exception:
                fields = _log_fields(req, hop.trace_id)
                log.exception("call failed", extra=fields)
                final = _refusal(
                    Reason.INTERNAL, "internal error", Verdict.MAY_HAVE_RUN
                )
            call.end(final)
            timer.cancel()
            self._account(req, call, hop, loop.time() - began)

    def _account(
        self,
        req: CallRequest,
        call: RunningCall,
        hop: tracing.Hop,
        seconds: float,
    ) -> None:
        """Counts a call that has ended, and logs one that was refused."""
        final = call.final
        verdict = Verdict.RAN
        if isinstance(final, messages.Refused):
            verdict = final.verdict
            metrics.REFUSALS.labels(final.reason).inc()
            log.info(
                "call refused",
                extra={
                    **_log_fields(req, hop.trace_id),
                    "reason": final.reason,
                    "verdict": verdict,
                    "text": final.text,
                },
            )
        hop.note("verdict", verdict)
        metrics.CALLS.labels(req.begin.kind, verdict).inc()
        metrics.CALL_SECONDS.observe(seconds)

    async def _to_the_end(
        self, req: CallRequest, call: RunningCall, traceparent: str
    ) -> Final:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + req.begin.deadline_ms / _MS_PER_S
        group = sharding.group_of(req.begin.key.program_key, self._shard_count)
        try:
            with tracing.hop("begin", traceparent):
                reply = await self._begin(group, req, deadline)
            while isinstance(reply, messages.Granted):
                if self._dispatcher.grants.knows(reply.attempt):
                    # A copy of a grant under way: attach to its outcome.
                    metrics.DROPPED_ANSWERS.inc()
                    reply = await self._begin(group, req, deadline)
                    continue
                before = call.verdict
                call.verdict = Verdict.MAY_HAVE_RUN
                left_ms = int((deadline - loop.time()) * _MS_PER_S)
                try:
                    finish = await self._attempt(
                        reply, req, call, left_ms, traceparent
                    )
                except Exception:
                    # Unreported, the attempt would hold its server's place
                    # and the program's next call until the deadline.
                    log.exception("attempt failed", extra=_log_fields(req, ""))
                    text = "internal error"
                    finish = outcomes.failed(reply, Reason.INTERNAL, text)
                call.verdict = max(before, finish.verdict, key=_certainty)
                try:
                    with tracing.hop("finish", traceparent):
                        reply = await self._finish(group, finish)
                finally:
                    self._dispatcher.grants.mark_over(finish.attempt)
        except PeerLostError as exc:
            text = "the shard's leader did not answer in time"
            if exc.sent and req.resendable:
                # The leader may have granted this request to another entry
                # that got it too.
                call.verdict = Verdict.MAY_HAVE_RUN
            return _refusal(Reason.NO_LEADER, text, call.verdict)
        final: Final = reply
        return final

    async def _begin(
        self, group: str, req: CallRequest, deadline: float
    ) -> Any:
        loop = asyncio.get_running_loop()

        def make(ask: int) -> messages.Begin:
            left_ms = max(1, int((deadline - loop.time()) * _MS_PER_S))
            return msgspec.structs.replace(
                req.begin, ask=ask, deadline_ms=left_ms
            )

        return await self._replicas.ask(group, make, deadline - loop.time())

    async def _finish(self, group: str, finish: messages.Finish) -> Any:
        def make(ask: int) -> messages.Finish:
            return msgspec.structs.replace(finish, ask=ask)

        return await self._replicas.ask(group, make, _FINISH_TIMEOUT_S)

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
        known = grant.skip
        if grant.history:
            body = chat.with_messages(
                body, [*grant.history, *chat.raw_messages(body)]
            )
            digests = [*map(digest.of_bytes, grant.history), *digests]
            known = len(grant.history)
        request = outgoing.Outgoing(
            kind=req.begin.kind,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=body,
            deadline_ms=max(1, left_ms),
            traceparent=traceparent,
        )
        history = relays.History(digests, known)
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
        req: outgoing.Outgoing,
        history: relays.History,
        on_data: Callable[[bytes], None],
    ) -> messages.Finish:
        refused = self._dispatcher.use(grant)
        if refused is not None:
            return refused
        if grant.dispatcher:
            return await self._relay.dispatch(grant, req, history, on_data)
        return await self._dispatcher.dispatch(grant, req, on_data)


def _refusal(reason: Reason, text: str, verdict: Verdict) -> messages.Refused:
    return messages.Refused(
        ask=0,
        reason=reason,
        text=text,
        verdict=verdict,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _drop(data: bytes) -> None:
    """Takes an event that nobody wants."""


def _certainty(verdict: Verdict) -> int:
    """Orders verdicts by how much a request may have done."""
    return (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN).index(verdict)


def _log_fields(req: CallRequest, trace_id: str) -> dict[str, str]:
    key = req.begin.key
    return {
        "trace_id": trace_id,
        "account": key.account,
        "program": key.program,
        "call": key.request_id,
    }
