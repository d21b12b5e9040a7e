"""Runs scenarios under several variants and compares paired payoffs."""

from __future__ import annotations

import csv
import pathlib
import sys
import time

import cyclopts

from bench.deciding import pairs, plots, policies, scenario, sweep, world

app = cyclopts.App(name="deciding", help=__doc__)

_SCENARIO_FOLDER = pathlib.Path(__file__).parent / "scenarios"
_OUT_FOLDER = pathlib.Path("out/deciding")
# Seeds from here on are only for reports; policies are developed on the
# smaller ones.
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
    out: pathlib.Path = _OUT_FOLDER,
) -> None:
    """Runs scenarios and prints payoff differences from the policy.

    Args:
        files: Scenario files; by default all in bench/deciding/scenarios.
        variants: Comma-separated names; all by default.
        count: Runs of each variant, all on the same seeds.
        first: First seed; reports use seeds from 1,000 on.
        out: Folder for the CSV files.
    """
    named = [one for one in variants.split(",") if one]
    variant_names = [
        policies.POLICY,
        *(n for n in named if n != policies.POLICY),
    ]
    if not named:
        variant_names = list(policies.VARIANTS)
    for file in files or sorted(_SCENARIO_FOLDER.glob("*.toml")):
        try:
            deployment = scenario.load(file)
        except scenario.ScenarioError as exc:
            sys.exit(str(exc))
        rows = _run_variants(
            deployment, variant_names, range(first, first + count)
        )
        _write_csv(rows, out / f"{deployment.name}.csv")
        _print_differences(deployment.name, rows, variant_names)


@app.command
def drawn(
    *,
    cases: int = 150,
    first: int = 1,
    part: int = 0,
    parts: int = 1,
    variants: str = "fixed speeds,least outstanding,sticky,oracle",
    out: pathlib.Path = _OUT_FOLDER,
) -> None:
    """Runs random deployments, once under each variant.

    Args:
        cases: Number of deployments.
        first: Seed of the first deployment.
        part: Index of this process among `parts`, from 0.
        parts: Number of processes that share the deployments.
        variants: Comma-separated names; the policy always runs as well.
        out: Folder for the CSV files.
    """
    variant_names = [policies.POLICY, *variants.split(",")]
    rows = []
    for seed in range(first + part, first + cases, parts):
        deployment = sweep.draw(seed)
        rows += _run_variants(deployment, variant_names, [seed])
        print(f"{seed}: {deployment.name}", file=sys.stderr, flush=True)
    _write_csv(rows, out / f"drawn-{first}-{part}.csv")


@app.command
def report(folder: pathlib.Path = _OUT_FOLDER, *, first: int = 1) -> None:
    """Prints payoffs on random deployments as shares of the oracle's payoff.

    Args:
        folder: Folder with the CSV files of all processes.
        first: Seed of the first deployment.
    """
    rows = []
    for file in sorted(folder.glob(f"drawn-{first}-*.csv")):
        with file.open() as lines:
            rows += list(csv.DictReader(lines))
    print(sweep.summary(rows))


@app.command
def plot(folder: pathlib.Path = _OUT_FOLDER) -> None:
    """Plots each variant's payoffs by scenario.

    Args:
        folder: Folder with the CSV files.
    """
    rows: list[dict[str, str]] = []
    for file in sorted(folder.glob("*.csv")):
        if not file.name.startswith("drawn-"):
            with file.open() as lines:
                rows += list(csv.DictReader(lines))
    plots.payoffs(rows, folder / "payoffs.png")


def _run_variants(
    deployment: scenario.Scenario,
    variant_names: list[str],
    seeds: range | list[int],
) -> list[dict[str, object]]:
    rows: list[dict[str, object]] = []
    for seed in seeds:
        for variant in variant_names:
            began_s = time.monotonic()
            make = policies.VARIANTS[variant]
            result = world.Simulation(deployment, make, seed).run()
            rows.append(
                {
                    "scenario": deployment.name,
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
                f"{deployment.name} {variant} {seed}: {result.payoff:.3f}"
                f" ({took_s:.1f} s)",
                file=sys.stderr,
                flush=True,
            )
    return rows


def _write_csv(rows: list[dict[str, object]], file: pathlib.Path) -> None:
    file.parent.mkdir(parents=True, exist_ok=True)
    with file.open("w", newline="") as lines:
        writer = csv.DictWriter(lines, _COLUMNS)
        writer.writeheader()
        writer.writerows(rows)


def _print_differences(
    name: str, rows: list[dict[str, object]], variant_names: list[str]
) -> None:
    payoffs_by_variant = {
        variant: [
            float(str(r["payoff"])) for r in rows if r["variant"] == variant
        ]
        for variant in variant_names
    }
    policy_payoffs = payoffs_by_variant[policies.POLICY]
    print(
        f"{name}: {policies.POLICY}"
        f" {sum(policy_payoffs) / len(policy_payoffs):.3f}"
    )
    for variant in variant_names[1:]:
        variant_payoffs = payoffs_by_variant[variant]
        paired = pairs.difference(variant_payoffs, policy_payoffs)
        print(
            f"  {variant:20} {sum(variant_payoffs) / len(variant_payoffs):.3f}"
            f"  {paired.mean:+.3f} ± {paired.half:.3f} in {paired.pairs} pairs"
            f"{'' if paired.is_significant else '  not told from chance'}"
        )


if __name__ == "__main__":
    app()
