"""Drives consensus cores through faults, from one seed, on virtual time.

Every node has a clock that drifts, a disk whose unsynced operations may be
lost, and a machine that lists what was applied. Checks run after each event.
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from typing import TYPE_CHECKING, Any

from catkinpin.core.consensus import commands, core, messages, state
from catkinpin.core.consensus.messages import EntryKind, Member, Members
from tests.fakes.simdisk import Disk, Image

if TYPE_CHECKING:
    from collections.abc import Callable

TICK_MS = 25


class CheckError(AssertionError):
    """Something that must always hold did not."""


class Crash(Exception):  # noqa: N818
    """The node dies between two disk operations."""


class Node:
    """One replica."""

    def __init__(self, sim: Simulation, address: str, image: Image) -> None:
        self.sim = sim
        self.address = address
        self.name = f"{address}#{next(sim.lives)}"
        self.rate = 1 + sim.rng.uniform(-1, 1) * state.MAX_CLOCK_DRIFT_SHARE
        self.offset = sim.rng.randint(10_000, 1_000_000)
        self.disk = Disk(image)
        self.up = False
        self.frozen_until = 0.0
        self.loading_ms = 0
        self.died = 0.0

    def now(self) -> int:
        return int(self.sim.now * self.rate) + self.offset

    def start(self) -> None:
        image = self.disk.image
        stored = state.StoredState(
            members=image.members,
            term=image.term,
            vote=image.vote,
            led=image.led,
            base=image.base,
            base_term=image.base_term,
            snapshot=image.snapshot,
            entries=list(image.log),
        )
        seed = self.sim.rng.random()
        self.core = core.Core(
            self.name,
            stored,
            random.Random(seed),
            self.now(),
            self.sim.timing,
            # No process begins before the one before it has died.
            self.now() - min(self.loading_ms, int(self.sim.now - self.died)),
        )
        self.applied = list(image.applied)
        self.applied_index = image.snapshot
        self.leading = False
        self.up = True

    def crash(self) -> None:
        self.up = False
        self.leading = False
        self.died = self.sim.now
        self.disk.crash(self.sim.rng)

    def restart(self) -> None:
        if not self.up:
            self.start()

    def run(self, event: Callable[[], Any]) -> None:
        """Lets the core take an event, later where the node is frozen."""
        if self.sim.now < self.frozen_until:
            self.sim.at(self.frozen_until, lambda: self.run(event))
        elif self.up:
            try:
                event()
                self.flush()
            except Crash:
                self.crash()
                delay = self.sim.rng.randint(50, 3000)
                self.sim.at(self.sim.now + delay, self.restart)

    def flush(self) -> None:
        while out := self.core.take_output(self.now()):
            later = [c for c in out if not self.before_sync(c)]
            self.may_crash()
            self.disk.sync()
            self.may_crash()
            log = self.core.state.log
            self.core.synced(log.last, log.last_term, self.now())
            for command in later:
                self.after_sync(command)

    def may_crash(self) -> None:
        if self.sim.rng.random() < self.sim.crash_chance:
            raise Crash

    def before_sync(self, command: commands.Command) -> bool:
        match command:
            case commands.SaveState(term, vote, led):
                if self.sim.saves_votes:
                    self.write(lambda i: _set(i, term=term, vote=vote, led=led))
            case commands.SaveEntries(entries):
                self.write(lambda i: _extend(i, entries))
            case commands.Restore(offer, keeps_tail):
                self.restore(offer, keeps_tail)
            case commands.Send(to, message, False):
                self.sim.send(self, to, message)
            case commands.Send(to, message, True) if self.sim.acks_early:
                self.sim.send(self, to, message)
            case commands.SendEntries(to, message, first, last):
                self.sim.send(self, to, _filled(self, message, first, last))
            case _:
                return False
        return True

    def after_sync(self, command: commands.Command) -> None:
        match command:
            case commands.Send(to, message):
                self.sim.send(self, to, message)
            case commands.Apply(first, last):
                self.apply(first, last)
            case commands.ReportLeadership(leading):
                self.leading = leading
            case commands.Fetch(sender, offer):
                self.sim.fetch(self, sender, offer)

    def write(self, op: Callable[[Image], None]) -> None:
        self.may_crash()
        self.disk.do(op)

    def apply(self, first: int, last: int) -> None:
        for entry in self.disk.image.log:
            if first <= entry.index <= last:
                self.sim.check_applied(self, entry)
                self.applied_index = entry.index
                if entry.kind is EntryKind.DATA:
                    self.applied.append((entry.index, entry.payload))

    def restore(self, offer: messages.SnapshotOffer, tail: bool) -> None:
        applied = self.fetched[offer.index]

        def op(image: Image) -> None:
            if not tail:
                image.log = []
            image.compact(offer.index, offer.last_term, offer.members)
            image.snapshot, image.applied = offer.index, list(applied)

        self.write(op)
        self.applied, self.applied_index = list(applied), offer.index

    def take_snapshot(self) -> None:
        """Writes a snapshot and cuts the log, with some tail left."""
        log = self.core.state.log
        index, applied = self.applied_index, list(self.applied)
        base = max(log.base, index - self.sim.rng.randint(0, 20))
        term, members = log.term_at(base), log.members_at(base)

        def op(image: Image) -> None:
            image.snapshot, image.applied = index, applied
            image.compact(base, term, members)

        self.write(op)
        self.disk.sync()
        self.core.compact(index, base)

    fetched: dict[int, list[tuple[int, bytes]]]


class Simulation:
    """A group, its network, its faults and the checks."""

    timing = state.Timing()
    saves_votes = True
    acks_early = False

    def __init__(self, seed: int, size: int, loses_disks: bool = True) -> None:
        self.rng = random.Random(seed)
        self.lives = itertools.count(1)
        self.now = 0.0
        self.crash_chance = 0.0
        self.loss = 0.0
        self.cuts: set[tuple[str, str]] = set()
        self.loses_disks = loses_disks
        self.recovering = False
        self.calm = False
        self.leaders: dict[int, str] = {}
        self.committed: dict[int, messages.Entry] = {}
        self.acked = 0
        self.proposed = itertools.count()
        self._queue: list[Any] = []
        self._order = itertools.count()
        self.nodes = [Node(self, f"host-{n}", Image()) for n in range(size)]
        members = [Member(node=n.name, address=n.address) for n in self.nodes]
        for node in self.nodes:
            node.disk = Disk(Image(members=Members(members=members)))
            self.begin(node)

    def begin(self, node: Node) -> None:
        node.fetched = {}
        node.start()
        self.tick(node)

    def at(self, when: float, what: Callable[[], Any]) -> None:
        heapq.heappush(self._queue, (when, next(self._order), what))

    def run_until(self, end: float) -> None:
        while self._queue and self._queue[0][0] <= end:
            self.now, _, what = heapq.heappop(self._queue)
            what()
            self.check()
        self.now = end

    def tick(self, node: Node) -> None:
        if node in self.nodes:
            if self.now >= node.frozen_until:
                node.run(lambda: node.core.tick(node.now()))
            self.at(self.now + TICK_MS, lambda: self.tick(node))

    def send(self, node: Node, to: str, message: Any) -> None:
        for _ in range(2 if self.rng.random() < self.loss / 2 else 1):
            if self.rng.random() >= self.loss:
                delay = self.rng.uniform(0.2, 8)
                if self.rng.random() < self.loss:
                    delay = self.rng.uniform(1, 2500)
                self.at(
                    self.now + delay,
                    lambda: self.deliver(node, to, message),
                )

    def deliver(self, sender: Node, to: str, message: Any) -> None:
        node = self.find(to)
        if node is None or (sender.address, node.address) in self.cuts:
            return
        node.run(lambda: node.core.step(sender.name, message, node.now()))

    def find(self, name: str) -> Node | None:
        return next((n for n in self.nodes if n.name == name), None)

    def fetch(self, node: Node, sender: str, offer: Any) -> None:
        source = self.find(sender)
        image = source.disk.image if source is not None else Image()
        if source is None or not source.up or image.snapshot != offer.index:
            return
        node.fetched[offer.index] = list(image.applied)
        delay = self.rng.uniform(1, 400)
        self.at(
            self.now + delay,
            lambda: node.run(lambda: node.core.install(sender, offer)),
        )

    def propose(self) -> None:
        """A caller writes wherever a replica says that it leads."""
        if self.calm:
            return
        for node in self.nodes:
            if node.up and node.leading:
                self.propose_to(node, b"%d" % next(self.proposed))
        # Pauses matter: only a quiet log lets one that was cut off win.
        longest = self.rng.choice([60] * 30 + [4000])
        self.at(self.now + self.rng.uniform(1, longest), self.propose)

    def propose_to(self, node: Node, payload: bytes) -> None:
        node.run(lambda: node.core.propose(payload, node.now()))

    # Faults.

    def fault(self) -> None:
        if self.recovering:
            return
        node = self.rng.choice(self.nodes)
        until = self.now + self.rng.uniform(50, 3000)
        match self.rng.randint(0, 8):
            case 0 if node.up:
                node.crash()
                self.at(until, node.restart)
            case 1:
                node.frozen_until = until
            case 2:
                self.cut({(node.address, o.address) for o in self.nodes}, until)
            case 3:
                self.cut({(o.address, node.address) for o in self.nodes}, until)
            case 4:
                other = self.rng.choice(self.nodes)
                self.cut({(node.address, other.address)}, until)
            case 5 if node.up:
                node.run(lambda: node.core.transfer(node.now()))
            case 6 | 7 if node.up:
                node.run(node.take_snapshot)
            case 8 if self.loses_disks and self.whole():
                self.lose_disk(node)
        self.at(self.now + self.rng.uniform(20, 900), self.fault)

    def cut(self, links: set[tuple[str, str]], until: float) -> None:
        self.cuts |= links
        self.at(until, lambda: self.cuts.difference_update(links))

    def whole(self) -> bool:
        """Returns whether every node is a voter that has the log."""
        names = sorted(node.name for node in self.nodes)
        for node in self.nodes:
            core_state = node.core.state if node.up else None
            if (
                core_state is None
                or sorted(core_state.log.members.voters()) != names
                or core_state.log.members_index > core_state.commit
            ):
                return False
        return True

    def lose_disk(self, node: Node) -> Node:
        """The node comes back with an empty disk, so as another node."""
        node.up = False
        fresh = Node(self, node.address, Image())
        self.nodes[self.nodes.index(node)] = fresh
        self.begin(fresh)
        self.join(fresh)
        return fresh

    def join(self, fresh: Node) -> None:
        """Asks the leader for membership until the fresh node votes."""
        for node in self.nodes:
            if node.up:
                self.add_learner(node, fresh)
        if fresh in self.nodes and not self.whole():
            self.at(self.now + 300, lambda: self.join(fresh))

    def add_learner(self, node: Node, fresh: Node) -> None:
        add = node.core.add_learner
        node.run(lambda: add(fresh.name, fresh.address, node.now()))

    # Checks.

    def check_applied(self, node: Node, entry: messages.Entry) -> None:
        if entry.index != node.applied_index + 1:
            raise CheckError(f"{node.name} applies {entry} out of order")
        known = self.committed.setdefault(entry.index, entry)
        if known != entry:
            raise CheckError(f"{known} was committed, now {entry}")
        if node.leading:
            self.acked = max(self.acked, entry.index)

    def check(self) -> None:
        holders = []
        for node in self.nodes:
            if not node.up:
                continue
            if node.core.role is state.Role.LEADER:
                first = self.leaders.setdefault(node.core.term, node.name)
                if first != node.name:
                    raise CheckError(f"two leaders in {node.core.term}")
            if node.leading and node.core.holds_lease(node.now()):
                holders.append(node)
        if len(holders) > 1:
            raise CheckError(f"two leases: {[n.name for n in holders]}")
        for node in holders:
            if node.applied_index < self.acked:
                raise CheckError(f"{node.name} would answer an old read")


class Blackouts(Simulation):
    """Now and then all nodes die at once, and are back one by one."""

    def fault(self) -> None:
        super().fault()
        if self.recovering or self.rng.random() > 0.15:
            return
        for node in self.nodes:
            node.loading_ms = self.rng.randint(0, 300)
            if node.up:
                node.crash()
            self.at(self.now + self.rng.uniform(300, 900), node.restart)


def _set(image: Image, **fields: Any) -> None:
    for name, value in fields.items():
        setattr(image, name, value)


def _extend(image: Image, entries: list[messages.Entry]) -> None:
    image.cut(entries[0].index - 1)
    image.log.extend(entries)


def _filled(node: Node, message: Any, first: int, last: int) -> Any:
    log = node.disk.image.log
    start = first - log[0].index
    entries = log[start : start + last - first + 1]
    return messages.Append(
        term=message.term,
        prev_index=message.prev_index,
        prev_term=message.prev_term,
        commit=message.commit,
        sent_ms=message.sent_ms,
        entries=entries,
    )


def run(
    seed: int, size: int, kind: type[Simulation] = Simulation, **options: Any
) -> Simulation:
    """Runs a group through 20 s of faults and a calm end.

    Raises:
        CheckError: a check failed, or the group did not recover.
    """
    sim = kind(seed, size, **options)
    sim.propose()
    sim.crash_chance = sim.rng.choice([0, 0.001, 0.01])
    sim.loss = sim.rng.choice([0, 0.02, 0.15])
    sim.at(500, sim.fault)
    sim.run_until(20_000)
    sim.crash_chance = sim.loss = 0.0
    sim.recovering = True
    sim.run_until(40_000)
    sim.calm = True
    sim.run_until(42_000)
    states = {tuple(node.applied) for node in sim.nodes}
    if len(states) != 1 or not sim.whole():
        raise CheckError("the replicas do not agree once all is calm")
    return sim


def main() -> None:
    """Runs the seeds from the first argument to the one before the second.

    With a third, `blackouts`, all nodes die at once now and then.
    """
    first, last = map(int, sys.argv[1:3])
    kind = Blackouts if "blackouts" in sys.argv[3:] else Simulation
    failed = 0
    for seed in range(first, last):
        try:
            run(seed, 5 if seed % 2 else 3, kind)
        except AssertionError as exc:
            failed += 1
            print(f"seed {seed}: {exc}", flush=True)
    print(f"{last - first} seeds, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
