"""Which server a gateway sends a request to.

Each gateway decides by itself, from what its own requests brought back: the
load that servers tell in their answers, how fast they are, what it has sent
since, which prompt parts it has sent where, and which servers failed. It
answers two patterns.

Long shared prompts: all answers that run on an engine wait while it reads one.
So what a request costs the others counts like what it costs itself: a request
goes where its parts were read, unless the queue there is worse than reading
them again for all. Weighed by its own latency alone, work spreads under load,
more is read, and every answer gets slower.

Many gateways that decide at once: a load report is old when it
is used. Picking the least loaded would send all gateways to the same server.
So what we sent since counts on top, and near ties are drawn by lot. A server
without a recent load report is taken to be as busy as the others are:
taken for idle, it would draw sessions away from where their prompts lie.
"""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.control.servers import ServerState
from catkinpin.core.placement import speeds
from catkinpin.core.placement.shortlist import cached_tokens, shortlist

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Container, Iterable

    from catkinpin.core.control.servers import Instance
    from catkinpin.core.placement.speeds import EngineSpeed, Speeds
    from catkinpin.core.requests.calls import Load, PromptPart, RouteCall

# Answers come to about half of the most that they may generate.
_EXPECTED_TOKENS_SHARE = 0.5
# Of a plain call's time, what a server that had the same session saves.
_AFFINITY_SHARE = 0.5
# What a ms of reading costs each request beside it, in ms: that one, and more
# for the requests that come until the engine has made up for it.
_READING_WEIGHT = 3.0
# Way to a server in another failure domain of the region, and in another
# region, there and back, in ms. Bytes between regions cost besides.
_DOMAIN_MS = 3.0
_REGION_MS = 24.0
# Load reports older than this are ignored.
_LOAD_OLD_MS = 1_500
# Of a server's slots. Beyond it, a turn that gains nobody anything any more
# would slow many that can still be in time.
_BUSY_SHARE = 0.5
# Of the others' load, what a server that never reported is taken to have:
# it may have just come, or this gateway has.
_UNKNOWN_SHARE = 0.5
# No server runs, or has waiting, as many requests as this.
_MAX_REPORTED = 100_000
# Costs this near are drawn by lot.
_TIE_MS = 2.0
# Prompt parts remembered per server; some 40 bytes each.
_MAX_PARTS = 2_000
# A server that failed gets nothing for this long, doubled each time in a row.
_EJECT_MS = 400
_MAX_EJECT_MS = 6_000
# Failures by silence or reset within the window that eject a server.
_FAILURES = 2
_FAILURE_WINDOW_MS = 3_000


@dataclasses.dataclass
class TrackedServer:
    """What is known of one incarnation of a server.

    Attributes:
        id: the same for all of its incarnations.
        started_ms: start of this incarnation.
        sent: requests under way there from here.
        since: requests sent from here since its last load report.
        parts: prompt parts that it has read, oldest use first.
    """

    id: str
    started_ms: int
    in_flight: int = 0
    sent_since_report: int = 0
    load: Load | None = None
    load_reported_ms: int = 0
    prompt_parts: collections.OrderedDict[str, None] = dataclasses.field(
        default_factory=collections.OrderedDict
    )
    failures: int = 0
    failed_at_ms: int = 0
    ejections: int = 0
    ejected_until_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Choice:
    """A server and why it was picked, for the log.

    Attributes:
        cost_ms: what was expected when it was picked, for it and for others.
        cached_tokens: of the prompt, believed to be held there.
        load_age_ms: age of the load that was used, -1 for none.
        running: requests believed to run and wait there.
        speed: of the server, as it was learned; None for a plain service.
    """

    instance: Instance
    cost_ms: float
    cached_tokens: int
    load_age_ms: int
    running: int = 0
    speed: EngineSpeed | None = None


@dataclasses.dataclass(frozen=True)
class WorkEstimate:
    """What a request takes at one server, in ms.

    Attributes:
        read: reading of its prompt, for which all others wait.
        alone: the rest, where nothing runs beside it.
        beside: what each request beside it adds to that, and it to theirs.
    """

    prefill_ms: float
    idle_ms: float
    per_concurrent_ms: float

    def run_ms(self, running: int) -> float:
        """Returns how long the rest takes beside others."""
        return self.idle_ms + self.per_concurrent_ms * running


