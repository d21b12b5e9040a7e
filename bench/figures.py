"""Summary of runs, as rows and as Markdown tables."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.world import Outcome

_BYTES_PER_MB = 1_000_000


@dataclasses.dataclass(frozen=True)
class Row:
    """Results of one variant in one case, over all seeds.

    Attributes:
        case: name of the load or of the fault.
        mean_s, p50_s, p95_s, p99_s: program latency, in seconds.
        floor_s: mean of the lower bounds of the latencies, that is on idle
            servers that hold every prefix.
        short_s, long_s: mean latency by shape of the program.
        waste_share: wasted tokens divided by tokens that entered the caches.
        late: calls answered after their deadline.
    """

    user: str
    case: str
    variant: str
    programs: int
    mean_s: float
    p50_s: float
    p95_s: float
    p99_s: float
    floor_s: float
    short_s: float
    long_s: float
    waste_tokens: int
    waste_share: float
    link_mb: float
    refused: int
    late: int
    unfinished: int
    unknown: int

    @property
    def delay_s(self) -> float:
        """Mean latency minus the mean lower bound."""
        return self.mean_s - self.floor_s


def percentile(values: list[float], share: float) -> float:
    """Returns the nearest-rank percentile of `values`."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[rank]


def mean(values: list[float]) -> float:
    """Returns the mean of `values`, or 0 if there are none."""
    return sum(values) / len(values) if values else 0.0


def summarize(
    user: str, case: str, variant: str, outcomes: list[Outcome]
) -> Row:
    """Returns the row that summarizes the runs of all seeds."""
    seconds = [ms / 1_000 for outcome in outcomes for ms in outcome.latencies]
    by_shape: dict[str, list[float]] = {}
    for outcome in outcomes:
        for shape, values in outcome.by_shape.items():
            by_shape.setdefault(shape, []).extend(ms / 1_000 for ms in values)
    wasted_tokens = sum(outcome.waste.wasted_tokens for outcome in outcomes)
    filled_tokens = sum(outcome.waste.filled_tokens for outcome in outcomes)
    return Row(
        user,
        case,
        variant,
        programs=len(seconds),
        mean_s=mean(seconds),
        p50_s=percentile(seconds, 0.50),
        p95_s=percentile(seconds, 0.95),
        p99_s=percentile(seconds, 0.99),
        floor_s=mean(
            [ms / 1_000 for outcome in outcomes for ms in outcome.floors]
        ),
        short_s=mean(by_shape.get("short", [])),
        long_s=mean(by_shape.get("long", [])),
        waste_tokens=wasted_tokens,
        waste_share=wasted_tokens / max(1, filled_tokens),
        link_mb=sum(outcome.link_bytes for outcome in outcomes) / _BYTES_PER_MB,
        refused=sum(outcome.refused for outcome in outcomes),
        late=sum(outcome.late_calls for outcome in outcomes),
        unfinished=sum(outcome.unfinished for outcome in outcomes),
        unknown=sum(outcome.unknown for outcome in outcomes),
    )


_TABLE_HEADER = (
    "| user | case | variant | programs | mean s | p50 s | p95 s | p99 s"
    " | floor s | short s | long s | wasted ktokens | share | link MB"
    " | refused | late | unfinished | unknown |"
)


def format_table(rows: list[Row]) -> str:
    """Returns the rows as a Markdown table."""
    lines = [_TABLE_HEADER, "|" + " --- |" * 18]
    for row in rows:
        cells = [
            row.user,
            row.case,
            row.variant,
            str(row.programs),
            *(f"{s:.2f}" for s in (row.mean_s, row.p50_s, row.p95_s)),
            *(f"{s:.2f}" for s in (row.p99_s, row.floor_s)),
            *(f"{s:.2f}" for s in (row.short_s, row.long_s)),
            f"{row.waste_tokens / 1_000:.0f}",
            f"{row.waste_share:.3f}",
            f"{row.link_mb:.1f}",
            *map(str, (row.refused, row.late, row.unfinished, row.unknown)),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def format_ratios(rows: list[Row], policy: str) -> str:
    """Returns a Markdown table of the policy's results in each case.

    Each result is divided by that of the best baseline. The column `delay`
    compares the mean latencies minus their lower bounds.
    """
    lines = [
        "| user | case | mean | delay | p99 | wasted tokens | wasted share |",
        "|" + " --- |" * 7,
    ]
    for policy_row in rows:
        if policy_row.variant != policy:
            continue
        baselines = [
            baseline
            for baseline in rows
            if (baseline.user, baseline.case)
            == (policy_row.user, policy_row.case)
            and baseline.variant != policy
        ]
        if not baselines:
            continue
        cells = [policy_row.user, policy_row.case]
        for field in (
            "mean_s",
            "delay_s",
            "p99_s",
            "waste_tokens",
            "waste_share",
        ):
            best = min(getattr(baseline, field) for baseline in baselines)
            value = getattr(policy_row, field)
            cells.append(f"{value / best:.2f}" if best else f"{value:g}/0")
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def row_to_dict(row: Row) -> dict[str, object]:
    """Returns a row as a dictionary for a JSON file."""
    return dataclasses.asdict(row)
