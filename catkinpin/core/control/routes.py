"""Routing documents: which requests go to which service, within which limits.

A routing document replaces the previous one as a whole. The document with the
highest version is in force.
"""

from __future__ import annotations

import enum
import operator
import zlib
from typing import TYPE_CHECKING, Any

from msgspec import structs

from catkinpin import codec
from catkinpin.codec import Message
from catkinpin.core.control import accounts
from catkinpin.core.control.accounts import AccountTable, ClientAccount

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

# A fast level: names repeat so often that a higher one gains little.
_COMPRESSION_LEVEL = 3
_MAX_VERSION = codec.MAX_NUMBER
_MAX_NAME_LENGTH = 256
_MAX_WEIGHT = 10**9
# Timers and messages take no times of any length; these are months.
_MAX_TIME_MS = 10**10
_MAX_RETENTION_MS = 10**12
_MAX_BYTES = 2**31
_MAX_COUNT = 10**9
_MAX_TOKENS = 10**12
_MAX_PROBLEMS = 100


class _Ranges:
    """The least and the greatest values of a part's numbers.

    Documents have thousands of parts, so that the numbers are read together.
    """

    def __init__(self, *ranges: tuple[str, float, float]) -> None:
        self.ranges = ranges
        self._read = operator.attrgetter(*(name for name, _, _ in ranges))

    def values_of(self, part: Message) -> tuple[float, ...]:
        """Returns the part's numbers in the order of the ranges."""
        values: Any = self._read(part)
        return values if len(self.ranges) > 1 else (values,)


_ROUTE_RANGES = _Ranges(
    ("timeout_ms", 0, _MAX_TIME_MS),
    ("target_ms", 0, _MAX_TIME_MS),
    ("rank", 0, accounts.MAX_RANK),
    ("max_attempts", 1, _MAX_COUNT),
    ("retain_ms", 0, _MAX_RETENTION_MS),
)
_SERVICE_RANGES = _Ranges(("max_connections", 0, _MAX_COUNT))
_ENGINE_RANGES = _Ranges(
    ("slots", 1, _MAX_COUNT),
    ("memory_tokens", 0, _MAX_TOKENS),
    ("event_tokens", 1, _MAX_COUNT),
)
_LIMIT_RANGES = _Ranges(
    ("max_header_bytes", 1, _MAX_BYTES),
    ("max_body_bytes", 1, _MAX_BYTES),
    ("header_timeout_ms", 1, _MAX_TIME_MS),
    ("idle_timeout_ms", 1, _MAX_TIME_MS),
)


class RouteKind(enum.StrEnum):
    """Kind of a route's requests; decides which of them may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class Share(Message, frozen=True):
    """Share of a route's requests that goes to one service.

    Attributes:
        weight: size of the share, relative to the route's other shares.
    """

    service: str
    weight: int


class Route(Message, frozen=True):
    """Configures the requests under one host and path prefix.

    Attributes:
        timeout_ms: longest time that a request may wait.
        target_ms: latency target of an answer.
        rank: priority; 0 is the most urgent.
        max_attempts: number of servers that one request may be sent to.
        keeps_history: whether requests refer to an earlier turn and contain
            only what is new.
        retain_ms: how long a turn can be continued after its end.
        affine: whether requests of a session are better sent to the same
            server.
        resumable: whether another server may resume a stream.
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
    """Properties of the model servers of a service.

    Attributes:
        slots: requests that one server runs at once.
        memory_tokens: capacity of its cache in tokens.
        event_tokens: tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    event_tokens: int


class Service(Message, frozen=True):
    """A set of interchangeable backend servers.

    Attributes:
        health_path: path that answers 200 on a healthy server.
        max_connections: connections that one server accepts from all callers.
        engine: properties of model servers; None for others.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None = None


