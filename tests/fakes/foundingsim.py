"""Seeds that found a system, with faults at any step, on virtual time.

Runs the product's `Founder`; disks, links and processes are simulated. A step
is one message that reaches its receiver, or one command that a seed carries
out, so that a fault can fall between a sync and the message that follows it.
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

_TICK_MS = 50
_INTRODUCE_MS = 200
_RESTART_MS = 300
_LATE_MS = 4_000
FAULTS = ("kill", "wipe", "freeze", "cut", "mute", "lose", "late")


class CheckError(AssertionError):
    """Something that must always hold did not."""


@dataclasses.dataclass
class Disk:
    """What outlives a process."""

    node: str
    record: types.SeedRecord
    founders: Members | None = None
    joined: bool = False


class Seed:
    """A seed's host: its disk, and its process while that runs."""

    def __init__(self, sim: Simulation, address: str) -> None:
        self.sim = sim
        self.address = address
        self.disk: Disk | None = None
        self.founder: Founder | None = None
        self.introduced_ms = 0
        self.frozen_until = 0
        self.cut_until = 0
        self.mute_until = 0

    @property
    def belongs(self) -> bool:
        disk = self.disk
        return disk is not None and (disk.founders is not None or disk.joined)

    def start(self, *, first: bool) -> None:
        if self.disk is None:
            node = f"{self.address}#{next(self.sim.lives)}"
            self.disk = Disk(node, types.SeedRecord(empty=not first))
        self.founder = self.sim.make(
            self.disk.node,
            self.address,
            tuple(self.sim.seeds),
            self.disk.record,
            self.sim.now,
        )

    def kill(self, *, wipe: bool = False) -> None:
        if wipe:
            self.disk = None
            self.sim.wiped += 1
        self.founder = None
        self.sim.at(_RESTART_MS, self._restart)

    def _restart(self) -> None:
        if self.founder is None:
            self.start(first=False)

    def tick(self) -> None:
        if self.founder is None or self.belongs:
            return
        if self.sim.now - self.introduced_ms >= _INTRODUCE_MS:
            self.introduced_ms = self.sim.now
            for other in self.sim.seeds.values():
                if other is not self:
                    self.sim.send(self, other, self.founder.introduction())
        self.founder.tick(self.sim.now)
        self.carry_out()

    def carry_out(self) -> None:
        """Carries commands out, each a step at which a fault may fall."""
        while self.founder is not None and not self.belongs:
            commands = self.founder.take_output()
            if not commands:
                return
            for command in commands:
                self.sim.step(self)
                if self.founder is None or self.belongs:
                    return
                self._carry_out(command)

    def _carry_out(self, command: types.Command) -> None:
        assert self.disk is not None
        match command:
            case types.Save(record):
                self.disk.record = record
            case types.Send(message):
                target = message.to.partition("#")[0]
                self.sim.send(self, self.sim.seeds[target], message)
            case types.Decided(members):
                self.take_part(members)
                for other in self.sim.seeds.values():
                    if other is not self:
                        self.sim.send(self, other, members)

    def take_part(self, members: Members) -> None:
        assert self.disk is not None
        self.disk.founders = members
        self.sim.founded(members)

    def receive(self, sender: Seed, message: Any) -> None:
        if self.founder is None or self.disk is None:
            return
        if self.belongs:
            if self.disk.founders is not None and not _is_members(message):
                self.sim.send(self, sender, self.disk.founders)
            return
        if _is_members(message):
            if message.find(self.disk.node) is not None:
                self.take_part(message)
            else:
                self.disk.joined = True
            return
        if isinstance(message, types.Introduction):
            self.founder.handle_introduction(message, self.sim.now)
        else:
            self.founder.step(message, self.sim.now)
        self.carry_out()


def _is_members(message: Any) -> bool:
    return hasattr(message, "voters")


class Simulation:
    """Seeds on virtual time.

    Args:
        count: of seeds.
        rng: draws delays.
        make: returns a `Founder`; a test may return one with a fault.
        on_step: called with each step's number and the seed that makes it.
    """

    def __init__(
        self,
        count: int,
        rng: random.Random,
        make: Callable[..., Founder] = Founder,
        on_step: Callable[[int, Seed], None] = lambda _number, _seed: None,
    ) -> None:
        self.now = 0
        self.make = make
        self.lives = itertools.count(1)
        self.rng = rng
        self.wiped = 0
        self.steps = 0
        self.values: list[Members] = []
        self.lose_next = False
        self.late_next = False
        self.seeds = {f"s{n}": Seed(self, f"s{n}") for n in range(count)}
        self._on_step = on_step
        self._order = itertools.count()
        self._events: list[tuple[int, int, Callable[[], Any]]] = []

    def at(self, delay_ms: int, work: Callable[[], Any]) -> None:
        entry = (self.now + delay_ms, next(self._order), work)
        heapq.heappush(self._events, entry)

    def step(self, seed: Seed) -> None:
        self.steps += 1
        self._on_step(self.steps, seed)

    def inject(self, fault: str, seed: Seed, for_ms: int = 3_000) -> None:
        """Has one of `FAULTS` befall a seed now."""
        match fault:
            case "kill" | "wipe":
                seed.kill(wipe=fault == "wipe")
            case "freeze":
                seed.frozen_until = self.now + for_ms
            case "cut":
                seed.cut_until = self.now + for_ms
            case "mute":
                seed.mute_until = self.now + for_ms
            case "lose":
                self.lose_next = True
            case "late":
                self.late_next = True

    def send(self, sender: Seed, to: Seed, message: Any) -> None:
        lost, self.lose_next = self.lose_next, False
        late, self.late_next = self.late_next, False
        away = max(sender.cut_until, to.cut_until, sender.mute_until)
        if lost or away > self.now:
            return
        delay_ms = _LATE_MS if late else self.rng.randint(1, 20)
        self.at(delay_ms, lambda: self._deliver(sender, to, message))

    def _deliver(self, sender: Seed, to: Seed, message: Any) -> None:
        if to.frozen_until > self.now:
            wait_ms = to.frozen_until - self.now
            self.at(wait_ms, lambda: self._deliver(sender, to, message))
            return
        if to.cut_until > self.now:
            return
        self.step(to)
        to.receive(sender, message)

    def founded(self, members: Members) -> None:
        if members not in self.values:
            self.values.append(members)
        if len(self.values) > 1:
            raise CheckError(f"founded twice: {self.values}")

    def run(self, until_ms: int) -> None:
        """Lets time pass, with a tick of each seed now and then."""
        while self.now < until_ms:
            self.now += _TICK_MS
            while self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
            for seed in self.seeds.values():
                if seed.frozen_until <= self.now:
                    seed.tick()

    def absent(self) -> int:
        """Returns how many seeds the system was founded without."""
        members = self.values[0].members if self.values else []
        return len(self.seeds) - len(members)

    def check_progress(self) -> None:
        """Checks that a leader can be elected, and that all belong."""
        if not self.values:
            raise CheckError("not founded")
        members = self.values[0]
        nodes = {s.disk.node for s in self.seeds.values() if s.disk}
        alive = sum(node in nodes for node in members.voters())
        if alive <= len(members.voters()) // 2:
            raise CheckError(f"no quorum of {members} among {nodes}")
        waiting = [s.address for s in self.seeds.values() if not s.belongs]
        if waiting:
            raise CheckError(f"{waiting} wait for ever")
