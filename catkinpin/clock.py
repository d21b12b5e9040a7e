"""Time in whole milliseconds."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

from catkinpin import startup

if TYPE_CHECKING:
    from collections.abc import Callable

_NS_PER_MS = 1_000_000


def since_boot_ms() -> int:
    """Returns the time since the host booted, including suspended time."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


def process_start_ms() -> int:
    """Returns when this process started, on the clock of `since_boot_ms`."""
    return startup.BEGAN_MS


@dataclasses.dataclass(frozen=True)
class Clock:
    """A source of time.

    Attributes:
        now_ms: monotonic time; for leases, timeouts and intervals.
        wall_ms: time since the Unix epoch; only for times that must be valid
            on another host or after a restart.
    """

    now_ms: Callable[[], int]
    wall_ms: Callable[[], int]


def system_clock() -> Clock:
    """Returns the clock of the operating system."""
    return Clock(
        now_ms=lambda: time.monotonic_ns() // _NS_PER_MS,
        wall_ms=lambda: time.time_ns() // _NS_PER_MS,
    )
