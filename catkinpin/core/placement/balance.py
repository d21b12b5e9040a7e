"""Selects the server to which a gateway sends a request.

Each gateway decides independently, from its own requests: the load that
servers report with their answers, their speed, the requests sent since the
last report, the prompt parts sent to each server, and failures.

Long shared prompts: while an engine prefills a prompt, all answers that it
generates wait. The cost of a request therefore includes the delay that it
causes to other requests. A request goes to the server that has cached its
prompt, unless the queue there costs more than another prefill. If only the
request's own latency counted, load would spread requests over the servers,
prefills would multiply and every answer would slow down.

Many gateways that decide at the same time: load reports are out of date when
they are used, and choosing the least loaded server would send all gateways to
the same one. The balancer therefore adds the requests that it has sent since
the report, and chooses at random between servers of nearly equal cost. For a
server without a recent report it assumes the mean load of the others; assumed
idle, it would attract sessions away from the servers with their prompts.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.control.servers import ServerState
from catkinpin.core.placement import speeds
from catkinpin.core.placement.shortlist import cached_tokens, shortlist
from catkinpin.core.placement.speeds import WorkEstimate
from catkinpin.core.placement.tracked import ServerStatus, TrackedServer

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Container, Iterable

    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.speeds import EngineSpeed, Speeds
    from catkinpin.core.requests.calls import Load, PromptPart, RouteCall

# Answers use about half of their max_tokens.
_EXPECTED_OUTPUT_SHARE = 0.5
# Share of a plain call's time saved by a server that knows its session.
_AFFINITY_SAVED_SHARE = 0.5
# Delay in ms that each ms of prefill causes to every concurrent request. Above
# 1, because requests that arrive until the engine has caught up wait as well.
_PREFILL_DELAY_WEIGHT = 3.0
# Round trip to a server in another failure domain of the region, and to one in
# another region. Bytes between regions are costly as well.
_CROSS_DOMAIN_MS = 3.0
_CROSS_REGION_MS = 24.0
# Cost of opening a connection to a server in the region or in another one: a
# round trip, and a slot at the server for about a ms.
_CONNECTION_MS = 8.0
_REGION_CONNECTION_MS = 24.0
# Share of used slots from which a server is busy. On a busy server, a turn
# whose program has expired would slow down turns that can still be in time.
_BUSY_SLOT_SHARE = 0.5
# Load assumed for a server that never reported, as a share of the mean load of
# the others: the server or this gateway may have just started.
_UNREPORTED_SHARE = 0.5
# Among costs within this margin of the lowest, one is chosen at random.
_TIE_MARGIN_MS = 2.0
# Prompt parts remembered per server, about 40 bytes each.
_MAX_PROMPT_PARTS = 2_000
# Length of the first ejection of a server, doubled with each consecutive
# ejection up to the maximum.
_EJECT_BASE_MS = 400
_MAX_EJECT_MS = 6_000
# Timeouts or connection resets within the window that eject a server.
_FAILURES_TO_EJECT = 2
_FAILURE_WINDOW_MS = 3_000


@dataclasses.dataclass(frozen=True)
class Choice:
    """A selected server, with the estimates behind the choice for the log.

    Attributes:
        cost_ms: Estimated cost to the request and to concurrent requests.
        cached_tokens: Prompt tokens that the server is assumed to have cached.
        load_age_ms: Age of the load report that was used, -1 for none.
        running: Estimated number of running and waiting requests.
        speed: Learned speed of a model server; None for others.
        slowdown: Expected slowdown of the server's machine, 1 for none.
        slowdown_age_ms: Age of the report of the slowdown, -1 for none.
        connection_ms: Part of the cost that is for a new connection.
    """

    instance: Instance
    cost_ms: float
    cached_tokens: int
    load_age_ms: int
    running: int = 0
    speed: EngineSpeed | None = None
    slowdown: float = 1.0
    slowdown_age_ms: int = -1
    connection_ms: float = 0.0


class Balancer:
    """Selects servers for the requests of one gateway.

    Args:
        domain: Failure domain of this gateway.
        regions: Region of each failure domain.
        rng: Random generator that breaks ties.
        speeds: Learned speeds of the servers.
        region_cost_ms: Cost of using a server in another region.
    """

    def __init__(
        self,
        domain: str,
        regions: dict[str, str],
        rng: random.Random,
        speeds: Speeds,
        region_cost_ms: float = _CROSS_REGION_MS,
    ) -> None:
        self._domain = domain
        self._regions = regions
        self._rng = rng
        self._speeds = speeds
        self._region_cost_ms = region_cost_ms
        self._servers: dict[str, TrackedServer] = {}
        self._affinity: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    def pick(
        self,
        servers: Collection[Instance],
        call: RouteCall,
        now_ms: int,
        avoid: Collection[str] = (),
        route: str = "",
        domain: str = "",
        is_connected: Callable[[Instance], bool] | None = None,
    ) -> Choice | None:
        """Returns the server for a request, or None if no server is ready.

        Args:
            servers: Servers of the service.
            call: The request.
            now_ms: Monotonic time.
            avoid: IDs of the servers to which the request was already sent.
            route: Name of the route; its plain calls take similar times.
            domain: Failure domain of the request; empty for the gateway's.
            is_connected: Returns whether the request needs no new connection
                to a server; None if connections don't count.
        """
        subset = shortlist(servers, call.prompt, self._cached_parts, self._rng)
        ready = [
            instance
            for instance in subset
            if instance.state is ServerState.READY and instance.id not in avoid
        ]
        usable = [s for s in ready if not self._is_ejected(s, now_ms)]
        # If all are ejected, this gateway or the network may be at fault.
        usable = usable or ready
        mean_load = self._mean_load(usable, now_ms)
        origin = domain or self._domain
        choices = [
            self._estimate(instance, call, route, now_ms, mean_load, origin)
            for instance in usable
        ]
        if not choices:
            return None
        if is_connected is not None:
            choices = [
                choice
                if is_connected(choice.instance)
                else self._add_connection(choice, origin)
                for choice in choices
            ]
        lowest_ms = min(choice.cost_ms for choice in choices)
        tied = [c for c in choices if c.cost_ms <= lowest_ms + _TIE_MARGIN_MS]
        return self._rng.choice(tied)

    def estimate(
        self, instance: Instance, call: RouteCall, now_ms: int
    ) -> Choice | None:
        """Returns the estimate for a given server, or None if it is ejected."""
        if self._is_ejected(instance, now_ms):
            return None
        mean_load = self._mean_load([instance], now_ms)
        return self._estimate(
            instance, call, "", now_ms, mean_load, self._domain
        )

    def record_sent(self, instance: Instance, call: RouteCall) -> None:
        """Records that a request is sent to a server."""
        server = self._tracked(instance)
        server.in_flight += 1
        server.sent_since_report += 1
        self.record_prompt(instance, call.prompt)
        if call.affinity:
            self._affinity[call.affinity] = instance.id
            self._affinity.move_to_end(call.affinity)
            while len(self._affinity) > _MAX_PROMPT_PARTS:
                self._affinity.popitem(last=False)

    def record_prompt(
        self, instance: Instance, prompt: Iterable[PromptPart]
    ) -> None:
        """Records the prompt parts that a server has now cached."""
        parts = self._tracked(instance).prompt_parts
        for part in prompt:
            parts[part.id] = None
            parts.move_to_end(part.id)
        while len(parts) > _MAX_PROMPT_PARTS:
            parts.popitem(last=False)

    def record_ended(self, instance: Instance) -> None:
        """Records that a request is no longer in flight."""
        server = self._tracked(instance)
        server.in_flight = max(0, server.in_flight - 1)

    def report_load(self, instance: Instance, load: Load, now_ms: int) -> bool:
        """Records the load that a server reported with an answer.

        Returns:
            Whether the load is plausible; an implausible one is ignored.
        """
        return self._tracked(instance).report_load(load, now_ms)

    def report_slowdown(
        self, server: str, slowdown: float, reported_ms: int, now_ms: int
    ) -> bool:
        """Records a slowdown without a load; returns whether it is used."""
        known = self._servers.get(server)
        return known is not None and known.report_slowdown(
            slowdown, reported_ms, now_ms
        )

    def record_success(self, instance: Instance) -> None:
        """Records a successful answer, which resets the failure counts."""
        server = self._tracked(instance)
        server.failures = 0
        server.ejections = 0

    def record_failure(
        self, instance: Instance, now_ms: int, *, immediate: bool
    ) -> bool:
        """Records a failure and returns whether it ejects the server.

        Args:
            instance: The server.
            now_ms: Monotonic time.
            immediate: Whether this failure alone is enough to eject it, as
                when the server cannot be reached at all.
        """
        server = self._tracked(instance)
        if now_ms - server.failed_at_ms > _FAILURE_WINDOW_MS:
            server.failures = 0
        server.failed_at_ms = now_ms
        server.failures += 1
        if not immediate and server.failures < _FAILURES_TO_EJECT:
            return False
        wait_ms = min(_MAX_EJECT_MS, _EJECT_BASE_MS << min(server.ejections, 5))
        server.ejections += 1
        server.ejected_until_ms = now_ms + wait_ms
        server.prompt_parts.clear()
        return True

    def eject_until(self, server: str, until_ms: int) -> None:
        """Ejects a server that has not failed any request of this gateway."""
        known = self._servers.get(server)
        if known is not None:
            known.ejected_until_ms = max(known.ejected_until_ms, until_ms)

    def ejected_servers(
        self, servers: Iterable[Instance], now_ms: int
    ) -> frozenset[str]:
        """Returns the IDs of those servers that are ejected now."""
        ejected = (s.id for s in servers if self._is_ejected(s, now_ms))
        return frozenset(ejected)

    def forget(self, server: str) -> None:
        """Removes the state of a server that is gone."""
        self._servers.pop(server, None)
        self._speeds.forget(server)

    def used_slot_share(self, instance: Instance, now_ms: int) -> float:
        """Returns the estimated share of a server's slots in use."""
        server = self._tracked(instance)
        slots = server.slots(instance)
        return server.running_estimate(now_ms) / slots

    def is_busy(self, instance: Instance, now_ms: int) -> bool:
        """Returns whether one more request would delay the others."""
        return self.used_slot_share(instance, now_ms) >= _BUSY_SLOT_SHARE

    def status(self, instance: Instance, now_ms: int) -> ServerStatus:
        """Returns what is known of a server's load and failures."""
        server = self._tracked(instance)
        recent = now_ms - server.failed_at_ms <= _FAILURE_WINDOW_MS
        return ServerStatus(
            self.used_slot_share(instance, now_ms),
            self._is_ejected(instance, now_ms)
            or (server.failures > 0 and recent),
            now_ms - server.load_reported_ms if server.load else -1,
        )

    def _is_ejected(self, instance: Instance, now_ms: int) -> bool:
        return self._tracked(instance).ejected_until_ms > now_ms

    def _tracked(self, instance: Instance) -> TrackedServer:
        server = self._servers.get(instance.id)
        if server is None or server.started_ms != instance.started_ms:
            server = self._new_server(instance)
            self._servers[instance.id] = server
        return server

    def _new_server(self, instance: Instance) -> TrackedServer:
        return TrackedServer(instance.id, instance.started_ms)

    def _estimate(
        self,
        instance: Instance,
        call: RouteCall,
        route: str,
        now_ms: int,
        mean_load: float,
        origin: str,
    ) -> Choice:
        server = self._tracked(instance)
        cached = cached_tokens(server.prompt_parts, call.prompt)
        speed = self._speed(instance, call, now_ms)
        slowdown = server.expected_slowdown(now_ms)
        work = self._work(call, route, cached, speed).scaled(slowdown)
        slots = server.slots(instance)
        running = server.running_estimate(now_ms)
        if not server.has_fresh_load(now_ms):
            share = (
                mean_load
                if server.load is not None
                else mean_load * _UNREPORTED_SHARE
            )
            running = max(running, round(share * slots))
        concurrent = min(running, slots - 1)
        queued = max(0, running + 1 - slots)
        wait_ms = queued * work.run_ms(slots) / slots
        own_ms = (
            wait_ms
            + work.prefill_ms
            + work.run_ms(concurrent)
            + self._delay_ms(instance, origin)
        )
        cost_ms = own_ms + self._cost_to_others_ms(
            work, concurrent, queued, slots
        )
        if call.affinity and self._affinity.get(call.affinity) == instance.id:
            cost_ms -= self._speeds.plain_ms(route) * _AFFINITY_SAVED_SHARE
        age = (
            now_ms - server.load_reported_ms if server.load is not None else -1
        )
        return Choice(
            instance,
            cost_ms,
            cached,
            age,
            running,
            speed,
            slowdown,
            server.slowdown_age_ms(now_ms),
        )

    def _add_connection(self, choice: Choice, origin: str) -> Choice:
        """Returns a choice with the cost of a new connection added."""
        domain = choice.instance.domain
        is_near = self._regions.get(domain, "") == self._regions.get(origin, "")
        cost_ms = _CONNECTION_MS if is_near else _REGION_CONNECTION_MS
        return dataclasses.replace(
            choice, cost_ms=choice.cost_ms + cost_ms, connection_ms=cost_ms
        )

    def _cost_to_others_ms(
        self, work: WorkEstimate, concurrent: int, queued: int, slots: int
    ) -> float:
        """Returns the delay that a request causes to other requests."""
        queue_ms = queued * (work.prefill_ms + work.run_ms(concurrent)) / slots
        prefill_ms = work.prefill_ms * _PREFILL_DELAY_WEIGHT
        return concurrent * (prefill_ms + work.per_concurrent_ms) + queue_ms

    def _speed(
        self, instance: Instance, call: RouteCall, now_ms: int
    ) -> EngineSpeed | None:
        """Returns the speed of a model server, None for others."""
        if not call.max_tokens:
            return None
        typical_speed = self._speeds.engine_speed(instance.service)
        return typical_speed.scaled(self._speeds.slowdown(instance.id, now_ms))

    def _work(
        self,
        call: RouteCall,
        route: str,
        cached: int,
        speed: EngineSpeed | None,
    ) -> WorkEstimate:
        """Returns the processing time of a request at a server."""
        if speed is None:
            plain_ms = self._speeds.plain_ms(route)
            return WorkEstimate(0.0, plain_ms, speeds.plain_beside_ms(plain_ms))
        prompt_tokens = sum(part.tokens for part in call.prompt)
        tokens = call.max_tokens * _EXPECTED_OUTPUT_SHARE
        return WorkEstimate(
            (prompt_tokens - cached) * speed.read_ms,
            tokens * speed.token_ms,
            tokens * speed.beside_ms,
        )

    def _mean_load(self, servers: list[Instance], now_ms: int) -> float:
        """Returns the mean share of used slots of recently reported servers."""
        known = [
            self.used_slot_share(instance, now_ms)
            for instance in servers
            if self._tracked(instance).has_fresh_load(now_ms)
        ]
        return sum(known) / len(known) if known else 0.0

    def _cached_parts(self, server: str) -> Container[str]:
        """Returns the prompt parts that a server is assumed to have cached."""
        known = self._servers.get(server)
        return known.prompt_parts if known is not None else ()

    def _delay_ms(self, instance: Instance, origin: str) -> float:
        if instance.domain == origin:
            return 0.0
        from_region = self._regions.get(origin, "")
        if self._regions.get(instance.domain, "") == from_region:
            return _CROSS_DOMAIN_MS
        return self._region_cost_ms
