"""Admission, retry budgets and backoff: what keeps overload from spreading.

All of it is soft state of a shard's leader. A leader sees only its shard's
calls, so it holds its share of each limit.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from catkinpin.core.messages import CallKey

# Retries may be this share of first attempts.
RETRY_SHARE = 0.1
# Retries that a deployment begins with, and the most that it can save up: a
# server that crashes may have had a hundred calls aboard.
_RETRIES_AT_FIRST = 100.0
_RETRIES_KEPT = 1_000.0

_BACKOFF_BASE_MS = 50
_BACKOFF_CAP_MS = 2_000
_MIN_RETRY_AFTER_MS = 200
_MAX_RETRY_AFTER_MS = 30_000
# Weight of the newest answer in the mean time between answers.
_GAP_WEIGHT = 0.1
# Waiting calls below which no wait is estimated: too few to tell.
_FEW = 16


@dataclasses.dataclass(frozen=True)
class Caps:
    """Most open calls at once, in this shard; 0 is no limit."""

    account: int = 0
    deployment: int = 0
    program: int = 0


@dataclasses.dataclass(frozen=True)
class Turndown:
    """Why a call is not admitted, and when coming back helps."""

    text: str
    retry_after_ms: int


@dataclasses.dataclass
class _Flow:
    """Calls of one deployment.

    Attributes:
        open: calls without a final answer.
        gap_ms: mean time between answers, 0 while there was none.
        last_ms: when the last answer came.
    """

    open: int = 0
    running: int = 0
    gap_ms: float = 0.0
    last_ms: int = 0


class Admission:
    """Counts open calls and refuses early what would be answered late."""

    def __init__(self) -> None:
        self._accounts: collections.Counter[str] = collections.Counter()
        self._programs: collections.Counter[str] = collections.Counter()
        self._flows: dict[str, _Flow] = {}
        self._calls: dict[CallKey, str] = {}
        self._running: set[CallKey] = set()

    def check(
        self, key: CallKey, deployment: str, caps: Caps, deadline_ms: int
    ) -> Turndown | None:
        """Returns why a new call is refused now, or None."""
        flow = self._flows.get(deployment, _Flow())
        wait = self._expected_wait(flow)
        counts = (
            ("account", caps.account, self._accounts[key.account]),
            ("deployment", caps.deployment, flow.open),
            ("program", caps.program, self._programs[_tree(key)]),
        )
        for scope, cap, count in counts:
            if cap and count >= cap:
                text = f"the {scope} has {count} calls under way, its limit"
                return Turndown(text, _bounded(wait))
        # Admitted, the call would be given up on at its deadline after it has
        # held a place in the queue: its caller hears now, and others move up.
        if wait > deadline_ms:
            text = f"about {wait} ms until its turn, later than the deadline"
            return Turndown(text, _bounded(wait - deadline_ms))
        return None

    def opened(self, key: CallKey, deployment: str) -> None:
        """Counts a call; one that is counted already changes nothing."""
        if key in self._calls:
            return
        self._calls[key] = deployment
        self._accounts[key.account] += 1
        self._programs[_tree(key)] += 1
        self._flows.setdefault(deployment, _Flow()).open += 1

    def started(self, key: CallKey) -> None:
        """Notes that the call runs: it no longer waits for its turn."""
        deployment = self._calls.get(key)
        if deployment is not None and key not in self._running:
            self._running.add(key)
            self._flows[deployment].running += 1

    def closed(self, key: CallKey, now_ms: int, *, answered: bool) -> None:
        """Takes a call off the counts."""
        deployment = self._calls.pop(key, None)
        if deployment is None:
            return
        _subtract(self._accounts, key.account)
        _subtract(self._programs, _tree(key))
        flow = self._flows[deployment]
        flow.open -= 1
        if key in self._running:
            self._running.remove(key)
            flow.running -= 1
        if answered:
            _note_answer(flow, now_ms)

    def _expected_wait(self, flow: _Flow) -> int:
        waiting = flow.open - flow.running
        if waiting < _FEW:
            return 0
        return int(waiting * flow.gap_ms)


def _note_answer(flow: _Flow, now_ms: int) -> None:
    if flow.last_ms:
        gap = now_ms - flow.last_ms
        flow.gap_ms += _GAP_WEIGHT * (gap - flow.gap_ms)
    flow.last_ms = now_ms


def _tree(key: CallKey) -> str:
    return f"{key.account}\0{key.program.partition('/')[0]}"


def _subtract(counter: collections.Counter[str], name: str) -> None:
    counter[name] -= 1
    if counter[name] <= 0:
        del counter[name]


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

    def first_attempt(self, deployment: str) -> None:
        """Adds a share of a retry."""
        left = self._left.get(deployment, _RETRIES_AT_FIRST)
        self._left[deployment] = min(_RETRIES_KEPT, left + self._share)

    def take(self, deployment: str) -> bool:
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
