"""Drops the bytes of turns that no program can ask for any more."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from catkinpin.adapters.disk.turnbytes import TurnBytes
    from catkinpin.adapters.keeper.host import KeeperHost

# Between scans for bytes without a turn. Bytes are dropped once two scans in a
# row find them, which takes longer than any turn lasts.
_SCAN_INTERVAL_S = 20.0


async def drop_periodically(host: KeeperHost, turn_bytes: TurnBytes) -> None:
    """Drops a keeper's bytes without a turn, for as long as it runs.

    A host that was disconnected when turns expired does not learn of it, and a
    gateway that crashed after storing bytes never settles its turn.
    """
    unknown_before: set[str] = set()
    while True:
        await asyncio.sleep(_SCAN_INTERVAL_S)
        ledger = host.state.ledger
        if not host.group.is_current():
            unknown_before = set()
            continue
        unknown = {
            attempt
            for attempt in turn_bytes.attempts()
            if attempt not in ledger.turns
            and ledger.resumable.get(attempt) is None
        }
        turn_bytes.drop(unknown & unknown_before)
        unknown_before = unknown - unknown_before
