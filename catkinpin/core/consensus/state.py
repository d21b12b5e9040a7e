"""State of one replica of a log group, and operations that all roles share."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from catkinpin.core.consensus import commands, messages
from catkinpin.core.consensus.log import LogIndex
from catkinpin.core.consensus.placement import ReplicaPlacement

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from catkinpin.core.consensus.progress import Progress

# Largest deviation of a clock's rate from real time, either way.
MAX_CLOCK_DRIFT_SHARE = 0.05
# Bounds of the random delay before the next pre-vote round, as shares of
# `election_timeout_ms`. Voters mostly refuse because they support the last
# leader's lease for a few more ms. With a delay of a whole election timeout,
# a group that had lost its leader had none for up to 2.1 s (seeded simulation).
_PRE_VOTE_RETRY_SHARES = (0.15, 0.3)
# The same before a new election when this one is not won, for instance because
# two candidates split the votes. A round trip between regions and the sync of
# a slow disk take some 170 ms.
_VOTE_RETRY_SHARES = (0.5, 1.0)
# Random delay before the first election where no lease can be in force: in a
# new group, or on a replica whose own lease ended with its earlier process.
_FIRST_ELECTION_DELAY_MS = (20, 250)
_NEVER_MS = -(10**15)


class Role(enum.Enum):
    """Role of a replica in its current term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class Timing:
    """Timeouts and limits of a log group.

    After a heartbeat a follower votes for no other replica for
    `election_timeout_ms` on its own clock. The leader's lease lasts `lease_ms`
    on the leader's clock. The lease must end first at the largest clock drift.

    Attributes:
        heartbeat_interval_ms: time between two heartbeats of a leader.
        election_timeout_ms: shortest time without a heartbeat after which a
            follower starts an election.
        lease_ms: time from sending a heartbeat that a quorum answers to the
            end of the lease.
        snapshot_offer_interval_ms: time before a snapshot is offered to the
            same replica again.
        transfer_timeout_ms: time after which a leadership transfer that has
            not completed is cancelled.
        silent_voter_timeout_ms: time without a reply after which a voter may
            be replaced by a learner that has caught up.
        max_voters: largest number of voters, unless the losses that the group
            must survive need more.
    """

    heartbeat_interval_ms: int = 100
    election_timeout_ms: int = 600
    lease_ms: int = 500
    snapshot_offer_interval_ms: int = 2_000
    transfer_timeout_ms: int = 1_000
    # Hosts that restart or resume from suspension answer sooner than this; a
    # shorter timeout would replace voters needlessly.
    silent_voter_timeout_ms: int = 5_000
    # Five voters tolerate the loss of two. More would slow down each commit.
    max_voters: int = 5

    def __post_init__(self) -> None:
        longest_lease_ms = (
            self.lease_ms
            * (1 + MAX_CLOCK_DRIFT_SHARE)
            / (1 - MAX_CLOCK_DRIFT_SHARE)
        )
        if longest_lease_ms >= self.election_timeout_ms:
            raise ValueError("lease_ms is too long for election_timeout_ms")


@dataclasses.dataclass(frozen=True)
class StoredState:
    """A replica's state as read from its disk at start.

    Attributes:
        members: the members as of `base`.
        term: newest term known.
        vote: identity of the replica voted for in `term`; empty for none.
        base: index of the last entry that compaction removed from the log.
        base_term: term of that entry.
        snapshot: last index that the newest snapshot covers; 0 for none.
        entries: the entries after `base`.
        led: whether this replica was the leader in `term`.
    """

    members: messages.Members
    term: int = 0
    vote: str = ""
    base: int = 0
    base_term: int = 0
    snapshot: int = 0
    entries: Iterable[messages.Entry] = ()
    led: bool = False


