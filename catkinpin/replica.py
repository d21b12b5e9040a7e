"""The replica process: log groups, and what their leaders decide."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock, codec, configuration, tracing
from catkinpin.adapters import admin, groups, peers, web
from catkinpin.core import (
    control,
    leader,
    messages,
    placement,
    records,
    routing,
    servers,
    shard,
)

if TYPE_CHECKING:
    from catkinpin.settings import ReplicaSettings

log = logging.getLogger(__name__)

_shard_decoder = codec.decoder(records.ShardRecord)
_control_decoder = codec.decoder(records.ControlRecord)
_MAINTENANCE_S = 1.0


class ShardHost:
    """A program shard: its log group, its state and its leader's part."""

    def __init__(self, replica: Replica, name: str) -> None:
        self._replica = replica
        self.state = shard.Shard(name)
        self.leader = leader.ShardLeader(
            self.state,
            replica.view,
            placement.sticky,
            configuration.Configuration(),
        )
        self._replaying = True
        self.group = groups.Group(name, replica.cfg.data_folder, self._apply)
        self.group.replay()
        self._replaying = False

    def handle(self, stream: peers.Stream, message: Any) -> None:
        """Takes an entry's message for this shard."""
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

    def _apply(self, index: int, payload: bytes) -> None:
        record = _shard_decoder.decode(payload)
        server = self._server_of(record)
        effects = self.state.apply(index, record)
        if self._replaying:
            return
        if server:
            self.leader.attempt_ended(server)
        now = self._replica.clock.now_ms()
        wall = self._replica.clock.wall_ms()
        self._run(self.leader.applied(effects, now, wall))

    def _server_of(self, record: records.ShardRecord) -> str:
        """Returns the server whose attempt this record ends."""
        if not isinstance(record, records.AttemptFinished):
            return ""
        found = self.state.find_call(record.key)
        attempt = found[1].attempt if found is not None else None
        if attempt is None or attempt.attempt != record.attempt:
            return ""
        return attempt.choice.server.server

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
        record = _shard_decoder.decode(self.group.read(call.record_index))
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
            record = _shard_decoder.decode(self.group.read(item.record_index))
            texts.append(record.messages[item.position])
        command.grant.history.extend(texts)
        return command.grant


class Replica:
    """A replica process and its parts."""

    def __init__(self, cfg: ReplicaSettings) -> None:
        self.cfg = cfg
        self.clock = clock.system_clock()
        self.view = servers.ServerView()
        self.incarnation = uuid.uuid4().hex
        self.address = ""
        self._streams: dict[str, peers.Stream] = {}
        self._apply_waiters: dict[str, list[tuple[peers.Stream, int]]] = {}
        self._control = control.Control()
        cfg.data_folder.mkdir(parents=True, exist_ok=True)
        self._shards = {
            name: ShardHost(self, name)
            for name in map(routing.shard_group, range(cfg.shards))
        }
        self._control_group = groups.Group(
            routing.CONTROL_GROUP, cfg.data_folder, self._apply_control
        )
        self._control_group.replay()
        self._peers = peers.PeerServer(
            messages.ToReplica, self._on_message, self._on_closed
        )
        self._admin: web.WebServer | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens."""
        self.address = await self._peers.start(self.cfg.peer_listen)
        app = admin.make_app("replica", lambda: "")
        self._admin = await web.serve(app, self.cfg.admin_listen)
        self._task = asyncio.create_task(self._maintain())
        log.info(
            "replica ready",
            extra={"peer": self.address, "admin": self._admin.address},
        )

    async def stop(self) -> None:
        """Stops gracefully."""
        if self._task is not None:
            self._task.cancel()
        await self._peers.stop()
        if self._admin is not None:
            await self._admin.close()
        for host in self._shards.values():
            host.group.close()
        self._control_group.close()

    def send(self, to: leader.EntryRef, message: Any) -> None:
        """Sends to an entry; dropped where that life of it has gone."""
        stream = self._streams.get(to.incarnation)
        if stream is not None:
            stream.send(message)

    def _on_message(self, stream: peers.Stream, message: Any) -> None:
        match message:
            case messages.Hello():
                self._welcome(stream)
            case messages.Reports():
                self._take_reports(message)
            case messages.Apply():
                self._propose_change(stream, message)
            case messages.ConfigConfirmed():
                pass
            case _:
                key = message.key
                if isinstance(key, messages.CallKey):
                    key = key.program_key
                group = routing.group_of(key, self.cfg.shards)
                self._shards[group].handle(stream, message)

    def _welcome(self, stream: peers.Stream) -> None:
        assert stream.hello is not None
        self._streams[stream.hello.incarnation] = stream
        for host in self._shards.values():
            host.leader.entry_connected(entry_ref(stream))
            stream.send(self._leader_of(host.group))
        stream.send(self._leader_of(self._control_group))
        stream.send(self._config_update())

    def _leader_of(self, group: groups.Group) -> messages.GroupLeader:
        return messages.GroupLeader(
            group=group.name, term=group.term, leader=self.address
        )

    def _on_closed(self, stream: peers.Stream) -> None:
        assert stream.hello is not None
        if self._streams.get(stream.hello.incarnation) is stream:
            del self._streams[stream.hello.incarnation]
            for host in self._shards.values():
                host.leader.entry_lost(entry_ref(stream))

    def _take_reports(self, reports: messages.Reports) -> None:
        now = self.clock.now_ms()
        for report, age_ms in zip(reports.reports, reports.age_ms, strict=True):
            self.view.report(report, now - age_ms)

    def _propose_change(
        self, stream: peers.Stream, change: messages.Apply
    ) -> None:
        waiters = self._apply_waiters.setdefault(change.request_id, [])
        waiters.append((stream, change.ask))
        record = records.ConfigChanged(
            at_ms=self.clock.wall_ms(),
            request_id=change.request_id,
            base_revision=change.base_revision,
            content=change.content,
            operator=change.operator,
        )
        self._control_group.propose(codec.encode(record))

    def _apply_control(self, index: int, payload: bytes) -> None:
        record = _control_decoder.decode(payload)
        before = self._control.revision
        result = self._control.apply(index, record)
        for stream, ask in self._apply_waiters.pop(record.request_id, []):
            stream.send(
                messages.Applied(
                    ask=ask,
                    accepted=result.accepted,
                    revision=result.revision,
                    operator=result.operator,
                )
            )
        if self._control.revision != before:
            self._configuration_changed()

    def _configuration_changed(self) -> None:
        cfg = configuration.parse(self._control.content)
        for host in self._shards.values():
            host.leader.cfg = cfg
        for stream in self._streams.values():
            stream.send(self._config_update())

    def _config_update(self) -> messages.ConfigUpdate:
        return messages.ConfigUpdate(
            revision=self._control.revision, content=self._control.content
        )

    async def _maintain(self) -> None:
        while True:
            await asyncio.sleep(_MAINTENANCE_S)
            self.view.forget_silent(self.clock.now_ms())


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
