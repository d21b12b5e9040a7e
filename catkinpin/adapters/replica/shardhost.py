"""Holds a replica's copy of a program shard's state.

While the replica leads the shard, it also places the shard's calls.
"""

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
    """Holds a shard's state; decides on its calls while the replica leads."""

    def __init__(self, replica: ReplicaContext, name: str) -> None:
        self._replica = replica
        self._leading = False
        self._quarantine_tasks: set[asyncio.Task[bool]] = set()
        self.cfg = configuration.Configuration()
        self.state = shard.Shard(name, replica.cfg.shards)
        self.leader = self._new_leader()
        self.group = replica.node.add_group(name, self)

    def set_configuration(self, cfg: configuration.Configuration) -> None:
        """Uses a new configuration for all later decisions."""
        self.cfg = cfg
        self.leader.cfg = cfg

    def tick(self) -> None:
        """Lets the leader place waiting calls and handle timeouts."""
        if not self._leading:
            return
        now_ms = self._replica.clock.now_ms()
        wall_ms = self._replica.clock.wall_ms()
        decisions = self.scheduler.tick(now_ms)
        self._run_commands(
            self.leader.handle_decisions(decisions, now_ms, wall_ms)
        )
        self._run_commands(self.leader.tick(now_ms, wall_ms))

    def handle_report(
        self, report: messages.ServerReport, reported_ms: int
    ) -> None:
        """Handles a server's report.

        Args:
            report: the report.
            reported_ms: monotonic time at which the server made it.
        """
        self.leader.handle_report(report, reported_ms)

    def entry_connected(self, stream: links.Stream) -> None:
        """Records that an entry has a new stream."""
        commands = self.leader.entry_connected(_entry_ref(stream))
        if self._leading:
            self._run_commands(commands)

    def entry_lost(self, stream: links.Stream) -> None:
        """Records that an entry's stream was closed."""
        now_ms = self._replica.clock.now_ms()
        self.leader.entry_lost(_entry_ref(stream), now_ms)

    def _new_leader(self) -> leader.ShardLeader:
        self.decisions = explanations.RecentDecisions()
        cost_model = candidates.CostModel()
        led_share = self._replica.led_share
        self.scheduler = scheduler.Scheduler(
            self._replica.view,
            candidates.by_cost(cost_model, led_share, self.decisions.add),
            scheduler.QueueOptions(),
            candidates.home_is_cheapest(cost_model, led_share),
        )
        rng = random.Random()
        return leader.ShardLeader(
            self.state, self.scheduler, self.cfg, rng, self._is_quarantined
        )

    def _is_quarantined(self, content: bytes) -> bool:
        return content in self._replica.control.state.quarantine

    def _share_quarantine(self, content: bytes) -> None:
        """Asks the control group to quarantine a request's content.

        If that fails, the shard's leader asks again later.
        """
        reason = f"{self.group.name}: it ran on servers that crashed"
        task = asyncio.create_task(
            self._replica.control.quarantine(content, reason)
        )
        self._quarantine_tasks.add(task)
        task.add_done_callback(self._quarantine_tasks.discard)

    @property
    def leading(self) -> bool:
        """Whether this replica leads the shard."""
        return self._leading

    def handle(self, stream: links.Stream, message: Any) -> None:
        """Handles an entry's message for this shard."""
        if isinstance(message, messages.ReleaseDone):
            self._handle_release_done(message)
            return
        # A leader that missed a configuration change might place calls on
        # servers that were drained since. It places none until it has renewed
        # its lease on the configuration; until then the entry asks again.
        lacks_lease = bool(self._replica.lease.problem())
        is_begin = isinstance(message, messages.Begin)
        if not self.group.is_leader() or (is_begin and lacks_lease):
            stream.send(
                messages.NotLeader(
                    ask=message.ask,
                    group=self.group.name,
                    leader=self.group.leader,
                )
            )
            return
        entry = _entry_ref(stream)
        now_ms = self._replica.clock.now_ms()
        wall_ms = self._replica.clock.wall_ms()
        commands: list[Command] = []
        match message:
            case messages.Begin():
                with tracing.span("leader.begin", message.traceparent):
                    commands = self.leader.begin(
                        entry, message, now_ms, wall_ms
                    )
            case messages.Finish():
                commands = self.leader.finish(entry, message, now_ms, wall_ms)
            case messages.GetProgram():
                commands = self.leader.get_program(entry, message)
            case explanations.Explain():
                stream.send(self.decisions.explain(message, now_ms))
            case messages.EndProgram():
                commands = self.leader.end_program(entry, message, wall_ms)
        self._run_commands(commands)

    def _handle_release_done(self, done: messages.ReleaseDone) -> None:
        if self.group.is_leader():
            wall_ms = self._replica.clock.wall_ms()
            self._run_commands(self.leader.release_done(done, wall_ms))

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record; only the leader acts on its effects."""
        record = _decoder.decode(payload)
        effects = self.state.apply(index, record)
        if not self._leading:
            return
        now_ms = self._replica.clock.now_ms()
        wall_ms = self._replica.clock.wall_ms()
        self._run_commands(
            self.leader.handle_applied(record, effects, now_ms, wall_ms)
        )

    def leadership_changed(self, leading: bool) -> None:
        """Starts or stops leading the shard."""
        self._leading = leading
        self.scheduler.release_all()
        if not leading:
            return
        self.leader = self._new_leader()
        for stream in self._replica.entry_streams():
            self.leader.entry_connected(_entry_ref(stream))
        now_ms = self._replica.clock.now_ms()
        self._run_commands(
            self.leader.start(now_ms, self._replica.clock.wall_ms())
        )

    def snapshot(self) -> bytes:
        """Returns the encoded state, without messages and answers.

        The state refers to the log records that contain these.
        """
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        self.state.restore(data)

    def referenced(self) -> Iterable[int]:
        """Returns the indexes of the log's records that the state refers to."""
        return self.state.referenced()

    def _run_commands(self, commands: list[Command]) -> None:
        for command in commands:
            match command:
                case Propose():
                    self.group.propose(codec.encode(command.record))
                case Send():
                    self._replica.send(command.to, command.message)
                case SendAnswer():
                    self._replica.send(
                        command.to, self._answer_message(command)
                    )
                case ShareQuarantine():
                    self._share_quarantine(command.content)
                case SendGrant():
                    self._replica.send(command.to, self._grant_message(command))

    def _answer_message(self, command: SendAnswer) -> messages.Finished:
        record = _decoder.decode(self.group.read(command.record_index))
        return messages.Finished(
            ask=command.ask,
            key=command.key,
            attempt=record.attempt,
            answer=record.answer,
            seq=command.seq,
            usage=record.usage,
        )

    def _grant_message(self, command: SendGrant) -> messages.Granted:
        texts = []
        for item in command.history:
            record = _decoder.decode(self.group.read(item.record_index))
            texts.append(record.messages[item.position])
        command.grant.history.extend(texts)
        return command.grant


def _entry_ref(stream: links.Stream) -> leader.EntryRef:
    """Returns a reference to the entry at a stream's other end."""
    hello = stream.hello
    assert hello is not None
    return leader.EntryRef(
        process=hello.process,
        incarnation=hello.incarnation,
        region=hello.region,
        address=hello.address,
    )
