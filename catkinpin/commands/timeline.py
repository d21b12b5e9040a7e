"""The command `catkinpin timeline`: what a restart was made up of, by logs."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from catkinpin import exits, timeline
from catkinpin.commands import logfiles

if TYPE_CHECKING:
    from catkinpin.timeline import Restart, Step


def show(*logs: str) -> None:
    """Shows for each restart what happened when, from the last line before.

    Reads files that hold what gateways, keepers and stores wrote to standard
    output, in any order; without a file, standard input. Processes that start
    within two seconds of each other are one restart.

    Args:
        logs: files with lines.
    """
    found = timeline.find_restarts(list(logfiles.read(logs)))
    if not found:
        print("no line records a start", file=sys.stderr)
        sys.exit(exits.FAILED)
    for restart in found:
        _print(restart)


def _print(restart: Restart) -> None:
    begin_ms = restart.steps[0].first.at_ms
    print(f"{len(restart.processes)} processes: {', '.join(restart.processes)}")
    for step in restart.steps:
        print("  " + _text(step, begin_ms))


def _text(step: Step, begin_ms: int) -> str:
    first = f"{step.first.at_ms - begin_ms:+7d} ms {step.name}"
    if step.processes == 1:
        return f"{first}: {step.first.process}"
    last = f"{step.last.at_ms - begin_ms:+d} ms {step.last.process}"
    return f"{first}: {step.first.process}, last of {step.processes} {last}"
