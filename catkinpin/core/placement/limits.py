"""Admission control, retry budgets and backoff, which contain overload.

All state is soft state of a shard's leader. A leader sees only the calls of
its shard and enforces its share of each limit.
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
# Limit of the waiting calls of one tree of programs.
PROGRAM_LIMITS = Limits(queue=256)
_MS_PER_S = 1_000

# Retries that each first attempt adds to the budget.
RETRY_SHARE = 0.1
# Initial and maximum retry budget of a deployment. A server that crashes may
# have had a hundred running calls.
_INITIAL_RETRIES = 100.0
_MAX_RETRIES = 1_000.0

_BACKOFF_BASE_MS = 50
_BACKOFF_CAP_MS = 2_000
_MIN_RETRY_AFTER_MS = 200
_MAX_RETRY_AFTER_MS = 30_000
# Weight of a new answer in the moving averages of times.
_AVERAGE_WEIGHT = 0.03
# Safety factor on the estimated wait.
_WAIT_SAFETY_FACTOR = 1.25
# Number of waiting calls below which no wait is estimated, as the sample is too
# small.
_MIN_WAITING_FOR_ESTIMATE = 16


@dataclasses.dataclass(frozen=True)
class Scope:
    """An account, deployment or program tree with its limits."""

    kind: str
    name: str
    limits: Limits


@dataclasses.dataclass(frozen=True)
class Denial:
    """Why a call is not admitted, and after what time to retry."""

    text: str
    retry_after_ms: int


@dataclasses.dataclass
class _ScopeState:
    """Counters and averages of one scope's calls.

    Attributes:
        open: Calls without a final answer.
        running: Open calls that hold a server.
        gap_ms: Mean time between answers while calls wait, 0 before the first.
        last_ms: Time of the last answer while calls waited; 0 if no queue was
            present at the last answer.
        run_ms: Mean time that an answered call held its server.
        tokens: Calls that the rate limit allows now.
        refilled_at_ms: Time of the last refill of the tokens.
    """

    open: int = 0
    running: int = 0
    gap_ms: float = 0.0
    last_ms: int = 0
    run_ms: float = 0.0
    tokens: float = 0.0
    refilled_at_ms: int | None = None

    def refill(self, rate: float, now_ms: int) -> float:
        """Refills the tokens of the rate limit and returns their number."""
        if self.refilled_at_ms is None:
            self.tokens = max(1.0, rate)
        else:
            elapsed_s = (now_ms - self.refilled_at_ms) / _MS_PER_S
            self.tokens = min(max(1.0, rate), self.tokens + elapsed_s * rate)
        self.refilled_at_ms = now_ms
        return self.tokens

    def record_answer(self, now_ms: int, run_ms: int) -> None:
        """Updates the averages with an answer.

        Only answers that arrive while calls wait show how fast the queue
        drains. Without a queue, answers are as rare as calls, and a burst
        after a quiet period would be refused without reason.
        """
        self.run_ms += _AVERAGE_WEIGHT * (run_ms - self.run_ms)
        if self.open - self.running < _MIN_WAITING_FOR_ESTIMATE:
            self.last_ms = 0
            return
        if self.last_ms:
            gap = now_ms - self.last_ms
            self.gap_ms += _AVERAGE_WEIGHT * (gap - self.gap_ms)
        self.last_ms = now_ms

    def expected_wait_ms(self) -> int:
        """Returns the estimated time that a new call would wait."""
        waiting = self.open - self.running
        if waiting < _MIN_WAITING_FOR_ESTIMATE:
            return 0
        return int(waiting * self.gap_ms)


class Admission:
    """Counts open calls and refuses those beyond a limit or their deadline.

    Args:
        refuses_late_calls: whether to refuse calls that would miss their
            deadline.
    """

    def __init__(self, *, refuses_late_calls: bool = True) -> None:
        self._refuses_late_calls = refuses_late_calls
        self._states: dict[tuple[str, str], _ScopeState] = {}
        self._calls: dict[CallKey, list[Scope]] = {}
        self._running: dict[CallKey, int] = {}

    def check(
        self, scopes: list[Scope], deadline_ms: int, now_ms: int
    ) -> Denial | None:
        """Returns why a new call is refused, or None if it is admitted.

        Args:
            scopes: Scopes in which the call counts.
            deadline_ms: Time for which its caller still waits.
            now_ms: Monotonic time.
        """
        for scope in scopes:
            denial = self._check_scope(scope, deadline_ms, now_ms)
            if denial is not None:
                return denial
        return None

    def may_start(self, scopes: list[Scope]) -> bool:
        """Returns whether one more call may hold a server."""
        return all(
            not scope.limits.calls_running
            or self._state_of(scope).running < scope.limits.calls_running
            for scope in scopes
        )

    def add_call(self, key: CallKey, scopes: list[Scope], now_ms: int) -> None:
        """Counts an open call, unless it is counted already."""
        if key in self._calls:
            return
        self._calls[key] = scopes
        for scope in scopes:
            state = self._state_of(scope)
            state.open += 1
            rate = scope.limits.calls_per_second
            if rate:
                state.tokens = state.refill(rate, now_ms) - 1

    def mark_running(self, key: CallKey, now_ms: int) -> None:
        """Counts the call as running."""
        if key in self._calls and key not in self._running:
            self._running[key] = now_ms
            for scope in self._calls[key]:
                self._state_of(scope).running += 1

    def mark_stopped(self, key: CallKey) -> None:
        """Counts the call as no longer running."""
        if self._running.pop(key, None) is not None:
            for scope in self._calls[key]:
                self._state_of(scope).running -= 1

    def remove_call(self, key: CallKey, now_ms: int, *, answered: bool) -> None:
        """Removes a call from all counts."""
        run_ms = now_ms - self._running.get(key, now_ms)
        self.mark_stopped(key)
        for scope in self._calls.pop(key, []):
            state = self._state_of(scope)
            state.open -= 1
            if answered:
                state.record_answer(now_ms, run_ms)
            if not state.open and _can_drop(scope):
                del self._states[scope.kind, scope.name]

    def _state_of(self, scope: Scope) -> _ScopeState:
        return self._states.setdefault((scope.kind, scope.name), _ScopeState())

    def _check_scope(
        self, scope: Scope, deadline_ms: int, now_ms: int
    ) -> Denial | None:
        state = self._state_of(scope)
        wait_ms = state.expected_wait_ms()
        waiting = state.open - state.running
        if scope.limits.queue and waiting >= scope.limits.queue:
            text = f"the {scope.kind} has {waiting} calls waiting, its limit"
            return Denial(text, _clamped_retry_after(wait_ms))
        rate = scope.limits.calls_per_second
        if rate and state.refill(rate, now_ms) < 1:
            text = f"the {scope.kind} makes more than {rate:g} calls a second"
            return Denial(text, _clamped_retry_after(int(_MS_PER_S / rate)))
        # If admitted, the call would occupy the queue and still miss its
        # deadline. It is refused so that other calls move up.
        late_ms = (
            int(wait_ms * _WAIT_SAFETY_FACTOR + state.run_ms) - deadline_ms
        )
        if (
            self._refuses_late_calls
            and scope.kind == DEPLOYMENT
            and wait_ms
            and late_ms > 0
        ):
            text = (
                f"about {wait_ms} ms until its turn, too late for its deadline"
            )
            return Denial(text, _clamped_retry_after(late_ms))
        return None


def _can_drop(scope: Scope) -> bool:
    """Returns whether the state of a scope without calls can be dropped.

    A deployment keeps its averages, and a scope with a rate limit its tokens.
    """
    return scope.kind != DEPLOYMENT and not scope.limits.calls_per_second


def _clamped_retry_after(wait_ms: int) -> int:
    return max(_MIN_RETRY_AFTER_MS, min(_MAX_RETRY_AFTER_MS, wait_ms))


class RetryBudget:
    """Limits the retries of a deployment to a share of its first attempts.

    When servers fail because of overload, unlimited retries would multiply the
    load that makes them fail; the symptom is falling goodput on busy servers.
    With the budget, retries add at most that share to the load.
    """

    def __init__(self, share: float = RETRY_SHARE) -> None:
        self._retries_per_attempt = share
        self._retries_left: dict[str, float] = {}

    def record_first_attempt(self, deployment: str) -> None:
        """Adds the share of one attempt to the budget."""
        retries = self._retries_left.get(deployment, _INITIAL_RETRIES)
        self._retries_left[deployment] = min(
            _MAX_RETRIES, retries + self._retries_per_attempt
        )

    def spend(self, deployment: str) -> bool:
        """Takes one retry from the budget; returns False if none is left."""
        retries = self._retries_left.get(deployment, _INITIAL_RETRIES)
        if retries < 1:
            return False
        self._retries_left[deployment] = retries - 1
        return True


def backoff_ms(attempts: int, rng: random.Random) -> int:
    """Returns the delay before the next attempt.

    The first retry goes to another server immediately. Later ones wait for a
    random time between half of a bound and the bound, which doubles with each
    attempt, so that calls that failed together are not retried together.
    """
    if attempts <= 1:
        return 0
    bound = min(_BACKOFF_CAP_MS, _BACKOFF_BASE_MS << min(attempts, 10))
    return rng.randrange(bound // 2, bound)
