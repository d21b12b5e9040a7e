"""What a consensus core asks its driver to do, in the order given."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.core.consensus import messages


@dataclasses.dataclass(frozen=True)
class SaveState:
    """Write the term and the vote in it.

    Attributes:
        led: whether this replica leads, or has led, that term.
    """

    term: int
    vote: str
    led: bool = False


@dataclasses.dataclass(frozen=True)
class SaveEntries:
    """Write entries; whatever the log holds from their first index on goes."""

    entries: list[messages.Entry]


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message.

    Attributes:
        synced: send only after all that was to be written before is synced.
            A vote or an acknowledgement sent earlier could be forgotten by a
            crash, and then be given again to another.
    """

    to: str
    message: messages.GroupMessage
    synced: bool = False


@dataclasses.dataclass(frozen=True)
class SendEntries:
    """Send `message` with the entries `first` to `last` from the log."""

    to: str
    message: messages.Append
    first: int
    last: int


@dataclasses.dataclass(frozen=True)
class Apply:
    """Apply the entries `first` to `last`, after they are synced."""

    first: int
    last: int


@dataclasses.dataclass(frozen=True)
class Fetch:
    """Fetch the snapshot that `sender` offers, then call `Core.install`."""

    sender: str
    offer: messages.SnapshotOffer


@dataclasses.dataclass(frozen=True)
class Restore:
    """Replace the state by the fetched snapshot.

    Attributes:
        keeps_tail: whether the entries after the snapshot stay; they may have
            been acknowledged.
    """

    offer: messages.SnapshotOffer
    keeps_tail: bool


@dataclasses.dataclass(frozen=True)
class ReportLeadership:
    """The replica may lead now, or leads no more."""

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
