"""Tests the fit of lines to points with outliers, mostly upwards."""

from __future__ import annotations

import random

import testtools

from catkinpin.core.placement.regression import Bounds, Line, Prior

_ANY = Bounds(-1e9, 1e9)


def _line(spread: float = 3.0) -> Line:
    return Line(Prior(2.0, lambda x, y: 0.5, spread), _ANY, _ANY)


class LineTest(testtools.TestCase):
    """Influence of the prior, of outliers and of the bounds."""

    def test_prior_holds_until_points_come(self) -> None:
        self.assertEqual(7.0, _line().value_at(10))

    def test_outliers_do_not_raise_the_line(self) -> None:
        """Guards against a line raised by outliers in half of the points."""
        rng = random.Random(1)
        line = _line()
        for number in range(600):
            x = rng.uniform(0, 60)
            outlier = rng.uniform(20, 400) if number % 2 == 0 else 0.0
            line.add(x, 6.0 + 0.05 * x + rng.uniform(-0.05, 0.05) + outlier)
        self.assertAlmostEqual(6.0, line.base, delta=1.0)
        self.assertAlmostEqual(0.05, line.slope, delta=0.04)

    def test_burst_does_not_displace_points_of_idle_servers(self) -> None:
        """Guards against losing the times of idle servers during a burst.

        After a quiet period, all points come from busy servers.
        """
        rng = random.Random(2)
        line = _line()
        for _ in range(60):
            x = rng.uniform(0, 6)
            line.add(x, 6.0 + 0.3 * x)
        for _ in range(1_000):
            x = rng.uniform(30, 60)
            line.add(x, 6.0 + 0.3 * x + rng.uniform(0, 30))
        self.assertAlmostEqual(6.0, line.base, delta=1.0)

    def test_points_of_one_size_leave_the_slope_to_the_prior(self) -> None:
        line = _line()
        for _ in range(64):
            line.add(10.0, 9.0)
        self.assertAlmostEqual(0.5, line.slope)
        self.assertAlmostEqual(4.0, line.base)

    def test_bounds_hold_for_any_points(self) -> None:
        prior = Prior(2.0, lambda x, y: 0.5, 3.0)
        line = Line(prior, Bounds(0.1, 50.0), Bounds(0.0, 2.0))
        for number in range(96):
            line.add(number % 7, 1e12 if number % 2 else -1e12)
            self.assertTrue(0.1 <= line.base <= 50.0)
            self.assertTrue(0.0 <= line.slope <= 2.0)
