"""Simulates the founding of a system in virtual time, with faults at any step.

The seeds run the product's `Founder`; disks, links and processes are
simulated. A step is the delivery of one message or the execution of one
command, so that a fault can occur between a sync and the message after it.
"""

from __future__ import annotations

import dataclasses
import heapq
import itertools
from typing import TYPE_CHECKING, Any

from catkinpin.core.consensus import foundingtypes as types
from catkinpin.core.consensus.founding import Founder

if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from catkinpin.core.consensus.messages import Members

_TICK_INTERVAL_MS = 50
_INTRODUCTION_INTERVAL_MS = 200
_RESTART_DELAY_MS = 300
_LATE_DELAY_MS = 4_000
FAULTS = ("kill", "wipe", "freeze", "cut", "mute", "lose", "late")


class CheckError(AssertionError):
    """An invariant was violated, or the founding made no progress."""


@dataclasses.dataclass
class Disk:
    """State of a seed that survives the end of its process.

    Attributes:
        node: the seed's identity.
        record: the record of the founding.
        founders: the first members, once the seed has learned them.
        joined: whether the seed joined a system founded without it.
    """

    node: str
    record: types.SeedRecord
    founders: Members | None = None
    joined: bool = False


class Seed:
    """A seed's host with its disk and, while it runs, its process."""

    def __init__(self, sim: Simulation, address: str) -> None:
        self.sim = sim
        self.address = address
        self.disk: Disk | None = None
        self.founder: Founder | None = None
        self.last_introduction_ms = 0
        self.frozen_until_ms = 0
        self.cut_until_ms = 0
        self.mute_until_ms = 0

    @property
    def is_member(self) -> bool:
        disk = self.disk
        return disk is not None and (disk.founders is not None or disk.joined)

    def start(self, *, first: bool) -> None:
        if self.disk is None:
            node = f"{self.address}#{next(self.sim.incarnation_numbers)}"
            self.disk = Disk(node, types.SeedRecord(empty=not first))
        self.founder = self.sim.make_founder(
            self.disk.node,
            self.address,
            tuple(self.sim.seeds),
            self.disk.record,
            self.sim.now_ms,
        )

    def kill(self, *, wipe: bool = False) -> None:
        if wipe:
            self.disk = None
            self.sim.wiped_count += 1
        self.founder = None
        self.sim.schedule_in(_RESTART_DELAY_MS, self._restart)

    def _restart(self) -> None:
        if self.founder is None:
            self.start(first=False)

    def tick(self) -> None:
        if self.founder is None or self.is_member:
            return
        if (
            self.sim.now_ms - self.last_introduction_ms
            >= _INTRODUCTION_INTERVAL_MS
        ):
            self.last_introduction_ms = self.sim.now_ms
            for other in self.sim.seeds.values():
                if other is not self:
                    self.sim.send(self, other, self.founder.seed_info())
        self.founder.tick(self.sim.now_ms)
        self.execute_commands()

    def execute_commands(self) -> None:
        """Executes the commands; a fault may be injected before each."""
        while self.founder is not None and not self.is_member:
            commands = self.founder.take_output()
            if not commands:
                return
            for command in commands:
                self.sim.record_step(self)
                if self.founder is None or self.is_member:
                    return
                self._execute(command)

    def _execute(self, command: types.Command) -> None:
        assert self.disk is not None
        match command:
            case types.Save(record):
                self.disk.record = record
            case types.Send(message):
                receiver_address = message.to.partition("#")[0]
                self.sim.send(self, self.sim.seeds[receiver_address], message)
            case types.Decided(members):
                self.adopt_founders(members)
                for other in self.sim.seeds.values():
                    if other is not self:
                        self.sim.send(self, other, members)

    def adopt_founders(self, members: Members) -> None:
        assert self.disk is not None
        self.disk.founders = members
        self.sim.record_founding(members)

    def receive(self, sender: Seed, message: Any) -> None:
        if self.founder is None or self.disk is None:
            return
        if self.is_member:
            if self.disk.founders is not None and not _is_members(message):
                self.sim.send(self, sender, self.disk.founders)
            return
        if _is_members(message):
            if message.find(self.disk.node) is not None:
                self.adopt_founders(message)
            else:
                self.disk.joined = True
            return
        if isinstance(message, types.SeedInfo):
            self.founder.handle_seed_info(message, self.sim.now_ms)
        else:
            self.founder.step(message, self.sim.now_ms)
        self.execute_commands()


