"""Plans where the bytes of turns are stored and copied.

All turns of a lost host are planned together, so that the copies are spread
evenly over the remaining hosts.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core import tolerance

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from catkinpin.core.control.protocol import HostInfo
    from catkinpin.core.control.turnrecords import Turn
    from catkinpin.core.tolerance import Located, Tolerance

# Size of one batch: about 0.3 s of the bandwidth between regions.
_MAX_BATCH_BYTES = 512 * 1024
# Batches planned per round; the next round sees what has changed meanwhile.
_MAX_BATCHES = 8


@dataclasses.dataclass(frozen=True)
class Holder:
    """A host that can store the bytes of turns."""

    node: str
    address: str
    region: str
    domain: str


def holder_of(info: HostInfo) -> Holder:
    """Returns the host that a `HostInfo` message describes."""
    return Holder(info.node, info.address, info.region, info.domain)


@dataclasses.dataclass
class CopyBatch:
    """Turns to copy from one host to another.

    Attributes:
        attempts: the turns.
        counted_holders: current holders of these turns whose copies count.
        size: total size of the turns in bytes.
    """

    attempts: list[str]
    source: Holder
    target: Holder
    counted_holders: tuple[str, ...]
    size: int = 0


def plan(
    turns: Iterable[Turn],
    counted: Mapping[str, Located],
    hosts: list[Holder],
    tolerated: Tolerance,
) -> list[CopyBatch]:
    """Returns the next batches to copy.

    Args:
        turns: all turns that must be retained.
        counted: the hosts whose copies count, by identity: all but those that
            lost their disk, are gone or are to be emptied.
        hosts: hosts that can be reached now.
        tolerated: the losses that each turn must survive.
    """
    reachable = {host.node: host for host in hosts}
    targets = [host for host in hosts if host.node in counted]
    batches: dict[tuple[str, ...], CopyBatch] = {}
    added_bytes = dict.fromkeys(reachable, 0)
    # Many turns have the same holders.
    is_enough: dict[tuple[str, ...], bool] = {}
    for turn in turns:
        nodes = tuple(node for node in turn.holders if node in counted)
        if nodes not in is_enough:
            is_enough[nodes] = tolerance.are_enough_copies(
                [counted[node] for node in nodes], targets, tolerated
            )
        if is_enough[nodes]:
            continue
        source = _find_source((*nodes, *turn.holders), reachable)
        if source is None:
            continue
        target = _choose_target(
            source,
            [counted[node] for node in nodes],
            targets,
            added_bytes,
            tolerated,
        )
        if target is None:
            continue
        key = (source.node, target.node, *nodes)
        if key not in batches and len(batches) >= _MAX_BATCHES:
            continue
        batch = batches.setdefault(key, CopyBatch([], source, target, nodes))
        if batch.size < _MAX_BATCH_BYTES:
            batch.attempts.append(turn.attempt)
            batch.size += turn.size
            added_bytes[target.node] += turn.size
    return list(batches.values())


def rank_hosts(
    hosts: list[Holder],
    region: str,
    leader_address: str,
    rotation: int,
    slow_nodes: Collection[str] = (),
) -> list[Holder]:
    """Returns the hosts to store a turn at, the best first.

    Hosts in the gateway's region come first, alternating between its failure
    domains, as these may fail as a whole. `tolerance.next_holder` says how far
    down the list a copy must go for the losses that a turn has to survive.

    Args:
        hosts: hosts that can be reached.
        region: region of the gateway.
        leader_address: address of the leader. It is ranked last among equal
            hosts, because all commits wait for its disk.
        rotation: increases with each turn, so that equal hosts alternate.
        slow_nodes: identities of hosts that were slow recently. A turn ends
            only once all its copies are stored, so a copy at a slow host delays
            it by 150 ms. Slow hosts are ranked last only within their region:
            under load all hosts of a region may seem slow, and the link to the
            other region must not carry all copies then.
    """
    unranked = [
        host
        for _, host in sorted(
            enumerate(hosts),
            key=lambda pair: (
                pair[1].address == leader_address,
                (pair[0] + rotation) % len(hosts),
            ),
        )
    ]
    ranked_per_domain: collections.Counter[str] = collections.Counter()
    ranked = []
    while unranked:
        best = min(
            unranked,
            key=lambda host: (
                host.region != region,
                host.node in slow_nodes,
                ranked_per_domain[host.domain],
            ),
        )
        unranked.remove(best)
        ranked_per_domain[best.domain] += 1
        ranked.append(best)
    return ranked


def _find_source(
    nodes: Iterable[str], reachable: Mapping[str, Holder]
) -> Holder | None:
    """Returns the first of these hosts that can be reached."""
    return next((reachable[n] for n in nodes if n in reachable), None)


def _choose_target(
    source: Holder,
    holders: list[Located],
    targets: list[Holder],
    added_bytes: dict[str, int],
    tolerated: Tolerance,
) -> Holder | None:
    """Returns the target for copying a turn from `source`; None for no host.

    Prefers hosts in a place that the turn still needs, then those in the
    source's region, then failure domains without a copy, then hosts that get
    fewer bytes.
    """
    holding_nodes = {holder.node for holder in holders}
    holding_domains = {holder.domain for holder in holders}
    others = [
        host
        for host in targets
        if host.node not in holding_nodes and host.node != source.node
    ]
    return min(
        others,
        key=lambda host: (
            [
                not is_needed
                for is_needed in tolerance.gain_of_copy(
                    host, holders, tolerated
                )
            ],
            host.region != source.region,
            host.domain in {source.domain, *holding_domains},
            added_bytes[host.node],
        ),
        default=None,
    )
