"""The command `catkinpin why`: from a request's id to its cause, by logs."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

from catkinpin import exits, joined
from catkinpin.commands import logfiles

if TYPE_CHECKING:
    from catkinpin.joined import DecisionLine

_PARTS = (
    ("request", "the request"),
    ("program", "its program's other requests"),
    ("servers", "the servers that it was sent to"),
    ("system", "processes, leaders and routes around it"),
)
# Of each part but the request's own; the nearest in time are shown.
_MAX_LINES = 40
# Lines that say the same within the same second are shown as one.
_SIMILAR_MS = 1_000


def why(request: str, *logs: str) -> None:
    """Joins the decision lines of all processes around one request.

    Reads files that hold what gateways, keepers and stores wrote to standard
    output, in any order; without a file, standard input. Times are those of
    the hosts that wrote the lines, and may differ by their clocks.

    Args:
        request: the request's id.
        logs: files with lines.
    """
    story = joined.join(logfiles.read(logs), request)
    if not story.request:
        print(f"no line names {request}", file=sys.stderr)
        sys.exit(exits.FAILED)
    end_ms = story.request[-1].at_ms
    for part, title in _PARTS:
        print(f"{title}:")
        for same in _nearest(_alike(getattr(story, part)), end_ms):
            print("  " + _text(same, end_ms))


def _alike(lines: list[DecisionLine]) -> list[list[DecisionLine]]:
    """Returns lines in groups of what several processes say alike.

    All gateways hear of each server; one line for all leaves room for more.
    """
    groups: dict[str, list[DecisionLine]] = {}
    for line in lines:
        said = f"{line.decision} {line.at_ms // _SIMILAR_MS} {_facts(line)}"
        groups.setdefault(said, []).append(line)
    return list(groups.values())


def _nearest(
    groups: list[list[DecisionLine]], end_ms: int
) -> list[list[DecisionLine]]:
    by_distance = sorted(groups, key=lambda same: abs(same[0].at_ms - end_ms))
    return sorted(by_distance[:_MAX_LINES], key=lambda same: same[0].at_ms)


def _facts(line: DecisionLine) -> str:
    return " ".join(f"{k}={json.dumps(v)}" for k, v in line.fields.items())


def _text(same: list[DecisionLine], end_ms: int) -> str:
    line = same[0]
    others = f" and {len(same) - 1} more" if len(same) > 1 else ""
    away_ms = line.at_ms - end_ms
    who = f"{line.process}{others}"
    return f"{away_ms:+7d} ms {who} {line.decision} {_facts(line)}"
