"""Admission, retry budgets and backoff: what keeps overload from spreading.

All of it is soft state of a shard's leader. A leader sees only its shard's
calls, so it holds its share of each limit.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.operations.deployments import Limits

if TYPE_CHECKING:
    import random

    from catkinpin.core.messages import CallKey

ACCOUNT = "account"
DEPLOYMENT = "deployment"
PROGRAM = "program"
# Calls of one tree of programs that may wait at a time.
PROGRAM_LIMITS = Limits(queue=256)
_MS_PER_S = 1_000

# Retries may be this share of first attempts.
RETRY_SHARE = 0.1
# Retries that a deployment begins with, and the most that it can save up: a
# server that crashes may have had a hundred running calls.
_RETRIES_AT_FIRST = 100.0
_RETRIES_KEPT = 1_000.0

_BACKOFF_BASE_MS = 50
_BACKOFF_CAP_MS = 2_000
_MIN_RETRY_AFTER_MS = 200
_MAX_RETRY_AFTER_MS = 30_000
# Weight of the newest answer in mean times.
_WEIGHT = 0.03
# What an estimate of a wait may fall short of.
_MARGIN = 1.25
# Waiting calls below which no wait is estimated: too few to tell.
_FEW = 16


@dataclasses.dataclass(frozen=True)
class Scope:
    """What a limit holds for: an account, a deployment or a program."""

    kind: str
    name: str
    limits: Limits


@dataclasses.dataclass(frozen=True)
class Denial:
    """Why a call is not admitted, and when coming back helps."""

    text: str
    retry_after_ms: int


@dataclasses.dataclass
class _Flow:
    """Calls of one scope.

    Attributes:
        open: calls without a final answer.
        running: those that hold a server.
        gap_ms: mean time between answers while calls waited, 0 before.
        last_ms: when the last of these came, 0 after a time without waiting.
        run_ms: mean time that an answered call held its server.
        left: calls that the rate allows now.
        left_at_ms: when that was worked out.
    """

    open: int = 0
    running: int = 0
    gap_ms: float = 0.0
    last_ms: int = 0
    run_ms: float = 0.0
    left: float = 0.0
    left_at_ms: int | None = None

    def refill(self, rate: float, now_ms: int) -> float:
        """Returns the calls that the rate allows now."""
        if self.left_at_ms is None:
            self.left = max(1.0, rate)
        else:
            passed_s = (now_ms - self.left_at_ms) / _MS_PER_S
            self.left = min(max(1.0, rate), self.left + passed_s * rate)
        self.left_at_ms = now_ms
        return self.left

    def answered(self, now_ms: int, run_ms: int) -> None:
        """Notes an answer.

        Only answers that came while calls waited show how fast a queue
        empties; the others come as slowly as calls do, and after a quiet time
        a burst would be refused for nothing.
        """
        self.run_ms += _WEIGHT * (run_ms - self.run_ms)
        if self.open - self.running < _FEW:
            self.last_ms = 0
            return
        if self.last_ms:
            gap = now_ms - self.last_ms
            self.gap_ms += _WEIGHT * (gap - self.gap_ms)
        self.last_ms = now_ms

    def expected_wait_ms(self) -> int:
        """Returns how long a new call would wait for its turn, about."""
        waiting = self.open - self.running
        if waiting < _FEW:
            return 0
        return int(waiting * self.gap_ms)


class Admission:
    """Counts open calls and refuses early what would be answered late.

    Args:
        refuses_late_calls: whether to refuse calls that would miss their
            deadline.
    """

    def __init__(self, *, refuses_late_calls: bool = True) -> None:
        self._refuses_late_calls = refuses_late_calls
        self._flows: dict[tuple[str, str], _Flow] = {}
        self._calls: dict[CallKey, list[Scope]] = {}
        self._running: dict[CallKey, int] = {}

    def check(
        self, scopes: list[Scope], deadline_ms: int, now_ms: int
    ) -> Denial | None:
        """Returns why a new call is refused now, or None.

        Args:
            scopes: what the call counts for.
            deadline_ms: ms that its caller still waits.
            now_ms: monotonic time.
        """
        for scope in scopes:
            found = self._check_scope(scope, deadline_ms, now_ms)
            if found is not None:
                return found
        return None

    def may_start(self, scopes: list[Scope]) -> bool:
        """Returns whether one more call may hold a server."""
        return all(
            not scope.limits.calls_running
            or self._flow(scope).running < scope.limits.calls_running
            for scope in scopes
        )

    def add_call(self, key: CallKey, scopes: list[Scope], now_ms: int) -> None:
        """Counts a call; one that is counted already changes nothing."""
        if key in self._calls:
            return
        self._calls[key] = scopes
        for scope in scopes:
            flow = self._flow(scope)
            flow.open += 1
            rate = scope.limits.calls_per_second
            if rate:
                flow.left = flow.refill(rate, now_ms) - 1

    def mark_running(self, key: CallKey, now_ms: int) -> None:
        """Notes that the call holds a server."""
        if key in self._calls and key not in self._running:
            self._running[key] = now_ms
            for scope in self._calls[key]:
                self._flow(scope).running += 1

    def mark_stopped(self, key: CallKey) -> None:
        """Notes that the call holds no server."""
        if self._running.pop(key, None) is not None:
            for scope in self._calls[key]:
                self._flow(scope).running -= 1

    def remove_call(self, key: CallKey, now_ms: int, *, answered: bool) -> None:
        """Takes a call off the counts."""
        run_ms = now_ms - self._running.get(key, now_ms)
        self.mark_stopped(key)
        for scope in self._calls.pop(key, []):
            flow = self._flow(scope)
            flow.open -= 1
            if answered:
                flow.answered(now_ms, run_ms)
            if not flow.open and _leaves_nothing(scope):
                del self._flows[scope.kind, scope.name]

    def _flow(self, scope: Scope) -> _Flow:
        return self._flows.setdefault((scope.kind, scope.name), _Flow())

    def _check_scope(
        self, scope: Scope, deadline_ms: int, now_ms: int
    ) -> Denial | None:
        flow = self._flow(scope)
        wait = flow.expected_wait_ms()
        waiting = flow.open - flow.running
        if scope.limits.queue and waiting >= scope.limits.queue:
            text = f"the {scope.kind} has {waiting} calls waiting, its limit"
            return Denial(text, _bounded(wait))
        rate = scope.limits.calls_per_second
        if rate and flow.refill(rate, now_ms) < 1:
            text = f"the {scope.kind} makes more than {rate:g} calls a second"
            return Denial(text, _bounded(int(_MS_PER_S / rate)))
        # Admitted, the call would be given up on at its deadline after it has
        # held a place in the queue: its caller is refused, others move up.
        late = int(wait * _MARGIN + flow.run_ms) - deadline_ms
        if (
            self._refuses_late_calls
            and scope.kind == DEPLOYMENT
            and wait
            and late > 0
        ):
            text = f"about {wait} ms until its turn, too late for its deadline"
            return Denial(text, _bounded(late))
        return None


def _leaves_nothing(scope: Scope) -> bool:
    """Returns whether a scope without calls can be forgotten.

    A deployment keeps its means, and one with a rate what it has used of it.
    """
    return scope.kind != DEPLOYMENT and not scope.limits.calls_per_second


def _bounded(wait_ms: int) -> int:
    return max(_MIN_RETRY_AFTER_MS, min(_MAX_RETRY_AFTER_MS, wait_ms))


class RetryBudget:
    """Retries of a deployment, at most a share of its first attempts.

    When servers fail because they are overloaded, retries would multiply the
    load that makes them fail; one notices goodput falling while servers are
    busy. With the share fixed, load grows by that share at most.
    """

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._share = share
        self._left: dict[str, float] = {}

    def record_first_attempt(self, deployment: str) -> None:
        """Adds a share of a retry."""
        left = self._left.get(deployment, _RETRIES_AT_FIRST)
        self._left[deployment] = min(_RETRIES_KEPT, left + self._share)

    def spend(self, deployment: str) -> bool:
        """Takes a retry; returns False where none is left."""
        left = self._left.get(deployment, _RETRIES_AT_FIRST)
        if left < 1:
            return False
        self._left[deployment] = left - 1
        return True


def backoff_ms(attempts: int, rng: random.Random) -> int:
    """Returns how long to wait before the next attempt, in ms.

    The first retry goes out at once, to another server. Later ones wait a
    random part of a bound that doubles, so that calls that failed together do
    not come back together.
    """
    if attempts <= 1:
        return 0
    bound = min(_BACKOFF_CAP_MS, _BACKOFF_BASE_MS << min(attempts, 10))
    return rng.randrange(bound // 2, bound)
