"""Selects the model server for each turn on the leader of the control group.

With many gateways, each sees only one or two turns per second and does not
know where the others send theirs. New sessions would land on busy engines
while others are idle, and every engine would prefill every shared prompt. The
leader sees every turn: its begin before a server is chosen and its finish
afterwards. It therefore tracks the turns on each server, and the reply to a
begin names the server.

Where servers report how much slower their machines are at the moment, gateways
pass that on when a turn ends. Only the slowdown is taken from these reports;
the turns on each server are counted here.

All of this is soft state. A new leader starts with none and rebuilds it from
the turns that begin and finish; a gateway that gets no server name chooses
one itself.
"""

from __future__ import annotations

import dataclasses
import functools
from typing import TYPE_CHECKING

from catkinpin.codec import Message
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.shortlist import MAX_COMPARED
from catkinpin.core.placement.speeds import EngineSpeed, Speeds
from catkinpin.core.placement.usedservers import UsedServers
from catkinpin.core.requests.calls import PromptPart, RouteCall

if TYPE_CHECKING:
    import random
    from collections.abc import Collection

    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.placement.contention import ContendedServices

# A turn expires this long after its deadline, as its gateway must have died.
_EXPIRY_GRACE_MS = 500
_EXPIRY_INTERVAL_MS = 500
# Cost of a server in another region. It is higher than a gateway's: the leader
# knows enough to keep most prompts in their region, and the link between
# regions is narrow.
_CROSS_REGION_MS = 100.0
# Weight of a new report in the moving average of a service's speed.
_SPEED_WEIGHT = 0.05
# Limit of tracked turns; while it is reached, no further turn is placed.
_MAX_TURNS = 20_000


class PlaceTurn(Message, frozen=True):
    """Asks the leader to select a server for a turn.

    Attributes:
        domain: Failure domain of the gateway.
        max_tokens: Limit of the tokens that the turn generates.
        left_ms: Time left until its deadline.
        route: Name of its route; empty from a gateway of an earlier release.
    """

    service: str
    domain: str
    prompt: list[PromptPart]
    max_tokens: int
    left_ms: int
    route: str = ""


class ServerSlowdown(Message, frozen=True):
    """A slowdown that a server reported.

    Attributes:
        slowdown: How many times its usual duration work takes there.
        age_ms: Time since the gateway received it.
    """

    server: str
    slowdown: float
    age_ms: int


class TurnReport(Message, frozen=True):
    """Reports a gateway's observations of the servers of an ended turn.

    Attributes:
        failed: IDs of the servers that failed the turn.
        speed: Speed of the service as learned by the gateway.
        slowdowns: Slowdowns that servers reported with their answers.
    """

    failed: list[str] = []
    speed: EngineSpeed | None = None
    slowdowns: list[ServerSlowdown] = []


@dataclasses.dataclass
class _PlacedTurn:
    """A turn that counts as load of its server until it finishes or expires.

    Attributes:
        gateway: Name of the gateway that asked; empty if it is unknown or
            connections don't count.
    """

    choice: Choice
    until_ms: int
    gateway: str

    @property
    def instance(self) -> Instance:
        """The server of the turn."""
        return self.choice.instance


class ReportedSpeeds(Speeds):
    """Engine speeds, as a moving average of the gateways' reports."""

    def __init__(self) -> None:
        super().__init__()
        self._reported: dict[str, EngineSpeed] = {}

    def engine_speed(self, service: str) -> EngineSpeed:
        """Returns the typical speed of a service's model servers."""
        return self._reported.get(service, EngineSpeed())

    def add_report(self, service: str, speed: EngineSpeed) -> None:
        """Adds a gateway's report to the average."""
        known = self.engine_speed(service)
        self._reported[service] = EngineSpeed(
            _moving_average(known.read_ms, speed.read_ms),
            _moving_average(known.token_ms, speed.token_ms),
            _moving_average(known.beside_ms, speed.beside_ms),
        )


