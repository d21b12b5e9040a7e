"""Stores the bytes of turns on several hosts."""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.core import tolerance
from catkinpin.core.control import copies, protocol
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from catkinpin.adapters.peers.keepers import Host, Keepers
    from catkinpin.adapters.tasks import BackgroundTasks
    from catkinpin.core.control.copies import Holder
    from catkinpin.core.tolerance import Tolerance

log = logging.getLogger(__name__)

# If a host takes longer than this to store a turn, the gateway also sends it to
# another one. Several times a disk sync plus a round trip between regions.
_SLOW_STORE_S = 0.15
_STORE_TIMEOUT_S = 1.5
# A slow host is ranked last in its region for this long. So only one turn per
# period waits for it, which shows whether it is still slow.
_SLOW_HOLDER_S = 2.0


class TurnStorage:
    """Chooses the hosts that store a turn, and sends it to them.

    Args:
        keepers: links to keepers and stores.
        region: region of this gateway.
        tasks: runs the messages to the hosts.
        tolerated: the losses that a turn must survive.

    Attributes:
        tolerance: the losses that a turn must survive.
    """

    def __init__(
        self,
        keepers: Keepers,
        region: str,
        tasks: BackgroundTasks,
        tolerated: Tolerance,
    ) -> None:
        self.tolerance = tolerated
        self._keepers = keepers
        self._region = region
        self._tasks = tasks
        self._rotation = 0
        # For each slow host the loop time until which it is ranked last.
        self._slow_until_s: dict[str, float] = {}

    async def store(self, attempt: str, data: bytes) -> list[str]:
        """Stores bytes so that they survive the tolerated losses.

        Returns:
            Identities of the hosts that have them; none if too few do. Hosts in
            too few places have to do if no other host answers in time; the
            leader then has further copies made.
        """
        puts = self._new_puts(attempt, data)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _STORE_TIMEOUT_S
        for _ in range(puts.tolerance.copies):
            self._start_put(puts)
        while puts.running and not puts.are_enough() and loop.time() < until_s:
            done, _ = await asyncio.wait(
                puts.running,
                timeout=_SLOW_STORE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._mark_slow(puts.running.values())
                puts.late.update(h.node for h in puts.running.values())
            failed = [task for task in done if not task.result()]
            self._mark_slow(puts.running[task] for task in failed)
            for task in done:
                holder = puts.running.pop(task)
                if task.result():
                    puts.stored.append(holder)
            is_one_needed = not done or not puts.running
            for _ in range(max(len(failed), int(is_one_needed))):
                self._start_put(puts)
        if len(puts.stored) < puts.tolerance.copies:
            return []
        selected = tolerance.select_holders(puts.stored, puts.tolerance)
        domains = {holder.domain for holder in selected}
        metrics.STORED_TURNS.labels(str(len(domains))).inc()
        return [holder.node for holder in selected]

    def _new_puts(self, attempt: str, data: bytes) -> _Puts:
        """Returns the state of storing a turn, before the first put."""
        self._rotation += 1
        retiring = self._keepers.retiring
        hosts = {
            host.info.node: (host, copies.holder_of(host.info))
            for host in self._keepers.connected()
            if host.info is not None and host.info.node not in retiring
        }
        untried = copies.rank_hosts(
            [holder for _, holder in hosts.values()],
            self._region,
            self._keepers.leader,
            self._rotation,
            self._slow_nodes(),
        )
        links = {node: host for node, (host, _) in hosts.items()}
        return _Puts(attempt, data, self.tolerance, links, untried)

    def _start_put(self, puts: _Puts) -> None:
        """Starts a put on the next host, if one is left that would help."""
        holder = puts.next_holder()
        if holder is not None:
            puts.untried.remove(holder)
            task = self._tasks.spawn(self._put(puts, holder))
            puts.running[task] = holder

    async def _put(self, puts: _Puts, holder: Holder) -> bool:
        """Stores on one host; returns whether that succeeded."""
        try:
            reply = await self._keepers.ask(
                puts.hosts[holder.node],
                lambda ask: protocol.Put(
                    ask=ask, attempt=puts.attempt, data=puts.data
                ),
                _STORE_TIMEOUT_S,
            )
        except PeerLostError as exc:
            log.info("storing a turn failed: %s", exc)
            return False
        return isinstance(reply, protocol.Done)

    def _mark_slow(self, holders: Iterable[Holder]) -> None:
        """Marks hosts that were slow or failed to store a turn.

        For the next `_SLOW_HOLDER_S`, such a host is asked only after the other
        hosts of its region.
        """
        until_s = asyncio.get_running_loop().time() + _SLOW_HOLDER_S
        for holder in holders:
            if holder.node not in self._slow_until_s:
                decisions.note("slow-holder", "", holder=holder.node)
            self._slow_until_s[holder.node] = until_s

    def _slow_nodes(self) -> Collection[str]:
        """Returns the identities of the hosts that were slow recently."""
        now_s = asyncio.get_running_loop().time()
        for node, until_s in list(self._slow_until_s.items()):
            if until_s < now_s:
                del self._slow_until_s[node]
        return self._slow_until_s.keys()


@dataclasses.dataclass
class _Puts:
    """State of storing one turn.

    Attributes:
        attempt: the turn.
        data: its bytes.
        tolerance: the losses that it must survive.
        hosts: all hosts that may store it, by identity.
        untried: the hosts that were not asked yet, the best first.
        stored: the hosts that have stored it.
        running: the puts without a result yet.
        late: identities of the hosts that took long to answer.
    """

    attempt: str
    data: bytes
    tolerance: Tolerance
    hosts: dict[str, Host]
    untried: list[Holder]
    stored: list[Holder] = dataclasses.field(default_factory=list)
    running: dict[asyncio.Task[bool], Holder] = dataclasses.field(
        default_factory=dict
    )
    late: set[str] = dataclasses.field(default_factory=set)

    def are_enough(self) -> bool:
        """Returns whether no copy at another host is needed."""
        others = [*self.running.values(), *self.untried]
        return tolerance.are_enough_copies(self.stored, others, self.tolerance)

    def next_holder(self) -> Holder | None:
        """Returns the next host to ask; None if no other one would help."""
        if not self.untried:
            return None
        # A late host may be lost, so the next one must do in its place.
        expected = [h for h in self.running.values() if h.node not in self.late]
        holder = tolerance.next_holder(
            self.untried, [*self.stored, *expected], self.tolerance
        )
        has_copies = len(self.stored) >= self.tolerance.copies
        is_needed = any(
            tolerance.gain_of_copy(holder, self.stored, self.tolerance)
        )
        return holder if is_needed or not has_copies else None
