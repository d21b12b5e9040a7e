"""Measures goodput under overload, with and without limits and retry budgets.

Runs only the core, on a simulated clock. Callers arrive whether or not earlier
ones were served, and retry when they are refused. Servers process a queue,
including requests whose callers no longer wait.

    python -m bench.overload
"""

from __future__ import annotations

import collections
import dataclasses
import functools
import sys
from typing import TYPE_CHECKING

from catkinpin.core import messages
from catkinpin.core.placement import candidates, limits, scheduler
from catkinpin.verdicts import Verdict
from tests.fakes import world as worlds
from tests.fakes.worldfacts import Sent
from tests.fakes.worldserver import Server

if TYPE_CHECKING:
    from catkinpin.core.placement import servers
    from tests.fakes.worldentry import Entry
    from tests.fakes.worldfacts import Call

LOADS = (0.5, 1.0, 2.0, 5.0)
SEEDS = (11, 12)
_SERVER_COUNT = 5
_SLOTS_PER_SERVER = 4
_SERVICE_MS = 100
_DEADLINE_MS = 2_000
_ARRIVALS_MS = 8_000
_WARM_UP_MS = 3_000
_MAX_RESENDS = 3
_CAPACITY_PER_MS = _SERVER_COUNT * _SLOTS_PER_SERVER / _SERVICE_MS


class QueuedServer(Server):
    """Server that runs a limited number of requests and queues the others.

    Attributes:
        completed_count: number of requests that it has run to the end.
    """

    def __init__(self, world: worlds.World, name: str, kind: str) -> None:
        super().__init__(world, name, kind)
        self._queue: collections.deque[tuple[Entry, Call, messages.Granted]] = (
            collections.deque()
        )
        self._running_count = 0
        self.completed_count = 0

    def _handle_arrival(
        self, entry: Entry, call: Call, grant: messages.Granted
    ) -> None:
        self._queue.append((entry, call, grant))
        self._start_queued()

    def _start_queued(self) -> None:
        while self._queue and self._running_count < _SLOTS_PER_SERVER:
            self._running_count += 1
            entry, call, grant = self._queue.popleft()
            self._running.append((entry, call, grant))
            done = functools.partial(self._done, entry, call, grant)
            self.world.after(_SERVICE_MS, done)

    def _done(self, entry: Entry, call: Call, grant: messages.Granted) -> None:
        self._running_count -= 1
        self.completed_count += 1
        self._handle_token(self.starts, entry, call, grant, "last token")
        self._start_queued()


class LimitedWorld(worlds.World):
    """Calls wait at the leader, with limits, retry budget and early refusal."""

    def make_scheduler(self, view: servers.ServerView) -> scheduler.Scheduler:
        """Returns a scheduler that queues calls until a server has capacity."""
        policy = candidates.by_cost(candidates.CostModel())
        return scheduler.Scheduler(view, policy, scheduler.QueueOptions())


class UnlimitedWorld(worlds.World):
    """Each call goes to a server at once and is retried when it fails."""

    def make_scheduler(self, view: servers.ServerView) -> scheduler.Scheduler:
        """Returns a scheduler that never queues calls."""
        return scheduler.Scheduler(view, candidates.least_outstanding)

    def elect(self) -> None:
        """Elects a leader and disables its retry budget and early refusal."""
        super().elect()
        assert self.leader is not None
        self.leader.retries = limits.RetryBudget(share=1_000.0)
        self.leader.admission = limits.Admission(refuses_late_calls=False)


class BudgetlessWorld(LimitedWorld):
    """Calls wait at the leader, without early refusal and retry budget."""

    def elect(self) -> None:
        """Elects a leader and disables its retry budget and early refusal."""
        super().elect()
        assert self.leader is not None
        self.leader.retries = limits.RetryBudget(share=1_000.0)
        self.leader.admission = limits.Admission(refuses_late_calls=False)


@dataclasses.dataclass
class OverloadResult:
    """Results of a run under one load.

    Attributes:
        call_count: number of callers that arrived after the warm-up.
        in_time_count: calls answered within their deadline, from the warm-up to
            the end of the arrivals.
        completed_attempts: requests that servers ran to the end.
        median_refusal_ms: median time from a call to its refusal.
        late_count: calls without a final reply, or with one more than 600 ms
            after the deadline.
    """

    call_count: int
    in_time_count: int
    completed_attempts: int
    median_refusal_ms: int
    late_count: int


