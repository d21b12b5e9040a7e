"""The command `catkinpin why`, which shows log lines related to a request."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

from catkinpin import exits, joined
from catkinpin.commands import logfiles

if TYPE_CHECKING:
    from catkinpin.joined import DecisionLine

_SECTIONS = (
    ("request", "the request"),
    ("program", "its program's other requests"),
    ("servers", "the servers that it was sent to"),
    ("system", "processes, leaders and routes around it"),
)
# Limit per section; the groups closest in time to the request are shown.
_MAX_GROUPS = 40
# Equal lines within the same second are shown as one.
_MERGE_WINDOW_MS = 1_000


def why(request: str, *logs: str) -> None:
    """Shows the decision lines of all processes that relate to one request.

    Reads files with the standard output of gateways, keepers and stores, in
    any order, or standard input if no file is given. Times come from the
    clocks of the hosts that wrote the lines, which may differ.

    Args:
        request: id of the request.
        logs: files with decision lines.
    """
    report = joined.join(logfiles.read(logs), request)
    if not report.request:
        print(f"no line names {request}", file=sys.stderr)
        sys.exit(exits.FAILED)
    end_ms = report.request[-1].at_ms
    for section, title in _SECTIONS:
        print(f"{title}:")
        for group in _nearest_groups(
            _group_equal_lines(getattr(report, section)), end_ms
        ):
            print("  " + _format_group(group, end_ms))


def _group_equal_lines(lines: list[DecisionLine]) -> list[list[DecisionLine]]:
    """Returns lines in groups that differ only in their process.

    All gateways report each server; one line for all of them leaves space for
    other lines.
    """
    groups: dict[str, list[DecisionLine]] = {}
    for line in lines:
        key = (
            f"{line.decision} {line.at_ms // _MERGE_WINDOW_MS}"
            f" {_format_fields(line)}"
        )
        groups.setdefault(key, []).append(line)
    return list(groups.values())


def _nearest_groups(
    groups: list[list[DecisionLine]], end_ms: int
) -> list[list[DecisionLine]]:
    by_distance = sorted(groups, key=lambda group: abs(group[0].at_ms - end_ms))
    return sorted(by_distance[:_MAX_GROUPS], key=lambda group: group[0].at_ms)


def _format_fields(line: DecisionLine) -> str:
    return " ".join(f"{k}={json.dumps(v)}" for k, v in line.fields.items())


def _format_group(group: list[DecisionLine], end_ms: int) -> str:
    line = group[0]
    others = f" and {len(group) - 1} more" if len(group) > 1 else ""
    offset_ms = line.at_ms - end_ms
    who = f"{line.process}{others}"
    return f"{offset_ms:+7d} ms {who} {line.decision} {_format_fields(line)}"
