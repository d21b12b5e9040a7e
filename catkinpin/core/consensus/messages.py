"""Log entries, members, and what the replicas of a group say to each other."""

from __future__ import annotations

import enum

import msgspec

from catkinpin.codec import Message


class Kind(enum.IntEnum):
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
    kind: Kind
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
