"""What a gateway's requests share: servers, connections, turns, time."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.gateway.headers import HeaderCodec
    from catkinpin.adapters.gateway.turns import Turns
    from catkinpin.adapters.gateway.usage import UsageReporter
    from catkinpin.adapters.gateway.view import ClusterView
    from catkinpin.adapters.http.client import Pool
    from catkinpin.clock import Clock
    from catkinpin.core.placement.balance import Balancer
    from catkinpin.core.placement.speeds import Speeds
    from catkinpin.core.placement.unresponsive import WaitingCalls


@dataclasses.dataclass(frozen=True)
class Parts:
    """The parts.

    Attributes:
        view: routes and servers.
        balancer: picks among the servers, and learns how they do.
        speeds: of the servers, learned from their answers.
        pool: connections to them.
        turns: begins and settles programs' turns.
        codec: translates headers.
        clock: time.
        waiting: plain calls that wait for their answers.
        usage: counts plain requests of client accounts.
        gateways: returns how many gateways share the servers' limits.
        domain: failure domain of this gateway.
    """

    view: ClusterView
    balancer: Balancer
    speeds: Speeds
    pool: Pool
    turns: Turns
    codec: HeaderCodec
    clock: Clock
    usage: UsageReporter
    waiting: WaitingCalls
    gateways: Callable[[], int]
    domain: str = ""
