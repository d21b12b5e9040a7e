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
    """Orders not yet confirmed, by server and program, oldest first."""

    orders: dict[str, dict[str, Order]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, order: Order) -> None:
        """Adds an order; it replaces one to an earlier incarnation."""
        known = self.orders.setdefault(order.server, {})
        known[order.program] = order
        oldest = order.made_ms - _KEPT_MS
        while (first := next(iter(known.values()))).made_ms < oldest:
            del known[first.program]

    def pending(self, server: str) -> list[Order]:
        """Returns the orders for a server."""
        return list(self.orders.get(server, {}).values())

    def servers(self) -> list[str]:
        """Returns the servers that have orders."""
        return list(self.orders)

    def confirmed(
        self, server: str, incarnation: str, programs: list[str]
    ) -> None:
        """Drops the orders that this incarnation carried out."""
        known = self.orders.get(server, {})
        for program in programs:
            order = known.get(program)
            if order is not None and order.incarnation == incarnation:
                del known[program]
        self._tidy(server)

    def restarted(self, server: str, incarnation: str) -> None:
        """Drops the orders to other incarnations: their memory is gone."""
        for order in self.pending(server):
            if order.incarnation != incarnation:
                del self.orders[server][order.program]
        self._tidy(server)

    def _tidy(self, server: str) -> None:
        if not self.orders.get(server):
            self.orders.pop(server, None)
