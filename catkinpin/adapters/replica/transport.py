"""Messages between replicas that are not part of consensus itself."""

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
        to: identity that it is for; a replica whose disk was lost has the
            address of an earlier incarnation, and must not answer for it.
    """

    group: str
    sender: str
    to: str
    body: GroupMessage


class Heartbeats(Message, frozen=True):
    """Heartbeats of all groups that the sender leads, in one message.

    Attributes:
        sent_ms: the sender's own monotonic time.
        groups: names; `terms` and `commits` have the same order.
    """

    sender: str
    to: str
    sent_ms: int
    groups: list[str]
    terms: list[int]
    commits: list[int]


class HeartbeatReplies(Message, frozen=True):
    """Answers `Heartbeats` for the groups in which nothing was new."""

    sender: str
    to: str
    sent_ms: int
    groups: list[str]
    terms: list[int]


class NodeInfo(Message, frozen=True):
    """Who a replica is.

    Attributes:
        founded: whether it knows the members of a founded system.
        known: peer addresses of the replicas that it knows.
        empty: whether an earlier disk of it may have been lost.
        knows_group: whether anyone told it of a founded system.
    """

    node: str
    address: str
    founded: bool
    known: list[str] = []
    empty: bool = False
    knows_group: bool = False


class Found(Message, frozen=True):
    """Names the first members of all groups."""

    members: Members


class Join(Message, frozen=True):
    """A replica with a new identity asks to take its address's place."""

    node: str
    address: str


class SnapshotPull(Message, frozen=True):
    """Asks for a part of a snapshot file."""

    group: str
    sender: str
    to: str
    index: int
    offset: int


class SnapshotPart(Message, frozen=True):
    """A part of a snapshot file; `size` 0 says that it is gone."""

    group: str
    sender: str
    to: str
    index: int
    offset: int
    size: int
    data: bytes = b""


class RecordsPull(Message, frozen=True):
    """Asks for records that a snapshot refers to."""

    group: str
    sender: str
    to: str
    indexes: list[int]


class Records(Message, frozen=True):
    """Some of the records asked for; none where they are gone."""

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
