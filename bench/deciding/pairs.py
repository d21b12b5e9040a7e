"""Paired differences between variants and their significance."""

from __future__ import annotations

import dataclasses
import math

import numpy as np

# Two-sided 95 % points of Student's t by degrees of freedom, from 1 on;
# `_T95_LARGE` is for all larger ones.
_T95 = (
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23,
    2.20, 2.18, 2.16, 2.14, 2.13, 2.12, 2.11, 2.10, 2.09, 2.09,
    2.08, 2.07, 2.07, 2.06, 2.06, 2.06, 2.05, 2.05, 2.05, 2.04,
)  # fmt: skip
_T95_LARGE = 1.98


@dataclasses.dataclass(frozen=True)
class Difference:
    """Payoff of one variant minus that of another on the same seeds.

    Attributes:
        mean: Mean difference.
        half: Half width of the 95 % confidence interval around the mean.
        pairs: Number of paired runs.
    """

    mean: float
    half: float
    pairs: int

    @property
    def least_significant(self) -> float:
        """Returns the smallest mean that would be significant."""
        return self.half

    @property
    def is_significant(self) -> bool:
        """Whether the mean differs significantly from 0."""
        return abs(self.mean) > self.half


def difference(ours: list[float], theirs: list[float]) -> Difference:
    """Compares the payoffs of two variants run by run."""
    differences = np.array(ours) - np.array(theirs)
    count = len(differences)
    if count < 2:
        return Difference(float(differences.mean()), math.inf, count)
    index = count - 2
    t95 = _T95[index] if index < len(_T95) else _T95_LARGE
    half = t95 * float(differences.std(ddof=1)) / math.sqrt(count)
    return Difference(float(differences.mean()), half, count)
