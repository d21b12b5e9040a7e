"""Learns the speed of backend servers from their answers.

Both the choice of a server and the lateness of a program depend on the time
that an engine takes to prefill a prompt token and to generate a token. Engines
differ tenfold in both. With the figures of other engines, the prompts of a
fast service would be prefilled again and again where queueing costs less, and
every program on a slow service would count as late, so that urgency could not
rank them.

Each gateway therefore learns from the answers that pass through it: per
service, the time per prompt token, the time per generated token and its growth
with concurrent requests; per route, the time of a plain call, which is one to
an application service rather than a model; and per server, how much slower
it is than its service. All values are bounded and start from a prior in the
middle of the range of engines.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from catkinpin.core.placement.regression import Bounds, Line, Prior

if TYPE_CHECKING:
    from catkinpin.core.requests.calls import RouteCall

# Prior time per prompt token and per generated token.
_PRIOR_READ_MS = 0.0125
_PRIOR_TOKEN_MS = 2.0
# Share of a generated token's time that each concurrent request adds.
_CONCURRENT_SHARE = 0.01
# Prior time from sending a request to its first token, without prefill.
_PRIOR_FIRST_TOKEN_MS = 20.0
# Prior time of a plain call.
_PRIOR_PLAIN_CALL_MS = 50.0
# Share of a plain call's time that each concurrent call adds.
_PLAIN_CONCURRENT_SHARE = 0.04

_READ_MS_BOUNDS = Bounds(0.001, 1.0)
_TOKEN_MS_BOUNDS = Bounds(0.05, 100.0)
_BESIDE_MS_BOUNDS = Bounds(0.0, 2.0)
_FIRST_TOKEN_MS_BOUNDS = Bounds(1.0, 1_000.0)
_PLAIN_CALL_MS_BOUNDS = Bounds(0.5, 60_000.0)
_SLOWDOWN_BOUNDS = Bounds(0.25, 4.0)
# Spread of prefilled tokens and of concurrent requests at which the samples
# weigh as much as the prior in the estimate of a slope.
_READ_TOKENS_SPREAD = 300.0
_CONCURRENT_SPREAD = 12.0
# Weight of a new answer in the moving average of a server's slowdown.
_SLOWDOWN_WEIGHT = 0.15
# Slowdowns below this ratio, and speedups likewise, are ignored. Otherwise
# sessions would move between similar servers by chance, and each move means
# another prefill.
_SIMILAR_RATIO = 1.6
# The slowdown of a server without recent answers decays: the server may have
# recovered, but gets too little work to show it.
_SLOWDOWN_HALF_LIFE_MS = 4_000
# Weight of a new plain call in the moving average of its route's call times,
# and the cap of a single call's time, as a multiple of that average.
_PLAIN_CALL_WEIGHT = 0.05
_PLAIN_CALL_CAP_RATIO = 4.0
# A gap is the time between two events of a streamed answer. The token time is
# taken from at least so many gaps, at this quantile; longer gaps include the
# prefill of other requests.
_MIN_GAPS = 3
_GAP_QUANTILE = 0.25


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """Speed of a model server.

    Attributes:
        read_ms: Prefill time per prompt token that is not cached.
        token_ms: Time per generated token on an otherwise idle server.
        beside_ms: Time per generated token that each concurrent request adds.
    """

    read_ms: float = _PRIOR_READ_MS
    token_ms: float = _PRIOR_TOKEN_MS
    beside_ms: float = _PRIOR_TOKEN_MS * _CONCURRENT_SHARE

    @property
    def is_plausible(self) -> bool:
        """Whether the values are within the bounds for engines."""
        return (
            _READ_MS_BOUNDS.clip(self.read_ms) == self.read_ms
            and _TOKEN_MS_BOUNDS.clip(self.token_ms) == self.token_ms
            and _BESIDE_MS_BOUNDS.clip(self.beside_ms) == self.beside_ms
        )

    def scaled(self, factor: float) -> EngineSpeed:
        """Returns the speed of a server that takes `factor` times as long."""
        return EngineSpeed(
            self.read_ms * factor,
            self.token_ms * factor,
            self.beside_ms * factor,
        )


@dataclasses.dataclass(frozen=True)
class StreamTimings:
    """Timings of one streamed answer of a model server.

    Attributes:
        prefilled_tokens: Prompt tokens that the server had to prefill; None
            if the number is uncertain.
        first_ms: Time from sending the request to the first event.
        gaps_ms: Times between events, per token of the later event.
        concurrent: Number of concurrent requests on the server.
        waiting: Number of requests that waited at the server.
    """

    prefilled_tokens: int | None
    first_ms: float
    gaps_ms: list[float]
    concurrent: int
    waiting: int


@dataclasses.dataclass
class _LogSlowdown:
    """Logarithm of a server's slowdown relative to its service."""

    started_ms: int
    log_ratio: float = 0.0
    at_ms: int = 0

    def log_ratio_at(self, now_ms: int) -> float:
        """Returns the logarithm, decayed by its age."""
        half_lives = (now_ms - self.at_ms) / _SLOWDOWN_HALF_LIFE_MS
        return self.log_ratio * math.pow(0.5, half_lives)


