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

    Runs until SIGTERM. It then reports not ready, refuses new calls, finishes
    the calls in flight and exits with 0, or with 4 if the stop timeout passed
    and calls were aborted. A second signal makes it exit immediately with 5.
    Exits with 2 if a setting is invalid.
    """
    cfg = cfg or settings.defaults(EntrySettings)
    process.run(cfg, lambda: Entry(cfg))
