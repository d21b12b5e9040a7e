"""What is compared: the policy, parts of it left out, baselines, an oracle."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.placement import balance, urgency
from catkinpin.core.placement.balance import Balancer, Choice
from catkinpin.core.placement.placer import Placer, PlaceTurn, TurnReport
from catkinpin.core.placement.speeds import EngineSpeed, Speeds, StreamTimings

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from bench.deciding.engine import Engine
    from bench.deciding.service import Service
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.urgency import ProgramStatus
    from catkinpin.core.requests.calls import Load, PromptPart, RouteCall


# Longest that a turn counts at the server that was named for it.
_TURN_MS = 6_000


@dataclasses.dataclass(frozen=True)
class GroundTruth:
    """What really is, for variants that may know it.

    Attributes:
        engines: by server id.
        services: by server id.
    """

    engines: dict[str, Engine]
    services: dict[str, Service]

    def load(self, server: str) -> Load:
        """Returns a server's load at this moment."""
        if server in self.engines:
            return self.engines[server].load()
        return self.services[server].load()


@dataclasses.dataclass(frozen=True)
class GatewayContext:
    """Where a gateway stands."""

    domain: str
    regions: dict[str, str]
    rng: random.Random
    truth: GroundTruth


@dataclasses.dataclass(frozen=True)
class Policy:
    """What one gateway decides by.

    Attributes:
        rank: of a turn, from its program's standing.
    """

    balancer: Balancer
    speeds: Speeds
    rank: Callable[[ProgramStatus], int] = urgency.turn_urgency


def _plain(
    kind: type[Balancer] = Balancer,
    make_speeds: Callable[[], Speeds] = Speeds,
    rank: Callable[[ProgramStatus], int] = urgency.turn_urgency,
) -> Callable[[GatewayContext], Policy]:
    """Returns a variant that needs no more than a gateway knows."""

    def make(place: GatewayContext) -> Policy:
        speeds = make_speeds()
        balancer = kind(place.domain, place.regions, place.rng, speeds)
        return Policy(balancer, speeds, rank)

    return make


class FixedSpeeds(Speeds):
    """Speeds that nothing is learned of."""

    def __init__(self, speed: EngineSpeed, plain_ms: float = 50.0) -> None:
        super().__init__()
        self._speed = speed
        self._fixed_plain_ms = plain_ms

    def engine_speed(self, service: str) -> EngineSpeed:
        """Returns the same for all services."""
        return self._speed

    def slowdown(self, server: str, now_ms: int) -> float:
        """Returns that no server differs."""
        return 1.0

    def plain_ms(self, route: str) -> float:
        """Returns the same for all routes."""
        return self._fixed_plain_ms

    def record_stream(
        self,
        service: str,
        server: str,
        started_ms: int,
        sample: StreamTimings,
        now_ms: int,
    ) -> None:
        """Learns nothing."""


class _NoFactors(Speeds):
    """All servers of a service are alike."""

    def slowdown(self, server: str, now_ms: int) -> float:
        return 1.0


class _NoCache(Balancer):
    """Prompts lie nowhere."""

    def record_prompt(
        self, instance: Instance, prompt: Iterable[PromptPart]
    ) -> None:
        pass


class _NoLoads(Balancer):
    """What servers tell of their load is not listened to."""

    def report_load(self, instance: Instance, load: Load, now_ms: int) -> bool:
        return True


class _NoEjection(Balancer):
    """Servers that fail are asked again at once."""

    def record_failure(
        self, instance: Instance, now_ms: int, *, immediate: bool
    ) -> bool:
        return False


class _Own(Balancer):
    """Only a request's own time counts."""

    def _cost_to_others_ms(
        self, work: balance.WorkEstimate, beside: int, queued: int, slots: int
    ) -> float:
        return 0.0


class _Oracle(Balancer):
    """Knows each server's true load, cache and speed at each moment."""

    truth: GroundTruth

    def _running_estimate(
        self, server: balance.TrackedServer, now_ms: int
    ) -> int:
        load = self.truth.load(server.id)
        return load.running + load.waiting

    def _is_fresh(self, server: balance.TrackedServer, now_ms: int) -> bool:
        return True

    def _cached(
        self, server: balance.TrackedServer, prompt: tuple[PromptPart, ...]
    ) -> int:
        engine = self.truth.engines.get(server.id)
        return engine.cache.cached_tokens(prompt) if engine is not None else 0

    def _is_ejected(self, instance: Instance, now_ms: int) -> bool:
        engine = self.truth.engines.get(instance.id)
        return engine is not None and (not engine.is_up or engine.hangs)


class _TrueSpeeds(FixedSpeeds):
    """The true speeds of all servers."""

    def __init__(self, truth: GroundTruth) -> None:
        shape = next(iter(truth.engines.values())).shape
        super().__init__(
            EngineSpeed(
                1 / shape.read_per_ms, shape.step_ms, shape.step_ms_per_slot
            )
        )
        self._truth = truth

    def slowdown(self, server: str, now_ms: int) -> float:
        engine = self._truth.engines.get(server)
        return engine.factor if engine is not None else 1.0

    def plain_ms(self, route: str) -> float:
        return Speeds.plain_ms(self, route)


def _oracle(place: GatewayContext) -> Policy:
    speeds = _TrueSpeeds(place.truth)
    balancer = _Oracle(place.domain, place.regions, place.rng, speeds)
    balancer.truth = place.truth
    return Policy(balancer, speeds)


