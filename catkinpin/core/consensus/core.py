"""One replica of a log group: events and a time in, commands out."""

from __future__ import annotations

from typing import TYPE_CHECKING, assert_never

from catkinpin.core.consensus import (
    election,
    following,
    leading,
    membership,
    messages,
)
from catkinpin.core.consensus.messages import EntryKind
from catkinpin.core.consensus.state import Role, State, StoredState, Timing

if TYPE_CHECKING:
    import random

    from catkinpin.core.consensus import commands


class Core:
    """A consensus core; its driver calls `take_output` after events.

    Args:
        node: identity of this replica.
        stored: what was found on the disk.
        rng: random source for the timeouts.
        now_ms: monotonic time; it must count the time a host sleeps, too.
        timing: times of leases and elections.
        begun_ms: when this process began, by the same clock; None: now.
    """

    def __init__(
        self,
        node: str,
        stored: StoredState,
        rng: random.Random,
        now_ms: int,
        timing: Timing | None = None,
        begun_ms: int | None = None,
    ) -> None:
        timing = timing or Timing()
        self.state = State(node, stored, rng, now_ms, timing, begun_ms)
        if self.state.log.voters == [node]:
            election.stand(self.state, now_ms)

    @property
    def term(self) -> int:
        """The newest term that this replica knows."""
        return self.state.term

    @property
    def leader(self) -> str:
        """Identity of the leader, empty where it isn't known."""
        return self.state.leader

    @property
    def leader_address(self) -> str:
        """Peer address of the leader, empty where it isn't known."""
        member = self.state.log.members.find(self.state.leader)
        return member.address if member is not None else ""

    @property
    def role(self) -> Role:
        """What this replica does in its term."""
        return self.state.role

    def holds_lease(self, now_ms: int) -> bool:
        """Returns whether this replica may decide and answer reads now.

        True only for a leader that holds a lease, so for one at a time, and
        only once it has handed out everything committed before its term. One
        that hands over decides nothing more: it takes no records.
        """
        state = self.state
        leads = state.announced and not state.transfer_to
        return leads and now_ms < state.lease_until_ms

    def is_current(self, applied: int, now_ms: int) -> bool:
        """Returns whether the state at `applied` is not an old one.

        It then holds all that was committed before the present leader, and
        what that one has committed until its last heartbeat.
        """
        state = self.state
        if state.log.term_at(applied) != state.term:
            return False
        if state.role is Role.LEADER:
            return self.holds_lease(now_ms)
        return bool(state.leader) and state.has_recent_heartbeat(now_ms)

    def tick(self, now_ms: int) -> None:
        """Acts on time that has passed."""
        state = self.state
        if state.role is Role.LEADER:
            leading.tick(state, now_ms)
            if state.role is Role.LEADER:
                membership.settle(state, now_ms)
        elif now_ms >= state.deadline_ms and state.is_voter():
            election.stand(state, now_ms)

    def step(
        self, sender: str, msg: messages.GroupMessage, now_ms: int
    ) -> None:
        """Takes a message of another member."""
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
                following.on_offer(state, sender, msg, now_ms)
            case messages.TimeoutNow():
                election.on_timeout_now(state, msg, now_ms)
            case _:
                assert_never(msg)

    def accept_unchanged_heartbeat(
        self, sender: str, term: int, commit: int, now_ms: int
    ) -> bool:
        """Takes a heartbeat of a leader that we follow, if nothing is new.

        Returns:
            Whether to answer with a plain `HeartbeatReply`; False where the
            heartbeat has to go through `step`.
        """
        return following.accept_unchanged_heartbeat(
            self.state, sender, term, commit, now_ms
        )

    def propose(self, payload: bytes, now_ms: int) -> int:
        """Appends a record; returns its index, 0 where we don't lead."""
        state = self.state
        if state.role is not Role.LEADER or state.transfer_to:
            return 0
        return leading.append(state, EntryKind.DATA, payload, now_ms)

    def synced(self, index: int, term: int, now_ms: int) -> None:
        """Notes that the entries up to `index` are synced."""
        state = self.state
        if state.log.term_at(index) == term:
            state.synced = max(state.synced, index)
            if state.role is Role.LEADER:
                leading.synced(state, now_ms)

    def transfer(self, now_ms: int, address: str = "") -> bool:
        """Hands leadership over; returns whether anyone can take it.

        Args:
            now_ms: the time.
            address: peer address of the voter to take it; empty for any.
        """
        if self.state.role is not Role.LEADER:
            return False
        return leading.transfer(self.state, now_ms, address)

    def add_learner(self, node: str, address: str, now_ms: int) -> bool:
        """Adds a replica; it becomes a voter once it has caught up.

        It then takes the place of a voter at the same address.

        Returns:
            Whether it is a member; False where we can't add it now.
        """
        if self.state.role is not Role.LEADER:
            return False
        return membership.add_learner(self.state, node, address, now_ms)

    def compact(self, snapshot: int, base: int) -> None:
        """Notes a synced snapshot, and drops the log up to `base`."""
        self.state.snapshot = snapshot
        if base > self.state.log.base:
            self.state.log.compact(base)

    def install(self, sender: str, offer: messages.SnapshotOffer) -> bool:
        """Continues from the fetched snapshot that `sender` offered.

        Returns:
            Whether it was of use; False where we are past it by now.
        """
        return following.install(self.state, sender, offer)

    def has_output(self) -> bool:
        """Returns whether commands wait to be taken."""
        return bool(self.state.out)

    def take_output(self, now_ms: int) -> list[commands.Command]:
        """Returns the commands since the last call.

        Records proposed since then travel together, in few batches.
        """
        if self.state.role is Role.LEADER:
            leading.replicate(self.state, now_ms)
        out, self.state.out = self.state.out, []
        return out
