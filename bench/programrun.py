"""Simulated clients: a program, and each call that it makes."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from bench.cache import Segment
from bench.engine import Request
from catkinpin.core import messages
from catkinpin.core.placement import jobs

if TYPE_CHECKING:
    from bench.workloads import Script, Step
    from bench.world import World

ACCOUNT = "user"
_CLIENT_DELAY_MS = 3.0
# Sizes on the link: prompt text is compressed; each streamed token is sent in
# a frame of its own.
_BYTES_PER_TOKEN = 1.6
_BYTES_PER_STREAMED_TOKEN = 30
_MESSAGE_OVERHEAD_BYTES = 700
_MAX_TOKENS = 1_024


class ProgramRun:
    """A running program, which makes its calls one after another.

    Attributes:
        own_segments: segments that this program added to the context.
    """

    def __init__(
        self,
        world: World,
        script: Script,
        context: list[Segment],
        parent: ProgramRun | None,
    ) -> None:
        self.script = script
        self.parent = parent
        self.key = messages.ProgramKey(account=ACCOUNT, program=script.program)
        self.started_ms = world.events.now_ms
        self.own_segments: list[Segment] = []
        self._world = world
        self._context = context
        self._next_step = 0
        self._turns = 0
        self._attained_tokens = 0
        self._last_server: str = (
            parent._last_server if parent is not None else ""
        )
        self._regions_with_context = {script.domain.region}
        if parent is not None:
            self._regions_with_context |= parent._regions_with_context
        self._pending_count = 0

    def start(self) -> None:
        """Registers the program and makes its first call."""
        self._world.add_run(self)
        self._start_next_call()

    def _start_next_call(self) -> None:
        if self._next_step == len(self.script.steps):
            self._world.end_run(self)
            if self.parent is not None:
                self.parent._finish_pending()
            return
        step = self.script.steps[self._next_step]
        world = self._world
        call = _CallRun(world, self, step)
        world.events.schedule(
            _CLIENT_DELAY_MS,
            lambda: world.send(
                self.script.domain,
                world.leader_domain,
                _MESSAGE_OVERHEAD_BYTES,
                call.submit,
            ),
        )

    def handle_answer(self, step: Step, server: str) -> None:
        """Starts the pause and the sub-agents that follow an answer."""
        self._next_step += 1
        if step.target == self._world.plan.workload.model:
            self._turns += 1
            self._attained_tokens += step.new_tokens + step.work
            self._last_server = server
        self._pending_count = 1 + len(step.children)
        self._world.events.schedule(step.pause_ms, self._finish_pending)
        for child in step.children:
            ProgramRun(self._world, child, list(self._context), self).start()

    def _finish_pending(self) -> None:
        self._pending_count -= 1
        if self._pending_count == 0:
            self._start_next_call()

    def make_job(
        self, call: _CallRun, failed_servers: tuple[str, ...]
    ) -> jobs.Job:
        """Returns the job that the leader's scheduler gets for a call."""
        step = call.step
        is_model_call = step.target == self._world.plan.workload.model
        history_tokens = sum(segment.tokens for segment in self._context)
        shared_tokens = history_tokens - sum(
            segment.tokens for segment in self.own_segments
        )
        return jobs.Job(
            key=call.key,
            kind="model" if is_model_call else "service",
            target=step.target,
            prompt_tokens=history_tokens + step.new_tokens
            if is_model_call
            else 0,
            history_tokens=history_tokens if is_model_call else 0,
            max_tokens=_MAX_TOKENS if is_model_call else 0,
            turns=self._turns,
            attained_tokens=self._attained_tokens,
            region=self.script.domain.region,
            last_server=self._last_server,
            deadline_ms=round(call.started_ms) + self.script.deadline_ms,
            excluded_servers=failed_servers,
            interactive=self.script.interactive,
            parent=self.parent.script.program if self.parent else "",
            shared_tokens=shared_tokens,
            is_allowed=self._world.is_allowed,
        )

    def context_with(self, segment: Segment) -> list[Segment]:
        """Returns the context followed by a call's new segment."""
        return [*self._context, segment]

    def append_segment(self, segment: Segment) -> None:
        """Appends the segment of an answered turn to the context."""
        self.own_segments.append(segment)
        self._context.append(segment)

    def mark_sent(self, region: str) -> int:
        """Marks the context as sent to a region.

        Returns:
            The number of context tokens that must be sent, 0 if the region
            has been marked before.
        """
        if region in self._regions_with_context:
            return 0
        self._regions_with_context.add(region)
        return sum(segment.tokens for segment in self._context)


