"""Client accounts: who sends a request, known by an API key.

Gateways and the log know a key only by its SHA-256. The routing document that
operators read back holds the keys themselves and stays with the keepers.
"""

from __future__ import annotations

import collections
import hashlib
import math
from typing import TYPE_CHECKING

from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Iterable

_MAX_PER_S = 1e9


class Quota(Message, frozen=True):
    """Requests that an account may have served, over all gateways.

    Attributes:
        rate_per_s: on average; 0 for no limit.
        burst: beyond the average at once.
    """

    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether there is a limit."""
        return self.rate_per_s > 0


class ClientAccount(Message, frozen=True):
    """A client account.

    Attributes:
        key_digests: SHA-256 of each of its API keys.
        rank: goes before the rank of its requests' routes; 0 is the most
            urgent, None leaves it to the routes.
    """

    name: str
    key_digests: list[bytes] = []
    rank: int | None = None
    quota: Quota = Quota()


class AccountTable:
    """Finds the account of a request."""

    def __init__(self, accounts: Iterable[ClientAccount]) -> None:
        self._by_digest = {
            key: account for account in accounts for key in account.key_digests
        }

    def find(self, key_digest: bytes) -> ClientAccount | None:
        """Returns the account that holds a key, None where none does."""
        return self._by_digest.get(key_digest)


def digest_of(key: str) -> bytes:
    """Returns how an API key is known; empty for no key."""
    return hashlib.sha256(key.encode()).digest() if key else b""


def problems(accounts: Iterable[ClientAccount]) -> list[str]:
    """Returns everything that is wrong with accounts, empty if nothing."""
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
        if b"" in account.key_digests:
            found.append(f"account {account.name}: an empty key")
        quota = account.quota
        if not _is_plausible(quota.rate_per_s, quota.burst):
            found.append(f"account {account.name}: quota {quota}")
    if "" in names:
        found.append("an account without a name")
    found += [f"account {n}: named twice" for n, c in names.items() if c > 1]
    return found


def _is_plausible(*numbers: float) -> bool:
    return all(math.isfinite(n) and 0 <= n <= _MAX_PER_S for n in numbers)
