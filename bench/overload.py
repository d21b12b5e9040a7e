"""Goodput under overload, with limits and retry budgets and without.

The core alone on a stepped clock: callers who come whether or not earlier
ones were served, and come back when they are refused; servers that work
through a queue and go on with requests that nobody waits for any more.

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
_SERVERS = 5
_SLOTS = 4
_SERVICE_MS = 100
_DEADLINE_MS = 2_000
_ARRIVALS_MS = 8_000
_WARM_MS = 3_000
_RESENDS = 3
_PER_MS = _SERVERS * _SLOTS / _SERVICE_MS


class QueuedServer(Server):
    """Runs a few requests at a time; the others wait in its queue."""

    def __init__(self, world: worlds.World, name: str, kind: str) -> None:
        super().__init__(world, name, kind)
        self._queue: collections.deque[tuple[Entry, Call, messages.Granted]] = (
            collections.deque()
        )
        self._busy = 0
        self.ran = 0

    def _handle_arrival(
        self, entry: Entry, call: Call, grant: messages.Granted
    ) -> None:
        self._queue.append((entry, call, grant))
        self._fill()

    def _fill(self) -> None:
        while self._queue and self._busy < _SLOTS:
            self._busy += 1
            entry, call, grant = self._queue.popleft()
            self._running.append((entry, call, grant))
            done = functools.partial(self._done, entry, call, grant)
            self.world.after(_SERVICE_MS, done)

    def _done(self, entry: Entry, call: Call, grant: messages.Granted) -> None:
        self._busy -= 1
        self.ran += 1
        self._handle_token(self.starts, entry, call, grant, "last token")
        self._fill()


class LimitedWorld(worlds.World):
    """Calls wait at the leader; limits, budgets and early refusals hold."""

    def make_scheduler(self, view: servers.ServerView) -> scheduler.Scheduler:
        """Returns a scheduler that keeps calls until a server has room."""
        policy = candidates.by_cost(candidates.CostModel())
        return scheduler.Scheduler(view, policy, scheduler.QueueOptions())


class UnlimitedWorld(worlds.World):
    """Every call goes to a server at once, and again when it fails."""

    def make_scheduler(self, view: servers.ServerView) -> scheduler.Scheduler:
        """Returns a scheduler that never lets a call wait."""
        return scheduler.Scheduler(view, candidates.least_outstanding)

    def elect(self) -> None:
        """Takes the leader's limits away."""
        super().elect()
        assert self.leader is not None
        self.leader.retries = limits.RetryBudget(share=1_000.0)
        self.leader.admission = limits.Admission(refuses_late_calls=False)


class BudgetlessWorld(LimitedWorld):
    """Calls wait at the leader, but neither early refusal nor budget."""

    def elect(self) -> None:
        """Takes the leader's limits away."""
        super().elect()
        assert self.leader is not None
        self.leader.retries = limits.RetryBudget(share=1_000.0)
        self.leader.admission = limits.Admission(refuses_late_calls=False)


@dataclasses.dataclass
class Figures:
    """What callers got.

    Attributes:
        good: calls answered within their deadline.
        refused_ms: how long a refusal took, at the median.
    """

    arrived: int
    good: int
    attempts: int
    refused_ms: int
    late: int


class Caller:
    """Makes one call and comes back a few times when it is refused."""

    def __init__(self, world: worlds.World, number: int) -> None:
        self.world = world
        self.number = number
        self.at = world.now
        self.answered_ms = 0
        self.sends: list[Sent] = []
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
        self.sends.append(sent)
        entry.start(begin, sent, [])
        self.world.after(20, self._poll)

    def _poll(self) -> None:
        sent = self.sends[-1]
        if not sent.done_at:
            self.world.after(20, self._poll)
        elif isinstance(sent.final, messages.Finished):
            self.answered_ms = sent.done_at - self.at
        elif len(self.sends) <= _RESENDS and sent.final is not None:
            wait = sent.final.retry_after_ms or 200
            spread = self.world.rng.randrange(wait // 2 + 1)
            self.world.after(wait + spread, self._send)


def run(kind: type[worlds.World], load: float, seed: int) -> Figures:
    """Runs one load."""
    world = kind(seed, server_count=_SERVERS, make_server=QueuedServer)
    world.run(500)
    start = world.now
    callers: list[Caller] = []

    def arrive(number: int) -> None:
        callers.append(Caller(world, number))

    count = int(load * _PER_MS * _ARRIVALS_MS)
    for number in range(count):
        at = world.rng.randrange(_ARRIVALS_MS)
        world.after(at, functools.partial(arrive, number))
    world.run(_ARRIVALS_MS + 5_000)
    counted = [c for c in callers if c.at > start + _WARM_MS]
    refusals = sorted(
        sent.done_at - sent.at
        for caller in counted
        for sent in caller.sends
        if isinstance(sent.final, messages.Refused)
        and sent.final.verdict is Verdict.NOT_RUN
    )
    in_time = [
        sent
        for caller in callers
        for sent in caller.sends
        if isinstance(sent.final, messages.Finished)
        and sent.done_at - sent.at <= _DEADLINE_MS
        and start + _WARM_MS < sent.done_at <= start + _ARRIVALS_MS
    ]
    late = sum(
        sent.done_at - sent.at > _DEADLINE_MS + 600 or not sent.done_at
        for caller in counted
        for sent in caller.sends
    )
    return Figures(
        arrived=len(counted),
        good=len(in_time),
        attempts=sum(
            server.ran
            for server in world.servers.values()
            if isinstance(server, QueuedServer)
        ),
        refused_ms=refusals[len(refusals) // 2] if refusals else 0,
        late=late,
    )


def main() -> None:
    """Prints goodput as a share of capacity, the mean over the seeds."""
    capacity = _PER_MS * (_ARRIVALS_MS - _WARM_MS)
    kinds = (LimitedWorld, BudgetlessWorld, UnlimitedWorld)
    print("| load | variant | goodput | refused after, ms | late |")
    print("| --- | --- | --- | --- | --- |")
    for load in LOADS:
        for kind in kinds:
            found = [run(kind, load, seed) for seed in SEEDS]
            share = sum(f.good for f in found) / len(found) / capacity
            waited = sorted(f.refused_ms for f in found)[len(found) // 2]
            late = sum(f.late for f in found)
            cells = (load, kind.__name__, f"{share:.2f}", waited, late)
            print("|", " | ".join(map(str, cells)), "|")
            sys.stdout.flush()


if __name__ == "__main__":
    main()
