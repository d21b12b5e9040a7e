"""This process as a replica: its groups share disk, streams and time."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
import random
import time
from typing import TYPE_CHECKING, Any

from catkinpin import clock
from catkinpin.adapters.disk.storage import Storage
from catkinpin.adapters.replica import heartbeats, mesh, transport
from catkinpin.adapters.replica.founding import Founding
from catkinpin.adapters.replica.groups import Group
from catkinpin.adapters.replica.identity import Identity
from catkinpin.adapters.replica.slowdisk import SlowDisk
from catkinpin.adapters.replica.snapshotting import Snapshots
from catkinpin.core.consensus.messages import (
    Accepted,
    Members,
    Prepare,
    Promise,
    Propose,
)
from catkinpin.exceptions import DiskFullError, SettingsError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.replica.config import NodeConfig
    from catkinpin.adapters.replica.groups import StateMachine
    from catkinpin.core import messages
    from catkinpin.core.consensus import commands
    from catkinpin.core.consensus.state import Timing

log = logging.getLogger(__name__)

_TICK_S = 0.05
_INTRODUCE_TICKS = 4
_SPREAD_TICKS = 200
# Groups that one replica may lead more than another; moves cost a moment.
_MAX_LEAD_DIFFERENCE = 2
_TRANSFER_S = 1.5
_MS_PER_S = 1_000


@dataclasses.dataclass(frozen=True)
class _Unsynced:
    """A group's commands that may be carried out after the sync."""

    group: Group
    rest: list[commands.Command]


