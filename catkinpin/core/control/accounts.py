"""Client accounts, which requests are assigned to by API key.

Gateways and the log have only the SHA-256 digest of a key. The keys themselves
are in the routing document that operators read back, which only keepers store.
"""

from __future__ import annotations

import collections
import hashlib
import math
from typing import TYPE_CHECKING

from msgspec import structs

from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_QUOTA_REQUESTS = 1e9
# Highest rank of an account or a route.
MAX_RANK = 1_000_000
_MAX_NAME_LENGTH = 256


class Quota(Message, frozen=True):
    """Limit of an account's requests, over all gateways.

    Attributes:
        rate_per_s: average requests per second; 0 for no limit.
        burst: requests at once beyond the average.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the quota limits requests."""
        return self.rate_per_s > 0


class ClientAccount(Message, frozen=True):
    """A client account.

    Attributes:
        key_digests: SHA-256 of each of its API keys.
        rank: priority that replaces the rank of the requests' routes; 0 is the
            most urgent, None keeps the routes' ranks.
    """

    name: str
    key_digests: list[bytes] = []
    rank: int | None = None
    quota: Quota = Quota()


class AccountTable:
    """Finds the account that an API key belongs to."""

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._by_digest = {
            key: account for account in accounts for key in account.key_digests
        }

    def find(self, key_digest: bytes) -> ClientAccount | None:
        """Returns the account with a key, None if there is none."""
        return self._by_digest.get(key_digest)


def digest_of(key: str) -> bytes:
    """Returns the SHA-256 digest of an API key; empty for no key."""
    return hashlib.sha256(key.encode()).digest() if key else b""


def problems(accounts: Iterable[ClientAccount]) -> list[str]:
    """Returns all errors in accounts, empty for valid ones."""
    found = []
    holders: dict[bytes, str] = {}
    names: collections.Counter[str] = collections.Counter()
    for account in accounts:
        names[account.name] += 1
        for key in account.key_digests:
            holder = holders.setdefault(key, account.name)
            if holder != account.name:
                found.append(f"accounts {holder}, {account.name}: one key")
        if not account.name.isprintable():
            found.append(f"account {account.name!r}: the name isn't printable")
        if len(account.name) > _MAX_NAME_LENGTH:
            found.append("an account's name is too long")
        if b"" in account.key_digests:
            found.append(f"account {account.name}: an empty key")
        quota = account.quota
        if not _is_plausible(quota.rate_per_s, quota.burst):
            found.append(f"account {account.name}: quota {quota}")
        if not _is_rank(account.rank):
            found.append(f"account {account.name}: the rank is out of range")
    if "" in names:
        found.append("an account without a name")
    found += [f"account {n}: named twice" for n, c in names.items() if c > 1]
    return found


def without_faults(accounts: Iterable[ClientAccount]) -> list[ClientAccount]:
    """Returns accounts without the quotas and ranks that can't be used.

    An account without them still serves its callers.
    """
    found = []
    for account in accounts:
        quota = account.quota
        if not _is_plausible(quota.rate_per_s, quota.burst):
            quota = Quota()
        rank = account.rank if _is_rank(account.rank) else None
        found.append(structs.replace(account, quota=quota, rank=rank))
    return found


def _is_rank(rank: int | None) -> bool:
    return rank is None or 0 <= rank <= MAX_RANK


def _is_plausible(*numbers: float) -> bool:
    return all(
        math.isfinite(n) and 0 <= n <= _MAX_QUOTA_REQUESTS for n in numbers
    )
