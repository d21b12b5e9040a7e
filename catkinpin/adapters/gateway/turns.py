"""Begins, stores and settles the turns of programs for a gateway."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from msgspec import structs

from catkinpin import decisions, metrics
from catkinpin.adapters.gateway.resuming import (
    EventStorage,
    FoundStream,
    SentStreamReader,
)
from catkinpin.adapters.gateway.turncache import TurnCache
from catkinpin.adapters.gateway.turnresults import (
    BeginFailed,
    OverCapacity,
    OverQuota,
    Resumability,
    StartedTurn,
    TurnResult,
)
from catkinpin.adapters.gateway.turnstorage import TurnStorage
from catkinpin.adapters.tasks import BackgroundTasks
from catkinpin.core.control import protocol
from catkinpin.core.control.resumption import Resumption
from catkinpin.core.control.turnrecords import Begin, Denial, Finish
from catkinpin.core.requests.sentevents import Mismatch
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Sequence

    from catkinpin.adapters.gateway.work import ServerRun
    from catkinpin.adapters.peers.keepers import Host, Keepers
    from catkinpin.core.control.routes import Route
    from catkinpin.core.control.turnrecords import Link
    from catkinpin.core.placement.placer import PlaceTurn, TurnReport
    from catkinpin.core.requests.calls import RouteCall
    from catkinpin.core.requests.digests import RequestDigests
    from catkinpin.core.requests.sentevents import SentEvent
    from catkinpin.core.tolerance import Tolerance

log = logging.getLogger(__name__)

# Timeout for the leader's reply to the end of a turn.
_FINISH_TIMEOUT_S = 1.5
# Timeout for reading the bytes of a chain from one host that stores them.
_FETCH_TIMEOUT_S = 0.6
# An unsettled turn keeps its tokens reserved, so the gateway keeps asking for
# this long.
_SETTLE_TIMEOUT_S = 6.0
# The leader counts the retention from the commit of a turn's end to the begin
# of the next one. A caller may read the end a request's timeout later, and its
# next request may wait for as long until the leader begins it.
_MARGIN_TIMEOUTS = 2
_MISMATCH_DENIALS = {
    Mismatch.NO_SUCH_EVENT: Denial.NO_SUCH_EVENT,
    Mismatch.SEVERAL_TURNS: Denial.SEVERAL_TURNS,
}
# A crash that is not reported allows the request to crash one server more. All
# keepers may just be restarting.
_CRASH_REPORT_TIMEOUT_S = 10.0


class TurnClient:
    """Sends requests about turns to the leader and to the storing hosts.

    Args:
        keepers: links to keepers and stores.
        region: region of this gateway.
        cache_bytes: maximum size of the cached turns.
        tolerance: the losses that a turn must survive before it finishes.
    """

    def __init__(
        self,
        keepers: Keepers,
        region: str,
        cache_bytes: int,
        tolerance: Tolerance,
    ) -> None:
        self._keepers = keepers
        self._region = region
        self._cache = TurnCache(cache_bytes)
        self._tasks = BackgroundTasks()
        self._storage = TurnStorage(keepers, region, self._tasks, tolerance)
        self._sent_streams = SentStreamReader(keepers)

    @property
    def unsettled_count(self) -> int:
        """Number of running background tasks: settling and storing turns."""
        return len(self._tasks)

    def set_tolerance(self, tolerance: Tolerance) -> None:
        """Sets the losses that each turn must survive from now on."""
        self._storage.tolerance = tolerance

    async def begin(
        self,
        call: RouteCall,
        route: Route,
        wait_s: float,
        place: PlaceTurn | None = None,
        resumability: Resumability | None = None,
    ) -> StartedTurn | Denial | OverQuota | OverCapacity | BeginFailed:
        """Begins a turn at the leader, which reserves tokens; loads its chain.

        For a turn that resumes another one, it first finds what the caller has.

        Args:
            call: the request.
            route: its route.
            wait_s: timeout of the leader's reply.
            place: what the leader needs to select a server; None for no server.
            resumability: how the turn is resumed; None if it can't be.
        """
        begin = _begin_record(call, route, resumability)
        kept: Sequence[SentEvent] = ()
        if call.resume_at and route.keeps_history:
            if resumability is None:
                return Denial.NOT_RESUMABLE
            found = await self._find_sent(begin, call, wait_s)
            if not isinstance(found, FoundStream):
                return found
            kept = found.kept
            resumption = _resumption_of(found, resumability.event_tokens)
            begin = structs.replace(begin, resumption=resumption)
        ask_begin = protocol.AskBegin(ask=0, begin=begin, place=place)
        started = await self._start(ask_begin, call, wait_s)
        if resumability is None or not isinstance(started, StartedTurn):
            return started
        events = EventStorage(self._storage, call.attempt, kept)
        return dataclasses.replace(started, events=events, kept=kept)

    async def _start(
        self, message: protocol.AskBegin, call: RouteCall, wait_s: float
    ) -> StartedTurn | Denial | OverQuota | OverCapacity | BeginFailed:
        """Begins a turn at the leader and loads its chain."""
        try:
            began = await self._ask_begin(message, call, wait_s)
            if isinstance(began, BeginFailed):
                return began
            if began.denial:
                return _denial_result(began)
            history = await self._load_chain(began.chain)
        except asyncio.CancelledError:
            # The caller has left; nobody else would settle the turn.
            self.settle(call, TurnResult())
            raise
        if history is None:
            self.settle(call, TurnResult())
            return BeginFailed("the history can't be read now")
        return StartedTurn(
            history, began.program_status, began.server, began.placed
        )

    async def _ask_begin(
        self, message: protocol.AskBegin, call: RouteCall, wait_s: float
    ) -> protocol.Began | BeginFailed:
        """Sends the leader a request to begin a turn, with retries."""
        try:
            began: protocol.Began = await self._keepers.ask_leader(
                lambda ask: structs.replace(message, ask=ask), wait_s
            )
        except PeerLostError as exc:
            # The leader may have reserved tokens. Without a settle they would
            # stay reserved forever.
            self.settle(call, TurnResult())
            return BeginFailed(str(exc))
        return began

    async def _find_sent(
        self, begin: Begin, call: RouteCall, wait_s: float
    ) -> FoundStream | Denial | BeginFailed:
        """Finds the stream that a caller resumes, which it has in part."""
        ask_begin = protocol.AskBegin(ask=0, begin=begin, finds_sent=True)
        began = await self._ask_begin(ask_begin, call, wait_s)
        if isinstance(began, BeginFailed):
            return began
        if began.denial:
            return Denial(began.denial)
        if began.sent is None:
            # It began the turn instead.
            self.settle(call, TurnResult())
            return BeginFailed("the leader is of an earlier release")
        copies = self._storage.tolerance.copies
        found = await self._sent_streams.find(
            began.sent, call.resume_at, copies, began.hosts
        )
        result = "resumed" if isinstance(found, FoundStream) else found.value
        metrics.RESUMED_TURNS.labels(result).inc()
        decisions.note(
            "resume",
            call.attempt,
            program=call.program,
            result=result,
            resumed=found.attempt if isinstance(found, FoundStream) else "",
            event=call.resume_at,
            candidates=len(began.sent),
        )
        if isinstance(found, FoundStream):
            return found
        if found is Mismatch.UNKNOWN:
            return BeginFailed("too few hosts with parts of turns answer")
        return _MISMATCH_DENIALS[found]

    async def finish(
        self, call: RouteCall, data: bytes, outcome: TurnResult
    ) -> str:
        """Stores a complete turn and records it at the leader.

        Returns:
            Why this failed, or an empty string.
        """
        holders = await self._storage.store(call.attempt, data)
        if not holders:
            self.settle(call, outcome)
            return "its bytes were not stored"
        finish = Finish(
            attempt=call.attempt,
            program=call.program,
            tokens=outcome.tokens,
            is_whole=True,
            holders=holders,
            size=len(data),
            at_ms=0,
            server=outcome.server,
            lost_ms=outcome.lost_ms,
        )
        try:
            await self._keepers.ask_leader(
                lambda ask: protocol.AskFinish(
                    ask=ask, finish=finish, report=outcome.report
                ),
                _FINISH_TIMEOUT_S,
            )
        except PeerLostError as exc:
            return str(exc)
        self._cache.put(call.attempt, data)
        return ""

    def settle(self, call: RouteCall, outcome: TurnResult) -> None:
        """Settles in the background a turn that no later turn can continue."""
        finish = Finish(
            attempt=call.attempt,
            program=call.program,
            tokens=outcome.tokens,
            is_whole=False,
            holders=[],
            size=0,
            at_ms=0,
            server=outcome.server,
            lost_ms=outcome.lost_ms,
        )
        self._tasks.spawn(self._send_settle(finish, outcome.report))

    async def report_crash(
        self, digests: RequestDigests, run: ServerRun
    ) -> None:
        """Reports that a server crashed under a request."""
        try:
            await self._keepers.ask_leader(
                lambda ask: protocol.ReportCrash(
                    ask=ask,
                    content=digests.content,
                    shared=digests.shared,
                    path=digests.path,
                    server=run.server,
                    ran_ms=run.ran_ms,
                    age_ms=run.age_ms,
                    is_repeat=run.is_repeat,
                ),
                _CRASH_REPORT_TIMEOUT_S,
            )
        except PeerLostError as exc:
            decisions.note("unreported", "", server=run.server, reason=str(exc))

    async def _send_settle(self, finish: Finish, report: TurnReport) -> None:
        try:
            await self._keepers.ask_leader(
                lambda ask: protocol.AskFinish(
                    ask=ask, finish=finish, report=report
                ),
                _SETTLE_TIMEOUT_S,
            )
        except PeerLostError as exc:
            decisions.note(
                "unsettled",
                finish.attempt,
                program=finish.program,
                tokens=finish.tokens,
                reason=str(exc),
            )

    async def _load_chain(self, chain: list[Link]) -> bytes | None:
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
        """Reads the bytes of turns into `found`, nearest hosts first."""
        max_holders = max((len(link.holders) for link in links), default=0)
        for holder_index in range(max_holders):
            requested: dict[str, list[str]] = {}
            for link in links:
                if link.attempt in found:
                    continue
                holders = sorted(
                    (
                        h
                        for n in link.holders
                        if (h := self._keepers.by_node(n))
                    ),
                    key=self._region_rank,
                )
                if holders:
                    host = holders[min(holder_index, len(holders) - 1)]
                    address = host.link.address
                    requested.setdefault(address, []).append(link.attempt)
            if not requested:
                return
            await asyncio.gather(
                *(self._read_from(a, t, found) for a, t in requested.items())
            )

    async def _read_from(
        self, address: str, attempts: list[str], found: dict[str, bytes]
    ) -> None:
        host = self._keepers.by_address(address)
        if host is None:
            return
        try:
            reply = await self._keepers.ask(
                host,
                lambda ask: protocol.Get(ask=ask, attempts=attempts),
                _FETCH_TIMEOUT_S,
            )
        except PeerLostError as exc:
            log.info("reading turns failed: %s", exc, extra={"peer": address})
            return
        for attempt, data in zip(attempts, reply.parts, strict=True):
            if data is not None:
                found[attempt] = data

    def _region_rank(self, host: Host) -> int:
        region = host.info.region if host.info is not None else ""
        return int(region != self._region)


def _begin_record(
    call: RouteCall, route: Route, resumability: Resumability | None
) -> Begin:
    """Returns the record that begins a turn."""
    return Begin(
        attempt=call.attempt,
        program=call.program,
        previous=call.previous if route.keeps_history else "",
        budget=call.budget,
        max_tokens=call.max_tokens,
        retain_ms=route.retain_ms + _MARGIN_TIMEOUTS * route.timeout_ms,
        at_ms=0,
        left_ms=call.program_left_ms,
        account=call.account,
        resume_key="" if resumability is None else resumability.key,
        handles_resumption=True,
    )


def _resumption_of(found: FoundStream, event_tokens: int) -> Resumption:
    return Resumption(
        attempt=found.attempt,
        kept_events=len(found.kept),
        kept_tokens=len(found.kept) * event_tokens,
        sent_tokens=found.sent_count * event_tokens,
    )


def _denial_result(began: protocol.Began) -> Denial | OverQuota | OverCapacity:
    """Returns the result of a begin that the leader denied."""
    if began.denial == Denial.QUOTA_USED_UP:
        return OverQuota(began.retry_ms)
    if began.denial == Denial.NO_CAPACITY:
        return OverCapacity(began.retry_ms)
    return Denial(began.denial)
