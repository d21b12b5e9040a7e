"""Commands that a consensus core gives its driver.

The driver carries them out in the order given.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.consensus import messages


@dataclasses.dataclass(frozen=True)
class SaveState:
    """Write the term and the vote to the log's disk.

    Attributes:
        term: the current term.
        vote: identity of the replica voted for in that term; empty for none.
        led: whether this replica is, or was, the leader of that term.
    """

    term: int
    vote: str
    led: bool = False


@dataclasses.dataclass(frozen=True)
class SaveEntries:
    """Write entries, replacing the log from the first one's index on."""

    entries: list[messages.Entry]


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to another replica.

    Attributes:
        to: identity of the receiver.
        message: the message.
        after_sync: send only once all earlier writes are synced. Otherwise a
            crash could erase a vote or an acknowledgement after it was sent,
            and the replica could then give a conflicting one.
    """

    to: str
    message: messages.GroupMessage
    after_sync: bool = False


@dataclasses.dataclass(frozen=True)
class SendEntries:
    """Send `message`, filled with the log's entries `first` to `last`."""

    to: str
    message: messages.Append
    first: int
    last: int


@dataclasses.dataclass(frozen=True)
class Apply:
    """Apply the entries `first` to `last` once they are synced."""

    first: int
    last: int


@dataclasses.dataclass(frozen=True)
class Fetch:
    """Fetch the snapshot that `sender` offered, then call `Core.install`."""

    sender: str
    offer: messages.SnapshotOffer


@dataclasses.dataclass(frozen=True)
class Restore:
    """Replace the state machine's state by the fetched snapshot.

    Attributes:
        offer: the offer of this snapshot.
        keeps_tail: whether to keep the log's entries after the snapshot. They
            match the leader's log and may have been acknowledged.
    """

    offer: messages.SnapshotOffer
    keeps_tail: bool


@dataclasses.dataclass(frozen=True)
class ReportLeadership:
    """Report that this replica became the leader or stopped being it.

    Attributes:
        leading: whether it is the leader now.
    """

    leading: bool


Command = (
    SaveState
    | SaveEntries
    | Send
    | SendEntries
    | Apply
    | Fetch
    | Restore
    | ReportLeadership
)
