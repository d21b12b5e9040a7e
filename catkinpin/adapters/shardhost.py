"""A program shard in a replica: its group, its state, its leader's part."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from catkinpin import codec, configuration, tracing
from catkinpin.adapters import groups
from catkinpin.core import (
    leader,
    messages,
    placement,
    records,
    scheduler,
    shard,
)

if TYPE_CHECKING:
    import pathlib

    from catkinpin.adapters import peers
    from catkinpin.replica import Replica
_decoder = codec.decoder(records.ShardRecord)


class ShardHost:
    """A program shard: its log group, its state and its leader's part."""

    def __init__(
        self, replica: Replica, name: str, data_folder: pathlib.Path
    ) -> None:
        self._replica = replica
        self._leading = False
        self.cfg = configuration.Configuration()
        self.state = shard.Shard(name)
        self.leader = self._new_leader()
        self.group = groups.Group(name, data_folder, self)

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
        self._run(self.leader.decided(decisions, wall))

    def _new_leader(self) -> leader.ShardLeader:
        self.scheduler = scheduler.Scheduler(
            self._replica.view, placement.sticky
        )
        return leader.ShardLeader(self.state, self.scheduler, self.cfg)

    def handle(self, stream: peers.Stream, message: Any) -> None:
        """Takes an entry's message for this shard."""
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
        commands: list[leader.Command] = []
        match message:
            case messages.Begin():
                with tracing.hop("leader.begin", message.traceparent):
                    commands = self.leader.begin(entry, message, now, wall)
            case messages.Finish():
                commands = self.leader.finish(entry, message, now, wall)
            case messages.GetProgram():
                commands = self.leader.get_program(entry, message)
            case messages.EndProgram():
                commands = self.leader.end_program(entry, message, wall)
        self._run(commands)

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record; only a leader acts on its effects."""
        record = _decoder.decode(payload)
        effects = self.state.apply(index, record)
        if not self._leading:
            return
        now = self._replica.clock.now_ms()
        wall = self._replica.clock.wall_ms()
        self._run(self.leader.applied(record, effects, now, wall))

    def leadership(self, leading: bool) -> None:
        """Takes up or lays down the leader's part."""
        self._leading = leading
        if leading:
            self.leader = self._new_leader()

    def snapshot(self) -> bytes:
        """Returns the state without the texts."""
        raise NotImplementedError

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        raise NotImplementedError

    def referenced(self) -> list[int]:
        """Returns the log indexes whose records are still read."""
        raise NotImplementedError

    def _run(self, commands: list[leader.Command]) -> None:
        for command in commands:
            match command:
                case leader.Propose():
                    self.group.propose(codec.encode(command.record))
                case leader.Send():
                    self._replica.send(command.to, command.message)
                case leader.SendAnswer():
                    self._replica.send(command.to, self._answer(command))
                case leader.SendGrant():
                    self._replica.send(command.to, self._grant(command))

    def _answer(self, command: leader.SendAnswer) -> messages.Finished:
        call = command.call
        record = _decoder.decode(self.group.read(call.record_index))
        return messages.Finished(
            ask=command.ask,
            key=call.begin.key,
            attempt=record.attempt,
            answer=record.answer,
            seq=call.seq,
            usage=record.usage,
        )

    def _grant(self, command: leader.SendGrant) -> messages.Granted:
        texts = []
        for item in command.history:
            record = _decoder.decode(self.group.read(item.record_index))
            texts.append(record.messages[item.position])
        command.grant.history.extend(texts)
        return command.grant


def entry_ref(stream: peers.Stream) -> leader.EntryRef:
    """Returns the entry at the other end of a stream."""
    hello = stream.hello
    assert hello is not None
    return leader.EntryRef(
        process=hello.process,
        incarnation=hello.incarnation,
        region=hello.region,
        address=hello.address,
    )
