"""State that a balancer keeps for each server, and its estimate of the load.

Servers report their load with each answer. Between two reports the estimate
consists of the last report and the requests sent since.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from catkinpin.core.placement.regression import Bounds

if TYPE_CHECKING:
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.requests.calls import Load

# Load reports older than this are ignored.
_MAX_LOAD_AGE_MS = 1_500
# Reports of more running or waiting requests than this are rejected.
_MAX_REQUESTS = 100_000
# Reported slowdowns are limited to this range.
_REPORTED_SLOWDOWN_BOUNDS = Bounds(0.25, 16.0)
# A reported slowdown changes several times per second, so its influence halves
# with each of these periods since the report.
_SLOWDOWN_HALF_LIFE_MS = 250.0
# Slowdowns that were reported longer ago are ignored on arrival: less than a
# hundredth of their influence is left.
_MAX_SLOWDOWN_AGE_MS = 2_000


@dataclasses.dataclass(frozen=True)
class ServerStatus:
    """What a balancer knows of a server's load and failures.

    Attributes:
        used_share: Estimated share of its slots in use.
        is_failing: Whether it is ejected or failed lately without a success.
        load_age_ms: Age of the last load report; -1 if there is none.
    """

    used_share: float
    is_failing: bool
    load_age_ms: int


@dataclasses.dataclass
class TrackedServer:
    """State that a gateway keeps for one incarnation of a server.

    Attributes:
        id: Identity, the same for all incarnations of the server.
        started_ms: Start of this incarnation.
        in_flight: Requests of this gateway that the server has not finished.
        sent_since_report: Requests of this gateway since the last load report.
        slowdown: Slowdown that the server reported; None if it reported none.
        prompt_parts: IDs of processed prompt parts, least recently used first.
    """

    id: str
    started_ms: int
    in_flight: int = 0
    sent_since_report: int = 0
    load: Load | None = None
    load_reported_ms: int = 0
    slowdown: float | None = None
    slowdown_reported_ms: int = 0
    prompt_parts: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    failures: int = 0
    failed_at_ms: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0

    def report_load(self, load: Load, now_ms: int) -> bool:
        """Records a reported load; returns whether it is plausible.

        An implausible load is ignored.
        """
        counts = (load.running, load.waiting, load.slots)
        if not all(0 <= n <= _MAX_REQUESTS for n in counts) or not load.slots:
            return False
        self.load = load
        self.load_reported_ms = now_ms
        self.sent_since_report = 0
        self.slowdown = None
        if load.slowdown is not None:
            self.report_slowdown(load.slowdown, now_ms, now_ms)
        return True

    def report_slowdown(
        self, slowdown: float, reported_ms: int, now_ms: int
    ) -> bool:
        """Records a reported slowdown; returns whether it is used.

        One that is not a number, too old, or older than the known one is
        ignored.

        Args:
            slowdown: How many times its usual duration work takes.
            reported_ms: Time of the report.
            now_ms: Monotonic time.
        """
        if not math.isfinite(slowdown):
            return False
        if now_ms - reported_ms > _MAX_SLOWDOWN_AGE_MS:
            return False
        if self.slowdown is not None and (
            reported_ms < self.slowdown_reported_ms
        ):
            return False
        self.slowdown = _REPORTED_SLOWDOWN_BOUNDS.clip(slowdown)
        self.slowdown_reported_ms = min(reported_ms, now_ms)
        return True

    def has_fresh_load(self, now_ms: int) -> bool:
        """Returns whether the load report is recent enough."""
        return self.load is not None and (
            now_ms - self.load_reported_ms <= _MAX_LOAD_AGE_MS
        )

    def running_estimate(self, now_ms: int) -> int:
        """Returns the estimated number of running and waiting requests."""
        load = self.load
        if load is None or not self.has_fresh_load(now_ms):
            return self.in_flight
        reported = load.running + load.waiting + self.sent_since_report
        return max(self.in_flight, reported)

    def expected_slowdown(self, now_ms: int) -> float:
        """Returns how many times its usual duration work takes now."""
        if self.slowdown is None:
            return 1.0
        age_ms = now_ms - self.slowdown_reported_ms
        weight = math.pow(0.5, age_ms / _SLOWDOWN_HALF_LIFE_MS)
        return 1.0 + (self.slowdown - 1.0) * weight

    def slowdown_age_ms(self, now_ms: int) -> int:
        """Returns the age of the reported slowdown, -1 for none."""
        if self.slowdown is None:
            return -1
        return now_ms - self.slowdown_reported_ms

    def slots(self, instance: Instance) -> int:
        """Returns the number of requests that the server runs concurrently."""
        return max(1, self.load.slots if self.load else instance.slots)
