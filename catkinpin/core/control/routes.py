"""Routes: which requests go to which service, and under which limits.

A routing document replaces the one before it as a whole. Its version only
rises; the highest one is in force.
"""

from __future__ import annotations

import enum
import zlib
from typing import TYPE_CHECKING

from msgspec import structs

from catkinpin import codec
from catkinpin.codec import Message
from catkinpin.core.control import accounts
from catkinpin.core.control.accounts import AccountTable, ClientAccount

if TYPE_CHECKING:
    import random

# Fast; the names in a document repeat so often that more effort gains little.
_COMPRESSION = 3


class RouteKind(enum.StrEnum):
    """What a route's requests are, and so what may be repeated."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Share(Message, frozen=True):
    """A part of a route's requests.

    Attributes:
        weight: relative to the other shares of the route.
    """

    service: str
    weight: int


class Route(Message, frozen=True):
    """Where the requests under one host and path prefix go.

    Attributes:
        timeout_ms: longest time that a request is kept waiting.
        target_ms: latency within which an answer is worth most.
        rank: 0 is the most urgent.
        max_attempts: servers to which one request may be sent.
        keeps_history: whether requests name an earlier turn and bring only
            what is new.
        retain_ms: how long a turn can be continued after its end.
        affine: whether a server that had the same session does better.
        resumable: whether a stream may go on at another server.
        is_open: whether requests need no API key.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: list[Share]
    timeout_ms: int
    target_ms: float
    rank: int
    max_attempts: int
    keeps_history: bool
    retain_ms: int
    affine: bool
    resumable: bool
    is_open: bool = False


class Engine(Message, frozen=True):
    """What is known of the model servers of a service.

    Attributes:
        slots: requests that one runs at once.
        memory_tokens: tokens that its cache holds.
        event_tokens: tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    event_tokens: int


class Service(Message, frozen=True):
    """A set of interchangeable backend servers.

    Attributes:
        health_path: path that answers 200 on a healthy server.
        max_connections: connections that one server takes from all callers.
        engine: None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None


class CallerLimits(Message, frozen=True):
    """What a caller may send, and how long it may take or stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Routing(Message, frozen=True):
    """A whole routing document.

    Attributes:
        accounts: who may send requests; None where no key is asked for.
        source: the document as it was sent, for those who read it back; it
            holds API keys, so it stays with the keepers.
    """

    version: int
    routes: list[Route]
    services: list[Service]
    limits: CallerLimits
    accounts: list[ClientAccount] | None = None
    source: bytes = b""


class PackedRouting(Message, frozen=True):
    """A routing document as it is stored and sent.

    A document of thousands of routes takes a megabyte. Sent as it is by each
    keeper to each gateway it fills the link between regions for seconds: the
    heartbeats wait behind it, and leaders lose their lease.

    Each part is encoded and compressed, to a tenth of its size.

    Attributes:
        data: the document without the other parts.
        accounts: the accounts; empty where no key is asked for.
        source: the document as it was sent; empty where gateways get it.
    """

    version: int
    data: bytes
    accounts: bytes = b""
    source: bytes = b""


def pack(routing: Routing) -> PackedRouting:
    """Returns a document for storing and sending."""
    rest = structs.replace(routing, accounts=None, source=b"")
    packed = b""
    if routing.accounts is not None:
        packed = _compress(codec.encode(routing.accounts))
    return PackedRouting(
        version=routing.version,
        data=_compress(codec.encode(rest)),
        accounts=packed,
        source=_compress(routing.source),
    )


def unpack(packed: PackedRouting) -> Routing:
    """Returns a packed document, as far as it was sent."""
    found: Routing = _decoder.decode(zlib.decompress(packed.data))
    source = zlib.decompress(packed.source) if packed.source else b""
    return structs.replace(
        found, accounts=unpack_accounts(packed), source=source
    )


def unpack_accounts(packed: PackedRouting) -> list[ClientAccount] | None:
    """Returns the accounts of a packed document."""
    if not packed.accounts:
        return None
    found: list[ClientAccount] = _accounts_decoder.decode(
        zlib.decompress(packed.accounts)
    )
    return found


def strip_source(packed: PackedRouting) -> PackedRouting:
    """Returns a document without the API keys themselves."""
    return structs.replace(packed, source=b"")


def _compress(data: bytes) -> bytes:
    return zlib.compress(data, _COMPRESSION)


class RouteTable:
    """Finds the route of a request.

    Attributes:
        accounts: finds its account; None where no key is asked for.
    """

    def __init__(self, routing: Routing) -> None:
        self.routing = routing
        self.accounts: AccountTable | None = None
        if routing.accounts is not None:
            self.accounts = AccountTable(routing.accounts)
        self.services = {service.name: service for service in routing.services}
        self._by_host: dict[str, list[Route]] = {}
        for route in routing.routes:
            self._by_host.setdefault(route.host, []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.prefix), reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest prefix, None where none fits."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def pick_service(route: Route, rng: random.Random) -> str:
    """Returns a service of the route, drawn by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service


_decoder = codec.decoder(Routing)
_accounts_decoder = codec.decoder(list[ClientAccount])


def problems(routing: Routing) -> list[str]:
    """Returns everything that makes a document invalid, empty if nothing."""
    found = []
    services = {service.name for service in routing.services}
    places: set[tuple[str, str]] = set()
    for route in routing.routes:
        unknown = [s.service for s in route.shares if s.service not in services]
        found += [f"route {route.name}: no service {name}" for name in unknown]
        place = (route.host, route.prefix)
        if place in places:
            found.append(f"route {route.name}: {place} is taken")
        places.add(place)
        if sum(share.weight for share in route.shares) <= 0:
            found.append(f"route {route.name}: the weights add up to 0")
        if any(share.weight < 0 for share in route.shares):
            found.append(f"route {route.name}: a weight is negative")
        if route.timeout_ms <= 0:
            found.append(f"route {route.name}: the timeout is 0")
    return found + accounts.problems(routing.accounts or ())
