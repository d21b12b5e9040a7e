"""Requests of client accounts, counted against their quotas by the leader.

The pattern: an account sends many times its usual. Requests refused wherever
the quota runs out would end most of its programs half-way, with the quota
spent on turns of programs that never finish.

So a program is charged once, at its first turn, with what programs take on
average; when the account has nothing left, new programs are refused and those
under way go on. One that takes many times the average, as a loop without end
does, pays for each turn and waits like a new one. What really runs within a
window is counted besides, and stops everything short of the tolerance.

Each replica counts the turns that it applies. Plain requests are reported to
the leader, which logs what they add up to now and then; the next leader guesses
what came since by the turns that began.
"""

from __future__ import annotations

import collections
import dataclasses
import math
from typing import TYPE_CHECKING

from catkinpin.codec import Message

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.control.accounts import ClientAccount, Quota

_MS = 1_000
# Length of the spans that requests are counted by.
_SPAN_MS = 250
# Part of the tolerance that requests may use; the rest covers those that the
# leader can't know yet.
_USED_TOLERANCE = 0.4
# Turns of a program, and as many plain requests, until some have been seen; and
# what that counts for.
_PROGRAM_TURNS = 4.0
_PROGRAM_WEIGHT = 4.0
# Of a window, what new programs leave to those under way.
_RESERVED_SHARE = 0.15
# Turns, in usual programs' turns, after which one pays for each.
_LONG_PROGRAM = 3.0
# A program spends over so long what it is charged at once.
_PROGRAM_S = 2.0
# Half of the plain requests that are expected and don't come are forgotten in
# this time; most tools are called within a second of a turn.
_EXPECTED_HALF_MS = 3_000
# Which accounts are held back is found out at most so often.
_HELD_BACK_MS = 100
# Asked again sooner, the leader would mostly say the same.
_MIN_WAIT_MS = 50
# Requests in a window up to which any account is learned from.
_MIN_LEARNED = 20
# Programs, or turns, by which an average is learned.
_LEARNED_ITEMS = 400.0


@dataclasses.dataclass(frozen=True)
class QuotaTolerance:
    """How exactly a quota must hold.

    Attributes:
        window_ms: any span of this length counts.
        overage: part of the quota that a window may hold beyond it.
        slack: requests that a window may hold besides.
    """

    window_ms: int = 5_000
    overage: float = 0.0
    slack: float = 0.0

    def requests(self, quota: Quota) -> float:
        """Returns by how much a window may exceed a quota."""
        return self.overage * self.allowed(quota) + self.slack

    def allowed(self, quota: Quota) -> float:
        """Returns what a quota allows in a window."""
        return quota.rate_per_s * self.window_ms / _MS + quota.burst


class AccountUse(Message, frozen=True):
    """Plain requests of an account that were passed on.

    Attributes:
        single: that belong to no program.
        in_programs: that programs sent.
    """

    account: str
    single: int = 0
    in_programs: int = 0

    def plus(self, other: AccountUse | None) -> AccountUse:
        """Returns both together."""
        if other is None:
            return self
        return AccountUse(
            account=self.account,
            single=self.single + other.single,
            in_programs=self.in_programs + other.in_programs,
        )


@dataclasses.dataclass(frozen=True)
class QuotaUse:
    """What an account has used of its quota.

    Attributes:
        used: requests in the last window.
        expected: plain requests of turns that have begun, not counted yet.
        allowed: requests in a window.
        left: what new programs may still be charged.
    """

    account: str
    used: int
    expected: float
    allowed: float
    left: float

    @property
    def used_share(self) -> float:
        """Part of the quota that is used."""
        return self.used / self.allowed


@dataclasses.dataclass
class ThrottledAccounts:
    """Accounts that get no plain requests served, and ms until they do.

    Attributes:
        over: those at the limit of their window.
        spent: those with nothing left for requests of no program.
    """

    over: dict[str, int] = dataclasses.field(default_factory=dict)
    spent: dict[str, int] = dataclasses.field(default_factory=dict)


