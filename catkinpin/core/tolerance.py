"""Which losses a deployment tolerates, and what must be stored where for that.

Some hosts, some failure domains or some regions may be lost at the same time.
A turn survives if a copy of it remains, the control group if a majority of its
voters does. Everything that chooses a place for something durable asks the
functions of this module.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import itertools
from typing import TYPE_CHECKING, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Sequence

# All combinations of voters are compared, so the candidates must be few.
_MAX_CANDIDATES = 12


class Loss(enum.StrEnum):
    """Kind of what may be lost as a whole."""

    HOSTS = "hosts"
    DOMAINS = "failure domains"
    REGIONS = "regions"


@dataclasses.dataclass(frozen=True)
class Tolerance:
    """How many of each kind may be lost at the same time.

    The loss of a region includes that of its failure domains, and the loss of
    a failure domain that of its hosts.

    Attributes:
        hosts: number of hosts.
        domains: number of failure domains.
        regions: number of regions.
    """

    hosts: int = 0
    domains: int = 0
    regions: int = 0

    @property
    def copies(self) -> int:
        """Number of hosts that must store a turn."""
        return 1 + max(self.hosts, self.domains, self.regions)

    @property
    def limits(self) -> tuple[tuple[Loss, int], ...]:
        """The number that may be lost of each kind of which any may."""
        return tuple(pair for pair in self._all() if pair[1])

    def _all(self) -> tuple[tuple[Loss, int], ...]:
        return (
            (Loss.HOSTS, self.hosts),
            (Loss.DOMAINS, self.domains),
            (Loss.REGIONS, self.regions),
        )

    def described(self) -> dict[str, int]:
        """Returns the fields of a log line."""
        return {f"tolerated_{loss.name.lower()}": n for loss, n in self._all()}

    @property
    def is_by_place(self) -> bool:
        """Whether failure domains or regions may be lost."""
        return bool(self.domains or self.regions)


def tolerance_of(*, hosts: int, domains: int, regions: int) -> Tolerance:
    """Returns the tolerance of settings, with the losses that these include."""
    domains = max(domains, regions)
    return Tolerance(max(hosts, domains), domains, regions)


class Located(Protocol):
    """A host and its place; a domain or region that isn't known is empty."""

    @property
    def node(self) -> str:
        """Identity of the host."""

    @property
    def domain(self) -> str:
        """Failure domain of the host."""

    @property
    def region(self) -> str:
        """Region of the host."""


@dataclasses.dataclass(frozen=True)
class Location:
    """A host and its place."""

    node: str
    domain: str = ""
    region: str = ""


HostT = TypeVar("HostT", bound=Located)


# Copies, of which one must remain.


def unkept_by_copies(
    holders: Collection[Located], tolerance: Tolerance
) -> list[Loss]:
    """Returns the kinds of tolerated losses after which no copy may remain."""
    return [
        loss
        for loss, limit in tolerance.limits
        if len(_places(holders, loss)) <= limit
    ]


def are_enough_copies(
    holders: Collection[Located],
    others: Collection[Located],
    tolerance: Tolerance,
) -> bool:
    """Returns whether copies at `holders` suffice.

    They do if there are as many as asked for and a copy at one of the `others`
    would not help to survive a tolerated loss.
    """
    if len(holders) < tolerance.copies:
        return False
    return not tolerance.is_by_place or not any(
        any(gain_of_copy(other, holders, tolerance)) for other in others
    )


def next_holder(
    ranked: Sequence[HostT],
    holders: Collection[Located],
    tolerance: Tolerance,
) -> HostT:
    """Returns the host for the next copy.

    Args:
        ranked: hosts to choose from, the best first; not empty.
        holders: hosts that have a copy or are about to get one.
        tolerance: which losses must be survived.

    Returns:
        The first host in a region that is still needed, else the first one in
        a failure domain that is, else the first one.
    """
    if not tolerance.is_by_place:
        return ranked[0]
    return max(ranked, key=lambda host: gain_of_copy(host, holders, tolerance))


def select_holders(
    ranked: Sequence[HostT], tolerance: Tolerance
) -> list[HostT]:
    """Returns as many hosts as copies are needed, spread over their places."""
    rest = list(ranked)
    selected: list[HostT] = []
    while rest and len(selected) < tolerance.copies:
        selected.append(next_holder(rest, selected, tolerance))
        rest.remove(selected[-1])
    return selected


