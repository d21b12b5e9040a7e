"""How long a server's stream may pause before it is worth a question."""

from __future__ import annotations

import dataclasses

# Weights of a new sample, and the multiple of the deviation that is allowed,
# as in TCP's retransmission timer (RFC 6298).
_MEAN_WEIGHT = 1 / 8
_DEVIATION_WEIGHT = 1 / 4
_DEVIATIONS = 4
# Batches and schedulers pause a stream for several gaps at a time.
_FACTOR = 8
_MAX_SERVERS = 4096


@dataclasses.dataclass
class _Estimate:
    mean_ms: float
    deviation_ms: float


class GapEstimator:
    """Expected gap between the events of each server's streams.

    Args:
        low_ms: shortest timeout, however fast a server is.
        high_ms: longest timeout, also of a server not yet measured.
    """

    def __init__(self, low_ms: int, high_ms: int) -> None:
        self._low_ms = low_ms
        self._high_ms = max(low_ms, high_ms)
        self._known: dict[str, _Estimate] = {}

    def record_gap(self, server: str, gap_ms: float) -> None:
        """Takes in the time between two events of a stream."""
        known = self._known.get(server)
        if known is None:
            if len(self._known) >= _MAX_SERVERS:
                self._known.pop(next(iter(self._known)))
            self._known[server] = _Estimate(gap_ms, gap_ms / 2)
            return
        error = gap_ms - known.mean_ms
        known.mean_ms += _MEAN_WEIGHT * error
        known.deviation_ms += _DEVIATION_WEIGHT * (
            abs(error) - known.deviation_ms
        )

    def timeout_ms(self, server: str) -> float:
        """Returns how long the next event may take before it is late."""
        known = self._known.get(server)
        if known is None:
            return self._high_ms
        expected = known.mean_ms + _DEVIATIONS * known.deviation_ms
        return min(self._high_ms, max(self._low_ms, _FACTOR * expected))
