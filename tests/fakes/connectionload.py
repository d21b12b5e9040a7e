"""Counts the connections that gateways open for a steady load of requests."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import random
from typing import TYPE_CHECKING

from catkinpin.core.requests.calls import Load

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.control.servers import Instance

    # Chooses a server by the gateway's number, the time in ms, and whether the
    # gateway has an idle connection to a server.
    Choose = Callable[[int, int, Callable[[Instance], bool]], Instance]
    # Is called with the gateway's number, the server, its load and the time.
    End = Callable[[int, Instance, Load, int], None]


@dataclasses.dataclass
class LoadResult:
    """What the requests came to.

    Attributes:
        opened: Number of connections that were opened.
        requests: Requests of each server, by id.
    """

    opened: int = 0
    requests: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )

    def busiest_share(self, servers: int) -> float:
        """Returns the busiest server's requests against the mean."""
        return max(self.requests.values()) * servers / self.requests.total()


def run_load(
    gateways: int,
    count: int,
    interval_ms: float,
    duration_ms: int,
    max_idle_ms: int,
    choose: Choose,
    end: End,
) -> LoadResult:
    """Sends requests at random intervals and returns what they came to.

    Args:
        gateways: Number of gateways; each request comes from one at random.
        count: Number of requests.
        interval_ms: Mean time between two requests.
        duration_ms: Mean time of a request at its server.
        max_idle_ms: Idle time after which a connection is not used again.
        choose: Chooses the server of a request.
        end: Is called as a request ends.
    """
    rng = random.Random(1)
    result = LoadResult()
    idle: dict[tuple[int, str], list[int]] = collections.defaultdict(list)
    running: collections.Counter[str] = collections.Counter()
    ends: list[tuple[int, int, int, Instance]] = []
    at_ms = 0.0
    for number in range(count):
        at_ms += rng.expovariate(1 / interval_ms)
        now_ms = int(at_ms)
        while ends and ends[0][0] <= now_ms:
            ended_ms, _, gateway, server = heapq.heappop(ends)
            running[server.id] -= 1
            idle[gateway, server.id].append(ended_ms + max_idle_ms)
            load = Load(running[server.id], 0, server.slots)
            end(gateway, server, load, ended_ms)
        gateway = rng.randrange(gateways)

        def has_idle(
            server: Instance, gateway: int = gateway, now_ms: int = now_ms
        ) -> bool:
            return any(at > now_ms for at in idle[gateway, server.id])

        server = choose(gateway, now_ms, has_idle)
        if has_idle(server):
            idle[gateway, server.id].pop()
        else:
            result.opened += 1
        result.requests[server.id] += 1
        running[server.id] += 1
        took_ms = max(1, round(rng.gauss(duration_ms, duration_ms / 4)))
        heapq.heappush(ends, (now_ms + took_ms, number, gateway, server))
    return result
