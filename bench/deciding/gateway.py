"""A gateway: the product's decisions, and the exchange with the servers."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any

from catkinpin.core.control.ledger import Begin, Finish
from catkinpin.core.placement import urgency
from catkinpin.core.placement.speeds import StreamTimings
from catkinpin.core.requests.calls import PromptPart, RouteCall

if TYPE_CHECKING:
    from collections.abc import Generator

    import simpy

    from bench.deciding.draws import ToolCall
    from bench.deciding.engine import Engine, Job
    from bench.deciding.policies import Policy
    from bench.deciding.service import Call, Service
    from bench.deciding.site import Site
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.balance import Choice

    Steps = Generator[simpy.Event, Any, "End"]

# Servers that may refuse a request one after the other before a gateway does.
_MAX_REFUSALS = 3
# A server that can't be reached is given up after so long.
_CONNECT_MS = 300
_RETAIN_MS = 60_000
_BUDGET = 1_000_000


class End(enum.Enum):
    """What became of a request at a gateway."""

    SERVED = "served"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True)
class Turn:
    """A turn as its caller sends it.

    Attributes:
        tokens: that it will make; nobody knows it ahead.
    """

    attempt: str
    program: str
    session: str
    prompt: tuple[PromptPart, ...]
    tokens: int
    left_ms: float


class Gateway:
    """One gateway.

    Attributes:
        is_up: whether callers reach it.
        under_way: its requests, which end with it.
    """

    def __init__(self, world: Site, domain: str, policy: Policy) -> None:
        self.domain = domain
        self.policy = policy
        self.is_up = True
        self.under_way: set[simpy.Process] = set()
        self._world = world
        self._env = world.env

    def serve_turn(self, turn: Turn) -> Steps:
        """Serves a turn: begun in the ledger, run, settled there."""
        ledger = self._world.ledger
        yield self._env.timeout(self._world.scenario.links.record_ms)
        began = ledger.begin(
            Begin(
                attempt=turn.attempt,
                program=turn.program,
                previous="",
                budget=_BUDGET,
                max_tokens=2 * turn.tokens,
                retain_ms=_RETAIN_MS,
                at_ms=self._now_ms,
                left_ms=round(turn.left_ms),
            )
        )
        call = RouteCall(
            attempt=turn.attempt,
            program=turn.program,
            session=turn.session,
            prompt=turn.prompt,
            max_tokens=2 * turn.tokens,
        )
        rank = self.policy.rank(began.program_status)
        known = self._world.fleet.get(began.server)
        if known is not None:
            self.policy.balancer.record_prompt(known, turn.prompt[:-1])
        began_ms = self._env.now
        end, server = yield from self._run_turn(call, turn, rank)
        took_ms = round(self._env.now - began_ms)
        tokens = turn.tokens if end is End.SERVED else 0
        speed = self.policy.speeds.engine_speed("models")
        ledger.finish(
            Finish(
                attempt=turn.attempt,
                program=turn.program,
                tokens=tokens,
                is_whole=end is End.SERVED,
                holders=["h"],
                size=0,
                at_ms=self._now_ms,
                server=server,
                lost_ms=urgency.lost_ms(call, tokens, took_ms, speed),
            )
        )
        if end is End.SERVED:
            yield self._env.timeout(self._world.scenario.links.record_ms)
        return end

    def serve_call(self, call: ToolCall) -> Steps:
        """Serves a call of a plain service."""
        route = call.tool.name
        sent_to: list[str] = []
        while len(sent_to) <= _MAX_REFUSALS:
            choice = self._pick("plain", RouteCall("x"), sent_to, route)
            if choice is None:
                return End.REFUSED
            instance = choice.instance
            sent_to.append(instance.id)
            service = self._world.services[instance.id]
            yield self._way(instance)
            self.policy.balancer.record_sent(instance, RouteCall("x"))
            sent_ms = self._env.now
            running = service.submit(call.work_ms)
            if running is None:
                self.policy.balancer.record_ended(instance)
                self._report_load(instance, service)
                continue
            end = yield from self._await_call(service, instance, running)
            if end is End.SERVED:
                took_ms = self._env.now - sent_ms
                self.policy.speeds.record_plain_call(route, took_ms)
            return end
        return End.REFUSED

    def _run_turn(
        self, call: RouteCall, turn: Turn, rank: int
    ) -> Generator[simpy.Event, Any, tuple[End, str]]:
        sent_to: list[str] = []
        while len(sent_to) <= _MAX_REFUSALS:
            choice = self._pick("models", call, sent_to)
            if choice is None:
                break
            instance = choice.instance
            balancer = self.policy.balancer
            if rank >= urgency.URGENCY_EXPIRED and balancer.is_busy(
                instance, self._now_ms
            ):
                break
            sent_to.append(instance.id)
            engine = self._world.engines[instance.id]
            self._world.passed(self.domain, instance.domain, turn.prompt)
            yield self._way(instance)
            if not engine.is_up:
                yield self._env.timeout(_CONNECT_MS)
                balancer.record_failure(instance, self._now_ms, immediate=True)
                continue
            end = yield from self._exchange(engine, choice, call, turn, rank)
            if end is End.SERVED:
                return end, instance.id
            # A server that has died doesn't count as one that was asked.
            if engine.is_up:
                return end, ""
        return End.REFUSED, ""

    def _exchange(
        self,
        engine: Engine,
        choice: Choice,
        call: RouteCall,
        turn: Turn,
        rank: int,
    ) -> Steps:
        instance = choice.instance
        self.policy.balancer.record_sent(instance, call)
        sent_ms = self._env.now
        yield self._env.timeout(engine.shape.first_ms)
        job = engine.submit(turn.prompt, turn.tokens, rank)
        try:
            yield job.first | job.done
            if job.first.triggered:
                yield self._way(instance)
                load = engine.load()
                self.policy.balancer.report_load(instance, load, self._now_ms)
                first_ms = self._env.now - sent_ms
                yield job.done
                yield self._way(instance)
            if not job.done.value:
                self.policy.balancer.record_failure(
                    instance, self._now_ms, immediate=False
                )
                return End.BROKEN
            self.policy.balancer.record_success(instance)
            self._learn(choice, call, job, first_ms, load.running, load.waiting)
            return End.SERVED
        finally:
            engine.cancel(job)
            self.policy.balancer.record_ended(instance)

    def _learn(
        self,
        choice: Choice,
        call: RouteCall,
        job: Job,
        first_ms: float,
        running: int,
        waiting: int,
    ) -> None:
        wanted = sum(part.tokens for part in call.prompt)
        new = call.prompt[-1].tokens
        instance = choice.instance
        sample = StreamTimings(
            prefilled_tokens=new
            if choice.cached_tokens == wanted - new
            else None,
            first_ms=first_ms,
            gaps_ms=job.gaps_ms,
            concurrent=max(0, running - 1),
            waiting=waiting,
        )
        self.policy.speeds.record_stream(
            "models", instance.id, instance.started_ms, sample, self._now_ms
        )

    def _await_call(
        self, service: Service, instance: Instance, running: Call
    ) -> Steps:
        try:
            yield running.done
            yield self._way(instance)
            self._report_load(instance, service)
            self.policy.balancer.record_success(instance)
            return End.SERVED if running.done.value else End.BROKEN
        finally:
            service.cancel(running)
            self.policy.balancer.record_ended(instance)

    def _report_load(self, instance: Instance, service: Service) -> None:
        self.policy.balancer.report_load(instance, service.load(), self._now_ms)

    def _pick(
        self,
        service: str,
        call: RouteCall,
        sent_to: list[str],
        route: str = "",
    ) -> Choice | None:
        servers = [
            one for one in self._world.fleet.values() if one.service == service
        ]
        return self.policy.balancer.pick(
            servers, call, self._now_ms, sent_to, route
        )

    def _way(self, instance: Instance) -> simpy.Event:
        return self._env.timeout(
            self._world.delay_ms(self.domain, instance.domain)
        )

    @property
    def _now_ms(self) -> int:
        return round(self._env.now)
