"""Which model server the control group's leader names for a turn.

The pattern: many gateways, each of which sees a turn or two a second. None of
them knows what the others send where, so sessions start on busy engines while
others are idle, and each engine reads each shared prompt. But every turn
passes the leader: its begin before a server is chosen, its finish after. So
the leader counts what runs where, and names a server with the begin's reply.

All of it is soft state. A new leader starts without any and learns it from the
turns that begin and finish; a gateway that gets no name chooses by itself.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.codec import Message
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.speeds import EngineSpeed, Speeds
from catkinpin.core.requests.calls import PromptPart, RouteCall

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from catkinpin.core.control.servers import Instance

# A turn is forgotten this long after its deadline: its gateway has died.
_EXPIRY_SLACK_MS = 500
_SWEEP_EVERY_MS = 500
# Weight of a server in another region. The leader knows enough to keep most
# prompts in their region, and the link between regions is narrow.
_REGION_MS = 100.0
# Part of the way that a service's speed moves towards each report.
_SPEED_WEIGHT = 0.05
# Turns that are tracked; beyond it none is placed.
_MAX_TURNS = 20_000


class PlaceTurn(Message, frozen=True):
    """What the leader must know of a turn to name a server for it.

    Attributes:
        domain: failure domain of the gateway.
        max_tokens: that the turn may generate.
        left_ms: until its deadline.
    """

    service: str
    domain: str
    prompt: list[PromptPart]
    max_tokens: int
    left_ms: int


class TurnReport(Message, frozen=True):
    """What a gateway reports about the servers of a turn that has ended.

    Attributes:
        failed: servers that failed it.
        speed: of the service, as the gateway has learned it.
    """

    failed: list[str] = []
    speed: EngineSpeed | None = None


@dataclasses.dataclass
class _PlacedTurn:
    """A turn that counts at a server until it is settled."""

    instance: Instance
    until_ms: int


class ReportedSpeeds(Speeds):
    """Speeds of engines, averaged over what gateways report."""

    def __init__(self) -> None:
        super().__init__()
        self._reported: dict[str, EngineSpeed] = {}

    def engine_speed(self, service: str) -> EngineSpeed:
        """Returns how fast a usual model server of a service is."""
        return self._reported.get(service, EngineSpeed())

    def add_report(self, service: str, speed: EngineSpeed) -> None:
        """Takes in what a gateway has learned."""
        known = self.engine_speed(service)
        self._reported[service] = EngineSpeed(
            _moved(known.read_ms, speed.read_ms),
            _moved(known.token_ms, speed.token_ms),
            _moved(known.beside_ms, speed.beside_ms),
        )


class Placer:
    """Places the turns of all gateways.

    Args:
        regions: region of each failure domain.
        rng: draws near ties.
    """

    def __init__(self, regions: dict[str, str], rng: random.Random) -> None:
        self._regions = regions
        self._rng = rng
        self.reset()

    def reset(self) -> None:
        """Forgets everything; another leader may have placed turns since."""
        self._speeds = ReportedSpeeds()
        self._balancer = Balancer(
            "",
            self._regions,
            self._rng,
            self._speeds,
            region_cost_ms=_REGION_MS,
        )
        self._turns: dict[str, _PlacedTurn] = {}
        self._swept_ms = 0

    @property
    def running_turns(self) -> int:
        """How many turns count at servers now."""
        return len(self._turns)

    def reported_speed(self, service: str) -> EngineSpeed:
        """Returns how fast a usual server of a service is, as reported."""
        return self._speeds.engine_speed(service)

    def place(
        self,
        attempt: str,
        turn: PlaceTurn,
        servers: Collection[Instance],
        last_server: Instance | None,
        now_ms: int,
    ) -> str:
        """Returns the server for a turn, empty where there is none.

        Args:
            attempt: identity of the turn; a resend gets the same server.
            turn: what is asked for.
            servers: of the turn's service.
            last_server: that ran the program's latest turn, and so holds what
                its prompt begins with; None if that is not known.
            now_ms: monotonic time.
        """
        self._sweep(now_ms)
        placed = self._turns.get(attempt)
        if placed is not None:
            return placed.instance.id
        if len(self._turns) >= _MAX_TURNS:
            return ""
        if last_server is not None:
            self._balancer.record_prompt(last_server, turn.prompt[:-1])
        call = RouteCall(
            attempt=attempt,
            prompt=tuple(turn.prompt),
            max_tokens=turn.max_tokens,
        )
        choice = self._balancer.pick(servers, call, now_ms, domain=turn.domain)
        if choice is None:
            return ""
        self._balancer.record_sent(choice.instance, call)
        until_ms = now_ms + turn.left_ms + _EXPIRY_SLACK_MS
        self._turns[attempt] = _PlacedTurn(choice.instance, until_ms)
        return choice.instance.id

    def finish(self, attempt: str, report: TurnReport, now_ms: int) -> None:
        """Takes a turn off its server; one that was never placed is ignored.

        Only the server that was named can be reported as failed: a gateway
        whose own connections are broken must not eject the others' servers.
        """
        placed = self._turns.pop(attempt, None)
        if placed is None:
            return
        instance = placed.instance
        self._balancer.record_ended(instance)
        if instance.id in report.failed:
            self._balancer.record_failure(instance, now_ms, immediate=False)
        else:
            self._balancer.record_success(instance)
        if report.speed is not None and report.speed.is_plausible:
            self._speeds.add_report(instance.service, report.speed)

    def forget(self, server: str) -> None:
        """Forgets a server that is gone."""
        self._balancer.forget(server)

    def _sweep(self, now_ms: int) -> None:
        if now_ms - self._swept_ms < _SWEEP_EVERY_MS:
            return
        self._swept_ms = now_ms
        expired = [
            attempt
            for attempt, placed in self._turns.items()
            if placed.until_ms < now_ms
        ]
        for attempt in expired:
            self._balancer.record_ended(self._turns.pop(attempt).instance)


def _moved(known: float, reported: float) -> float:
    return known + (reported - known) * _SPEED_WEIGHT
