"""Robust online linear regression for timings with positive outliers.

Measured times of a server have outliers, nearly always upwards: another prompt
was prefilled in between, the cache did not hold the expected prefix, or the
network stalled. The fit therefore uses a low quantile of nearby points, not
their mean.

During a burst all points come from busy servers, and a fit to the newest
points alone would lose the times of an idle server. The points are therefore
grouped by x into buckets, and each bucket keeps its own newest points.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Points kept per bucket, and the minimum for a bucket to take part in the fit.
_MAX_POINTS = 64
_MIN_POINTS = 3
# Quantile of the y values that represents a bucket.
_LOW_QUANTILE = 0.25
# Points between two fits, and the minimum weight of a new fit in the moving
# average. Decisions compare the values of two lines: if both lines jumped,
# requests would move between servers.
_POINTS_PER_FIT = 4
_MIN_FIT_WEIGHT = 0.05
# The n-th fit has the weight of this constant divided by n, at most 1 and at
# least the minimum: the first fits rest on few points and are soon replaced.
_FIRST_FITS_WEIGHT = 3


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Limits of a learned value."""

    lower: float
    upper: float

    def clip(self, value: float) -> float:
        """Returns the value limited to the bounds."""
        return min(max(value, self.lower), self.upper)


@dataclasses.dataclass(frozen=True)
class Prior:
    """Prior of a line.

    Attributes:
        base: Base before any point is added.
        slope: Returns the slope of a line that passes through x and y.
        spread: Spread of x at which the points weigh as much as the prior in
            the estimate of the slope.
    """

    base: float
    slope: Callable[[float, float], float]
    spread: float


@dataclasses.dataclass(frozen=True)
class _BucketPoint:
    """The representative point of a bucket, weighted by its point count."""

    x: float
    y: float
    weight: int


class Line:
    """The fitted line y = base + slope * x, for x from 0.

    Args:
        prior: Prior of the line.
        bases: Bounds of the base.
        slopes: Bounds of the slope.
    """

    def __init__(self, prior: Prior, bases: Bounds, slopes: Bounds) -> None:
        self.base = prior.base
        self.slope = prior.slope(0.0, prior.base)
        self._prior = prior
        self._bases = bases
        self._slopes = slopes
        self._points: dict[int, collections.deque[tuple[float, float]]] = {}
        self._points_since_fit = 0
        self._fits = 0

    def value_at(self, x: float) -> float:
        """Returns the line's y value at x."""
        return self.base + self.slope * x

    def add(self, x: float, y: float) -> None:
        """Adds a point and refits the line after every few points."""
        bucket = int(math.log2(max(x, 0.0) + 1))
        points = self._points.get(bucket)
        if points is None:
            points = collections.deque(maxlen=_MAX_POINTS)
            self._points[bucket] = points
        points.append((x, y))
        self._points_since_fit += 1
        if self._points_since_fit >= _POINTS_PER_FIT:
            self._points_since_fit = 0
            self._fit()

    def _fit(self) -> None:
        buckets = [
            _representative(points)
            for points in self._points.values()
            if len(points) >= _MIN_POINTS
        ]
        if not buckets:
            return
        total_weight = sum(p.weight for p in buckets)
        x = sum(p.x * p.weight for p in buckets) / total_weight
        y = sum(p.y * p.weight for p in buckets) / total_weight
        prior = _MIN_POINTS * self._prior.spread**2
        sum_xx = sum(p.weight * (p.x - x) ** 2 for p in buckets)
        sum_xy = sum(p.weight * (p.x - x) * (p.y - y) for p in buckets)
        slope = (sum_xy + prior * self._prior.slope(x, y)) / (sum_xx + prior)
        slope = self._slopes.clip(slope)
        base = self._bases.clip(y - slope * x)
        self._fits += 1
        weight = max(_MIN_FIT_WEIGHT, min(1.0, _FIRST_FITS_WEIGHT / self._fits))
        self.slope += (slope - self.slope) * weight
        self.base += (base - self.base) * weight


def _representative(
    points: collections.deque[tuple[float, float]],
) -> _BucketPoint:
    x = sum(point[0] for point in points) / len(points)
    y_values = sorted(point[1] for point in points)
    return _BucketPoint(
        x, y_values[int(len(y_values) * _LOW_QUANTILE)], len(points)
    )
