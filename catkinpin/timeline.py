"""What happened when, around processes that started anew.

Programs under way lose the time from the last line before to the first turn
after. Each step between the two is another thing to look into: a host that was
dark, a start that took long, an election, routes that came late.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.joined import DecisionLine

# Processes that start so near each other were down for the same reason.
_SAME_MS = 2_000
# Steps after the last start count so long.
_AFTER_MS = 10_000


@dataclasses.dataclass(frozen=True)
class Step:
    """One step.

    Attributes:
        first: who took it first.
        last: who took it last.
        processes: how many did.
    """

    name: str
    first: DecisionLine
    last: DecisionLine
    processes: int


@dataclasses.dataclass(frozen=True)
class Restart:
    """Processes that started at about the same time.

    Attributes:
        processes: their names.
        steps: in the order of their times.
    """

    processes: list[str]
    steps: list[Step]


def find_restarts(lines: list[DecisionLine]) -> list[Restart]:
    """Returns all restarts that the lines tell of, the oldest first."""
    ordered = sorted(lines, key=lambda line: line.at_ms)
    starts = [line for line in ordered if line.decision == "start"]
    return [_restart(ordered, same) for same in _near(starts)]


def _near(starts: list[DecisionLine]) -> list[list[DecisionLine]]:
    groups: list[list[DecisionLine]] = []
    for line in starts:
        if groups and line.at_ms - groups[-1][-1].at_ms <= _SAME_MS:
            groups[-1].append(line)
        else:
            groups.append([line])
    return groups


def _restart(
    ordered: list[DecisionLine], starts: list[DecisionLine]
) -> Restart:
    names = {line.process for line in starts}
    first_ms, last_ms = starts[0].at_ms, starts[-1].at_ms
    before = [
        line
        for line in ordered
        if line.process in names and line.at_ms < first_ms
    ]
    after = [
        line
        for line in ordered
        if first_ms <= line.at_ms <= last_ms + _AFTER_MS
    ]
    ours = [line for line in after if line.process in names]
    steps = [
        _step("last word before", before[-1:]),
        _step("started", starts),
        _step("routes known", _firsts(ours, _is("routes"))),
        _step("leads", _firsts(after, _leads)),
        _step("ready", _firsts(ours, _ready)),
        _step("first request served", _firsts(ours, _is("served"))),
        _step("first turn served", _firsts(ours, _turn)),
        _step("last request refused or failed", _last(ours, _lost)),
    ]
    found = [step for step in steps if step is not None]
    found.sort(key=lambda step: step.first.at_ms)
    return Restart(sorted(names), found)


def _step(name: str, lines: list[DecisionLine]) -> Step | None:
    if not lines:
        return None
    count = len({line.process for line in lines})
    return Step(name, lines[0], lines[-1], count)


def _firsts(
    lines: list[DecisionLine], wanted: Callable[[DecisionLine], bool]
) -> list[DecisionLine]:
    """Returns the first such line of each process."""
    found: dict[str, DecisionLine] = {}
    for line in lines:
        if wanted(line):
            found.setdefault(line.process, line)
    return list(found.values())


def _last(
    lines: list[DecisionLine], wanted: Callable[[DecisionLine], bool]
) -> list[DecisionLine]:
    return [line for line in lines if wanted(line)][-1:]


def _is(decision: str) -> Callable[[DecisionLine], bool]:
    return lambda line: line.decision == decision


def _leads(line: DecisionLine) -> bool:
    return line.decision == "leadership" and bool(line.fields.get("leading"))


def _ready(line: DecisionLine) -> bool:
    return line.decision == "ready" and bool(line.fields.get("ready"))


def _turn(line: DecisionLine) -> bool:
    return line.decision == "served" and bool(line.fields.get("tokens"))


def _lost(line: DecisionLine) -> bool:
    return line.decision in ("refused", "failed")
