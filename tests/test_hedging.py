"""Tests when plain calls may get a second attempt, and the limits on it."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import testtools

from catkinpin.core.placement.hedging import Hedging, LatencyQuantiles

if TYPE_CHECKING:
    from collections.abc import Callable


class LatencyQuantilesTest(testtools.TestCase):
    """The latency after which a call is hedged."""

    def test_one_call_in_twenty_lies_above_the_quantile(self) -> None:
        """Guards against hedging calls that take their usual time."""
        latencies = LatencyQuantiles()
        for latency_ms in range(1, 20):
            latencies.record("r", latency_ms)
        self.assertIsNone(latencies.quantile_ms("r"))
        latencies.record("r", 20)
        self.assertEqual(19, latencies.quantile_ms("r"))

    def test_memory_is_bounded(self) -> None:
        """Guards against memory that grows with calls and routes."""
        latencies = LatencyQuantiles()
        for number in range(2_000):
            latencies.record(f"r{number % 300}", number)
            latencies.record("r", number)
        kept = latencies._routes
        self.assertEqual(256, len(kept))
        self.assertEqual(200, len(kept["r"].values_ms))


class BudgetTest(testtools.TestCase):
    """Bounds of hedges and of retries."""

    def _attempts(
        self,
        seed: int,
        may: Callable[[Hedging, int], bool],
        spend: Callable[[Hedging, int], None],
    ) -> tuple[list[int], list[int]]:
        """Returns the times of calls and attempts while all calls ask."""
        rng, hedging, now_ms = random.Random(seed), Hedging(), 0
        calls, attempts = [], []
        for _ in range(3_000):
            now_ms += rng.choice([0, 1, 5, 30, 30, 400 if seed % 2 else 3])
            hedging.record_call(now_ms)
            calls.append(now_ms)
            if may(hedging, now_ms):
                spend(hedging, now_ms)
                attempts.append(now_ms)
        return calls, attempts

    def _assert_bounded(
        self, calls: list[int], attempts: list[int], share: float, least: int
    ) -> None:
        for at_ms in attempts:
            recent = sum(at_ms - 5_000 < one <= at_ms for one in calls)
            spent = sum(at_ms - 5_000 < one <= at_ms for one in attempts)
            self.assertTrue(spent <= max(least, share * recent))

    def test_hedges_stay_within_three_percent(self) -> None:
        """Guards against hedges that add to the load of slow servers."""
        for seed in range(6):
            calls, hedges = self._attempts(
                seed, Hedging.may_hedge, Hedging.record_hedge
            )
            self.assertTrue(0.02 < len(hedges) / len(calls) <= 0.03)
            self._assert_bounded(calls, hedges, 0.03, 1)

    def test_retries_stay_within_a_tenth(self) -> None:
        """Guards against retries that multiply the load of full servers."""
        for seed in range(6):
            calls, retries = self._attempts(
                seed,
                lambda hedging, now_ms: hedging.retries.has_room(now_ms),
                lambda hedging, now_ms: hedging.retries.spend(now_ms),
            )
            self._assert_bounded(calls, retries, 0.1, 3)

    def test_few_calls_may_be_retried_three_times(self) -> None:
        """Guards against a gateway with few calls that may not retry."""
        hedging = Hedging()
        for now_ms in range(3):
            self.assertTrue(hedging.retries.has_room(now_ms))
            hedging.retries.spend(now_ms)
        self.assertFalse(hedging.retries.has_room(4_999))
        self.assertTrue(hedging.retries.has_room(5_000))
