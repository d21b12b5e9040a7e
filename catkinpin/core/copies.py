"""Which turns' bytes to copy once a holder is lost or to be emptied.

All turns of a lost host are planned as one group, so that no single survivor
has to send, and no single target to take, more than its part.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.ledger import Turn

# Hosts that hold each turn: the loss of one disk loses nothing.
COPIES = 2
# Bytes of one copy: some 0.3 s of the link between regions.
_BATCH_BYTES = 512 * 1024
# Copies planned at once; the next round sees what has changed meanwhile.
_MOST_BATCHES = 8


@dataclasses.dataclass(frozen=True)
class Holder:
    """A host that can hold turns' bytes."""

    node: str
    address: str
    region: str
    domain: str


@dataclasses.dataclass
class Copy:
    """Turns to copy from one host to another.

    Attributes:
        kept: holders that go on counting for these turns.
    """

    attempts: list[str]
    source: Holder
    target: Holder
    kept: tuple[str, ...]
    size: int = 0


def plan(
    turns: Iterable[Turn], counted: set[str], hosts: list[Holder]
) -> list[Copy]:
    """Returns the next copies to make.

    Args:
        turns: all turns that must be kept.
        counted: identities whose copies count; not those of hosts that lost
            their disk, are gone, or are to be emptied.
        hosts: hosts that can be reached now.
    """
    reachable = {host.node: host for host in hosts}
    targets = [host for host in hosts if host.node in counted]
    batches: dict[tuple[str, ...], Copy] = {}
    load = dict.fromkeys(reachable, 0)
    for turn in turns:
        kept = tuple(node for node in turn.holders if node in counted)
        if len(kept) >= COPIES:
            continue
        source = next(
            (
                reachable[node]
                for node in (*kept, *turn.holders)
                if node in reachable
            ),
            None,
        )
        if source is None:
            continue
        target = _target(source, kept, targets, load)
        if target is None:
            continue
        key = (source.node, target.node, *kept)
        if key not in batches:
            if len(batches) >= _MOST_BATCHES:
                continue
            batches[key] = Copy([], source, target, kept)
        batch = batches[key]
        if batch.size < _BATCH_BYTES:
            batch.attempts.append(turn.attempt)
            batch.size += turn.size
            load[target.node] += turn.size
    return list(batches.values())


def _target(
    source: Holder,
    kept: tuple[str, ...],
    targets: list[Holder],
    load: dict[str, int],
) -> Holder | None:
    """Returns the least loaded other host, near the source where possible."""
    others = [
        host
        for host in targets
        if host.node not in kept and host.node != source.node
    ]
    return min(
        others,
        key=lambda host: (
            host.region != source.region,
            host.domain == source.domain,
            load[host.node],
        ),
        default=None,
    )
