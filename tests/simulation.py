"""Simulates a group of consensus cores with random faults in virtual time.

A seed determines the whole run. Each node has a clock that drifts, a disk that
may lose unsynced operations, and a state machine that lists the applied
entries. Checks run after each event.
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

TICK_INTERVAL_MS = 25


class CheckError(AssertionError):
    """An invariant was violated."""


class Crash(Exception):  # noqa: N818
    """The node crashes between two disk operations."""


class Node:
    """One simulated replica with its clock, disk and state machine."""

    def __init__(self, sim: Simulation, address: str, image: Image) -> None:
        self.sim = sim
        self.address = address
        self.name = f"{address}#{next(sim.incarnation_numbers)}"
        self.clock_rate = (
            1 + sim.rng.uniform(-1, 1) * state.MAX_CLOCK_DRIFT_SHARE
        )
        self.clock_offset_ms = sim.rng.randint(10_000, 1_000_000)
        self.disk = Disk(image)
        self.is_up = False
        self.frozen_until_ms = 0.0
        self.loading_ms = 0
        self.crashed_at_ms = 0.0

    def now_ms(self) -> int:
        return int(self.sim.now_ms * self.clock_rate) + self.clock_offset_ms

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
            self.now_ms(),
            self.sim.timing,
            # A process cannot start before the previous one has crashed.
            self.now_ms()
            - min(self.loading_ms, int(self.sim.now_ms - self.crashed_at_ms)),
        )
        self.applied = list(image.applied)
        self.applied_index = image.snapshot
        self.leading = False
        self.is_up = True

    def crash(self) -> None:
        self.is_up = False
        self.leading = False
        self.crashed_at_ms = self.sim.now_ms
        self.disk.crash(self.sim.rng)

    def restart(self) -> None:
        if not self.is_up:
            self.start()

    def handle(self, event: Callable[[], Any]) -> None:
        """Runs an event on the core, after the freeze if the node is frozen."""
        if self.sim.now_ms < self.frozen_until_ms:
            self.sim.schedule(self.frozen_until_ms, lambda: self.handle(event))
        elif self.is_up:
            try:
                event()
                self.flush()
            except Crash:
                self.crash()
                delay_ms = self.sim.rng.randint(50, 3000)
                self.sim.schedule(self.sim.now_ms + delay_ms, self.restart)

    def flush(self) -> None:
        while out := self.core.take_output(self.now_ms()):
            commands_after_sync = [
                c for c in out if not self.execute_before_sync(c)
            ]
            self.crash_at_random()
            self.disk.sync()
            self.crash_at_random()
            log = self.core.state.log
            self.core.synced(log.last, log.last_term, self.now_ms())
            for command in commands_after_sync:
                self.execute_after_sync(command)

    def crash_at_random(self) -> None:
        if self.sim.rng.random() < self.sim.crash_chance:
            raise Crash

    def execute_before_sync(self, command: commands.Command) -> bool:
        match command:
            case commands.SaveState(term, vote, led):
                if self.sim.saves_votes:
                    self.write(
                        lambda i: _set_fields(i, term=term, vote=vote, led=led)
                    )
            case commands.SaveEntries(entries):
                self.write(lambda i: _write_entries(i, entries))
            case commands.Restore(offer, keeps_tail):
                self.restore(offer, keeps_tail)
            case commands.Send(to, message, False):
                self.sim.send(self, to, message)
            case commands.Send(to, message, True) if self.sim.acks_before_sync:
                self.sim.send(self, to, message)
            case commands.SendEntries(to, message, first, last):
                self.sim.send(
                    self, to, _with_entries(self, message, first, last)
                )
            case _:
                return False
        return True

    def execute_after_sync(self, command: commands.Command) -> None:
        match command:
            case commands.Send(to, message):
                self.sim.send(self, to, message)
            case commands.Apply(first, last):
                self.apply(first, last)
            case commands.ReportLeadership(leading):
                self.leading = leading
            case commands.Fetch(sender, offer):
                self.sim.fetch(self, sender, offer)

    def write(self, operation: Callable[[Image], None]) -> None:
        self.crash_at_random()
        self.disk.execute(operation)

    def apply(self, first: int, last: int) -> None:
        for entry in self.disk.image.log:
            if first <= entry.index <= last:
                self.sim.check_applied(self, entry)
                self.applied_index = entry.index
                if entry.kind is EntryKind.DATA:
                    self.applied.append((entry.index, entry.payload))

    def restore(self, offer: messages.SnapshotOffer, keeps_tail: bool) -> None:
        applied = self.fetched[offer.index]

        def operation(image: Image) -> None:
            if not keeps_tail:
                image.log = []
            image.compact(offer.index, offer.last_term, offer.members)
            image.snapshot, image.applied = offer.index, list(applied)

        self.write(operation)
        self.applied, self.applied_index = list(applied), offer.index

    def take_snapshot(self) -> None:
        """Writes a snapshot and drops most of the log's entries before it."""
        log = self.core.state.log
        index, applied = self.applied_index, list(self.applied)
        base = max(log.base, index - self.sim.rng.randint(0, 20))
        term, members = log.term_at(base), log.members_at(base)

        def operation(image: Image) -> None:
            image.snapshot, image.applied = index, applied
            image.compact(base, term, members)

        self.write(operation)
        self.disk.sync()
        self.core.compact(index, base)

    fetched: dict[int, list[tuple[int, bytes]]]


