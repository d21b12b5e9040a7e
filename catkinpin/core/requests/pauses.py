"""Adaptive timeouts for the gaps between a server's stream events."""

from __future__ import annotations

import dataclasses

# Weights of a new sample in the mean and in the deviation, and the multiple of
# the deviation that is tolerated, as in TCP's retransmission timer (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATION_FACTOR = 4
# Safety factor: batching and scheduling on the server pause a stream for
# several gaps at a time.
_TIMEOUT_FACTOR = 8
_MAX_SERVERS = 4096


@dataclasses.dataclass
class _GapEstimate:
    mean_ms: float
    deviation_ms: float


class GapEstimator:
    """Estimates the gap between stream events of each server.

    Args:
        min_timeout_ms: Shortest timeout, however fast a server is.
        max_timeout_ms: Longest timeout, also used for an unmeasured server.
    """

    def __init__(self, min_timeout_ms: int, max_timeout_ms: int) -> None:
        self._min_timeout_ms = min_timeout_ms
        self._max_timeout_ms = max(min_timeout_ms, max_timeout_ms)
        self._estimates: dict[str, _GapEstimate] = {}

    def record_gap(self, server: str, gap_ms: float) -> None:
        """Records the time between two events of a stream."""
        estimate = self._estimates.get(server)
        if estimate is None:
            if len(self._estimates) >= _MAX_SERVERS:
                self._estimates.pop(next(iter(self._estimates)))
            self._estimates[server] = _GapEstimate(gap_ms, gap_ms / 2)
            return
        error_ms = gap_ms - estimate.mean_ms
        estimate.mean_ms += _MEAN_WEIGHT * error_ms
        estimate.deviation_ms += _DEVIATION_WEIGHT * (
            abs(error_ms) - estimate.deviation_ms
        )

    def timeout_ms(self, server: str) -> float:
        """Returns the time after which the next event is overdue."""
        estimate = self._estimates.get(server)
        if estimate is None:
            return self._max_timeout_ms
        expected_ms = (
            estimate.mean_ms + _DEVIATION_FACTOR * estimate.deviation_ms
        )
        return min(
            self._max_timeout_ms,
            max(self._min_timeout_ms, _TIMEOUT_FACTOR * expected_ms),
        )
