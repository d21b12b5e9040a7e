"""How fast backend servers are, learned from their own answers.

Where a request goes, and how late its program is, depend on what reading a
prompt and making a token take. Engines differ tenfold in both. With figures of
other engines, a fast service's prompts are read again and again where a queue
would have cost less, and on a slow one all programs count as late, so that
urgency can't rank them.

So each gateway learns, per service, from the answers that pass through it:
what a prompt token takes, what a generated one takes and how that grows with
the requests beside it, and per route what a plain call takes. Servers of one
service differ, too; each has a factor on top. All is bounded, and starts from
a prior in the middle of what engines do.
"""

from __future__ import annotations

import dataclasses
import math
from typing import TYPE_CHECKING

from catkinpin.core.placement.regression import Bounds, Line, Prior

if TYPE_CHECKING:
    from catkinpin.core.requests.calls import RouteCall

# Before any answer, in ms: a token of a prompt, and a generated token.
_READ_MS = 0.0125
_TOKEN_MS = 2.0
# Of a generated token's time, what a request beside adds.
_BESIDE_SHARE = 0.01
# From sending a request to its first token, where nothing must be read.
_FIRST_MS = 20.0
# What a plain call takes before any has, in ms.
_PLAIN_MS = 50.0
# Of a plain call's time, what one more beside it adds.
_PLAIN_BESIDE_SHARE = 0.04

_READ_BOUNDS = Bounds(0.001, 1.0)
_TOKEN_BOUNDS = Bounds(0.05, 100.0)
_BESIDE_BOUNDS = Bounds(0.0, 2.0)
_FIRST_BOUNDS = Bounds(1.0, 1_000.0)
_PLAIN_BOUNDS = Bounds(0.5, 60_000.0)
_FACTOR_BOUNDS = Bounds(0.25, 4.0)
# Tokens read, and requests beside, by which answers must differ to tell a
# slope as well as the prior does.
_READ_SPREAD = 300.0
_BESIDE_SPREAD = 12.0
# Part of the way that a server's factor moves towards each new answer, and
# what it must come to before it counts: servers that differ little are alike,
# or sessions would move between them by chance and be read again.
_FACTOR_WEIGHT = 0.15
_SIMILAR_RATIO = 1.6
# A server without recent answers loses its factor: it may have recovered,
# and gets too little work to show it.
_FACTOR_HALF_LIFE_MS = 4_000
# Part of the way that a plain call's usual time moves towards each new one,
# and how many times the usual one call may count at most.
_PLAIN_WEIGHT = 0.05
_PLAIN_MAX_RATIO = 4.0
# Gaps between events that tell the time of a token at least, and which of
# them does, from the shortest: the others held prompts of other requests.
_MIN_GAPS = 3
_LOW_GAP = 0.25


