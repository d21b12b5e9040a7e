"""A plain server: slots, a short queue, slower when nearly full."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.requests.calls import Load

if TYPE_CHECKING:
    import simpy

    from bench.deciding.scenario import ServiceShape


@dataclasses.dataclass(eq=False)
class Call:
    """A request at a plain server.

    Attributes:
        done: succeeds with whether it ran to its end.
    """

    work_ms: float
    done: simpy.Event


class Service:
    """One plain server."""

    def __init__(self, env: simpy.Environment, shape: ServiceShape) -> None:
        self.shape = shape
        self.is_up = True
        self._env = env
        self._running: list[Call] = []
        self._queue: list[Call] = []

    def load(self) -> Load:
        """Returns what it tells of its load."""
        return Load(len(self._running), len(self._queue), self.shape.slots)

    def submit(self, work_ms: float) -> Call | None:
        """Takes a request, None where it is full."""
        if len(self._queue) >= self.shape.queue:
            return None
        call = Call(work_ms, self._env.event())
        if len(self._running) < self.shape.slots:
            self._start(call)
        else:
            self._queue.append(call)
        return call

    def cancel(self, call: Call) -> None:
        """Drops a request that nobody waits for any more."""
        if call in self._queue:
            self._queue.remove(call)
        elif call in self._running:
            self._end(call, whole=False)

    def _start(self, call: Call) -> None:
        self._running.append(call)
        part = len(self._running) / self.shape.slots
        over = max(0.0, part - self.shape.full_part)
        over /= max(1 - self.shape.full_part, 1e-9)
        times = 1 + (self.shape.full_times - 1) * over
        timer = self._env.timeout(call.work_ms * times)
        timer.callbacks.append(lambda _: self._end(call, whole=True))

    def _end(self, call: Call, *, whole: bool) -> None:
        if call not in self._running:
            return
        self._running.remove(call)
        call.done.succeed(whole)
        if self._queue:
            self._start(self._queue.pop(0))
