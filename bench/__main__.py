"""Runs the workloads under each variant and writes tables and plots."""

from __future__ import annotations

import argparse
import json
import pathlib
import time

from bench import figures, plots, variants, workloads, world

# Tuning seeds are for changes of the policy; reporting seeds are used only for
# reports, so that the policy isn't fitted to them.
TUNING_SEEDS = (1, 2, 3, 4)
REPORTING_SEEDS = (101, 102, 103)

LOADS = (0.5, 0.8, 1.0, 1.3)
_LOAD_CASES = [f"{load:.1f}" for load in LOADS]
_FAULT_LOAD = 0.8
_QUICK_MS = 60_000


def cases(user: str, quick: bool) -> list[tuple[str, float, str, bool]]:
    """Returns the cases to run.

    Returns:
        For each case its name, load, fault (see `RunPlan.lost`) and whether
        a server always reports that it is idle.
    """
    if quick:
        return [("0.8", 0.8, "", False)]
    load_cases = [
        (name, load, "", False)
        for name, load in zip(_LOAD_CASES, LOADS, strict=True)
    ]
    return [
        *load_cases,
        ("server lost", _FAULT_LOAD, "server", False),
        ("domain lost", _FAULT_LOAD, "domain", False),
        ("server drained", _FAULT_LOAD, "drain", False),
        ("reports lie", _FAULT_LOAD, "", True),
    ]


def main() -> None:
    """Runs the selected cases and writes the results."""
    args = _parse_arguments()
    seeds: tuple[int, ...] = TUNING_SEEDS if args.tuning else REPORTING_SEEDS
    if args.quick:
        seeds = seeds[:1]
    folder = pathlib.Path(args.out)
    folder.mkdir(parents=True, exist_ok=True)
    rows = []
    for user in args.users:
        rows += _run_user(args, user, seeds)
    name = args.name or "-".join([*args.users, args.part or "all"])
    text = (
        figures.format_table(rows)
        + "\n"
        + figures.format_ratios(rows, variants.POLICY)
    )
    (folder / f"{name}.md").write_text(f"seeds {seeds}\n\n{text}")
    (folder / f"{name}.json").write_text(
        json.dumps([figures.row_to_dict(row) for row in rows], indent=1)
    )
    print(text)
    if not args.quick:
        plots.write(rows, folder, name)


def _run_user(
    args: argparse.Namespace, user: str, seeds: tuple[int, ...]
) -> list[figures.Row]:
    workload = workloads.WORKLOADS[user]()
    capacity_per_ms = workloads.capacity(workload)
    rows = []
    for case, load, fault, reports_idle in cases(user, args.quick):
        if args.cases and case not in args.cases:
            continue
        if args.part and (args.part == "loads") != (case in _LOAD_CASES):
            continue
        for variant in args.variants or variants.VARIANTS:
            start_s = time.monotonic()
            outcomes = []
            for seed in seeds:
                plan = world.RunPlan(
                    workload,
                    capacity_per_ms,
                    load,
                    seed,
                    lost=fault,
                    reports_idle=reports_idle,
                )
                if args.quick:
                    plan = world.RunPlan(
                        workload,
                        capacity_per_ms,
                        load,
                        seed,
                        arrivals_ms=_QUICK_MS,
                    )
                make_scheduler = variants.VARIANTS[variant]
                outcomes.append(world.World(plan, make_scheduler).run())
            rows.append(figures.summarize(user, case, variant, outcomes))
            elapsed_s = time.monotonic() - start_s
            print(f"{user} {case} {variant}: {elapsed_s:.1f} s", flush=True)
    return rows


def _parse_arguments() -> argparse.Namespace:
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
