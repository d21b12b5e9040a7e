"""One replica's participation in all log groups of its process."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import random
import time
from typing import TYPE_CHECKING, Any

from catkinpin import clock
from catkinpin.adapters.disk.storage import Storage
from catkinpin.adapters.replica import (
    checks,
    heartbeats,
    mesh,
    rebalancing,
    slowdisk,
    transport,
)
from catkinpin.adapters.replica.founding import Founding
from catkinpin.adapters.replica.groups import Group
from catkinpin.adapters.replica.identity import Identity
from catkinpin.adapters.replica.snapshotting import SnapshotWriter
from catkinpin.core.consensus.messages import (
    Accepted,
    Members,
    Prepare,
    Promise,
    Propose,
)
from catkinpin.core.consensus.placement import ReplicaPlacement
from catkinpin.core.tolerance import Location
from catkinpin.exceptions import DiskFullError, SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.replica.config import NodeConfig
    from catkinpin.adapters.replica.machines import StateMachine
    from catkinpin.core import messages
    from catkinpin.core.consensus import commands
    from catkinpin.core.consensus.state import Timing

log = logging.getLogger(__name__)

_TICK_INTERVAL_S = 0.05
_INTRODUCTION_INTERVAL_TICKS = 4
_REBALANCE_INTERVAL_TICKS = 200
_TRANSFER_TIMEOUT_S = 1.5
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True)
class _PendingFlush:
    """Commands of a group that must wait until its writes are synced."""

    group: Group
    deferred: list[commands.Command]


class Node:
    """Runs all log groups of a replica on one disk and one set of streams.

    All that the groups write in one iteration of the event loop is written and
    synced together right after it.

    Args:
        cfg: the settings.
        on_leader_changed: called with each group whose leader has changed.
        on_failure: called with an error after which the replica must stop.
        on_slow_disk: called with each group transferred for a slow disk.
        on_disk_full_changed: called with whether the disk is full now.
        prerequisite_group: the group whose state the leaders of the other
            groups depend on.

    Attributes:
        identity: unique name of this replica, new for each new data folder.
        address: the peer address that this replica advertises.
        placement: where the replicas are, and which losses must be survived.
    """

    def __init__(
        self,
        cfg: NodeConfig,
        on_leader_changed: Callable[[Group], None],
        on_failure: Callable[[Exception], None],
        prerequisite_group: str = "",
        on_slow_disk: Callable[[Group], None] = lambda _: None,
        on_disk_full_changed: Callable[[bool], None] = lambda _: None,
    ) -> None:
        self.storage = Storage(cfg.data_folder, segment_bytes=cfg.segment_bytes)
        with self.storage.closed_on_error():
            self._identity_file = Identity(cfg.data_folder, self.storage.ops)
        self.identity = self._identity_file.node
        self.rng = random.Random()
        self.address = ""
        self.groups: dict[str, Group] = {}
        self.heartbeats = heartbeats.Outbox()
        self.placement = ReplicaPlacement(cfg.tolerance)
        self._cfg = cfg
        self._on_leader_changed = on_leader_changed
        self._on_failure = on_failure
        self._on_disk_full_changed = on_disk_full_changed
        self._prerequisite_group = prerequisite_group
        self._groups_to_flush: dict[str, Group] = {}
        # Not empty after a flush only if a full disk prevented the sync.
        self._pending_flushes: list[_PendingFlush] = []
        self._announced_leaders: dict[str, tuple[int, str]] = {}
        self._disk_monitor = slowdisk.SlowDiskMonitor(on_slow_disk)
        self._snapshots = SnapshotWriter(self.storage, cfg.snapshot_entries)
        self._ticks = 0
        self._started = False
        self._stopped = False
        self._tick_task: asyncio.Task[None] | None = None
        self._mesh: mesh.Mesh
        self._founding: Founding

    @property
    def timing(self) -> Timing:
        """Intervals and timeouts of heartbeats and elections."""
        return self._cfg.timing

    @property
    def process_begun_ms(self) -> int | None:
        """Start of this process by `now_ms`, None if it is not known."""
        return self._cfg.process_begun_ms

    def now_ms(self) -> int:
        """Returns a monotonic time that includes time suspended.

        Otherwise a leader whose host was suspended would still trust a lease
        that expired in the meantime.
        """
        return clock.since_boot_ms()

    @property
    def is_disk_full(self) -> bool:
        """Whether the disk is full.

        The replica can then acknowledge nothing. It sends no messages, so that
        the others elect a leader whose disk has space, and continues from the
        same state once its own disk has space again.
        """
        return bool(self._pending_flushes)

    def sync(self) -> None:
        """Syncs the writes of all groups."""
        self.storage.sync()

    def add_group(self, name: str, machine: StateMachine) -> Group:
        """Adds a group; must be called before `start`."""
        group = Group(self, self.storage.group_log(name), machine)
        self.groups[name] = group
        return group

    def may_lead(self, group: Group) -> bool:
        """Returns whether the prerequisite group's state is current here."""
        required = self.groups.get(self._prerequisite_group)
        return required is None or required is group or required.is_current()

    def start(self, hello: messages.Hello) -> None:
        """Connects to the other replicas and starts `Founding`."""
        self.storage.sync()
        self.address = hello.address
        self._record_location(hello)
        listed = self._cfg.replicas
        is_fixed = self._cfg.auto_join is None
        if is_fixed and listed and self.address not in listed:
            # The others would initialize the system without this replica.
            raise SettingsError(
                f"replicas: {', '.join(listed)} does not hold this replica's"
                f" own address {self.address}; see peer_advertise"
            )
        others = [a for a in listed if a != self.address]
        self._mesh = mesh.Mesh(others, self._introduce, growable=not is_fixed)
        self._founding = Founding(
            self._identity_file,
            self.address,
            self._mesh,
            self._start_groups,
            self._cfg.auto_join,
            self._known_members,
        )
        self._mesh.start(hello)
        self._founding.start()
        self._tick_task = asyncio.create_task(self._run_ticks())

    async def stop(self) -> None:
        """Transfers leadership to other replicas, then disconnects."""
        transferring = [g for g in self.groups.values() if g.transfer()]
        deadline_s = time.monotonic() + _TRANSFER_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if all(g.leader not in ("", self.address) for g in transferring):
                break
            await asyncio.sleep(_TICK_INTERVAL_S)
        if self._tick_task is not None:
            self._tick_task.cancel()
        self._stopped = True
        await self._mesh.stop()
        self.storage.close()

    def connect_to(self, address: str) -> None:
        """Connects to a replica that was added to the settings."""
        self._mesh.add(address)

    def known_addresses(self) -> list[str]:
        """Returns the peer addresses of all other known replicas."""
        return self._mesh.known()

    def not_ready(self) -> str:
        """Returns why this replica is not ready, or an empty string."""
        if not self._started:
            if self._founding.needs_repair():
                return (
                    "this data folder is empty and the other replicas have"
                    " state; run `catkinpin repair` if its disk was lost"
                )
            return f"waiting for {', '.join(self._founding.awaited_seeds())}"
        for group in self.groups.values():
            if not group.leader:
                return f"no leader of {group.name}"
        return ""

    def needs_repair(self) -> bool:
        """Returns whether this replica waits for an operator to repair it."""
        return self._founding.needs_repair()

    def record_system_known(self, by: str) -> None:
        """Records that process `by` has seen the system initialized."""
        self._founding.record_system_known(by)

    def repair(self) -> None:
        """Lets this replica replace the lost one at its address."""
        self._founding.repair()

    def votes_by_group(self) -> dict[str, bool]:
        """Returns for each group whether `Group.is_sole_voter` holds here."""
        return {
            name: group.is_sole_voter(self.identity)
            for name, group in self.groups.items()
        }

    def handle_hello(self, hello: messages.Hello) -> None:
        """Records the identity, the address and the place of a replica."""
        self._mesh.set_address(hello.process, hello.address)
        self._record_location(hello)

    def _record_location(self, hello: messages.Hello) -> None:
        self.placement.record(
            Location(hello.process, hello.domain, hello.region)
        )

    def handle(self, message: Any) -> None:
        """Handles a message of another replica; fails the node on an error."""
        if self._stopped or checks.is_refused(message):
            return
        try:
            self._handle(message)
        except Exception as exc:
            self.fail(exc)

    def fail(self, exc: Exception) -> None:
        """Stops this replica after an error that it can't recover from.

        A partly written or partly applied change can't be undone; another
        replica continues from what a quorum has stored.
        """
        if not self._stopped:
            self._stopped = True
            self._on_failure(exc)

    def _handle(self, message: Any) -> None:
        if self.is_disk_full and not isinstance(message, transport.NodeInfo):
            return
        match message:
            case transport.NodeInfo():
                self._mesh.set_address(message.node, message.address)
                for address in message.known:
                    self._mesh.add_named(address)
                self._founding.handle_info(message)
            case transport.Found():
                self._founding.handle_founded(message.members)
            case Prepare() | Promise() | Propose() | Accepted():
                self._founding.handle(message)
            case transport.Join():
                self._mesh.set_address(message.node, message.address)
                for group in self.groups.values():
                    group.add_learner(message)
            case transport.Heartbeats() | transport.HeartbeatReplies():
                if message.to == self.identity:
                    self._handle_heartbeats(message)
            case _:
                target = self.groups.get(message.group)
                if target is not None and message.to == self.identity:
                    target.handle(message)

    def _handle_heartbeats(
        self, message: transport.Heartbeats | transport.HeartbeatReplies
    ) -> None:
        now_ms = self.now_ms()
        if isinstance(message, transport.HeartbeatReplies):
            heartbeats.handle_replies(message, self.groups, now_ms)
            return
        reply = heartbeats.handle(message, self.groups, now_ms)
        if reply.groups:
            self.send(message.sender, reply)

    def send(self, node: str, message: Any) -> None:
        """Sends to a replica; drops the message if there is no stream to it."""
        self._mesh.send(node, message)

    def schedule_flush(self, group: Group) -> None:
        """Has a group's commands carried out after this loop iteration."""
        if self._stopped:
            return
        if not self._groups_to_flush:
            asyncio.get_running_loop().call_soon(self._flush)
        self._groups_to_flush[group.name] = group

    def _start_groups(self) -> None:
        self._started = True
        founders = self._identity_file.founders or Members()
        for group in self.groups.values():
            group.start(founders)

    def _known_members(self) -> Members:
        """Returns the members of the first group that has any."""
        known = [g.members for g in self.groups.values() if g.members.members]
        return known[0] if known else Members()

    def _introduce(self, address: str) -> None:
        self._mesh.broadcast(self._founding.node_info())

    async def _run_ticks(self) -> None:
        while not self._stopped:
            await asyncio.sleep(_TICK_INTERVAL_S)
            try:
                self._tick()
            except Exception as exc:
                self.fail(exc)

    def _tick(self) -> None:
        if self.is_disk_full:
            self._flush()
            return
        now_ms = self.now_ms()
        for group in self.groups.values():
            group.tick(now_ms)
        self._disk_monitor.tick(self.groups.values(), now_ms)
        self._ticks += 1
        if self._ticks % _INTRODUCTION_INTERVAL_TICKS == 0:
            self._founding.tick()
            self._connect_members()
            self._request_membership()
        if self._started and self._ticks % _REBALANCE_INTERVAL_TICKS == 0:
            rebalancing.rebalance(
                self.groups.values(), self.address, self._mesh.addresses
            )

    def _connect_members(self) -> None:
        """Connects to members that are known only from the groups' logs."""
        for group in self.groups.values():
            for member in group.members.members:
                if member.node != self.identity:
                    self._mesh.set_address(member.node, member.address)

    def _request_membership(self) -> None:
        if self._cfg.auto_join is not None:
            self._request_auto_join()
        elif self._identity_file.joining and not all(
            self.votes_by_group().values()
        ):
            join = transport.Join(node=self.identity, address=self.address)
            self._mesh.broadcast(join)

    def _request_auto_join(self) -> None:
        """Asks to become a member of the groups, also after a removal.

        A replica that was down for long may have been replaced. Nobody tells
        it, since no leader sends messages to a removed replica.
        """
        groups_not_joined = [
            group
            for group in self.groups.values()
            if not group.leader or group.members.find(self.identity) is None
        ]
        if self._started and groups_not_joined:
            join = transport.Join(node=self.identity, address=self.address)
            self._mesh.broadcast(join)

    def _flush(self) -> None:
        if self._stopped:
            return
        try:
            self._flush_groups()
        except Exception as exc:
            self.fail(exc)

    def _flush_groups(self) -> None:
        was_full = self.is_disk_full
        if not was_full:
            self._begin_flush()
        try:
            self._sync()
        except DiskFullError as exc:
            if not was_full:
                log.error("the disk is full: %s", exc)
                self._on_disk_full_changed(True)
            return
        flushes, self._pending_flushes = self._pending_flushes, []
        if was_full:
            log.info("the disk is no longer full")
            self._on_disk_full_changed(False)
        now_ms = self.now_ms()
        for flush in flushes:
            flush.group.handle_synced(now_ms)
        for flush in flushes:
            flush.group.finish_flush(flush.deferred)
            self._announce_leader(flush.group)
            if flush.group.needs_snapshot(self._cfg.snapshot_entries):
                self._snapshots.take(flush.group, self.groups, now_ms)
        if was_full and self._groups_to_flush:
            asyncio.get_running_loop().call_soon(self._flush)

    def _begin_flush(self) -> None:
        """Writes the output of all scheduled groups, and sends heartbeats."""
        groups, self._groups_to_flush = self._groups_to_flush, {}
        now_ms = self.now_ms()
        for group in groups.values():
            deferred = group.begin_flush(now_ms)
            self._pending_flushes.append(_PendingFlush(group, deferred))
        self.heartbeats.send(self.identity, self.send)

    def _sync(self) -> None:
        start_s = time.monotonic()
        if self.storage.sync():
            self._disk_monitor.record((time.monotonic() - start_s) * _MS_PER_S)

    def _announce_leader(self, group: Group) -> None:
        known = (group.term, group.leader)
        if group.leader and self._announced_leaders.get(group.name) != known:
            self._announced_leaders[group.name] = known
            self._on_leader_changed(group)
