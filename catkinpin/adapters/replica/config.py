"""What a replica's part in its groups depends on."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.adapters.disk.storage import SEGMENT_BYTES
from catkinpin.core.consensus.state import Timing

if TYPE_CHECKING:
    import pathlib

    from catkinpin.adapters.replica.founding import AutoJoin


@dataclasses.dataclass(frozen=True)
class NodeConfig:
    """What a replica's part in its groups depends on.

    Attributes:
        data_folder: where its log lies.
        replicas: peer addresses to begin with, its own included.
        snapshot_entries: records of a group between two of its snapshots.
        joining: how it takes part without an operator's repair; None: never.
        segment_bytes: size of the log's files; two or three lie on the disk.
        timing: of heartbeats and elections.
        begun_ms: when this process began, by the node's clock, where one node
            is all that it ever runs; None: that is not known.
    """

    data_folder: pathlib.Path
    replicas: tuple[str, ...]
    snapshot_entries: int
    joining: AutoJoin | None = None
    segment_bytes: int = SEGMENT_BYTES
    timing: Timing = dataclasses.field(default_factory=Timing)
    process_begun_ms: int | None = None
