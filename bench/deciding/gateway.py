"""Simulates a gateway, which decides with the product's own code."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Any

from catkinpin.core.control.turnrecords import Begin, Finish
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

    Steps = Generator[simpy.Event, Any, "Outcome"]

# Refusals by servers after which a gateway tries yet another server.
_MAX_REFUSALS = 3
# Timeout for connecting to a server.
_CONNECT_TIMEOUT_MS = 300
_RETAIN_MS = 60_000
_TOKEN_BUDGET = 1_000_000


class Outcome(enum.Enum):
    """Outcome of a request at a gateway."""

    SERVED = "served"
    REFUSED = "refused"
    BROKEN = "broken"


@dataclasses.dataclass(frozen=True)
class Turn:
    """A turn as its caller sends it.

    Attributes:
        tokens: Output tokens that the turn will generate; policies don't
            know them in advance.
        left_ms: Time that remains until the program's time limit.
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
        is_up: Whether callers can reach it.
        active_requests: Processes of its requests; they end when it crashes.
    """

    def __init__(self, site: Site, domain: str, policy: Policy) -> None:
        self.domain = domain
        self.policy = policy
        self.is_up = True
        self.active_requests: set[simpy.Process] = set()
        self._site = site
        self._env = site.env

    def serve_turn(self, turn: Turn) -> Steps:
        """Begins a turn in the ledger, runs it and finishes it there."""
        ledger = self._site.ledger
        yield self._env.timeout(self._site.scenario.links.record_ms)
        begun = ledger.begin(
            Begin(
                attempt=turn.attempt,
                program=turn.program,
                previous="",
                budget=_TOKEN_BUDGET,
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
        rank = self.policy.rank(begun.program_status)
        previous_server = self._site.fleet.get(begun.server)
        if previous_server is not None:
            self.policy.balancer.record_prompt(
                previous_server, turn.prompt[:-1]
            )
        began_ms = self._env.now
        outcome, server = yield from self._run_turn(call, turn, rank)
        took_ms = round(self._env.now - began_ms)
        tokens = turn.tokens if outcome is Outcome.SERVED else 0
        speed = self.policy.speeds.engine_speed("models")
        ledger.finish(
            Finish(
                attempt=turn.attempt,
                program=turn.program,
                tokens=tokens,
                is_whole=outcome is Outcome.SERVED,
                holders=["h"],
                size=0,
                at_ms=self._now_ms,
                server=server,
                lost_ms=urgency.lost_ms(call, tokens, took_ms, speed),
            )
        )
        if outcome is Outcome.SERVED:
            yield self._env.timeout(self._site.scenario.links.record_ms)
        return outcome

    def serve_call(self, call: ToolCall) -> Steps:
        """Serves a call to an application service."""
        route = call.tool.name
        sent_to: list[str] = []
        while len(sent_to) <= _MAX_REFUSALS:
            choice = self._pick_server("plain", RouteCall("x"), sent_to, route)
            if choice is None:
                return Outcome.REFUSED
            instance = choice.instance
            sent_to.append(instance.id)
            service = self._site.services[instance.id]
            yield self._network_delay(instance)
            self.policy.balancer.record_sent(instance, RouteCall("x"))
            sent_ms = self._env.now
            running = service.submit(call.work_ms)
            if running is None:
                self.policy.balancer.record_ended(instance)
                self._report_load(instance, service)
                continue
            outcome = yield from self._await_call(service, instance, running)
            if outcome is Outcome.SERVED:
                took_ms = self._env.now - sent_ms
                self.policy.speeds.record_plain_call(route, took_ms)
            return outcome
        return Outcome.REFUSED

    def _run_turn(
        self, call: RouteCall, turn: Turn, rank: int
    ) -> Generator[simpy.Event, Any, tuple[Outcome, str]]:
        sent_to: list[str] = []
        while len(sent_to) <= _MAX_REFUSALS:
            choice = self._pick_server("models", call, sent_to)
            if choice is None:
                break
            instance = choice.instance
            balancer = self.policy.balancer
            if rank >= urgency.URGENCY_EXPIRED and balancer.is_busy(
                instance, self._now_ms
            ):
                break
            sent_to.append(instance.id)
            engine = self._site.engines[instance.id]
            self._site.count_prompt(self.domain, instance.domain, turn.prompt)
            yield self._network_delay(instance)
            if not engine.is_up:
                yield self._env.timeout(_CONNECT_TIMEOUT_MS)
                balancer.record_failure(instance, self._now_ms, immediate=True)
                continue
            outcome = yield from self._stream_turn(
                engine, choice, call, turn, rank
            )
            if outcome is Outcome.SERVED:
                return outcome, instance.id
            # Only a crash of the server allows another attempt at this gateway.
            if engine.is_up:
                return outcome, ""
        return Outcome.REFUSED, ""

    def _stream_turn(
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
            yield job.first_token | job.done
            if job.first_token.triggered:
                yield self._network_delay(instance)
                load = engine.load()
                self.policy.balancer.report_load(instance, load, self._now_ms)
                first_ms = self._env.now - sent_ms
                yield job.done
                yield self._network_delay(instance)
            if not job.done.value:
                self.policy.balancer.record_failure(
                    instance, self._now_ms, immediate=False
                )
                return Outcome.BROKEN
            self.policy.balancer.record_success(instance)
            self._record_timings(
                choice, call, job, first_ms, load.running, load.waiting
            )
            return Outcome.SERVED
        finally:
            engine.cancel(job)
            self.policy.balancer.record_ended(instance)

    def _record_timings(
        self,
        choice: Choice,
        call: RouteCall,
        job: Job,
        first_ms: float,
        running: int,
        waiting: int,
    ) -> None:
        prompt_tokens = sum(part.tokens for part in call.prompt)
        new_tokens = call.prompt[-1].tokens
        instance = choice.instance
        sample = StreamTimings(
            prefilled_tokens=new_tokens
            if choice.cached_tokens == prompt_tokens - new_tokens
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
            yield self._network_delay(instance)
            self._report_load(instance, service)
            self.policy.balancer.record_success(instance)
            return Outcome.SERVED if running.done.value else Outcome.BROKEN
        finally:
            service.cancel(running)
            self.policy.balancer.record_ended(instance)

    def _report_load(self, instance: Instance, service: Service) -> None:
        self.policy.balancer.report_load(instance, service.load(), self._now_ms)

    def _pick_server(
        self,
        service: str,
        call: RouteCall,
        sent_to: list[str],
        route: str = "",
    ) -> Choice | None:
        servers = [
            one for one in self._site.fleet.values() if one.service == service
        ]
        return self.policy.balancer.pick(
            servers, call, self._now_ms, sent_to, route
        )

    def _network_delay(self, instance: Instance) -> simpy.Event:
        return self._env.timeout(
            self._site.delay_ms(self.domain, instance.domain)
        )

    @property
    def _now_ms(self) -> int:
        return round(self._env.now)
