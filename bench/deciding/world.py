"""Simulates one run of a scenario, with its faults and load changes."""

from __future__ import annotations

import collections
import dataclasses
import random
from typing import TYPE_CHECKING, Any

import simpy

from bench.deciding import draws
from bench.deciding.caller import Caller, EndedProgram
from bench.deciding.engine import Engine
from bench.deciding.gateway import Gateway
from bench.deciding.policies import GatewayContext, GroundTruth, Policy
from bench.deciding.scenario import Trouble, TroubleKind
from bench.deciding.service import Service
from catkinpin.core.control.ledger import Ledger
from catkinpin.core.control.servers import Instance, ServerState

if TYPE_CHECKING:
    from collections.abc import Callable, Generator

    from bench.deciding.scenario import Scenario
    from catkinpin.core.requests.calls import PromptPart

    Steps = Generator[simpy.Event, Any, None]

_SECOND_MS = 1_000.0
# Simulated time after the last program's start; programs that are still
# running then count as failed.
_DRAIN_MS = 30_000.0
# Delay until all gateways know that a server was added or is draining.
_FLEET_PROPAGATION_MS = 300.0
# Pause between the replacements of two servers.
_REPLACE_INTERVAL_MS = 1_000.0


@dataclasses.dataclass(frozen=True)
class Result:
    """Totals of one run.

    Attributes:
        payoff: Earned payoff as a share of the highest possible one.
        in_time: Programs that finished within their time limit.
        late: Programs that finished after it.
        failed: Programs that didn't finish.
        read: Prefilled prompt tokens as a share of all prompt tokens.
        domains: Share of the sent prompt tokens that went to another failure
            domain in the same region.
        regions: Share of the sent prompt tokens that went to another region.
    """

    payoff: float
    in_time: int
    late: int
    failed: int
    read: float
    domains: float
    regions: float


