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
    """Keeps the state of the system on this host's disk and decides.

    Runs until SIGTERM. Exits with 2 where a setting is invalid, with 3 where
    the data folder can't be used.
    """
    cfg = cfg or settings.defaults(ReplicaSettings)
    process.run(cfg, lambda: Replica(cfg))
