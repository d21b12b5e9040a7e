"""Writes one JSON line per decision to standard output without blocking.

A line has the request's id, the inputs of the decision, their age or version
and the outcome. These lines are all that an on-call engineer has to explain
a failure.

The volume is bounded. Under load, lines of successful requests are sampled;
lines of failed or refused requests and of changes in this process's view of
the system are always queued. If nobody reads the pipe, it fills up and lines
are dropped; the next line that is queued carries the number of dropped lines.
"""

from __future__ import annotations

import collections
import os
import time
from typing import Any

import msgspec

# Bounds the lines of successful requests to about 10 KB/s.
_MAX_ROUTINE_LINES_PER_S = 40
# Bounds the lines that wait until the pipe is read to about 200 KB.
_MAX_QUEUED_LINES = 1_000
# Bounds a text in a line; a caller's ids may have the size of its headers.
_MAX_TEXT = 1_000
_STDOUT_FD = 1

_encoder = msgspec.json.Encoder(enc_hook=str)


class _LineWriter:
    """Queues lines and writes them as far as standard output accepts them.

    Attributes:
        process: name of this process, written in each line.
        enabled: whether lines are written at all.
    """

    def __init__(self) -> None:
        self.process = ""
        self.enabled = False
        self._queue: collections.deque[bytes] = collections.deque()
        self._dropped_lines = 0
        self._current_second = 0
        self._routine_lines = 0

    def admit_routine_line(self) -> bool:
        """Counts a line of a successful request; returns if it is written."""
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._routine_lines = 0
        self._routine_lines += 1
        return self._routine_lines <= _MAX_ROUTINE_LINES_PER_S

    def enqueue(self, line: dict[str, Any]) -> None:
        """Queues a line and writes as much as the pipe accepts."""
        if len(self._queue) >= _MAX_QUEUED_LINES:
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            line["dropped_before"] = self._dropped_lines
            self._dropped_lines = 0
        self._queue.append(_encoder.encode(line) + b"\n")
        self._flush()

    def _flush(self) -> None:
        while self._queue:
            data = self._queue[0]
            try:
                written = os.write(_STDOUT_FD, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe; nobody can read these lines.
                self._queue.clear()
                return
            if written < len(data):
                self._queue[0] = data[written:]
                return
            self._queue.popleft()


_writer = _LineWriter()


def set_up(process: str) -> None:
    """Enables decision lines and makes standard output non-blocking."""
    _writer.process = process
    _writer.enabled = True
    os.set_blocking(_STDOUT_FD, False)


def is_enabled() -> bool:
    """Returns whether this process writes decision lines."""
    return _writer.enabled


def note(kind: str, request: str, **fields: Any) -> None:
    """Writes a line about a decision or a change in the process's view.

    Args:
        kind: the kind of decision.
        request: id of the request; empty if the line concerns none.
        **fields: inputs of the decision, their age or version, the outcome.
    """
    if not _writer.enabled:
        return
    line: dict[str, Any] = {
        "at_ms": int(time.time() * 1000),
        "process": _writer.process,
        "decision": kind,
    }
    if request:
        line["request"] = request[:_MAX_TEXT]
    for name, value in fields.items():
        is_long = isinstance(value, str) and len(value) > _MAX_TEXT
        line[name] = value[:_MAX_TEXT] if is_long else value
    _writer.enqueue(line)


def routine(kind: str, request: str, **fields: Any) -> None:
    """Writes a line about a successful request; sampled under load."""
    if _writer.enabled and _writer.admit_routine_line():
        note(kind, request, **fields)
