"""State of one replica of a log group, and what all its parts need."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING

from catkinpin.core.consensus import commands, messages
from catkinpin.core.consensus.log import LogIndex

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from catkinpin.core.consensus.progress import Progress

# Two clocks may run apart by this part of the time that they measure.
CLOCK_DRIFT = 0.05
# Shares of `election_timeout_ms` between two rounds of pre-votes.
# A refusal mostly means that the others' promise to the last leader has some
# ms to run. A whole election's time until the next question cost a group that
# had just lost its leader up to 2.1 s (seeded simulation).
_ASK_RETRY_SHARES = (0.15, 0.3)
# The same for votes that don't come: a round trip between regions and the sync
# of a slow disk take some 170 ms. Two candidates split the votes now and then.
_VOTE_RETRY_SHARES = (0.5, 1.0)
# A fresh group that no one has ever led need not wait for a lease to run out,
# nor a leader for its own that ended with the process before.
_FIRST_ELECTION_MS = (20, 250)
_NEVER = -(10**15)


class Role(enum.Enum):
    """What a replica does in its term."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class Timing:
    """Times in ms.

    A follower with a recent heartbeat lets no other be elected for
    `election_timeout_ms` on its clock. The leader counts on that for `lease_ms`
    on its own, so the lease must be shorter even where the clocks drift apart.
    """

    heartbeat_interval_ms: int = 100
    election_timeout_ms: int = 600
    lease_ms: int = 500
    offer_ms: int = 2_000
    transfer_ms: int = 1_000
    # A voter silent for so long gives its place to a learner that waits. Hosts
    # that restart or thaw are back before; shorter would move voters in vain.
    silent_voter_ms: int = 5_000
    # Five voters bear the loss of two; more would only slow each commit.
    max_voters: int = 5

    def __post_init__(self) -> None:
        longest = self.lease_ms * (1 + CLOCK_DRIFT) / (1 - CLOCK_DRIFT)
        if longest >= self.election_timeout_ms:
            raise ValueError("lease_ms is too long for election_timeout_ms")


