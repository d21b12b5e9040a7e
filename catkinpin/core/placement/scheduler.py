"""Which waiting call gets which server, and when.

The shard's leader hands each call that is next in its program to the scheduler
and gets decisions back: at once, or later when a server has room. The state is
soft: a new leader builds it again from its log and from new reports.
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
# Weight of the newest answer in what is learned of prompts.
_LEARNING = 0.05


@dataclasses.dataclass(frozen=True)
class QueueOptions:
    """How calls may wait for a better server.

    Attributes:
        order: gives each call its place among those that wait.
        max_waiting: calls that may wait for one target.
        starved_after_ms: a call that has waited this long goes first, and no
            program without room overtakes it.
        tries: calls that get no server in a row before a round ends.
    """

    order: waiting.Ordering = waiting.least_attained
    max_waiting: int = 1_000
    starved_after_ms: int = 60_000
    max_misses: int = 32


@dataclasses.dataclass
class _Running:
    """A running call, on the incarnation of a server that is known here."""

    server: Server | None
    job: Job | None = None


class Scheduler:
    """Waiting and running calls of one leader."""

    def __init__(
        self,
        view: ServerView,
        policy: Callable[[Job, list[Server], int], Server | None],
        plan: QueueOptions | None = None,
        keeps: Callable[[Job, Server, int], bool] = lambda *_: False,
    ) -> None:
        """Creates a scheduler.

        Args:
            view: the servers; the scheduler counts its grants there.
            policy: chooses a server, or none while the call should wait.
            plan: how calls wait; without it a call without a server is
                refused at once.
            keeps: whether a program's server is surely the best for a call.
        """
        self._keeps = keeps
        self._view = view
        self._policy = policy
        self._plan = plan
        self._running: dict[CallKey, _Running] = {}
        # Learned: what the programs of an account begin with alike.
        self._common: dict[tuple[str, str], int] = {}
        # Learned: tokens that engines count by the bound, for each target.
        self._scale: dict[str, float] = {}
        self._homes: dict[ProgramKey, str] = {}
        self._waiting: dict[tuple[str, str], waiting.CallQueue] = {}

    def submit(self, job: Job, now_ms: int) -> list[Decision]:
        """Takes a call; one that is known already changes nothing."""
        calls = self._calls(job)
        if job.key in self._running or job.key in calls:
            return []
        job = self._estimated(job)
        usable = self._usable(job, now_ms)
        if not usable:
            return [_no_server(job)]
        if not self._must_queue(job, calls):
            server = self._policy(job, usable, now_ms)
            if server is not None:
                return [self._place(job, server, now_ms)]
        if self._plan is None or len(calls) >= self._plan.max_waiting:
            text = f"every server for {job.target!r} is busy"
            return [Reject(job.key, Reason.OVERLOADED, text, _RETRY_AFTER_MS)]
        calls.add(job, now_ms)
        return []

    def _estimated(self, job: Job) -> Job:
        """Returns the call with what was learned about its prompt.

        The bound that a budget needs is several times the tokens that the
        engine counts in the end. By the bound, a program would seem to lack a
        large part of its history on the server that holds it.
        """
        if job.kind != "model":
            return job
        scale = self._scale.get(job.target, 1.0)
        prompt = job.stored_tokens + round(scale * job.prompt_tokens)
        shared = job.shared_tokens
        if not job.parent:
            shared = self._common.get((job.key.account, job.target), 0)
        return dataclasses.replace(
            job,
            prompt_tokens=max(prompt, job.history_tokens),
            shared_tokens=shared,
            prompt_bound_tokens=job.prompt_tokens,
        )

    def end_call(
        self, key: CallKey, now_ms: int, usage: Usage | None = None
    ) -> list[Decision]:
        """Notes that a call holds no server any more, and fills the room.

        Args:
            key: the call.
            now_ms: monotonic time.
            usage: what the engine counted, where it answered.
        """
        running = self._running.pop(key, None)
        if running is None:
            self._give_up(key)
            return []
        server = running.server
        if server is None:
            return []
        server.granted = max(0, server.granted - 1)
        self._learn(running, server, usage, now_ms)
        decisions = []
        for target in server.report.serves:
            calls = self._waiting.get((server.report.kind, target))
            if calls is not None:
                decisions += self._fill(calls, now_ms)
        return decisions

    def _learn(
        self,
        running: _Running,
        server: Server,
        usage: Usage | None,
        now_ms: int,
    ) -> None:
        """Learns from an ended call about its context."""
        job = running.job
        if job is None or job.kind != "model":
            return
        tokens = 0
        if usage is not None and usage.prompt_tokens:
            if job.turns == 0 and not job.parent:
                # What a new program finds in the cache is another's.
                common = (job.key.account, job.target)
                self._common[common] = usage.cached_tokens
            counted = usage.prompt_tokens - job.stored_tokens
            if job.prompt_bound_tokens and counted > 0:
                before = self._scale.get(job.target, 1.0)
                step = _LEARNING * (counted / job.prompt_bound_tokens - before)
                self._scale[job.target] = before + step
            tokens = usage.prompt_tokens + usage.completion_tokens
            tokens -= job.prompt_tokens - candidates.unshared_tokens(
                job, server
            )
        server.residents.end_call(job.key.program_key, max(0, tokens), now_ms)

    def end_program(self, key: ProgramKey) -> None:
        """Notes that a program will make no more calls."""
        home = self._view.servers.get(self._homes.pop(key, ""))
        if home is not None:
            home.residents.remove(key)

    def restore_call(self, key: CallKey, server: str) -> None:
        """Notes an attempt that an earlier leader granted."""
        found = self._view.servers.get(server)
        self._running[key] = _Running(found)
        if found is not None:
            found.granted += 1

    def release_all(self) -> None:
        """Gives back all that it counted on servers; its leader steps down.

        Several shards' schedulers share a view. What a former leader counted
        would look like calls that never end, and keep others off the servers.
        """
        for running in self._running.values():
            if running.server is not None:
                running.server.granted = max(0, running.server.granted - 1)
        self._running.clear()
        self._waiting.clear()
        for program in list(self._homes):
            self.end_program(program)

    def tick(self, now_ms: int) -> list[Decision]:
        """Decides anew after reports have come or time has passed."""
        decisions: list[Decision] = []
        for calls in self._waiting.values():
            for job in calls.expired_jobs(now_ms):
                calls.remove(job.key)
                text = f"no server for {job.target!r} was free in time"
                decisions.append(
                    Reject(job.key, Reason.DEADLINE, text, _RETRY_AFTER_MS)
                )
            calls.promote_starved(now_ms)
            decisions += self._fill(calls, now_ms)
        return decisions

    def _give_up(self, key: CallKey) -> None:
        """Takes a call that got its final answer out of the queue."""
        for calls in self._waiting.values():
            if key in calls:
                calls.remove(key)

    def _calls(self, job: Job) -> waiting.CallQueue:
        plan = self._plan or QueueOptions()
        key = (job.kind, job.target)
        if key not in self._waiting:
            self._waiting[key] = waiting.CallQueue(
                plan.order, plan.starved_after_ms
            )
        return self._waiting[key]

    def _must_queue(self, job: Job, calls: waiting.CallQueue) -> bool:
        """Returns whether the call would overtake one that has starved."""
        return calls.starved_count() > 0 and self._wants_room(job)

    def _fill(self, calls: waiting.CallQueue, now_ms: int) -> list[Decision]:
        """Places the calls that can go now, in order."""
        if not len(calls):
            return []
        plan = self._plan or QueueOptions()
        placed: list[Decision] = []
        misses = 0
        starved = calls.starved_count()
        # A program that needs as much memory as one that found none, or
        # more, finds none either: it need not be tried.
        min_missed_tokens: dict[str, float] = collections.defaultdict(
            lambda: math.inf
        )
        for position, job in enumerate(list(calls)):
            wants_room = self._wants_room(job)
            group = job.deployment
            if wants_room and job.prompt_tokens >= min_missed_tokens[group]:
                continue
            usable = self._usable(job, now_ms)
            server = self._policy(job, usable, now_ms)
            if not usable:
                calls.remove(job.key)
                placed.append(_no_server(job))
                continue
            if server is not None:
                calls.remove(job.key)
                placed.append(self._place(job, server, now_ms))
                continue
            if wants_room and not job.excluded_servers:
                least = min(min_missed_tokens[group], job.prompt_tokens)
                min_missed_tokens[group] = least
            # What runs out would go to a starved call; a younger one that
            # needs less must not keep it from ever getting enough.
            if position < starved and wants_room:
                min_missed_tokens[group] = 0
            misses += 1
            if misses >= plan.max_misses:
                break
        return placed

    def _usable(self, job: Job, now_ms: int) -> list[Server]:
        """Returns the servers to choose from.

        Where the program's own server holds its prefix and any other would
        take longer to compute it, no other need be looked at.
        """
        home = self._homes.get(job.key.program_key, "")
        found = self._view.usable_servers(
            job.kind,
            job.target,
            now_ms,
            job.excluded_servers,
            job.is_allowed,
            home,
        )
        if found and self._keeps(job, found[0], now_ms):
            return found
        return self._view.usable_servers(
            job.kind, job.target, now_ms, job.excluded_servers, job.is_allowed
        )

    def _wants_room(self, job: Job) -> bool:
        """Returns whether no server keeps room for the call's program."""
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
            self._move(program, name)
            tokens = candidates.unshared_tokens(job, server)
            server.residents.start_call(program, tokens, now_ms)
        return Place(job.key, server)

    def _move(self, program: ProgramKey, name: str) -> None:
        """Makes a server the program's home and keeps no room at another."""
        before = self._view.servers.get(self._homes.get(program, ""))
        if before is not None and before.report.server != name:
            before.residents.deactivate(program)
        self._homes[program] = name


def _no_server(job: Job) -> Reject:
    text = f"no server for {job.target!r} takes work now"
    return Reject(job.key, Reason.NO_SERVER, text, _RETRY_AFTER_MS)
