"""Reads logs that a process may be writing at the same time."""

from __future__ import annotations

import json
from typing import Any


def complete_lines(data: bytes) -> list[str]:
    """Returns the lines of a log that are written to their end.

    A write of one line may be read in part, so the rest after the last line
    feed doesn't count yet.
    """
    whole = data[: data.rfind(b"\n") + 1]
    return whole.decode(errors="replace").split("\n")[:-1]


def decisions(data: bytes) -> list[dict[str, Any]]:
    """Returns the JSON lines of a log.

    Raises:
        ValueError: a complete line that begins like JSON is none.
    """
    return [
        json.loads(line)
        for line in complete_lines(data)
        if line.startswith("{")
    ]
