"""How processes end: exit codes, and an end at once."""

from __future__ import annotations

import logging
import os

log = logging.getLogger(__name__)

OK = 0
FAILED = 1
USAGE = 2
STORAGE = 3
CUT = 4
FORCED = 5


def stop_at_once(exc: Exception) -> None:
    """Ends the process at once, without any further message.

    After a failed write or sync the disk may hold less than memory says. A
    graceful stop would still acknowledge from memory.
    """
    log.critical("%s", exc, exc_info=exc)
    logging.shutdown()
    os._exit(STORAGE)
