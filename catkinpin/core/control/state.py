"""The state machine of the control group, and the records of its log.

A keeper is a replica of the control group. It stores the routes, the servers,
the stores, and the ledger of programs and turns.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin import codec
from catkinpin.codec import Message
from catkinpin.core.control.ledger import Ledger
from catkinpin.core.control.quotas import AccountUse
from catkinpin.core.control.routes import PackedRouting, is_version
from catkinpin.core.control.servers import Fleet, Instance
from catkinpin.core.control.stores import Register, Retire, Store, Stores
from catkinpin.core.control.suspects import (
    AnsweredRequest,
    Strike,
    Suspects,
)
from catkinpin.core.control.turnrecords import (
    Begin,
    Finish,
    LedgerState,
    Moved,
    Outcome,
)
from catkinpin.core.terms import Term

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

# Number of digests that stay quarantined, 32 bytes each.
MAX_QUARANTINED = 4_096
# Number of lifted quarantines that gateways are told of when they reconnect.
_MAX_LIFTED = 1_024


class SetRouting(Message, frozen=True):
    """Puts a routing document in force if its version is higher."""

    routing: PackedRouting


class Announce(Message, frozen=True):
    """Applies a server's announcement."""

    instance: Instance


class Quarantine(Message, frozen=True):
    """Changes which requests are quarantined or suspected to crash servers.

    A keeper of the previous release skips `lapsed` and `wall_ms`.

    Attributes:
        contents: digests of requests to quarantine, in hex.
        strikes: requests that were running on servers that crashed.
        answered: suspected requests that servers have answered.
        lapsed: digests of requests whose quarantine is over, in hex.
        wall_ms: the leader's wall time, 0 if it is not known. Older evidence
            is dropped.
    """

    contents: list[str]
    strikes: list[Strike] = []
    answered: list[AnsweredRequest] = []
    lapsed: list[str] = []
    wall_ms: int = 0


@dataclasses.dataclass(frozen=True)
class SuspectChange:
    """What a `Quarantine` record has changed, as digests in hex.

    Attributes:
        quarantined: newly quarantined requests.
        suspects: new suspects.
        cleared: requests that are no longer suspects.
        lifted: requests that a server has answered, so that they are no longer
            quarantined.
        lapsed: requests whose quarantine is over.
        held: suspects that have had a further crash, so that the leader has to
            decide on them.
    """

    quarantined: list[str]
    suspects: list[str]
    cleared: list[str]
    held: list[str]
    lifted: list[str] = dataclasses.field(default_factory=list)
    lapsed: list[str] = dataclasses.field(default_factory=list)


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
    strikes: list[Strike] = []
    explained: list[str] = []
    proved: list[Strike] = []
    lifted: list[str] = []
    terms: list[Term] = []
    trials: list[Term] = []


class ControlState:
    """The state machine of the control group.

    Args:
        on_routing_changed: called when another routing document is in force.
        on_servers_changed: called with the servers that changed.
        on_expired: called with turns that expired.
        on_suspects_changed: called with each change of the requests that are
            quarantined or suspected.

    Attributes:
        lifted: digests whose quarantine was lifted or is over, oldest first.
        suspects: requests that were running on servers that crashed.
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
        on_suspects_changed: Callable[[SuspectChange], None] = lambda _: None,
    ) -> None:
        self.lifted: dict[str, None] = {}
        self.suspects = Suspects()
        self._on_suspects_changed = on_suspects_changed
        self.routing: PackedRouting | None = None
        self.fleet = Fleet()
        self.ledger = Ledger()
        self.stores = Stores()
        self.index = 0
        self._on_routing_changed = on_routing_changed
        self._on_servers_changed = on_servers_changed
        self._on_expired = on_expired

    @property
    def quarantined(self) -> Collection[str]:
        """Digests of the quarantined requests, oldest first."""
        return self.suspects.terms.running.keys()

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
                version = body.routing.version
                if version > self.version and is_version(version):
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
                self._quarantine(body)
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
            strikes=self.suspects.strikes,
            explained=self.suspects.explained,
            proved=self.suspects.proved,
            lifted=list(self.lifted),
            terms=list(self.suspects.terms.running.values()),
            trials=list(self.suspects.terms.trials.values()),
        )
        return codec.encode_state(state)

    def restore(self, index: int, data: bytes) -> list[Instance]:
        """Replaces the whole state by a snapshot's.

        Args:
            index: log index of the snapshot.
            data: the encoded state.

        Returns:
            The snapshot's servers that can't be used and were left out.
        """
        state = _state_decoder.decode(data)
        self.index = index
        self.routing = state.routing
        if self.version >= 0 and not is_version(self.version):
            self.routing = None
        unusable = self.fleet.restore(state.instances)
        self.ledger.restore(state.ledger)
        self.stores.by_node = {store.node: store for store in state.stores}
        self.lifted = dict.fromkeys(state.lifted)
        terms = {term.digest: term for term in state.terms}
        self.suspects.restore(
            state.strikes,
            state.explained,
            state.proved,
            # The previous release wrote no terms.
            [
                terms.get(d, Term(digest=d, until_ms=0))
                for d in state.quarantined
            ],
            state.trials,
        )
        self._on_routing_changed()
        self._on_servers_changed(list(self.fleet.servers.values()))
        return unusable

    def _quarantine(self, body: Quarantine) -> None:
        before = self.suspects.crash_counts()
        judged_before = self.suspects.judged_counts()
        if body.wall_ms:
            self.suspects.drop_outdated(body.wall_ms)
        for strike in body.strikes:
            self.suspects.add(strike)
        terms = self.suspects.terms
        lapsed = terms.lapse(body.lapsed, body.wall_ms)
        lifted = []
        for answered in body.answered:
            self.suspects.clear(answered)
            lifted += self.suspects.acquit(answered)
        self._remember_lifted([*lapsed, *lifted])
        self.suspects.explain(body.contents)
        for digest in body.contents:
            terms.begin(digest, body.wall_ms)
            self.lifted.pop(digest, None)
        while len(terms.running) > MAX_QUARANTINED:
            del terms.running[next(iter(terms.running))]
        counts = self.suspects.crash_counts()
        judged = self.suspects.judged_counts()
        self._on_suspects_changed(
            SuspectChange(
                quarantined=body.contents,
                suspects=[d for d in counts if d not in before],
                cleared=[d for d in before if d not in counts],
                lifted=lifted,
                lapsed=lapsed,
                held=[
                    digest
                    for digest, count in judged.items()
                    if count > judged_before.get(digest, 0)
                ],
            )
        )

    def _remember_lifted(self, digests: list[str]) -> None:
        self.lifted.update(dict.fromkeys(digests))
        while len(self.lifted) > _MAX_LIFTED:
            del self.lifted[next(iter(self.lifted))]


_state_decoder = codec.decoder(ControlSnapshot)
record_decoder = codec.decoder(Record)
