"""A program's turns, as a gateway sees them: begin, bytes, settle."""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import logging
from typing import TYPE_CHECKING

from catkinpin import decisions
from catkinpin.adapters.tasks import BackgroundTasks
from catkinpin.core.control import copies, protocol
from catkinpin.core.control.ledger import Begin, Denial, Finish
from catkinpin.core.placement.placer import PlaceTurn, TurnReport
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.adapters.peers.keepers import Host, Keepers
    from catkinpin.core.control.ledger import Link
    from catkinpin.core.control.routes import Route
    from catkinpin.core.placement.urgency import ProgramStatus
    from catkinpin.core.requests.calls import RouteCall

log = logging.getLogger(__name__)

# A holder that has not stored by then is slow; another one is asked as well.
# Several times a sync and the way to the other region.
_SLOW_STORE_S = 0.15
_STORE_S = 1.5
# A holder that was slow is asked last of its region for so long. One turn in
# so many seconds finds out whether it still is; all others would wait for it.
_AVOID_S = 2.0
# One read of a chain's bytes from one holder.
_FETCH_S = 0.6
# A turn that is not settled keeps its reserve, so the gateway insists.
_SETTLE_S = 6.0


@dataclasses.dataclass(frozen=True)
class Unknown:
    """Sentinel: the ledger could not be asked.

    Attributes:
        reason: why, for the log.
    """

    reason: str


@dataclasses.dataclass(frozen=True)
class OverQuota:
    """Sentinel: the turn's account has used up its quota.

    Attributes:
        retry_ms: in how many ms there is room.
    """

    retry_ms: int


@dataclasses.dataclass(frozen=True)
class Started:
    """A turn that may begin.

    Attributes:
        history: bytes of the chain before it.
        program_status: how its program is doing.
        server: that ran its program's latest turn.
        placed: the server that the leader names, empty for none.
    """

    history: bytes
    program_status: ProgramStatus
    server: str
    placed: str = ""


@dataclasses.dataclass(frozen=True)
class TurnResult:
    """What a turn came to.

    Attributes:
        tokens: handed to the caller.
        server: that has its prompt; empty if none ran it.
        lost_ms: what it took longer than on an idle server.
        report: about the servers, for the leader.
    """

    tokens: int = 0
    server: str = ""
    lost_ms: int = 0
    report: TurnReport = dataclasses.field(default_factory=TurnReport)


class _Cache:
    """Bytes of recent turns; the next turn mostly comes in at the same place.

    It saves most reads over the link between regions.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._size = 0
        self._parts: collections.OrderedDict[str, bytes] = (
            collections.OrderedDict()
        )

    def get(self, attempt: str) -> bytes | None:
        """Returns a turn's bytes, None where they aren't held."""
        data = self._parts.get(attempt)
        if data is not None:
            self._parts.move_to_end(attempt)
        return data

    def put(self, attempt: str, data: bytes) -> None:
        """Takes a turn's bytes; the oldest go."""
        if attempt in self._parts or len(data) > self._max_bytes:
            return
        self._parts[attempt] = data
        self._size += len(data)
        while self._size > self._max_bytes:
            _, old = self._parts.popitem(last=False)
            self._size -= len(old)


