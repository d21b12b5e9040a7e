"""Which turns' bytes to copy after a host has lost its disk.

All turns of a lost host are planned as one group, so that no single survivor
has to send, and no single target to take, more than its part.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.ledger import Turn

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
    """Turns to copy from one host to another."""

    attempts: list[str]
    source: Holder
    target: Holder
    size: int = 0


def plan(
    turns: Iterable[Turn], members: set[str], hosts: list[Holder]
) -> list[Copy]:
    """Returns the next copies to make.

    Args:
        turns: all turns that must be kept.
        members: identities that still belong to the system. One that doesn't
            has lost its disk, or its place; its copies don't count.
        hosts: hosts that can be reached now.
    """
    reachable = {host.node: host for host in hosts}
    batches: dict[tuple[str, str], Copy] = {}
    load = dict.fromkeys(reachable, 0)
    for turn in turns:
        if all(node in members for node in turn.holders):
            continue
        source = next(
            (reachable[n] for n in turn.holders if n in reachable), None
        )
        if source is None:
            continue
        target = _target(source, hosts, load)
        if target is None:
            continue
        key = (source.node, target.node)
        if key not in batches:
            if len(batches) >= _MOST_BATCHES:
                continue
            batches[key] = Copy([], source, target)
        batch = batches[key]
        if batch.size < _BATCH_BYTES:
            batch.attempts.append(turn.attempt)
            batch.size += turn.size
            load[target.node] += turn.size
    return list(batches.values())


def _target(
    source: Holder, hosts: list[Holder], load: dict[str, int]
) -> Holder | None:
    """Returns the least loaded other host, near the source where possible."""
    others = [host for host in hosts if host.node != source.node]
    return min(
        others,
        key=lambda host: (
            host.region != source.region,
            host.domain == source.domain,
            load[host.node],
        ),
        default=None,
    )
