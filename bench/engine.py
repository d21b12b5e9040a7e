"""Simulated model engine and application server on a simulated clock."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING

from bench.cache import CacheWaste, PrefixCache, Segment

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.events import EventLoop


@dataclasses.dataclass(frozen=True)
class EngineSpec:
    """Capacity and speed of a simulated model engine.

    Attributes:
        slots: maximum number of requests that run at the same time.
        cache_tokens: capacity of the prefix cache.
        prefill_tokens_per_ms: prefill speed.
        base_interval_ms: constant part of the time between two tokens.
        interval_per_request_ms: time that each running request adds.
    """

    slots: int
    cache_tokens: int
    prefill_tokens_per_ms: float = 12.0
    base_interval_ms: float = 12.0
    interval_per_request_ms: float = 0.35

    def token_interval_ms(self, running: int) -> float:
        """Returns the time between two tokens while `running` requests run."""
        return self.base_interval_ms + self.interval_per_request_ms * running


# Share of the engine's time that prefill gets while requests also decode.
_PREFILL_TIME_SHARE = 0.6


@dataclasses.dataclass(eq=False)
class Request:
    """A request that a simulated server runs or queues.

    Attributes:
        segments: the context; the last segment belongs to this turn.
        work: tokens to generate, or milliseconds of a service's work.
        on_done: callback; its argument tells whether the server answered.
        prefill_tokens: tokens still to compute before decoding can start.
        cached_tokens: context tokens found in the cache at the start.
    """

    segments: list[Segment]
    work: float
    on_done: Callable[[bool], None]
    prefill_tokens: float = 0.0
    cached_tokens: int = 0


class Engine:
    """Simulates continuous batching.

    Requests are prefilled one after another and decoded in parallel.
    """

    def __init__(
        self, events: EventLoop, spec: EngineSpec, waste: CacheWaste
    ) -> None:
        self.spec = spec
        self.cache = PrefixCache(spec.cache_tokens, waste)
        self.failed = False
        self._events = events
        self._queue: list[Request] = []
        self._prefills: list[Request] = []
        # Tokens generated per decoding request since the start. A request in
        # `_decodes` ends when this count reaches its first tuple element.
        self._decoded_tokens = 0.0
        self._decodes: list[tuple[float, int, Request]] = []
        self._sequence = itertools.count()
        self._updated_ms = 0.0
        self._wakeup_number = 0

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._prefills) + len(self._decodes)

    @property
    def waiting(self) -> int:
        """Number of requests in the engine's queue."""
        return len(self._queue)

    def submit(self, req: Request) -> None:
        """Queues a request, or fails it if the server has failed."""
        if self.failed:
            req.on_done(False)
            return
        self._update_progress()
        self._queue.append(req)
        self._start_queued()

    def fail(self) -> None:
        """Marks the server as failed and fails all its requests."""
        self.failed = True
        unfinished = [*self._queue, *self._prefills]
        unfinished += [req for _, _, req in self._decodes]
        self._queue, self._prefills, self._decodes = [], [], []
        for req in unfinished:
            req.on_done(False)

    def _update_progress(self) -> None:
        elapsed_ms = self._events.now_ms - self._updated_ms
        self._updated_ms = self._events.now_ms
        prefill_share, decode_share = self._time_shares()
        if self._prefills:
            current = self._prefills[0]
            current.prefill_tokens -= (
                elapsed_ms * prefill_share * self.spec.prefill_tokens_per_ms
            )
        if self._decodes:
            self._decoded_tokens += (
                elapsed_ms
                * decode_share
                / self.spec.token_interval_ms(self.running)
            )

    def _time_shares(self) -> tuple[float, float]:
        if not self._prefills:
            return 0.0, 1.0
        if not self._decodes:
            return 1.0, 0.0
        return _PREFILL_TIME_SHARE, 1.0 - _PREFILL_TIME_SHARE

    def _start_queued(self) -> None:
        """Starts queued requests that fit and schedules the next wakeup."""
        while self._queue and self.running < self.spec.slots:
            req = self._queue[0]
            tokens = self.cache.admit(req.segments, round(req.work))
            if tokens is None:
                break
            req.prefill_tokens = tokens
            context_tokens = sum(segment.tokens for segment in req.segments)
            req.cached_tokens = context_tokens - tokens
            self._prefills.append(req)
            del self._queue[0]
        self._wakeup_number += 1
        wakeup_number = self._wakeup_number
        if (delay_ms := self._next_change_delay_ms()) is not None:
            self._events.schedule(
                delay_ms, lambda: self._handle_wakeup(wakeup_number)
            )

    def _next_change_delay_ms(self) -> float | None:
        prefill_share, decode_share = self._time_shares()
        delays_ms = []
        if self._prefills:
            rate = prefill_share * self.spec.prefill_tokens_per_ms
            delays_ms.append(max(0.0, self._prefills[0].prefill_tokens / rate))
        if self._decodes:
            remaining_tokens = max(
                0.0, self._decodes[0][0] - self._decoded_tokens
            )
            delays_ms.append(
                remaining_tokens
                * self.spec.token_interval_ms(self.running)
                / decode_share
            )
        return min(delays_ms, default=None)

    def _handle_wakeup(self, wakeup_number: int) -> None:
        if wakeup_number != self._wakeup_number or self.failed:
            return
        self._update_progress()
        if self._prefills and self._prefills[0].prefill_tokens <= 1e-6:
            req = self._prefills.pop(0)
            end = (self._decoded_tokens + req.work, next(self._sequence), req)
            heapq.heappush(self._decodes, end)
        finished = []
        while (
            self._decodes and self._decodes[0][0] <= self._decoded_tokens + 1e-6
        ):
            req = heapq.heappop(self._decodes)[2]
            self.cache.finish(req.segments, round(req.work))
            req.segments[-1].tokens += round(req.work)
            finished.append(req)
        self._start_queued()
        for req in finished:
            req.on_done(True)


class Service:
    """Simulates a service with a fixed number of workers and a queue."""

    def __init__(self, events: EventLoop, slots: int) -> None:
        self.slots = slots
        self.failed = False
        self._events = events
        self._running: list[Request] = []
        self._queue: list[Request] = []

    @property
    def running(self) -> int:
        """Number of requests that hold a worker."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a worker."""
        return len(self._queue)

    def submit(self, req: Request) -> None:
        """Runs or queues a request, or fails it if the server has failed."""
        if self.failed:
            req.on_done(False)
        elif len(self._running) < self.slots:
            self._start(req)
        else:
            self._queue.append(req)

    def fail(self) -> None:
        """Marks the server as failed and fails all its requests."""
        self.failed = True
        unfinished = self._running + self._queue
        self._running, self._queue = [], []
        for req in unfinished:
            req.on_done(False)

    def _start(self, req: Request) -> None:
        self._running.append(req)
        self._events.schedule(req.work, lambda: self._finish(req))

    def _finish(self, req: Request) -> None:
        if req not in self._running:
            return
        self._running.remove(req)
        if self._queue:
            self._start(self._queue.pop(0))
        req.on_done(True)
