"""Orders to engines to release the memory of programs that are gone.

An order stays until the engine confirms it or shows a new incarnation, whose
memory is empty. Without the outbox a lost order would leave a prefix in an
engine's cache for good, noticed only as a cache that holds less and less.
"""

from __future__ import annotations

import dataclasses

# An order to a server that stays away is dropped after this long: when the
# server returns, its report of held programs brings the order back.
_KEPT_MS = 3_600_000


@dataclasses.dataclass(slots=True)
class Order:
    """Release of one program's memory at one server.

    Attributes:
        program: account and id as the engine knows the program.
        made_ms: wall time of the order.
    """

    server: str
    incarnation: str
    program: str
    made_ms: int


@dataclasses.dataclass(slots=True)
class Outbox:
    """Orders not yet confirmed, oldest first."""

    orders: list[Order] = dataclasses.field(default_factory=list)

    def add(self, order: Order) -> None:
        """Adds an order unless it waits already."""
        known = self.pending(order.server)
        if order.program not in {one.program for one in known}:
            self.orders.append(order)
        oldest = order.made_ms - _KEPT_MS
        if self.orders[0].made_ms < oldest:
            self.orders = [o for o in self.orders if o.made_ms >= oldest]

    def pending(self, server: str) -> list[Order]:
        """Returns the orders for a server."""
        return [order for order in self.orders if order.server == server]

    def servers(self) -> set[str]:
        """Returns the servers that have orders."""
        return {order.server for order in self.orders}

    def confirmed(
        self, server: str, incarnation: str, programs: list[str]
    ) -> None:
        """Drops the orders that this incarnation carried out."""
        self.orders = [
            order
            for order in self.orders
            if order.server != server
            or order.incarnation != incarnation
            or order.program not in programs
        ]

    def restarted(self, server: str, incarnation: str) -> None:
        """Drops the orders to other incarnations: their memory is gone."""
        self.orders = [
            order
            for order in self.orders
            if order.server != server or order.incarnation == incarnation
        ]
