"""Simulation of a shard's core with fake entries, servers, callers and log.

Everything runs on a simulated clock in one thread, so that a seed always
replays the same run. A test injects a fault when a selected call reaches a
selected step.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING, Any

from catkinpin import codec, configuration
from catkinpin.core import messages
from catkinpin.core.placement import candidates, scheduler, servers
from catkinpin.core.programs import commands, leader, records, shard
from tests.fakes.worldentry import Entry
from tests.fakes.worldfacts import BUDGET
from tests.fakes.worldserver import Server

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.fakes.worldfacts import Seen, Sent
    from tests.fakes.worldprogram import Program

_TICK_MS = 50
_LATENCY_MS = 2
_ELECTION_MS = 600
_CONFIG = (
    b'[[accounts]]\nname = "a"\nkey_sha256 = "%s"\n'
    b'[[deployments]]\nname = "d"\ntargets = ["model", "service"]\n'
    b"budget_tokens = %d\npriority = %d\n"
)
_decoder = codec.decoder(records.ShardRecord)


class World:
    """Holds the simulated clock, the log, the leader and the fakes.

    Attributes:
        now: simulated time in ms.
        on_step: called with the name of each step and the key of its call.
        log: payloads of the committed records.
        state: the shard's state after the committed records.
        leader: the shard's leader, None between two leaders.
        log_delay: time of the latest append, in ms.
        seen: requests as they reached servers.
        sent: requests as callers sent them.
        quarantined: contents that the leader shared as quarantined.
    """

    def __init__(
        self,
        seed: int,
        server_count: int = 3,
        make_server: Callable[[World, str, str], Server] | None = None,
    ) -> None:
        make_server = make_server or Server
        self.rng = random.Random(seed)
        self.now = 1_000
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._count = itertools.count()
        self.on_step: Callable[[str, messages.CallKey | None], None] = (
            lambda step, key: None
        )
        self.cfg = configuration.parse(_CONFIG % (b"0" * 64, BUDGET, 0))
        self.log: list[bytes] = []
        self.state = shard.Shard("shard-0")
        self.leader: leader.ShardLeader | None = None
        self.term = 0
        self.log_delay = 0
        self.seen: list[Seen] = []
        self.sent: list[Sent] = []
        self.programs: list[Program] = []
        self.quarantined: set[bytes] = set()
        self.entries = {f"e{i}": Entry(self, f"e{i}") for i in range(3)}
        kinds = {"m": "model", "s": "service"}
        self.servers = {
            f"{letter}{i}": make_server(self, f"{letter}{i}", kind)
            for letter, kind in kinds.items()
            for i in range(server_count)
        }
        self.elect()
        self.after(_TICK_MS, self._tick)

    def after(self, delay: int, act: Callable[[], None]) -> None:
        """Schedules `act` to run in `delay` ms."""
        heapq.heappush(self._heap, (self.now + delay, next(self._count), act))

    def run(self, ms: int) -> None:
        """Runs the scheduled actions of the next `ms` milliseconds."""
        end = self.now + ms
        while self._heap and self._heap[0][0] <= end:
            self.now, _, act = heapq.heappop(self._heap)
            act()
        self.now = end

    def next_ask(self) -> int:
        """Returns a new number for a question to the leader."""
        return next(self._count) + 1

    def latency(self) -> int:
        """Returns a random latency for one message, in ms."""
        return _LATENCY_MS + self.rng.randrange(3)

    def _tick(self) -> None:
        self.after(_TICK_MS, self._tick)
        if self.leader is not None:
            decisions = self.jobs.tick(self.now)
            self.act(
                self.leader.handle_decisions(decisions, self.now, self.now)
            )
            self.act(self.leader.tick(self.now, self.now))

    # The log and its leader.

    def elect(self) -> None:
        """Rebuilds the state and starts a new leader.

        The state comes from a snapshot or from a replay of the log, at random;
        both must give the same state.
        """
        self.term += 1
        previous, self.state = self.state, shard.Shard("shard-0")
        if self.rng.random() < 0.5 and self.log:
            self.state.restore(previous.snapshot())
        else:
            for index, payload in enumerate(self.log, 1):
                self.state.apply(index, _decoder.decode(payload))
        assert self.state.snapshot() == previous.snapshot() or not self.log
        self.view = servers.ServerView()
        self.jobs = self.make_scheduler(self.view)
        self.leader = leader.ShardLeader(
            self.state,
            self.jobs,
            self.cfg,
            random.Random(self.term),
            self.quarantined.__contains__,
        )
        for entry in self.entries.values():
            if entry.connected:
                self.leader.entry_connected(entry.ref)
        self.act(self.leader.start(self.now, self.now))
        for entry in self.entries.values():
            entry.do(entry.ask_again)

    def make_scheduler(self, view: servers.ServerView) -> scheduler.Scheduler:
        """Returns a scheduler with or without a queue, at random."""
        if self.rng.random() < 0.5:
            return scheduler.Scheduler(view, candidates.sticky)
        policy = candidates.by_cost(candidates.CostModel())
        return scheduler.Scheduler(view, policy, scheduler.QueueOptions())

    def reconfigure(self) -> None:
        """Applies a configuration with another priority."""
        self.cfg = configuration.parse(_CONFIG % (b"0" * 64, BUDGET, 7))
        if self.leader is not None:
            self.leader.cfg = self.cfg

    def depose(self) -> None:
        """Removes the leader and drops the records that are not committed."""
        self.term += 1
        self.leader = None
        self.after(_ELECTION_MS, self.elect)

    def act(self, issued: list[commands.Command]) -> None:
        """Executes a leader's commands."""
        for command in issued:
            match command:
                case commands.Propose():
                    self._append_later(codec.encode(command.record), self.term)
                case commands.Send():
                    self._to_entry(command.to, command.message)
                case commands.ShareQuarantine():
                    self.quarantined.add(command.content)
                case commands.SendGrant():
                    raise AssertionError(
                        "the fakes always send complete histories"
                    )
                case commands.SendAnswer():
                    record = _decoder.decode(self.log[command.record_index - 1])
                    reply = messages.Finished(
                        ask=command.ask,
                        key=command.key,
                        attempt=record.attempt,
                        answer=record.answer,
                        seq=command.seq,
                    )
                    self._to_entry(command.to, reply)

    def _append_later(self, payload: bytes, term: int) -> None:
        self.log_delay = max(self.log_delay, self.now) + self.rng.randrange(2)
        wait = self.log_delay + 3 - self.now
        self.after(wait, lambda: self._commit(payload, term))

    def _commit(self, payload: bytes, term: int) -> None:
        if term != self.term or self.leader is None:
            return
        record = _decoder.decode(payload)
        self.log.append(payload)
        effects = self.state.apply(len(self.log), record)
        for program in self.state.programs.values():
            assert program.spent + program.reserved <= BUDGET
        self.act(
            self.leader.handle_applied(record, effects, self.now, self.now)
        )
        match record:
            case records.CallBegun():
                self.on_step("append 1", record.begin.key)
            case records.AttemptFinished():
                self.on_step("append 2", record.key)
            case records.ProgramEnded():
                key = messages.CallKey(
                    account="a", program=record.key.program, request_id=""
                )
                self.on_step("end", key)

    def _to_entry(self, to: commands.EntryRef, message: Any) -> None:
        entry = self.entries[to.process]
        epoch = entry.epoch

        def deliver() -> None:
            if entry.deaf or entry.epoch != epoch:
                return
            if entry.incarnation == to.incarnation:
                entry.do(lambda: entry.receive(message))

        self.after(self.latency() + entry.delay, deliver)

    def to_leader(self, entry: Entry, message: Any) -> None:
        """Delivers a message from an entry to the leader, after a latency."""
        epoch = entry.epoch

        def deliver() -> None:
            if entry.mute or entry.epoch != epoch or self.leader is None:
                return
            issued: list[commands.Command] = []
            match message:
                case messages.Begin():
                    issued = self.leader.begin(
                        entry.ref, message, self.now, self.now
                    )
                case messages.Finish():
                    issued = self.leader.finish(
                        entry.ref, message, self.now, self.now
                    )
                case messages.EndProgram():
                    issued = self.leader.end_program(
                        entry.ref, message, self.now
                    )
                case messages.ReleaseDone():
                    issued = self.leader.release_done(message, self.now)
            self.act(issued)

        if entry.connected:
            self.after(self.latency() + entry.delay, deliver)
