"""Objects that all requests of a gateway share."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.gateway.freshroutes import FreshRoutes
    from catkinpin.adapters.gateway.headers import HeaderCodec
    from catkinpin.adapters.gateway.turns import TurnClient
    from catkinpin.adapters.gateway.usage import UsageReporter
    from catkinpin.adapters.gateway.view import GatewayView
    from catkinpin.adapters.http.pool import Pool
    from catkinpin.clock import Clock
    from catkinpin.core.placement.balance import Balancer
    from catkinpin.core.placement.contention import ContendedServices
    from catkinpin.core.placement.hedging import Hedging
    from catkinpin.core.placement.speeds import Speeds
    from catkinpin.core.placement.subsets import Subsets
    from catkinpin.core.placement.unresponsive import PendingCalls


@dataclasses.dataclass(frozen=True)
class GatewayContext:
    """Objects that all requests of a gateway share.

    Attributes:
        view: routes and servers.
        balancer: picks servers and records their successes and failures.
        speeds: speeds of the servers, learned from their answers.
        pool: connections to the servers.
        turns: begins, stores and settles the turns of programs.
        codec: decodes and encodes headers.
        clock: source of the current time.
        usage: counts plain requests of client accounts.
        waiting: plain calls that are waiting for their answers.
        contention: for which services capacity is contended.
        subsets: the application servers that this gateway uses first.
        hedging: decides on second attempts of plain calls.
        gateways: returns how many gateways share the servers' limits.
        domain: failure domain of this gateway.
        fresh_routes: tells whether the routes may be relied on; None if they
            always may.
    """

    view: GatewayView
    balancer: Balancer
    speeds: Speeds
    pool: Pool
    turns: TurnClient
    codec: HeaderCodec
    clock: Clock
    usage: UsageReporter
    waiting: PendingCalls
    contention: ContendedServices
    subsets: Subsets
    hedging: Hedging
    gateways: Callable[[], int]
    domain: str = ""
    fresh_routes: FreshRoutes | None = None
