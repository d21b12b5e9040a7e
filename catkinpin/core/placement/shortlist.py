"""Which of many servers are worth comparing for a request.

Weighing a server takes some 10 us. Among thousands a single choice would take
longer than a turn may wait, and the leader makes one for each turn.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Container, Sequence

    from catkinpin.core.control.servers import Instance
    from catkinpin.core.requests.calls import PromptPart

# Where a service has more servers, so many drawn by lot are compared, and so
# many of those that hold the beginning of the prompt.
_MAX_COMPARED = 32
_MAX_HOLDERS = 8


def shortlist(
    servers: Collection[Instance],
    prompt: Sequence[PromptPart],
    held: Callable[[str], Container[str]],
    rng: random.Random,
) -> Collection[Instance]:
    """Returns the servers to compare.

    Some drawn by lot are nearly as good as the best of all, beside those that
    hold most of the prompt.

    Args:
        servers: of the service.
        prompt: of the request; empty for plain services.
        held: returns the prompt parts that a server seems to hold.
        rng: draws.
    """
    if len(servers) <= _MAX_COMPARED:
        return servers
    listed = list(servers)
    chosen = rng.sample(listed, _MAX_COMPARED)
    if not prompt:
        return chosen
    first = prompt[0].id
    holders = [one for one in listed if first in held(one.id)]
    # Of equal ones the first are taken, which must not be the same each time.
    rng.shuffle(holders)
    longest = heapq.nlargest(
        _MAX_HOLDERS,
        holders,
        key=lambda one: cached_tokens(held(one.id), prompt),
    )
    return {one.id: one for one in [*chosen, *longest]}.values()


def cached_tokens(held: Container[str], prompt: Sequence[PromptPart]) -> int:
    """Returns the tokens at the beginning of a prompt that are held."""
    tokens = 0
    for part in prompt:
        if part.id not in held:
            break
        tokens += part.tokens
    return tokens
