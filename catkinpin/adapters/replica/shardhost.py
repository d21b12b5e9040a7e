"""A program shard in a replica: its group, its state, its leader's part."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

from catkinpin import codec, configuration, tracing
from catkinpin.core import messages
from catkinpin.core.placement import candidates, scheduler
from catkinpin.core.programs import explanations, leader, records, shard
from catkinpin.core.programs.commands import (
    Command,
    Propose,
    Send,
    SendAnswer,
    SendGrant,
    ShareQuarantine,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.adapters.peers import links
    from catkinpin.adapters.replica.context import ReplicaContext
_decoder = codec.decoder(records.ShardRecord)


class ShardHost:
    """A program shard: its log group, its state and its leader's part."""

    def __init__(self, replica: ReplicaContext, name: str) -> None:
        self._replica = replica
        self._leading = False
        self._tasks: set[asyncio.Task[bool]] = set()
        self.cfg = configuration.Configuration()
        self.state = shard.Shard(name, replica.cfg.shards)
        self.leader = self._new_leader()
        self.group = replica.node.add_group(name, self)

    def configured(self, cfg: configuration.Configuration) -> None:
        """Decides by a new configuration from now on."""
        self.cfg = cfg
        self.leader.cfg = cfg

    def tick(self) -> None:
        """Lets the leader decide anew."""
        if not self._leading:
            return
        now = self._replica.clock.now_ms()
        wall = self._replica.clock.wall_ms()
        decisions = self.scheduler.tick(now)
        self._run(self.leader.handle_decisions(decisions, now, wall))
        self._run(self.leader.tick(now, wall))

    def reported(self, report: messages.ServerReport, made_ms: int) -> None:
        """Takes a server's report, made at a monotonic time."""
        self.leader.handle_report(report, made_ms)

    def entry_connected(self, stream: links.Stream) -> None:
        """Notes an entry's new stream."""
        commands = self.leader.entry_connected(entry_ref(stream))
        if self._leading:
            self._run(commands)

    def entry_lost(self, stream: links.Stream) -> None:
        """Notes that an entry's stream broke."""
        now = self._replica.clock.now_ms()
        self.leader.entry_lost(entry_ref(stream), now)

    def _new_leader(self) -> leader.ShardLeader:
        self.decisions = explanations.RecentDecisions()
        prices = candidates.CostModel()
        share = self._replica.led_share
        self.scheduler = scheduler.Scheduler(
            self._replica.view,
            candidates.by_cost(prices, share, self.decisions.add),
            scheduler.QueueOptions(),
            candidates.home_is_cheapest(prices, share),
        )
        rng = random.Random()
        return leader.ShardLeader(
            self.state, self.scheduler, self.cfg, rng, self._is_quarantined
        )

    def _is_quarantined(self, content: bytes) -> bool:
        return content in self._replica.control.state.quarantine

    def _share(self, content: bytes) -> None:
        """Has the control group quarantine a content; the leader repeats it."""
        reason = f"{self.group.name}: it ran on two servers that crashed"
        task = asyncio.create_task(
            self._replica.control.quarantine(content, reason)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    @property
    def leading(self) -> bool:
        """Whether this replica leads the shard."""
        return self._leading

    def handle(self, stream: links.Stream, message: Any) -> None:
        """Takes an entry's message for this shard."""
        if isinstance(message, messages.ReleaseDone):
            self._release_done(message)
            return
        # A leader that missed a change would place calls on servers that were
        # drained meanwhile, unseen; it decides again once it has confirmed its
        # configuration, and until then the entry asks again.
        unconfirmed = bool(self._replica.lease.problem())
        begins = isinstance(message, messages.Begin)
        if not self.group.is_leader() or (begins and unconfirmed):
            stream.send(
                messages.NotLeader(
                    ask=message.ask,
                    group=self.group.name,
                    leader=self.group.leader,
                )
            )
            return
        entry = entry_ref(stream)
        now = self._replica.clock.now_ms()
        wall = self._replica.clock.wall_ms()
        commands: list[Command] = []
        match message:
            case messages.Begin():
                with tracing.hop("leader.begin", message.traceparent):
                    commands = self.leader.begin(entry, message, now, wall)
            case messages.Finish():
                commands = self.leader.finish(entry, message, now, wall)
            case messages.GetProgram():
                commands = self.leader.get_program(entry, message)
            case explanations.Explain():
                stream.send(self.decisions.explain(message, now))
            case messages.EndProgram():
                commands = self.leader.end_program(entry, message, wall)
        self._run(commands)

    def _release_done(self, done: messages.ReleaseDone) -> None:
        if self.group.is_leader():
            wall = self._replica.clock.wall_ms()
            self._run(self.leader.release_done(done, wall))

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record; only a leader acts on its effects."""
        record = _decoder.decode(payload)
        effects = self.state.apply(index, record)
        if not self._leading:
            return
        now = self._replica.clock.now_ms()
        wall = self._replica.clock.wall_ms()
        self._run(self.leader.handle_applied(record, effects, now, wall))

    def leadership(self, leading: bool) -> None:
        """Takes up or lays down the leader's part."""
        self._leading = leading
        self.scheduler.release_all()
        if not leading:
            return
        self.leader = self._new_leader()
        for stream in self._replica.entry_streams():
            self.leader.entry_connected(entry_ref(stream))
        now = self._replica.clock.now_ms()
        self._run(self.leader.start(now, self._replica.clock.wall_ms()))

    def snapshot(self) -> bytes:
        """Returns the state without the texts."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        self.state.restore(data)

    def referenced(self) -> Iterable[int]:
        """Returns the log indexes whose records are still read."""
        return self.state.referenced()

    def _run(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Propose():
                    self.group.propose(codec.encode(command.record))
                case Send():
                    self._replica.send(command.to, command.message)
                case SendAnswer():
                    self._replica.send(command.to, self._answer(command))
                case ShareQuarantine():
                    self._share(command.content)
                case SendGrant():
                    self._replica.send(command.to, self._grant(command))

    def _answer(self, command: SendAnswer) -> messages.Finished:
        record = _decoder.decode(self.group.read(command.record_index))
        return messages.Finished(
            ask=command.ask,
            key=command.key,
            attempt=record.attempt,
            answer=record.answer,
            seq=command.seq,
            usage=record.usage,
        )

    def _grant(self, command: SendGrant) -> messages.Granted:
        texts = []
        for item in command.history:
            record = _decoder.decode(self.group.read(item.record_index))
            texts.append(record.messages[item.position])
        command.grant.history.extend(texts)
        return command.grant


def entry_ref(stream: links.Stream) -> leader.EntryRef:
    """Returns the entry at the other end of a stream."""
    hello = stream.hello
    assert hello is not None
    return leader.EntryRef(
        process=hello.process,
        incarnation=hello.incarnation,
        region=hello.region,
        address=hello.address,
    )