class Node:
    """This replica's part in all groups.

    Everything that the groups write in one turn of the loop is written and
    synced at once, at the end of that turn.

    Args:
        cfg: the settings.
        on_leader: called with each group whose leader has changed.
        on_failure: called with what makes it unsafe to go on.
        on_slow_disk: called with each group handed over for a slow disk.
        on_full_disk: called with whether the disk is full, at each change.
        first: the group whose state the leaders of the others depend on.

    Attributes:
        identity: who this replica is, new for each new data folder.
        address: peer address as the other replicas know it.
    """

    def __init__(
        self,
        cfg: NodeConfig,
        on_leader: Callable[[Group], None],
        on_failure: Callable[[Exception], None],
        first: str = "",
        on_slow_disk: Callable[[Group], None] = lambda _: None,
        on_full_disk: Callable[[bool], None] = lambda _: None,
    ) -> None:
        self.storage = Storage(cfg.data_folder, segment_bytes=cfg.segment_bytes)
        self._file = Identity(cfg.data_folder, self.storage.ops)
        self.identity = self._file.node
        self.rng = random.Random()
        self.address = ""
        self.groups: dict[str, Group] = {}
        self.heartbeats = heartbeats.Outbox()
        self._cfg = cfg
        self._on_leader = on_leader
        self._on_failure = on_failure
        self._on_full_disk = on_full_disk
        self._first = first
        self._woken: dict[str, Group] = {}
        # What waits for a sync that a full disk has kept from being made.
        self._unsynced: list[_Unsynced] = []
        self._announced: dict[str, tuple[int, str]] = {}
        self._slow_disk = SlowDisk(on_slow_disk)
        self._snapshots = Snapshots(self.storage, cfg.snapshot_entries)
        self._ticks = 0
        self._started = False
        self._stopped = False
        self._tick_task: asyncio.Task[None] | None = None
        self._mesh: mesh.Mesh
        self._founding: Founding

    @property
    def timing(self) -> Timing:
        """Times of heartbeats and elections."""
        return self._cfg.timing

    @property
    def begun_ms(self) -> int | None:
        """When this process began; what it promised before is older."""
        return self._cfg.begun_ms

    def now_ms(self) -> int:
        """Returns monotonic time that counts a suspended host's sleep, too.

        A leader whose host was suspended would otherwise believe in a lease
        that ran out while it slept.
        """
        return clock.since_boot_ms()

    @property
    def is_full(self) -> bool:
        """Whether the disk is full.

        Nothing can be promised then. To the other replicas this one is as if
        its host stood still: it says nothing, so that they elect a leader
        whose disk has room, and goes on where it was once there is room here.
        """
        return bool(self._unsynced)

    def sync(self) -> None:
        """Syncs what all groups have written."""
        self.storage.sync()

    def add_group(self, name: str, machine: StateMachine) -> Group:
        """Adds a group before the start."""
        group = Group(self, self.storage.group(name), machine)
        self.groups[name] = group
        return group

    def may_lead(self, group: Group) -> bool:
        """Returns whether the state that a leader depends on is current."""
        first = self.groups.get(self._first)
        return first is None or first is group or first.is_current()

    def start(self, hello: messages.Hello) -> None:
        """Connects to the other replicas and takes part in the groups."""
        self.storage.sync()
        self.address = hello.address
        listed = self._cfg.replicas
        fixed = self._cfg.joining is None
        if fixed and listed and self.address not in listed:
            # The others would found without this replica.
            raise SettingsError(
                f"replicas: {', '.join(listed)} does not hold this replica's"
                f" own address {self.address}; see peer_advertise"
            )
        others = [a for a in listed if a != self.address]
        self._mesh = mesh.Mesh(others, self._introduce, grows=not fixed)
        self._founding = Founding(
            self._file,
            self.address,
            self._mesh,
            self._begin,
            self._cfg.joining,
            self._known_members,
        )
        self._mesh.start(hello)
        self._founding.start()
        self._tick_task = asyncio.create_task(self._run_ticks())

    async def stop(self) -> None:
        """Hands leadership over, then leaves."""
        handed = [g for g in self.groups.values() if g.transfer()]
        until = time.monotonic() + _TRANSFER_S
        while time.monotonic() < until:
            if all(g.leader not in ("", self.address) for g in handed):
                break
            await asyncio.sleep(_TICK_S)
        if self._tick_task is not None:
            self._tick_task.cancel()
        self._stopped = True
        await self._mesh.stop()
        self.storage.close()

    def connect_to(self, address: str) -> None:
        """Connects to a replica that the settings name by now."""
        self._mesh.add(address)

    def known_addresses(self) -> list[str]:
        """Returns the peer addresses of all replicas known."""
        return list(self._mesh.addresses)

    def not_ready(self) -> str:
        """Returns why this replica takes no part, or an empty string."""
        if not self._started:
            if self._founding.needs_repair():
                return (
                    "this data folder is empty and the other replicas have"
                    " state; run `catkinpin repair` if its disk was lost"
                )
            return f"waiting for {', '.join(self._founding.waits_for())}"
        for group in self.groups.values():
            if not group.leader:
                return f"no leader of {group.name}"
        return ""

    def needs_repair(self) -> bool:
        """Returns whether this replica waits for an operator's repair."""
        return self._founding.needs_repair()

    def group_known(self, by: str) -> None:
        """Notes that the process `by` knows of a founded system."""
        self._founding.group_known(by)

    def repair(self) -> None:
        """Lets this replica replace the one that was lost at its address."""
        self._founding.repair()

    def settled(self) -> dict[str, bool]:
        """Returns for each group whether this replica votes, up to date."""
        return {
            name: group.is_settled(self.identity)
            for name, group in self.groups.items()
        }

    def hello(self, hello: messages.Hello) -> None:
        """Notes who another replica is."""
        self._mesh.learn(hello.process, hello.address)

    def handle(self, message: Any) -> None:
        """Takes a message of another replica."""
        if self._stopped:
            return
        try:
            self._handle(message)
        except Exception as exc:
            self.fail(exc)

    def fail(self, exc: Exception) -> None:
        """Gives up: another replica must go on from what a quorum holds.

        What was half written, or half applied, can't be taken back.
        """
        if not self._stopped:
            self._stopped = True
            self._on_failure(exc)

    def _handle(self, message: Any) -> None:
        if self.is_full and not isinstance(message, transport.NodeInfo):
            return
        match message:
            case transport.NodeInfo():
                self._mesh.learn(message.node, message.address)
                for address in message.known:
                    self._mesh.add(address)
                self._founding.handle_info(message)
            case transport.Found():
                self._founding.founded(message.members)
            case Prepare() | Promise() | Propose() | Accepted():
                self._founding.handle(message)
            case transport.Join():
                self._mesh.learn(message.node, message.address)
                for group in self.groups.values():
                    group.add_learner(message)
            case transport.Heartbeats() | transport.HeartbeatReplies():
                if message.to == self.identity:
                    self._handle_heartbeats(message)
            case _:
                group_of = self.groups.get(message.group)
                if group_of is not None and message.to == self.identity:
                    group_of.handle(message)

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
        """Sends to a replica; dropped where it can't be reached."""
        self._mesh.send(node, message)

    def wake(self, group: Group) -> None:
        """Has a group's commands carried out at the end of this turn."""
        if self._stopped:
            return
        if not self._woken:
            asyncio.get_running_loop().call_soon(self._flush)
        self._woken[group.name] = group

    def _begin(self) -> None:
        self._started = True
        founders = self._file.founders or Members()
        for group in self.groups.values():
            group.start(founders)

    def _known_members(self) -> Members:
        """Returns the newest members of a group that has any."""
        known = [g.members for g in self.groups.values() if g.members.members]
        return known[0] if known else Members()

    def _introduce(self, address: str) -> None:
        self._mesh.broadcast(self._founding.info())

    async def _run_ticks(self) -> None:
        while not self._stopped:
            await asyncio.sleep(_TICK_S)
            try:
                self._tick()
            except Exception as exc:
                self.fail(exc)

    def _tick(self) -> None:
        if self.is_full:
            self._flush()
            return
        now_ms = self.now_ms()
        for group in self.groups.values():
            group.tick(now_ms)
        self._slow_disk.tick(self.groups.values(), now_ms)
        self._ticks += 1
        if self._ticks % _INTRODUCE_TICKS == 0:
            self._founding.tick()
            self._connect_members()
            self._join()
        if self._ticks % _SPREAD_TICKS == 0:
            self._spread()

    def _spread(self) -> None:
        """Hands one group over where this replica leads far too many.

        After a replica was away the others lead all of its groups, and one
        processor would carry what three should.
        """
        leaders = [group.leader for group in self.groups.values()]
        if not self._started or "" in leaders:
            return
        led = collections.Counter(leaders)
        least_loaded = min(
            self._mesh.addresses, key=led.__getitem__, default=""
        )
        if (
            least_loaded
            and led[self.address] - led[least_loaded] > _MAX_LEAD_DIFFERENCE
        ):
            for group in self.groups.values():
                if group.is_leader() and group.transfer(least_loaded):
                    log.info("handing over", extra={"group": group.name})
                    return

    def _connect_members(self) -> None:
        """Connects to members that no seed and no replica has named yet."""
        for group in self.groups.values():
            for member in group.members.members:
                if member.node != self.identity:
                    self._mesh.learn(member.node, member.address)

    def _join(self) -> None:
        if self._cfg.joining is not None:
            self._join_alone()
        elif self._file.joining and not all(self.settled().values()):
            join = transport.Join(node=self.identity, address=self.address)
            self._mesh.broadcast(join)

    def _join_alone(self) -> None:
        """Asks to become a member, first or again.

        A replica that was away for long has lost its place to another. It
        learns of that from nobody: no leader speaks to it any more.
        """
        outside = [
            group
            for group in self.groups.values()
            if not group.leader or group.members.find(self.identity) is None
        ]
        if self._started and outside:
            join = transport.Join(node=self.identity, address=self.address)
            self._mesh.broadcast(join)

    def _flush(self) -> None:
        if self._stopped:
            return
        try:
            self._flush_woken()
        except Exception as exc:
            self.fail(exc)

    def _flush_woken(self) -> None:
        was_full = self.is_full
        if not was_full:
            self._begin_flush()
        try:
            self._sync()
        except DiskFullError as exc:
            if not was_full:
                log.error("the disk is full: %s", exc)
                self._on_full_disk(True)
            return
        later, self._unsynced = self._unsynced, []
        if was_full:
            log.info("the disk has room again")
            self._on_full_disk(False)
        now_ms = self.now_ms()
        for one in later:
            one.group.synced(now_ms)
        for one in later:
            one.group.finish_flush(one.rest)
            self._announce_leader(one.group)
            if one.group.needs_snapshot(self._cfg.snapshot_entries):
                self._snapshots.take(one.group, self.groups, now_ms)
        if was_full and self._woken:
            asyncio.get_running_loop().call_soon(self._flush)

    def _begin_flush(self) -> None:
        """Writes what all woken groups want to have synced."""
        woken, self._woken = self._woken, {}
        now_ms = self.now_ms()
        for group in woken.values():
            rest = group.begin_flush(now_ms)
            self._unsynced.append(_Unsynced(group, rest))
        self.heartbeats.send(self.identity, self.send)

    def _sync(self) -> None:
        began_s = time.monotonic()
        if self.storage.sync():
            self._slow_disk.synced((time.monotonic() - began_s) * _MS_PER_S)

    def _announce_leader(self, group: Group) -> None:
        known = (group.term, group.leader)
        if group.leader and self._announced.get(group.name) != known:
            self._announced[group.name] = known
            self._on_leader(group)
