"""The replica process: wiring of log groups, streams and HTTP."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock, configuration
from catkinpin.adapters import (
    admin,
    controlhost,
    groups,
    peers,
    shardhost,
    web,
    wire,
)
from catkinpin.core import changes, leader, messages, routing, servers

if TYPE_CHECKING:
    from catkinpin.settings import ReplicaSettings

log = logging.getLogger(__name__)

_TICK_S = 0.1


class Replica:
    """A replica process and its parts."""

    def __init__(self, cfg: ReplicaSettings) -> None:
        self.cfg = cfg
        self.clock = clock.system_clock()
        self.view = servers.ServerView()
        self.incarnation = uuid.uuid4().hex
        self.address = ""
        self._streams: dict[str, peers.Stream] = {}
        cfg.data_folder.mkdir(parents=True, exist_ok=True)
        self.shards = {
            name: shardhost.ShardHost(self, name, cfg.data_folder)
            for name in map(routing.shard_group, range(cfg.shards))
        }
        self.control = controlhost.ControlHost(self, cfg.data_folder)
        self._peers = peers.PeerServer(
            wire.ToReplica, self._on_message, self._on_closed
        )
        self._admin: web.WebServer | None = None
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listens, then takes part in its groups."""
        self.address = await self._peers.start(self.cfg.peer_listen)
        for group in self._groups():
            group.start(self.address)
        app = admin.make_app("replica", lambda: "")
        self._admin = await web.serve(app, self.cfg.admin_listen)
        self._task = asyncio.create_task(self._tick())
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
        for group in self._groups():
            group.close()

    def send(self, to: leader.EntryRef, message: Any) -> None:
        """Sends to an entry; dropped where that life of it has gone."""
        stream = self._streams.get(to.incarnation)
        if stream is not None:
            stream.send(message)

    def configuration_changed(self, content: bytes) -> None:
        """Puts a new configuration in force here and sends it on."""
        cfg = configuration.parse(content)
        for host in self.shards.values():
            host.configured(cfg)
        for stream in self._streams.values():
            stream.send(self.control.update())

    def _groups(self) -> list[groups.Group]:
        return [
            self.control.group,
            *(host.group for host in self.shards.values()),
        ]

    def _on_message(self, stream: peers.Stream, message: Any) -> None:
        match message:
            case messages.Hello():
                self._welcome(stream)
            case messages.Reports():
                self._take_reports(message)
            case messages.CacheEvents():
                self.view.cache_events(message)
            case changes.Apply():
                self.control.propose_change(stream, message)
            case changes.ConfigConfirmed():
                pass
            case _:
                key = message.key
                if isinstance(key, messages.CallKey):
                    key = key.program_key
                group = routing.group_of(key, self.cfg.shards)
                self.shards[group].handle(stream, message)

    def _welcome(self, stream: peers.Stream) -> None:
        assert stream.hello is not None
        self._streams[stream.hello.incarnation] = stream
        for host in self.shards.values():
            host.leader.entry_connected(shardhost.entry_ref(stream))
        for group in self._groups():
            stream.send(
                messages.GroupLeader(
                    group=group.name, term=group.term, leader=group.leader
                )
            )
        stream.send(self.control.update())

    def _on_closed(self, stream: peers.Stream) -> None:
        assert stream.hello is not None
        if self._streams.get(stream.hello.incarnation) is stream:
            del self._streams[stream.hello.incarnation]
            for host in self.shards.values():
                host.leader.entry_lost(shardhost.entry_ref(stream))

    def _take_reports(self, reports: messages.Reports) -> None:
        now = self.clock.now_ms()
        for report, age_ms in zip(reports.reports, reports.age_ms, strict=True):
            self.view.report(report, now - age_ms)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self.view.forget_silent(self.clock.now_ms())
            for host in self.shards.values():
                host.tick()
