"""The state machine of the control group, and the records of its log.

A keeper is a replica of the control group. It stores the routes, the servers,
the stores, and the ledger of programs and turns.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.codec import Message
from catkinpin.core.control.ledger import (
    Begin,
    Finish,
    Ledger,
    LedgerState,
    Moved,
    Outcome,
)
from catkinpin.core.control.quotas import AccountUse
from catkinpin.core.control.routes import PackedRouting
from catkinpin.core.control.servers import Fleet, Instance
from catkinpin.core.control.stores import Register, Retire, Store, Stores

if TYPE_CHECKING:
    from collections.abc import Callable

# Number of digests that stay quarantined, 32 bytes each.
_MAX_QUARANTINED = 4_096


class SetRouting(Message, frozen=True):
    """Puts a routing document in force if its version is higher."""

    routing: PackedRouting


class Announce(Message, frozen=True):
    """Applies a server's announcement."""

    instance: Instance


class Quarantine(Message, frozen=True):
    """Quarantines contents of requests.

    Attributes:
        contents: digests of the contents, in hex.
    """

    contents: list[str]


class CountUse(Message, frozen=True):
    """Counts accounts' application service requests against their quotas.

    It doesn't change `ControlState`: each keeper that applies the log counts
    the requests in its `Quotas`.

    Attributes:
        uses: number of requests, by account.
        at_ms: the log's time.
    """

    uses: list[AccountUse]
    at_ms: int


class Record(Message, frozen=True):
    """One record of the control group's log.

    Attributes:
        tag: identifies the proposal, so that its proposer can answer it.
    """

    tag: str
    body: (
        SetRouting
        | Announce
        | Begin
        | Finish
        | Moved
        | Register
        | Retire
        | Quarantine
        | CountUse
    )


class ControlSnapshot(Message, frozen=True):
    """Content of a snapshot."""

    routing: PackedRouting | None
    instances: list[Instance]
    ledger: LedgerState
    stores: list[Store]
    quarantined: list[str]


class ControlState:
    """The state machine of the control group.

    Args:
        on_routing_changed: called when another routing document is in force.
        on_servers_changed: called with the servers that changed.
        on_expired: called with turns that expired.
        on_quarantined: called with digests that are newly quarantined.

    Attributes:
        quarantined: digests of the quarantined contents, oldest first.
        routing: the routing document in force.
        fleet: the backend servers.
        ledger: budgets and turns of programs.
        stores: the stores of turns' bytes.
        index: log index of the last record applied.
    """

    def __init__(
        self,
        on_routing_changed: Callable[[], None] = lambda: None,
        on_servers_changed: Callable[[list[Instance]], None] = lambda _: None,
        on_expired: Callable[[list[str]], None] = lambda _: None,
        on_quarantined: Callable[[list[str]], None] = lambda _: None,
    ) -> None:
        self.quarantined: dict[str, None] = {}
        self._on_quarantined = on_quarantined
        self.routing: PackedRouting | None = None
        self.fleet = Fleet()
        self.ledger = Ledger()
        self.stores = Stores()
        self.index = 0
        self._on_routing_changed = on_routing_changed
        self._on_servers_changed = on_servers_changed
        self._on_expired = on_expired

    @property
    def version(self) -> int:
        """Version of the routing document in force, -1 for none."""
        return self.routing.version if self.routing is not None else -1

    def apply(self, index: int, record: Record) -> Outcome:
        """Applies a committed record; returns the result for its proposer."""
        self.index = index
        body = record.body
        out = Outcome()
        match body:
            case SetRouting():
                if body.routing.version > self.version:
                    self.routing = body.routing
                    self._on_routing_changed()
            case Announce():
                changed = self.fleet.apply(body.instance)
                if changed:
                    self._on_servers_changed(changed)
            case Begin():
                out = self.ledger.begin(body)
            case Finish():
                out = self.ledger.finish(body)
            case Moved():
                self.ledger.set_holders(body)
            case Register():
                self.stores.register(body.store)
            case Retire():
                self.stores.retire(body.name)
            case Quarantine():
                self._quarantine(body.contents)
        if out.expired:
            self._on_expired(out.expired)
        return out

    def snapshot(self) -> bytes:
        """Returns the whole state, encoded."""
        state = ControlSnapshot(
            routing=self.routing,
            instances=self.fleet.state(),
            ledger=self.ledger.state(),
            stores=list(self.stores.by_node.values()),
            quarantined=list(self.quarantined),
        )
        return codec.encode(state)

    def restore(self, index: int, data: bytes) -> None:
        """Replaces the whole state by a snapshot's.

        Args:
            index: log index of the snapshot.
            data: the encoded state.
        """
        state = _state_decoder.decode(data)
        self.index = index
        self.routing = state.routing
        self.fleet.restore(state.instances)
        self.ledger.restore(state.ledger)
        self.stores.by_node = {store.node: store for store in state.stores}
        self.quarantined = dict.fromkeys(state.quarantined)
        self._on_routing_changed()
        self._on_servers_changed(list(self.fleet.servers.values()))

    def _quarantine(self, contents: list[str]) -> None:
        self.quarantined.update(dict.fromkeys(contents))
        while len(self.quarantined) > _MAX_QUARANTINED:
            del self.quarantined[next(iter(self.quarantined))]
        self._on_quarantined(contents)


_state_decoder = codec.decoder(ControlSnapshot)
record_decoder = codec.decoder(Record)
