"""Fakes of a model engine and of a plain service under a stepped clock."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING

from bench.cache import PrefixCache, Segment, Waste

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench.events import Events


@dataclasses.dataclass(frozen=True)
class EngineShape:
    """How fast a model engine is.

    Attributes:
        slots: requests decoded together.
        cache_tokens: size of the prefix cache.
        prefill_per_ms: tokens computed in a millisecond.
        gap_ms: time between tokens of a lone request.
        gap_per_request_ms: what each further request adds to it.
    """

    slots: int
    cache_tokens: int
    prefill_per_ms: float = 12.0
    gap_ms: float = 12.0
    gap_per_request_ms: float = 0.35

    def gap(self, running: int) -> float:
        """Returns the time between tokens of each of `running` requests."""
        return self.gap_ms + self.gap_per_request_ms * running


# While some requests are prefilled, this part of the time goes to them.
_PREFILL_SHARE = 0.6


@dataclasses.dataclass(eq=False)
class Request:
    """A request aboard a server.

    Attributes:
        chain: the context; the last segment is this turn's.
        work: tokens to generate, or milliseconds of a service's work.
        done: called with whether the server answered.
        cached_tokens: what the cache held of the context, once it started.
    """

    chain: list[Segment]
    work: float
    done: Callable[[bool], None]
    prefill: float = 0.0
    cached_tokens: int = 0


class Engine:
    """Continuous batching, prefill one by one, decode side by side."""

    def __init__(
        self, events: Events, shape: EngineShape, waste: Waste
    ) -> None:
        self.shape = shape
        self.cache = PrefixCache(shape.cache_tokens, waste)
        self.lost = False
        self._events = events
        self._queue: list[Request] = []
        self._prefills: list[Request] = []
        # Each decoding request ends when this many tokens have passed.
        self._passed = 0.0
        self._decodes: list[tuple[float, int, Request]] = []
        self._order = itertools.count()
        self._updated_ms = 0.0
        self._wakeup = 0

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return len(self._prefills) + len(self._decodes)

    @property
    def waiting(self) -> int:
        """Requests in the engine's own queue."""
        return len(self._queue)

    def submit(self, req: Request) -> None:
        """Takes a request."""
        if self.lost:
            req.done(False)
            return
        self._advance()
        self._queue.append(req)
        self._plan()

    def lose(self) -> None:
        """Dies with all that it holds."""
        self.lost = True
        aboard = [*self._queue, *self._prefills]
        aboard += [req for _, _, req in self._decodes]
        self._queue, self._prefills, self._decodes = [], [], []
        for req in aboard:
            req.done(False)

    def _advance(self) -> None:
        passed = self._events.now_ms - self._updated_ms
        self._updated_ms = self._events.now_ms
        prefill, decode = self._shares()
        if self._prefills:
            head = self._prefills[0]
            head.prefill -= passed * prefill * self.shape.prefill_per_ms
        if self._decodes:
            self._passed += passed * decode / self.shape.gap(self.running)

    def _shares(self) -> tuple[float, float]:
        if not self._prefills:
            return 0.0, 1.0
        if not self._decodes:
            return 1.0, 0.0
        return _PREFILL_SHARE, 1.0 - _PREFILL_SHARE

    def _plan(self) -> None:
        """Starts what can start, and wakes up at the next change."""
        while self._queue and self.running < self.shape.slots:
            req = self._queue[0]
            tokens = self.cache.admit(req.chain, round(req.work))
            if tokens is None:
                break
            req.prefill = tokens
            context = sum(segment.tokens for segment in req.chain)
            req.cached_tokens = context - tokens
            self._prefills.append(req)
            del self._queue[0]
        self._wakeup += 1
        wakeup = self._wakeup
        if (delay := self._next_change()) is not None:
            self._events.after(delay, lambda: self._wake(wakeup))

    def _next_change(self) -> float | None:
        prefill, decode = self._shares()
        delays = []
        if self._prefills:
            rate = prefill * self.shape.prefill_per_ms
            delays.append(max(0.0, self._prefills[0].prefill / rate))
        if self._decodes:
            left = max(0.0, self._decodes[0][0] - self._passed)
            delays.append(left * self.shape.gap(self.running) / decode)
        return min(delays, default=None)

    def _wake(self, wakeup: int) -> None:
        if wakeup != self._wakeup or self.lost:
            return
        self._advance()
        if self._prefills and self._prefills[0].prefill <= 1e-6:
            req = self._prefills.pop(0)
            end = (self._passed + req.work, next(self._order), req)
            heapq.heappush(self._decodes, end)
        finished = []
        while self._decodes and self._decodes[0][0] <= self._passed + 1e-6:
            req = heapq.heappop(self._decodes)[2]
            self.cache.finish(req.chain, round(req.work))
            req.chain[-1].tokens += round(req.work)
            finished.append(req)
        self._plan()
        for req in finished:
            req.done(True)


class Service:
    """A plain service with some workers and a queue."""

    def __init__(self, events: Events, slots: int) -> None:
        self.slots = slots
        self.lost = False
        self._events = events
        self._running: list[Request] = []
        self._queue: list[Request] = []

    @property
    def running(self) -> int:
        """Requests that hold a worker."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for a worker."""
        return len(self._queue)

    def submit(self, req: Request) -> None:
        """Takes a request."""
        if self.lost:
            req.done(False)
        elif len(self._running) < self.slots:
            self._start(req)
        else:
            self._queue.append(req)

    def lose(self) -> None:
        """Dies with all that it holds."""
        self.lost = True
        aboard = self._running + self._queue
        self._running, self._queue = [], []
        for req in aboard:
            req.done(False)

    def _start(self, req: Request) -> None:
        self._running.append(req)
        self._events.after(req.work, lambda: self._end(req))

    def _end(self, req: Request) -> None:
        if req not in self._running:
            return
        self._running.remove(req)
        if self._queue:
            self._start(self._queue.pop(0))
        req.done(True)
