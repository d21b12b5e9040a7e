"""Simulates an application server, which gets slower when it is nearly full."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.requests.calls import Load

if TYPE_CHECKING:
    import simpy

    from bench.deciding.scenario import ServiceShape


@dataclasses.dataclass(eq=False)
class Call:
    """A call to an application server, which isn't a model engine.

    Attributes:
        work_ms: Processing time on a server that isn't nearly full.
        done: Triggers when the request ends; its value says whether it
            completed.
    """

    work_ms: float
    done: simpy.Event


class Service:
    """One application server, which isn't a model engine."""

    def __init__(self, env: simpy.Environment, shape: ServiceShape) -> None:
        self.shape = shape
        self.is_up = True
        self._env = env
        self._running: list[Call] = []
        self._queue: list[Call] = []

    def load(self) -> Load:
        """Returns the load that the server reports."""
        return Load(len(self._running), len(self._queue), self.shape.slots)

    def submit(self, work_ms: float) -> Call | None:
        """Starts or queues a request; returns None if the queue is full."""
        if len(self._queue) >= self.shape.queue:
            return None
        call = Call(work_ms, self._env.event())
        if len(self._running) < self.shape.slots:
            self._start(call)
        else:
            self._queue.append(call)
        return call

    def cancel(self, call: Call) -> None:
        """Removes a request that its caller has abandoned."""
        if call in self._queue:
            self._queue.remove(call)
        elif call in self._running:
            self._end(call, completed=False)

    def _start(self, call: Call) -> None:
        self._running.append(call)
        used_share = len(self._running) / self.shape.slots
        excess_share = max(0.0, used_share - self.shape.full_part)
        excess_share /= max(1 - self.shape.full_part, 1e-9)
        slowdown = 1 + (self.shape.full_times - 1) * excess_share
        timer = self._env.timeout(call.work_ms * slowdown)
        timer.callbacks.append(lambda _: self._end(call, completed=True))

    def _end(self, call: Call, *, completed: bool) -> None:
        if call not in self._running:
            return
        self._running.remove(call)
        call.done.succeed(completed)
        if self._queue:
            self._start(self._queue.pop(0))
