"""Settings of a replica's node."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.adapters.disk.storage import SEGMENT_BYTES
from catkinpin.core.consensus.state import Timing
from catkinpin.core.tolerance import Tolerance

if TYPE_CHECKING:
    import pathlib

    from catkinpin.adapters.replica.founding import AutoJoin


@dataclasses.dataclass(frozen=True)
class NodeConfig:
    """Settings of a replica's node.

    Attributes:
        data_folder: folder of its log and its identity file.
        replicas: initial peer addresses of all replicas, its own included.
        snapshot_entries: records of a group between two of its snapshots.
        auto_join: how it joins without an operator's repair; None if it
            doesn't.
        segment_bytes: size of a log segment; the disk holds two or three.
        timing: intervals and timeouts of heartbeats and elections.
        process_begun_ms: start of this process, by the node's clock, if the
            process runs no other node; None if it is not known.
        tolerance: which losses the voters of each group must survive.
    """

    data_folder: pathlib.Path
    replicas: tuple[str, ...]
    snapshot_entries: int
    auto_join: AutoJoin | None = None
    segment_bytes: int = SEGMENT_BYTES
    timing: Timing = dataclasses.field(default_factory=Timing)
    process_begun_ms: int | None = None
    tolerance: Tolerance = dataclasses.field(default_factory=Tolerance)
