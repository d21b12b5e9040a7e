"""Summary of runs: percentiles, shares, a table."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bench.world import Outcome

_MB = 1_000_000


@dataclasses.dataclass(frozen=True)
class Row:
    """What one variant gave in one setting, over all seeds.

    Attributes:
        case: the load, or the fault.
        mean_s, p50_s, p95_s, p99_s: program latency, in seconds.
        floor_s: mean latency on idle servers that hold every prefix.
        short_s, long_s: mean latency by shape of the program.
        waste_share: wasted tokens by tokens that entered the caches.
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
        """Mean latency above the floor."""
        return self.mean_s - self.floor_s


def percentile(values: list[float], share: float) -> float:
    """Returns the nearest-rank percentile of `values`."""
    if not values:
        return 0.0
    ordered = sorted(values)
    rank = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[rank]


def mean(values: list[float]) -> float:
    """Returns the mean, 0 of nothing."""
    return sum(values) / len(values) if values else 0.0


def row(user: str, case: str, variant: str, outcomes: list[Outcome]) -> Row:
    """Sums up the runs of all seeds."""
    seconds = [ms / 1_000 for one in outcomes for ms in one.latencies]
    shapes: dict[str, list[float]] = {}
    for one in outcomes:
        for shape, values in one.by_shape.items():
            shapes.setdefault(shape, []).extend(ms / 1_000 for ms in values)
    wasted = sum(one.waste.wasted_tokens for one in outcomes)
    filled = sum(one.waste.filled_tokens for one in outcomes)
    return Row(
        user,
        case,
        variant,
        programs=len(seconds),
        mean_s=mean(seconds),
        p50_s=percentile(seconds, 0.50),
        p95_s=percentile(seconds, 0.95),
        p99_s=percentile(seconds, 0.99),
        floor_s=mean([ms / 1_000 for one in outcomes for ms in one.floors]),
        short_s=mean(shapes.get("short", [])),
        long_s=mean(shapes.get("long", [])),
        waste_tokens=wasted,
        waste_share=wasted / max(1, filled),
        link_mb=sum(one.link_bytes for one in outcomes) / _MB,
        refused=sum(one.refused for one in outcomes),
        late=sum(one.late for one in outcomes),
        unfinished=sum(one.unfinished for one in outcomes),
        unknown=sum(one.unknown for one in outcomes),
    )


_HEAD = (
    "| user | case | variant | programs | mean s | p50 s | p95 s | p99 s"
    " | floor s | short s | long s | wasted ktokens | share | link MB"
    " | refused | late | unfinished | unknown |"
)


def table(rows: list[Row]) -> str:
    """Returns the rows as a table in Markdown."""
    lines = [_HEAD, "|" + " --- |" * 18]
    for one in rows:
        cells = [
            one.user,
            one.case,
            one.variant,
            str(one.programs),
            *(f"{s:.2f}" for s in (one.mean_s, one.p50_s, one.p95_s)),
            *(f"{s:.2f}" for s in (one.p99_s, one.floor_s)),
            *(f"{s:.2f}" for s in (one.short_s, one.long_s)),
            f"{one.waste_tokens / 1_000:.0f}",
            f"{one.waste_share:.3f}",
            f"{one.link_mb:.1f}",
            *map(str, (one.refused, one.late, one.unfinished, one.unknown)),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def ratios(rows: list[Row], policy: str) -> str:
    """Returns, for each case, the policy's figures by the best baseline's.

    The column `delay` compares what the mean latency has above the floor.
    """
    lines = [
        "| user | case | mean | delay | p99 | wasted tokens | wasted share |",
        "|" + " --- |" * 7,
    ]
    for ours in rows:
        if ours.variant != policy:
            continue
        others = [
            other
            for other in rows
            if (other.user, other.case) == (ours.user, ours.case)
            and other.variant != policy
        ]
        if not others:
            continue
        cells = [ours.user, ours.case]
        for field in (
            "mean_s",
            "delay_s",
            "p99_s",
            "waste_tokens",
            "waste_share",
        ):
            best = min(getattr(other, field) for other in others)
            value = getattr(ours, field)
            cells.append(f"{value / best:.2f}" if best else f"{value:g}/0")
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def as_map(one: Row) -> dict[str, object]:
    """Returns a row for a JSON file."""
    return dataclasses.asdict(one)