class _ServiceSpeed:
    """Learned speed of the model servers of one service."""

    def __init__(self) -> None:
        first = Prior(
            _PRIOR_FIRST_TOKEN_MS,
            lambda x, y: _PRIOR_READ_MS,
            _READ_TOKENS_SPREAD,
        )
        token = Prior(_PRIOR_TOKEN_MS, _prior_beside_ms, _CONCURRENT_SPREAD)
        self._first = Line(first, _FIRST_TOKEN_MS_BOUNDS, _READ_MS_BOUNDS)
        self._token = Line(token, _TOKEN_MS_BOUNDS, _BESIDE_MS_BOUNDS)

    @property
    def speed(self) -> EngineSpeed:
        """Speed of a typical server of the service."""
        return EngineSpeed(
            self._first.slope, self._token.base, self._token.slope
        )

    def learn(self, sample: StreamTimings) -> float:
        """Updates the service's learned speed with the timings of an answer.

        Returns:
            Measured divided by expected time per generated token; 0 if the
            answer has too few events to measure it.
        """
        if sample.prefilled_tokens is not None and not sample.waiting:
            self._first.add(sample.prefilled_tokens, sample.first_ms)
        if len(sample.gaps_ms) < _MIN_GAPS:
            return 0.0
        low_gap_ms = sorted(sample.gaps_ms)[
            int(len(sample.gaps_ms) * _GAP_QUANTILE)
        ]
        gap_ms = _TOKEN_MS_BOUNDS.clip(low_gap_ms)
        self._token.add(sample.concurrent, gap_ms)
        return gap_ms / self._token.value_at(sample.concurrent)


@dataclasses.dataclass(frozen=True)
class WorkEstimate:
    """Estimated processing time of a request at one server.

    Attributes:
        prefill_ms: Prefill of its prompt, during which other requests wait.
        idle_ms: The remaining time on an otherwise idle server.
        per_concurrent_ms: Time that each concurrent request adds to the
            remaining time, and that this request adds to theirs.
    """

    prefill_ms: float
    idle_ms: float
    per_concurrent_ms: float

    def run_ms(self, running: int) -> float:
        """Returns the time after prefill beside `running` other requests."""
        return self.idle_ms + self.per_concurrent_ms * running

    def scaled(self, factor: float) -> WorkEstimate:
        """Returns the estimate for a server that is `factor` times as slow."""
        return WorkEstimate(
            self.prefill_ms * factor,
            self.idle_ms * factor,
            self.per_concurrent_ms * factor,
        )


class Speeds:
    """Speeds of all servers, as learned by one gateway."""

    def __init__(self) -> None:
        self._services: dict[str, _ServiceSpeed] = {}
        self._slowdowns: dict[str, _LogSlowdown] = {}
        self._plain_ms: dict[str, float] = {}

    def engine_speed(self, service: str) -> EngineSpeed:
        """Returns the typical speed of a service's model servers."""
        learned = self._services.get(service)
        return learned.speed if learned is not None else EngineSpeed()

    def slowdown(self, server: str, now_ms: int) -> float:
        """Returns the ratio of a server's time to that of its service."""
        log_slowdown = self._slowdowns.get(server)
        if log_slowdown is None:
            return 1.0
        ratio = math.exp(log_slowdown.log_ratio_at(now_ms))
        return 1.0 if 1 / _SIMILAR_RATIO < ratio < _SIMILAR_RATIO else ratio

    def plain_ms(self, route: str) -> float:
        """Returns the average time of a route's plain calls."""
        return self._plain_ms.get(route, _PRIOR_PLAIN_CALL_MS)

    def record_stream(
        self,
        service: str,
        server: str,
        started_ms: int,
        sample: StreamTimings,
        now_ms: int,
    ) -> None:
        """Learns from a complete answer of a model server."""
        learned = self._services.setdefault(service, _ServiceSpeed())
        log_slowdown = self._slowdowns.get(server)
        if log_slowdown is None or log_slowdown.started_ms != started_ms:
            log_slowdown = self._slowdowns[server] = _LogSlowdown(started_ms)
        current_log_ratio = log_slowdown.log_ratio_at(now_ms)
        ratio = learned.learn(sample)
        if ratio:
            sample_log_ratio = math.log(_SLOWDOWN_BOUNDS.clip(ratio))
            log_slowdown.log_ratio = (
                current_log_ratio
                + (sample_log_ratio - current_log_ratio) * _SLOWDOWN_WEIGHT
            )
            log_slowdown.at_ms = now_ms

    def record_plain_call(self, route: str, took_ms: float) -> None:
        """Updates the route's average with the time of a plain call."""
        average_ms = self.plain_ms(route)
        took_ms = min(took_ms, _PLAIN_CALL_CAP_RATIO * average_ms)
        new_average_ms = (
            average_ms + (took_ms - average_ms) * _PLAIN_CALL_WEIGHT
        )
        self._plain_ms[route] = _PLAIN_CALL_MS_BOUNDS.clip(new_average_ms)

    def expected_ms(self, service: str, route: str, call: RouteCall) -> float:
        """Returns the expected time of a request on an idle server."""
        if not call.max_tokens:
            return self.plain_ms(route)
        speed = self.engine_speed(service)
        prompt_tokens = sum(part.tokens for part in call.prompt)
        generation_ms = call.max_tokens * speed.token_ms
        return (
            _PRIOR_FIRST_TOKEN_MS
            + prompt_tokens * speed.read_ms
            + generation_ms
        )

    def forget(self, server: str) -> None:
        """Removes the state of a server that is gone."""
        self._slowdowns.pop(server, None)


def _prior_beside_ms(concurrent: float, token_ms: float) -> float:
    """Returns the prior of the time per token that a concurrent request adds.

    Args:
        concurrent: Number of concurrent requests at the point.
        token_ms: Time per token at the point.
    """
    return token_ms / (1 + _CONCURRENT_SHARE * concurrent) * _CONCURRENT_SHARE


def plain_beside_ms(plain_ms: float) -> float:
    """Returns the time that one more plain call adds to each concurrent one."""
    return plain_ms * _PLAIN_CONCURRENT_SHARE
