"""Simulates a model server.

The model covers batching, chunked prefill, the prompt cache and preemption.
"""

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

# Rounding errors of token counts and times stay below this.
_TOLERANCE = 1e-6
# Tokens that the server streams to a caller in one event.
_TOKENS_PER_EVENT = 2


@dataclasses.dataclass(eq=False)
class Job:
    """A request at an engine.

    Attributes:
        tokens_left: Output tokens still to generate.
        first_token: Triggers with the first token.
        done: Triggers when the request ends; its value says whether the
            engine generated all tokens.
        arrival_number: Arrival number at the engine.
        tokens_to_prefill: Prompt tokens still to prefill.
        read_tokens: Prompt tokens that weren't cached at the last admission.
        generated_tokens: Output tokens generated before preemptions.
        end_at_progress: Value of the engine's progress counter at which
            the request has all its tokens.
        unsent_tokens: Tokens generated since the last event.
        gaps_ms: Time per token of each event, as the caller measures it.
    """

    prompt: tuple[PromptPart, ...]
    tokens_left: float
    urgency: int
    first_token: simpy.Event
    done: simpy.Event
    arrival_number: int = 0
    tokens_to_prefill: float = 0.0
    read_tokens: int = 0
    generated_tokens: float = 0.0
    end_at_progress: float = 0.0
    unsent_tokens: float = 0.0
    gaps_ms: list[float] = dataclasses.field(default_factory=list)

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key of the queue: more urgent requests first, then older."""
        return self.urgency, self.arrival_number


class Cache:
    """LRU cache of prompt parts; parts of running requests are pinned."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._parts: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._pins: collections.Counter[str] = collections.Counter()
        self.used = 0

    def cached_tokens(self, prompt: tuple[PromptPart, ...]) -> int:
        """Returns how many leading tokens of a prompt are cached."""
        tokens = 0
        for part in prompt:
            if part.id not in self._parts:
                break
            tokens += min(part.tokens, self._parts[part.id])
        return tokens

    def admit(self, prompt: tuple[PromptPart, ...], more: int) -> bool:
        """Pins a prompt and evicts unused parts to make room for it.

        Args:
            prompt: Parts to cache.
            more: Output tokens that need room as well.

        Returns:
            Whether there is room; if not, nothing stays pinned.
        """
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
        """Unpins a prompt and adds the output tokens to its last part."""
        for part in prompt:
            self._pins[part.id] -= 1
            if self._pins[part.id] <= 0:
                del self._pins[part.id]
        if made and prompt[-1].id in self._parts:
            self._grow(prompt[-1].id, prompt[-1].tokens + made)

    def clear(self) -> None:
        """Removes all parts and pins."""
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
        factor: Multiplier of all its processing times.
        is_up: Whether it can be reached.
        hangs: Whether it accepts requests without answering them.
        read_tokens: Prompt tokens prefilled for all requests.
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
        self._prefilling: list[Job] = []
        self._decoding: list[Job] = []
        self._order = itertools.count()
        self._progress_tokens = 0.0
        self._advanced_at_ms = 0.0
        self._wake_event = env.event()
        env.process(self._run())

    def load(self) -> Load:
        """Returns the load that the server reports."""
        running = len(self._prefilling) + len(self._decoding)
        return Load(running, len(self._queue), self.shape.slots)

    def submit(
        self, prompt: tuple[PromptPart, ...], tokens: int, urgency: int
    ) -> Job:
        """Queues a request."""
        job = Job(prompt, tokens, urgency, self._env.event(), self._env.event())
        job.arrival_number = next(self._order)
        self._advance()
        self._queue.append(job)
        self._wake()
        return job

    def cancel(self, job: Job) -> None:
        """Removes a request that its caller has abandoned."""
        self._advance()
        if job in self._queue:
            self._queue.remove(job)
        elif job in self._prefilling or job in self._decoding:
            self._remove_running(job)
        self._wake()

    def crash(self) -> None:
        """Crashes: fails all requests and clears the cache."""
        self.is_up = False
        jobs = self._queue + self._prefilling + self._decoding
        self._queue, self._prefilling, self._decoding = [], [], []
        self.cache.clear()
        for job in jobs:
            job.done.succeed(False)

    def restart(self) -> None:
        """Restarts with an empty queue and cache."""
        self._advanced_at_ms = self._env.now
        self.is_up = True

    def set_hanging(self, hangs: bool) -> None:
        """Stops or resumes processing."""
        self._advance()
        self.hangs = hangs
        self._wake()

    def slow_down(self, times: float) -> None:
        """Multiplies all processing times by `times`."""
        self._advance()
        self.factor *= times
        self._wake()

    def _remove_running(self, job: Job) -> None:
        jobs = self._prefilling if job in self._prefilling else self._decoding
        jobs.remove(job)
        self.cache.release(job.prompt)

    def _wake(self) -> None:
        if not self._wake_event.triggered:
            self._wake_event.succeed()

    def _run(self) -> Generator[simpy.Event, None, None]:
        while True:
            self._advance()
            self._admit_queued()
            wait_ms = self._ms_to_next_finish()
            waits: list[simpy.Event] = [self._wake_event]
            if wait_ms is not None:
                waits.append(self._env.timeout(wait_ms))
            yield self._env.any_of(waits)
            if self._wake_event.triggered:
                self._wake_event = self._env.event()

    def _token_rates(self) -> tuple[float, float]:
        """Returns the token rates per ms.

        Returns:
            Prompt tokens prefilled per ms over all requests, and output
            tokens generated per ms by each decoding request.
        """
        if self.hangs:
            return 0.0, 0.0
        shape = self.shape
        running = len(self._prefilling) + len(self._decoding)
        step_ms = shape.step_ms + shape.step_ms_per_slot * running
        step_ms *= self.factor
        if not self._prefilling:
            return 0.0, 1 / step_ms
        total = sum(job.tokens_to_prefill for job in self._prefilling)
        chunk = min(shape.chunk, max(total, 1.0))
        whole_ms = step_ms + chunk / shape.read_per_ms * self.factor
        return chunk / whole_ms, 1 / whole_ms

    def _advance(self) -> None:
        """Advances all requests to the current time."""
        passed_ms = self._env.now - self._advanced_at_ms
        self._advanced_at_ms = self._env.now
        if passed_ms <= 0 or not self.is_up:
            return
        prefill_per_ms, decode_per_ms = self._token_rates()
        self._progress_tokens += decode_per_ms * passed_ms
        for job in self._decoding:
            _record_gaps(job, decode_per_ms, decode_per_ms * passed_ms)
        tokens = prefill_per_ms * passed_ms
        for job in self._prefilling:
            part = min(tokens, job.tokens_to_prefill)
            job.tokens_to_prefill -= part
            tokens -= part
        self._finish_jobs()

    def _finish_jobs(self) -> None:
        for job in [
            j for j in self._prefilling if j.tokens_to_prefill <= _TOLERANCE
        ]:
            self._prefilling.remove(job)
            job.end_at_progress = self._progress_tokens + job.tokens_left
            self._decoding.append(job)
            if not job.first_token.triggered:
                job.first_token.succeed()
        for job in [
            j
            for j in self._decoding
            if j.end_at_progress <= self._progress_tokens + _TOLERANCE
        ]:
            self._decoding.remove(job)
            self.cache.release(
                job.prompt, round(job.generated_tokens + job.tokens_left)
            )
            job.done.succeed(True)

    def _admit_queued(self) -> None:
        """Admits queued requests by rank while slots and memory allow."""
        self._queue.sort(key=lambda job: job.rank)
        while self._queue and self.is_up:
            job = self._queue[0]
            if not self._take_slot(job):
                return
            cached_tokens = self.cache.cached_tokens(job.prompt)
            if not self.cache.admit(job.prompt, math.ceil(job.tokens_left)):
                return
            self._queue.pop(0)
            prompt_tokens = sum(part.tokens for part in job.prompt)
            job.read_tokens = prompt_tokens - cached_tokens
            job.tokens_to_prefill = job.read_tokens
            self.read_tokens += job.read_tokens
            self._prefilling.append(job)
            self._prefilling.sort(key=lambda one: one.rank)

    def _take_slot(self, job: Job) -> bool:
        running = self._prefilling + self._decoding
        if len(running) < self.shape.slots:
            return True
        last = max(running, key=lambda one: one.rank)
        if last.urgency <= job.urgency:
            return False
        if last in self._decoding:
            last.generated_tokens += last.tokens_left - (
                last.end_at_progress - self._progress_tokens
            )
            last.tokens_left = last.end_at_progress - self._progress_tokens
        self._remove_running(last)
        self._queue.append(last)
        return True

    def _ms_to_next_finish(self) -> float | None:
        prefill_per_ms, decode_per_ms = self._token_rates()
        waits = []
        if self._prefilling and prefill_per_ms:
            waits.append(self._prefilling[0].tokens_to_prefill / prefill_per_ms)
        if self._decoding and decode_per_ms:
            end = min(job.end_at_progress for job in self._decoding)
            waits.append(max(0.0, end - self._progress_tokens) / decode_per_ms)
        return min(waits) + _TOLERANCE if waits else None


def _record_gaps(job: Job, per_ms: float, tokens: float) -> None:
    """Records the token gaps of the events that the caller received."""
    job.unsent_tokens += tokens
    while job.unsent_tokens >= _TOKENS_PER_EVENT:
        job.unsent_tokens -= _TOKENS_PER_EVENT
        job.gaps_ms.append(1 / per_ms)