class _Account:
    """What an account has used."""

    def __init__(self, quota: Quota, now_ms: int, level: float) -> None:
        self.quota = quota
        self.level = level
        self.level_ms = now_ms
        # When the last caller that was refused has been told to come back.
        self.promised_ms = 0
        self.total = 0
        # Plain requests of turns that have begun, not counted yet.
        self.expected = 0.0
        self._spans: collections.deque[tuple[int, int]] = collections.deque()

    def count(self, requests: int, at_ms: int) -> None:
        """Counts requests."""
        span_ms = at_ms // _SPAN_MS * _SPAN_MS
        self.total += requests
        if self._spans and self._spans[-1][0] >= span_ms:
            last_ms, before = self._spans[-1]
            self._spans[-1] = (last_ms, before + requests)
        else:
            self._spans.append((span_ms, requests))

    def expire(self, before_ms: int) -> None:
        """Forgets spans that ended before a time."""
        while self._spans and self._spans[0][0] + _SPAN_MS <= before_ms:
            self.total -= self._spans.popleft()[1]

    def free_ms(self, excess: float, window_ms: int, now_ms: int) -> int:
        """Returns in how many ms so many requests will have left a window."""
        for span_ms, requests in self._spans:
            excess -= requests
            if excess <= 0:
                left_ms = span_ms + _SPAN_MS + window_ms - now_ms
                return max(_MIN_WAIT_MS, left_ms)
        # The rest is expected only, and may never come.
        return _SPAN_MS


class Average:
    """A mean over the last items, from what is known of it before.

    Args:
        items: that the first mean counts for.
        mean: the first one.
    """

    def __init__(self, items: float, mean: float) -> None:
        self._items = items
        self._total = items * mean

    @property
    def mean(self) -> float:
        """Total an item."""
        return self._total / self._items

    def add(self, *, items: int = 0, total: int = 0) -> None:
        """Takes items, and what belongs to any."""
        self._items += items
        self._total += total
        if self._items > _LEARNED_ITEMS:
            self._items /= 2
            self._total /= 2


