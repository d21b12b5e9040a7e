"""Plots the payoffs of variants."""

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
    """Plots each variant's payoffs by scenario, one point per run."""
    by_scenario: dict[str, dict[str, list[float]]] = collections.defaultdict(
        dict
    )
    for row in rows:
        payoffs_of_variant = by_scenario[row["scenario"]].setdefault(
            row["variant"], []
        )
        payoffs_of_variant.append(float(row["payoff"]))
    if not by_scenario:
        return
    variants = sum(len(one) for one in by_scenario.values())
    size = (_WIDTH_IN, 2 + _ROW_IN * variants)
    figure, axes = plt.subplots(
        len(by_scenario), 1, figsize=size, squeeze=False
    )
    for axis, (name, by_variant) in zip(
        axes[:, 0], sorted(by_scenario.items()), strict=True
    ):
        for row_index, values in enumerate(by_variant.values()):
            axis.plot(values, [row_index] * len(values), ".", color="C0")
        axis.set_yticks(range(len(by_variant)), list(by_variant))
        axis.invert_yaxis()
        axis.set_title(name)
        axis.set_xlim(0, 1.02)
    axes[-1, 0].set_xlabel("payoff earned, as a part of what was owed")
    figure.tight_layout()
    figure.savefig(file)