class Balancer:
    """Picks servers for one gateway.

    Args:
        domain: failure domain of this gateway.
        regions: region of each failure domain.
        rng: draws near ties.
        speeds: of the servers, as far as known here.
        region_cost_ms: weight of a server in another region.
    """

    def __init__(
        self,
        domain: str,
        regions: dict[str, str],
        rng: random.Random,
        speeds: Speeds,
        region_cost_ms: float = _REGION_MS,
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
    ) -> Choice | None:
        """Returns the server for a request, None where there is none.

        Args:
            servers: of the service.
            call: the request.
            now_ms: monotonic time.
            avoid: servers that this request was sent to already.
            route: its name; plain calls of one take about the same time.
            domain: failure domain that the request comes from; empty: ours.
        """
        listed = shortlist(servers, call.prompt, self._cached_parts, self._rng)
        ready = [
            one
            for one in listed
            if one.state is ServerState.READY and one.id not in avoid
        ]
        fit = [one for one in ready if not self._is_ejected(one, now_ms)]
        # If all failed, the fault may be ours or on the way: try them anyway.
        fit = fit or ready
        usual = self._usual_load(fit, now_ms)
        origin = domain or self._domain
        found = [
            self._estimate(one, call, route, now_ms, usual, origin)
            for one in fit
        ]
        if not found:
            return None
        least = min(choice.cost_ms for choice in found)
        near = [c for c in found if c.cost_ms <= least + _TIE_MS]
        return self._rng.choice(near)

    def estimate(
        self, instance: Instance, call: RouteCall, now_ms: int
    ) -> Choice | None:
        """Returns a choice that was made elsewhere; None if it is ejected."""
        if self._is_ejected(instance, now_ms):
            return None
        usual = self._usual_load([instance], now_ms)
        return self._estimate(instance, call, "", now_ms, usual, self._domain)

    def record_sent(self, instance: Instance, call: RouteCall) -> None:
        """Notes that a request goes to a server."""
        server = self._tracked(instance)
        server.in_flight += 1
        server.sent_since_report += 1
        self.record_prompt(instance, call.prompt)
        if call.affinity:
            self._affinity[call.affinity] = instance.id
            self._affinity.move_to_end(call.affinity)
            while len(self._affinity) > _MAX_PARTS:
                self._affinity.popitem(last=False)

    def record_prompt(
        self, instance: Instance, prompt: Iterable[PromptPart]
    ) -> None:
        """Notes the prompt parts that a server holds from now on."""
        parts = self._tracked(instance).prompt_parts
        for part in prompt:
            parts[part.id] = None
            parts.move_to_end(part.id)
        while len(parts) > _MAX_PARTS:
            parts.popitem(last=False)

    def record_ended(self, instance: Instance) -> None:
        """Notes that a request is no longer under way."""
        server = self._tracked(instance)
        server.in_flight = max(0, server.in_flight - 1)

    def report_load(self, instance: Instance, load: Load, now_ms: int) -> bool:
        """Records the load that a server reported with an answer.

        Returns:
            Whether it can be true; an absurd one changes nothing.
        """
        if not _is_plausible(load):
            return False
        server = self._tracked(instance)
        server.load = load
        server.load_reported_ms = now_ms
        server.sent_since_report = 0
        return True

    def record_success(self, instance: Instance) -> None:
        """Notes an answer."""
        server = self._tracked(instance)
        server.failures = 0
        server.ejections = 0

    def record_failure(
        self, instance: Instance, now_ms: int, *, immediate: bool
    ) -> bool:
        """Notes a failure; returns whether the server is ejected by it.

        Args:
            instance: the server.
            now_ms: monotonic time.
            immediate: whether the server can't be reached at all.
        """
        server = self._tracked(instance)
        if now_ms - server.failed_at_ms > _FAILURE_WINDOW_MS:
            server.failures = 0
        server.failed_at_ms = now_ms
        server.failures += 1
        if not immediate and server.failures < _FAILURES:
            return False
        wait = min(_MAX_EJECT_MS, _EJECT_MS << min(server.ejections, 5))
        server.ejections += 1
        server.ejected_until_ms = now_ms + wait
        server.prompt_parts.clear()
        return True

    def eject_until(self, server: str, until_ms: int) -> None:
        """Leaves a server out for a while, without a failure of ours."""
        known = self._servers.get(server)
        if known is not None:
            known.ejected_until_ms = max(known.ejected_until_ms, until_ms)

    def ejected_servers(
        self, servers: Iterable[Instance], now_ms: int
    ) -> frozenset[str]:
        """Returns which servers get nothing now."""
        out = (one.id for one in servers if self._is_ejected(one, now_ms))
        return frozenset(out)

    def forget(self, server: str) -> None:
        """Forgets a server that is gone."""
        self._servers.pop(server, None)
        self._speeds.forget(server)

    def used_slot_share(self, instance: Instance, now_ms: int) -> float:
        """Returns the part of a server's slots that seems taken."""
        server = self._tracked(instance)
        slots = self._slots(instance, server)
        return self._running_estimate(server, now_ms) / slots

    def is_busy(self, instance: Instance, now_ms: int) -> bool:
        """Returns whether one more request would make others late."""
        return self.used_slot_share(instance, now_ms) >= _BUSY_SHARE

    def _is_ejected(self, instance: Instance, now_ms: int) -> bool:
        return self._tracked(instance).ejected_until_ms > now_ms

    def _tracked(self, instance: Instance) -> TrackedServer:
        server = self._servers.get(instance.id)
        if server is None or server.started_ms != instance.started_ms:
            server = TrackedServer(instance.id, instance.started_ms)
            self._servers[instance.id] = server
        return server

    def _estimate(
        self,
        instance: Instance,
        call: RouteCall,
        route: str,
        now_ms: int,
        usual: float,
        origin: str,
    ) -> Choice:
        server = self._tracked(instance)
        cached = cached_tokens(server.prompt_parts, call.prompt)
        speed = self._speed(instance, call, now_ms)
        work = self._work(call, route, cached, speed)
        slots = self._slots(instance, server)
        running = self._running_estimate(server, now_ms)
        if not self._is_fresh(server, now_ms):
            part = usual if server.load is not None else usual * _UNKNOWN_SHARE
            running = max(running, round(part * slots))
        beside = min(running, slots - 1)
        queued = max(0, running + 1 - slots)
        wait = queued * work.run_ms(slots) / slots
        own = (
            wait
            + work.prefill_ms
            + work.run_ms(beside)
            + self._delay_ms(instance, origin)
        )
        cost = own + self._cost_to_others_ms(work, beside, queued, slots)
        if call.affinity and self._affinity.get(call.affinity) == instance.id:
            cost -= self._speeds.plain_ms(route) * _AFFINITY_SHARE
        age = (
            now_ms - server.load_reported_ms if server.load is not None else -1
        )
        return Choice(instance, cost, cached, age, running, speed)

    def _cost_to_others_ms(
        self, work: WorkEstimate, beside: int, queued: int, slots: int
    ) -> float:
        """Returns what a request costs those that run and wait there."""
        waiting = queued * (work.prefill_ms + work.run_ms(beside)) / slots
        reading = work.prefill_ms * _READING_WEIGHT
        return beside * (reading + work.per_concurrent_ms) + waiting

    def _speed(
        self, instance: Instance, call: RouteCall, now_ms: int
    ) -> EngineSpeed | None:
        """Returns how fast a model server is, None for a plain service."""
        if not call.max_tokens:
            return None
        usual = self._speeds.engine_speed(instance.service)
        return usual.scaled(self._speeds.slowdown(instance.id, now_ms))

    def _work(
        self,
        call: RouteCall,
        route: str,
        cached: int,
        speed: EngineSpeed | None,
    ) -> WorkEstimate:
        """Returns what a request takes at a server."""
        if speed is None:
            plain_ms = self._speeds.plain_ms(route)
            return WorkEstimate(0.0, plain_ms, speeds.plain_beside_ms(plain_ms))
        wanted = sum(part.tokens for part in call.prompt)
        tokens = call.max_tokens * _EXPECTED_TOKENS_SHARE
        return WorkEstimate(
            (wanted - cached) * speed.read_ms,
            tokens * speed.token_ms,
            tokens * speed.beside_ms,
        )

    def _usual_load(self, servers: list[Instance], now_ms: int) -> float:
        """Returns the mean part of slots taken, where it is known."""
        known = [
            self.used_slot_share(one, now_ms)
            for one in servers
            if self._is_fresh(self._tracked(one), now_ms)
        ]
        return sum(known) / len(known) if known else 0.0

    def _running_estimate(self, server: TrackedServer, now_ms: int) -> int:
        load = server.load
        if load is None or not self._is_fresh(server, now_ms):
            return server.in_flight
        report_load = load.running + load.waiting + server.sent_since_report
        return max(server.in_flight, report_load)

    def _is_fresh(self, server: TrackedServer, now_ms: int) -> bool:
        """Returns whether a server's load report is recent enough."""
        return server.load is not None and (
            now_ms - server.load_reported_ms <= _LOAD_OLD_MS
        )

    def _cached_parts(self, server: str) -> Container[str]:
        """Returns the prompt parts that a server seems to hold."""
        known = self._servers.get(server)
        return known.prompt_parts if known is not None else ()

    def _slots(self, instance: Instance, server: TrackedServer) -> int:
        slots = server.load.slots if server.load else instance.slots
        return max(slots, 1)

    def _delay_ms(self, instance: Instance, origin: str) -> float:
        if instance.domain == origin:
            return 0.0
        ours = self._regions.get(origin, "")
        if self._regions.get(instance.domain, "") == ours:
            return _DOMAIN_MS
        return self._region_cost_ms


def _is_plausible(load: Load) -> bool:
    counts = (load.running, load.waiting, load.slots)
    return all(0 <= n <= _MAX_REPORTED for n in counts) and load.slots > 0
