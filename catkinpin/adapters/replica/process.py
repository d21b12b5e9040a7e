"""The replica process: connects log groups, streams and HTTP."""

from __future__ import annotations

import asyncio
import logging
import uuid
from typing import TYPE_CHECKING, Any

from catkinpin import clock, exits, waiting
from catkinpin.adapters.entry import admin, configured, shards, web
from catkinpin.adapters.peers import links, peerserver, wire
from catkinpin.adapters.replica import (
    controlhost,
    mesh,
    node,
    repairs,
    reportchecks,
    shardhost,
)
from catkinpin.adapters.replica.config import NodeConfig
from catkinpin.adapters.tasks import keep_running
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

# Role on the streams with which a replica renews its configuration lease.
_LEASE_ROLE = "replica's shards"
_TICK_INTERVAL_S = 0.1


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
            self._send_leader,
            exits.exit_immediately,
            prerequisite_group=sharding.CONTROL_GROUP,
        )
        self.shards = {
            name: shardhost.ShardHost(self, name)
            for name in map(sharding.shard_group, range(cfg.shards))
        }
        self.control = controlhost.ControlHost(self)
        with self.node.storage.closed_on_error():
            self.node.sync()
        self._peers = peerserver.PeerServer(
            wire.ToReplica, self._handle_message, self._handle_closed
        )
        self._admin: web.WebServer | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._stopping = False
        self.replicas: shards.Replicas
        self.lease: configured.LeaseHolder

    async def start(self) -> None:
        """Starts to listen and to participate in the log groups."""
        self.address = self.cfg.peer_advertise or self.cfg.peer_listen
        if self.address.endswith(":0"):
            self.address = await self._peers.start(self.cfg.peer_listen)
            self._create_lease()
            self.node.start(self._hello())
        else:
            # The node starts first, so that it is ready for what the others
            # send as soon as they can connect.
            self._create_lease()
            await waiting.reserve_port(self.cfg.admin_listen)
            self.node.start(self._hello())
            await self._peers.start(self.cfg.peer_listen)
        self.replicas.start()
        app = admin.make_app("replica", self.not_ready)
        repairs.add_routes(app, self.node, self.cfg.operator_key_sha256)
        self._admin = await web.serve(app, self.cfg.admin_listen)
        self._tasks = [
            asyncio.create_task(keep_running(self._run_ticks)),
            asyncio.create_task(keep_running(self.lease.run)),
        ]
        log.info(
            "replica ready",
            extra={"peer": self.address, "admin": self._admin.address},
        )

    async def stop(self) -> None:
        """Transfers leadership and stops."""
        self._stopping = True
        await self.node.stop()
        for task in self._tasks:
            task.cancel()
        await self.replicas.stop()
        await self._peers.stop()
        if self._admin is not None:
            await self._admin.close()

    def led_share(self) -> float:
        """Returns the share of the shards that this replica leads.

        A replica uses no more than this share of an engine's cache, since it
        does not know what the other replicas place there.
        """
        led = sum(host.leading for host in self.shards.values())
        return max(1, led) / len(self.shards)

    def not_ready(self) -> str:
        """Returns why this replica is not ready, or an empty string."""
        return "stopping" if self._stopping else self.node.not_ready()

    def send(self, to: leader.EntryRef, message: Any) -> None:
        """Sends to an entry; drops the message if the entry has ended."""
        self.send_to(to.incarnation, message)

    def send_to(self, incarnation: str, message: Any) -> None:
        """Sends to a process; drops the message if the process has ended."""
        stream = self._streams.get(incarnation)
        if stream is not None:
            stream.send(message)

    def entry_streams(self) -> list[links.Stream]:
        """Returns the streams of all entries that are connected."""
        return [
            stream for stream in self._streams.values() if _is_entry(stream)
        ]

    def configuration_changed(self, cfg: deployments.Configuration) -> None:
        """Applies a new configuration to the shards and the lease."""
        for host in self.shards.values():
            host.set_configuration(cfg)
        self.lease.renew_now()

    def _create_lease(self) -> None:
        """Creates the lease that lets this replica use its configuration.

        The replica renews it the way an entry does.
        """
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

    def _send_leader(self, group: groups.Group) -> None:
        for stream in self._streams.values():
            stream.send(_leader_message(group))

    def _handle_message(self, stream: links.Stream, message: Any) -> None:
        if stream.hello is None:
            return
        if stream.hello.role == mesh.ROLE:
            self._handle_replica_message(message)
            return
        match message:
            case messages.Hello():
                self._handle_hello(stream)
            case messages.Reports():
                self._handle_reports(message)
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

    def _handle_replica_message(self, message: Any) -> None:
        if isinstance(message, messages.Hello):
            self.node.handle_hello(message)
        else:
            self.node.handle(message)

    def _handle_hello(self, stream: links.Stream) -> None:
        assert stream.hello is not None
        self._streams[stream.hello.incarnation] = stream
        if _is_entry(stream):
            for host in self.shards.values():
                host.entry_connected(stream)
        for group in self.node.groups.values():
            if group.leader:
                stream.send(_leader_message(group))

    def _handle_closed(self, stream: links.Stream) -> None:
        assert stream.hello is not None
        if self._streams.get(stream.hello.incarnation) is stream:
            del self._streams[stream.hello.incarnation]
            self.control.remove_process(stream)
            for host in self.shards.values():
                host.entry_lost(stream)

    def _handle_reports(self, reports: messages.Reports) -> None:
        now_ms = self.clock.now_ms()
        usable = []
        for report, age_ms in zip(reports.reports, reports.age_ms, strict=True):
            if not reportchecks.is_usable(report, age_ms):
                continue
            usable.append(report)
            self.view.apply_report(report, now_ms - age_ms)
            for host in self.shards.values():
                host.handle_report(report, now_ms - age_ms)
        self.control.handle_reports(usable)

    async def _run_ticks(self) -> None:
        while True:
            await asyncio.sleep(_TICK_INTERVAL_S)
            self.view.forget_silent(self.clock.now_ms())
            self.control.tick()
            for host in self.shards.values():
                host.tick()


def _is_entry(stream: links.Stream) -> bool:
    return stream.hello is not None and stream.hello.role == "entry"


def _leader_message(group: groups.Group) -> messages.GroupLeader:
    return messages.GroupLeader(
        group=group.name, term=group.term, leader=group.leader
    )
