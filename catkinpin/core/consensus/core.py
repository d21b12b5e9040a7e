"""Consensus core of one replica: takes events and times, returns commands."""

from __future__ import annotations

from typing import TYPE_CHECKING, assert_never

from catkinpin.core.consensus import (
    election,
    following,
    leading,
    membership,
    messages,
    validation,
)
from catkinpin.core.consensus.messages import EntryKind
from catkinpin.core.consensus.state import Role, State, StoredState, Timing

if TYPE_CHECKING:
    import random

    from catkinpin.core.consensus import commands
    from catkinpin.core.consensus.placement import ReplicaPlacement


class Core:
    """One replica of a log group; its driver calls `take_output` after events.

    Args:
        node: identity of this replica.
        stored: state read from the disk.
        rng: random source for the election timeouts.
        now_ms: monotonic time, which must advance while the host is suspended.
        timing: timeouts and limits of the group.
        started_ms: start of this process by the same clock; None: now.
        placement: where the replicas are, and which losses must be survived.
    """

    def __init__(
        self,
        node: str,
        stored: StoredState,
        rng: random.Random,
        now_ms: int,
        timing: Timing | None = None,
        started_ms: int | None = None,
        placement: ReplicaPlacement | None = None,
    ) -> None:
        timing = timing or Timing()
        self.state = State(
            node, stored, rng, now_ms, timing, started_ms, placement
        )
        if self.state.log.voters == [node]:
            election.start_pre_vote(self.state, now_ms)

    @property
    def term(self) -> int:
        """The newest term that this replica knows."""
        return self.state.term

    @property
    def leader(self) -> str:
        """Identity of the leader; empty if unknown."""
        return self.state.leader

    @property
    def leader_address(self) -> str:
        """Peer address of the leader; empty if unknown."""
        member = self.state.log.members.find(self.state.leader)
        return member.address if member is not None else ""

    @property
    def role(self) -> Role:
        """Role of this replica in its term."""
        return self.state.role

    def holds_lease(self, now_ms: int) -> bool:
        """Returns whether this replica may make decisions and serve reads now.

        At most one replica of a group holds a lease at a time. A new leader
        counts as holding it only once all entries committed before its term
        have been given out to be applied. A leader that is transferring
        leadership no longer counts, since it takes no new entries.
        """
        state = self.state
        leads = state.leadership_reported and not state.transfer_to
        return leads and now_ms < state.lease_until_ms

    def is_current(self, applied: int, now_ms: int) -> bool:
        """Returns whether the state as of the index `applied` is current.

        A current state includes all entries committed before the present
        leader's term and those that this leader had committed by its last
        heartbeat.
        """
        state = self.state
        if state.log.term_at(applied) != state.term:
            return False
        if state.role is Role.LEADER:
            return self.holds_lease(now_ms)
        return bool(state.leader) and state.has_recent_heartbeat(now_ms)

    def tick(self, now_ms: int) -> None:
        """Runs the timers that are due; the driver calls it periodically."""
        state = self.state
        if state.role is Role.LEADER:
            leading.tick(state, now_ms)
            if state.role is Role.LEADER:
                membership.update_voters(state, now_ms)
        elif now_ms >= state.election_deadline_ms and state.is_voter():
            election.start_pre_vote(state, now_ms)

    def find_problem(self, msg: messages.GroupMessage, now_ms: int) -> str:
        """Returns why `step` can't handle a message, or "" if it can."""
        return validation.find_problem(self.state, msg, now_ms)

    def step(
        self, sender: str, msg: messages.GroupMessage, now_ms: int
    ) -> None:
        """Handles a message from another member."""
        state = self.state
        match msg:
            case messages.Heartbeat():
                following.on_heartbeat(state, sender, msg, now_ms)
            case messages.HeartbeatReply():
                leading.on_heartbeat_reply(state, sender, msg, now_ms)
            case messages.Append():
                following.on_append(state, sender, msg, now_ms)
            case messages.AppendReply():
                leading.on_append_reply(state, sender, msg, now_ms)
            case messages.PreVote():
                election.on_pre_vote(state, sender, msg, now_ms)
            case messages.PreVoteReply():
                election.on_pre_vote_reply(state, sender, msg, now_ms)
            case messages.Vote():
                election.on_vote(state, sender, msg, now_ms)
            case messages.VoteReply():
                election.on_vote_reply(state, sender, msg, now_ms)
            case messages.SnapshotOffer():
                following.on_snapshot_offer(state, sender, msg, now_ms)
            case messages.TimeoutNow():
                election.on_timeout_now(state, msg, now_ms)
            case _:
                assert_never(msg)

    def accept_unchanged_heartbeat(
        self, sender: str, term: int, commit: int, now_ms: int
    ) -> bool:
        """Handles a heartbeat from the current leader that changes nothing.

        Returns:
            Whether to answer with `HeartbeatReply`. If False, the
            heartbeat was not handled and has to be passed to `step`.
        """
        return following.accept_unchanged_heartbeat(
            self.state, sender, term, commit, now_ms
        )

    def propose(self, payload: bytes, now_ms: int) -> int:
        """Appends an entry; returns its index, 0 if this is not the leader."""
        state = self.state
        if state.role is not Role.LEADER or state.transfer_to:
            return 0
        return leading.append_entry(state, EntryKind.DATA, payload, now_ms)

    def synced(self, index: int, term: int, now_ms: int) -> None:
        """Records that the entries up to `index` are synced to disk.

        Args:
            index: index of the last entry synced.
            term: term of that entry; the call has no effect if the log holds
                another entry at that index by now.
            now_ms: monotonic time.
        """
        state = self.state
        if state.log.term_at(index) == term:
            state.synced_index = max(state.synced_index, index)
            if state.role is Role.LEADER:
                leading.on_synced(state, now_ms)

    def transfer(self, now_ms: int, address: str = "") -> bool:
        """Starts to transfer leadership to another voter.

        Args:
            now_ms: monotonic time.
            address: peer address of the voter to transfer it to; empty for
                any.

        Returns:
            Whether the transfer was started; False if this replica is not the
            leader or no suitable voter answers.
        """
        if self.state.role is not Role.LEADER:
            return False
        return leading.transfer(self.state, now_ms, address)

    def add_learner(self, node: str, address: str, now_ms: int) -> bool:
        """Adds a replica as a learner; it becomes a voter once it catches up.

        It then replaces the voter at the same address, if there is one.

        Returns:
            Whether it is a member; False if it cannot be added now.
        """
        if self.state.role is not Role.LEADER:
            return False
        return membership.add_learner(self.state, node, address, now_ms)

    def compact(self, snapshot: int, base: int) -> None:
        """Drops the log's entries up to `base` after a snapshot was synced.

        Args:
            snapshot: last index that the snapshot covers.
            base: index of the last entry to drop.
        """
        self.state.snapshot_index = snapshot
        if base > self.state.log.base:
            self.state.log.compact(base)

    def install(self, sender: str, offer: messages.SnapshotOffer) -> bool:
        """Replaces this replica's state by the snapshot that `sender` offered.

        Returns:
            Whether it was installed; False if this replica has already
            committed that far.
        """
        return following.install_snapshot(self.state, sender, offer)

    def has_output(self) -> bool:
        """Returns whether `take_output` would return queued commands."""
        return bool(self.state.out)

    def take_output(self, now_ms: int) -> list[commands.Command]:
        """Returns the commands queued since the last call.

        A leader batches the entries proposed since then into few messages.
        """
        if self.state.role is Role.LEADER:
            leading.replicate(self.state, now_ms)
        out, self.state.out = self.state.out, []
        return out
