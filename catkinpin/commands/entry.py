"""The command `catkinpin-entry`."""

from __future__ import annotations

from typing import Annotated

from cyclopts import Parameter

from catkinpin import process, settings
from catkinpin.adapters.entry.process import Entry
from catkinpin.settings import EntrySettings


def run(
    cfg: Annotated[EntrySettings | None, Parameter(name="*")] = None,
) -> None:
    """Serves callers and dispatches their calls to backend servers.

    Runs until SIGTERM, which takes readiness down, refuses new calls,
    finishes those in flight and exits with 0; with 4 where that took longer
    than the stop timeout and calls were cut off. A second signal ends the
    process at once, with 5. Exits with 2 where a setting is invalid.
    """
    cfg = cfg or settings.defaults(EntrySettings)
    process.run(cfg, lambda: Entry(cfg))
