"""The replica process: wiring of log groups, streams and HTTP."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock, exits
from catkinpin.adapters.entry import admin, configured, shards, web
from catkinpin.adapters.peers import links, wire
from catkinpin.adapters.replica import (
    controlhost,
    mesh,
    node,
    repairs,
    shardhost,
)
from catkinpin.adapters.replica.config import NodeConfig
from catkinpin.core import messages
from catkinpin.core.operations import changes
from catkinpin.core.placement import servers
from catkinpin.core.programs import sharding

if TYPE_CHECKING:
    from catkinpin.adapters.replica import groups
    from catkinpin.core.operations import deployments
    from catkinpin.core.programs import leader
    from catkinpin.settings import ReplicaSettings

log = logging.getLogger(__name__)

# A replica's stream on which it confirms its configuration as entries do.
_LEASE_ROLE = "replica's shards"
_TICK_S = 0.1


class Replica:
    """A replica process and its parts."""

    def __init__(self, cfg: ReplicaSettings) -> None:
        self.cfg = cfg
        self.clock = clock.system_clock()
        self.view = servers.ServerView()
        self.incarnation = uuid.uuid4().hex
        self.address = ""
        self._streams: dict[str, links.Stream] = {}
        self.node = node.Node(
            NodeConfig(
                cfg.data_folder, tuple(cfg.replicas), cfg.snapshot_entries
            ),
            self._leader_changed,
            exits.stop_at_once,
            first=sharding.CONTROL_GROUP,
        )
        self.shards = {
            name: shardhost.ShardHost(self, name)
            for name in map(sharding.shard_group, range(cfg.shards))
        }
        self.control = controlhost.ControlHost(self)
        self._peers = links.PeerServer(
            wire.ToReplica, self._on_message, self._on_closed
        )
        self._admin: web.WebServer | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self.replicas: shards.Replicas
        self.lease: configured.LeaseHolder

    async def start(self) -> None:
        """Listens, then takes part in its groups."""
        self.address = self.cfg.peer_advertise or self.cfg.peer_listen
        if self.address.endswith(":0"):
            self.address = await self._peers.start(self.cfg.peer_listen)
            self._hold_lease()
            self.node.start(self._hello())
        else:
            # Known to others before they can reach us: what they say at once
            # is not lost.
            self._hold_lease()
            self.node.start(self._hello())
            await self._peers.start(self.cfg.peer_listen)
        self.replicas.start()
        app = admin.make_app("replica", self.not_ready)
        repairs.add_routes(app, self.node, self.cfg.operator_key_sha256)
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
        """Hands leadership over and stops."""
        self._stopping = True
        await self.node.stop()
        for task in self._tasks:
            task.cancel()
        await self.replicas.stop()
        await self._peers.stop()
        if self._admin is not None:
            await self._admin.close()

    def led_share(self) -> float:
        """Returns the part of the shards that this replica leads.

        Each leading replica places as much in an engine's cache as its part
        of the programs: it knows nothing of what the others place there.
        """
        led = sum(host.leading for host in self.shards.values())
        return max(1, led) / len(self.shards)

    def not_ready(self) -> str:
        """Returns why this replica takes no part, or an empty string."""
        return "stopping" if self._stopping else self.node.not_ready()

    def send(self, to: leader.EntryRef, message: Any) -> None:
        """Sends to an entry; dropped if that incarnation has gone."""
        self.send_to(to.incarnation, message)

    def send_to(self, incarnation: str, message: Any) -> None:
        """Sends to an incarnation of a process; dropped if it has gone."""
        stream = self._streams.get(incarnation)
        if stream is not None:
            stream.send(message)

    def entry_streams(self) -> list[links.Stream]:
        """Returns the streams of all entries that are connected."""
        return [
            stream for stream in self._streams.values() if _is_entry(stream)
        ]

    def configuration_changed(self, cfg: deployments.Configuration) -> None:
        """Puts a new configuration in force here."""
        for host in self.shards.values():
            host.configured(cfg)
        self.lease.renew_now()

    def _hold_lease(self) -> None:
        """Makes this replica confirm its configuration as an entry does."""
        hello = messages.Hello(
            process=self.cfg.name or self.address,
            incarnation=self.incarnation,
            role=_LEASE_ROLE,
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

    def _hello(self) -> messages.Hello:
        return messages.Hello(
            process=self.node.identity,
            incarnation=self.incarnation,
            role=mesh.ROLE,
            address=self.address,
            domain=self.cfg.failure_domain,
            region=self.cfg.region,
        )

    def _leader_changed(self, group: groups.Group) -> None:
        for stream in self._streams.values():
            stream.send(_leader_of(group))

    def _on_message(self, stream: links.Stream, message: Any) -> None:
        if stream.hello is None:
            return
        if stream.hello.role == mesh.ROLE:
            self._on_replica_message(message)
            return
        match message:
            case messages.Hello():
                self._on_hello(stream)
            case messages.Reports():
                self._take_reports(message)
            case messages.CacheEvents():
                self.view.apply_cache_events(message)
            case _ if isinstance(message, changes.FromProcess):
                self.control.handle(stream, message)
            case messages.ReleaseDone():
                self.shards[message.group].handle(stream, message)
            case _:
                key = message.key
                if isinstance(key, messages.CallKey):
                    key = key.program_key
                group = sharding.group_of(key, self.cfg.shards)
                self.shards[group].handle(stream, message)

    def _on_replica_message(self, message: Any) -> None:
        if isinstance(message, messages.Hello):
            self.node.hello(message)
        else:
            self.node.handle(message)

    def _on_hello(self, stream: links.Stream) -> None:
        assert stream.hello is not None
        self._streams[stream.hello.incarnation] = stream
        if _is_entry(stream):
            for host in self.shards.values():
                host.entry_connected(stream)
        for group in self.node.groups.values():
            if group.leader:
                stream.send(_leader_of(group))

    def _on_closed(self, stream: links.Stream) -> None:
        assert stream.hello is not None
        if self._streams.get(stream.hello.incarnation) is stream:
            del self._streams[stream.hello.incarnation]
            self.control.disconnected(stream)
            for host in self.shards.values():
                host.entry_lost(stream)

    def _take_reports(self, reports: messages.Reports) -> None:
        now = self.clock.now_ms()
        for report, age_ms in zip(reports.reports, reports.age_ms, strict=True):
            self.view.apply_report(report, now - age_ms)
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


def _is_entry(stream: links.Stream) -> bool:
    return stream.hello is not None and stream.hello.role == "entry"


def _leader_of(group: groups.Group) -> messages.GroupLeader:
    return messages.GroupLeader(
        group=group.name, term=group.term, leader=group.leader
    )
