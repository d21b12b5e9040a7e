"""Log entries, group members, and the messages between replicas of a group."""

from __future__ import annotations

import enum

import msgspec

from catkinpin.codec import Message


class EntryKind(enum.IntEnum):
    """Kind of a log entry's payload.

    A leader appends a `NOOP` entry at the start of its term, since entries of
    earlier terms can only be committed together with one of its own term.
    """

    DATA = 0
    NOOP = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """An entry of the replicated log."""

    index: int
    term: int
    kind: EntryKind
    payload: bytes


class Member(Message, frozen=True):
    """A replica that belongs to a group.

    Attributes:
        node: identity of the replica; each new data folder gets a new one.
        address: peer address.
        voter: False for a learner, which receives the log but doesn't vote.
    """

    node: str
    address: str
    voter: bool = True


class Members(Message, frozen=True):
    """All members of a group."""

    members: list[Member] = []

    def voters(self) -> list[str]:
        """Returns the identities of the voters."""
        return [m.node for m in self.members if m.voter]

    def find(self, node: str) -> Member | None:
        """Returns the member with this identity, None if there is none."""
        return next((m for m in self.members if m.node == node), None)


class PreVote(Message, frozen=True):
    """Asks whether the receiver would vote for the sender; changes no state.

    Attributes:
        term: term of the election that the sender would start.
        last_index: index of the last entry of the sender's log.
        last_term: term of that entry.
        void_term: a term that the sender led in an earlier process, whose
            lease ended with that process; 0 for none.
    """

    term: int
    last_index: int
    last_term: int
    void_term: int = 0


class PreVoteReply(Message, frozen=True):
    """Answers a `PreVote`.

    Attributes:
        term: the requested term if granted, else the sender's own.
        granted: whether the sender would vote for the receiver.
    """

    term: int
    granted: bool


class Vote(Message, frozen=True):
    """Asks for a vote in `term`.

    Attributes:
        term: term of the election.
        last_index: index of the last entry of the sender's log.
        last_term: term of that entry.
        transfer: whether the leader has given up its lease and asked the
            sender to start this election.
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
    """Carries the entries that follow the entry `prev_index`.

    Attributes:
        term: the leader's term.
        prev_index: index of the entry before the first one carried.
        prev_term: term of that entry.
        commit: the leader's commit index.
        sent_ms: the leader's monotonic time, which the reply echoes.
        entries: the entries.
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
        term: the sender's term.
        ok: whether the entries fit the sender's log.
        index: if `ok`, the last index known to match the leader's log;
            otherwise the last index that may still match.
        sent_ms: `sent_ms` of the message answered.
    """

    term: int
    ok: bool
    index: int
    sent_ms: int


class Heartbeat(Message, frozen=True):
    """Renews the leader's lease and carries its commit index."""

    term: int
    commit: int
    sent_ms: int


class HeartbeatReply(Message, frozen=True):
    """Answers a `Heartbeat`."""

    term: int
    sent_ms: int


class SnapshotOffer(Message, frozen=True):
    """Offers a snapshot that covers entries which the log no longer holds.

    Attributes:
        term: the leader's term.
        index: last index that the snapshot covers.
        last_term: term of that entry.
        members: members as of that entry.
        sent_ms: the leader's monotonic time, which the reply echoes.
    """

    term: int
    index: int
    last_term: int
    members: Members
    sent_ms: int


class TimeoutNow(Message, frozen=True):
    """Asks the receiver to start an election at once."""

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
    """Number of an attempt to found a system; no two attempts share one.

    Attributes:
        count: compared first; the higher ballot wins. 0 for no attempt.
        node: identity of the seed that makes the attempt.
    """

    count: int = 0
    node: str = ""


class Proposal(Message, frozen=True):
    """First members of the system, as proposed in one attempt."""

    ballot: Ballot
    members: Members


class Prepare(Message, frozen=True):
    """Asks a seed to promise to accept no proposal of an earlier attempt.

    Attributes:
        sender: identity of the seed that makes the attempt.
        to: identity of the receiver.
        ballot: number of the attempt.
        seeds: addresses of all seeds according to the sender's settings.
        counts_empty: whether the attempt counts the answers of seeds that may
            have lost their disks.
    """

    sender: str
    to: str
    ballot: Ballot
    seeds: list[str]
    counts_empty: bool = False


class Promise(Message, frozen=True):
    """Answers a `Prepare`.

    Attributes:
        sender: identity of the seed that answers.
        to: identity of the receiver.
        address: peer address of the seed that answers.
        ballot: the highest ballot that it has promised; higher than the
            requested one if it refuses.
        empty: whether it may have lost its disk and what it promised before.
        accepted: the newest proposal that it has accepted.
    """

    sender: str
    to: str
    address: str
    ballot: Ballot
    empty: bool
    accepted: Proposal | None = None


class Propose(Message, frozen=True):
    """Asks a seed that has sent its promise to accept a proposal."""

    sender: str
    to: str
    proposal: Proposal


class Accepted(Message, frozen=True):
    """Confirms that the sender has accepted a proposal and synced it to disk.

    Attributes:
        sender: identity of the seed that accepted.
        to: identity of the receiver.
        address: peer address of the seed that accepted.
        ballot: ballot of the proposal.
    """

    sender: str
    to: str
    address: str
    ballot: Ballot


FoundingMessage = Prepare | Promise | Propose | Accepted
