"""One structured line a decision on standard output, bounded, never blocking.

A line names the request, the inputs that decided, their age or version and
the outcome. Whoever is on call has nothing else to explain a failure with.

Volume is bounded: lines of requests that went well are written for a sample
once there are many of them; the line of a request that failed or was refused,
and each line about what this process believes, is always queued. A pipe that
nobody reads fills up: then lines are dropped, counted, and the count is the
next line that gets through.
"""

from __future__ import annotations

import collections
import os
import time
from typing import Any

import msgspec

# Lines of requests that went well, a second; about 10 KB/s.
_ROUTINE_PER_S = 40
# Lines that wait for a reader of the pipe; some 200 KB.
_MAX_QUEUED = 1_000
_STDOUT = 1

_encoder = msgspec.json.Encoder(enc_hook=str)


class _Writer:
    """Lines that wait, and how many were left out.

    Attributes:
        process: name of this process, in each line.
    """

    def __init__(self) -> None:
        self.process = ""
        self.enabled = False
        self._queue: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        self._second = 0
        self._routine = 0

    def may_write_routine(self) -> bool:
        """Returns whether one more line of a good request fits."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._routine = 0
        self._routine += 1
        return self._routine <= _ROUTINE_PER_S

    def add(self, line: dict[str, Any]) -> None:
        """Queues a line and writes what the pipe takes."""
        if len(self._queue) >= _MAX_QUEUED:
            self._dropped += 1
            return
        if self._dropped:
            line["dropped_before"] = self._dropped
            self._dropped = 0
        self._queue.append(_encoder.encode(line) + b"\n")
        self._write()

    def _write(self) -> None:
        while self._queue:
            data = self._queue[0]
            try:
                written = os.write(_STDOUT, data)
            except BlockingIOError:
                return
            except OSError:
                # Nobody can ever read these lines: the reader is gone.
                self._queue.clear()
                return
            if written < len(data):
                self._queue[0] = data[written:]
                return
            self._queue.popleft()


_writer = _Writer()


def set_up(process: str) -> None:
    """Starts writing, with a standard output that never blocks."""
    _writer.process = process
    _writer.enabled = True
    os.set_blocking(_STDOUT, False)


def note(kind: str, request: str, **facts: Any) -> None:
    """Writes a line about a decision, or about what is believed from now on.

    Args:
        kind: what was decided.
        request: id of the request, empty where it touches none.
        **facts: what decided, its age or version, and the outcome.
    """
    if not _writer.enabled:
        return
    line: dict[str, Any] = {
        "at_ms": int(time.time() * 1000),
        "process": _writer.process,
        "decision": kind,
    }
    if request:
        line["request"] = request
    line.update(facts)
    _writer.add(line)


def routine(kind: str, request: str, **facts: Any) -> None:
    """Writes a line about a request that went well, for a sample under load."""
    if _writer.enabled and _writer.may_write_routine():
        note(kind, request, **facts)
