"""Divides the capacity of a service among client accounts.

A quota caps an account, but below its quota one account could take all the
capacity. While capacity is short, each account therefore gets its max-min fair
share of the slot time: what one account leaves unused goes to the others.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

# Usage is halved with each of these periods.
_HALF_LIFE_MS = 2_000.0
# An account that uses one slot all the time has this usage.
_MS_PER_SLOT = _HALF_LIFE_MS / math.log(2)
# Usage varies around the share by some percent. Within these ratios to its
# share, an account is treated as if there were no shares.
_BELOW_RATIO = 0.8
_ABOVE_RATIO = 1.1
# An account without activity for this long is dropped; its usage has fallen to
# a thousandth by then.
_MAX_IDLE_MS = 20_000
# Demands that differ from the capacity by less than this count as satisfied, as
# sums of the same numbers in different orders differ in the last digits.
_ROUNDING_RATIO = 1e-9
# Limit of tracked accounts; above it, the least recently used is dropped.
_MAX_ACCOUNTS = 2_000


def max_min_shares(
    capacity: float,
    demands: Mapping[str, float],
    weights: Mapping[str, float],
) -> dict[str, float]:
    """Returns the max-min fair share of each account.

    Args:
        capacity: what is divided.
        demands: what each account asks for.
        weights: weight of an account; 1 where there is none.
    """
    level = _fair_level(capacity, demands, weights)
    return {
        name: min(demand, level * weights.get(name, 1.0))
        for name, demand in demands.items()
    }


def _fair_level(
    capacity: float,
    demands: Mapping[str, float],
    weights: Mapping[str, float],
) -> float:
    """Returns the share per weight of the accounts that get less than they ask.

    Returns:
        Infinity if all get what they ask for.
    """
    by_ratio = sorted(
        (demand / weights.get(name, 1.0), demand, weights.get(name, 1.0))
        for name, demand in demands.items()
    )
    left = max(0.0, capacity)
    tolerance = _ROUNDING_RATIO * left
    weight_left = sum(weight for _, _, weight in by_ratio)
    for ratio, demand, weight in by_ratio:
        if ratio * weight_left > left + tolerance:
            return max(0.0, left) / weight_left
        left -= demand
        weight_left -= weight
    return math.inf


class Standing(enum.StrEnum):
    """How an account's usage compares with its share."""

    BELOW = "below"
    ABOVE = "above"
    NEUTRAL = "neutral"


@dataclasses.dataclass
class _Usage:
    """Usage of one account.

    Attributes:
        slot_ms: slot time that it used, decayed.
        refused_ms: slot time of programs that were refused, decayed.
        at_ms: the time as of which both are current.
    """

    at_ms: int
    slot_ms: float = 0.0
    refused_ms: float = 0.0

    def advance(self, now_ms: int) -> None:
        """Applies the decay up to a time."""
        if now_ms > self.at_ms:
            factor = math.pow(0.5, (now_ms - self.at_ms) / _HALF_LIFE_MS)
            self.slot_ms *= factor
            self.refused_ms *= factor
            self.at_ms = now_ms


class Shares:
    """Tracks the usage of the accounts of one service.

    Args:
        weights: Weight of an account; 1 where there is none.
    """

    def __init__(self, weights: Mapping[str, float]) -> None:
        self._weights = weights
        # The least recently active first.
        self._accounts: collections.OrderedDict[str, _Usage] = (
            collections.OrderedDict()
        )
        self._level = math.inf

    def __len__(self) -> int:
        return len(self._accounts)

    def charge(self, account: str, slot_ms: float, now_ms: int) -> None:
        """Adds slot time that an account uses; a negative one corrects it."""
        usage = self._touch(account, now_ms)
        usage.slot_ms = max(0.0, usage.slot_ms + slot_ms)

    def record_refusal(self, account: str, slot_ms: float, now_ms: int) -> None:
        """Adds slot time that an account asked for and did not get."""
        self._touch(account, now_ms).refused_ms += slot_ms

    def update(self, capacity: float, now_ms: int) -> None:
        """Computes the shares again; called several times per second.

        It sorts the accounts, so it is not part of a decision.
        """
        while self._accounts:
            name, usage = next(iter(self._accounts.items()))
            if now_ms - usage.at_ms <= _MAX_IDLE_MS:
                break
            del self._accounts[name]
        demands = {}
        used = 0.0
        for name, usage in self._accounts.items():
            age_ms = max(0, now_ms - usage.at_ms)
            slots = math.pow(0.5, age_ms / _HALF_LIFE_MS) / _MS_PER_SLOT
            demands[name] = (usage.slot_ms + usage.refused_ms) * slots
            used += usage.slot_ms * slots
        # Usage follows a burst with a delay. Compared with the whole capacity,
        # the account that sends the burst would be below its share for seconds.
        divided = min(capacity, used)
        self._level = _fair_level(divided, demands, self._weights)

    def share(self, account: str) -> float:
        """Returns the slots that an account may use while capacity is short.

        Returns:
            Infinity while all accounts get what they ask for.
        """
        return self._level * self._weights.get(account, 1.0)

    def used_slots(self, account: str, now_ms: int) -> float:
        """Returns how many slots an account used lately on average."""
        usage = self._accounts.get(account)
        if usage is None:
            return 0.0
        age_ms = max(0, now_ms - usage.at_ms)
        decay = math.pow(0.5, age_ms / _HALF_LIFE_MS)
        return usage.slot_ms * decay / _MS_PER_SLOT

    def standing(self, account: str, now_ms: int) -> Standing:
        """Returns how an account's usage compares with its share.

        It is neutral while there is no other account to share with, while all
        accounts get what they ask for, and near the share.
        """
        if len(self._accounts) < 2 or math.isinf(self._level):
            return Standing.NEUTRAL
        used = self.used_slots(account, now_ms)
        if used > _ABOVE_RATIO * self.share(account):
            return Standing.ABOVE
        if used < _BELOW_RATIO * self.share(account):
            return Standing.BELOW
        return Standing.NEUTRAL

    def retain(self, accounts: Collection[str]) -> None:
        """Drops the accounts that no longer exist.

        Programs without an account count as the account with an empty name,
        which always exists.
        """
        for name in [*self._accounts]:
            if name and name not in accounts:
                del self._accounts[name]

    def _touch(self, account: str, now_ms: int) -> _Usage:
        usage = self._accounts.setdefault(account, _Usage(now_ms))
        usage.advance(now_ms)
        self._accounts.move_to_end(account)
        if len(self._accounts) > _MAX_ACCOUNTS:
            self._accounts.popitem(last=False)
        return usage
