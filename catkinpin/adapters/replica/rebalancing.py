"""Spreads the leadership of the groups over the replicas."""

from __future__ import annotations

import collections
import logging
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from catkinpin.adapters.replica.groups import Group

log = logging.getLogger(__name__)

# Groups that one replica may lead more than another; transfers cost time.
_MAX_LED_GROUP_IMBALANCE = 2


def rebalance(
    groups: Collection[Group], own_address: str, addresses: Iterable[str]
) -> None:
    """Transfers one group if this replica leads too many.

    After a replica was down, the others lead all of its groups, and one
    processor may do the work that three should share.

    Args:
        groups: all groups of this replica.
        own_address: address of this replica.
        addresses: addresses of the others.
    """
    leaders = [group.leader for group in groups]
    if "" in leaders:
        return
    led = collections.Counter(leaders)
    least_loaded = min(addresses, key=led.__getitem__, default="")
    imbalance = led[own_address] - led[least_loaded]
    if not least_loaded or imbalance <= _MAX_LED_GROUP_IMBALANCE:
        return
    for group in groups:
        if group.is_leader() and group.transfer(least_loaded):
            log.info("handing over", extra={"group": group.name})
            return
