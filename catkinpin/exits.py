"""Exit codes of the processes."""

from __future__ import annotations

OK = 0
FAILED = 1
USAGE = 2
STORAGE = 3
CUT = 4
FORCED = 5
