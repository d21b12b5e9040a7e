"""Settings of a keeper's replica of the control group."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import clock
from catkinpin.adapters.replica.config import NodeConfig
from catkinpin.adapters.replica.founding import AutoJoin
from catkinpin.core.consensus.state import Timing

if TYPE_CHECKING:
    from catkinpin.roles import KeeperSettings

# Holds some minutes of records. Most of a keeper's disk is for turns' bytes.
_SEGMENT_BYTES = 8 * 1024 * 1024
# All turns wait during an election, and a short program has a slack of some
# 500 ms. The timeout must still exceed a heartbeat's round trip between regions
# (16 ms) and the sync of a slow disk (150 ms): an election because of either
# would cost more than it saves.
_TIMING = Timing(
    heartbeat_interval_ms=50, election_timeout_ms=400, lease_ms=330
)


def node_config(cfg: KeeperSettings) -> NodeConfig:
    """Returns the settings of the replica of the control group."""
    return NodeConfig(
        cfg.data_folder,
        tuple(cfg.seeds),
        cfg.snapshot_entries,
        AutoJoin(tuple(cfg.seeds), cfg.first_start),
        segment_bytes=_SEGMENT_BYTES,
        timing=_TIMING,
        process_begun_ms=clock.process_start_ms(),
        tolerance=cfg.tolerance,
    )