def _is_members(message: Any) -> bool:
    return hasattr(message, "voters")


class Simulation:
    """A set of seeds in virtual time.

    Args:
        count: number of seeds.
        rng: random source for the delays.
        make_founder: creates a `Founder`, or a faulty one for a test.
        on_step: called with the number of each step and the seed concerned.
    """

    def __init__(
        self,
        count: int,
        rng: random.Random,
        make_founder: Callable[..., Founder] = Founder,
        on_step: Callable[[int, Seed], None] = lambda _number, _seed: None,
    ) -> None:
        self.now_ms = 0
        self.make_founder = make_founder
        self.incarnation_numbers = itertools.count(1)
        self.rng = rng
        self.wiped_count = 0
        self.step_count = 0
        self.founded_members: list[Members] = []
        self.lose_next_message = False
        self.delay_next_message = False
        self.seeds = {f"s{n}": Seed(self, f"s{n}") for n in range(count)}
        self._on_step = on_step
        self._order = itertools.count()
        self._events: list[tuple[int, int, Callable[[], Any]]] = []

    def schedule_in(self, delay_ms: int, work: Callable[[], Any]) -> None:
        entry = (self.now_ms + delay_ms, next(self._order), work)
        heapq.heappush(self._events, entry)

    def record_step(self, seed: Seed) -> None:
        self.step_count += 1
        self._on_step(self.step_count, seed)

    def inject(self, fault: str, seed: Seed, for_ms: int = 3_000) -> None:
        """Injects one of `FAULTS` at a seed now."""
        match fault:
            case "kill" | "wipe":
                seed.kill(wipe=fault == "wipe")
            case "freeze":
                seed.frozen_until_ms = self.now_ms + for_ms
            case "cut":
                seed.cut_until_ms = self.now_ms + for_ms
            case "mute":
                seed.mute_until_ms = self.now_ms + for_ms
            case "lose":
                self.lose_next_message = True
            case "late":
                self.delay_next_message = True

    def send(self, sender: Seed, to: Seed, message: Any) -> None:
        lost, self.lose_next_message = self.lose_next_message, False
        late, self.delay_next_message = self.delay_next_message, False
        blocked_until_ms = max(
            sender.cut_until_ms, to.cut_until_ms, sender.mute_until_ms
        )
        if lost or blocked_until_ms > self.now_ms:
            return
        delay_ms = _LATE_DELAY_MS if late else self.rng.randint(1, 20)
        self.schedule_in(delay_ms, lambda: self._deliver(sender, to, message))

    def _deliver(self, sender: Seed, to: Seed, message: Any) -> None:
        if to.frozen_until_ms > self.now_ms:
            wait_ms = to.frozen_until_ms - self.now_ms
            self.schedule_in(
                wait_ms, lambda: self._deliver(sender, to, message)
            )
            return
        if to.cut_until_ms > self.now_ms:
            return
        self.record_step(to)
        to.receive(sender, message)

    def record_founding(self, members: Members) -> None:
        if members not in self.founded_members:
            self.founded_members.append(members)
        if len(self.founded_members) > 1:
            raise CheckError(f"founded twice: {self.founded_members}")

    def run(self, until_ms: int) -> None:
        """Runs the events until `until_ms`, with regular ticks of each seed."""
        while self.now_ms < until_ms:
            self.now_ms += _TICK_INTERVAL_MS
            while self._events and self._events[0][0] <= self.now_ms:
                heapq.heappop(self._events)[2]()
            for seed in self.seeds.values():
                if seed.frozen_until_ms <= self.now_ms:
                    seed.tick()

    def count_absent_seeds(self) -> int:
        """Returns how many seeds are not among the first members."""
        members = (
            self.founded_members[0].members if self.founded_members else []
        )
        return len(self.seeds) - len(members)

    def check_progress(self) -> None:
        """Checks that a leader can be elected and all seeds are members."""
        if not self.founded_members:
            raise CheckError("not founded")
        members = self.founded_members[0]
        nodes = {s.disk.node for s in self.seeds.values() if s.disk}
        remaining_voters = sum(node in nodes for node in members.voters())
        if remaining_voters <= len(members.voters()) // 2:
            raise CheckError(f"no quorum of {members} among {nodes}")
        non_members = [
            s.address for s in self.seeds.values() if not s.is_member
        ]
        if non_members:
            raise CheckError(f"{non_members} wait for ever")
