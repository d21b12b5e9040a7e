"""Exit codes, and exits that leave one line about the kind of end."""

from __future__ import annotations

import os

TYPE_CHECKING = False
if TYPE_CHECKING:
    from typing import NoReturn

OK = 0
FAILED = 1
USAGE_ERROR = 2
STORAGE_ERROR = 3
STOP_TIMEOUT = 4
FORCED_STOP = 5


def exit_immediately(exc: Exception) -> NoReturn:
    """Exits the process immediately, without sending any further message.

    After a failed write or sync, the disk may lack data that is in memory. A
    graceful stop would still acknowledge that data to others.
    """
    end_process(STORAGE_ERROR, "storage", str(exc))


def end_process(code: int, outcome: str, reason: str) -> NoReturn:
    """Writes a line about the end of the process, and exits.

    The interpreter isn't shut down: signals would have their default actions
    meanwhile, and it would use up the stop timeout.

    Args:
        code: the exit code.
        outcome: the kind of end.
        reason: what went wrong, if anything did.
    """
    # Loaded here, as this module is needed before the port opens.
    import logging

    from catkinpin import decisions

    log = logging.getLogger(__name__)
    reason = reason.encode(errors="backslashreplace").decode()
    fields = {"outcome": outcome, "code": code, "reason": reason}
    if not decisions.is_enabled():
        level = logging.CRITICAL if code else logging.INFO
        log.log(level, "ended", extra=fields)
    else:
        decisions.note("ended", "", **fields)
        if reason:
            log.critical("%s: %s", outcome, reason)
    logging.shutdown()
    os._exit(code)