@dataclasses.dataclass(frozen=True)
class EngineSpeed:
    """How fast a model server is, in ms.

    Attributes:
        read_ms: a token of a prompt that it doesn't hold.
        token_ms: a generated token, where nothing runs beside.
        beside_ms: what each request beside adds to a generated token.
    """

    read_ms: float = _READ_MS
    token_ms: float = _TOKEN_MS
    beside_ms: float = _TOKEN_MS * _BESIDE_SHARE

    @property
    def is_plausible(self) -> bool:
        """Whether an engine can be as fast as this."""
        return (
            _READ_BOUNDS.clip(self.read_ms) == self.read_ms
            and _TOKEN_BOUNDS.clip(self.token_ms) == self.token_ms
            and _BESIDE_BOUNDS.clip(self.beside_ms) == self.beside_ms
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
    """Times of one answer of a model server.

    Attributes:
        read_tokens: of its prompt, that it had to read; None where that isn't
            known well.
        first_ms: from sending the request to the first event.
        gaps_ms: between events, for each token of the later one.
        beside: requests that ran beside it.
        waiting: requests that waited at the server.
    """

    read_tokens: int | None
    first_ms: float
    gaps_ms: list[float]
    concurrent: int
    waiting: int


@dataclasses.dataclass
class _Factor:
    """How much longer one server takes than its service, as a logarithm."""

    started_ms: int
    log: float = 0.0
    at_ms: int = 0

    def at(self, now_ms: int) -> float:
        """Returns the logarithm as far as it still says anything."""
        half_lives = (now_ms - self.at_ms) / _FACTOR_HALF_LIFE_MS
        return self.log * math.pow(0.5, half_lives)


class _Engines:
    """What is known of the model servers of one service."""

    def __init__(self) -> None:
        reading = Prior(_FIRST_MS, lambda x, y: _READ_MS, _READ_SPREAD)
        making = Prior(_TOKEN_MS, _usual_beside_ms, _BESIDE_SPREAD)
        self._first = Line(reading, _FIRST_BOUNDS, _READ_BOUNDS)
        self._token = Line(making, _TOKEN_BOUNDS, _BESIDE_BOUNDS)

    @property
    def speed(self) -> EngineSpeed:
        """Returns the speed of a usual one."""
        return EngineSpeed(
            self._first.slope, self._token.base, self._token.slope
        )

    def streamed(self, sample: StreamTimings) -> float:
        """Learns from an answer.

        Returns:
            How many times the usual it took a token, 0 where it has no sample.
        """
        if sample.read_tokens is not None and not sample.waiting:
            self._first.add(sample.read_tokens, sample.first_ms)
        if len(sample.gaps_ms) < _MIN_GAPS:
            return 0.0
        low = sorted(sample.gaps_ms)[int(len(sample.gaps_ms) * _LOW_GAP)]
        gap_ms = _TOKEN_BOUNDS.clip(low)
        self._token.add(sample.concurrent, gap_ms)
        return gap_ms / self._token.value_at(sample.concurrent)


class Speeds:
    """Speeds of all servers, as one gateway sees them."""

    def __init__(self) -> None:
        self._engines: dict[str, _Engines] = {}
        self._factors: dict[str, _Factor] = {}
        self._plain_ms: dict[str, float] = {}

    def engine_speed(self, service: str) -> EngineSpeed:
        """Returns how fast a usual model server of a service is."""
        engines = self._engines.get(service)
        return engines.speed if engines is not None else EngineSpeed()

    def slowdown(self, server: str, now_ms: int) -> float:
        """Returns how many times the usual a server takes."""
        factor = self._factors.get(server)
        if factor is None:
            return 1.0
        times = math.exp(factor.at(now_ms))
        return 1.0 if 1 / _SIMILAR_RATIO < times < _SIMILAR_RATIO else times

    def plain_ms(self, route: str) -> float:
        """Returns what a plain call of a route usually takes."""
        return self._plain_ms.get(route, _PLAIN_MS)

    def record_stream(
        self,
        service: str,
        server: str,
        started_ms: int,
        sample: StreamTimings,
        now_ms: int,
    ) -> None:
        """Learns from a whole answer of a model server."""
        engines = self._engines.setdefault(service, _Engines())
        factor = self._factors.get(server)
        if factor is None or factor.started_ms != started_ms:
            factor = self._factors[server] = _Factor(started_ms)
        known = factor.at(now_ms)
        times = engines.streamed(sample)
        if times:
            aim = math.log(_FACTOR_BOUNDS.clip(times))
            factor.log = known + (aim - known) * _FACTOR_WEIGHT
            factor.at_ms = now_ms

    def record_plain_call(self, route: str, took_ms: float) -> None:
        """Learns from the answer to a plain call."""
        usual_ms = self.plain_ms(route)
        took_ms = min(took_ms, _PLAIN_MAX_RATIO * usual_ms)
        moved_ms = usual_ms + (took_ms - usual_ms) * _PLAIN_WEIGHT
        self._plain_ms[route] = _PLAIN_BOUNDS.clip(moved_ms)

    def expected_ms(self, service: str, route: str, call: RouteCall) -> float:
        """Returns what a request likely takes on a server that isn't busy."""
        if not call.max_tokens:
            return self.plain_ms(route)
        speed = self.engine_speed(service)
        wanted = sum(part.tokens for part in call.prompt)
        made_ms = call.max_tokens * speed.token_ms
        return _FIRST_MS + wanted * speed.read_ms + made_ms

    def forget(self, server: str) -> None:
        """Forgets a server that is gone."""
        self._factors.pop(server, None)


def _usual_beside_ms(beside: float, token_ms: float) -> float:
    """Returns what a request beside adds, by what a token takes there."""
    return token_ms / (1 + _BESIDE_SHARE * beside) * _BESIDE_SHARE


def plain_beside_ms(plain_ms: float) -> float:
    """Returns what one more plain call adds to each beside it."""
    return plain_ms * _PLAIN_BESIDE_SHARE
