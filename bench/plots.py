"""Plots of the results, as PNG files."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import pathlib

    from bench.figures import Row

_LABELS_BY_FIELD = {
    "mean_s": "mean program latency, s",
    "p99_s": "p99 program latency, s",
    "waste_share": "wasted share of cache fills",
}


def write(rows: list[Row], folder: pathlib.Path, name: str) -> None:
    """Writes a plot for each user and each field of `_LABELS_BY_FIELD`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    for user in dict.fromkeys(row.user for row in rows):
        user_rows = [row for row in rows if row.user == user]
        cases = list(dict.fromkeys(row.case for row in user_rows))
        for field, label in _LABELS_BY_FIELD.items():
            figure, axes = pyplot.subplots(figsize=(8, 4.5))
            for variant in dict.fromkeys(row.variant for row in user_rows):
                values_by_case = {
                    row.case: getattr(row, field)
                    for row in user_rows
                    if row.variant == variant
                }
                values_in_order = [values_by_case.get(case) for case in cases]
                axes.plot(cases, values_in_order, marker="o", label=variant)
            axes.set_ylabel(label)
            axes.set_xlabel("share of capacity, or fault at 0.8")
            axes.set_title(user)
            axes.set_ylim(bottom=0)
            axes.legend()
            figure.tight_layout()
            figure.savefig(folder / f"{name}-{user}-{field}.png", dpi=110)
            pyplot.close(figure)
