"""Time in whole milliseconds."""

from __future__ import annotations

import dataclasses
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

_NS_PER_MS = 1_000_000


def since_boot_ms() -> int:
    """Returns monotonic time that counts a suspended host's sleep, too."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS


# Taken as this package is loaded, before anything that takes long to load.
_BEGUN_MS = since_boot_ms()


def process_start_ms() -> int:
    """Returns when this process began, on the clock of `elapsed_ms`."""
    return _BEGUN_MS


@dataclasses.dataclass(frozen=True)
class Clock:
    """A source of time.

    Attributes:
        now_ms: monotonic milliseconds; use it for leases, timeouts and gaps.
        wall_ms: milliseconds since the Unix epoch; use it only for what must
            keep its meaning on another host or after a restart.
    """

    now_ms: Callable[[], int]
    wall_ms: Callable[[], int]


def system_clock() -> Clock:
    """Returns the clock of the operating system."""
    return Clock(
        now_ms=lambda: time.monotonic_ns() // _NS_PER_MS,
        wall_ms=lambda: time.time_ns() // _NS_PER_MS,
    )
