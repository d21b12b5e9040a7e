"""The replica process: wiring of log groups, streams and HTTP."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock
from catkinpin.adapters import (
    admin,
    configured,
    controlhost,
    groups,
    peers,
    shardhost,
    shards,
    web,
    wire,
)
from catkinpin.core import changes, messages, routing, servers

if TYPE_CHECKING:
    from catkinpin.core import deployments, leader
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
        self._tasks: list[asyncio.Task[None]] = []
        self.replicas: shards.Replicas
        self.lease: configured.LeaseHolder

    async def start(self) -> None:
        """Listens, then takes part in its groups."""
        self.address = await self._peers.start(self.cfg.peer_listen)
        self._hold_lease()
        for group in self._groups():
            group.start(self.address)
        self.replicas.start()
        app = admin.make_app("replica", lambda: "")
        self._admin = await web.serve(app, self.cfg.admin_listen)
        self._tasks = [
            asyncio.create_task(self._tick()),
            asyncio.create_task(self.lease.run()),
        ]
        log.info(
            "replica ready",
            extra={"peer": self.address, "admin": self._admin.address},
        )

    async def stop(self) -> None:
        """Stops gracefully."""
        for task in self._tasks:
            task.cancel()
        await self.replicas.stop()
        await self._peers.stop()
        if self._admin is not None:
            await self._admin.close()
        for group in self._groups():
            group.close()

    def send(self, to: leader.EntryRef, message: Any) -> None:
        """Sends to an entry; dropped where that life of it has gone."""
        self.send_to(to.incarnation, message)

    def send_to(self, incarnation: str, message: Any) -> None:
        """Sends to a process in a life of it; dropped where that has gone."""
        stream = self._streams.get(incarnation)
        if stream is not None:
            stream.send(message)

    def entry_streams(self) -> list[peers.Stream]:
        """Returns the streams of all entries that are connected."""
        return [
            stream
            for stream in self._streams.values()
            if stream.hello is not None and stream.hello.role == "entry"
        ]

    def configuration_changed(self, cfg: deployments.Configuration) -> None:
        """Puts a new configuration in force here."""
        for host in self.shards.values():
            host.configured(cfg)
        self.lease.changed()

    def _hold_lease(self) -> None:
        """Makes this replica confirm its configuration as an entry does."""
        hello = messages.Hello(
            process=self.cfg.name or self.address,
            incarnation=self.incarnation,
            role="replica",
            address=self.address,
            domain=self.cfg.failure_domain,
            region=self.cfg.region,
        )
        self.replicas = shards.Replicas(
            list(self.cfg.replicas) or [self.address],
            hello,
            lambda _: None,
            lambda _: None,
        )
        self.lease = configured.LeaseHolder(
            self.replicas,
            self.clock,
            lambda: self.control.state.revision,
            None,
        )

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
            case messages.ReleaseDone():
                self.shards[message.group].handle(stream, message)
            case _ if isinstance(message, changes.FromProcess):
                self.control.handle(stream, message)
            case _:
                key = message.key
                if isinstance(key, messages.CallKey):
                    key = key.program_key
                group = routing.group_of(key, self.cfg.shards)
                self.shards[group].handle(stream, message)

    def _welcome(self, stream: peers.Stream) -> None:
        assert stream.hello is not None
        self._streams[stream.hello.incarnation] = stream
        if stream.hello.role == "entry":
            for host in self.shards.values():
                host.entry_connected(stream)
        for group in self._groups():
            stream.send(
                messages.GroupLeader(
                    group=group.name, term=group.term, leader=group.leader
                )
            )

    def _on_closed(self, stream: peers.Stream) -> None:
        assert stream.hello is not None
        if self._streams.get(stream.hello.incarnation) is stream:
            del self._streams[stream.hello.incarnation]
            self.control.disconnected(stream)
            for host in self.shards.values():
                host.entry_lost(stream)

    def _take_reports(self, reports: messages.Reports) -> None:
        now = self.clock.now_ms()
        for report, age_ms in zip(reports.reports, reports.age_ms, strict=True):
            self.view.report(report, now - age_ms)
            for host in self.shards.values():
                host.reported(report, now - age_ms)
        self.control.reported(reports.reports)

    async def _tick(self) -> None:
        while True:
            await asyncio.sleep(_TICK_S)
            self.view.forget_silent(self.clock.now_ms())
            self.control.tick()
            for host in self.shards.values():
                host.tick()
