"""What operators decide: accounts, deployments, drains, as checked values."""

from __future__ import annotations

import collections
import functools
from typing import TYPE_CHECKING

from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.messages import ServerReport

SCOPE_SERVER = "server"
SCOPE_HOST = "host"
SCOPE_DOMAIN = "domain"
SCOPE_REGION = "region"
# Stands for accounts that no deployment names; no account has this name.
_ANYONE = ""
SCOPES = (SCOPE_SERVER, SCOPE_HOST, SCOPE_DOMAIN, SCOPE_REGION)


class Limits(Message, frozen=True):
    """Bounds on what an account or a deployment has at work; 0: no bound.

    Attributes:
        calls_running: calls that hold a backend server at one time.
        calls_per_second: calls admitted a second, averaged.
        queue: calls that wait for a backend server at one time.
    """

    calls_running: int = 0
    calls_per_second: float = 0.0
    queue: int = 0


class Account(Message, frozen=True):
    """A caller's account.

    Attributes:
        key_sha256: SHA-256 of the account's API key, in hex; the key itself is
            nowhere stored.
    """

    name: str
    key_sha256: str
    limits: Limits = Limits()


class ServerSet(Message, frozen=True):
    """Backend servers by name, failure domain or region; empty: all.

    Attributes:
        off: names of servers that are taken off whatever else says.
    """

    names: list[str] = []
    failure_domains: list[str] = []
    regions: list[str] = []
    off: list[str] = []

    def holds(self, report: ServerReport) -> bool:
        """Returns whether the server belongs to the set."""
        if report.server in self.off:
            return False
        if not (self.names or self.failure_domains or self.regions):
            return True
        return (
            report.server in self.names
            or report.domain in self.failure_domains
            or report.region in self.regions
        )


class Deployment(Message, frozen=True):
    """Which programs may run, where, under which budget and priority.

    Attributes:
        targets: names of models and services.
        accounts: accounts whose programs may run; empty: all.
        versions: version by target, for targets that have one.
        servers: where its programs' calls may run.
        budget_tokens: tokens that one program with its sub-agents may spend.
        budget_turns: calls that one program may make; 0: no bound.
        budget_seconds: time from first call to last; 0: no bound.
        idle_timeout_seconds: a program without a call for so long has ended;
            0: the default.
        priority: higher goes first.
        interactive: whether a person waits for the answers.
    """

    name: str
    targets: list[str]
    accounts: list[str] = []
    versions: dict[str, str] = {}
    servers: ServerSet = ServerSet()
    budget_tokens: int = 1_000_000
    budget_turns: int = 0
    budget_seconds: int = 0
    idle_timeout_seconds: int = 0
    priority: int = 0
    interactive: bool = False
    limits: Limits = Limits()


class Drain(Message, frozen=True):
    """Backend servers that get no new work from any deployment.

    Attributes:
        scope: one of `SCOPES`; `host` is the IP of the server's address.
        name: the server, host, failure domain or region.
    """

    scope: str
    name: str

    def covers(self, report: ServerReport) -> bool:
        """Returns whether the server is drained by this."""
        place = {
            SCOPE_SERVER: report.server,
            SCOPE_HOST: parse_host(report.address),
            SCOPE_DOMAIN: report.domain,
            SCOPE_REGION: report.region,
        }
        return place.get(self.scope) == self.name


Item = Account | Deployment | Drain


class ItemKey(Message, frozen=True):
    """Names an item of the configuration."""

    kind: str
    name: str


def key_of(item: Item) -> ItemKey:
    """Returns the key of an item."""
    match item:
        case Account():
            return ItemKey(kind="account", name=item.name)
        case Deployment():
            return ItemKey(kind="deployment", name=item.name)
        case Drain():
            return ItemKey(kind="drain", name=f"{item.scope}:{item.name}")


@functools.lru_cache(maxsize=4096)
def parse_host(address: str) -> str:
    """Returns the IP in an address such as `http://10.0.0.1:80`."""
    place = address.rpartition("//")[2].partition("/")[0]
    return place.rpartition(":")[0].strip("[]")


class Configuration:
    """Everything operators decide, at one revision; never changed in place.

    Attributes:
        accounts: by name.
        deployments: in the order of their names; the first that fits a call
            decides about it.
        drains: what gets no new work.
    """

    def __init__(self, items: Iterable[Item] = ()) -> None:
        self.accounts: dict[str, Account] = {}
        self.deployments: list[Deployment] = []
        self.drains: list[Drain] = []
        for item in items:
            match item:
                case Account():
                    self.accounts[item.name] = item
                case Deployment():
                    self.deployments.append(item)
                case Drain():
                    self.drains.append(item)
        self.deployments.sort(key=lambda deployment: deployment.name)
        self._places: dict[str, list[int]] | None = None
        self._by_name = {one.name: one for one in self.deployments}

    def items(self) -> list[Item]:
        """Returns all items."""
        return [*self.accounts.values(), *self.deployments, *self.drains]

    def with_changes(
        self, upserts: Iterable[Item], removes: Iterable[ItemKey]
    ) -> Configuration:
        """Returns a configuration with items replaced and removed."""
        items = {key_of(item): item for item in self.items()}
        for key in removes:
            items.pop(key, None)
        for item in upserts:
            items[key_of(item)] = item
        return Configuration(items.values())

    def deployment(self, name: str) -> Deployment | None:
        """Returns a deployment by its name."""
        return self._by_name.get(name)

    def deployment_for(self, account: str, target: str) -> Deployment | None:
        """Returns the deployment that lets `account` use `target`."""
        if account not in self.accounts:
            return None
        if self._places is None:
            self._places = self._index()
        for place in self._places.get(account, self._places[_ANYONE]):
            if target in self.deployments[place].targets:
                return self.deployments[place]
        return None

    def _index(self) -> dict[str, list[int]]:
        """Returns, by account, the places of the deployments open to it.

        A replica asks for each call; going through hundreds of deployments
        with all their accounts would cost it a tenth of a millisecond.
        """
        for_all = [
            place
            for place, deployment in enumerate(self.deployments)
            if not deployment.accounts
        ]
        named: dict[str, set[int]] = collections.defaultdict(set)
        for place, deployment in enumerate(self.deployments):
            for account in deployment.accounts:
                named[account].add(place)
        found = {
            account: sorted(places.union(for_all))
            for account, places in named.items()
        }
        found[_ANYONE] = for_all
        return found

    def drained(self, report: ServerReport) -> bool:
        """Returns whether the server gets no new work from anyone."""
        return any(drain.covers(report) for drain in self.drains)

    def is_place_drained(self, host: str, domain: str, region: str) -> bool:
        """Returns whether a host, its failure domain or region is drained."""
        place = {SCOPE_HOST: host, SCOPE_DOMAIN: domain, SCOPE_REGION: region}
        return any(
            place.get(drain.scope) == drain.name for drain in self.drains
        )

    def allows(self, deployment: str, report: ServerReport) -> bool:
        """Returns whether the deployment's calls may go to the server now."""
        found = self._by_name.get(deployment)
        if found is None or self.drained(report):
            return False
        return found.servers.holds(report)
