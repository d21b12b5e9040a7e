"""Reads decision lines from files or standard input."""

from __future__ import annotations

import pathlib
import sys
from typing import TYPE_CHECKING

from catkinpin import joined

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinpin.joined import DecisionLine


def read(logs: tuple[str, ...]) -> Iterator[DecisionLine]:
    """Yields the decision lines of files, or of standard input without files.

    Other lines are skipped.
    """
    for text in _read_lines(logs):
        line = joined.parse(text)
        if line is not None:
            yield line


def _read_lines(logs: tuple[str, ...]) -> Iterator[str]:
    if not logs:
        yield from sys.stdin
    for name in logs:
        with pathlib.Path(name).open(encoding="utf-8", errors="replace") as log:
            yield from log
