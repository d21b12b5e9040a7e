"""Variants to compare: the policy, ablations of it, baselines, an oracle."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.placement import urgency
from catkinpin.core.placement.balance import Balancer, Choice
from catkinpin.core.placement.contention import ContendedServices
from catkinpin.core.placement.placer import Placer, PlaceTurn, TurnReport
from catkinpin.core.placement.speeds import (
    EngineSpeed,
    Speeds,
    StreamTimings,
    WorkEstimate,
)
from catkinpin.core.placement.tracked import TrackedServer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable

    from bench.deciding.engine import Engine
    from bench.deciding.service import Service
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.urgency import ProgramStatus
    from catkinpin.core.requests.calls import Load, PromptPart, RouteCall


# Deadline that the placer gets for each turn; it drops the turn soon after it.
_TURN_DEADLINE_MS = 6_000


@dataclasses.dataclass(frozen=True)
class GroundTruth:
    """Actual state of all servers, for variants that may read it.

    Attributes:
        engines: Model servers by id.
        services: Plain servers by id.
    """

    engines: dict[str, Engine]
    services: dict[str, Service]

    def load(self, server: str) -> Load:
        """Returns a server's current load."""
        if server in self.engines:
            return self.engines[server].load()
        return self.services[server].load()


@dataclasses.dataclass(frozen=True)
class GatewayContext:
    """Inputs from which a variant makes one gateway's policy.

    Attributes:
        domain: Failure domain of the gateway.
        regions: Region of each failure domain.
        rng: Random numbers for this gateway.
        truth: Actual state of all servers.
    """

    domain: str
    regions: dict[str, str]
    rng: random.Random
    truth: GroundTruth


@dataclasses.dataclass(frozen=True)
class Policy:
    """Decision rules of one gateway.

    Attributes:
        balancer: Picks the server of each request.
        speeds: Estimates of server speeds.
        rank: Returns a turn's urgency, given its program's status.
    """

    balancer: Balancer
    speeds: Speeds
    rank: Callable[[ProgramStatus], int] = urgency.turn_urgency


def _gateway_variant(
    balancer_class: type[Balancer] = Balancer,
    make_speeds: Callable[[], Speeds] = Speeds,
    rank: Callable[[ProgramStatus], int] = urgency.turn_urgency,
) -> Callable[[GatewayContext], Policy]:
    """Returns a variant that uses only what a real gateway knows."""

    def make(context: GatewayContext) -> Policy:
        speeds = make_speeds()
        balancer = balancer_class(
            context.domain, context.regions, context.rng, speeds
        )
        return Policy(balancer, speeds, rank)

    return make


class FixedSpeeds(Speeds):
    """Speeds that stay fixed, whatever is measured."""

    def __init__(self, speed: EngineSpeed, plain_ms: float = 50.0) -> None:
        super().__init__()
        self._speed = speed
        self._fixed_plain_ms = plain_ms

    def engine_speed(self, service: str) -> EngineSpeed:
        """Returns the fixed speed for every service."""
        return self._speed

    def slowdown(self, server: str, now_ms: int) -> float:
        """Returns 1.0 for every server."""
        return 1.0

    def plain_ms(self, route: str) -> float:
        """Returns the fixed time for every route."""
        return self._fixed_plain_ms

    def record_stream(
        self,
        service: str,
        server: str,
        started_ms: int,
        sample: StreamTimings,
        now_ms: int,
    ) -> None:
        """Ignores the sample."""


class _NoFactors(Speeds):
    """Speeds that treat all servers of a service as equally fast."""

    def slowdown(self, server: str, now_ms: int) -> float:
        return 1.0


class _NoCache(Balancer):
    """Balancer that doesn't track which server caches which prompt."""

    def record_prompt(
        self, instance: Instance, prompt: Iterable[PromptPart]
    ) -> None:
        pass


class _NoLoads(Balancer):
    """Balancer that ignores the servers' load reports."""

    def report_load(self, instance: Instance, load: Load, now_ms: int) -> bool:
        return True


class _NoEjection(Balancer):
    """Balancer that never ejects a failing server."""

    def record_failure(
        self, instance: Instance, now_ms: int, *, immediate: bool
    ) -> bool:
        return False


class _OwnTimeOnly(Balancer):
    """Balancer that ignores the delay a request causes to others."""

    def _cost_to_others_ms(
        self, work: WorkEstimate, beside: int, queued: int, slots: int
    ) -> float:
        return 0.0


class _OracleServer(TrackedServer):
    """Server whose true load is always known."""

    def __init__(self, name: str, started_ms: int, truth: GroundTruth) -> None:
        super().__init__(name, started_ms)
        self._truth = truth

    def running_estimate(self, now_ms: int) -> int:
        load = self._truth.load(self.id)
        return load.running + load.waiting

    def has_fresh_load(self, now_ms: int) -> bool:
        return True


class _OracleBalancer(Balancer):
    """Balancer that always knows each server's true load, cache and speed."""

    truth: GroundTruth

    def _new_server(self, instance: Instance) -> TrackedServer:
        return _OracleServer(instance.id, instance.started_ms, self.truth)

    def _cached(
        self, server: TrackedServer, prompt: tuple[PromptPart, ...]
    ) -> int:
        engine = self.truth.engines.get(server.id)
        return engine.cache.cached_tokens(prompt) if engine is not None else 0

    def _is_ejected(self, instance: Instance, now_ms: int) -> bool:
        engine = self.truth.engines.get(instance.id)
        return engine is not None and (not engine.is_up or engine.hangs)


