"""A model server: batches, prompts read in chunks, cache, preemption."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import math
from typing import TYPE_CHECKING

from catkinpin.core.requests.calls import Load, PromptPart

if TYPE_CHECKING:
    from collections.abc import Generator

    import simpy

    from bench.deciding.scenario import EngineShape

_NEAR = 1e-6
# Tokens that a caller hears of at once.
_EVENT_TOKENS = 2


@dataclasses.dataclass(eq=False)
class Job:
    """A request at an engine.

    Attributes:
        left: tokens still to be made.
        to_read: prompt tokens still to be read.
        first: succeeds with the first token.
        done: succeeds with whether all tokens were made.
        untold: tokens made since the last event.
        gaps_ms: for each token of an event, as its caller would see them.
    """

    prompt: tuple[PromptPart, ...]
    left: float
    urgency: int
    first: simpy.Event
    done: simpy.Event
    order: int = 0
    to_read: float = 0.0
    read_tokens: int = 0
    made: float = 0.0
    end_at: float = 0.0
    untold: float = 0.0
    gaps_ms: list[float] = dataclasses.field(default_factory=list)

    @property
    def rank(self) -> tuple[int, int]:
        """Who goes first: the more urgent, then the older."""
        return self.urgency, self.order


class Cache:
    """Prompt parts held, the least recently used yield."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._pins: collections.Counter[str] = collections.Counter()
        self.used = 0

    def held(self, prompt: tuple[PromptPart, ...]) -> int:
        """Returns the tokens of a prompt that need not be read."""
        tokens = 0
        for part in prompt:
            if part.id not in self._parts:
                break
            tokens += min(part.tokens, self._parts[part.id])
        return tokens

    def admit(self, prompt: tuple[PromptPart, ...], more: int) -> bool:
        """Pins a prompt and makes room for it and for what will be made."""
        for part in prompt:
            self._pins[part.id] += 1
        need = more + sum(
            max(0, part.tokens - self._parts.get(part.id, 0)) for part in prompt
        )
        if not self._make_room(need):
            self.release(prompt)
            return False
        for part in prompt:
            self._grow(part.id, part.tokens)
        return True

    def release(self, prompt: tuple[PromptPart, ...], made: int = 0) -> None:
        """Unpins a prompt, whose last part has grown by what was made."""
        for part in prompt:
            self._pins[part.id] -= 1
            if self._pins[part.id] <= 0:
                del self._pins[part.id]
        if made and prompt[-1].id in self._parts:
            self._grow(prompt[-1].id, prompt[-1].tokens + made)

    def clear(self) -> None:
        """Forgets everything."""
        self._parts.clear()
        self._pins.clear()
        self.used = 0

    def _grow(self, name: str, tokens: int) -> None:
        before = self._parts.get(name, 0)
        self._parts[name] = max(before, tokens)
        self._parts.move_to_end(name)
        self.used += max(0, tokens - before)

    def _make_room(self, need: int) -> bool:
        free = self._limit - self.used
        for name in list(self._parts):
            if free >= need:
                break
            if name not in self._pins:
                tokens = self._parts.pop(name)
                self.used -= tokens
                free += tokens
        return free >= need


