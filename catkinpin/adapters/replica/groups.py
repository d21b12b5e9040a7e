"""Runs a log group: proposals in, committed records out."""

from __future__ import annotations

import array
import logging
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from catkinpin import metrics
from catkinpin.adapters.disk import snapshots
from catkinpin.adapters.replica import transfers, transport
from catkinpin.core.consensus import commands, core, messages
from catkinpin.core.consensus.messages import EntryKind, Members
from catkinpin.exceptions import StorageError

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from catkinpin.adapters.disk.grouplog import GroupLog
    from catkinpin.adapters.replica.heartbeats import Outbox
    from catkinpin.core.consensus.messages import Entry
    from catkinpin.core.consensus.state import Timing

log = logging.getLogger(__name__)


class StateMachine(Protocol):
    """What a log group drives; all of it runs on the loop."""

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record; called in the order of the log."""

    def leadership(self, leading: bool) -> None:
        """Says that this replica now leads the group, or no longer does.

        A new leader has applied every record that was committed before, and
        the lease of the one before it has run out.
        """

    def snapshot(self) -> bytes:
        """Returns the state as of the last record applied."""

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot, maybe one of another replica."""

    def referenced(self) -> Iterable[int]:
        """Returns the indexes of records that `Group.read` must still serve.

        They outlive the truncation of the log, and travel with a snapshot.
        """


class GroupNode(Protocol):
    """The replica process as one of its groups sees it.

    Attributes:
        identity: who this replica is.
        rng: draws election timeouts.
        heartbeats: those that leave at the end of this turn of the loop.
    """

    identity: str
    rng: random.Random
    heartbeats: Outbox

    @property
    def timing(self) -> Timing:
        """Times of heartbeats and elections."""

    @property
    def begun_ms(self) -> int | None:
        """When this process began, None where that is not known."""

    @property
    def is_full(self) -> bool:
        """Whether the disk is full."""

    def now_ms(self) -> int:
        """Returns monotonic time."""

    def sync(self) -> None:
        """Syncs what all groups have written."""

    def may_lead(self, group: Group) -> bool:
        """Returns whether the state that a leader depends on is current."""

    def send(self, node: str, message: Any) -> None:
        """Sends to a replica; dropped where it can't be reached."""

    def wake(self, group: Group) -> None:
        """Has a group's commands carried out at the end of this turn."""

    def fail(self, exc: Exception) -> None:
        """Gives up after an error that can't be undone."""


