"""Log entries, members, and what the replicas of a group say to each other."""

from __future__ import annotations

import enum

import msgspec

from catkinpin.codec import Message


class EntryKind(enum.IntEnum):
    """What an entry carries.

    `NOOP` opens a leader's term: entries of earlier terms commit with it.
    """

    DATA = 0
    NOOP = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One record of the log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Member(Message, frozen=True):
    """A replica's place in a group.

    Attributes:
        node: identity of the replica, new for each new data folder.
        address: peer address.
        voter: False for a learner, which gets the log and doesn't vote.
    """

    node: str
    address: str
    voter: bool = True


class Members(Message, frozen=True):
    """All members of a group."""

    members: list[Member] = []

    def voters(self) -> list[str]:
        """Returns the identities of those that vote."""
        return [m.node for m in self.members if m.voter]

    def find(self, node: str) -> Member | None:
        """Returns a member by its identity."""
        return next((m for m in self.members if m.node == node), None)


class PreVote(Message, frozen=True):
    """Asks whether an election in `term` could be won; changes no state.

    Attributes:
        void_term: a term that the sender led in an earlier process, whose
            lease ended with it; 0 for none.
    """

    term: int
    last_index: int
    last_term: int
    void_term: int = 0


class PreVoteReply(Message, frozen=True):
    """Answers a `PreVote`."""

    term: int
    granted: bool


class Vote(Message, frozen=True):
    """Asks for a vote.

    Attributes:
        transfer: the leader gave up its lease and asked for this election.
        void_term: as in `PreVote`.
    """

    term: int
    last_index: int
    last_term: int
    transfer: bool = False
    void_term: int = 0


class VoteReply(Message, frozen=True):
    """Answers a `Vote`."""

    term: int
    granted: bool


class Append(Message, frozen=True):
    """Carries entries that follow the entry `prev_index`.

    Attributes:
        sent_ms: the leader's own monotonic time, echoed by the reply.
    """

    term: int
    prev_index: int
    prev_term: int
    commit: int
    sent_ms: int
    entries: list[Entry] = []


class AppendReply(Message, frozen=True):
    """Answers an `Append`, or a `SnapshotOffer` once it is installed.

    Attributes:
        index: last index known to match, or, where refused, the last index
            that may still match.
    """

    term: int
    ok: bool
    index: int
    sent_ms: int


class Heartbeat(Message, frozen=True):
    """Renews the leader's lease and carries the commit index."""

    term: int
    commit: int
    sent_ms: int


class HeartbeatReply(Message, frozen=True):
    """Answers a `Heartbeat`."""

    term: int
    sent_ms: int


class SnapshotOffer(Message, frozen=True):
    """Says that entries which the other lacks are only in a snapshot.

    Attributes:
        index: last index that the snapshot covers.
        last_term: term of that entry.
    """

    term: int
    index: int
    last_term: int
    members: Members
    sent_ms: int


class TimeoutNow(Message, frozen=True):
    """Asks the receiver to stand for election at once."""

    term: int


GroupMessage = (
    PreVote
    | PreVoteReply
    | Vote
    | VoteReply
    | Append
    | AppendReply
    | Heartbeat
    | HeartbeatReply
    | SnapshotOffer
    | TimeoutNow
)


class Ballot(Message, frozen=True, order=True):
    """Number of an attempt to found a system, unique to who makes it.

    Attributes:
        count: the higher one wins; 0 for none.
        node: identity of the seed that makes the attempt.
    """

    count: int = 0
    node: str = ""


class Proposal(Message, frozen=True):
    """First members that a seed has accepted."""

    ballot: Ballot
    members: Members


class Prepare(Message, frozen=True):
    """Asks a seed to accept no proposal of an earlier attempt any more.

    Attributes:
        sender: identity of the seed that asks.
        to: identity of the seed that is asked.
        seeds: addresses that may found the system, as the sender knows them.
        counts_empty: whether seeds that may have lost their disks count.
    """

    sender: str
    to: str
    ballot: Ballot
    seeds: list[str]
    counts_empty: bool = False


class Promise(Message, frozen=True):
    """Answers a `Prepare`.

    Attributes:
        address: of the seed that answers.
        ballot: what it has promised: a higher one where it refuses.
        empty: whether it may have lost what it promised before.
        accepted: the newest proposal that it has accepted.
    """

    sender: str
    to: str
    address: str
    ballot: Ballot
    empty: bool
    accepted: Proposal | None = None


class Propose(Message, frozen=True):
    """Asks a seed that has promised to accept the first members."""

    sender: str
    to: str
    proposal: Proposal


class Accepted(Message, frozen=True):
    """Says that a proposal is on the sender's disk."""

    sender: str
    to: str
    address: str
    ballot: Ballot


FoundingMessage = Prepare | Promise | Propose | Accepted
