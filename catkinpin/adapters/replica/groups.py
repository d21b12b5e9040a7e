"""Runs a log group: takes proposals and applies committed records."""

from __future__ import annotations

import array
import logging
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from catkinpin import metrics
from catkinpin.adapters.disk import snapshots
from catkinpin.adapters.replica import transfers, transport
from catkinpin.core.consensus import commands, core, membership, messages
from catkinpin.core.consensus.messages import EntryKind, Members
from catkinpin.exceptions import StorageError

if TYPE_CHECKING:
    import random

    from catkinpin.adapters.disk.grouplog import GroupLog
    from catkinpin.adapters.replica.heartbeats import Outbox
    from catkinpin.adapters.replica.machines import StateMachine
    from catkinpin.core.consensus.messages import Entry
    from catkinpin.core.consensus.placement import ReplicaPlacement
    from catkinpin.core.consensus.state import Timing
    from catkinpin.core.tolerance import Loss

log = logging.getLogger(__name__)


class GroupNode(Protocol):
    """What a group needs of the node that runs it.

    Attributes:
        identity: unique name of this replica.
        rng: draws election timeouts.
        heartbeats: heartbeats to send with the next flush.
        placement: where the replicas are, and which losses must be survived.
    """

    identity: str
    rng: random.Random
    heartbeats: Outbox
    placement: ReplicaPlacement

    @property
    def timing(self) -> Timing:
        """Intervals and timeouts of heartbeats and elections."""

    @property
    def process_begun_ms(self) -> int | None:
        """Start of this process by `now_ms`, None if it is not known."""

    @property
    def is_disk_full(self) -> bool:
        """Whether the disk is full."""

    def now_ms(self) -> int:
        """Returns the monotonic time."""

    def sync(self) -> None:
        """Syncs the writes of all groups."""

    def may_lead(self, group: Group) -> bool:
        """Returns whether the state that a leader depends on is current."""

    def send(self, node: str, message: Any) -> None:
        """Sends to a replica; drops the message if there is no stream to it."""

    def schedule_flush(self, group: Group) -> None:
        """Has a group's commands carried out after this loop iteration."""

    def fail(self, exc: Exception) -> None:
        """Stops the replica after an error that it can't recover from."""


