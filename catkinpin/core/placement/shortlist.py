"""Limits the number of servers whose costs are compared for a request.

Estimating the cost of one server takes about 10 us. With thousands of servers,
a single choice would take longer than a turn may wait, and the leader makes
one choice per turn.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Container, Sequence

    from catkinpin.core.control.servers import Instance
    from catkinpin.core.requests.calls import PromptPart

# For a service with more servers, the number of random servers compared, and
# of servers that have cached the beginning of the prompt.
MAX_COMPARED = 32
_MAX_HOLDERS = 8


def shortlist(
    servers: Collection[Instance],
    prompt: Sequence[PromptPart],
    cached_parts: Callable[[str], Container[str]],
    rng: random.Random,
) -> Collection[Instance]:
    """Returns the servers to compare.

    The best of a random sample and of the servers that have cached most of the
    prompt is nearly as good as the best of all.

    Args:
        servers: Servers of the service.
        prompt: Prompt of the request; empty if no model gets it.
        cached_parts: Returns the prompt parts that a server is assumed to have
            cached.
        rng: Random generator for the sample.
    """
    if len(servers) <= MAX_COMPARED:
        return servers
    all_servers = list(servers)
    chosen = rng.sample(all_servers, MAX_COMPARED)
    if not prompt:
        return chosen
    first = prompt[0].id
    holders = [
        instance
        for instance in all_servers
        if first in cached_parts(instance.id)
    ]
    # nlargest prefers the first of equal servers, so the order must vary.
    rng.shuffle(holders)
    best_holders = heapq.nlargest(
        _MAX_HOLDERS,
        holders,
        key=lambda instance: cached_tokens(cached_parts(instance.id), prompt),
    )
    return {
        instance.id: instance for instance in [*chosen, *best_holders]
    }.values()


def cached_tokens(
    cached_parts: Container[str], prompt: Sequence[PromptPart]
) -> int:
    """Returns the number of leading prompt tokens that are cached."""
    tokens = 0
    for part in prompt:
        if part.id not in cached_parts:
            break
        tokens += part.tokens
    return tokens