@dataclasses.dataclass(frozen=True)
class StoredState:
    """What was found on the disk at start.

    Attributes:
        base: last index that the log no longer holds.
        snapshot: last index in the newest snapshot, 0 for none.
        members: the members as of `base`.
        led: whether this replica led `term`.
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
    """Everything that one replica knows of its group.

    Attributes:
        node: identity of this replica.
        leader: identity of the leader of `term`, empty where not known.
        commit: last index known to be committed.
        applied: last index handed out to be applied.
        last_seen_ms: the last heartbeat of a leader; no other may be elected
            within `election_timeout_ms` of it.
        last_leader_term: the newest term of which that may have been.
        deadline_ms: when to stand for election.
        reached_ms: when a quorum last followed this leader, as it asked.
        lease_until_ms: end of this leader's lease.
        void_term: a term that this replica led in an earlier process, whose
            lease ended with that process; 0 for none.
        announced: whether `ReportLeadership(True)` was handed out in this term.
        mark_ms: when `mark_last` was taken, by the leader.
        mark_last: last index of the log then.
        earlier_last: last index at the mark before that one.
    """

    def __init__(
        self,
        node: str,
        stored: StoredState,
        rng: random.Random,
        now_ms: int,
        timing: Timing,
        begun_ms: int | None = None,
    ) -> None:
        begun_ms = now_ms if begun_ms is None else begun_ms
        self.node = node
        self.rng = rng
        self.timing = timing
        self.term = stored.term
        self.vote = stored.vote
        self.log = LogIndex(stored.base, stored.base_term, stored.members)
        for entry in stored.entries:
            self.log.append(entry)
        self.snapshot = stored.snapshot
        self.commit = max(stored.snapshot, stored.base)
        self.applied = self.commit
        self.synced = self.log.last
        self.role = Role.FOLLOWER
        self.leader = ""
        # A replica that starts again has forgotten the last heartbeat: it
        # could vote at once and break the lease of a leader that counts on
        # its silence, so it waits as if one had come just before this
        # process began: what an earlier process promised is older than that.
        self.last_seen_ms = begun_ms if self.term else _NEVER
        self.last_leader_term = self.term
        self.deadline_ms = 0
        self.granted: set[str] = set()
        self.progress: dict[str, Progress] = {}
        self.elected_ms = _NEVER
        self.reached_ms = _NEVER
        self.lease_until_ms = _NEVER
        self.term_start = 0
        self.announced = False
        self.mark_ms = 0
        self.mark_last = 0
        self.earlier_last = 0
        self.beat = -1
        self.transfer_to = ""
        self.transfer_until_ms = 0
        self.out: list[commands.Command] = []
        self.reset_deadline(begun_ms)
        self.void_term = stored.term if stored.led else 0
        if not self.term or self.void_term:
            self.deadline_ms = now_ms + rng.randint(*_FIRST_ELECTION_MS)

    def emit(self, command: commands.Command) -> None:
        """Hands out a command."""
        self.out.append(command)

    def send(
        self, to: str, message: messages.GroupMessage, synced: bool = False
    ) -> None:
        """Sends a message, maybe only after the next sync."""
        self.emit(commands.Send(to, message, synced))

    def is_voter(self) -> bool:
        """Returns whether this replica votes, by the newest members."""
        member = self.log.members.find(self.node)
        return member is not None and member.voter

    def others(self) -> list[str]:
        """Returns the identities of all other members."""
        return [
            member.node
            for member in self.log.members.members
            if member.node != self.node
        ]

    def reset_deadline(self, now_ms: int) -> None:
        """Puts the next election off by a random time."""
        shortest = self.timing.election_timeout_ms
        self.deadline_ms = now_ms + self.rng.randint(shortest, 2 * shortest)

    def ask_again(self, now_ms: int) -> None:
        """Sets when to ask again whether we could win."""
        self._stand_after(now_ms, _ASK_RETRY_SHARES)

    def vote_again(self, now_ms: int) -> None:
        """Sets when to stand again if we don't win."""
        self._stand_after(now_ms, _VOTE_RETRY_SHARES)

    def _stand_after(self, now_ms: int, parts: tuple[float, float]) -> None:
        wait_ms = self.timing.election_timeout_ms * self.rng.uniform(*parts)
        self.deadline_ms = now_ms + int(wait_ms)

    def has_recent_heartbeat(self, now_ms: int) -> bool:
        """Returns whether a leader may still hold a lease through us."""
        if self.role is Role.LEADER:
            return now_ms < self.lease_until_ms
        return now_ms - self.last_seen_ms < self.timing.election_timeout_ms

    def is_promised(self, void_term: int, now_ms: int) -> bool:
        """Returns whether a leader's lease may count on our not voting.

        Not where whoever asks led the term of the leader of the last heartbeat,
        or a later one, in a process that has ended: such a lease ended with
        it, and one of an earlier term was over before that one was elected.
        So a leader that is killed and back at once, as after a loss of power,
        need not wait for its own lease.

        Args:
            void_term: the term that the asking replica led.
            now_ms: the time.
        """
        if (
            self.role is not Role.LEADER
            and void_term >= self.last_leader_term > 0
        ):
            return False
        return self.has_recent_heartbeat(now_ms)

    def is_current(self, last_index: int, last_term: int) -> bool:
        """Returns whether another's log holds all that ours may commit."""
        ours = (self.log.last_term, self.log.last)
        return (last_term, last_index) >= ours

    def save(self, term: int, vote: str, *, led: bool = False) -> None:
        """Changes term and vote."""
        self.term = term
        self.vote = vote
        self.emit(commands.SaveState(term, vote, led))

    def follow(self, term: int, leader: str, now_ms: int) -> None:
        """Becomes a follower in `term`."""
        if term > self.term:
            self.save(term, "")
            self.leader = ""
        if self.role is Role.LEADER:
            self.reset_deadline(now_ms)
            if self.announced:
                self.emit(commands.ReportLeadership(False))
        self.role = Role.FOLLOWER
        self.announced = False
        self.lease_until_ms = _NEVER
        self.transfer_to = ""
        self.leader = leader

    def hear(self, now_ms: int) -> None:
        """Notes a message from the leader of this term."""
        self.last_seen_ms = now_ms
        self.last_leader_term = self.term
        self.reset_deadline(now_ms)

    def commit_to(self, index: int) -> None:
        """Moves the commit index and hands out what is to be applied."""
        self.commit = max(self.commit, index)
        if self.commit > self.applied:
            self.emit(commands.Apply(self.applied + 1, self.commit))
            self.applied = self.commit
