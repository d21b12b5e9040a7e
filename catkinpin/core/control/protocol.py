"""The control group's state, and what gateways and keepers say to each other.

A keeper is a replica of the control group: it holds the routes, the servers
and the programs' ledger. A gateway serves callers and asks the leader.
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
    Link,
    Moved,
    Outcome,
)
from catkinpin.core.control.routes import PackedRouting
from catkinpin.core.control.servers import Fleet, Instance
from catkinpin.core.control.stores import Register, Retire, Store, Stores
from catkinpin.core.messages import Hello, Ping
from catkinpin.core.placement.urgency import ProgramStatus

if TYPE_CHECKING:
    from collections.abc import Callable


# Contents that stay quarantined, 32 bytes each; a day has a handful.
_MAX_QUARANTINED = 4_096


class SetRouting(Message, frozen=True):
    """Puts a routing document in force where its version is higher."""

    routing: PackedRouting


class Announce(Message, frozen=True):
    """Takes what a server says of itself."""

    instance: Instance


class Quarantine(Message, frozen=True):
    """Quarantines requests' contents, by digest in hex."""

    contents: list[str]


class Record(Message, frozen=True):
    """One record of the control group's log.

    Attributes:
        tag: lets the proposer find whom to answer.
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
    )


class ControlSnapshot(Message, frozen=True):
    """Content of a snapshot."""

    routing: PackedRouting | None
    instances: list[Instance]
    ledger: LedgerState
    stores: list[Store]
    quarantined: list[str]


class HostInfo(Message, frozen=True):
    """A keeper or a store introduces itself.

    Attributes:
        node: its identity, new for each new data folder.
        address: peer address.
        known: peer addresses of all keepers and stores that it knows.
        retiring: identities of stores that take nothing new.
        gateways: how many gateways are connected to it.
        leader: peer address of the group's leader, empty if not known.
        term: the term of that leader.
    """

    node: str
    address: str
    domain: str
    region: str
    known: list[str]
    leader: str
    term: int
    retiring: list[str] = []
    gateways: int = 0


class Expired(Message, frozen=True):
    """Names turns whose bytes are needed no more."""

    attempts: list[str]


class RoutingUpdate(Message, frozen=True):
    """Says which routing document is in force, to all gateways.

    Attributes:
        version: -1 for none.
        is_current: whether the keeper knows that there is no newer one that
            was acknowledged.
    """

    version: int
    is_current: bool


class ServersUpdate(Message, frozen=True):
    """All servers, or those that changed.

    Attributes:
        index: the log index that this is as of.
    """

    index: int
    instances: list[Instance]
    whole: bool


class AskBegin(Message, frozen=True):
    """Asks the leader whether a turn may begin."""

    ask: int
    begin: Begin


class AskFinish(Message, frozen=True):
    """Asks the leader to settle a turn."""

    ask: int
    finish: Finish


class AskRouting(Message, frozen=True):
    """Asks the leader to put a routing document in force."""

    ask: int
    routing: PackedRouting


class AskCurrent(Message, frozen=True):
    """Asks for the routing document in force.

    Attributes:
        from_leader: whether only the leader may answer, which knows that
            there is no newer one.
    """

    ask: int
    from_leader: bool = True


class AskAnnounce(Message, frozen=True):
    """Hands a server's announcement to the leader."""

    ask: int
    instance: Instance


class ReportCrash(Message, frozen=True):
    """Tells the leader that a server crashed while it ran a request.

    Attributes:
        content: the request's digest, in hex.
        server: identity of the server's life.
    """

    ask: int
    content: str
    server: str


class QuarantineUpdate(Message, frozen=True):
    """Names contents that no server may get any more."""

    contents: list[str]


class AskRegister(Message, frozen=True):
    """A store asks the leader to count it."""

    ask: int
    store: Store


class AskRetire(Message, frozen=True):
    """Asks the leader to have a store emptied, or how far that is.

    Attributes:
        begin: whether to begin; False only asks.
    """

    ask: int
    name: str
    begin: bool


class Retirement(Message, frozen=True):
    """Answers `AskRetire`.

    Attributes:
        is_known: whether there is such a store.
        too_few: whether too few would be left.
        is_empty: whether it can be taken away.
    """

    ask: int
    is_known: bool
    too_few: bool
    is_empty: bool


