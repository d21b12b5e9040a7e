"""Checks of backend servers' reports, which entries pass on."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.adapters.peers import borders
from catkinpin.core import addresses

if TYPE_CHECKING:
    from catkinpin.core.messages import ServerReport

log = logging.getLogger(__name__)


def is_usable(report: ServerReport, age_ms: int) -> bool:
    """Returns whether a report can be used, and logs it if it can't.

    An entry of an earlier release passes on whatever a server announces.

    Args:
        report: the report.
        age_ms: its age when it was sent.
    """
    counts = (report.cache_tokens, report.running, report.waiting)
    is_valid = (
        addresses.is_http_url(report.address)
        and report.capacity > 0
        and min(counts) >= 0
        and 0 <= age_ms <= codec.MAX_NUMBER
        and not codec.has_number_out_of_range(report)
    )
    if not is_valid:
        log.warning(
            "report of a server refused: address %s",
            borders.shown(report.address),
            extra={"server": borders.shown(report.server)},
        )
    return is_valid