def _true_speeds(place: GatewayContext) -> Policy:
    speeds = _TrueSpeeds(place.truth)
    return Policy(
        Balancer(place.domain, place.regions, place.rng, speeds), speeds
    )


class _RoundRobin(Balancer):
    """One server after the other."""

    _next = 0

    def pick(
        self,
        servers: Iterable[Instance],
        call: RouteCall,
        now_ms: int,
        avoid: Collection[str] = (),
        route: str = "",
        domain: str = "",
    ) -> Choice | None:
        fit = _fit(self, servers, avoid, now_ms)
        if not fit:
            return None
        self._next += 1
        return Choice(fit[self._next % len(fit)], 0.0, 0, -1)


class _LeastOutstanding(Balancer):
    """The server to which this gateway has sent the fewest that still run."""

    def pick(
        self,
        servers: Iterable[Instance],
        call: RouteCall,
        now_ms: int,
        avoid: Collection[str] = (),
        route: str = "",
        domain: str = "",
    ) -> Choice | None:
        fit = _fit(self, servers, avoid, now_ms)
        if not fit:
            return None
        least = min(self._tracked(one).in_flight for one in fit)
        near = [one for one in fit if self._tracked(one).in_flight == least]
        return Choice(self._rng.choice(near), 0.0, 0, -1)


class _Sticky(_LeastOutstanding):
    """A session's server, the least loaded one for a new session."""

    def __init__(
        self,
        domain: str,
        regions: dict[str, str],
        rng: random.Random,
        speeds: Speeds,
    ) -> None:
        super().__init__(domain, regions, rng, speeds)
        self._homes: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def pick(
        self,
        servers: Iterable[Instance],
        call: RouteCall,
        now_ms: int,
        avoid: Collection[str] = (),
        route: str = "",
        domain: str = "",
    ) -> Choice | None:
        listed = list(servers)
        home = self._homes.get(call.session) if call.session else None
        for one in _fit(self, listed, avoid, now_ms):
            if one.id == home:
                return Choice(one, 0.0, 0, -1)
        choice = super().pick(listed, call, now_ms, avoid, route)
        if choice is not None and call.session:
            self._homes[call.session] = choice.instance.id
        return choice


class _Placed(Balancer):
    """The leader names the server of each turn."""

    placer: Placer

    def __init__(
        self,
        domain: str,
        regions: dict[str, str],
        rng: random.Random,
        speeds: Speeds,
    ) -> None:
        super().__init__(domain, regions, rng, speeds)
        self._attempts: dict[str, list[str]] = collections.defaultdict(list)

    def pick(
        self,
        servers: Iterable[Instance],
        call: RouteCall,
        now_ms: int,
        avoid: Collection[str] = (),
        route: str = "",
        domain: str = "",
    ) -> Choice | None:
        listed = list(servers)
        if call.prompt and not avoid:
            turn = PlaceTurn(
                service=listed[0].service if listed else "",
                domain=self._domain,
                prompt=list(call.prompt),
                max_tokens=call.max_tokens,
                left_ms=_TURN_MS,
            )
            name = self.placer.place(call.attempt, turn, listed, None, now_ms)
            for one in listed:
                if one.id == name:
                    return self.estimate(one, call, now_ms)
        return super().pick(listed, call, now_ms, avoid, route)

    def record_sent(self, instance: Instance, call: RouteCall) -> None:
        super().record_sent(instance, call)
        self._attempts[instance.id].append(call.attempt)

    def record_ended(self, instance: Instance) -> None:
        super().record_ended(instance)
        if self._attempts[instance.id]:
            attempt = self._attempts[instance.id].pop(0)
            self.placer.finish(attempt, TurnReport(), 0)


def _leader_placement() -> Callable[[GatewayContext], Policy]:
    """Returns a variant in which one placer serves all gateways of a play."""
    placers: dict[int, Placer] = {}

    def make(place: GatewayContext) -> Policy:
        key = id(place.truth)
        if key not in placers:
            placers.clear()
            placers[key] = Placer(place.regions, place.rng)
        speeds = Speeds()
        balancer = _Placed(place.domain, place.regions, place.rng, speeds)
        balancer.placer = placers[key]
        return Policy(balancer, speeds)

    return make


def _fit(
    balancer: Balancer,
    servers: Iterable[Instance],
    avoid: Collection[str],
    now_ms: int,
) -> list[Instance]:
    ready = [one for one in servers if one.id not in avoid]
    fit = [one for one in ready if not balancer._is_ejected(one, now_ms)]
    return fit or ready


def _all_alike(program_status: ProgramStatus) -> int:
    return urgency.URGENCY_DEFAULT


# What the engines of the first users take; all before speeds were learned.
_FIRST_USERS = EngineSpeed(1 / 145, 0.95, 0.04)

POLICY = "policy"
ORACLE = "oracle"
BASELINES = ("round robin", "least outstanding", "sticky")

VARIANTS: dict[str, Callable[[GatewayContext], Policy]] = {
    POLICY: _plain(),
    "fixed speeds": _plain(make_speeds=lambda: FixedSpeeds(_FIRST_USERS)),
    "true speeds": _true_speeds,
    "no server factors": _plain(make_speeds=_NoFactors),
    "no cache": _plain(_NoCache),
    "no loads": _plain(_NoLoads),
    "no ejection": _plain(_NoEjection),
    "own time only": _plain(_Own),
    "no urgency": _plain(rank=_all_alike),
    "round robin": _plain(_RoundRobin),
    "least outstanding": _plain(_LeastOutstanding),
    "sticky": _plain(_Sticky),
    "leader placement": _leader_placement(),
    ORACLE: _oracle,
}
