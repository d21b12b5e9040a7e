"""Registers and empties stores, and restores lost copies of turns' bytes.

Only the leading keeper does so.
"""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

from msgspec import structs

from catkinpin import decisions
from catkinpin.adapters.keeper.host import Undecided
from catkinpin.adapters.store.turnserver import COPY_TIMEOUT_S
from catkinpin.core import tolerance
from catkinpin.core.control import copies, protocol
from catkinpin.core.control.stores import Register, Retire
from catkinpin.core.control.turnrecords import Moved
from catkinpin.core.tolerance import Location
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.adapters.peers.keepers import Keepers
    from catkinpin.adapters.store.turnserver import TurnServer
    from catkinpin.clock import Clock
    from catkinpin.core.control.stores import Store
    from catkinpin.core.tolerance import Located, Loss
    from catkinpin.roles import KeeperSettings

log = logging.getLogger(__name__)

# Share of the catch-up time after which the copies of a silent host don't count
# until it connects again. The rest is for making other copies.
_SILENT_SHARE = 1 / 3
# From the order to empty a store until the last turn is settled by a gateway
# that stored there before it received the order.
_SETTLE_MS = 2_000


class _LocalReply:
    """Receives the reply to a request that this process makes to itself.

    Attributes:
        is_done: whether the request succeeded.
    """

    def __init__(self) -> None:
        self.is_done = False

    def send(self, reply: Any) -> None:
        """Records whether the request succeeded."""
        self.is_done = isinstance(reply, protocol.Done)