class Caller:
    """Makes one call and retries a limited number of times when refused."""

    def __init__(self, world: worlds.World, number: int) -> None:
        self.world = world
        self.number = number
        self.arrived_ms = world.now
        self.answered_ms = 0
        self.sent_calls: list[Sent] = []
        self._send()

    def _send(self) -> None:
        request_id = f"c{self.number}-1"
        key = messages.CallKey(
            account="a", program=f"c{self.number}", request_id=request_id
        )
        begin = messages.Begin(
            ask=0,
            key=key,
            kind="service",
            target="service",
            idempotent=True,
            deadline_ms=_DEADLINE_MS,
            fingerprint=request_id.encode(),
            once=True,
        )
        entry = self.world.rng.choice(list(self.world.entries.values()))
        sent = Sent(key, self.world.now, entry.name)
        self.sent_calls.append(sent)
        entry.start(begin, sent, [])
        self.world.after(20, self._poll)

    def _poll(self) -> None:
        sent = self.sent_calls[-1]
        if not sent.done_at:
            self.world.after(20, self._poll)
        elif isinstance(sent.final, messages.Finished):
            self.answered_ms = sent.done_at - self.arrived_ms
        elif len(self.sent_calls) <= _MAX_RESENDS and sent.final is not None:
            wait = sent.final.retry_after_ms or 200
            spread = self.world.rng.randrange(wait // 2 + 1)
            self.world.after(wait + spread, self._send)


def run(kind: type[worlds.World], load: float, seed: int) -> OverloadResult:
    """Runs one load with one seed, `kind` being the type of the world."""
    world = kind(seed, server_count=_SERVER_COUNT, make_server=QueuedServer)
    world.run(500)
    start = world.now
    callers: list[Caller] = []

    def arrive(number: int) -> None:
        callers.append(Caller(world, number))

    count = int(load * _CAPACITY_PER_MS * _ARRIVALS_MS)
    for number in range(count):
        delay_ms = world.rng.randrange(_ARRIVALS_MS)
        world.after(delay_ms, functools.partial(arrive, number))
    world.run(_ARRIVALS_MS + 5_000)
    counted = [c for c in callers if c.arrived_ms > start + _WARM_UP_MS]
    refusals = sorted(
        sent.done_at - sent.at
        for caller in counted
        for sent in caller.sent_calls
        if isinstance(sent.final, messages.Refused)
        and sent.final.verdict is Verdict.NOT_RUN
    )
    in_time = [
        sent
        for caller in callers
        for sent in caller.sent_calls
        if isinstance(sent.final, messages.Finished)
        and sent.done_at - sent.at <= _DEADLINE_MS
        and start + _WARM_UP_MS < sent.done_at <= start + _ARRIVALS_MS
    ]
    late_count = sum(
        sent.done_at - sent.at > _DEADLINE_MS + 600 or not sent.done_at
        for caller in counted
        for sent in caller.sent_calls
    )
    return OverloadResult(
        call_count=len(counted),
        in_time_count=len(in_time),
        completed_attempts=sum(
            server.completed_count
            for server in world.servers.values()
            if isinstance(server, QueuedServer)
        ),
        median_refusal_ms=refusals[len(refusals) // 2] if refusals else 0,
        late_count=late_count,
    )


def main() -> None:
    """Prints goodput as a share of capacity, the mean over the seeds."""
    capacity = _CAPACITY_PER_MS * (_ARRIVALS_MS - _WARM_UP_MS)
    kinds = (LimitedWorld, BudgetlessWorld, UnlimitedWorld)
    print("| load | variant | goodput | refused after, ms | late |")
    print("| --- | --- | --- | --- | --- |")
    for load in LOADS:
        for kind in kinds:
            results = [run(kind, load, seed) for seed in SEEDS]
            share = (
                sum(f.in_time_count for f in results) / len(results) / capacity
            )
            waited = sorted(f.median_refusal_ms for f in results)[
                len(results) // 2
            ]
            late_count = sum(f.late_count for f in results)
            cells = (load, kind.__name__, f"{share:.2f}", waited, late_count)
            print("|", " | ".join(map(str, cells)), "|")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
