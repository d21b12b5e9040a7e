"""Decides which plain calls get a second attempt, and limits attempts.

On machines that are shared with other work a server is slow for some hundred
ms at a time. An idempotent call that waits longer than nearly all calls of its
route is hedged: it is sent to another server as well, and the first answer
wins. If all servers are slow, further attempts only add to their load. Hedged
calls are therefore limited to a share of the recent calls, and so are retries
after a rejection or a failure.

All of this is soft state of one gateway, for its plain calls to services whose
capacity is contended.
"""

from __future__ import annotations

import collections
import dataclasses
import math

# Period over which calls and further attempts are counted.
_WINDOW_MS = 5_000
# Calls are counted in buckets of this length, so that memory doesn't grow with
# their rate.
_BUCKET_MS = 100
# Hedged calls per hundred calls. A gateway with few calls gains the right to
# hedge one call with every 34th.
_HEDGE_PERCENT = 3
# Retries per hundred calls, and retries in a window that are always allowed.
_RETRY_PERCENT = 10
_MIN_RETRIES = 3
# A call is hedged once it has waited longer than this share of its route's
# calls took.
_HEDGE_QUANTILE = 0.95
# Latencies kept per route, and the minimum for an estimate: of 20 latencies,
# one lies above the 95th percentile.
_MAX_LATENCIES = 200
_MIN_LATENCIES = 20
# New latencies after which the quantile of a route is computed again.
_LATENCIES_PER_ESTIMATE = 10
# Routes whose latencies are kept, the most recently used ones.
_MAX_ROUTES = 256


@dataclasses.dataclass
class _RouteLatencies:
    """Recent latencies of one route and the quantile computed from them."""

    values_ms: collections.deque[float] = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=_MAX_LATENCIES)
    )
    unused_count: int = 0
    quantile_ms: float | None = None


class LatencyQuantiles:
    """The 95th percentile of recent latencies, by route."""

    def __init__(self) -> None:
        self._routes: collections.OrderedDict[str, _RouteLatencies] = (
            collections.OrderedDict()
        )

    def record(self, route: str, latency_ms: float) -> None:
        """Records the latency of an answered call."""
        known = self._routes.setdefault(route, _RouteLatencies())
        self._routes.move_to_end(route)
        while len(self._routes) > _MAX_ROUTES:
            self._routes.popitem(last=False)
        known.values_ms.append(latency_ms)
        known.unused_count += 1
        if len(known.values_ms) < _MIN_LATENCIES:
            return
        if (
            known.quantile_ms is None
            or known.unused_count >= _LATENCIES_PER_ESTIMATE
        ):
            known.unused_count = 0
            index = math.ceil(_HEDGE_QUANTILE * len(known.values_ms)) - 1
            known.quantile_ms = sorted(known.values_ms)[index]

    def quantile_ms(self, route: str) -> float | None:
        """Returns a route's quantile, None while too few calls are known."""
        known = self._routes.get(route)
        return known.quantile_ms if known is not None else None


class CallWindow:
    """Counts the calls of the last 5 s."""

    def __init__(self) -> None:
        self._buckets: collections.deque[list[int]] = collections.deque()
        self._sum = 0

    def record(self, now_ms: int) -> None:
        """Counts a call."""
        start_ms = now_ms - now_ms % _BUCKET_MS
        if not self._buckets or self._buckets[-1][0] < start_ms:
            self._buckets.append([start_ms, 0])
        self._buckets[-1][1] += 1
        self._sum += 1
        self.count(now_ms)

    def count(self, now_ms: int) -> int:
        """Returns the number of calls, without those of a partial bucket."""
        while self._buckets and self._buckets[0][0] <= now_ms - _WINDOW_MS:
            self._sum -= self._buckets.popleft()[1]
        return self._sum


class AttemptBudget:
    """Limits further attempts to a share of the calls of the last 5 s.

    Args:
        calls: The calls.
        percent: Attempts per hundred calls.
        minimum: Attempts in 5 s that are allowed whatever the calls.
    """

    def __init__(self, calls: CallWindow, percent: int, minimum: int) -> None:
        self._calls = calls
        self._percent = percent
        self._minimum = minimum
        self._spent_ms: collections.deque[int] = collections.deque()

    def has_room(self, now_ms: int) -> bool:
        """Returns whether one more attempt is allowed."""
        allowed = max(
            100 * self._minimum, self._percent * self._calls.count(now_ms)
        )
        return 100 * (self.count(now_ms) + 1) <= allowed

    def spend(self, now_ms: int) -> None:
        """Counts an attempt."""
        self._spent_ms.append(now_ms)

    def count(self, now_ms: int) -> int:
        """Returns the number of attempts of the last 5 s."""
        while self._spent_ms and self._spent_ms[0] <= now_ms - _WINDOW_MS:
            self._spent_ms.popleft()
        return len(self._spent_ms)


class Hedging:
    """Decides on hedges and retries of one gateway's plain calls.

    Attributes:
        latencies: Latencies of the routes.
        retries: Budget of retries after a rejection or a failure.
    """

    def __init__(self) -> None:
        self.latencies = LatencyQuantiles()
        self._calls = CallWindow()
        self.retries = AttemptBudget(self._calls, _RETRY_PERCENT, _MIN_RETRIES)
        self._hedges = AttemptBudget(self._calls, _HEDGE_PERCENT, 1)
        self._hedge_credit_percent = 0

    def record_call(self, now_ms: int) -> None:
        """Counts a call, which adds to both budgets."""
        self._calls.record(now_ms)
        limit_percent = max(100, _HEDGE_PERCENT * self._calls.count(now_ms))
        self._hedge_credit_percent = min(
            self._hedge_credit_percent + _HEDGE_PERCENT, limit_percent
        )

    def may_hedge(self, now_ms: int) -> bool:
        """Returns whether the budget allows one more hedge.

        Of all calls, at most 3 % are hedged. In any 5 s, that is at most 3 %
        of the calls of these 5 s, or one call if that is less than one.
        """
        return self._hedge_credit_percent >= 100 and self._hedges.has_room(
            now_ms
        )

    def record_hedge(self, now_ms: int) -> None:
        """Counts a hedge."""
        self._hedge_credit_percent -= 100
        self._hedges.spend(now_ms)

    def counts(self, now_ms: int) -> dict[str, int]:
        """Returns the counts of the last 5 s, for the log."""
        return {
            "calls": self._calls.count(now_ms),
            "hedges": self._hedges.count(now_ms),
            "retries": self.retries.count(now_ms),
        }
