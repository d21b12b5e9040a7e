"""Plots of what variants earned."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import matplotlib as mpl

mpl.use("Agg")
import matplotlib.pyplot as plt

if TYPE_CHECKING:
    import pathlib

_WIDTH_IN = 10.0
_ROW_IN = 0.3


def payoffs(rows: list[dict[str, str]], file: pathlib.Path) -> None:
    """Draws each variant's payoffs, one point a play, by scenario."""
    by: dict[str, dict[str, list[float]]] = collections.defaultdict(dict)
    for row in rows:
        held = by[row["scenario"]].setdefault(row["variant"], [])
        held.append(float(row["payoff"]))
    if not by:
        return
    variants = sum(len(one) for one in by.values())
    size = (_WIDTH_IN, 2 + _ROW_IN * variants)
    figure, axes = plt.subplots(len(by), 1, figsize=size, squeeze=False)
    for axis, (name, found) in zip(axes[:, 0], sorted(by.items()), strict=True):
        for place, values in enumerate(found.values()):
            axis.plot(values, [place] * len(values), ".", color="C0")
        axis.set_yticks(range(len(found)), list(found))
        axis.invert_yaxis()
        axis.set_title(name)
        axis.set_xlim(0, 1.02)
    axes[-1, 0].set_xlabel("payoff earned, as a part of what was owed")
    figure.tight_layout()
    figure.savefig(file)
