"""Simulates callers, whose programs run turns, tools and sub-agents."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, Any, Protocol, cast

import simpy

from bench.deciding.gateway import Outcome, Turn
from bench.deciding.site import Site
from catkinpin.core.requests.calls import PromptPart

if TYPE_CHECKING:
    from collections.abc import Generator

    from bench.deciding.draws import AgentScript, ProgramScript, ToolCall
    from bench.deciding.gateway import Gateway, Steps

    SuccessSteps = Generator[simpy.Event, Any, bool]

# Attempts in one round of a request, and rounds of one turn.
_ATTEMPTS_PER_ROUND = 2
_TURN_ROUNDS = 3
_ROUND_BACKOFF_MS = (100, 400)
_REFUSED_BACKOFF_MS = 150
# Time until a caller notices that a gateway is down.
_GATEWAY_DOWN_TIMEOUT_MS = 1_000
_TURN_DEADLINE_MS = 6_000


@dataclasses.dataclass(frozen=True)
class EndedProgram:
    """A program that has ended.

    Attributes:
        took_ms: Time from its start; None if it failed.
    """

    script: ProgramScript
    took_ms: float | None

    @property
    def earned(self) -> float:
        """Returns the payoff.

        It is full within the time limit, reduced within twice the limit, and
        0 after that.
        """
        if self.took_ms is None or self.took_ms > 2 * self.script.aim_ms:
            return 0.0
        if self.took_ms <= self.script.aim_ms:
            return self.script.payoff
        shape = self.script.shape
        return self.script.payoff * shape.late_payoff / shape.payoff


class CallerSite(Site, Protocol):
    """Interface of a simulated deployment for its callers.

    Attributes:
        ended: Programs that have ended.
    """

    ended: list[EndedProgram]

    def gateway(self, draw: float) -> Gateway:
        """Returns the gateway that a draw in [0, 1) selects."""


class Caller:
    """Runs one program."""

    def __init__(self, site: CallerSite, script: ProgramScript) -> None:
        self._site = site
        self._env = site.env
        self._script = script
        self._rng = random.Random(script.seed)
        self._attempts = 0

    def run(self) -> Generator[simpy.Event, Any, None]:
        """Starts the program at its time and records how it ended."""
        yield self._env.timeout(self._script.at_ms)
        succeeded = yield from self._run_agent(
            self._script.agent, (self._script.shared,)
        )
        took_ms = self._env.now - self._script.at_ms if succeeded else None
        self._site.ended.append(EndedProgram(self._script, took_ms))

    def _run_agent(
        self, agent: AgentScript, prompt: tuple[PromptPart, ...]
    ) -> SuccessSteps:
        for number, turn in enumerate(agent.turns):
            part = PromptPart(f"{agent.name}/{number}", turn.new_tokens)
            draw = (
                self._script.gateway if turn.gateway is None else turn.gateway
            )
            turn_prompt = (*prompt, part)
            succeeded = yield from self._run_turn(
                agent, turn_prompt, turn.out_tokens, draw
            )
            if not succeeded:
                return False
            grown_part = PromptPart(part.id, turn.new_tokens + turn.out_tokens)
            prompt = (*prompt, grown_part)
            follow_ups = [
                self._env.process(self._run_tool_call(one))
                for one in turn.tools
            ]
            follow_ups += [
                self._env.process(self._run_agent(helper, prompt))
                for helper in turn.helpers
            ]
            yield self._env.timeout(turn.pause_ms)
            for process in follow_ups:
                if not (yield process):
                    return False
        return True

    def _run_turn(
        self,
        agent: AgentScript,
        prompt: tuple[PromptPart, ...],
        tokens: int,
        draw: float,
    ) -> SuccessSteps:
        for _ in range(_TURN_ROUNDS):
            for _ in range(_ATTEMPTS_PER_ROUND):
                self._attempts += 1
                turn = Turn(
                    attempt=f"{self._script.name}-{self._attempts}",
                    program=self._script.name,
                    session=agent.name,
                    prompt=prompt,
                    tokens=tokens,
                    left_ms=self._script.at_ms
                    + self._script.aim_ms
                    - self._env.now,
                )
                gateway = self._site.gateway(draw)
                outcome = yield from self._send(
                    gateway, gateway.serve_turn(turn), _TURN_DEADLINE_MS
                )
                if outcome is Outcome.SERVED:
                    return True
                draw = self._rng.random()
                if outcome is Outcome.REFUSED:
                    yield self._env.timeout(_REFUSED_BACKOFF_MS)
            yield self._env.timeout(self._rng.uniform(*_ROUND_BACKOFF_MS))
        return False

    def _run_tool_call(self, call: ToolCall) -> SuccessSteps:
        draw = self._script.gateway
        for _ in range(_ATTEMPTS_PER_ROUND):
            gateway = self._site.gateway(draw)
            outcome = yield from self._send(
                gateway, gateway.serve_call(call), call.tool.deadline_ms
            )
            if outcome is Outcome.SERVED:
                return True
            if outcome is Outcome.BROKEN and not call.tool.repeatable:
                return False
            draw = self._rng.random()
            yield self._env.timeout(_REFUSED_BACKOFF_MS)
        return False

    def _send(
        self, gateway: Gateway, steps: Steps, deadline_ms: float
    ) -> Steps:
        """Sends a request to a gateway and waits until the deadline."""
        delay_ms = self._site.scenario.links.caller_ms
        yield self._env.timeout(delay_ms)
        if not gateway.is_up:
            steps.close()
            yield self._env.timeout(_GATEWAY_DOWN_TIMEOUT_MS)
            return Outcome.REFUSED
        serving = self._env.process(_catch_interrupt(steps))
        gateway.active_requests.add(serving)
        yield serving | self._env.timeout(deadline_ms)
        gateway.active_requests.discard(serving)
        if serving.is_alive:
            serving.interrupt()
            return Outcome.BROKEN
        yield self._env.timeout(delay_ms)
        return cast("Outcome", serving.value)


def _catch_interrupt(steps: Steps) -> Steps:
    """Ends a request when its caller gives up or its gateway crashes."""
    try:
        return (yield from steps)
    except simpy.Interrupt:
        return Outcome.BROKEN