class Put(Message, frozen=True):
    """Asks a keeper to store a turn's bytes."""

    ask: int
    attempt: str
    data: bytes


class Get(Message, frozen=True):
    """Asks a keeper for turns' bytes."""

    ask: int
    attempts: list[str]


class CopyTurns(Message, frozen=True):
    """Asks a keeper to copy turns' bytes from another one.

    Attributes:
        source: peer address of a keeper that has them.
    """

    ask: int
    attempts: list[str]
    source: str


class Began(Message, frozen=True):
    """Answers `AskBegin`.

    Attributes:
        denial: as in `ledger.Denial`; empty where the turn may begin.
        program_status: how the program is doing.
        server: that ran its latest turn.
    """

    ask: int
    denial: str
    chain: list[Link]
    program_status: ProgramStatus = ProgramStatus()
    server: str = ""


class Done(Message, frozen=True):
    """Says that what was asked is done and lasts."""

    ask: int


class Refused(Message, frozen=True):
    """Says that what was asked was not done here.

    Attributes:
        reason: for the log.
        leader: whom to ask instead, empty if not known.
    """

    ask: int
    reason: str
    leader: str = ""


class Current(Message, frozen=True):
    """Answers `AskCurrent`."""

    ask: int
    routing: PackedRouting | None


class Got(Message, frozen=True):
    """Answers `Get`.

    Attributes:
        parts: bytes of each turn asked for; None where they aren't here.
    """

    ask: int
    parts: list[bytes | None]


ToKeeper = (
    Hello
    | Ping
    | AskBegin
    | AskFinish
    | AskRouting
    | AskCurrent
    | AskAnnounce
    | AskRegister
    | ReportCrash
    | AskRetire
    | Put
    | Get
    | CopyTurns
)
FromKeeper = (
    Ping
    | HostInfo
    | RoutingUpdate
    | ServersUpdate
    | Began
    | Done
    | Refused
    | Current
    | Retirement
    | Expired
    | QuarantineUpdate
    | Got
)


class ControlState:
    """The state machine of the control group.

    Args:
        on_routing: called when another routing document is in force.
        on_fleet: called with the servers that changed.
        on_expired: called with turns whose bytes are needed no more.
        on_quarantined: called with contents that are quarantined from now on.
    """

    def __init__(
        self,
        on_routing: Callable[[], None] = lambda: None,
        on_fleet: Callable[[list[Instance]], None] = lambda _: None,
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
        self._on_routing = on_routing
        self._on_fleet = on_fleet
        self._on_expired = on_expired

    @property
    def version(self) -> int:
        """Version of the routing document in force, -1 for none."""
        return self.routing.version if self.routing is not None else -1

    def apply(self, index: int, record: Record) -> Outcome:
        """Applies a committed record."""
        self.index = index
        body = record.body
        out = Outcome()
        match body:
            case SetRouting():
                if body.routing.version > self.version:
                    self.routing = body.routing
                    self._on_routing()
            case Announce():
                changed = self.fleet.apply(body.instance)
                if changed:
                    self._on_fleet(changed)
            case Begin():
                out = self.ledger.begin(body)
            case Finish():
                out = self.ledger.finish(body)
            case Moved():
                self.ledger.moved(body)
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
        """Returns the whole state."""
        state = ControlSnapshot(
            routing=self.routing,
            instances=self.fleet.state(),
            ledger=self.ledger.state(),
            stores=list(self.stores.by_node.values()),
            quarantined=list(self.quarantined),
        )
        return codec.encode(state)

    def restore(self, index: int, data: bytes) -> None:
        """Replaces the whole state."""
        state = _state_decoder.decode(data)
        self.index = index
        self.routing = state.routing
        self.fleet.restore(state.instances)
        self.ledger.restore(state.ledger)
        self.stores.by_node = {store.node: store for store in state.stores}
        self.quarantined = dict.fromkeys(state.quarantined)
        self._on_routing()
        self._on_fleet(list(self.fleet.servers.values()))

    def _quarantine(self, contents: list[str]) -> None:
        self.quarantined.update(dict.fromkeys(contents))
        while len(self.quarantined) > _MAX_QUARANTINED:
            del self.quarantined[next(iter(self.quarantined))]
        self._on_quarantined(contents)


_state_decoder = codec.decoder(ControlSnapshot)
record_decoder = codec.decoder(Record)
