"""The command `catkinpin timeline`, which shows restarts found in logs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from catkinpin import exits, timeline
from catkinpin.commands import logfiles

if TYPE_CHECKING:
    from catkinpin.timeline import Restart, Step


def show(*logs: str) -> None:
    """Shows the steps of each restart, timed from the last line before it.

    Reads files with the standard output of gateways, keepers and stores, in
    any order, or standard input if no file is given. Processes that start
    within two seconds of each other count as one restart.

    Args:
        logs: files with decision lines.
    """
    restarts = timeline.find_restarts(list(logfiles.read(logs)))
    if not restarts:
        print("no line records a start", file=sys.stderr)
        sys.exit(exits.FAILED)
    for restart in restarts:
        _print_restart(restart)


def _print_restart(restart: Restart) -> None:
    begin_ms = restart.steps[0].first.at_ms
    print(f"{len(restart.processes)} processes: {', '.join(restart.processes)}")
    for step in restart.steps:
        print("  " + _format_step(step, begin_ms))


def _format_step(step: Step, begin_ms: int) -> str:
    first = f"{step.first.at_ms - begin_ms:+7d} ms {step.name}"
    if step.process_count == 1:
        return f"{first}: {step.first.process}"
    last = f"{step.last.at_ms - begin_ms:+d} ms {step.last.process}"
    return f"{first}: {step.first.process}, last of {step.process_count} {last}"
