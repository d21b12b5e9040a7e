"""Messages between replicas other than those of the consensus protocol."""

from __future__ import annotations

from catkinpin.codec import Message
from catkinpin.core.consensus.messages import (
    Entry,
    FoundingMessage,
    GroupMessage,
    Members,
)


class Routed(Message, frozen=True):
    """A consensus message of one group.

    Attributes:
        to: identity of the receiver. A replica that lost its disk has the
            address of its former identity, and must not answer for that one.
    """

    group: str
    sender: str
    to: str
    body: GroupMessage


class Heartbeats(Message, frozen=True):
    """Heartbeats of all groups that the sender leads, in one message.

    Attributes:
        sent_ms: the sender's own monotonic time.
        groups: names of the groups.
        terms: the term of each group, in the order of `groups`.
        commits: the commit index of each group, in the order of `groups`.
    """

    sender: str
    to: str
    sent_ms: int
    groups: list[str]
    terms: list[int]
    commits: list[int]


class HeartbeatReplies(Message, frozen=True):
    """Replies to `Heartbeats` for the groups in which nothing was new."""

    sender: str
    to: str
    sent_ms: int
    groups: list[str]
    terms: list[int]


class NodeInfo(Message, frozen=True):
    """Describes the replica that sends it.

    Attributes:
        node: its identity.
        address: its peer address.
        founded: whether it knows the members of an initialized system.
        known: peer addresses of the replicas that it knows.
        empty: whether it may have lost an earlier disk.
        knows_group: whether another process has told it that the system is
            initialized.
    """

    node: str
    address: str
    founded: bool
    known: list[str] = []
    empty: bool = False
    knows_group: bool = False


class Found(Message, frozen=True):
    """Reports that the system is initialized, with its members."""

    members: Members


class Join(Message, frozen=True):
    """Asks to add the sender to all groups, or to replace a lost replica.

    A lost replica is one with the same address and another identity.
    """

    node: str
    address: str


class SnapshotPull(Message, frozen=True):
    """Requests a part of a snapshot file."""

    group: str
    sender: str
    to: str
    index: int
    offset: int


class SnapshotPart(Message, frozen=True):
    """A part of a snapshot file.

    Attributes:
        size: size of the whole file; 0 if it no longer exists.
    """

    group: str
    sender: str
    to: str
    index: int
    offset: int
    size: int
    data: bytes = b""


class RecordsPull(Message, frozen=True):
    """Requests records that a snapshot refers to."""

    group: str
    sender: str
    to: str
    indexes: list[int]


class Records(Message, frozen=True):
    """Some of the requested records; none if they no longer exist."""

    group: str
    sender: str
    to: str
    entries: list[Entry]


GroupReplicaMessage = (
    Routed
    | Heartbeats
    | HeartbeatReplies
    | SnapshotPull
    | SnapshotPart
    | RecordsPull
    | Records
)
ReplicaMessage = GroupReplicaMessage | NodeInfo | Found | Join | FoundingMessage
