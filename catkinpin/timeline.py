"""Finds restarts in decision lines and lists the steps of each by time.

A restart costs running programs the time from the last line before it to the
first turn after it. The steps in between show where that time went: a host
that was down, a slow start, an election, or routes that arrived late.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.joined import DecisionLine

# Processes that start at most this long after one another count as one
# restart: they were down for the same reason.
_SAME_RESTART_MS = 2_000
# Lines up to this long after the last start belong to the restart.
_LATER_STEPS_MS = 10_000


@dataclasses.dataclass(frozen=True)
class Step:
    """A step of a restart that one or more processes took.

    Attributes:
        name: what the step is.
        first: line of the process that took the step first.
        last: line of the process that took the step last.
        process_count: number of processes that took the step.
    """

    name: str
    first: DecisionLine
    last: DecisionLine
    process_count: int


@dataclasses.dataclass(frozen=True)
class Restart:
    """Processes that started at about the same time.

    Attributes:
        processes: names of the processes.
        steps: steps of the restart, ordered by time.
    """

    processes: list[str]
    steps: list[Step]


def find_restarts(lines: list[DecisionLine]) -> list[Restart]:
    """Returns all restarts recorded in the lines, the oldest first."""
    ordered = sorted(lines, key=lambda line: line.at_ms)
    starts = [line for line in ordered if line.decision == "start"]
    return [_build_restart(ordered, group) for group in _group_by_time(starts)]


def _group_by_time(starts: list[DecisionLine]) -> list[list[DecisionLine]]:
    groups: list[list[DecisionLine]] = []
    for line in starts:
        if groups and line.at_ms - groups[-1][-1].at_ms <= _SAME_RESTART_MS:
            groups[-1].append(line)
        else:
            groups.append([line])
    return groups


def _build_restart(
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
        if first_ms <= line.at_ms <= last_ms + _LATER_STEPS_MS
    ]
    own_lines = [line for line in after if line.process in names]
    steps = [
        _build_step("last word before", before[-1:]),
        _build_step("started", starts),
        _build_step(
            "routes known",
            _first_of_each_process(own_lines, _has_decision("routes")),
        ),
        _build_step(
            "leads", _first_of_each_process(after, _is_leadership_gain)
        ),
        _build_step("ready", _first_of_each_process(own_lines, _is_ready)),
        _build_step(
            "first request served",
            _first_of_each_process(own_lines, _has_decision("served")),
        ),
        _build_step(
            "first turn served",
            _first_of_each_process(own_lines, _is_served_turn),
        ),
        _build_step(
            "last request refused or failed",
            _last_matching(own_lines, _is_refused_or_failed),
        ),
    ]
    found = [step for step in steps if step is not None]
    found.sort(key=lambda step: step.first.at_ms)
    return Restart(sorted(names), found)


def _build_step(name: str, lines: list[DecisionLine]) -> Step | None:
    if not lines:
        return None
    count = len({line.process for line in lines})
    return Step(name, lines[0], lines[-1], count)


def _first_of_each_process(
    lines: list[DecisionLine], matches: Callable[[DecisionLine], bool]
) -> list[DecisionLine]:
    """Returns the first matching line of each process."""
    found: dict[str, DecisionLine] = {}
    for line in lines:
        if matches(line):
            found.setdefault(line.process, line)
    return list(found.values())


def _last_matching(
    lines: list[DecisionLine], matches: Callable[[DecisionLine], bool]
) -> list[DecisionLine]:
    return [line for line in lines if matches(line)][-1:]


def _has_decision(decision: str) -> Callable[[DecisionLine], bool]:
    return lambda line: line.decision == decision


def _is_leadership_gain(line: DecisionLine) -> bool:
    return line.decision == "leadership" and bool(line.fields.get("leading"))


def _is_ready(line: DecisionLine) -> bool:
    return line.decision == "ready" and bool(line.fields.get("ready"))


def _is_served_turn(line: DecisionLine) -> bool:
    return line.decision == "served" and bool(line.fields.get("tokens"))


def _is_refused_or_failed(line: DecisionLine) -> bool:
    return line.decision in ("refused", "failed")
