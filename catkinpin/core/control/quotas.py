"""Counts the requests of client accounts against their quotas.

An account may send many times its usual load. If each request beyond the quota
were refused, most of its programs would be cut off half-way, and the quota
would go to turns of programs that never finish.

The leader therefore charges a program once, at its first turn, with the average
number of requests of a program. An account without credit gets no new programs,
but its running programs continue. A program with many times the average turns,
such as an endless loop, is charged for each further turn and waits like a new
one.
Besides, the leader counts what ran within a sliding window, and refuses all
requests shortly before the window exceeds the quota and its tolerance.

Each replica counts the turns that it applies. Gateways report plain requests
(to application services, thus not turns) to the leader; it logs their sums
periodically. A new leader estimates the unlogged ones from the turns that
began.
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

_MS_PER_S = 1_000
# Requests are counted in time buckets of this length.
_BUCKET_MS = 250
# Share of the tolerance that counted requests may use. The rest covers requests
# that have not been reported to the leader yet.
_TOLERANCE_SHARE = 0.4
# Assumed average before programs are observed: turns per program, each with one
# plain request; and the number of observed programs that it weighs as much as.
_PRIOR_TURNS = 4.0
_PRIOR_PROGRAMS = 4.0
# Share of a window that new programs must leave to running programs.
_RESERVED_WINDOW_SHARE = 0.15
# A program with more than this many times the average turns is charged for each
# further turn.
_LONG_PROGRAM_RATIO = 3.0
# A program is charged at once, but sends its requests over about this time.
_CHARGE_SPREAD_S = 2.0
# Half-life of expected plain requests that don't arrive; most tools are called
# within a second of a turn.
_EXPECTED_HALF_LIFE_MS = 3_000
# Minimum interval between two searches for throttled accounts.
_THROTTLE_CHECK_MS = 100
# Shortest retry delay: an earlier retry would mostly get the same reply.
_MIN_RETRY_MS = 50
# Accounts with at most this many requests in a window always count towards the
# averages.
_MIN_SAMPLED_REQUESTS = 20
# Above this many programs or turns, an average halves the weight of all that it
# has observed.
_MAX_SAMPLE_ITEMS = 400.0


@dataclasses.dataclass(frozen=True)
class QuotaTolerance:
    """Bounds by how much an account may exceed its quota.

    Attributes:
        window_ms: length of the sliding window that the bound holds for.
        overage: share of a window's quota that may run in addition to it.
        slack: number of requests that may run in addition to both.
    """

    window_ms: int = 5_000
    overage: float = 0.0
    slack: float = 0.0

    def extra_requests(self, quota: Quota) -> float:
        """Returns how many requests a window may hold beyond a quota."""
        return self.overage * self.allowed_requests(quota) + self.slack

    def allowed_requests(self, quota: Quota) -> float:
        """Returns how many requests a quota allows in a window."""
        return quota.rate_per_s * self.window_ms / _MS_PER_S + quota.burst


class AccountUse(Message, frozen=True):
    """Number of plain requests of an account that a gateway forwarded.

    Attributes:
        single: requests that belong to no program.
        in_programs: requests that belong to programs.
    """

    account: str
    single: int = 0
    in_programs: int = 0

    def plus(self, other: AccountUse | None) -> AccountUse:
        """Returns the sum of both."""
        if other is None:
            return self
        return AccountUse(
            account=self.account,
            single=self.single + other.single,
            in_programs=self.in_programs + other.in_programs,
        )


@dataclasses.dataclass(frozen=True)
class QuotaUse:
    """Usage of an account's quota, with the field names of its log events.

    Attributes:
        used: requests that ran in the last window.
        expected: plain requests that turns in progress are expected to send.
        allowed: requests that the quota allows in a window.
        left: credit for new programs, in requests.
    """

    account: str
    used: int
    expected: float
    allowed: float
    left: float

    @property
    def used_share(self) -> float:
        """Share of the window's quota that is used."""
        return self.used / self.allowed


