"""Lines under points that are spoilt, mostly upwards."""

from __future__ import annotations

import random

import testtools

from catkinpin.core.placement.regression import Bounds, Line, Prior

_ANY = Bounds(-1e9, 1e9)


def _line(spread: float = 3.0) -> Line:
    return Line(Prior(2.0, lambda x, y: 0.5, spread), _ANY, _ANY)


class LineTest(testtools.TestCase):
    """What is learned, and what is not."""

    def test_prior_holds_until_points_come(self) -> None:
        self.assertEqual(7.0, _line().value_at(10))

    def test_line_lies_under_spoilt_points(self) -> None:
        """Half of all answers took far longer than their size explains."""
        rng = random.Random(1)
        line = _line()
        for number in range(600):
            x = rng.uniform(0, 60)
            spoilt = rng.uniform(20, 400) if number % 2 == 0 else 0.0
            line.add(x, 6.0 + 0.05 * x + rng.uniform(-0.05, 0.05) + spoilt)
        self.assertAlmostEqual(6.0, line.base, delta=1.0)
        self.assertAlmostEqual(0.05, line.slope, delta=0.04)

    def test_burst_does_not_make_it_forget_idle_servers(self) -> None:
        """After a calm minute, only crowded servers answer for a while."""
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

    def test_bounds_hold_whatever_comes(self) -> None:
        prior = Prior(2.0, lambda x, y: 0.5, 3.0)
        line = Line(prior, Bounds(0.1, 50.0), Bounds(0.0, 2.0))
        for number in range(96):
            line.add(number % 7, 1e12 if number % 2 else -1e12)
            self.assertTrue(0.1 <= line.base <= 50.0)
            self.assertTrue(0.0 <= line.slope <= 2.0)