class CallerLimits(Message, frozen=True):
    """Limits on the size and the duration of callers' requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: int = 3_000
    idle_timeout_ms: int = 15_000


class Routing(Message, frozen=True):
    """A routing document.

    Attributes:
        accounts: accounts that may send requests; None where no API key is
            required.
        source: the document as the operator sent it, to be read back. It
            contains API keys, so keepers don't send it to gateways.
    """

    version: int
    routes: list[Route]
    services: list[Service]
    limits: CallerLimits
    accounts: list[ClientAccount] | None = None
    source: bytes = b""


class PackedRouting(Message, frozen=True):
    """A routing document, compressed for storing and sending.

    A document with thousands of routes has a megabyte. If each keeper sent it
    uncompressed to each gateway, it would fill the link between regions for
    seconds: heartbeats would be delayed, and leaders would lose their lease.

    Each part is encoded and compressed, to a tenth of its size.

    Attributes:
        data: the document without the other parts.
        accounts: the accounts; empty where no API key is required.
        source: the document as the operator sent it; empty in what gateways
            get.
    """

    version: int
    data: bytes
    accounts: bytes = b""
    source: bytes = b""


def pack(routing: Routing) -> PackedRouting:
    """Compresses a document for storing and sending."""
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
    """Decompresses a document; an omitted source stays empty."""
    found: Routing = _routing_decoder.decode(codec.decompress(packed.data))
    source = codec.decompress(packed.source) if packed.source else b""
    return structs.replace(
        found, accounts=unpack_accounts(packed), source=source
    )


def unpack_accounts(packed: PackedRouting) -> list[ClientAccount] | None:
    """Returns the accounts of a packed document."""
    if not packed.accounts:
        return None
    found: list[ClientAccount] = _accounts_decoder.decode(
        codec.decompress(packed.accounts)
    )
    return found


def strip_source(packed: PackedRouting) -> PackedRouting:
    """Returns a document for gateways, without the source and its API keys."""
    return structs.replace(packed, source=b"")


def _compress(data: bytes) -> bytes:
    return zlib.compress(data, _COMPRESSION_LEVEL)


class RouteTable:
    """Finds the route of a request.

    Attributes:
        routing: the routing document.
        accounts: finds the account of a request; None where no API key is
            required.
        services: services by name.
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
        """Returns the route with the longest matching prefix, or None."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def pick_service(route: Route, rng: random.Random) -> str:
    """Returns a service of the route, chosen at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service


_routing_decoder = codec.decoder(Routing)
_accounts_decoder = codec.decoder(list[ClientAccount])


def is_version(version: int) -> bool:
    """Returns whether a number can be the version of a document.

    One beyond the range of messages could never be followed by another.
    """
    return 0 <= version <= _MAX_VERSION


def problems(routing: Routing) -> list[str]:
    """Returns the errors in a document, empty for a valid one.

    They are all errors, unless there are very many.
    """
    found = []
    if not is_version(routing.version):
        found.append("the version is out of range")
    services = {service.name for service in routing.services}
    host_prefixes: set[tuple[str, str]] = set()
    for route in routing.routes:
        host_prefix = (route.host, route.prefix)
        if host_prefix in host_prefixes:
            found.append(f"route {route.name}: {host_prefix} is taken")
        host_prefixes.add(host_prefix)
        found += _route_problems(route, services)
        if len(found) > _MAX_PROBLEMS:
            # A document of megabytes must not keep the process busy.
            return found
    for service in routing.services:
        found += _service_problems(service)
    found += _range_problems("limits", routing.limits, _LIMIT_RANGES)
    return found + accounts.problems(routing.accounts or ())


def without_faults(routing: Routing) -> Routing:
    """Returns a document without the parts that can't be used.

    Earlier releases put documents in force that this one refuses. One part that
    can't be used must not keep the others from being used.
    """
    services = [s for s in routing.services if not _service_problems(s)]
    names = {service.name for service in services}
    usable: dict[tuple[str, str], Route] = {}
    for route in routing.routes:
        if not _route_problems(route, names):
            usable.setdefault((route.host, route.prefix), route)
    has_limits = not _range_problems("limits", routing.limits, _LIMIT_RANGES)
    found = routing.accounts
    return structs.replace(
        routing,
        routes=list(usable.values()),
        services=services,
        limits=routing.limits if has_limits else CallerLimits(),
        accounts=None if found is None else accounts.without_faults(found),
    )


def _route_problems(route: Route, services: Collection[str]) -> list[str]:
    subject = f"route {route.name}"
    found = []
    total = 0
    for share in route.shares:
        total += share.weight
        if share.service not in services:
            found.append(f"{subject}: no service {share.service}")
        if share.weight < 0:
            found.append(f"{subject}: a weight is negative")
        if share.weight > _MAX_WEIGHT:
            found.append(f"{subject}: a weight is out of range")
    if total <= 0:
        found.append(f"{subject}: the weights add up to 0")
    if route.timeout_ms <= 0:
        found.append(f"{subject}: the timeout is 0")
    if not _is_name(route.name):
        found.append(f"{subject}: the name isn't a name")
    if not _is_name(route.host):
        found.append(f"{subject}: the host isn't a name")
    prefix = route.prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        found.append(f"{subject}: the prefix isn't between slashes")
    return found + _range_problems(subject, route, _ROUTE_RANGES)


def _service_problems(service: Service) -> list[str]:
    subject = f"service {service.name}"
    found = _range_problems(subject, service, _SERVICE_RANGES)
    if not _is_name(service.name):
        found.append(f"{subject}: the name isn't a name")
    if service.engine is not None:
        found += _range_problems(subject, service.engine, _ENGINE_RANGES)
    return found


def _range_problems(subject: str, part: Message, ranges: _Ranges) -> list[str]:
    return [
        f"{subject}: {name} is out of range"
        for value, (name, low, high) in zip(
            ranges.values_of(part), ranges.ranges, strict=True
        )
        # A number that is not finite is in no range either.
        if not low <= value <= high
    ]


def _is_name(text: str) -> bool:
    return 0 < len(text) <= _MAX_NAME_LENGTH and text.isprintable()