class Engine:
    """One model server.

    Attributes:
        factor: how many times as long it takes.
        is_up: whether it can be reached.
        hangs: whether it takes requests and answers nothing.
    """

    def __init__(
        self, env: simpy.Environment, shape: EngineShape, factor: float
    ) -> None:
        self.shape = shape
        self.factor = factor
        self.is_up = True
        self.hangs = False
        self.cache = Cache(shape.memory_tokens)
        self.read_tokens = 0
        self._env = env
        self._queue: list[Job] = []
        self._reading: list[Job] = []
        self._making: list[Job] = []
        self._order = itertools.count()
        self._passed = 0.0
        self._at_ms = 0.0
        self._changed = env.event()
        env.process(self._run())

    def load(self) -> Load:
        """Returns what it tells of its load."""
        running = len(self._reading) + len(self._making)
        return Load(running, len(self._queue), self.shape.slots)

    def submit(
        self, prompt: tuple[PromptPart, ...], tokens: int, urgency: int
    ) -> Job:
        """Takes a request."""
        job = Job(prompt, tokens, urgency, self._env.event(), self._env.event())
        job.order = next(self._order)
        self._advance()
        self._queue.append(job)
        self._change()
        return job

    def cancel(self, job: Job) -> None:
        """Drops a request that nobody waits for any more."""
        self._advance()
        if job in self._queue:
            self._queue.remove(job)
        elif job in self._reading or job in self._making:
            self._drop(job)
        self._change()

    def lose(self) -> None:
        """Dies with all that it holds."""
        self.is_up = False
        aboard = self._queue + self._reading + self._making
        self._queue, self._reading, self._making = [], [], []
        self.cache.clear()
        for job in aboard:
            job.done.succeed(False)

    def back(self) -> None:
        """Comes back, empty."""
        self._at_ms = self._env.now
        self.is_up = True

    def hang(self, hangs: bool) -> None:
        """Stands still, or goes on."""
        self._advance()
        self.hangs = hangs
        self._change()

    def slow(self, times: float) -> None:
        """Takes `times` as long from now on."""
        self._advance()
        self.factor *= times
        self._change()

    def _drop(self, job: Job) -> None:
        held = self._reading if job in self._reading else self._making
        held.remove(job)
        self.cache.release(job.prompt)

    def _change(self) -> None:
        if not self._changed.triggered:
            self._changed.succeed()

    def _run(self) -> Generator[simpy.Event, None, None]:
        while True:
            self._advance()
            self._start()
            wait_ms = self._next_ms()
            waits: list[simpy.Event] = [self._changed]
            if wait_ms is not None:
                waits.append(self._env.timeout(wait_ms))
            yield self._env.any_of(waits)
            if self._changed.triggered:
                self._changed = self._env.event()

    def _pace(self) -> tuple[float, float]:
        """Returns tokens read in a ms, and tokens that each request makes."""
        if self.hangs:
            return 0.0, 0.0
        shape = self.shape
        running = len(self._reading) + len(self._making)
        step_ms = shape.step_ms + shape.step_ms_per_slot * running
        step_ms *= self.factor
        if not self._reading:
            return 0.0, 1 / step_ms
        total = sum(job.to_read for job in self._reading)
        chunk = min(shape.chunk, max(total, 1.0))
        whole_ms = step_ms + chunk / shape.read_per_ms * self.factor
        return chunk / whole_ms, 1 / whole_ms

    def _advance(self) -> None:
        """Brings all requests to the present."""
        passed_ms = self._env.now - self._at_ms
        self._at_ms = self._env.now
        if passed_ms <= 0 or not self.is_up:
            return
        read, made = self._pace()
        self._passed += made * passed_ms
        for job in self._making:
            _note_gaps(job, made, made * passed_ms)
        tokens = read * passed_ms
        for job in self._reading:
            part = min(tokens, job.to_read)
            job.to_read -= part
            tokens -= part
        self._finish()

    def _finish(self) -> None:
        for job in [j for j in self._reading if j.to_read <= _NEAR]:
            self._reading.remove(job)
            job.end_at = self._passed + job.left
            self._making.append(job)
            if not job.first.triggered:
                job.first.succeed()
        for job in [
            j for j in self._making if j.end_at <= self._passed + _NEAR
        ]:
            self._making.remove(job)
            self.cache.release(job.prompt, round(job.made + job.left))
            job.done.succeed(True)

    def _start(self) -> None:
        """Admits what can be admitted, the most urgent first."""
        self._queue.sort(key=lambda job: job.rank)
        while self._queue and self.is_up:
            job = self._queue[0]
            if not self._has_slot(job):
                return
            held = self.cache.held(job.prompt)
            if not self.cache.admit(job.prompt, math.ceil(job.left)):
                return
            self._queue.pop(0)
            whole = sum(part.tokens for part in job.prompt)
            job.read_tokens = whole - held
            job.to_read = job.read_tokens
            self.read_tokens += job.read_tokens
            self._reading.append(job)
            self._reading.sort(key=lambda one: one.rank)

    def _has_slot(self, job: Job) -> bool:
        running = self._reading + self._making
        if len(running) < self.shape.slots:
            return True
        last = max(running, key=lambda one: one.rank)
        if last.urgency <= job.urgency:
            return False
        if last in self._making:
            last.made += last.left - (last.end_at - self._passed)
            last.left = last.end_at - self._passed
        self._drop(last)
        self._queue.append(last)
        return True

    def _next_ms(self) -> float | None:
        read, made = self._pace()
        waits = []
        if self._reading and read:
            waits.append(self._reading[0].to_read / read)
        if self._making and made:
            ends = min(job.end_at for job in self._making)
            waits.append(max(0.0, ends - self._passed) / made)
        return min(waits) + _NEAR if waits else None


def _note_gaps(job: Job, per_ms: float, tokens: float) -> None:
    """Notes the events that a job's caller got meanwhile."""
    job.untold += tokens
    while job.untold >= _EVENT_TOKENS:
        job.untold -= _EVENT_TOKENS
        job.gaps_ms.append(1 / per_ms)