class Simulation:
    """A group of nodes with its network, faults and checks.

    Attributes:
        timing: timeouts of the group.
        saves_votes: whether terms and votes are written to disk; False breaks
            the nodes on purpose.
        acks_before_sync: whether votes and acknowledgements are sent before
            the sync; True breaks the nodes on purpose.
    """

    timing = state.Timing()
    saves_votes = True
    acks_before_sync = False

    def __init__(self, seed: int, size: int, loses_disks: bool = True) -> None:
        self.rng = random.Random(seed)
        self.incarnation_numbers = itertools.count(1)
        self.now_ms = 0.0
        self.crash_chance = 0.0
        self.loss_chance = 0.0
        self.cut_links: set[tuple[str, str]] = set()
        self.loses_disks = loses_disks
        self.faults_stopped = False
        self.proposals_stopped = False
        self.leader_by_term: dict[int, str] = {}
        self.committed_entries: dict[int, messages.Entry] = {}
        self.last_acked_index = 0
        self.payload_numbers = itertools.count()
        self._queue: list[Any] = []
        self._order = itertools.count()
        self.nodes = [Node(self, f"host-{n}", Image()) for n in range(size)]
        members = [Member(node=n.name, address=n.address) for n in self.nodes]
        for node in self.nodes:
            node.disk = Disk(Image(members=Members(members=members)))
            self.start_node(node)

    def start_node(self, node: Node) -> None:
        node.fetched = {}
        node.start()
        self.tick(node)

    def schedule(self, at_ms: float, event: Callable[[], Any]) -> None:
        heapq.heappush(self._queue, (at_ms, next(self._order), event))

    def run_until(self, end_ms: float) -> None:
        while self._queue and self._queue[0][0] <= end_ms:
            self.now_ms, _, event = heapq.heappop(self._queue)
            event()
            self.check()
        self.now_ms = end_ms

    def tick(self, node: Node) -> None:
        if node in self.nodes:
            if self.now_ms >= node.frozen_until_ms:
                node.handle(lambda: node.core.tick(node.now_ms()))
            self.schedule(
                self.now_ms + TICK_INTERVAL_MS, lambda: self.tick(node)
            )

    def send(self, node: Node, to: str, message: Any) -> None:
        for _ in range(2 if self.rng.random() < self.loss_chance / 2 else 1):
            if self.rng.random() >= self.loss_chance:
                delay_ms = self.rng.uniform(0.2, 8)
                if self.rng.random() < self.loss_chance:
                    delay_ms = self.rng.uniform(1, 2500)
                self.schedule(
                    self.now_ms + delay_ms,
                    lambda: self.deliver(node, to, message),
                )

    def deliver(self, sender: Node, to: str, message: Any) -> None:
        node = self.find_node(to)
        if node is None or (sender.address, node.address) in self.cut_links:
            return
        node.handle(lambda: node.core.step(sender.name, message, node.now_ms()))

    def find_node(self, name: str) -> Node | None:
        return next((n for n in self.nodes if n.name == name), None)

    def fetch(self, node: Node, sender: str, offer: Any) -> None:
        source = self.find_node(sender)
        image = source.disk.image if source is not None else Image()
        if source is None or not source.is_up or image.snapshot != offer.index:
            return
        node.fetched[offer.index] = list(image.applied)
        delay_ms = self.rng.uniform(1, 400)
        self.schedule(
            self.now_ms + delay_ms,
            lambda: node.handle(lambda: node.core.install(sender, offer)),
        )

    def propose(self) -> None:
        """Proposes an entry to every node that believes itself the leader."""
        if self.proposals_stopped:
            return
        for node in self.nodes:
            if node.is_up and node.leading:
                self.propose_to(node, b"%d" % next(self.payload_numbers))
        # Long pauses are needed: a node that was cut off can only win an
        # election if no entries were added meanwhile.
        longest_pause_ms = self.rng.choice([60] * 30 + [4000])
        self.schedule(
            self.now_ms + self.rng.uniform(1, longest_pause_ms), self.propose
        )

    def propose_to(self, node: Node, payload: bytes) -> None:
        node.handle(lambda: node.core.propose(payload, node.now_ms()))

    # Faults.

    def inject_fault(self) -> None:
        if self.faults_stopped:
            return
        node = self.rng.choice(self.nodes)
        until_ms = self.now_ms + self.rng.uniform(50, 3000)
        match self.rng.randint(0, 8):
            case 0 if node.is_up:
                node.crash()
                self.schedule(until_ms, node.restart)
            case 1:
                node.frozen_until_ms = until_ms
            case 2:
                self.cut_until(
                    {(node.address, o.address) for o in self.nodes}, until_ms
                )
            case 3:
                self.cut_until(
                    {(o.address, node.address) for o in self.nodes}, until_ms
                )
            case 4:
                other = self.rng.choice(self.nodes)
                self.cut_until({(node.address, other.address)}, until_ms)
            case 5 if node.is_up:
                node.handle(lambda: node.core.transfer(node.now_ms()))
            case 6 | 7 if node.is_up:
                node.handle(node.take_snapshot)
            case 8 if self.loses_disks and self.is_repaired():
                self.lose_disk(node)
        self.schedule(
            self.now_ms + self.rng.uniform(20, 900), self.inject_fault
        )

    def cut_until(self, links: set[tuple[str, str]], until_ms: float) -> None:
        self.cut_links |= links
        self.schedule(until_ms, lambda: self.cut_links.difference_update(links))

    def is_repaired(self) -> bool:
        """Returns whether all nodes are up and committed as voters."""
        names = sorted(node.name for node in self.nodes)
        for node in self.nodes:
            consensus_state = node.core.state if node.is_up else None
            if (
                consensus_state is None
                or sorted(consensus_state.log.members.voters()) != names
                or consensus_state.log.members_index > consensus_state.commit
            ):
                return False
        return True

    def lose_disk(self, node: Node) -> Node:
        """Replaces the node by one with an empty disk and a new identity."""
        node.is_up = False
        new_node = Node(self, node.address, Image())
        self.nodes[self.nodes.index(node)] = new_node
        self.start_node(new_node)
        self.join(new_node)
        return new_node

    def join(self, new_node: Node) -> None:
        """Asks all nodes to add the new node until it is a voter."""
        for node in self.nodes:
            if node.is_up:
                self.add_learner(node, new_node)
        if new_node in self.nodes and not self.is_repaired():
            self.schedule(self.now_ms + 300, lambda: self.join(new_node))

    def add_learner(self, node: Node, new_node: Node) -> None:
        add = node.core.add_learner
        node.handle(lambda: add(new_node.name, new_node.address, node.now_ms()))

    # Checks.

    def check_applied(self, node: Node, entry: messages.Entry) -> None:
        if entry.index != node.applied_index + 1:
            raise CheckError(f"{node.name} applies {entry} out of order")
        first_committed = self.committed_entries.setdefault(entry.index, entry)
        if first_committed != entry:
            raise CheckError(f"{first_committed} was committed, now {entry}")
        if node.leading:
            self.last_acked_index = max(self.last_acked_index, entry.index)

    def check(self) -> None:
        lease_holders = []
        for node in self.nodes:
            if not node.is_up:
                continue
            if node.core.role is state.Role.LEADER:
                leader = self.leader_by_term.setdefault(
                    node.core.term, node.name
                )
                if leader != node.name:
                    raise CheckError(f"two leaders in {node.core.term}")
            if node.leading and node.core.holds_lease(node.now_ms()):
                lease_holders.append(node)
        if len(lease_holders) > 1:
            raise CheckError(f"two leases: {[n.name for n in lease_holders]}")
        for node in lease_holders:
            if node.applied_index < self.last_acked_index:
                raise CheckError(f"{node.name} would serve a stale read")


