"""Schedules the calls of a shard on backend servers.

The shard's leader submits each call that is next in its program. The scheduler
returns decisions, either immediately or once a server has capacity. Its state
is soft: a new leader rebuilds it from its log and from new reports.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from catkinpin.core.placement import candidates, waiting
from catkinpin.core.placement.jobs import Decision, Job, Place, Reject
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import (
        CallKey,
        ProgramKey,
        Usage,
    )
    from catkinpin.core.placement.servers import Server, ServerView

_RETRY_AFTER_MS = 1_000
# Weight of a new answer in the moving average of the prompt token ratio.
_TOKEN_RATIO_WEIGHT = 0.05


@dataclasses.dataclass(frozen=True)
class QueueOptions:
    """Limits and order of the queue of each target.

    Attributes:
        order: Returns the sort key of a queued call.
        max_waiting: Limit of the calls queued for one target.
        starved_after_ms: Waiting time after which a call goes first, and no
            call whose program has no memory reserved overtakes it.
        max_misses: Number of calls without a server after which a pass over
            the queue ends.
    """

    order: waiting.Ordering = waiting.least_attained
    max_waiting: int = 1_000
    starved_after_ms: int = 60_000
    max_misses: int = 32


@dataclasses.dataclass
class _Running:
    """A running call, with its server if that is known here."""

    server: Server | None
    job: Job | None = None


class Scheduler:
    """Queues the calls of one leader and assigns servers to them."""

    def __init__(
        self,
        view: ServerView,
        policy: Callable[[Job, list[Server], int], Server | None],
        options: QueueOptions | None = None,
        prefers_home: Callable[[Job, Server, int], bool] = lambda *_: False,
    ) -> None:
        """Creates a scheduler.

        Args:
            view: The servers, on which the scheduler counts its grants.
            policy: Chooses a server, or None while the call should wait.
            options: Limits of the queues; without them, a call that gets no
                server is rejected immediately.
            prefers_home: Returns whether the home server of a call's program
                is certainly the cheapest for the call.
        """
        self._prefers_home = prefers_home
        self._view = view
        self._policy = policy
        self._options = options
        self._running: dict[CallKey, _Running] = {}
        # Learned length of the common prefix of an account's programs, by
        # account and target.
        self._common_prefix_tokens: dict[tuple[str, str], int] = {}
        # Learned ratio of counted prompt tokens to their bound, by target.
        self._token_ratio: dict[str, float] = {}
        self._homes: dict[ProgramKey, str] = {}
        self._queues: dict[tuple[str, str], waiting.CallQueue] = {}

    def submit(self, job: Job, now_ms: int) -> list[Decision]:
        """Places, queues or rejects a call; ignores a call that it has."""
        queue = self._queue_for(job)
        if job.key in self._running or job.key in queue:
            return []
        job = self._with_estimates(job)
        usable = self._candidate_servers(job, now_ms)
        if not usable:
            return [_no_server(job)]
        if not self._must_queue(job, queue):
            server = self._policy(job, usable, now_ms)
            if server is not None:
                return [self._place(job, server, now_ms)]
        if self._options is None or len(queue) >= self._options.max_waiting:
            text = f"every server for {job.target!r} is busy"
            return [Reject(job.key, Reason.OVERLOADED, text, _RETRY_AFTER_MS)]
        queue.add(job, now_ms)
        return []

    def _with_estimates(self, job: Job) -> Job:
        """Returns the call with an estimate of its prompt tokens.

        The upper bound, which budgets need, is several times the number of
        tokens that the engine counts. With the bound, a server that has cached
        a program's history would seem to lack a large part of it.
        """
        if job.kind != "model":
            return job
        token_ratio = self._token_ratio.get(job.target, 1.0)
        prompt = job.stored_tokens + round(token_ratio * job.prompt_tokens)
        shared = job.shared_tokens
        if not job.parent:
            shared = self._common_prefix_tokens.get(
                (job.key.account, job.target), 0
            )
        return dataclasses.replace(
            job,
            prompt_tokens=max(prompt, job.history_tokens),
            shared_tokens=shared,
            prompt_bound_tokens=job.prompt_tokens,
        )

    def end_call(
        self, key: CallKey, now_ms: int, usage: Usage | None = None
    ) -> list[Decision]:
        """Releases a call's server and places queued calls on it.

        Args:
            key: The call.
            now_ms: Monotonic time.
            usage: Token counts of the engine, if it answered.
        """
        running = self._running.pop(key, None)
        if running is None:
            self._remove_queued(key)
            return []
        server = running.server
        if server is None:
            return []
        server.granted = max(0, server.granted - 1)
        self._record_usage(running, server, usage, now_ms)
        decisions = []
        for target in server.report.serves:
            queue = self._queues.get((server.report.kind, target))
            if queue is not None:
                decisions += self._place_queued(queue, now_ms)
        return decisions

    def _record_usage(
        self,
        running: _Running,
        server: Server,
        usage: Usage | None,
        now_ms: int,
    ) -> None:
        """Updates token estimates and the server's state from an ended call."""
        job = running.job
        if job is None or job.kind != "model":
            return
        tokens = 0
        if usage is not None and usage.prompt_tokens:
            if job.turns == 0 and not job.parent:
                # The cached tokens of a new program's first call come from
                # other programs.
                prefix_key = (job.key.account, job.target)
                self._common_prefix_tokens[prefix_key] = usage.cached_tokens
            counted_tokens = usage.prompt_tokens - job.stored_tokens
            if job.prompt_bound_tokens and counted_tokens > 0:
                previous = self._token_ratio.get(job.target, 1.0)
                change = _TOKEN_RATIO_WEIGHT * (
                    counted_tokens / job.prompt_bound_tokens - previous
                )
                self._token_ratio[job.target] = previous + change
            tokens = usage.prompt_tokens + usage.completion_tokens
            tokens -= job.prompt_tokens - candidates.unshared_tokens(
                job, server
            )
        server.residents.end_call(job.key.program_key, max(0, tokens), now_ms)

    def end_program(self, key: ProgramKey) -> None:
        """Releases the memory of a program that makes no more calls."""
        home = self._view.servers.get(self._homes.pop(key, ""))
        if home is not None:
            home.residents.remove(key)

    def restore_call(self, key: CallKey, server: str) -> None:
        """Restores a running call that a previous leader granted."""
        known = self._view.servers.get(server)
        self._running[key] = _Running(known)
        if known is not None:
            known.granted += 1

    def release_all(self) -> None:
        """Releases all its counts on servers when its leader steps down.

        The schedulers of several shards share a view. Counts left behind by a
        former leader would look like calls that never end and would block the
        servers for other shards.
        """
        for running in self._running.values():
            if running.server is not None:
                running.server.granted = max(0, running.server.granted - 1)
        self._running.clear()
        self._queues.clear()
        for program in list(self._homes):
            self.end_program(program)

    def tick(self, now_ms: int) -> list[Decision]:
        """Rejects expired calls and retries placement of queued calls."""
        decisions: list[Decision] = []
        for queue in self._queues.values():
            for job in queue.expired_jobs(now_ms):
                queue.remove(job.key)
                text = f"no server for {job.target!r} was free in time"
                decisions.append(
                    Reject(job.key, Reason.DEADLINE, text, _RETRY_AFTER_MS)
                )
            queue.promote_starved(now_ms)
            decisions += self._place_queued(queue, now_ms)
        return decisions

    def _remove_queued(self, key: CallKey) -> None:
        """Removes a call that got its final answer from the queues."""
        for queue in self._queues.values():
            if key in queue:
                queue.remove(key)

    def _queue_for(self, job: Job) -> waiting.CallQueue:
        options = self._options or QueueOptions()
        key = (job.kind, job.target)
        if key not in self._queues:
            self._queues[key] = waiting.CallQueue(
                options.order, options.starved_after_ms
            )
        return self._queues[key]

    def _must_queue(self, job: Job, queue: waiting.CallQueue) -> bool:
        """Returns whether the call would overtake a starved call."""
        return queue.starved_count() > 0 and self._needs_memory(job)

    def _place_queued(
        self, queue: waiting.CallQueue, now_ms: int
    ) -> list[Decision]:
        """Places the queued calls that can run now, in order."""
        if not len(queue):
            return []
        options = self._options or QueueOptions()
        decisions: list[Decision] = []
        misses = 0
        starved = queue.starved_count()
        # Size of the smallest call that did not fit, by deployment. Calls of
        # the same size or larger would not fit either and are skipped.
        min_missed_tokens: dict[str, float] = collections.defaultdict(
            lambda: math.inf
        )
        for position, job in enumerate(list(queue)):
            needs_memory = self._needs_memory(job)
            deployment = job.deployment
            if (
                needs_memory
                and job.prompt_tokens >= min_missed_tokens[deployment]
            ):
                continue
            usable = self._candidate_servers(job, now_ms)
            server = self._policy(job, usable, now_ms)
            if not usable:
                queue.remove(job.key)
                decisions.append(_no_server(job))
                continue
            if server is not None:
                queue.remove(job.key)
                decisions.append(self._place(job, server, now_ms))
                continue
            if needs_memory and not job.excluded_servers:
                smallest = min(min_missed_tokens[deployment], job.prompt_tokens)
                min_missed_tokens[deployment] = smallest
            # Freed memory is reserved for a starved call. Otherwise younger
            # calls that need less could keep it waiting for ever.
            if position < starved and needs_memory:
                min_missed_tokens[deployment] = 0
            misses += 1
            if misses >= options.max_misses:
                break
        return decisions

    def _candidate_servers(self, job: Job, now_ms: int) -> list[Server]:
        """Returns the candidate servers for a call.

        If the program's home server has cached its prefix and another server
        would take longer to compute it, this is the home server alone.
        """
        home = self._homes.get(job.key.program_key, "")
        home_servers = self._view.usable_servers(
            job.kind,
            job.target,
            now_ms,
            job.excluded_servers,
            job.is_allowed,
            home,
        )
        if home_servers and self._prefers_home(job, home_servers[0], now_ms):
            return home_servers
        return self._view.usable_servers(
            job.kind, job.target, now_ms, job.excluded_servers, job.is_allowed
        )

    def _needs_memory(self, job: Job) -> bool:
        """Returns whether no server reserves memory for the call's program."""
        program = job.key.program_key
        home = self._view.servers.get(self._homes.get(program, ""))
        return (
            job.kind == "model"
            and not job.parent
            and (home is None or not home.residents.is_active(program))
        )

    def _place(self, job: Job, server: Server, now_ms: int) -> Place:
        name = server.report.server
        program = job.key.program_key
        self._running[job.key] = _Running(server, job)
        server.granted += 1
        if job.kind == "model":
            self._set_home(program, name)
            tokens = candidates.unshared_tokens(job, server)
            server.residents.start_call(program, tokens, now_ms)
        return Place(job.key, server)

    def _set_home(self, program: ProgramKey, name: str) -> None:
        """Makes a server the program's home and frees memory at the old one."""
        previous = self._view.servers.get(self._homes.get(program, ""))
        if previous is not None and previous.report.server != name:
            previous.residents.deactivate(program)
        self._homes[program] = name


def _no_server(job: Job) -> Reject:
    text = f"no server for {job.target!r} takes work now"
    return Reject(job.key, Reason.NO_SERVER, text, _RETRY_AFTER_MS)
