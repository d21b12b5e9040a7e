"""Paired differences between variants, and what can be told from chance."""

from __future__ import annotations

import dataclasses
import math

import numpy as np

# Two-sided 95 % points of Student's t by degrees of freedom; the last holds
# for all that are larger.
_T95 = (
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23,
    2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09,
    2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04,
)  # fmt: skip
_T95_LARGE = 1.98


@dataclasses.dataclass(frozen=True)
class Difference:
    """How much more one variant earns than another, on the same plays.

    Attributes:
        mean: of the differences.
        half: half of the 95 % confidence interval around it.
        pairs: plays.
    """

    mean: float
    half: float
    pairs: int

    @property
    def least_told(self) -> float:
        """Returns the smallest difference that so many pairs can tell."""
        return self.half

    @property
    def is_told(self) -> bool:
        """Whether it can be told from chance."""
        return abs(self.mean) > self.half


def difference(ours: list[float], theirs: list[float]) -> Difference:
    """Compares two variants' figures, play by play."""
    found = np.array(ours) - np.array(theirs)
    count = len(found)
    if count < 2:
        return Difference(float(found.mean()), math.inf, count)
    place = count - 2
    t95 = _T95[place] if place < len(_T95) else _T95_LARGE
    half = t95 * float(found.std(ddof=1)) / math.sqrt(count)
    return Difference(float(found.mean()), half, count)