@dataclasses.dataclass
class ThrottledAccounts:
    """Accounts whose requests to application services are refused.

    Each maps to the time in ms for which they are refused.

    Attributes:
        over: accounts whose window is full; all plain requests are refused.
        spent: accounts without credit for new programs; plain requests that
            belong to no program are refused.
    """

    over: dict[str, int] = dataclasses.field(default_factory=dict)
    spent: dict[str, int] = dataclasses.field(default_factory=dict)


class _LimitedAccount:
    """Usage of one account that has a quota.

    Attributes:
        credit: requests that new programs, long programs and plain requests
            outside of programs may still be charged. Refills at the quota's
            rate, up to a maximum; a charge may make it negative.
        updated_ms: the log's time as of which `credit` is current.
        last_retry_at_ms: the latest retry time given to a refused caller.
        window_requests: requests that ran in the last window.
        expected_requests: plain requests that turns are expected to send yet.
    """

    def __init__(self, quota: Quota, now_ms: int, credit: float) -> None:
        self.quota = quota
        self.credit = credit
        self.updated_ms = now_ms
        self.last_retry_at_ms = 0
        self.window_requests = 0
        self.expected_requests = 0.0
        self._buckets: collections.deque[tuple[int, int]] = collections.deque()

    def count(self, requests: int, at_ms: int) -> None:
        """Adds requests to the bucket of a time, or to a later last one."""
        bucket_ms = at_ms // _BUCKET_MS * _BUCKET_MS
        self.window_requests += requests
        if self._buckets and self._buckets[-1][0] >= bucket_ms:
            last_ms, before = self._buckets[-1]
            self._buckets[-1] = (last_ms, before + requests)
        else:
            self._buckets.append((bucket_ms, requests))

    def drop_before(self, before_ms: int) -> None:
        """Drops the buckets that ended before a time."""
        while self._buckets and self._buckets[0][0] + _BUCKET_MS <= before_ms:
            self.window_requests -= self._buckets.popleft()[1]

    def ms_until_free(self, excess: float, window_ms: int, now_ms: int) -> int:
        """Returns in how many ms so many requests will have left the window."""
        for bucket_ms, requests in self._buckets:
            excess -= requests
            if excess <= 0:
                left_ms = bucket_ms + _BUCKET_MS + window_ms - now_ms
                return max(_MIN_RETRY_MS, left_ms)
        # The rest of the excess is expected requests, which may never arrive.
        return _BUCKET_MS


class DecayingMean:
    """Mean per item, in which recent items weigh more than old ones.

    Args:
        items: number of items that the initial mean weighs as much as.
        mean: the initial mean.
    """

    def __init__(self, items: float, mean: float) -> None:
        self._items = items
        self._total = items * mean

    @property
    def mean(self) -> float:
        """Total per item."""
        return self._total / self._items

    def add(self, *, items: int = 0, total: int = 0) -> None:
        """Adds to the number of items, to their total, or to both."""
        self._items += items
        self._total += total
        if self._items > _MAX_SAMPLE_ITEMS:
            self._items /= 2
            self._total /= 2


