"""Which turns' bytes to copy once a holder is lost or to be emptied.

All turns of a lost host are planned as one group, so that no single survivor
has to send, and no single target to take, more than its part.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from catkinpin.core.control.ledger import Turn
    from catkinpin.core.control.protocol import HostInfo

# Bytes of one copy: some 0.3 s of the link between regions.
_BATCH_BYTES = 512 * 1024
# Copies planned at once; the next round sees what has changed meanwhile.
_MAX_BATCHES = 8


@dataclasses.dataclass(frozen=True)
class Holder:
    """A host that can hold turns' bytes."""

    node: str
    address: str
    region: str
    domain: str


def holder_of(info: HostInfo) -> Holder:
    """Returns a host that has introduced itself as one that can hold turns."""
    return Holder(info.node, info.address, info.region, info.domain)


@dataclasses.dataclass
class CopyBatch:
    """Turns to copy from one host to another.

    Attributes:
        kept: holders that go on counting for these turns.
    """

    attempts: list[str]
    source: Holder
    target: Holder
    counted_holders: tuple[str, ...]
    size: int = 0


def plan(
    turns: Iterable[Turn],
    counted: set[str],
    hosts: list[Holder],
    wanted: int,
) -> list[CopyBatch]:
    """Returns the next copies to make.

    Args:
        turns: all turns that must be kept.
        counted: identities whose copies count; not those of hosts that lost
            their disk, are gone, or are to be emptied.
        hosts: hosts that can be reached now.
        wanted: hosts that shall hold each turn.
    """
    reachable = {host.node: host for host in hosts}
    targets = [host for host in hosts if host.node in counted]
    batches: dict[tuple[str, ...], CopyBatch] = {}
    load = dict.fromkeys(reachable, 0)
    for turn in turns:
        counted_holders = tuple(
            node for node in turn.holders if node in counted
        )
        if len(counted_holders) >= wanted:
            continue
        source = next(
            (
                reachable[node]
                for node in (*counted_holders, *turn.holders)
                if node in reachable
            ),
            None,
        )
        if source is None:
            continue
        apart = {reachable[n].domain for n in counted_holders if n in reachable}
        target = _target(source, counted_holders, apart, targets, load)
        if target is None:
            continue
        key = (source.node, target.node, *counted_holders)
        if key not in batches:
            if len(batches) >= _MAX_BATCHES:
                continue
            batches[key] = CopyBatch([], source, target, counted_holders)
        batch = batches[key]
        if batch.size < _BATCH_BYTES:
            batch.attempts.append(turn.attempt)
            batch.size += turn.size
            load[target.node] += turn.size
    return list(batches.values())


def rank_hosts(
    hosts: list[Holder],
    region: str,
    last: str,
    turn: int,
    slow: Collection[str] = (),
) -> list[Holder]:
    """Returns the hosts to store a turn at, the best first.

    Those of one region come first, its failure domains by turns: with all
    copies in one, the loss of that domain would lose the turn.

    Args:
        hosts: that can be reached.
        region: of the gateway.
        last: address of the leader, whose disk all others wait for.
        turn: rises with each turn, so that equals take their part.
        slow: identities of hosts that were slow lately. A turn's end waits for
            all its copies, so one that is asked of such a host costs 150 ms.
            They come last in their region only: under load all hosts of a
            region seem slow, and then the link to the other one must not
            carry all copies as well.
    """
    waiting = [
        host
        for _, host in sorted(
            enumerate(hosts),
            key=lambda pair: (
                pair[1].address == last,
                (pair[0] + turn) % len(hosts),
            ),
        )
    ]
    taken: collections.Counter[str] = collections.Counter()
    ordered = []
    while waiting:
        best = min(
            waiting,
            key=lambda host: (
                host.region != region,
                host.node in slow,
                taken[host.domain],
            ),
        )
        waiting.remove(best)
        taken[best.domain] += 1
        ordered.append(best)
    return ordered


def _target(
    source: Holder,
    counted_holders: tuple[str, ...],
    apart: set[str],
    targets: list[Holder],
    load: dict[str, int],
) -> Holder | None:
    """Returns the least loaded other host, near the source where possible.

    Failure domains in `apart` hold a copy already; others are better.
    """
    others = [
        host
        for host in targets
        if host.node not in counted_holders and host.node != source.node
    ]
    return min(
        others,
        key=lambda host: (
            host.region != source.region,
            host.domain in {source.domain, *apart},
            load[host.node],
        ),
        default=None,
    )
