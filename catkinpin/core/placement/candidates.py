"""Policies that choose a server for a call, and their cost model."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from catkinpin.core.messages import ProgramKey

if TYPE_CHECKING:
    from catkinpin.core.placement.jobs import Job
    from catkinpin.core.placement.servers import Server

# Memory is reserved for the full hold time once one in so many slots is used;
# below that, the hold time shrinks in proportion to the load.
_FULL_HOLD_SLOTS = 4
# Limit of the servers for which costs are computed.
_MAX_CANDIDATES = 32

Policy = Callable[["Job", list["Server"], int], "Server | None"]


@dataclasses.dataclass(frozen=True)
class CostModel:
    """Assumptions about engines and links behind the estimated costs.

    Attributes:
        prefill_tokens_per_ms: Tokens that an engine prefills per millisecond.
        recompute_weight: Weight of prefilling history again. It is above 1
            because the copy cached elsewhere wastes memory, and because the
            reason to move may be temporary.
        gap_per_call_ms: Time between tokens that each running call adds.
        expected_output_tokens: Tokens that a call is expected to generate.
        region_delay_ms: Network delay of a call and its answer between regions.
        link_bytes_per_ms: Bandwidth of the link between regions.
        bytes_per_token: Size of a token's text on the link.
        max_active_share: Share of an engine's cache that active programs may
            use.
        full_cache_ms: Cost for a new program if active programs use the whole
            cache; it is proportional to the used share.
        max_hold_ms: Pause after which a program is no longer active; shorter
            on a server with few running calls.
        min_hold_ms: Lower bound of that pause.
    """

    prefill_tokens_per_ms: float = 10.0
    recompute_weight: float = 4.0
    gap_per_call_ms: float = 0.35
    expected_output_tokens: int = 150
    region_delay_ms: float = 16.0
    link_bytes_per_ms: float = 1_875.0
    bytes_per_token: float = 1.6
    max_active_share: float = 0.9
    full_cache_ms: float = 1_000.0
    max_hold_ms: int = 30_000
    min_hold_ms: int = 2_000


@dataclasses.dataclass(frozen=True)
class Cost:
    """Estimated cost of a call on a server.

    Attributes:
        wait_ms: Delay by the running calls and by a full cache.
        prefill_ms: Prefill of the tokens that the server has not cached.
        transfer_ms: Network delay and transfer time between regions.
        fits: Whether the server has a free slot and enough memory.
    """

    server: Server
    wait_ms: float
    prefill_ms: float
    transfer_ms: float
    fits: bool

    @property
    def total_ms(self) -> float:
        """Sum of the costs."""
        return self.wait_ms + self.prefill_ms + self.transfer_ms


CostObserver = Callable[["Job", list[Cost], "Server | None", int], None]


def server_costs(
    job: Job,
    servers: list[Server],
    now_ms: int,
    model: CostModel,
    cache_share: float = 1.0,
) -> list[Cost]:
    """Returns the cost of a call on each server, the cheapest first.

    Args:
        job: The call.
        servers: The candidate servers.
        now_ms: Monotonic time.
        model: The cost model.
        cache_share: Share of each cache that this process may use; programs
            of other leaders, which are not visible here, use the rest.
    """
    costs = [
        _cost(job, server, now_ms, model, cache_share) for server in servers
    ]
    return sorted(
        costs, key=lambda cost: (cost.total_ms, cost.server.report.server)
    )


def by_cost(
    model: CostModel,
    cache_share: Callable[[], float] = lambda: 1.0,
    observe: CostObserver = lambda *_: None,
) -> Policy:
    """Returns a policy that chooses the cheapest server with free capacity.

    Args:
        model: The cost model.
        cache_share: Returns the share described at `server_costs`.
        observe: Called with each decision.
    """

    def choose(job: Job, servers: list[Server], now_ms: int) -> Server | None:
        sampled = sample_servers(job, servers, now_ms)
        costs = server_costs(job, sampled, now_ms, model, cache_share())
        fitting = (cost.server for cost in costs if cost.fits)
        chosen = next(fitting, None)
        observe(job, costs, chosen, now_ms)
        return chosen

    return choose


def home_is_cheapest(
    model: CostModel, cache_share: Callable[[], float] = lambda: 1.0
) -> Callable[[Job, Server, int], bool]:
    """Returns a predicate that no other server can be cheaper for a call."""

    def check(job: Job, home: Server, now_ms: int) -> bool:
        if not job.history_tokens or job.kind != "model":
            return False
        if not home.residents.cached_tokens(job.key.program_key):
            return False
        cost = _cost(job, home, now_ms, model, cache_share())
        new_tokens = job.prompt_tokens - job.history_tokens
        history = unshared_tokens(job, home) - new_tokens
        elsewhere_ms = (
            new_tokens + model.recompute_weight * history
        ) / model.prefill_tokens_per_ms
        return cost.fits and cost.total_ms <= elsewhere_ms

    return check


def sample_servers(
    job: Job, servers: list[Server], now_ms: int
) -> list[Server]:
    """Returns a subset of the servers that varies with the program and time.

    The best of a few dozen servers is nearly as good as the best of many.
    """
    if len(servers) <= _MAX_CANDIDATES:
        return servers
    seed = zlib.crc32(f"{job.key.program}/{now_ms}".encode())
    start = seed % len(servers)
    chosen = servers[start : start + _MAX_CANDIDATES]
    return chosen + servers[: _MAX_CANDIDATES - len(chosen)]


def uncached_tokens(job: Job, server: Server) -> int:
    """Returns the prompt tokens that a server would have to prefill."""
    cached = server.residents.cached_tokens(job.key.program_key)
    return max(0, unshared_tokens(job, server) - cached)


def unshared_tokens(job: Job, server: Server) -> int:
    """Returns the tokens of the context that need memory of their own.

    The prefix shared with other programs on the server is not counted.
    """
    shared = job.shared_tokens
    if job.parent and shared:
        parent = ProgramKey(account=job.key.account, program=job.parent)
        shared = min(shared, server.residents.cached_tokens(parent))
    return max(0, job.prompt_tokens - shared)


def _cost(
    job: Job, server: Server, now_ms: int, model: CostModel, cache_share: float
) -> Cost:
    report = server.report
    slots = max(1, report.capacity)
    transfer_ms = 0.0
    if job.region and report.region and report.region != job.region:
        sent_tokens = job.prompt_tokens - job.history_tokens
        if report.server != job.last_server:
            sent_tokens = job.prompt_tokens
        transfer_ms = model.region_delay_ms
        transfer_ms += (
            sent_tokens * model.bytes_per_token / model.link_bytes_per_ms
        )
    if report.kind != "model":
        wait_ms = 1_000.0 * server.load / slots
        return Cost(server, wait_ms, 0.0, transfer_ms, server.load < slots)
    usable_tokens = report.cache_tokens * cache_share
    # Memory reserved for programs that never report their end would leave the
    # engine idle while other programs wait. The lower its load, the sooner a
    # paused program loses its reservation.
    load_share = min(1.0, _FULL_HOLD_SLOTS * server.load / slots)
    hold_ms = round(max(model.min_hold_ms, model.max_hold_ms * load_share))
    server.residents.expire_idle(now_ms, hold_ms, round(usable_tokens))
    wait_ms = server.load * model.gap_per_call_ms * model.expected_output_tokens
    uncached = uncached_tokens(job, server)
    known_tokens = max(
        job.history_tokens, job.shared_tokens if job.parent else 0
    )
    new_tokens = max(0, min(uncached, job.prompt_tokens - known_tokens))
    weighted_tokens = new_tokens + model.recompute_weight * (
        uncached - new_tokens
    )
    prefill_ms = weighted_tokens / model.prefill_tokens_per_ms
    if not server.residents.is_active(job.key.program_key):
        used_share = server.residents.active_tokens / max(1.0, usable_tokens)
        wait_ms += model.full_cache_ms * used_share
    fits = server.load < slots and _has_memory(
        job, server, model, usable_tokens
    )
    return Cost(server, wait_ms, prefill_ms, transfer_ms, fits)


def _has_memory(
    job: Job, server: Server, model: CostModel, usable_tokens: float
) -> bool:
    """Returns whether the context fits beside those of the active programs.

    Without this limit, the active programs of a busy engine would evict one
    another during pauses, and every turn would prefill its whole history.
    """
    residents = server.residents
    if not usable_tokens or residents.is_active(job.key.program_key):
        return True
    free_tokens = (
        model.max_active_share * usable_tokens - residents.active_tokens
    )
    # A context larger than half the cache might never find that much memory.
    return min(unshared_tokens(job, server), usable_tokens / 2) <= free_tokens


def least_outstanding(
    job: Job, servers: list[Server], now_ms: int
) -> Server | None:
    """Returns the server with the fewest granted calls per capacity."""
    if not servers:
        return None
    return min(
        servers,
        key=lambda server: (
            server.granted / max(1, server.report.capacity),
            server.report.server,
        ),
    )


def sticky(job: Job, servers: list[Server], now_ms: int) -> Server | None:
    """Returns the program's last server; without one, the least loaded."""
    for server in servers:
        if server.report.server == job.last_server:
            return server
    return least_outstanding(job, servers, now_ms)


def round_robin() -> Policy:
    """Returns a policy that uses the servers in rotation."""
    turns: dict[str, int] = {}

    def choose(job: Job, servers: list[Server], now_ms: int) -> Server | None:
        if not servers:
            return None
        turn = turns.get(job.target, 0)
        turns[job.target] = turn + 1
        by_name = sorted(servers, key=lambda server: server.report.server)
        return by_name[turn % len(by_name)]

    return choose
