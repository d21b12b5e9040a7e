"""Exit codes, and an immediate exit after storage errors."""

from __future__ import annotations

import os

OK = 0
FAILED = 1
USAGE_ERROR = 2
STORAGE_ERROR = 3
STOP_TIMEOUT = 4
FORCED_STOP = 5


def exit_immediately(exc: Exception) -> None:
    """Exits the process immediately, without sending any further message.

    After a failed write or sync, the disk may lack data that is in memory. A
    graceful stop would still acknowledge that data to others.
    """
    import logging

    from catkinpin import decisions

    decisions.note(
        "ended",
        "",
        outcome="storage",
        code=STORAGE_ERROR,
        reason=repr(exc),
    )
    logging.getLogger(__name__).critical("%s", exc, exc_info=exc)
    logging.shutdown()
    os._exit(STORAGE_ERROR)
