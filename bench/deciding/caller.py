"""Callers: programs of turns, tools and sub-agents, with their retries."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING, Any, Protocol, cast

import simpy

from bench.deciding.gateway import End, Turn
from bench.deciding.site import Site
from catkinpin.core.requests.calls import PromptPart

if TYPE_CHECKING:
    from collections.abc import Generator

    from bench.deciding.draws import LineScript, ProgramScript, ToolCall
    from bench.deciding.gateway import Gateway, Steps

    Whether = Generator[simpy.Event, Any, bool]

# Tries of one request, and how often a failed turn is sent once more.
_TRIES = 2
_TURN_SENDS = 3
_RETRY_MS = (100, 400)
_REFUSED_MS = 150
# A gateway that is gone is noticed after so long.
_NO_GATEWAY_MS = 1_000
_TURN_DEADLINE_MS = 6_000


@dataclasses.dataclass(frozen=True)
class Ended:
    """A program that has ended.

    Attributes:
        took_ms: from its begin; None where it failed.
    """

    script: ProgramScript
    took_ms: float | None

    @property
    def earned(self) -> float:
        """Returns its payoff: whole in time, less within twice the time."""
        if self.took_ms is None or self.took_ms > 2 * self.script.aim_ms:
            return 0.0
        if self.took_ms <= self.script.aim_ms:
            return self.script.payoff
        shape = self.script.shape
        return self.script.payoff * shape.late_payoff / shape.payoff


class CallerSite(Site, Protocol):
    """A site as its callers see it.

    Attributes:
        ended: programs that have ended.
    """

    ended: list[Ended]

    def gateway(self, draw: float) -> Gateway:
        """Returns the gateway for a draw in [0, 1)."""


class Caller:
    """Runs one program."""

    def __init__(self, world: CallerSite, script: ProgramScript) -> None:
        self._world = world
        self._env = world.env
        self._script = script
        self._rng = random.Random(script.seed)
        self._attempts = 0

    def run(self) -> Generator[simpy.Event, Any, None]:
        """Begins when the script says, and tells the world how it ended."""
        yield self._env.timeout(self._script.at_ms)
        whole = yield from self._line(self._script.line, (self._script.shared,))
        took_ms = self._env.now - self._script.at_ms if whole else None
        self._world.ended.append(Ended(self._script, took_ms))

    def _line(
        self, line: LineScript, prompt: tuple[PromptPart, ...]
    ) -> Whether:
        for number, turn in enumerate(line.turns):
            part = PromptPart(f"{line.name}/{number}", turn.new_tokens)
            draw = (
                self._script.gateway if turn.gateway is None else turn.gateway
            )
            asked = (*prompt, part)
            done = yield from self._turn(line, asked, turn.out_tokens, draw)
            if not done:
                return False
            grown = PromptPart(part.id, turn.new_tokens + turn.out_tokens)
            prompt = (*prompt, grown)
            after = [self._env.process(self._call(one)) for one in turn.tools]
            after += [
                self._env.process(self._line(helper, prompt))
                for helper in turn.helpers
            ]
            yield self._env.timeout(turn.pause_ms)
            for process in after:
                if not (yield process):
                    return False
        return True

    def _turn(
        self,
        line: LineScript,
        prompt: tuple[PromptPart, ...],
        tokens: int,
        draw: float,
    ) -> Whether:
        for _ in range(_TURN_SENDS):
            for _ in range(_TRIES):
                self._attempts += 1
                turn = Turn(
                    attempt=f"{self._script.name}-{self._attempts}",
                    program=self._script.name,
                    session=line.name,
                    prompt=prompt,
                    tokens=tokens,
                    left_ms=self._script.at_ms
                    + self._script.aim_ms
                    - self._env.now,
                )
                gateway = self._world.gateway(draw)
                end = yield from self._ask(
                    gateway, gateway.serve_turn(turn), _TURN_DEADLINE_MS
                )
                if end is End.SERVED:
                    return True
                draw = self._rng.random()
                if end is End.REFUSED:
                    yield self._env.timeout(_REFUSED_MS)
            yield self._env.timeout(self._rng.uniform(*_RETRY_MS))
        return False

    def _call(self, call: ToolCall) -> Whether:
        draw = self._script.gateway
        for _ in range(_TRIES):
            gateway = self._world.gateway(draw)
            end = yield from self._ask(
                gateway, gateway.serve_call(call), call.tool.deadline_ms
            )
            if end is End.SERVED:
                return True
            if end is End.BROKEN and not call.tool.repeatable:
                return False
            draw = self._rng.random()
            yield self._env.timeout(_REFUSED_MS)
        return False

    def _ask(self, gateway: Gateway, steps: Steps, deadline_ms: float) -> Steps:
        """Has a gateway serve a request, for as long as its caller waits."""
        delay_ms = self._world.scenario.links.caller_ms
        yield self._env.timeout(delay_ms)
        if not gateway.is_up:
            steps.close()
            yield self._env.timeout(_NO_GATEWAY_MS)
            return End.REFUSED
        serving = self._env.process(_guarded(steps))
        gateway.under_way.add(serving)
        yield serving | self._env.timeout(deadline_ms)
        gateway.under_way.discard(serving)
        if serving.is_alive:
            serving.interrupt()
            return End.BROKEN
        yield self._env.timeout(delay_ms)
        return cast("End", serving.value)


def _guarded(steps: Steps) -> Steps:
    """Ends a request whose caller has left, or whose gateway has died."""
    try:
        return (yield from steps)
    except simpy.Interrupt:
        return End.BROKEN
