"""The life of a call at the caller's entry: begin, dispatch, finish."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import metrics, tracing
from catkinpin.adapters import dispatch, grants, peers, shards
from catkinpin.core import messages, routing
from catkinpin.exceptions import PeerLostError
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

# How long the outcome of a dispatch is offered to the shard's leader.
_FINISH_TIMEOUT_S = 30.0
_RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True)
class CallRequest:
    """A caller's validated request.

    Attributes:
        begin: what the shard's leader gets; `ask` is set at each sending.
        messages: canonical messages of a model call.
    """

    begin: messages.Begin
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    messages: list[bytes]


Final = messages.Finished | messages.Refused


class RunningCall:
    """A call under way, and what its caller can already have.

    Attributes:
        events: data of a model's stream, then None when `final` is set.
    """

    def __init__(self) -> None:
        self.events: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.final: Final | None = None

    def end(self, final: Final) -> None:
        """Sets the final answer."""
        self.final = final
        self.events.put_nowait(None)

    async def wait(self) -> Final:
        """Returns the final answer, dropping the stream."""
        while await self.events.get() is not None:
            pass
        assert self.final is not None
        return self.final


class Calls:
    """Runs callers' calls; one that lost its caller still runs to its end.

    Attributes:
        running: calls without a final answer.
    """

    def __init__(
        self,
        replicas: shards.Replicas,
        dispatcher: dispatch.Dispatcher,
        shard_count: int,
        link_to: Callable[[str], peers.PeerLink],
    ) -> None:
        self._replicas = replicas
        self._dispatcher = dispatcher
        self._shard_count = shard_count
        self._link_to = link_to
        self._relayed: dict[int, Callable[[bytes], None]] = {}
        self._grants = grants.Grants()
        self.running: set[asyncio.Task[None]] = set()

    def start(self, req: CallRequest) -> RunningCall:
        """Starts a call in a task of its own."""
        call = RunningCall()
        task = asyncio.create_task(self._run(req, call))
        self.running.add(task)
        metrics.IN_FLIGHT.set(len(self.running))
        task.add_done_callback(self._done)
        return call

    def relayed_chunk(self, chunk: messages.Chunk) -> None:
        """Takes part of an answer that another entry streams to us."""
        on_data = self._relayed.get(chunk.ask)
        if on_data is None:
            metrics.DROPPED_ANSWERS.inc()
            return
        on_data(chunk.data)

    def recalled(self, recall: messages.Recall) -> None:
        """Answers a leader that takes a grant back."""
        state = self._grants.recall(recall.attempt)
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

    def _done(self, task: asyncio.Task[None]) -> None:
        self.running.discard(task)
        metrics.IN_FLIGHT.set(len(self.running))

    async def _run(self, req: CallRequest, call: RunningCall) -> None:
        with tracing.hop("call", req.begin.traceparent) as hop:
            hop.note("program", req.begin.key.program)
            hop.note("request_id", req.begin.key.request_id)
            try:
                final = await self._to_the_end(req, call, hop.traceparent)
            except Exception:
                log.exception("call failed", extra=_log_fields(req))
                final = _refusal(
                    Reason.INTERNAL, "internal error", Verdict.MAY_HAVE_RUN
                )
        if isinstance(final, messages.Refused):
            metrics.REFUSALS.labels(final.reason).inc()
            verdict = final.verdict
        else:
            verdict = Verdict.RAN
        metrics.CALLS.labels(req.begin.kind, verdict).inc()
        call.end(final)

    async def _to_the_end(
        self, req: CallRequest, call: RunningCall, traceparent: str
    ) -> Final:
        loop = asyncio.get_running_loop()
        deadline = loop.time() + req.begin.deadline_ms / 1000
        group = routing.group_of(req.begin.key.program_key, self._shard_count)
        verdict = Verdict.NOT_RUN
        try:
            with tracing.hop("begin", traceparent):
                reply = await self._begin(group, req, deadline)
            while isinstance(reply, messages.Granted):
                if not self._grants.use(reply.attempt):
                    reply = await self._begin(group, req, deadline)
                    continue
                verdict = Verdict.MAY_HAVE_RUN
                left_ms = int((deadline - loop.time()) * 1000)
                finish = await self._attempt(
                    reply, req, call, left_ms, traceparent
                )
                verdict = finish.verdict
                try:
                    with tracing.hop("finish", traceparent):
                        reply = await self._finish(group, finish)
                finally:
                    self._grants.over(finish.attempt)
        except PeerLostError:
            text = "the shard's leader did not answer in time"
            return _refusal(Reason.NO_LEADER, text, verdict)
        final: Final = reply
        return final

    async def _begin(
        self, group: str, req: CallRequest, deadline: float
    ) -> Any:
        loop = asyncio.get_running_loop()

        def make(ask: int) -> messages.Begin:
            left_ms = max(1, int((deadline - loop.time()) * 1000))
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
        outgoing = dispatch.Outgoing(
            kind=req.begin.kind,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body,
            deadline_ms=left_ms,
            traceparent=traceparent,
        )
        on_data = call.events.put_nowait
        if grant.dispatcher:
            finish = await self._relay(grant, outgoing, on_data)
        else:
            finish = await self._dispatcher.dispatch(grant, outgoing, on_data)
        metrics.ATTEMPTS.labels(finish.verdict).inc()
        if finish.answer is None or req.begin.kind != "model":
            return finish
        new = req.messages[grant.skip :]
        return msgspec.structs.replace(
            finish, messages=[*new, *finish.messages]
        )

    async def _relay(
        self,
        grant: messages.Granted,
        req: dispatch.Outgoing,
        on_data: Callable[[bytes], None],
    ) -> messages.Finish:
        """Has the call dispatched by an entry in the server's region."""
        link = self._link_to(grant.dispatcher)
        ask = peers.next_ask()
        message = messages.Dispatch(
            ask=ask,
            grant=grant,
            kind=req.kind,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=req.body,
            deadline_ms=req.deadline_ms,
            traceparent=req.traceparent,
        )
        self._relayed[ask] = on_data
        sent = False
        try:
            async with asyncio.timeout(req.deadline_ms / 1000):
                await link.connected.wait()
                sent = True
                reply = await link.ask(message, req.deadline_ms / 1000)
                finish: messages.Finish = reply.finish
                return finish
        except (PeerLostError, TimeoutError):
            verdict = Verdict.MAY_HAVE_RUN if sent else Verdict.NOT_RUN
            return messages.Finish(
                ask=0,
                key=grant.key,
                attempt=grant.attempt,
                verdict=verdict,
                reason=Reason.SERVER_FAILED,
                text="the entry in the server's region was lost",
            )
        finally:
            del self._relayed[ask]


def _refusal(reason: Reason, text: str, verdict: Verdict) -> messages.Refused:
    return messages.Refused(
        ask=0,
        reason=reason,
        text=text,
        verdict=verdict,
        retry_after_ms=_RETRY_AFTER_MS,
    )


def _log_fields(req: CallRequest) -> dict[str, str]:
    key = req.begin.key
    return {
        "account": key.account,
        "program": key.program,
        "call": key.request_id,
        "traceparent": req.begin.traceparent,
    }