class Quotas:
    """All accounts with a quota.

    Args:
        tolerance: how exactly the quotas must hold.
    """

    def __init__(self, tolerance: QuotaTolerance) -> None:
        self._tolerance = tolerance
        self._quotas: dict[str, Quota] = {}
        # Those in use; of tens of thousands, few are at one time.
        self._accounts: dict[str, _Account] = {}
        self._held_back = ThrottledAccounts()
        self._held_back_ms = -_HELD_BACK_MS
        self._programs = Average(_PROGRAM_WEIGHT, _PROGRAM_TURNS)
        self._plain = Average(_PROGRAM_WEIGHT * _PROGRAM_TURNS, 1.0)

    @property
    def program_requests(self) -> float:
        """Requests that a program takes on average."""
        return self._programs.mean * self._turn_requests

    @property
    def _turn_requests(self) -> float:
        """Requests of a turn: itself, and those that it brings."""
        return 1 + self._plain.mean

    def configure(self, accounts: Iterable[ClientAccount], now_ms: int) -> None:
        """Takes the quotas in force; what was used stays counted."""
        self._quotas = {
            account.name: account.quota
            for account in accounts
            if account.quota.is_limited
        }
        for name, known in list(self._accounts.items()):
            quota = self._quotas.get(name)
            if quota is None:
                del self._accounts[name]
            else:
                known.quota = quota
        self._held_back_ms = now_ms - _HELD_BACK_MS

    def admission_wait_ms(self, name: str, now_ms: int, *, turns: int) -> int:
        """Returns in how many ms a turn may begin, 0 for now.

        Args:
            name: of the account.
            now_ms: the log's time.
            turns: that its program has had before.
        """
        account = self._account(name, now_ms)
        if account is None:
            return 0
        self._advance(account, now_ms)
        yields = turns == 0 or self._is_long(turns)
        reserve = self._reserve(account.quota) if yields else 0.0
        over_ms = self._over_ms(account, now_ms, reserve)
        if over_ms or not yields or account.level > 0:
            return over_ms
        return self._promise(account, now_ms)

    def count_turn(self, name: str, now_ms: int, *, turns: int) -> None:
        """Counts a turn that begins, and charges for it if that is due."""
        account = self._account(name, now_ms)
        is_long = self._is_long(turns)
        self._plain.add(items=1)
        if not is_long and not self._is_nearly_full(account):
            self._programs.add(items=int(turns == 0), total=1)
        if account is None:
            return
        self._advance(account, now_ms)
        account.count(1, now_ms)
        account.expected += self._plain.mean
        if turns == 0:
            account.level -= self.program_requests
        elif is_long:
            account.level -= self._turn_requests

    def count_use(self, use: AccountUse, now_ms: int) -> None:
        """Counts plain requests."""
        account = self._account(use.account, now_ms)
        self._plain.add(total=use.in_programs)
        if account is None:
            return
        self._advance(account, now_ms)
        account.count(use.single + use.in_programs, now_ms)
        account.expected = max(0.0, account.expected - use.in_programs)
        account.level -= use.single

    def count_expected(self, now_ms: int) -> None:
        """Adds what the leader before may have counted and not logged."""
        for account in self._accounts.values():
            account.count(math.ceil(account.expected), now_ms)
            account.expected = 0.0

    def throttled(self, now_ms: int) -> ThrottledAccounts:
        """Returns the accounts that get no plain requests served now."""
        if now_ms - self._held_back_ms >= _HELD_BACK_MS:
            self._held_back_ms = now_ms
            self._held_back = self._find_held_back(now_ms)
        return self._held_back

    def uses(self) -> list[QuotaUse]:
        """Returns what accounts have used, those that used most first."""
        uses = [use for n in self._accounts if (use := self.use_of(n))]
        return sorted(uses, key=lambda use: -use.used_share)

    def use_of(self, name: str) -> QuotaUse | None:
        """Returns what an account has used, None where it used nothing."""
        account = self._accounts.get(name)
        if account is None:
            return None
        return QuotaUse(
            account=name,
            used=account.total,
            expected=round(account.expected, 1),
            allowed=round(self._tolerance.allowed(account.quota), 1),
            left=round(account.level, 1),
        )

    def _find_held_back(self, now_ms: int) -> ThrottledAccounts:
        found = ThrottledAccounts()
        for name, account in list(self._accounts.items()):
            self._advance(account, now_ms)
            if self._is_idle(account):
                del self._accounts[name]
                continue
            if over_ms := self._over_ms(account, now_ms, 0.0):
                found.over[name] = over_ms
            if account.level <= 0:
                found.spent[name] = self._room_ms(account)
        return found

    def _account(self, name: str, now_ms: int) -> _Account | None:
        """Returns an account that has a quota, None for another one."""
        account = self._accounts.get(name)
        if account is None and (quota := self._quotas.get(name)) is not None:
            account = _Account(quota, now_ms, self._capacity(quota))
            self._accounts[name] = account
        return account

    def _is_idle(self, account: _Account) -> bool:
        """Returns whether an account is as if it had never been used."""
        is_full = account.level >= self._capacity(account.quota)
        return is_full and not account.total and account.expected < 1

    def _capacity(self, quota: Quota) -> float:
        tolerance = self._tolerance.requests(quota)
        spread = quota.rate_per_s * _PROGRAM_S
        return quota.burst + spread + _USED_TOLERANCE * tolerance

    def _reserve(self, quota: Quota) -> float:
        """Returns what is left in a window for programs under way."""
        return _RESERVED_SHARE * self._tolerance.allowed(quota)

    def _advance(self, account: _Account, now_ms: int) -> None:
        account.expire(now_ms - self._tolerance.window_ms)
        passed_ms = max(0, now_ms - account.level_ms)
        account.expected *= 0.5 ** (passed_ms / _EXPECTED_HALF_MS)
        account.level_ms = max(account.level_ms, now_ms)
        account.level = min(
            self._capacity(account.quota),
            account.level + account.quota.rate_per_s * passed_ms / _MS,
        )

    def _is_long(self, turns: int) -> bool:
        """Returns whether a program takes many times the usual turns."""
        return turns > _LONG_PROGRAM * self._programs.mean

    def _over_ms(self, account: _Account, now_ms: int, reserve: float) -> int:
        """Returns how long a window is full, but for a reserve; 0: not."""
        quota = account.quota
        limit = self._tolerance.allowed(quota) - reserve
        limit += _USED_TOLERANCE * self._tolerance.requests(quota)
        excess = account.total + account.expected + 1 - limit
        if excess <= 0 or account.total + account.expected < 1:
            return 0
        return account.free_ms(excess, self._tolerance.window_ms, now_ms)

    def _is_nearly_full(self, account: _Account | None) -> bool:
        """Returns whether turns of the account's programs may be refused."""
        if account is None:
            return False
        quota = account.quota
        limit = self._tolerance.allowed(quota) - self._reserve(quota)
        return account.total + account.expected > max(limit, _MIN_LEARNED)

    def _room_ms(self, account: _Account) -> int:
        """Returns how long until an account has something left."""
        return int(-account.level * _MS / account.quota.rate_per_s) + 1

    def _promise(self, account: _Account, now_ms: int) -> int:
        """Returns in how many ms there is room for one more new program.

        Each caller is told a time of its own: told the same, they would
        return together and most be refused again.
        """
        room_ms = now_ms + self._room_ms(account)
        step_ms = int(self.program_requests * _MS / account.quota.rate_per_s)
        promised_ms = max(room_ms, account.promised_ms + step_ms)
        if promised_ms > now_ms + self._tolerance.window_ms:
            promised_ms = room_ms
        account.promised_ms = promised_ms
        return promised_ms - now_ms