class CopyRepair:
    """Maintains the configured number of copies of all turns' bytes.

    Args:
        cfg: the keeper's settings.
        node: the keeper's identity.
        clock: the time source.
        host: the control group's state; proposes records to it.
        other_hosts: links to the other hosts that hold copies.
        turn_server: serves this keeper's own copies.
        commit_timeout_s: longest wait for a quorum.

    Attributes:
        tolerance: the losses that each turn must survive.
    """

    def __init__(
        self,
        cfg: KeeperSettings,
        node: str,
        clock: Clock,
        host: KeeperHost,
        other_hosts: Keepers,
        turn_server: TurnServer,
        commit_timeout_s: float,
    ) -> None:
        self.tolerance = cfg.tolerance
        self._cfg = cfg
        self._node = node
        self._clock = clock
        self._host = host
        self._other_hosts = other_hosts
        self._turn_server = turn_server
        self._commit_timeout_s = commit_timeout_s
        self._silent_ms = cfg.catch_up_ms * _SILENT_SHARE
        self._last_seen_ms: dict[str, int] = {}
        # Where the hosts are that are, or were, connected to this keeper.
        self._places: dict[str, Located] = {}
        # Stores that this keeper has logged while it led.
        self._logged: set[str] = set()
        self._retiring_since_ms: dict[str, int] = {}
        self._is_repairing = False

    # Stores.

    async def register(self, store: Store) -> Undecided | bool:
        """Registers a store; returns whether it is new or has changed."""
        if not self._host.holds_lease():
            return Undecided("not the leader")
        self._last_seen_ms[store.node] = self._clock.now_ms()
        # Other keepers name a store only when they next describe themselves.
        # Until the leader is connected to a store, it can't copy its turns.
        self._other_hosts.add([store.address])
        is_changed = self._host.state.stores.would_change(store)
        if is_changed:
            outcome = await self._host.propose(
                Register(store=store), self._commit_timeout_s
            )
            if isinstance(outcome, Undecided):
                return outcome
        # An earlier leader may have proposed it without learning the outcome.
        if is_changed or store.node not in self._logged:
            self._logged.add(store.node)
            decisions.note("store", "", store=store.name, address=store.address)
        return is_changed

    async def retire(
        self, name: str, *, begin: bool
    ) -> protocol.Retirement | Undecided:
        """Begins to empty a store, or only returns how far that is.

        Only the leader may call it.
        """
        stores = self._host.state.stores
        store = stores.find(name)
        if store is None:
            return _retirement(is_known=False)
        if begin and not store.retiring:
            if self._is_needed(store):
                return _retirement(too_few=True)
            outcome = await self._host.propose(
                Retire(name=name), self._commit_timeout_s
            )
            if isinstance(outcome, Undecided):
                return outcome
            decisions.note("retire", "", store=name)
        return _retirement(is_empty=self._is_empty(store))

    def _is_needed(self, store: Store) -> bool:
        """Returns whether turns could survive fewer losses without a store."""
        stores = self._host.state.stores
        if stores.count_without(store.name) < self.tolerance.copies:
            return True
        hosts = self._known_hosts()
        others = [hosts[node] for node in hosts if node != store.node]
        return any(tolerance.gain_of_copy(store, others, self.tolerance))

    def _is_empty(self, store: Store) -> bool:
        """Returns whether a retiring store can be removed with its disk.

        Gateways that stored there before they received the order settle their
        turns a little later. These turns need its copy until another is made.
        """
        now_ms = self._clock.now_ms()
        since_ms = self._retiring_since_ms.setdefault(store.node, now_ms)
        if now_ms - since_ms < _SETTLE_MS:
            return False
        turns = self._host.state.ledger.turns.values()
        if any(store.node in turn.holders for turn in turns):
            return False
        counted = self._counted_hosts()
        holders = {tuple(n for n in t.holders if n in counted) for t in turns}
        return all(
            tolerance.are_enough_copies(
                [counted[node] for node in nodes],
                counted.values(),
                self.tolerance,
            )
            for nodes in holders
        )

    # Copies.

    async def repair(self) -> None:
        """Copies the turns that have too few copies on live hosts.

        Goes on until all have enough or a batch fails, since the next loss may
        follow soon. Does nothing while an earlier call is still running.
        """
        if self._is_repairing:
            return
        self._is_repairing = True
        try:
            while self._host.holds_lease() and (plan := self._plan_copies()):
                are_done = await asyncio.gather(*map(self._copy, plan))
                if not all(are_done):
                    break
        finally:
            self._is_repairing = False

    def _plan_copies(self) -> list[copies.CopyBatch]:
        return copies.plan(
            self._host.state.ledger.turns.values(),
            self._counted_hosts(),
            self._reachable_holders(),
            self.tolerance,
        )

    def unkept_losses(self) -> list[Loss]:
        """Returns the kinds of losses that no choice of hosts can survive."""
        counted = self._counted_hosts().values()
        return tolerance.unkept_by_copies(counted, self.tolerance)

    def _reachable_holders(self) -> list[copies.Holder]:
        """Returns the connected hosts and this one."""
        cfg = self._cfg
        this_host = copies.Holder(
            self._node, cfg.peer_listen, cfg.region, cfg.failure_domain
        )
        others = [
            copies.holder_of(host.info)
            for host in self._other_hosts.connected()
            if host.info is not None
        ]
        return [this_host, *others]

    def _counted_hosts(self) -> dict[str, Located]:
        """Returns the hosts whose copies count, by identity.

        They are this keeper, and the group's keepers and the stores that were
        connected recently and are not retiring. A silent host may have lost
        its disk for good; a second loss could then take the last copy.
        """
        now_ms = self._clock.now_ms()
        for holder in self._reachable_holders():
            self._last_seen_ms[holder.node] = now_ms
            self._places[holder.node] = holder
        return {
            node: host
            for node, host in self._known_hosts().items()
            if now_ms - self._last_seen_ms.setdefault(node, now_ms)
            < self._silent_ms
        }

    def _known_hosts(self) -> dict[str, Located]:
        """Returns the group's keepers and the stores that are not retiring."""
        keepers = [m.node for m in self._host.group.members.members]
        stores = {
            store.node: store
            for store in self._host.state.stores.by_node.values()
            if not store.retiring
        }
        return {
            node: self._places.get(node) or stores.get(node) or Location(node)
            for node in (*keepers, *stores)
        }

    async def _copy(self, copy: copies.CopyBatch) -> bool:
        """Copies a batch of turns to a host, then commits that it has them.

        Returns:
            Whether that succeeded.
        """
        copy_turns = protocol.CopyTurns(
            ask=0, attempts=copy.attempts, source=copy.source.address
        )
        if copy.target.node == self._node:
            local_reply = _LocalReply()
            await self._turn_server.copy_turns(local_reply, copy_turns)
            is_done = local_reply.is_done
        else:
            is_done = await self._request_copy(copy, copy_turns)
        if not is_done:
            return False
        holders = [*copy.counted_holders, copy.target.node]
        moved = Moved(attempts=copy.attempts, holders=holders)
        outcome = await self._host.propose(moved, self._commit_timeout_s)
        if isinstance(outcome, Undecided):
            return False
        decisions.note(
            "copied",
            "",
            turns=len(copy.attempts),
            source=copy.source.address,
            target=copy.target.address,
        )
        return True

    async def _request_copy(
        self, copy: copies.CopyBatch, copy_turns: protocol.CopyTurns
    ) -> bool:
        """Has the target copy the turns; returns whether it did."""
        target = self._other_hosts.by_node(copy.target.node)
        if target is None:
            return False
        try:
            reply = await self._other_hosts.ask(
                target,
                lambda ask: structs.replace(copy_turns, ask=ask),
                COPY_TIMEOUT_S,
            )
        except PeerLostError as exc:
            log.info("copying turns failed: %s", exc)
            return False
        return isinstance(reply, protocol.Done)


def _retirement(
    *, is_known: bool = True, too_few: bool = False, is_empty: bool = False
) -> protocol.Retirement:
    return protocol.Retirement(
        ask=0, is_known=is_known, too_few=too_few, is_empty=is_empty
    )
