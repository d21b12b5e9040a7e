"""What the founding of a system keeps, is told, and asks its driver to do."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.consensus.messages import Ballot

if TYPE_CHECKING:
    from catkinpin.core.consensus.messages import (
        FoundingMessage,
        Members,
        Proposal,
    )


@dataclasses.dataclass(frozen=True)
class FoundingTiming:
    """Times in ms.

    Attributes:
        touch_ms: a seed that was silent for so long is out of touch.
        answer_ms: longest wait for the answers to one attempt.
        resend_ms: a seed that has not answered is asked again so often.
        retry_ms: a seed lets those with lower addresses try so long before.
        grace_ms: a majority waits so long for the other seeds.
        empty_disks_wait_ms: all seeds wait so long for anyone who knows of a
            founded system, where a majority of them has an empty disk.
    """

    touch_ms: int = 1_000
    answer_ms: int = 500
    resend_ms: int = 100
    retry_ms: int = 500
    grace_ms: int = 2_000
    empty_disks_wait_ms: int = 3_000


@dataclasses.dataclass(frozen=True)
class SeedRecord:
    """What a seed keeps on its disk.

    Attributes:
        empty: whether an earlier disk may have been lost.
        promised: the newest attempt that it has answered.
        accepted: the newest proposal that it has accepted.
    """

    empty: bool
    promised: Ballot = dataclasses.field(default_factory=Ballot)
    accepted: Proposal | None = None


@dataclasses.dataclass(frozen=True)
class Introduction:
    """What a seed that waits says of itself.

    Attributes:
        node: its identity.
        address: its peer address.
        empty: whether an earlier disk of it may have been lost.
        knows_group: whether anyone told it of a founded system.
    """

    node: str
    address: str
    empty: bool
    knows_group: bool = False


@dataclasses.dataclass(frozen=True)
class Save:
    """Sync the record before anything that follows."""

    record: SeedRecord


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to the seed with the identity `message.to`."""

    message: FoundingMessage


@dataclasses.dataclass(frozen=True)
class Decided:
    """The system is founded by these members."""

    members: Members


@dataclasses.dataclass(frozen=True)
class WaitStatus:
    """Why the system is not founded yet.

    Attributes:
        reason: in a few words.
        seeds: addresses of those that are out of touch.
    """

    reason: str
    seeds: tuple[str, ...] = ()


Command = Save | Send | Decided
