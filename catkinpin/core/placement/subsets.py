"""Limits a gateway to a subset of the servers of an application service.

A gateway that spreads few requests over many servers finds no idle connection
to most of them. It therefore talks first to half of the servers. The subset
depends only on the names of the gateway and the servers, so gateways need not
agree on anything, and it changes little as either side changes.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin import digest
from catkinpin.core.control.servers import ServerState

if TYPE_CHECKING:
    from collections.abc import Collection, Container, Iterable

    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.balance import Balancer

_MIN_SERVERS = 3
# From this share of the subset's slots in use, the other servers are used too.
_MAX_USED_SHARE = 0.5
# Limit of services whose subset is kept, to spare hashing for each request.
_MAX_SERVICES = 256


@dataclasses.dataclass(frozen=True)
class Selection:
    """The servers among which a request's server is chosen.

    Attributes:
        servers: All servers of the service, or the subset only.
        subset: IDs of the subset's servers; empty if the service has so few
            servers that there is none.
        is_new: Whether the subset changed since the previous request.
        is_exceeded: Whether servers outside the subset are included.
        used_share: Share of the subset's slots in use. The slots of servers
            that fail or were tried by the request count as used.
        failing: IDs of those servers.
        load_age_ms: Age of the oldest load report used; -1 if one has none.
    """

    servers: Collection[Instance]
    subset: tuple[str, ...] = ()
    is_new: bool = False
    is_exceeded: bool = False
    used_share: float = 0.0
    failing: tuple[str, ...] = ()
    load_age_ms: int = -1


class Subsets:
    """The subsets of one gateway.

    Args:
        gateway: Name of the gateway.
        domain: Failure domain of the gateway.
        regions: Region of each failure domain.
    """

    def __init__(
        self, gateway: str, domain: str, regions: dict[str, str]
    ) -> None:
        self._gateway = gateway
        self._domain = domain
        self._regions = regions
        # The known servers, and the subset, of each service.
        self._known: dict[str, tuple[list[tuple[str, str]], list[str]]] = {}

    def select(
        self,
        service: str,
        servers: Collection[Instance],
        balancer: Balancer,
        tried: Container[str],
        now_ms: int,
    ) -> Selection:
        """Returns the servers to choose from for a request.

        Args:
            service: Name of the service.
            servers: Servers of the service.
            balancer: Knows the load and the failures of the servers.
            tried: IDs of the servers to which the request was already sent.
            now_ms: Monotonic time.
        """
        ready = [s for s in servers if s.state is ServerState.READY]
        names, is_new = self._subset_names(service, ready)
        if len(names) == len(ready):
            return Selection(servers)
        members = frozenset(names)
        subset = [s for s in ready if s.id in members]
        used = 0.0
        failing, ages = [], []
        for server in subset:
            status = balancer.status(server, now_ms)
            ages.append(status.load_age_ms)
            used_share = min(1.0, status.used_share)
            if status.is_failing or server.id in tried:
                failing.append(server.id)
                used_share = 1.0
            used += used_share * max(1, server.slots)
        share = used / sum(max(1, server.slots) for server in subset)
        is_exceeded = share >= _MAX_USED_SHARE
        return Selection(
            servers if is_exceeded else subset,
            tuple(names),
            is_new,
            is_exceeded,
            share,
            tuple(failing),
            -1 if -1 in ages else max(ages),
        )

    def _subset_names(
        self, service: str, ready: list[Instance]
    ) -> tuple[list[str], bool]:
        """Returns the IDs of a service's subset, and whether they changed."""
        listed = [(server.id, server.domain) for server in ready]
        known = self._known.get(service)
        if known is not None and known[0] == listed:
            return known[1], False
        names = subset_of(self._gateway, self._domain, self._regions, ready)
        if known is None and len(self._known) >= _MAX_SERVICES:
            self._known.clear()
        self._known[service] = (listed, names)
        return names, known is None or known[1] != names


def subset_of(
    gateway: str,
    domain: str,
    regions: dict[str, str],
    servers: Iterable[Instance],
) -> list[str]:
    """Returns the IDs of a gateway's subset of a service's servers.

    Servers are ordered by rendezvous hashing. Those in the gateway's region
    come first, and within a region the first server of each failure domain
    before the second one, so that the loss of a domain leaves others.

    Args:
        gateway: Name of the gateway.
        domain: Failure domain of the gateway.
        regions: Region of each failure domain.
        servers: Ready servers of the service.
    """
    own_region = regions.get(domain, "")
    ordered = sorted(
        servers, key=lambda s: digest.of_bytes(f"{gateway}\0{s.id}".encode())
    )
    per_domain: collections.Counter[str] = collections.Counter()
    ranked = []
    for place, server in enumerate(ordered):
        is_far = regions.get(server.domain, "") != own_region
        ranked.append((is_far, per_domain[server.domain], place, server.id))
        per_domain[server.domain] += 1
    size = max(_MIN_SERVERS, (len(ranked) + 1) // 2)
    return [name for *_, name in sorted(ranked)[:size]]