class _CallRun:
    """A call, from the client's request to the end of the answer."""

    def __init__(self, world: World, run: ProgramRun, step: Step) -> None:
        self.step = step
        self.started_ms = world.events.now_ms
        request_id = f"{run._next_step}"
        self.key = messages.CallKey(
            account=ACCOUNT, program=run.script.program, request_id=request_id
        )
        self._world = world
        self._run = run
        self._failed_servers: tuple[str, ...] = ()
        self._is_model_call = step.target == world.plan.workload.model
        self._segment = Segment(run.script.program, step.new_tokens)

    def submit(self) -> None:
        """Submits the call to the leader."""
        self._world.submit(
            self._run.make_job(self, self._failed_servers),
            self._handle_decision,
        )

    def _handle_decision(self, decision: jobs.Decision) -> None:
        if isinstance(decision, jobs.Reject):
            self._world.outcome.refused += 1
            self._failed_servers = ()
            delay_ms = max(100, decision.retry_after_ms)
            self._world.events.schedule(delay_ms, self.submit)
            return
        server = decision.server.report.server
        server_domain = self._world.domain_of(server)
        client_domain = self._run.script.domain
        size_bytes = _MESSAGE_OVERHEAD_BYTES
        if client_domain.region != server_domain.region and self._is_model_call:
            tokens = self.step.new_tokens + self._run.mark_sent(
                server_domain.region
            )
            size_bytes += round(tokens * _BYTES_PER_TOKEN)
        self._world.send(
            self._world.leader_domain,
            client_domain,
            _MESSAGE_OVERHEAD_BYTES,
            lambda: self._world.send(
                client_domain,
                server_domain,
                size_bytes,
                lambda: self._dispatch(server),
            ),
        )

    def _dispatch(self, server: str) -> None:
        segments = (
            self._run.context_with(self._segment) if self._is_model_call else []
        )
        req = Request(
            segments,
            float(self.step.work),
            lambda ran: self._handle_result(server, req, ran),
        )
        self._world.backends[server].submit(req)

    def _handle_result(self, server: str, req: Request, ran: bool) -> None:
        server_domain = self._world.domain_of(server)
        client_domain = self._run.script.domain
        size_bytes = _MESSAGE_OVERHEAD_BYTES
        usage = messages.Usage()
        if ran and self._is_model_call:
            size_bytes += self.step.work * _BYTES_PER_STREAMED_TOKEN
            self._run.append_segment(self._segment)
            context = sum(segment.tokens for segment in req.segments)
            usage = messages.Usage(
                prompt_tokens=context - self.step.work,
                completion_tokens=self.step.work,
                cached_tokens=req.cached_tokens,
            )
        self._world.send(
            server_domain,
            client_domain,
            size_bytes,
            lambda: self._world.send(
                client_domain,
                self._world.leader_domain,
                _MESSAGE_OVERHEAD_BYTES,
                lambda: self._end_attempt(server, ran, usage),
            ),
        )

    def _end_attempt(
        self, server: str, ran: bool, usage: messages.Usage
    ) -> None:
        self._world.end_attempt(self.key, usage)
        if not ran and self.step.idempotent:
            self._failed_servers = (*self._failed_servers, server)
            self.submit()
            return
        if not ran:
            # The client is told that the outcome of a non-idempotent call is
            # unknown; the call isn't retried.
            self._world.outcome.unknown += 1
        latency_ms = self._world.events.now_ms - self.started_ms
        if latency_ms > self._run.script.deadline_ms:
            self._world.outcome.late_calls += 1
        deliver = functools.partial(self._run.handle_answer, self.step, server)
        self._world.send(
            self._world.leader_domain,
            self._run.script.domain,
            _MESSAGE_OVERHEAD_BYTES,
            lambda: self._world.events.schedule(_CLIENT_DELAY_MS, deliver),
        )
