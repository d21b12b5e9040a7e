"""Operators' configuration: accounts, deployments and drains."""

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
# Key for the accounts that no deployment names; no account has this name.
_UNNAMED_ACCOUNTS = ""
SCOPES = (SCOPE_SERVER, SCOPE_HOST, SCOPE_DOMAIN, SCOPE_REGION)


class Limits(Message, frozen=True):
    """Limits on the calls of an account or a deployment; 0 means no limit.

    Attributes:
        calls_running: calls that occupy a backend server at the same time.
        calls_per_second: calls admitted per second on average.
        queue: calls that wait for a backend server at the same time.
    """

    calls_running: int = 0
    calls_per_second: float = 0.0
    queue: int = 0


class Account(Message, frozen=True):
    """A caller's account.

    Attributes:
        key_sha256: SHA-256 of the account's API key in hex; the key itself is
            not stored anywhere.
    """

    name: str
    key_sha256: str
    limits: Limits = Limits()


class ServerSet(Message, frozen=True):
    """Backend servers by name, failure domain or region.

    A server that matches any of them belongs to the set; without names,
    failure domains and regions, all servers do.

    Attributes:
        off: names of servers that never belong to the set.
    """

    names: list[str] = []
    failure_domains: list[str] = []
    regions: list[str] = []
    off: list[str] = []

    def contains(self, report: ServerReport) -> bool:
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
    """Who may use which targets, on which servers and within which limits.

    Attributes:
        targets: names of models and services.
        accounts: accounts that may use the deployment; empty for all.
        versions: versions by target, for targets that have one.
        servers: backend servers that may run its programs' calls.
        budget_tokens: tokens that a program and its sub-agents may spend.
        budget_turns: calls that a program may make; 0 for no limit.
        budget_seconds: time from a program's first call to its last; 0 for no
            limit.
        idle_timeout_seconds: time without a call after which a program has
            ended; 0 for the default.
        priority: calls with a higher priority go first.
        interactive: whether a person waits for the answers.
        limits: limits on the calls of the deployment's programs.
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
    """Excludes backend servers from new work of all deployments.

    Attributes:
        scope: one of `SCOPES`.
        name: name of the server, failure domain or region, or the host's IP
            address.
    """

    scope: str
    name: str

    def covers(self, report: ServerReport) -> bool:
        """Returns whether this drain applies to the server."""
        name_by_scope = {
            SCOPE_SERVER: report.server,
            SCOPE_HOST: parse_host(report.address),
            SCOPE_DOMAIN: report.domain,
            SCOPE_REGION: report.region,
        }
        return name_by_scope.get(self.scope) == self.name


Item = Account | Deployment | Drain


class ItemKey(Message, frozen=True):
    """Identifies an item of the configuration."""

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
    host_port = address.rpartition("//")[2].partition("/")[0]
    return host_port.rpartition(":")[0].strip("[]")


class Configuration:
    """Operators' configuration at one revision; immutable.

    Args:
        items: accounts, deployments and drains.

    Attributes:
        accounts: accounts by name.
        deployments: deployments ordered by name; the first one that matches a
            call applies to it.
        drains: places that get no new work.
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
        self._by_account: dict[str, list[int]] | None = None
        self._by_name = {
            deployment.name: deployment for deployment in self.deployments
        }

    def items(self) -> list[Item]:
        """Returns all items."""
        return [*self.accounts.values(), *self.deployments, *self.drains]

    def with_changes(
        self, upserts: Iterable[Item], removes: Iterable[ItemKey]
    ) -> Configuration:
        """Returns a new configuration with items replaced and removed."""
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
        """Returns the first deployment that lets `account` use `target`."""
        if account not in self.accounts:
            return None
        if self._by_account is None:
            self._by_account = self._index_by_account()
        for index in self._by_account.get(
            account, self._by_account[_UNNAMED_ACCOUNTS]
        ):
            if target in self.deployments[index].targets:
                return self.deployments[index]
        return None

    def _index_by_account(self) -> dict[str, list[int]]:
        """Returns the indexes of the deployments that each account may use.

        A replica looks up the deployment of every call. Searching hundreds of
        deployments with all their accounts takes a tenth of a millisecond.
        """
        for_all = [
            index
            for index, deployment in enumerate(self.deployments)
            if not deployment.accounts
        ]
        named: dict[str, set[int]] = collections.defaultdict(set)
        for index, deployment in enumerate(self.deployments):
            for account in deployment.accounts:
                named[account].add(index)
        found = {
            account: sorted(indexes.union(for_all))
            for account, indexes in named.items()
        }
        found[_UNNAMED_ACCOUNTS] = for_all
        return found

    def is_drained(self, report: ServerReport) -> bool:
        """Returns whether a drain applies to the server."""
        return any(drain.covers(report) for drain in self.drains)

    def is_place_drained(self, host: str, domain: str, region: str) -> bool:
        """Returns whether a host, its failure domain or region is drained."""
        name_by_scope = {
            SCOPE_HOST: host,
            SCOPE_DOMAIN: domain,
            SCOPE_REGION: region,
        }
        return any(
            name_by_scope.get(drain.scope) == drain.name
            for drain in self.drains
        )

    def allows(self, deployment: str, report: ServerReport) -> bool:
        """Returns whether the server may take new calls of the deployment."""
        found = self._by_name.get(deployment)
        if found is None or self.is_drained(report):
            return False
        return found.servers.contains(report)