class Group:
    """This replica's part in a log group.

    Args:
        node: the process's replica, which owns disk, streams and time.
        group_log: the group's log.
        machine: the state machine that the log drives.
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
        self._elected = False
        self._leading = False
        self._wrote = False
        self._fetch: transfers.Fetch | None = None
        self._restoring: snapshots.Snapshot | None = None

    @property
    def term(self) -> int:
        """The newest term that this replica knows."""
        return self._core.term if self._core is not None else 0

    @property
    def leader(self) -> str:
        """Peer address of the leader, empty where it is not known."""
        return self._core.leader_address if self._core is not None else ""

    @property
    def members(self) -> Members:
        """The newest members that this replica knows."""
        if self._core is None:
            return Members()
        return self._core.state.log.members

    def is_leader(self) -> bool:
        """Returns whether this replica may decide for the group now."""
        if self._core is None or not self._leading or self._node.is_full:
            return False
        return self._core.holds_lease(self._node.now_ms())

    def is_current(self) -> bool:
        """Returns whether the state here is that of the present leader."""
        if self._core is None or self._node.is_full:
            return False
        return self._core.is_current(self._applied, self._node.now_ms())

    def propose(self, payload: bytes) -> None:
        """Appends a record; `apply` gets it once it is committed.

        Where this replica doesn't lead the record goes: who waits for it
        learns of the new leader and asks that one.
        """
        if self._core is None or self._node.is_full:
            return
        index = self._core.propose(payload, self._node.now_ms())
        if index:
            metrics.LOG_RECORDS.inc()
            self._node.wake(self)
        else:
            log.debug("not proposed", extra={"group": self.name})

    def read(self, index: int) -> bytes:
        """Returns a record."""
        try:
            return self.log.read(index).payload
        except StorageError as exc:
            self._node.fail(exc)
            raise

    # What follows is for the node only.

    def start(self, founders: Members) -> None:
        """Restores the state and takes part in the group."""
        snapshot = self.log.load_snapshot()
        if snapshot is not None:
            self._machine.restore(snapshot.data)
        self._applied = self.log.snapshot
        self._core = core.Core(
            self._node.identity,
            self.log.stored(founders),
            self._node.rng,
            self._node.now_ms(),
            self._node.timing,
            self._node.begun_ms,
        )
        self._node.wake(self)

    def tick(self, now_ms: int) -> None:
        """Acts on time that has passed."""
        if self._core is None:
            return
        self._core.tick(now_ms)
        if self._core.has_output():
            self._node.wake(self)
        if self._elected and not self._leading:
            self._update_leadership()
        if self._fetch is not None:
            self._fetch.tick(now_ms)

    def handle(self, message: Any) -> None:
        """Takes a message of another replica."""
        if self._core is None:
            return
        now_ms = self._node.now_ms()
        match message:
            case transport.Routed():
                self._core.step(message.sender, message.body, now_ms)
            case transport.SnapshotPull():
                reply = transfers.part(self.log, self._node.identity, message)
                self._node.send(message.sender, reply)
            case transport.RecordsPull():
                records = transfers.records(
                    self.log, self._node.identity, message
                )
                self._node.send(message.sender, records)
            case transport.SnapshotPart() if self._fetch is not None:
                self._fetched(self._fetch, self._fetch.part(message), now_ms)
            case transport.Records() if self._fetch is not None:
                held = self._fetch.records(message.entries)
                self._fetched(self._fetch, held, now_ms)
        self._node.wake(self)

    def heartbeat(
        self, sender: str, heartbeat: messages.Heartbeat, now_ms: int
    ) -> bool:
        """Takes a heartbeat; returns whether a plain answer will do."""
        if self._core is None:
            return False
        if self._core.accept_unchanged_heartbeat(
            sender, heartbeat.term, heartbeat.commit, now_ms
        ):
            return True
        self._core.step(sender, heartbeat, now_ms)
        self._node.wake(self)
        return False

    def handle_heartbeat_reply(
        self, sender: str, reply: messages.HeartbeatReply, now_ms: int
    ) -> None:
        """Takes the answer to a heartbeat."""
        if self._core is None:
            return
        self._core.step(sender, reply, now_ms)
        if self._core.has_output():
            self._node.wake(self)

    def begin_flush(self, now_ms: int) -> list[commands.Command]:
        """Writes and sends what may go before the sync; returns the rest."""
        assert self._core is not None
        out = self._core.take_output(now_ms)
        self._wrote = any(isinstance(c, commands.SaveEntries) for c in out)
        return [c for c in out if not self._before_sync(c)]

    def synced(self, now_ms: int) -> None:
        """Notes that all that was written is synced."""
        assert self._core is not None
        if not self._wrote:
            return
        last = self._core.state.log
        self._core.synced(last.last, last.last_term, now_ms)
        if self._core.has_output():
            self._node.wake(self)

    def finish_flush(self, later: list[commands.Command]) -> None:
        """Carries out what had to wait for the sync."""
        for command in later:
            self._after_sync(command)

    def transfer(self, address: str = "") -> bool:
        """Hands leadership over; returns whether anyone can take it.

        Args:
            address: peer address of who shall take it; empty for any.
        """
        if self._core is None:
            return False
        begun = self._core.transfer(self._node.now_ms(), address)
        self._node.wake(self)
        return begun

    def add_learner(self, join: transport.Join) -> None:
        """Adds a replica that replaces a lost one, where we lead."""
        if self._core is not None:
            self._core.add_learner(join.node, join.address, self._node.now_ms())
            self._node.wake(self)

    def is_settled(self, node: str) -> bool:
        """Returns whether `node` votes, alone at its address, up to date.

        Only this replica itself can say that of itself.
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
        return self._applied - self.log.snapshot >= entries

    def take_snapshot(self, keep: int) -> None:
        """Writes a snapshot and cuts the log, but for the last `keep`.

        All that was applied must be synced.
        """
        assert self._core is not None
        index = self._core.state.log
        applied = self._applied
        if applied <= self.log.snapshot and keep:
            return
        description = snapshots.Description(
            group=self.name,
            index=applied,
            term=index.term_at(applied),
            members=index.members_at(applied),
            referenced=snapshots.pack(
                array.array("Q", sorted(self._machine.referenced()))
            ),
        )
        snapshot = snapshots.Snapshot(description, self._machine.snapshot())
        base = max(index.base, applied - keep)
        self.log.save_snapshot(
            snapshot, base, index.term_at(base), index.members_at(base)
        )
        self._node.sync()
        self._core.compact(applied, base)

    def _before_sync(self, command: commands.Command) -> bool:
        match command:
            case commands.SaveState(term, vote, led):
                self.log.save_state(term, vote, led=led)
            case commands.SaveEntries(entries):
                self.log.append(entries)
            case commands.Restore(_, keeps_tail):
                self._install(keeps_tail)
                return False
            case commands.Send(to, messages.Heartbeat() as heartbeat, False):
                self._node.heartbeats.add(self.name, to, heartbeat)
            case commands.Send(to, message, False):
                self._send(to, message)
            case commands.SendEntries(to, message, first, last):
                entries = self._entries(first, last)
                self._send(
                    to, msgspec.structs.replace(message, entries=entries)
                )
            case _:
                return False
        return True

    def _after_sync(self, command: commands.Command) -> None:
        match command:
            case commands.Send(to, message):
                self._send(to, message)
            case commands.Apply(first, last):
                self._apply(first, last)
            case commands.ReportLeadership(leading):
                self._elected = leading
                self._update_leadership()
            case commands.Fetch(sender, offer):
                self._begin_fetch(sender, offer)
            case commands.Restore():
                self._restore()

    def _update_leadership(self) -> None:
        """Tells the machine whether it leads.

        A new leader of a shard may lag in the control group: it would refuse
        calls under a configuration that was replaced, or under none. So it
        waits until the state of that group is current here.
        """
        if self._elected and not self._node.may_lead(self):
            return
        if self._elected != self._leading:
            self._leading = self._elected
            metrics.IS_GROUP_LEADER.labels(self.name).set(self._leading)
            self._machine.leadership(self._leading)

    def _send(self, to: str, body: messages.GroupMessage) -> None:
        routed = transport.Routed(
            group=self.name, sender=self._node.identity, to=to, body=body
        )
        self._node.send(to, routed)

    def _entries(self, first: int, last: int) -> list[Entry]:
        return [self.log.read(index) for index in range(first, last + 1)]

    def _apply(self, first: int, last: int) -> None:
        for index in range(first, last + 1):
            entry = self.log.read(index)
            self._applied = index
            if entry.kind is EntryKind.DATA:
                self._machine.apply(index, entry.payload)

    def _begin_fetch(self, sender: str, offer: messages.SnapshotOffer) -> None:
        assert self._core is not None
        old = self._fetch
        wanted = (sender, offer.index)
        if old is not None and (old.sender, old.offer.index) == wanted:
            return
        log.info("fetching a snapshot", extra={"group": self.name})
        self._fetch = transfers.Fetch(
            self.log,
            self._node.identity,
            sender,
            offer,
            self._node.send,
            self._core.state.commit,
        )
        self._fetch.ask(self._node.now_ms())

    def _fetched(self, fetch: transfers.Fetch, held: bool, now_ms: int) -> None:
        """Goes on with a fetch; a new offer follows where it is gone."""
        assert self._core is not None
        if not held:
            self._fetch = None
        elif not fetch.is_complete():
            fetch.ask(now_ms)
        elif not self._core.install(fetch.sender, fetch.offer):
            self._fetch = None

    def _install(self, keeps_tail: bool) -> None:
        assert self._fetch is not None
        assert self._fetch.snapshot is not None
        self._restoring = self._fetch.snapshot
        self._fetch = None
        self.log.install(self._restoring, keeps_tail)

    def _restore(self) -> None:
        assert self._restoring is not None
        snapshot = self._restoring
        self._restoring = None
        self._applied = snapshot.description.index
        self._machine.restore(snapshot.data)
        log.info("snapshot installed", extra={"group": self.name})
