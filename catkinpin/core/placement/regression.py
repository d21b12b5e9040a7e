"""A straight line under noisy points, which remembers all of its range.

What a gateway measures of a server is spoilt in lumps, and nearly always
upwards: another prompt was read in between, a cache did not hold what it was
believed to hold, a network stalled. So of the points that lie near each other
a low one counts, not their mean.

Under a burst all points come from crowded servers. A line through the newest
points alone would then forget what an idle server takes. So points are kept
by where they lie, and each part of the range keeps its own newest ones.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

# Points kept in each part of the range, and the least that say anything.
_MAX_POINTS = 64
_MIN_POINTS = 3
# Of the points in a part, this one counts, from the lowest.
_LOW_SHARE = 0.25
# The line is drawn anew once so many points have come, and moves so far there
# at least. Decisions rest on the proportion of two lines: where both jump
# about, work does.
_EVERY = 4
_WEIGHT = 0.05
# The first drawings rest on few points; later ones count so many times more.
_EARLY = 3


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Least and most that a value may be learned to be."""

    lower: float
    upper: float

    def clip(self, value: float) -> float:
        """Returns the nearest value within."""
        return min(max(value, self.lower), self.upper)


@dataclasses.dataclass(frozen=True)
class Prior:
    """What is assumed of a line.

    Attributes:
        base: before any point.
        slope: returns the slope of a line that passes at some height.
        spread: of x, at which points tell the slope as well as the prior.
    """

    base: float
    slope: Callable[[float, float], float]
    spread: float


@dataclasses.dataclass(frozen=True)
class _Part:
    """The points in one part of the range, as one."""

    x: float
    y: float
    weight: int


class Line:
    """y = base + slope * x, for x from 0.

    Args:
        prior: what is assumed.
        bases: bounds of the base.
        slopes: bounds of the slope.
    """

    def __init__(self, prior: Prior, bases: Bounds, slopes: Bounds) -> None:
        self.base = prior.base
        self.slope = prior.slope(0.0, prior.base)
        self._prior = prior
        self._bases = bases
        self._slopes = slopes
        self._points: dict[int, collections.deque[tuple[float, float]]] = {}
        self._new = 0
        self._drawn = 0

    def value_at(self, x: float) -> float:
        """Returns the line's value."""
        return self.base + self.slope * x

    def add(self, x: float, y: float) -> None:
        """Takes a point."""
        place = int(math.log2(max(x, 0.0) + 1))
        points = self._points.get(place)
        if points is None:
            points = collections.deque(maxlen=_MAX_POINTS)
            self._points[place] = points
        points.append((x, y))
        self._new += 1
        if self._new >= _EVERY:
            self._new = 0
            self._draw()

    def _draw(self) -> None:
        parts = [
            _low(points)
            for points in self._points.values()
            if len(points) >= _MIN_POINTS
        ]
        if not parts:
            return
        total = sum(part.weight for part in parts)
        x = sum(part.x * part.weight for part in parts) / total
        y = sum(part.y * part.weight for part in parts) / total
        prior = _MIN_POINTS * self._prior.spread**2
        sum_xx = sum(p.weight * (p.x - x) ** 2 for p in parts)
        sum_xy = sum(p.weight * (p.x - x) * (p.y - y) for p in parts)
        slope = (sum_xy + prior * self._prior.slope(x, y)) / (sum_xx + prior)
        slope = self._slopes.clip(slope)
        base = self._bases.clip(y - slope * x)
        self._drawn += 1
        weight = max(_WEIGHT, min(1.0, _EARLY / self._drawn))
        self.slope += (slope - self.slope) * weight
        self.base += (base - self.base) * weight


def _low(points: collections.deque[tuple[float, float]]) -> _Part:
    x = sum(point[0] for point in points) / len(points)
    heights = sorted(point[1] for point in points)
    return _Part(x, heights[int(len(heights) * _LOW_SHARE)], len(points))
