"""Timeouts, stored record, events and commands of the founding of a system."""

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
    """Timeouts of the founding.

    Attributes:
        silence_timeout_ms: time without a `SeedInfo` after which a seed
            counts as unreachable.
        attempt_timeout_ms: time after which an attempt goes on with the
            promises that it has, or is abandoned.
        resend_interval_ms: time between two requests to a seed that has not
            answered.
        retry_delay_ms: time before a seed's next attempt; also the head start
            that a seed gives each reachable seed with a lower address.
        absent_seeds_wait_ms: how long a majority waits for the other seeds.
        empty_disks_wait_ms: how long the seeds wait for a process that knows of
            a founded system if a majority of them may have lost their disks.
    """

    silence_timeout_ms: int = 1_000
    attempt_timeout_ms: int = 500
    resend_interval_ms: int = 100
    retry_delay_ms: int = 500
    absent_seeds_wait_ms: int = 2_000
    empty_disks_wait_ms: int = 3_000


@dataclasses.dataclass(frozen=True)
class SeedRecord:
    """What a seed stores on its disk.

    Attributes:
        empty: whether the seed may have lost an earlier disk.
        promised: the highest ballot that it has promised.
        accepted: the newest proposal that it has accepted.
    """

    empty: bool
    promised: Ballot = dataclasses.field(default_factory=Ballot)
    accepted: Proposal | None = None


@dataclasses.dataclass(frozen=True)
class SeedInfo:
    """What a seed tells the other seeds while the system is not founded.

    Attributes:
        node: its identity.
        address: its peer address.
        empty: whether it may have lost an earlier disk.
        knows_group: whether another process has told it of a founded system.
    """

    node: str
    address: str
    empty: bool
    knows_group: bool = False


@dataclasses.dataclass(frozen=True)
class Save:
    """Write and sync the record before carrying out later commands."""

    record: SeedRecord


@dataclasses.dataclass(frozen=True)
class Send:
    """Send a message to the seed with the identity `message.to`."""

    message: FoundingMessage


@dataclasses.dataclass(frozen=True)
class Decided:
    """Report that the seeds have agreed on the first members."""

    members: Members


@dataclasses.dataclass(frozen=True)
class WaitStatus:
    """Why the system is not founded yet.

    Attributes:
        reason: short description.
        seeds: addresses of the seeds concerned: the unreachable ones, or those
            that only some seeds list in their settings.
    """

    reason: str
    seeds: tuple[str, ...] = ()


Command = Save | Send | Decided
