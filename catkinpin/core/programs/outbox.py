"""Orders to engines to release the memory of programs that have ended.

An order is kept until the engine confirms it, or reports a new incarnation,
whose memory is empty. Otherwise a lost order would leave a prefix in the
engine's cache for good, and the cache's usable size would shrink unnoticed.
"""

from __future__ import annotations

import dataclasses

# An order to a server that does not return is dropped after this time. If the
# server returns later, a new order follows from its report of held programs.
_ORDER_RETENTION_MS = 3_600_000


@dataclasses.dataclass(slots=True)
class Order:
    """An order to release one program's memory on one server.

    Attributes:
        program: account and id, as the engine names the program.
        made_ms: wall time of the order.
    """

    server: str
    incarnation: str
    program: str
    made_ms: int


@dataclasses.dataclass(slots=True)
class Outbox:
    """Unconfirmed orders by server and program, oldest first."""

    orders: dict[str, dict[str, Order]] = dataclasses.field(
        default_factory=dict
    )

    def add(self, order: Order) -> None:
        """Adds an order; it replaces an earlier one for the same program."""
        known = self.orders.setdefault(order.server, {})
        known[order.program] = order
        min_made_ms = order.made_ms - _ORDER_RETENTION_MS
        while (oldest := next(iter(known.values()))).made_ms < min_made_ms:
            del known[oldest.program]

    def pending(self, server: str) -> list[Order]:
        """Returns the orders for a server."""
        return list(self.orders.get(server, {}).values())

    def servers(self) -> list[str]:
        """Returns the servers that have orders."""
        return list(self.orders)

    def drop_confirmed(
        self, server: str, incarnation: str, programs: list[str]
    ) -> None:
        """Drops the orders that this incarnation has carried out."""
        known = self.orders.get(server, {})
        for program in programs:
            order = known.get(program)
            if order is not None and order.incarnation == incarnation:
                del known[program]
        self._remove_if_empty(server)

    def drop_other_incarnations(self, server: str, incarnation: str) -> None:
        """Drops the orders to other incarnations, whose memory is gone."""
        for order in self.pending(server):
            if order.incarnation != incarnation:
                del self.orders[server][order.program]
        self._remove_if_empty(server)

    def _remove_if_empty(self, server: str) -> None:
        if not self.orders.get(server):
            self.orders.pop(server, None)