class Simulation:
    """A simulated run of a scenario.

    Attributes:
        fleet: Servers that the gateways know, by id.
        ended: Programs that have ended.
    """

    def __init__(
        self,
        scenario: Scenario,
        make_policy: Callable[[GatewayContext], Policy],
        seed: int,
    ) -> None:
        self.env = simpy.Environment()
        self.scenario = scenario
        self.ledger = Ledger()
        self.fleet: dict[str, Instance] = {}
        self.engines: dict[str, Engine] = {}
        self.services: dict[str, Service] = {}
        self.ended: list[EndedProgram] = []
        self._make_policy = make_policy
        self._rng = random.Random(seed)
        self._scripts = draws.programs(scenario, seed)
        self._regions = {one.name: one.region for one in scenario.domains}
        self._ground_truth = GroundTruth(self.engines, self.services)
        self._start_number = 0
        self._sent_tokens: collections.Counter[str] = collections.Counter()
        for domain in scenario.domains:
            for _ in range(domain.engines):
                self._add_engine(domain.name)
            for _ in range(domain.services):
                self._add_service(domain.name)
        self._gateways = [
            self._make_gateway(domain.name)
            for domain in scenario.domains
            for _ in range(domain.gateways)
        ]

    def run(self) -> Result:
        """Runs the scenario to its end and returns the totals."""
        for script in self._scripts:
            self.env.process(Caller(self, script).run())
        for trouble in self.scenario.troubles:
            self.env.process(self._inject(trouble))
        self.env.run(until=self.scenario.seconds * _SECOND_MS + _DRAIN_MS)
        return self._result()

    def gateway(self, draw: float) -> Gateway:
        """Returns the gateway that a draw in [0, 1) selects."""
        return self._gateways[int(draw * len(self._gateways))]

    def delay_ms(self, here: str, there: str) -> float:
        """Returns the one-way delay between two failure domains."""
        if self._regions[here] != self._regions[there]:
            return self.scenario.links.region_ms
        return self.scenario.links.domain_ms if here != there else 0.1

    def count_prompt(
        self, here: str, there: str, prompt: tuple[PromptPart, ...]
    ) -> None:
        """Counts the tokens of a prompt sent from a gateway to a server."""
        tokens = sum(part.tokens for part in prompt)
        self._sent_tokens["all"] += tokens
        if self._regions[here] != self._regions[there]:
            self._sent_tokens["regions"] += tokens
        elif here != there:
            self._sent_tokens["domains"] += tokens

    def _result(self) -> Result:
        max_payoff = sum(script.payoff for script in self._scripts)
        finished = [one for one in self.ended if one.took_ms is not None]
        in_time = sum(
            one.took_ms is not None and one.took_ms <= one.script.aim_ms
            for one in self.ended
        )
        read = sum(engine.read_tokens for engine in self.engines.values())
        prompt_tokens = sum(_prompt_tokens(script) for script in self._scripts)
        return Result(
            payoff=sum(one.earned for one in self.ended)
            / max(max_payoff, 1e-9),
            in_time=in_time,
            late=len(finished) - in_time,
            failed=len(self._scripts) - len(finished),
            read=read / max(prompt_tokens, 1),
            domains=self._sent_tokens["domains"]
            / max(self._sent_tokens["all"], 1),
            regions=self._sent_tokens["regions"]
            / max(self._sent_tokens["all"], 1),
        )

    def _make_gateway(self, domain: str) -> Gateway:
        rng = random.Random(self._rng.random())
        context = GatewayContext(domain, self._regions, rng, self._ground_truth)
        return Gateway(self, domain, self._make_policy(context))

    def _add_engine(self, domain: str) -> str:
        shape = self.scenario.engine
        factor = shape.factors[len(self.engines) % len(shape.factors)]
        name = f"e{len(self.engines)}"
        self.engines[name] = Engine(self.env, shape, factor)
        self._register(name, "models", domain, shape.slots)
        return name

    def _add_service(self, domain: str) -> None:
        name = f"s{len(self.services)}"
        self.services[name] = Service(self.env, self.scenario.service)
        self._register(name, "plain", domain, self.scenario.service.slots)

    def _register(
        self, name: str, service: str, domain: str, slots: int
    ) -> None:
        self._start_number += 1
        self.fleet[name] = Instance(
            id=name,
            service=service,
            address=name,
            domain=domain,
            state=ServerState.READY,
            started_ms=self._start_number,
            sequence=1,
            slots=slots,
        )

    def _inject(self, trouble: Trouble) -> Steps:
        yield self.env.timeout(trouble.at_s * _SECOND_MS)
        match trouble.kind:
            case TroubleKind.REPLACE:
                yield from self._replace_engines(trouble)
            case TroubleKind.SLOW:
                yield from self._slow_engines(trouble)
            case TroubleKind.LOSE:
                yield from self._crash_engines(trouble)
            case TroubleKind.HANG:
                yield from self._hang_engines(trouble)
            case TroubleKind.GATEWAYS:
                yield from self._crash_gateways(trouble)
            case TroubleKind.BURST:
                pass

    def _sample_engines(self, trouble: Trouble) -> list[str]:
        live = [one for one in self.fleet.values() if one.service == "models"]
        count = max(1, round(trouble.share * len(live)))
        return [one.id for one in self._rng.sample(live, count)]

    def _replace_engines(self, trouble: Trouble) -> Steps:
        for name in self._sample_engines(trouble):
            domain = self.fleet[name].domain
            self._add_engine(domain)
            yield self.env.timeout(_FLEET_PROPAGATION_MS)
            del self.fleet[name]
            yield self.env.timeout(_REPLACE_INTERVAL_MS)

    def _slow_engines(self, trouble: Trouble) -> Steps:
        names = self._sample_engines(trouble)
        for name in names:
            self.engines[name].slow_down(trouble.times)
        yield self.env.timeout(trouble.for_s * _SECOND_MS)
        for name in names:
            self.engines[name].slow_down(1 / trouble.times)

    def _crash_engines(self, trouble: Trouble) -> Steps:
        names = self._sample_engines(trouble)
        for name in names:
            self.engines[name].crash()
        yield self.env.timeout(trouble.for_s * _SECOND_MS)
        for name in names:
            self.engines[name].restart()

    def _hang_engines(self, trouble: Trouble) -> Steps:
        names = self._sample_engines(trouble)
        for name in names:
            self.engines[name].set_hanging(True)
        yield self.env.timeout(trouble.for_s * _SECOND_MS)
        for name in names:
            self.engines[name].set_hanging(False)

    def _crash_gateways(self, trouble: Trouble) -> Steps:
        count = max(1, round(trouble.share * len(self._gateways)))
        indexes = self._rng.sample(range(len(self._gateways)), count)
        for index in indexes:
            gateway = self._gateways[index]
            gateway.is_up = False
            for process in list(gateway.active_requests):
                if process.is_alive:
                    process.interrupt()
        yield self.env.timeout(trouble.for_s * _SECOND_MS)
        for index in indexes:
            self._gateways[index] = self._make_gateway(
                self._gateways[index].domain
            )


def _prompt_tokens(script: draws.ProgramScript) -> int:
    """Returns the prompt tokens of all turns of a program's main agent."""
    total = 0
    context = script.shared.tokens
    for turn in script.agent.turns:
        context += turn.new_tokens
        total += context
        context += turn.out_tokens
    return total