class PowerLossSimulation(Simulation):
    """Occasionally crashes all nodes at once; they restart one by one."""

    def inject_fault(self) -> None:
        super().inject_fault()
        if self.faults_stopped or self.rng.random() > 0.15:
            return
        for node in self.nodes:
            node.loading_ms = self.rng.randint(0, 300)
            if node.is_up:
                node.crash()
            self.schedule(
                self.now_ms + self.rng.uniform(300, 900), node.restart
            )


def _set_fields(image: Image, **fields: Any) -> None:
    for name, value in fields.items():
        setattr(image, name, value)


def _write_entries(image: Image, entries: list[messages.Entry]) -> None:
    image.truncate_after(entries[0].index - 1)
    image.log.extend(entries)


def _with_entries(node: Node, message: Any, first: int, last: int) -> Any:
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
    """Runs a group through 20 s of faults, then 22 s without faults.

    No entries are proposed in the last 2 s.

    Raises:
        CheckError: a check failed, or the group did not recover.
    """
    sim = kind(seed, size, **options)
    sim.propose()
    sim.crash_chance = sim.rng.choice([0, 0.001, 0.01])
    sim.loss_chance = sim.rng.choice([0, 0.02, 0.15])
    sim.schedule(500, sim.inject_fault)
    sim.run_until(20_000)
    sim.crash_chance = sim.loss_chance = 0.0
    sim.faults_stopped = True
    sim.run_until(40_000)
    sim.proposals_stopped = True
    sim.run_until(42_000)
    states = {tuple(node.applied) for node in sim.nodes}
    if len(states) != 1 or not sim.is_repaired():
        raise CheckError("the replicas differ after the faults ended")
    return sim


def main() -> None:
    """Runs the seeds from the first argument up to, not including, the second.

    With the third argument `blackouts`, all nodes crash at once occasionally.
    """
    first, last = map(int, sys.argv[1:3])
    kind = PowerLossSimulation if "blackouts" in sys.argv[3:] else Simulation
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
