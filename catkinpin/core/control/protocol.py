"""Messages between gateways, keepers and stores.

Gateways serve callers and send requests to the keeper that leads the control
group. Keepers publish changes to gateways. The field `ask` is a number that
assigns a reply to its request.
"""

from __future__ import annotations

from typing import ClassVar

from catkinpin.codec import Message
from catkinpin.core.control.quotas import AccountUse
from catkinpin.core.control.resumption import SentTurn
from catkinpin.core.control.routes import PackedRouting
from catkinpin.core.control.servers import Instance
from catkinpin.core.control.stores import Store
from catkinpin.core.control.suspects import AnsweredRequest
from catkinpin.core.control.turnrecords import Begin, Finish, Link
from catkinpin.core.messages import Hello, Ping
from catkinpin.core.placement.placer import PlaceTurn, TurnReport
from catkinpin.core.placement.urgency import ProgramStatus


class HostInfo(Message, frozen=True):
    """Describes the sending keeper or store; sent to its peers.

    Attributes:
        node: its identity, new for each new data folder.
        address: peer address.
        known: peer addresses of all keepers and stores that it knows; of
            keepers only, if it goes to a gateway without a feed from here.
        retiring: identities of stores that are being emptied.
        gateways: number of gateways connected to it.
        leader: peer address of the group's leader, empty if not known.
        term: the term of that leader.
        offers_feed: whether the sender understands `Subscribe`.
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
    offers_feed: bool = False


class Subscribe(Message, frozen=True):
    """Asks a keeper that offers a feed to start or to stop sending it.

    The feed consists of `AllServers`, `ServersUpdate`, `QuarantineUpdate`,
    `UnresponsiveUpdate` and `FeedState`. It begins with all servers.
    """

    active: bool


class FeedState(Message, frozen=True):
    """Tells subscribers at an interval that the feed is alive.

    Attributes:
        index: log index up to which the feed contains all changes.
        is_current: whether the keeper's state is current.
    """

    index: int
    is_current: bool


class GroupSeen(Message, frozen=True):
    """Tells a keeper that knows no leader that the group has had one.

    Attributes:
        term: the latest term that the sender knows a leader of.
    """

    term: int


class Expired(Message, frozen=True):
    """Lists turns that expired, whose bytes may be deleted."""

    attempts: list[str]


class RoutingUpdate(Message, frozen=True):
    """Tells all gateways which routing document is in force.

    Attributes:
        version: version of the document, -1 for none.
        is_current: whether the keeper knows that no newer version was
            acknowledged.
    """

    version: int
    is_current: bool


class AllServers(Message, frozen=True):
    """Lists all servers.

    Attributes:
        index: log index of the state.
        packed: the servers, see `servers.pack`.
    """

    index: int
    packed: bytes


class ServersUpdate(Message, frozen=True):
    """Lists the servers that changed, or all servers.

    Attributes:
        index: log index of the state.
        whole: whether the list contains all servers.
    """

    # A keeper of an earlier release lists whatever a server announced.
    has_checked_parts: ClassVar[bool] = True

    index: int
    instances: list[Instance]
    whole: bool


class AskBegin(Message, frozen=True):
    """Asks the leader whether a turn may begin.

    Attributes:
        place: asks the leader to select a server as well; None if the gateway
            needs none.
        finds_sent: whether only to return the turns that it may resume.
    """

    ask: int
    begin: Begin
    place: PlaceTurn | None = None
    finds_sent: bool = False


class AskFinish(Message, frozen=True):
    """Asks the leader to finish a turn.

    Attributes:
        report: observations of the gateway about servers, for placement.
    """

    ask: int
    finish: Finish
    report: TurnReport = TurnReport()


class ReportUse(Message, frozen=True):
    """Reports a gateway's requests to application services to the leader.

    Attributes:
        uses: requests forwarded since the last report, by account.
        unresponsive: servers with an overdue call.
        overdue_ms: for each of them, time since the latest overdue call was
            sent.
        answered_ms: for each server that answered since the last report, time
            since the latest answered call was sent.
        answered_suspects: suspected requests that servers have answered.
    """

    ask: int
    uses: list[AccountUse]
    unresponsive: list[str] = []
    overdue_ms: dict[str, int] = {}
    answered_ms: dict[str, int] = {}
    answered_suspects: list[AnsweredRequest] = []


class QuotaUpdate(Message, frozen=True):
    """Answers `ReportUse`.

    Attributes:
        over: accounts with a full window, and for how many ms their plain
            requests are refused.
        spent: accounts without credit, and for how many ms their plain requests
            outside of programs are refused.
    """

    ask: int
    over: dict[str, int] = {}
    spent: dict[str, int] = {}


class UnresponsiveUpdate(Message, frozen=True):
    """Lists application servers that several gateways found unresponsive."""

    servers: list[str]


class AskRouting(Message, frozen=True):
    """Asks the leader to put a routing document in force."""

    ask: int
    routing: PackedRouting


class AskCurrent(Message, frozen=True):
    """Asks for the current routing document, which `Current` returns.

    Attributes:
        from_leader: whether only the leader may answer. It knows that there is
            no newer document.
    """

    ask: int
    from_leader: bool = True


class AskAnnounce(Message, frozen=True):
    """Forwards a server's announcement to the leader."""

    ask: int
    instance: Instance