class Quotas:
    """Tracks the usage of all accounts with a quota.

    Args:
        tolerance: by how much an account may exceed its quota.
    """

    def __init__(self, tolerance: QuotaTolerance) -> None:
        self._tolerance = tolerance
        self._quotas: dict[str, Quota] = {}
        # Only accounts in use: few of tens of thousands are at any time.
        self._accounts: dict[str, _LimitedAccount] = {}
        self._throttled = ThrottledAccounts()
        self._throttled_ms = -_THROTTLE_CHECK_MS
        self._turns_per_program = DecayingMean(_PRIOR_PROGRAMS, _PRIOR_TURNS)
        self._plain_per_turn = DecayingMean(_PRIOR_PROGRAMS * _PRIOR_TURNS, 1.0)

    @property
    def requests_per_program(self) -> float:
        """Average number of requests of a program."""
        return self._turns_per_program.mean * self._requests_per_turn

    @property
    def _requests_per_turn(self) -> float:
        """Average number of requests of a turn: itself and its plain ones."""
        return 1 + self._plain_per_turn.mean

    def configure(self, accounts: Iterable[ClientAccount], now_ms: int) -> None:
        """Replaces all quotas; requests already counted stay counted."""
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
        self._throttled_ms = now_ms - _THROTTLE_CHECK_MS

    def admission_wait_ms(self, name: str, now_ms: int, *, turns: int) -> int:
        """Returns in how many ms a turn may begin, 0 for now.

        Args:
            name: the account.
            now_ms: the log's time.
            turns: number of earlier turns of the program.
        """
        account = self._find_account(name, now_ms)
        if account is None:
            return 0
        self._advance(account, now_ms)
        is_deferrable = turns == 0 or self._is_long_program(turns)
        reserved = self._reserved(account.quota) if is_deferrable else 0.0
        window_wait_ms = self._window_wait_ms(account, now_ms, reserved)
        if window_wait_ms or not is_deferrable or account.credit > 0:
            return window_wait_ms
        return self._assign_retry_ms(account, now_ms)

    def count_turn(self, name: str, now_ms: int, *, turns: int) -> None:
        """Counts a turn that begins; charges first turns and long programs."""
        account = self._find_account(name, now_ms)
        is_long_program = self._is_long_program(turns)
        self._plain_per_turn.add(items=1)
        if not is_long_program and not self._is_nearly_full(account):
            self._turns_per_program.add(items=int(turns == 0), total=1)
        if account is None:
            return
        self._advance(account, now_ms)
        account.count(1, now_ms)
        account.expected_requests += self._plain_per_turn.mean
        if turns == 0:
            account.credit -= self.requests_per_program
        elif is_long_program:
            account.credit -= self._requests_per_turn

    def count_use(self, use: AccountUse, now_ms: int) -> None:
        """Counts plain requests, and charges those outside of programs."""
        account = self._find_account(use.account, now_ms)
        self._plain_per_turn.add(total=use.in_programs)
        if account is None:
            return
        self._advance(account, now_ms)
        account.count(use.single + use.in_programs, now_ms)
        account.expected_requests = max(
            0.0, account.expected_requests - use.in_programs
        )
        account.credit -= use.single

    def count_expected(self, now_ms: int) -> None:
        """Counts the expected plain requests as if they had been reported.

        A new leader calls it: the last one may not have logged some of them.
        """
        for account in self._accounts.values():
            account.count(math.ceil(account.expected_requests), now_ms)
            account.expected_requests = 0.0

    def throttled(self, now_ms: int) -> ThrottledAccounts:
        """Returns the accounts whose plain requests are refused now."""
        if now_ms - self._throttled_ms >= _THROTTLE_CHECK_MS:
            self._throttled_ms = now_ms
            self._throttled = self._find_throttled(now_ms)
        return self._throttled

    def uses(self) -> list[QuotaUse]:
        """Returns the usage of all accounts in use, highest share first."""
        uses = [use for n in self._accounts if (use := self.use_of(n))]
        return sorted(uses, key=lambda use: -use.used_share)

    def use_of(self, name: str) -> QuotaUse | None:
        """Returns the usage of an account, None where it is not in use."""
        account = self._accounts.get(name)
        if account is None:
            return None
        return QuotaUse(
            account=name,
            used=account.window_requests,
            expected=round(account.expected_requests, 1),
            allowed=round(self._tolerance.allowed_requests(account.quota), 1),
            left=round(account.credit, 1),
        )

    def _find_throttled(self, now_ms: int) -> ThrottledAccounts:
        found = ThrottledAccounts()
        for name, account in list(self._accounts.items()):
            self._advance(account, now_ms)
            if self._is_idle(account):
                del self._accounts[name]
                continue
            if window_wait_ms := self._window_wait_ms(account, now_ms, 0.0):
                found.over[name] = window_wait_ms
            if account.credit <= 0:
                found.spent[name] = self._credit_wait_ms(account)
        return found

    def _find_account(self, name: str, now_ms: int) -> _LimitedAccount | None:
        """Returns an account's usage, None where it has no quota."""
        account = self._accounts.get(name)
        if account is None and (quota := self._quotas.get(name)) is not None:
            account = _LimitedAccount(quota, now_ms, self._max_credit(quota))
            self._accounts[name] = account
        return account

    def _is_idle(self, account: _LimitedAccount) -> bool:
        """Returns whether an account's usage equals that of an unused one."""
        is_full = account.credit >= self._max_credit(account.quota)
        return (
            is_full
            and not account.window_requests
            and account.expected_requests < 1
        )

    def _max_credit(self, quota: Quota) -> float:
        tolerance = self._tolerance.extra_requests(quota)
        spread_requests = quota.rate_per_s * _CHARGE_SPREAD_S
        return quota.burst + spread_requests + _TOLERANCE_SHARE * tolerance

    def _reserved(self, quota: Quota) -> float:
        """Returns how many requests of a window only running programs get."""
        return _RESERVED_WINDOW_SHARE * self._tolerance.allowed_requests(quota)

    def _advance(self, account: _LimitedAccount, now_ms: int) -> None:
        """Drops old counts and refills the credit, as of a time."""
        account.drop_before(now_ms - self._tolerance.window_ms)
        passed_ms = max(0, now_ms - account.updated_ms)
        account.expected_requests *= 0.5 ** (passed_ms / _EXPECTED_HALF_LIFE_MS)
        account.updated_ms = max(account.updated_ms, now_ms)
        account.credit = min(
            self._max_credit(account.quota),
            account.credit + account.quota.rate_per_s * passed_ms / _MS_PER_S,
        )

    def _is_long_program(self, turns: int) -> bool:
        """Returns whether a program has many times the average turns."""
        return turns > _LONG_PROGRAM_RATIO * self._turns_per_program.mean

    def _window_wait_ms(
        self, account: _LimitedAccount, now_ms: int, reserved: float
    ) -> int:
        """Returns for how many ms the unreserved window stays full; 0: not."""
        quota = account.quota
        limit = self._tolerance.allowed_requests(quota) - reserved
        limit += _TOLERANCE_SHARE * self._tolerance.extra_requests(quota)
        excess = account.window_requests + account.expected_requests + 1 - limit
        if (
            excess <= 0
            or account.window_requests + account.expected_requests < 1
        ):
            return 0
        return account.ms_until_free(excess, self._tolerance.window_ms, now_ms)

    def _is_nearly_full(self, account: _LimitedAccount | None) -> bool:
        """Returns whether turns may be refused, so that programs look short."""
        if account is None:
            return False
        quota = account.quota
        limit = self._tolerance.allowed_requests(quota) - self._reserved(quota)
        return account.window_requests + account.expected_requests > max(
            limit, _MIN_SAMPLED_REQUESTS
        )

    def _credit_wait_ms(self, account: _LimitedAccount) -> int:
        """Returns in how many ms an account has credit again."""
        return int(-account.credit * _MS_PER_S / account.quota.rate_per_s) + 1

    def _assign_retry_ms(self, account: _LimitedAccount, now_ms: int) -> int:
        """Returns in how many ms a refused caller may retry a new program.

        Each caller gets a different time. With the same time, they would all
        retry together, and most of them would be refused again.
        """
        credit_at_ms = now_ms + self._credit_wait_ms(account)
        step_ms = int(
            self.requests_per_program * _MS_PER_S / account.quota.rate_per_s
        )
        last_retry_at_ms = max(credit_at_ms, account.last_retry_at_ms + step_ms)
        if last_retry_at_ms > now_ms + self._tolerance.window_ms:
            last_retry_at_ms = credit_at_ms
        account.last_retry_at_ms = last_retry_at_ms
        return last_retry_at_ms - now_ms