class Group:
    """One log group, as this replica runs it.

    Args:
        node: owns the disk, the streams and the clock of this replica.
        group_log: the group's log.
        machine: the state machine that the records are applied to.
    """

    def __init__(
        self, node: GroupNode, group_log: GroupLog, machine: StateMachine
    ) -> None:
        self.name = group_log.name
        self.log = group_log
        self._node = node
        self._machine = machine
        self._core: core.Core | None = None
        self._applied = 0
        self._is_elected = False
        self._leading = False
        self._has_writes = False
        self._fetch: transfers.SnapshotFetch | None = None
        self._fetched_snapshot: snapshots.Snapshot | None = None

    @property
    def term(self) -> int:
        """Highest term that this replica knows."""
        return self._core.term if self._core is not None else 0

    @property
    def leader(self) -> str:
        """Peer address of the leader, empty if it is not known."""
        return self._core.leader_address if self._core is not None else ""

    @property
    def members(self) -> Members:
        """Newest members that this replica knows."""
        if self._core is None:
            return Members()
        return self._core.state.log.members

    def is_leader(self) -> bool:
        """Returns whether this replica leads and holds the lease now."""
        if self._core is None or not self._leading or self._node.is_disk_full:
            return False
        return self._core.holds_lease(self._node.now_ms())

    def is_current(self) -> bool:
        """Returns whether this replica's state is as new as the leader's."""
        if self._core is None or self._node.is_disk_full:
            return False
        return self._core.is_current(self._applied, self._node.now_ms())

    def unkept_losses(self) -> list[Loss]:
        """Returns the kinds of tolerated losses that may take the majority."""
        if self._core is None:
            return []
        return membership.unkept_losses(self._core.state)

    def propose(self, payload: bytes) -> None:
        """Appends a record; it is passed to `apply` once it is committed.

        If this replica does not lead, the record is dropped: whoever waits for
        it learns of the new leader and asks that one.
        """
        if self._core is None or self._node.is_disk_full:
            return
        index = self._core.propose(payload, self._node.now_ms())
        if index:
            metrics.LOG_RECORDS.inc()
            self._node.schedule_flush(self)
        else:
            log.debug("proposal dropped", extra={"group": self.name})

    def read(self, index: int) -> bytes:
        """Returns the payload of a record; fails the node if it can't."""
        try:
            return self.log.read(index).payload
        except StorageError as exc:
            self._node.fail(exc)
            raise

    # Only the node calls the methods below.

    def start(self, founders: Members) -> None:
        """Restores the state and starts to participate in the group."""
        snapshot = self.log.load_snapshot()
        if snapshot is not None:
            self._machine.restore(snapshot.data)
        self._applied = self.log.snapshot_index
        self._core = core.Core(
            self._node.identity,
            self.log.stored_state(founders),
            self._node.rng,
            self._node.now_ms(),
            self._node.timing,
            self._node.process_begun_ms,
            self._node.placement,
        )
        self._node.schedule_flush(self)

    def tick(self, now_ms: int) -> None:
        """Handles timeouts."""
        if self._core is None:
            return
        self._core.tick(now_ms)
        if self._core.has_output():
            self._node.schedule_flush(self)
        if self._is_elected and not self._leading:
            self._update_leadership()
        if self._fetch is not None:
            self._fetch.tick(now_ms)

    def handle(self, message: Any) -> None:
        """Handles a message of another replica."""
        if self._core is None:
            return
        now_ms = self._node.now_ms()
        match message:
            case transport.Routed():
                self._step(message.sender, message.body, now_ms)
            case transport.SnapshotPull():
                reply = transfers.read_part(
                    self.log, self._node.identity, message
                )
                self._node.send(message.sender, reply)
            case transport.RecordsPull():
                records = transfers.read_records(
                    self.log, self._node.identity, message
                )
                self._node.send(message.sender, records)
            case transport.SnapshotPart() if self._fetch is not None:
                self._continue_fetch(
                    self._fetch, self._fetch.handle_part(message), now_ms
                )
            case transport.Records() if self._fetch is not None:
                is_available = self._fetch.handle_records(message.entries)
                self._continue_fetch(self._fetch, is_available, now_ms)
        self._node.schedule_flush(self)

    def handle_heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat, now_ms: int
    ) -> bool:
        """Handles a heartbeat; returns whether a plain reply is due."""
        if self._core is None:
            return False
        if self._core.accept_unchanged_heartbeat(
            sender, heartbeat.term, heartbeat.commit, now_ms
        ):
            return True
        self._step(sender, heartbeat, now_ms)
        self._node.schedule_flush(self)
        return False

    def handle_heartbeat_reply(
        self, sender: str, reply: messages.HeartbeatReply, now_ms: int
    ) -> None:
        """Handles the reply to a heartbeat."""
        if self._core is None:
            return
        self._step(sender, reply, now_ms)
        if self._core.has_output():
            self._node.schedule_flush(self)

    def _step(
        self, sender: str, msg: messages.GroupMessage, now_ms: int
    ) -> None:
        assert self._core is not None
        problem = self._core.find_problem(msg, now_ms)
        if problem:
            extra = {"group": self.name, "peer": sender}
            log.warning("message refused: %s", problem, extra=extra)
        else:
            self._core.step(sender, msg, now_ms)

    def begin_flush(self, now_ms: int) -> list[commands.Command]:
        """Runs the commands that may precede the sync; returns the others."""
        assert self._core is not None
        out = self._core.take_output(now_ms)
        self._has_writes = any(isinstance(c, commands.SaveEntries) for c in out)
        return [c for c in out if not self._run_before_sync(c)]

    def handle_synced(self, now_ms: int) -> None:
        """Tells the core that all written entries are synced."""
        assert self._core is not None
        if not self._has_writes:
            return
        last = self._core.state.log
        self._core.synced(last.last, last.last_term, now_ms)
        if self._core.has_output():
            self._node.schedule_flush(self)

    def finish_flush(self, deferred: list[commands.Command]) -> None:
        """Runs the commands that had to wait for the sync."""
        for command in deferred:
            self._run_after_sync(command)

    def transfer(self, address: str = "") -> bool:
        """Starts a leadership transfer; returns whether a voter can take it.

        Args:
            address: peer address of the new leader; empty for any voter.
        """
        if self._core is None:
            return False
        started = self._core.transfer(self._node.now_ms(), address)
        self._node.schedule_flush(self)
        return started

    def add_learner(self, join: transport.Join) -> None:
        """Adds a replica that replaces a lost one, if this replica leads."""
        if self._core is not None:
            self._core.add_learner(join.node, join.address, self._node.now_ms())
            self._node.schedule_flush(self)

    def is_sole_voter(self, node: str) -> bool:
        """Returns whether `node` votes and is the only member at its address.

        The members must be committed; only `node` itself knows that for sure.
        """
        if self._core is None:
            return False
        state = self._core.state
        member = state.log.members.find(node)
        if member is None or not member.voter:
            return False
        same = [m for m in self.members.members if m.address == member.address]
        return len(same) == 1 and state.log.members_index <= state.commit

    def needs_snapshot(self, entries: int) -> bool:
        """Returns whether `entries` were applied since the last snapshot."""
        return self._applied - self.log.snapshot_index >= entries

    def take_snapshot(self, kept_entries: int) -> None:
        """Writes a snapshot; leaves `kept_entries` before it in the log.

        All applied entries must be synced.
        """
        assert self._core is not None
        core_log = self._core.state.log
        applied = self._applied
        if applied <= self.log.snapshot_index and kept_entries:
            return
        description = snapshots.Description(
            group=self.name,
            index=applied,
            term=core_log.term_at(applied),
            members=core_log.members_at(applied),
            referenced=snapshots.pack_indexes(
                array.array("Q", sorted(self._machine.referenced()))
            ),
        )
        snapshot = snapshots.Snapshot(description, self._machine.snapshot())
        base = max(core_log.base, applied - kept_entries)
        self.log.save_snapshot(
            snapshot, base, core_log.term_at(base), core_log.members_at(base)
        )
        self._node.sync()
        self._core.compact(applied, base)

    def _run_before_sync(self, command: commands.Command) -> bool:
        match command:
            case commands.SaveState(term, vote, led):
                self.log.save_state(term, vote, led=led)
            case commands.SaveEntries(entries):
                self.log.append(entries)
            case commands.Restore(_, keeps_tail):
                self._install_snapshot(keeps_tail)
                return False
            case commands.Send(to, messages.Heartbeat() as heartbeat, False):
                self._node.heartbeats.add(self.name, to, heartbeat)
            case commands.Send(to, message, False):
                self._send(to, message)
            case commands.SendEntries(to, message, first, last):
                entries = self._read_entries(first, last)
                self._send(
                    to, msgspec.structs.replace(message, entries=entries)
                )
            case _:
                return False
        return True

    def _run_after_sync(self, command: commands.Command) -> None:
        match command:
            case commands.Send(to, message):
                self._send(to, message)
            case commands.Apply(first, last):
                self._apply(first, last)
            case commands.ReportLeadership(leading):
                self._is_elected = leading
                self._update_leadership()
            case commands.Fetch(sender, offer):
                self._start_fetch(sender, offer)
            case commands.Restore():
                self._restore_machine()

    def _update_leadership(self) -> None:
        """Tells the state machine whether it leads.

        A new leader of a shard may lag behind in the control group and would
        refuse calls by an outdated configuration, or for lack of one. So it
        waits until its state of that group is current.
        """
        if self._is_elected and not self._node.may_lead(self):
            return
        if self._is_elected != self._leading:
            self._leading = self._is_elected
            metrics.IS_GROUP_LEADER.labels(self.name).set(self._leading)
            self._machine.leadership_changed(self._leading)

    def _send(self, to: str, body: messages.GroupMessage) -> None:
        routed = transport.Routed(
            group=self.name, sender=self._node.identity, to=to, body=body
        )
        self._node.send(to, routed)

    def _read_entries(self, first: int, last: int) -> list[Entry]:
        return [self.log.read(index) for index in range(first, last + 1)]

    def _apply(self, first: int, last: int) -> None:
        for index in range(first, last + 1):
            entry = self.log.read(index)
            self._applied = index
            if entry.kind is EntryKind.DATA:
                self._machine.apply(index, entry.payload)

    def _start_fetch(self, sender: str, offer: messages.SnapshotOffer) -> None:
        assert self._core is not None
        old = self._fetch
        wanted = (sender, offer.index)
        if old is not None and (old.sender, old.offer.index) == wanted:
            return
        log.info("fetching a snapshot", extra={"group": self.name})
        self._fetch = transfers.SnapshotFetch(
            self.log,
            self._node.identity,
            sender,
            offer,
            self._node.send,
            self._core.state.commit,
        )
        self._fetch.request_next(self._node.now_ms())

    def _continue_fetch(
        self, fetch: transfers.SnapshotFetch, is_available: bool, now_ms: int
    ) -> None:
        """Continues a fetch; drops it if the sender has a newer snapshot."""
        assert self._core is not None
        if not is_available:
            self._fetch = None
        elif not fetch.is_complete():
            fetch.request_next(now_ms)
        elif not self._core.install(fetch.sender, fetch.offer):
            self._fetch = None

    def _install_snapshot(self, keeps_tail: bool) -> None:
        assert self._fetch is not None
        assert self._fetch.snapshot is not None
        self._fetched_snapshot = self._fetch.snapshot
        self._fetch = None
        self.log.install(self._fetched_snapshot, keeps_tail)

    def _restore_machine(self) -> None:
        assert self._fetched_snapshot is not None
        snapshot = self._fetched_snapshot
        self._fetched_snapshot = None
        self._applied = snapshot.description.index
        self._machine.restore(snapshot.data)
        log.info("snapshot installed", extra={"group": self.name})