class ReportCrash(Message, frozen=True):
    """Tells the leader that a server crashed while it ran a request.

    Attributes:
        content: digest of the request and its program, in hex. A leader of the
            previous release knows only this one.
        server: identity of the server's incarnation.
        shared: digest that does not depend on the program; empty if the gateway
            is of the previous release.
        path: digest that does not depend on the body either; empty if the
            gateway is of the previous release.
        ran_ms: time from sending the request to the crash.
        age_ms: time since the crash.
        is_repeat: whether the request was suspected when it was sent.
    """

    ask: int
    content: str
    server: str
    shared: str = ""
    path: str = ""
    ran_ms: int = 0
    age_ms: int = 0
    is_repeat: bool = False


class QuarantineUpdate(Message, frozen=True):
    """Lists requests that are quarantined or suspected to crash servers.

    All are digests in hex; a request has three, see `Strike`.

    Attributes:
        contents: newly quarantined requests: no server may get them.
        suspects: new suspects: gateways report that a server answered one.
        cleared: requests that are no longer suspects.
        held: suspects with a further crash, of which the leader decides soon
            whether they are quarantined.
        whole: whether `suspects` lists all suspects.
        lifted: requests that are no longer quarantined, because a server has
            answered one or their quarantine is over.
    """

    contents: list[str]
    suspects: list[str] = []
    cleared: list[str] = []
    held: list[str] = []
    whole: bool = False
    lifted: list[str] = []


class AskRegister(Message, frozen=True):
    """Asks the leader to register the sending store."""

    ask: int
    store: Store


class AskRetire(Message, frozen=True):
    """Asks the leader to retire a store, or how far that has got.

    A store is retired by emptying it until no turn depends on it.

    Attributes:
        name: name of the store's host.
        begin: whether to begin retiring it; False only queries the progress.
    """

    ask: int
    name: str
    begin: bool


class Retirement(Message, frozen=True):
    """Answers `AskRetire`.

    Attributes:
        is_known: whether there is a store with the name.
        too_few: whether too few stores would remain without it.
        is_empty: whether it can be removed, as no turn depends on it any more.
    """

    ask: int
    is_known: bool
    too_few: bool
    is_empty: bool


class Put(Message, frozen=True):
    """Asks a keeper or a store to store a turn's bytes."""

    ask: int
    attempt: str
    data: bytes


class Get(Message, frozen=True):
    """Asks a keeper or a store for turns' bytes."""

    ask: int
    attempts: list[str]


class CopyTurns(Message, frozen=True):
    """Asks a keeper or a store to copy turns' bytes from another one.

    Attributes:
        source: peer address of the host to copy from.
    """

    ask: int
    attempts: list[str]
    source: str


class Began(Message, frozen=True):
    """Answers `AskBegin`.

    Attributes:
        denial: value of `turnrecords.Denial`; empty where the turn may begin.
        chain: the turns that this one continues, oldest first.
        retry_ms: in how many ms to retry, where the account's quota is used up
            or the servers have no room for the program.
        program_status: elapsed and lost time of the program.
        server: the server that ran the program's latest turn.
        placed: the server that the leader selected for this turn, empty for
            none.
        sent: the turns that the turn may resume, which then has not begun;
            None in all other replies and from a leader of the previous release.
        hosts: with these, how many hosts may have stored events of them.
    """

    ask: int
    denial: str
    chain: list[Link]
    retry_ms: int = 0
    program_status: ProgramStatus = ProgramStatus()
    server: str = ""
    placed: str = ""
    sent: list[SentTurn] | None = None
    hosts: int = 0


class Done(Message, frozen=True):
    """Confirms that a request has been carried out durably."""

    ask: int


class Refused(Message, frozen=True):
    """Rejects a request that the receiver did not carry out.

    Attributes:
        reason: reason for the log.
        leader: peer address of the leader to ask instead, empty if not known.
    """

    ask: int
    reason: str
    leader: str = ""


class Current(Message, frozen=True):
    """Answers `AskCurrent` with the routing document in force."""

    ask: int
    routing: PackedRouting | None


class Got(Message, frozen=True):
    """Answers `Get`.

    Attributes:
        parts: bytes of each requested turn; None for a turn not stored here.
    """

    ask: int
    parts: list[bytes | None]


ToKeeper = (
    Hello
    | Ping
    | GroupSeen
    | Subscribe
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
    | FeedState
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
