"""Plays scenarios under several variants, and compares them pair by pair."""

from __future__ import annotations

import csv
import pathlib
import sys
import time

import cyclopts

from bench.deciding import pairs, plots, policies, scenario, sweep, world

app = cyclopts.App(name="deciding", help=__doc__)

_FOLDER = pathlib.Path(__file__).parent / "scenarios"
_OUT = pathlib.Path("out/deciding")
# Seeds from here on are for reports only; policies are changed on the others.
REPORT_SEEDS = 1_000
_COLUMNS = ("scenario", "variant", "seed", "payoff", "in_time", "late",
            "failed", "read", "domains", "regions")  # fmt: skip


@app.command
def play(
    files: list[pathlib.Path] | None = None,
    *,
    variants: str = "",
    count: int = 6,
    first: int = 1,
    out: pathlib.Path = _OUT,
) -> None:
    """Plays scenarios and prints differences to the policy.

    Args:
        files: scenarios; all that ship with the tool unless given.
        variants: names with commas between; all unless given.
        count: plays of each variant, on the same seeds.
        first: the first seed; reports use those from 1,000 on.
        out: folder for the figures.
    """
    named = [one for one in variants.split(",") if one]
    chosen = [policies.POLICY, *(n for n in named if n != policies.POLICY)]
    if not named:
        chosen = list(policies.VARIANTS)
    for file in files or sorted(_FOLDER.glob("*.toml")):
        try:
            found = scenario.load(file)
        except scenario.ScenarioError as exc:
            sys.exit(str(exc))
        rows = _plays(found, chosen, range(first, first + count))
        _write(rows, out / f"{found.name}.csv")
        _print(found.name, rows, chosen)


@app.command
def drawn(
    *,
    cases: int = 150,
    first: int = 1,
    part: int = 0,
    parts: int = 1,
    variants: str = "fixed speeds,least outstanding,sticky,oracle",
    out: pathlib.Path = _OUT,
) -> None:
    """Plays deployments drawn by lot, once under each variant.

    Args:
        cases: how many deployments.
        first: seed of the first one.
        part: which share of them this process plays.
        parts: how many processes share them.
        variants: names with commas between, beside the policy.
        out: folder for the figures.
    """
    chosen = [policies.POLICY, *variants.split(",")]
    rows = []
    for seed in range(first + part, first + cases, parts):
        found = sweep.draw(seed)
        rows += _plays(found, chosen, [seed])
        print(f"{seed}: {found.name}", file=sys.stderr, flush=True)
    _write(rows, out / f"drawn-{first}-{part}.csv")


@app.command
def report(folder: pathlib.Path = _OUT, *, first: int = 1) -> None:
    """Prints what drawn deployments came to, as parts of the oracle's payoff.

    Args:
        folder: with the figures of all processes.
        first: seed of the first deployment.
    """
    rows = []
    for file in sorted(folder.glob(f"drawn-{first}-*.csv")):
        with file.open() as lines:
            rows += list(csv.DictReader(lines))
    print(sweep.summary(rows))


@app.command
def plot(folder: pathlib.Path = _OUT) -> None:
    """Draws each variant's payoff by scenario.

    Args:
        folder: with the figures.
    """
    rows: list[dict[str, str]] = []
    for file in sorted(folder.glob("*.csv")):
        if not file.name.startswith("drawn-"):
            with file.open() as lines:
                rows += list(csv.DictReader(lines))
    plots.payoffs(rows, folder / "payoffs.png")


def _plays(
    found: scenario.Scenario, chosen: list[str], seeds: range | list[int]
) -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    for seed in seeds:
        for variant in chosen:
            began_s = time.monotonic()
            make = policies.VARIANTS[variant]
            result = world.Simulation(found, make, seed).run()
            rows.append(
                {
                    "scenario": found.name,
                    "variant": variant,
                    "seed": seed,
                    "payoff": result.payoff,
                    "in_time": result.in_time,
                    "late": result.late,
                    "failed": result.failed,
                    "read": result.read,
                    "domains": result.domains,
                    "regions": result.regions,
                }
            )
            took_s = time.monotonic() - began_s
            print(
                f"{found.name} {variant} {seed}: {result.payoff:.3f}"
                f" ({took_s:.1f} s)",
                file=sys.stderr,
                flush=True,
            )
    return rows


def _write(rows: list[dict[str, object]], file: pathlib.Path) -> None:
    file.parent.mkdir(parents=True, exist_ok=True)
    with file.open("w", newline="") as lines:
        writer = csv.DictWriter(lines, _COLUMNS)
        writer.writeheader()
        writer.writerows(rows)


def _print(name: str, rows: list[dict[str, object]], chosen: list[str]) -> None:
    by = {
        variant: [
            float(str(r["payoff"])) for r in rows if r["variant"] == variant
        ]
        for variant in chosen
    }
    ours = by[policies.POLICY]
    print(f"{name}: {policies.POLICY} {sum(ours) / len(ours):.3f}")
    for variant in chosen[1:]:
        theirs = by[variant]
        found = pairs.difference(theirs, ours)
        print(
            f"  {variant:20} {sum(theirs) / len(theirs):.3f}"
            f"  {found.mean:+.3f} ± {found.half:.3f} in {found.pairs} pairs"
            f"{'' if found.is_told else '  not told from chance'}"
        )


if __name__ == "__main__":
    app()
