"""Runs the workloads under each variant and writes a table and plots."""

from __future__ import annotations

import argparse
import json
import pathlib
import time

from bench import figures, plots, variants, workloads, world

# Seeds for changing the policy, and seeds that only reports may use.
TUNING_SEEDS = (1, 2, 3, 4)
REPORTING_SEEDS = (101, 102, 103)

LOADS = (0.5, 0.8, 1.0, 1.3)
_LOAD_CASES = [f"{load:.1f}" for load in LOADS]
_FAULT_LOAD = 0.8
_QUICK_MS = 60_000


def cases(user: str, quick: bool) -> list[tuple[str, float, str, bool]]:
    """Returns name, load, what is lost and whether a server lies."""
    if quick:
        return [("0.8", 0.8, "", False)]
    listed = [
        (name, load, "", False)
        for name, load in zip(_LOAD_CASES, LOADS, strict=True)
    ]
    return [
        *listed,
        ("server lost", _FAULT_LOAD, "server", False),
        ("domain lost", _FAULT_LOAD, "domain", False),
        ("server drained", _FAULT_LOAD, "drain", False),
        ("reports lie", _FAULT_LOAD, "", True),
    ]


def main() -> None:
    """Runs what the command line asks for."""
    args = _arguments()
    seeds: tuple[int, ...] = TUNING_SEEDS if args.tuning else REPORTING_SEEDS
    if args.quick:
        seeds = seeds[:1]
    folder = pathlib.Path(args.out)
    folder.mkdir(parents=True, exist_ok=True)
    rows = []
    for user in args.users:
        rows += _run_user(args, user, seeds)
    name = args.name or "-".join([*args.users, args.part or "all"])
    text = figures.table(rows) + "\n" + figures.ratios(rows, variants.POLICY)
    (folder / f"{name}.md").write_text(f"seeds {seeds}\n\n{text}")
    (folder / f"{name}.json").write_text(
        json.dumps([figures.as_map(one) for one in rows], indent=1)
    )
    print(text)
    if not args.quick:
        plots.write(rows, folder, name)


def _run_user(
    args: argparse.Namespace, user: str, seeds: tuple[int, ...]
) -> list[figures.Row]:
    workload = workloads.WORKLOADS[user]()
    per_ms = workloads.capacity(workload)
    rows = []
    for case, load, lost, lying in cases(user, args.quick):
        if args.cases and case not in args.cases:
            continue
        if args.part and (args.part == "loads") != (case in _LOAD_CASES):
            continue
        for variant in args.variants or variants.VARIANTS:
            begin = time.monotonic()
            outcomes = []
            for seed in seeds:
                plan = world.RunPlan(
                    workload, per_ms, load, seed, lost=lost, reports_idle=lying
                )
                if args.quick:
                    plan = world.RunPlan(
                        workload, per_ms, load, seed, arrivals_ms=_QUICK_MS
                    )
                made = variants.VARIANTS[variant]
                outcomes.append(world.World(plan, made).run())
            rows.append(figures.row(user, case, variant, outcomes))
            took = time.monotonic() - begin
            print(f"{user} {case} {variant}: {took:.1f} s", flush=True)
    return rows


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="bench", description=__doc__)
    parser.add_argument("--users", nargs="+", default=["ruegg", "kunci"])
    parser.add_argument("--cases", nargs="+")
    parser.add_argument("--variants", nargs="+")
    parser.add_argument("--part", choices=["loads", "faults"])
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--tuning", action="store_true")
    parser.add_argument("--out", default="out")
    parser.add_argument("--name", default="")
    return parser.parse_args()


if __name__ == "__main__":
    main()