class Placer:
    """Selects servers for the turns of all gateways.

    Args:
        regions: Region of each failure domain.
        rng: Random generator that breaks ties.
        contention: For which services capacity is contended.
    """

    def __init__(
        self,
        regions: dict[str, str],
        rng: random.Random,
        contention: ContendedServices,
    ) -> None:
        self._regions = regions
        self._rng = rng
        self._contention = contention
        self.reset()

    def reset(self) -> None:
        """Clears all state, as another leader may have placed turns since."""
        self._speeds = ReportedSpeeds()
        self._balancer = Balancer(
            "",
            self._regions,
            self._rng,
            self._speeds,
            region_cost_ms=_CROSS_REGION_MS,
        )
        self._used_servers = UsedServers()
        self._turns: dict[str, _PlacedTurn] = {}
        self._last_expiry_ms = 0

    @property
    def running_turns(self) -> int:
        """Number of placed turns that have not finished or expired."""
        return len(self._turns)

    def reported_speed(self, service: str) -> EngineSpeed:
        """Returns the typical speed of a service's servers, as reported."""
        return self._speeds.engine_speed(service)

    def place(
        self,
        attempt: str,
        turn: PlaceTurn,
        servers: Collection[Instance],
        last_server: Instance | None,
        now_ms: int,
        gateway: str = "",
    ) -> str:
        """Returns the ID of the server for a turn, empty if there is none.

        Args:
            attempt: ID of the turn; a resent request gets the same server.
            turn: The turn to place.
            servers: Servers of the turn's service.
            last_server: Server of the program's previous turn, which has
                cached all but the last part of the prompt; None if unknown.
            now_ms: Monotonic time.
            gateway: Name of the asking gateway; empty if it is unknown.
        """
        self._remove_expired(now_ms)
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
        if not self._contention.is_contended(turn.service):
            gateway = ""
        choice = self._pick(servers, call, turn.domain, gateway, now_ms)
        if choice is None:
            return ""
        self._balancer.record_sent(choice.instance, call)
        until_ms = now_ms + turn.left_ms + _EXPIRY_GRACE_MS
        self._add(attempt, choice, gateway, until_ms, now_ms)
        return choice.instance.id

    def _pick(
        self,
        servers: Collection[Instance],
        call: RouteCall,
        domain: str,
        gateway: str,
        now_ms: int,
    ) -> Choice | None:
        """Returns the server for a turn, or None if no server is ready."""
        if not gateway:
            return self._balancer.pick(servers, call, now_ms, domain=domain)
        pick = functools.partial(
            self._balancer.pick,
            call=call,
            now_ms=now_ms,
            domain=domain,
            is_connected=self._used_servers.used_by(gateway, now_ms),
        )
        choice = pick(servers)
        if len(servers) <= MAX_COMPARED:
            return choice
        # Only a sample was compared, which holds few of the used servers.
        ids = self._used_servers.ids_used_by(gateway, now_ms)
        used = [server for server in servers if server.id in ids]
        ejected = self._balancer.ejected_servers(used, now_ms)
        used_choice = pick([s for s in used if s.id not in ejected])
        choices = [c for c in (used_choice, choice) if c is not None]
        return min(choices, key=lambda c: c.cost_ms, default=None)

    def _add(
        self,
        attempt: str,
        choice: Choice,
        gateway: str,
        until_ms: int,
        now_ms: int,
    ) -> None:
        self._turns[attempt] = _PlacedTurn(choice, until_ms, gateway)
        if gateway:
            self._used_servers.record_use(gateway, choice.instance, now_ms)

    def connection_ms(self, attempt: str) -> float | None:
        """Returns the part of a turn's cost that was for a new connection.

        Returns None for a turn that is not placed here, or if connections
        didn't count.
        """
        placed = self._turns.get(attempt)
        if placed is None or not placed.gateway:
            return None
        return placed.choice.connection_ms

    def choice_of(self, attempt: str) -> Choice | None:
        """Returns the choice for a placed turn, None for other turns."""
        placed = self._turns.get(attempt)
        return placed.choice if placed is not None else None

    def finish(
        self, attempt: str, report: TurnReport, now_ms: int
    ) -> list[ServerSlowdown]:
        """Ends a turn; does nothing for a turn that was not placed here.

        Only the server that was selected for the turn can be reported as
        failed. Otherwise a gateway whose own connections are broken would
        eject healthy servers for all gateways. Slowdowns are taken for any
        known server, as they are bounded and decay within a second.

        Returns:
            The reported slowdowns that are ignored.
        """
        placed = self._turns.pop(attempt, None)
        if placed is None:
            return report.slowdowns
        instance = placed.instance
        if report.slowdowns:
            self._contention.record_report(instance.service)
        self._balancer.record_ended(instance)
        if instance.id in report.failed:
            self._balancer.record_failure(instance, now_ms, immediate=False)
            self._used_servers.record_failure(placed.gateway, instance)
        else:
            self._balancer.record_success(instance)
            if placed.gateway:
                self._used_servers.record_use(placed.gateway, instance, now_ms)
        if report.speed is not None and report.speed.is_plausible:
            self._speeds.add_report(instance.service, report.speed)
        return [
            reported
            for reported in report.slowdowns
            if not self._balancer.report_slowdown(
                reported.server,
                reported.slowdown,
                now_ms - max(0, reported.age_ms),
                now_ms,
            )
        ]

    def forget(self, server: str) -> None:
        """Removes the state of a server that is gone."""
        self._balancer.forget(server)

    def _remove_expired(self, now_ms: int) -> None:
        if now_ms - self._last_expiry_ms < _EXPIRY_INTERVAL_MS:
            return
        self._last_expiry_ms = now_ms
        expired = [
            attempt
            for attempt, placed in self._turns.items()
            if placed.until_ms < now_ms
        ]
        for attempt in expired:
            self._balancer.record_ended(self._turns.pop(attempt).instance)


def _moving_average(known: float, reported: float) -> float:
    return known + (reported - known) * _SPEED_WEIGHT