class State:
    """Consensus state of one replica in its group.

    Attributes:
        node: identity of this replica.
        term: newest term known.
        vote: identity of the replica voted for in `term`; empty for none.
        log: terms, sizes and member changes of the log's entries.
        snapshot_index: last index that the newest snapshot covers.
        commit: last index known to be committed.
        applied: last index for which an `Apply` command was emitted.
        synced_index: last index synced to this replica's disk.
        leader: identity of the leader of `term`; empty if unknown.
        last_heartbeat_ms: time of the last message from a leader. This replica
            helps to elect no other within `election_timeout_ms` of it.
        last_leader_term: newest term that the sender of that message may have
            led.
        election_deadline_ms: time at which to start an election.
        granted_by: voters that granted this replica's pre-vote or vote.
        progress: replication progress of the other members, by identity; kept
            by the leader.
        elected_ms: time at which this replica became the leader.
        quorum_contact_ms: latest time such that a quorum has answered messages
            that this leader sent then or later.
        lease_until_ms: end of this leader's lease.
        term_start_index: index of the entry that opened this leader's term.
        leadership_reported: whether `ReportLeadership(True)` was emitted in
            this term.
        void_term: a term that this replica led in an earlier process, whose
            lease ended with that process; 0 for none.
        sample_ms: time at which the leader took `sample_last`.
        sample_last: last index of the log at `sample_ms`.
        previous_sample_last: last index of the log at the sample before.
        heartbeat_slot: number of the heartbeat interval in which the leader
            last sent heartbeats.
        transfer_to: identity of the replica that leadership is being
            transferred to; empty for none.
        transfer_until_ms: time at which the transfer is cancelled.
        placement: where the replicas are, and which losses must be survived.
        out: commands that the driver has not taken yet.
    """

    def __init__(
        self,
        node: str,
        stored: StoredState,
        rng: random.Random,
        now_ms: int,
        timing: Timing,
        started_ms: int | None = None,
        placement: ReplicaPlacement | None = None,
    ) -> None:
        self.placement = placement or ReplicaPlacement()
        started_ms = now_ms if started_ms is None else started_ms
        self.node = node
        self.rng = rng
        self.timing = timing
        self.term = stored.term
        self.vote = stored.vote
        self.log = LogIndex(stored.base, stored.base_term, stored.members)
        for entry in stored.entries:
            self.log.append(entry)
        self.snapshot_index = stored.snapshot
        self.commit = max(stored.snapshot, stored.base)
        self.applied = self.commit
        self.synced_index = self.log.last
        self.role = Role.FOLLOWER
        self.leader = ""
        # A restart loses the time of the last heartbeat, and a vote cast now
        # could break a lease that relies on this replica. Assume a heartbeat
        # at the start of this process; the lost one came before that.
        self.last_heartbeat_ms = started_ms if self.term else _NEVER_MS
        self.last_leader_term = self.term
        self.election_deadline_ms = 0
        self.granted_by: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.elected_ms = _NEVER_MS
        self.quorum_contact_ms = _NEVER_MS
        self.lease_until_ms = _NEVER_MS
        self.term_start_index = 0
        self.leadership_reported = False
        self.sample_ms = 0
        self.sample_last = self.previous_sample_last = 0
        self.heartbeat_slot = -1
        self.transfer_to, self.transfer_until_ms = "", 0
        self.out: list[commands.Command] = []
        self.reset_election_deadline(started_ms)
        self.void_term = stored.term if stored.led else 0
        if not self.term or self.void_term:
            self.election_deadline_ms = now_ms + rng.randint(
                *_FIRST_ELECTION_DELAY_MS
            )

    def emit(self, command: commands.Command) -> None:
        """Queues a command for the driver."""
        self.out.append(command)

    def send(
        self, to: str, message: messages.GroupMessage, after_sync: bool = False
    ) -> None:
        """Queues a message; `after_sync` holds it back until the next sync."""
        self.emit(commands.Send(to, message, after_sync))

    def is_voter(self) -> bool:
        """Returns whether this replica is a voter among the newest members."""
        member = self.log.members.find(self.node)
        return member is not None and member.voter

    def other_nodes(self) -> list[str]:
        """Returns the identities of all other members."""
        return [
            member.node
            for member in self.log.members.members
            if member.node != self.node
        ]

    def reset_election_deadline(self, now_ms: int) -> None:
        """Postpones the next election by one to two election timeouts."""
        shortest_wait_ms = self.timing.election_timeout_ms
        self.election_deadline_ms = now_ms + self.rng.randint(
            shortest_wait_ms, 2 * shortest_wait_ms
        )

    def schedule_pre_vote_retry(self, now_ms: int) -> None:
        """Schedules the next pre-vote round in case this one fails."""
        self._schedule_election(now_ms, _PRE_VOTE_RETRY_SHARES)

    def schedule_vote_retry(self, now_ms: int) -> None:
        """Schedules the next pre-vote round in case this election fails."""
        self._schedule_election(now_ms, _VOTE_RETRY_SHARES)

    def _schedule_election(
        self, now_ms: int, shares: tuple[float, float]
    ) -> None:
        wait_ms = self.timing.election_timeout_ms * self.rng.uniform(*shares)
        self.election_deadline_ms = now_ms + int(wait_ms)

    def has_recent_heartbeat(self, now_ms: int) -> bool:
        """Returns whether a lease that relies on this replica may be valid."""
        if self.role is Role.LEADER:
            return now_ms < self.lease_until_ms
        return now_ms - self.last_heartbeat_ms < self.timing.election_timeout_ms

    def must_withhold_vote(self, void_term: int, now_ms: int) -> bool:
        """Returns whether a vote could violate a leader's lease.

        It cannot if the candidate itself was the leader of the last heartbeat's
        term, or of a later one, in a process that has ended: that lease ended
        with the process, and the lease of any earlier term had ended before
        the candidate was elected. A leader that is killed and restarts at
        once, as after a power loss, thus need not wait for its own lease.

        Args:
            void_term: term that the candidate led in an earlier process.
            now_ms: monotonic time.
        """
        if (
            self.role is not Role.LEADER
            and void_term >= self.last_leader_term > 0
        ):
            return False
        return self.has_recent_heartbeat(now_ms)

    def is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Returns whether a candidate's log is at least as new as this one.

        Only such a log is sure to hold all committed entries.
        """
        our_position = (self.log.last_term, self.log.last)
        return (last_term, last_index) >= our_position

    def save_term(
        self, term: int, vote: str, *, is_leader: bool = False
    ) -> None:
        """Sets term and vote and queues them to be written to disk."""
        self.term = term
        self.vote = vote
        self.emit(commands.SaveState(term, vote, is_leader))

    def become_follower(self, term: int, leader: str, now_ms: int) -> None:
        """Makes this replica a follower in `term`, whatever its role was."""
        if term > self.term:
            self.save_term(term, "")
            self.leader = ""
        if self.role is Role.LEADER:
            self.reset_election_deadline(now_ms)
            if self.leadership_reported:
                self.emit(commands.ReportLeadership(False))
        self.role = Role.FOLLOWER
        self.leadership_reported = False
        self.lease_until_ms = _NEVER_MS
        self.transfer_to = ""
        self.leader = leader

    def record_leader_contact(self, now_ms: int) -> None:
        """Records that the leader of this term sent a message."""
        self.last_heartbeat_ms = now_ms
        self.last_leader_term = self.term
        self.reset_election_deadline(now_ms)

    def commit_up_to(self, index: int) -> None:
        """Advances the commit index and queues the entries to be applied."""
        self.commit = max(self.commit, index)
        if self.commit > self.applied:
            self.emit(commands.Apply(self.applied + 1, self.commit))
            self.applied = self.commit