class _TrueSpeeds(FixedSpeeds):
    """Speeds that return the true values of all servers."""

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


def _oracle(context: GatewayContext) -> Policy:
    speeds = _TrueSpeeds(context.truth)
    balancer = _OracleBalancer(
        context.domain, context.regions, context.rng, speeds
    )
    balancer.truth = context.truth
    return Policy(balancer, speeds)


def _true_speeds(context: GatewayContext) -> Policy:
    speeds = _TrueSpeeds(context.truth)
    return Policy(
        Balancer(context.domain, context.regions, context.rng, speeds), speeds
    )


class _RoundRobin(Balancer):
    """Balancer that takes the servers in turn."""

    _next = 0

    def pick(
        self,
        servers: Iterable[Instance],
        call: RouteCall,
        now_ms: int,
        avoid: Collection[str] = (),
        route: str = "",
        domain: str = "",
        is_connected: Callable[[Instance], bool] | None = None,
    ) -> Choice | None:
        usable = _usable_servers(self, servers, avoid, now_ms)
        if not usable:
            return None
        self._next += 1
        return Choice(usable[self._next % len(usable)], 0.0, 0, -1)


class _LeastOutstanding(Balancer):
    """Balancer that picks the server with the fewest requests in flight.

    It counts only requests that this gateway sent.
    """

    def pick(
        self,
        servers: Iterable[Instance],
        call: RouteCall,
        now_ms: int,
        avoid: Collection[str] = (),
        route: str = "",
        domain: str = "",
        is_connected: Callable[[Instance], bool] | None = None,
    ) -> Choice | None:
        usable = _usable_servers(self, servers, avoid, now_ms)
        if not usable:
            return None
        fewest = min(self._tracked(one).in_flight for one in usable)
        candidates = [
            one for one in usable if self._tracked(one).in_flight == fewest
        ]
        return Choice(self._rng.choice(candidates), 0.0, 0, -1)


class _Sticky(_LeastOutstanding):
    """Balancer that keeps each session on one server.

    A new session goes to the server with the fewest requests in flight.
    """

    def __init__(
        self,
        domain: str,
        regions: dict[str, str],
        rng: random.Random,
        speeds: Speeds,
    ) -> None:
        super().__init__(domain, regions, rng, speeds)
        self._session_servers: collections.OrderedDict[str, str] = (
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
        is_connected: Callable[[Instance], bool] | None = None,
    ) -> Choice | None:
        listed = list(servers)
        session_server = (
            self._session_servers.get(call.session) if call.session else None
        )
        for one in _usable_servers(self, listed, avoid, now_ms):
            if one.id == session_server:
                return Choice(one, 0.0, 0, -1)
        choice = super().pick(listed, call, now_ms, avoid, route)
        if choice is not None and call.session:
            self._session_servers[call.session] = choice.instance.id
        return choice


class _PlacerBalancer(Balancer):
    """Balancer that asks the leader's placer for the server of each turn."""

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
        is_connected: Callable[[Instance], bool] | None = None,
    ) -> Choice | None:
        listed = list(servers)
        if call.prompt and not avoid:
            turn = PlaceTurn(
                service=listed[0].service if listed else "",
                domain=self._domain,
                prompt=list(call.prompt),
                max_tokens=call.max_tokens,
                left_ms=_TURN_DEADLINE_MS,
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
    """Returns a variant in which all gateways of a run share one placer."""
    placers: dict[int, Placer] = {}

    def make(context: GatewayContext) -> Policy:
        key = id(context.truth)
        if key not in placers:
            placers.clear()
            placers[key] = Placer(
                context.regions,
                context.rng,
                ContendedServices(configured=False),
            )
        speeds = Speeds()
        balancer = _PlacerBalancer(
            context.domain, context.regions, context.rng, speeds
        )
        balancer.placer = placers[key]
        return Policy(balancer, speeds)

    return make


def _usable_servers(
    balancer: Balancer,
    servers: Iterable[Instance],
    avoid: Collection[str],
    now_ms: int,
) -> list[Instance]:
    ready = [one for one in servers if one.id not in avoid]
    usable = [one for one in ready if not balancer._is_ejected(one, now_ms)]
    return usable or ready


def _default_urgency(program_status: ProgramStatus) -> int:
    return urgency.URGENCY_DEFAULT


# Speed of the first users' engines, which the product assumed for all engines
# before it learned speeds.
_FIRST_USERS_SPEED = EngineSpeed(1 / 145, 0.95, 0.04)

POLICY = "policy"
ORACLE = "oracle"
BASELINES = ("round robin", "least outstanding", "sticky")

VARIANTS: dict[str, Callable[[GatewayContext], Policy]] = {
    POLICY: _gateway_variant(),
    "fixed speeds": _gateway_variant(
        make_speeds=lambda: FixedSpeeds(_FIRST_USERS_SPEED)
    ),
    "true speeds": _true_speeds,
    "no server factors": _gateway_variant(make_speeds=_NoFactors),
    "no cache": _gateway_variant(_NoCache),
    "no loads": _gateway_variant(_NoLoads),
    "no ejection": _gateway_variant(_NoEjection),
    "own time only": _gateway_variant(_OwnTimeOnly),
    "no urgency": _gateway_variant(rank=_default_urgency),
    "round robin": _gateway_variant(_RoundRobin),
    "least outstanding": _gateway_variant(_LeastOutstanding),
    "sticky": _gateway_variant(_Sticky),
    "leader placement": _leader_placement(),
    ORACLE: _oracle,
}
