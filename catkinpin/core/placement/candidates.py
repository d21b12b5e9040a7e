"""Choice of a server for a call: plain functions over a view."""

from __future__ import annotations

import dataclasses
import zlib
from collections.abc import Callable
from typing import TYPE_CHECKING

from catkinpin.core.messages import ProgramKey

if TYPE_CHECKING:
    from catkinpin.core.placement.jobs import Job
    from catkinpin.core.placement.servers import Server

# Costs are worked out for so many servers at most.
# The full time is held once one in so many slots is taken.
_FULL_HOLD = 4
_MAX_CANDIDATES = 32

Policy = Callable[["Job", list["Server"], int], "Server | None"]


@dataclasses.dataclass(frozen=True)
class CostModel:
    """What a choice assumes of engines and links; all times in milliseconds.

    Attributes:
        prefill_per_ms: tokens an engine computes in a millisecond.
        recompute: weight of computing history again; it wastes memory that
            holds it elsewhere, and the reason to move may pass.
        gap_per_call_ms: what a further call adds to the time between tokens.
        output_tokens: tokens that a call is expected to generate.
        region_ms: delay of a call and its answer between regions.
        link_bytes_per_ms: what the link between regions carries.
        text_bytes: bytes of a token's text on the link.
        fill: share of an engine's cache that active programs may fill.
        memory_ms: price of a place in a cache that is full already.
        hold_ms: a program that has paused for longer is not active; on a
            server with few running calls a part of this is enough.
        min_hold_ms: no shorter pause costs a program its room.
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
    """What a server would cost a call, in milliseconds.

    Attributes:
        wait: slower tokens and waiting beside the running calls.
        prefill: computing what the server does not hold.
        transfer: delay and bytes between regions.
        fits: whether a slot and memory are free for it.
    """

    server: Server
    wait_ms: float
    prefill_ms: float
    transfer_ms: float
    fits: bool

    @property
    def total_ms(self) -> float:
        """All together."""
        return self.wait_ms + self.prefill_ms + self.transfer_ms


CostObserver = Callable[["Job", list[Cost], "Server | None", int], None]


def server_costs(
    job: Job,
    servers: list[Server],
    now_ms: int,
    prices: CostModel,
    share: float = 1.0,
) -> list[Cost]:
    """Returns what each server would cost, the cheapest first.

    Args:
        job: the call.
        servers: those that may get it.
        now_ms: monotonic time.
        prices: what to assume of engines and links.
        share: part of each cache that this process may fill; other leaders'
            programs, unseen here, fill the rest.
    """
    found = [_cost(job, one, now_ms, prices, share) for one in servers]
    return sorted(
        found, key=lambda cost: (cost.total_ms, cost.server.report.server)
    )


def by_cost(
    prices: CostModel,
    share: Callable[[], float] = lambda: 1.0,
    observe: CostObserver = lambda *_: None,
) -> Policy:
    """Returns the policy that takes the cheapest server with room.

    Args:
        prices: what to assume of engines and links.
        share: see `server_costs`.
        observe: called with each decision.
    """

    def choose(job: Job, servers: list[Server], now_ms: int) -> Server | None:
        few = sample_servers(job, servers, now_ms)
        found = server_costs(job, few, now_ms, prices, share())
        fitting = (cost.server for cost in found if cost.fits)
        chosen = next(fitting, None)
        observe(job, found, chosen, now_ms)
        return chosen

    return choose


def home_is_cheapest(
    prices: CostModel, share: Callable[[], float] = lambda: 1.0
) -> Callable[[Job, Server, int], bool]:
    """Returns a check whether no other server can cost a call less."""

    def check(job: Job, home: Server, now_ms: int) -> bool:
        if not job.history_tokens or job.kind != "model":
            return False
        if not home.residents.cached_tokens(job.key.program_key):
            return False
        cost = _cost(job, home, now_ms, prices, share())
        new = job.prompt_tokens - job.history_tokens
        history = unshared_tokens(job, home) - new
        elsewhere = (
            new + prices.recompute_weight * history
        ) / prices.prefill_tokens_per_ms
        return cost.fits and cost.total_ms <= elsewhere

    return check


def sample_servers(
    job: Job, servers: list[Server], now_ms: int
) -> list[Server]:
    """Returns some of many servers, others at other times.

    Among many, the best of a few dozen is nearly as good as the best of all.
    """
    if len(servers) <= _MAX_CANDIDATES:
        return servers
    seed = zlib.crc32(f"{job.key.program}/{now_ms}".encode())
    start = seed % len(servers)
    chosen = servers[start : start + _MAX_CANDIDATES]
    return chosen + servers[: _MAX_CANDIDATES - len(chosen)]


def uncached_tokens(job: Job, server: Server) -> int:
    """Returns the tokens of the prompt that a server would have to compute."""
    held = server.residents.cached_tokens(job.key.program_key)
    return max(0, unshared_tokens(job, server) - held)


def unshared_tokens(job: Job, server: Server) -> int:
    """Returns the memory that the call's context needs on a server.

    What other programs there share with it needs no memory of its own.
    """
    shared = job.shared_tokens
    if job.parent and shared:
        parent = ProgramKey(account=job.key.account, program=job.parent)
        shared = min(shared, server.residents.cached_tokens(parent))
    return max(0, job.prompt_tokens - shared)


def _cost(
    job: Job, server: Server, now_ms: int, prices: CostModel, share: float
) -> Cost:
    report = server.report
    slots = max(1, report.capacity)
    transfer = 0.0
    if job.region and report.region and report.region != job.region:
        size = job.prompt_tokens - job.history_tokens
        if report.server != job.last_server:
            size = job.prompt_tokens
        transfer = prices.region_delay_ms
        transfer += size * prices.bytes_per_token / prices.link_bytes_per_ms
    if report.kind != "model":
        wait = 1_000.0 * server.load / slots
        return Cost(server, wait, 0.0, transfer, server.load < slots)
    cache = report.cache_tokens * share
    # Room kept for programs that never say they have ended would leave the
    # engine idle while others wait for it: the idler it is, the sooner a
    # paused program loses its room.
    busy = min(1.0, _FULL_HOLD * server.load / slots)
    hold_ms = round(max(prices.min_hold_ms, prices.max_hold_ms * busy))
    server.residents.expire_idle(now_ms, hold_ms, round(cache))
    wait = server.load * prices.gap_per_call_ms * prices.expected_output_tokens
    missing = uncached_tokens(job, server)
    known = max(job.history_tokens, job.shared_tokens if job.parent else 0)
    new = max(0, min(missing, job.prompt_tokens - known))
    weighed = new + prices.recompute_weight * (missing - new)
    prefill = weighed / prices.prefill_tokens_per_ms
    if not server.residents.is_active(job.key.program_key):
        used = server.residents.active_tokens / max(1.0, cache)
        wait += prices.full_cache_ms * used
    fits = server.load < slots and _has_memory(job, server, prices, cache)
    return Cost(server, wait, prefill, transfer, fits)


def _has_memory(
    job: Job, server: Server, prices: CostModel, cache: float
) -> bool:
    """Returns whether the context fits beside those of active programs.

    Without this limit the active programs of a busy engine evict one another
    in each pause, and every turn computes its whole history again.
    """
    residents = server.residents
    if not cache or residents.is_active(job.key.program_key):
        return True
    room = prices.max_active_share * cache - residents.active_tokens
    # A context beyond half the cache could wait for ever for that much room.
    return min(unshared_tokens(job, server), cache / 2) <= room


def least_outstanding(
    job: Job, servers: list[Server], now_ms: int
) -> Server | None:
    """Chooses the server with the fewest granted calls for its capacity."""
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
    """Chooses the program's last server; without one, the least loaded."""
    for server in servers:
        if server.report.server == job.last_server:
            return server
    return least_outstanding(job, servers, now_ms)


def round_robin() -> Policy:
    """Returns a policy that takes the servers in turn."""
    turns: dict[str, int] = {}

    def choose(job: Job, servers: list[Server], now_ms: int) -> Server | None:
        if not servers:
            return None
        turn = turns.get(job.target, 0)
        turns[job.target] = turn + 1
        names = sorted(servers, key=lambda server: server.report.server)
        return names[turn % len(names)]

    return choose