class Turns:
    """Asks the keepers on behalf of this gateway's requests.

    Args:
        keepers: links to them.
        region: where this gateway stands.
        cache_bytes: bytes of turns kept in memory.
        copies: hosts that must hold a turn before it ends.
    """

    def __init__(
        self,
        keepers: Keepers,
        region: str,
        cache_bytes: int,
        copies: int,
    ) -> None:
        self._copies = copies
        self._keepers = keepers
        self._region = region
        self._cache = _Cache(cache_bytes)
        self._tasks = BackgroundTasks()
        self._next = 0
        # Until when holders that were slow are asked last, by identity.
        self._avoided: dict[str, float] = {}

    @property
    def unsettled(self) -> int:
        """How many turns still wait to be settled."""
        return len(self._tasks)

    async def begin(
        self,
        call: RouteCall,
        route: Route,
        wait_s: float,
        place: PlaceTurn | None = None,
    ) -> Started | Denial | OverQuota | Unknown:
        """Reserves for a turn, has it placed, fetches what came before it."""
        begin = Begin(
            attempt=call.attempt,
            program=call.program,
            previous=call.previous if route.keeps_history else "",
            budget=call.budget,
            max_tokens=call.max_tokens,
            retain_ms=route.retain_ms,
            at_ms=0,
            left_ms=call.program_left_ms,
            account=call.account,
        )
        try:
            began = await self._keepers.ask_leader(
                lambda ask: protocol.AskBegin(
                    ask=ask, begin=begin, place=place
                ),
                wait_s,
            )
        except PeerLostError as exc:
            # It may have reserved; what is never settled counts for ever.
            self.settle(call, TurnResult())
            return Unknown(str(exc))
        if began.denial == Denial.QUOTA_USED_UP:
            return OverQuota(began.retry_ms)
        if began.denial:
            return Denial(began.denial)
        history = await self._history(began.chain)
        if history is None:
            self.settle(call, TurnResult())
            return Unknown("the history can't be read now")
        return Started(
            history, began.program_status, began.server, began.placed
        )

    async def finish(
        self, call: RouteCall, data: bytes, ran: TurnResult
    ) -> str:
        """Makes a whole turn last; returns why not, or an empty string."""
        holders = await self._store(call.attempt, data)
        if not holders:
            self.settle(call, ran)
            return "its bytes were not stored"
        finish = Finish(
            attempt=call.attempt,
            program=call.program,
            tokens=ran.tokens,
            is_whole=True,
            holders=holders,
            size=len(data),
            at_ms=0,
            server=ran.server,
            lost_ms=ran.lost_ms,
        )
        try:
            await self._keepers.ask_leader(
                lambda ask: protocol.AskFinish(
                    ask=ask, finish=finish, report=ran.report
                ),
                _STORE_S,
            )
        except PeerLostError as exc:
            return str(exc)
        self._cache.put(call.attempt, data)
        return ""

    def settle(self, call: RouteCall, ran: TurnResult) -> None:
        """Settles a turn that can't be continued; nobody waits for it."""
        finish = Finish(
            attempt=call.attempt,
            program=call.program,
            tokens=ran.tokens,
            is_whole=False,
            holders=[],
            size=0,
            at_ms=0,
            server=ran.server,
            lost_ms=ran.lost_ms,
        )
        self._tasks.spawn(self._settle(finish, ran.report))

    async def report_crash(self, content: str, server: str) -> None:
        """Tells the leader that a server crashed while it ran a request."""
        try:
            await self._keepers.ask_leader(
                lambda ask: protocol.ReportCrash(
                    ask=ask, content=content, server=server
                ),
                _STORE_S,
            )
        except PeerLostError as exc:
            decisions.note("unreported", "", server=server, reason=str(exc))

    async def _settle(self, finish: Finish, report: TurnReport) -> None:
        try:
            await self._keepers.ask_leader(
                lambda ask: protocol.AskFinish(
                    ask=ask, finish=finish, report=report
                ),
                _SETTLE_S,
            )
        except PeerLostError as exc:
            decisions.note(
                "unsettled",
                finish.attempt,
                program=finish.program,
                tokens=finish.tokens,
                reason=str(exc),
            )

    async def _history(self, chain: list[Link]) -> bytes | None:
        missing = [k for k in chain if self._cache.get(k.attempt) is None]
        found: dict[str, bytes] = {}
        if missing:
            await self._fetch(missing, found)
        parts = []
        for link in chain:
            data = found.get(link.attempt) or self._cache.get(link.attempt)
            if data is None:
                return None
            parts.append(data)
        for attempt, data in found.items():
            self._cache.put(attempt, data)
        return b"".join(parts)

    async def _fetch(self, links: list[Link], found: dict[str, bytes]) -> None:
        """Reads turns' bytes, each from its holders, the near one first."""
        for attempt in range(self._copies):
            wanted: dict[str, list[str]] = {}
            for link in links:
                if link.attempt in found:
                    continue
                holders = sorted(
                    (
                        h
                        for n in link.holders
                        if (h := self._keepers.by_node(n))
                    ),
                    key=self._distance,
                )
                if holders:
                    host = holders[min(attempt, len(holders) - 1)]
                    address = host.link.address
                    wanted.setdefault(address, []).append(link.attempt)
            if not wanted:
                return
            await asyncio.gather(
                *(self._read(a, names, found) for a, names in wanted.items())
            )

    async def _read(
        self, address: str, attempts: list[str], found: dict[str, bytes]
    ) -> None:
        host = self._keepers.by_address(address)
        if host is None:
            return
        try:
            got = await self._keepers.ask(
                host,
                lambda ask: protocol.Get(ask=ask, attempts=attempts),
                _FETCH_S,
            )
        except PeerLostError as exc:
            log.info("turns not read: %s", exc, extra={"peer": address})
            return
        for attempt, data in zip(attempts, got.parts, strict=True):
            if data is not None:
                found[attempt] = data

    async def _store(self, attempt: str, data: bytes) -> list[str]:
        """Stores a turn's bytes on enough hosts; returns them, or none."""
        hosts = self._candidates()
        stored: list[str] = []
        running: dict[asyncio.Task[str], str] = {}
        loop = asyncio.get_running_loop()
        until = loop.time() + _STORE_S
        for _ in range(self._copies):
            self._put_next(hosts, attempt, data, running)
        while running and len(stored) < self._copies and loop.time() < until:
            done, _ = await asyncio.wait(
                running,
                timeout=_SLOW_STORE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._avoid(running.values())
            stored += [node for task in done if (node := task.result())]
            failed = sum(not task.result() for task in done)
            self._avoid(running[task] for task in done if not task.result())
            for task in done:
                del running[task]
            more = failed if done else 1
            if len(stored) < self._copies:
                for _ in range(more):
                    self._put_next(hosts, attempt, data, running)
        return stored[: self._copies] if len(stored) >= self._copies else []

    def _put_next(
        self,
        hosts: list[Host],
        attempt: str,
        data: bytes,
        running: dict[asyncio.Task[str], str],
    ) -> None:
        """Begins to store on the next host, where there is one."""
        if not hosts:
            return
        host = hosts.pop(0)
        task = self._tasks.spawn(self._put(host, attempt, data))
        running[task] = host.info.node if host.info is not None else ""

    def _avoid(self, nodes: Iterable[str]) -> None:
        """Has holders asked last for a while."""
        until_s = asyncio.get_running_loop().time() + _AVOID_S
        for node in nodes:
            if node not in self._avoided:
                decisions.note("slow-holder", "", holder=node)
            self._avoided[node] = until_s

    async def _put(self, host: Host, attempt: str, data: bytes) -> str:
        """Stores on one host; returns its identity, empty where it failed."""
        node = host.info.node if host.info is not None else ""
        try:
            reply = await self._keepers.ask(
                host,
                lambda ask: protocol.Put(ask=ask, attempt=attempt, data=data),
                _STORE_S,
            )
        except PeerLostError as exc:
            log.info("turn not stored: %s", exc)
            return ""
        return node if isinstance(reply, protocol.Done) else ""

    def _candidates(self) -> list[Host]:
        """Returns the hosts to store at, the best first."""
        self._next += 1
        leaving = self._keepers.retiring
        now_s = asyncio.get_running_loop().time()
        for node, until_s in list(self._avoided.items()):
            if until_s < now_s:
                del self._avoided[node]
        hosts = {
            host.info.node: (host, copies.holder_of(host.info))
            for host in self._keepers.connected()
            if host.info is not None and host.info.node not in leaving
        }
        ordered = copies.rank_hosts(
            [holder for _, holder in hosts.values()],
            self._region,
            self._keepers.leader,
            self._next,
            self._avoided,
        )
        return [hosts[holder.node][0] for holder in ordered]

    def _distance(self, host: Host) -> int:
        region = host.info.region if host.info is not None else ""
        return int(region != self._region)
