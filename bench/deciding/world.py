"""One play: builds everything, disturbs it, and counts what was earned."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING, Any

import simpy

from bench.deciding import draws
from bench.deciding.caller import Caller, Ended
from bench.deciding.engine import Engine
from bench.deciding.gateway import Gateway
from bench.deciding.policies import Place, Policy, Truth
from bench.deciding.scenario import Trouble, TroubleKind
from bench.deciding.service import Service
from catkinpin.core.control.ledger import Ledger
from catkinpin.core.control.servers import Instance, ServerState

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from bench.deciding.scenario import Scenario
    from catkinpin.core.requests.calls import PromptPart

    Later = Generator[simpy.Event, Any, None]

_SECOND_MS = 1_000.0
# What comes after the last begin; programs that last longer have failed.
_REST_MS = 30_000.0
# From a server's coming, or word that it goes, until all gateways know.
_NEWS_MS = 300.0
# Between two servers that are replaced.
_GAP_MS = 1_000.0


@dataclasses.dataclass(frozen=True)
class Result:
    """What a play came to.

    Attributes:
        payoff: earned, as a part of what was owed.
        read: prompt tokens read, as a part of all prompt tokens.
        domains: prompt tokens that went to another failure domain of the
            region, as a part of all.
        regions: the same for another region.
    """

    payoff: float
    in_time: int
    late: int
    failed: int
    read: float
    domains: float
    regions: float


class World:
    """A play under way.

    Attributes:
        fleet: the servers that gateways know, by id.
        ended: programs that have ended.
    """

    def __init__(
        self,
        scenario: Scenario,
        make: Callable[[Place], Policy],
        seed: int,
    ) -> None:
        self.env = simpy.Environment()
        self.scenario = scenario
        self.ledger = Ledger()
        self.fleet: dict[str, Instance] = {}
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, Service] = {}
        self.ended: list[Ended] = []
        self._make = make
        self._rng = random.Random(seed)
        self._scripts = draws.programs(scenario, seed)
        self._regions = {one.name: one.region for one in scenario.domains}
        self._truth = Truth(self.engines, self.services)
        self._start = 0
        self._passed: collections.Counter[str] = collections.Counter()
        for domain in scenario.domains:
            for _ in range(domain.engines):
                self._add_engine(domain.name)
            for _ in range(domain.services):
                self._add_service(domain.name)
        self._gateways = [
            self._gateway(domain.name)
            for domain in scenario.domains
            for _ in range(domain.gateways)
        ]

    def run(self) -> Result:
        """Plays to the end."""
        for script in self._scripts:
            self.env.process(Caller(self, script).run())
        for trouble in self.scenario.troubles:
            self.env.process(self._disturb(trouble))
        self.env.run(until=self.scenario.seconds * _SECOND_MS + _REST_MS)
        return self._result()

    def gateway(self, draw: float) -> Gateway:
        """Returns the gateway for a draw in [0, 1)."""
        return self._gateways[int(draw * len(self._gateways))]

    def delay_ms(self, here: str, there: str) -> float:
        """Returns the way between two failure domains."""
        if self._regions[here] != self._regions[there]:
            return self.scenario.links.region_ms
        return self.scenario.links.domain_ms if here != there else 0.1

    def passed(
        self, here: str, there: str, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Counts a prompt that goes from a gateway to a server."""
        tokens = sum(part.tokens for part in prompt)
        self._passed["all"] += tokens
        if self._regions[here] != self._regions[there]:
            self._passed["regions"] += tokens
        elif here != there:
            self._passed["domains"] += tokens

    def _result(self) -> Result:
        owed = sum(script.payoff for script in self._scripts)
        done = [one for one in self.ended if one.took_ms is not None]
        in_time = sum(
            one.took_ms is not None and one.took_ms <= one.script.aim_ms
            for one in self.ended
        )
        read = sum(engine.read_tokens for engine in self.engines.values())
        whole = sum(_prompt_tokens(script) for script in self._scripts)
        return Result(
            payoff=sum(one.earned for one in self.ended) / max(owed, 1e-9),
            in_time=in_time,
            late=len(done) - in_time,
            failed=len(self._scripts) - len(done),
            read=read / max(whole, 1),
            domains=self._passed["domains"] / max(self._passed["all"], 1),
            regions=self._passed["regions"] / max(self._passed["all"], 1),
        )

    def _gateway(self, domain: str) -> Gateway:
        rng = random.Random(self._rng.random())
        place = Place(domain, self._regions, rng, self._truth)
        return Gateway(self, domain, self._make(place))

    def _add_engine(self, domain: str) -> str:
        shape = self.scenario.engine
        factor = shape.factors[len(self.engines) % len(shape.factors)]
        name = f"e{len(self.engines)}"
        self.engines[name] = Engine(self.env, shape, factor)
        self._announce(name, "models", domain, shape.slots)
        return name

    def _add_service(self, domain: str) -> None:
        name = f"s{len(self.services)}"
        self.services[name] = Service(self.env, self.scenario.service)
        self._announce(name, "plain", domain, self.scenario.service.slots)

    def _announce(
        self, name: str, service: str, domain: str, slots: int
    ) -> None:
        self._start += 1
        self.fleet[name] = Instance(
            id=name,
            service=service,
            address=name,
            domain=domain,
            state=ServerState.READY,
            started_ms=self._start,
            sequence=1,
            slots=slots,
        )

    def _disturb(self, trouble: Trouble) -> Later:
        yield self.env.timeout(trouble.at_s * _SECOND_MS)
        match trouble.kind:
            case TroubleKind.REPLACE:
                yield from self._replace(trouble)
            case TroubleKind.SLOW:
                yield from self._slow(trouble)
            case TroubleKind.LOSE:
                yield from self._lose(trouble)
            case TroubleKind.HANG:
                yield from self._hang(trouble)
            case TroubleKind.GATEWAYS:
                yield from self._lose_gateways(trouble)
            case TroubleKind.BURST:
                pass

    def _some_engines(self, trouble: Trouble) -> list[str]:
        live = [one for one in self.fleet.values() if one.service == "models"]
        count = max(1, round(trouble.share * len(live)))
        return [one.id for one in self._rng.sample(live, count)]

    def _replace(self, trouble: Trouble) -> Later:
        for name in self._some_engines(trouble):
            domain = self.fleet[name].domain
            self._add_engine(domain)
            yield self.env.timeout(_NEWS_MS)
            del self.fleet[name]
            yield self.env.timeout(_GAP_MS)

    def _slow(self, trouble: Trouble) -> Later:
        names = self._some_engines(trouble)
        for name in names:
            self.engines[name].slow(trouble.times)
        yield self.env.timeout(trouble.for_s * _SECOND_MS)
        for name in names:
            self.engines[name].slow(1 / trouble.times)

    def _lose(self, trouble: Trouble) -> Later:
        names = self._some_engines(trouble)
        for name in names:
            self.engines[name].lose()
        yield self.env.timeout(trouble.for_s * _SECOND_MS)
        for name in names:
            self.engines[name].back()

    def _hang(self, trouble: Trouble) -> Later:
        names = self._some_engines(trouble)
        for name in names:
            self.engines[name].hang(True)
        yield self.env.timeout(trouble.for_s * _SECOND_MS)
        for name in names:
            self.engines[name].hang(False)

    def _lose_gateways(self, trouble: Trouble) -> Later:
        count = max(1, round(trouble.share * len(self._gateways)))
        places = self._rng.sample(range(len(self._gateways)), count)
        for place in places:
            gateway = self._gateways[place]
            gateway.is_up = False
            for process in list(gateway.under_way):
                if process.is_alive:
                    process.interrupt()
        yield self.env.timeout(trouble.for_s * _SECOND_MS)
        for place in places:
            self._gateways[place] = self._gateway(self._gateways[place].domain)


def _prompt_tokens(script: draws.ProgramScript) -> int:
    """Returns the tokens of all prompts of a program's own line."""
    total = 0
    context = script.shared.tokens
    for turn in script.line.turns:
        context += turn.new_tokens
        total += context
        context += turn.out_tokens
    return total
