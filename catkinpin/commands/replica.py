"""The command `catkinpin-replica`."""

from __future__ import annotations

from typing import Annotated

from cyclopts import Parameter

from catkinpin import process, settings
from catkinpin.adapters.replica.process import Replica
from catkinpin.settings import ReplicaSettings


def run(
    cfg: Annotated[ReplicaSettings | None, Parameter(name="*")] = None,
) -> None:
    """Stores the state of the system on this host's disk and takes decisions.

    Runs until SIGTERM. Exits with 2 if a setting is invalid, with 3 if the
    data folder can't be used.
    """
    cfg = cfg or settings.defaults(ReplicaSettings)
    process.run(cfg, lambda: Replica(cfg))