def gain_of_copy(
    host: Located, holders: Collection[Located], tolerance: Tolerance
) -> tuple[bool, bool]:
    """Returns whether a copy at `host` would add a needed region, and domain.

    Of two hosts the one with the larger result is the better target.
    """
    return (
        _adds_place(host, holders, Loss.REGIONS, tolerance.regions),
        _adds_place(host, holders, Loss.DOMAINS, tolerance.domains),
    )


def _adds_place(
    host: Located, holders: Collection[Located], loss: Loss, limit: int
) -> bool:
    """Returns whether `host` is in a place that is still needed."""
    if not limit:
        return False
    places = _places(holders, loss)
    place = _place_of(host, loss)
    return len(places) <= limit and bool(place) and place not in places


# Voters, of which a majority must remain.


def unkept_by_voters(
    voters: Collection[Located], tolerance: Tolerance
) -> list[Loss]:
    """Returns the kinds of tolerated losses that may take the majority."""
    return [
        loss
        for loss, limit in tolerance.limits
        if _count_survived(voters, loss, limit) < limit
    ]


def survived_by_voters(
    voters: Collection[Located], tolerance: Tolerance
) -> tuple[int, ...]:
    """Returns how many of each kind of tolerated loss leave a majority."""
    return tuple(
        _count_survived(voters, loss, limit) for loss, limit in tolerance.limits
    )


def select_voters(
    voters: Collection[Located],
    candidates: Sequence[HostT],
    silent: Collection[str],
    tolerance: Tolerance,
    max_voters: int,
) -> list[HostT]:
    """Returns the replicas that should vote.

    The set that survives most of the tolerated losses is the best one, then a
    larger one, then one with fewer silent voters. Of equal sets the one that is
    nearest to the present voters is taken, so that they change only for a
    better set.

    Args:
        voters: the present voters.
        candidates: replicas to choose from, the best first; not empty.
        silent: identities of candidates that have not answered for long.
        tolerance: which losses must be survived.
        max_voters: largest number of voters, unless the losses need more.
    """
    present = {voter.node for voter in voters}
    # A majority must remain of them.
    needed = 2 * tolerance.copies - 1
    pool = _spread(candidates, _MAX_CANDIDATES)
    largest = min(max(max_voters, needed), len(pool))

    def cost(chosen: tuple[HostT, ...]) -> tuple[int, ...]:
        nodes = {host.node for host in chosen}
        survived = survived_by_voters(chosen, tolerance)
        return (
            *(-count for count in survived),
            -len(chosen),
            len(nodes.intersection(silent)),
            len(nodes ^ present),
        )

    sets = [
        chosen
        for size in range(1, largest + 1)
        for chosen in itertools.combinations(pool, size)
    ]
    best = min(sets, key=cost)
    return list(best)


def _count_survived(voters: Collection[Located], loss: Loss, limit: int) -> int:
    """Returns how many hosts or places, up to `limit`, may be lost."""
    dispensable = (len(voters) - 1) // 2
    if loss is Loss.HOSTS:
        return min(limit, dispensable)
    counts = collections.Counter(_place_of(voter, loss) for voter in voters)
    lost_voters = 0
    largest = sorted(counts.values(), reverse=True)[:limit]
    for survived, count in enumerate(largest):
        lost_voters += count
        if lost_voters > dispensable:
            return survived
    return limit


def _spread(candidates: Iterable[HostT], count: int) -> list[HostT]:
    """Returns the best candidates of each failure domain, in their order."""
    ordered = list(candidates)
    if len(ordered) <= count:
        return ordered
    rank_in_domain: collections.Counter[str] = collections.Counter()
    ranks: dict[str, int] = {}
    for host in ordered:
        ranks[host.node] = rank_in_domain[host.domain]
        rank_in_domain[host.domain] += 1
    kept = sorted(ordered, key=lambda host: ranks[host.node])[:count]
    return [host for host in ordered if host in kept]


def _places(hosts: Iterable[Located], loss: Loss) -> set[str]:
    """Returns the known places of hosts, by the kind of loss."""
    return {place for host in hosts if (place := _place_of(host, loss))}


def _place_of(host: Located, loss: Loss) -> str:
    match loss:
        case Loss.HOSTS:
            return host.node
        case Loss.DOMAINS:
            return host.domain
        case Loss.REGIONS:
            return host.region
