"""Messages between gateways, keepers and stores.

A gateway serves callers and asks the keeper that leads the control group;
keepers publish what has changed. `ask` is the number that correlates a
request and its reply.
"""

from __future__ import annotations

from catkinpin.codec import Message
from catkinpin.core.control.ledger import Begin, Finish, Link
from catkinpin.core.control.quotas import AccountUse
from catkinpin.core.control.routes import PackedRouting
from catkinpin.core.control.servers import Instance
from catkinpin.core.control.stores import Store
from catkinpin.core.messages import Hello, Ping
from catkinpin.core.placement.placer import PlaceTurn, TurnReport
from catkinpin.core.placement.urgency import ProgramStatus


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


class GroupSeen(Message, frozen=True):
    """Tells a keeper without a leader that there was one.

    Attributes:
        term: the newest term that the sender knows a leader of.
    """

    term: int


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


class AllServers(Message, frozen=True):
    """All servers.

    Attributes:
        index: the log index that this is as of.
        packed: the servers, see `servers.pack`.
    """

    index: int
    packed: bytes


class ServersUpdate(Message, frozen=True):
    """Servers that changed, or all.

    Attributes:
        index: the log index that this is as of.
        whole: whether there are no others.
    """

    index: int
    instances: list[Instance]
    whole: bool


class AskBegin(Message, frozen=True):
    """Asks the leader whether a turn may begin.

    Attributes:
        place: asks for a server besides; None: the gateway needs none.
    """

    ask: int
    begin: Begin
    place: PlaceTurn | None = None


class AskFinish(Message, frozen=True):
    """Asks the leader to settle a turn."""

    ask: int
    finish: Finish
    report: TurnReport = TurnReport()


class ReportUse(Message, frozen=True):
    """Tells the leader about the plain requests of a gateway.

    Attributes:
        uses: what was passed on since the last report.
        unresponsive: servers that have an overdue call.
    """

    ask: int
    uses: list[AccountUse]
    unresponsive: list[str] = []


class QuotaUpdate(Message, frozen=True):
    """Answers `ReportUse`; durations are in ms from now.

    Attributes:
        over: accounts at the limit of their window, and until when.
        spent: accounts with nothing left for requests of no program, and
            until when.
    """

    ask: int
    over: dict[str, int] = {}
    spent: dict[str, int] = {}


class UnresponsiveUpdate(Message, frozen=True):
    """Names plain servers that several gateways have seen unresponsive."""

    servers: list[str]


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
        server: identity of the server's incarnation.
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
        placed: the server that the leader names for this turn, empty for none.
        retry_ms: when there is room, where its account's quota is used up.
    """

    ask: int
    denial: str
    chain: list[Link]
    retry_ms: int = 0
    program_status: ProgramStatus = ProgramStatus()
    server: str = ""
    placed: str = ""


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
    | GroupSeen
    | AskBegin
    | AskFinish
    | AskRouting
    | AskCurrent
    | AskAnnounce
    | AskRegister
    | ReportCrash
    | ReportUse
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
    | AllServers
    | Began
    | Done
    | Refused
    | Current
    | Retirement
    | QuotaUpdate
    | UnresponsiveUpdate
    | Expired
    | QuarantineUpdate
    | Got
)
