"""Plots of the table, as PNG files."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib

    from bench.figures import Row

_PLOTS = {
    "mean_s": "mean program latency, s",
    "p99_s": "p99 program latency, s",
    "waste_share": "wasted share of cache fills",
}


def write(rows: list[Row], folder: pathlib.Path, name: str) -> None:
    """Writes a plot for each user and figure."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    for user in dict.fromkeys(row.user for row in rows):
        mine = [row for row in rows if row.user == user]
        cases = list(dict.fromkeys(row.case for row in mine))
        for field, label in _PLOTS.items():
            figure, axes = pyplot.subplots(figsize=(8, 4.5))
            for variant in dict.fromkeys(row.variant for row in mine):
                values = {
                    row.case: getattr(row, field)
                    for row in mine
                    if row.variant == variant
                }
                shown = [values.get(case) for case in cases]
                axes.plot(cases, shown, marker="o", label=variant)
            axes.set_ylabel(label)
            axes.set_xlabel("share of capacity, or fault at 0.8")
            axes.set_title(user)
            axes.set_ylim(bottom=0)
            axes.legend()
            figure.tight_layout()
            figure.savefig(folder / f"{name}-{user}-{field}.png", dpi=110)
            pyplot.close(figure)
