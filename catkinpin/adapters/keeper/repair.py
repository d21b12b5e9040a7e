"""Who holds turns' bytes: repairs lost copies, empties stores.

Only the keeper that leads does either, one round after the other.
"""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Any

from msgspec import structs

from catkinpin import decisions
from catkinpin.adapters.keeper.host import NotLeading
from catkinpin.adapters.store.turnserver import COPY_TIMEOUT_S
from catkinpin.core.control import copies, protocol
from catkinpin.core.control.ledger import Moved
from catkinpin.core.control.stores import Register, Retire
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.adapters.peers.keepers import Keepers
    from catkinpin.adapters.store.turnserver import TurnServer
    from catkinpin.clock import Clock
    from catkinpin.core.control.stores import Store
    from catkinpin.roles import KeeperSettings

log = logging.getLogger(__name__)

# A store silent for so long counts as lost until it is seen again. Hosts that
# restart or thaw are back before.
_SILENT_STORE_MS = 5_000
# From the order to empty a store to the last turn settled by a
# gateway that had not received it yet.
_SETTLE_MS = 2_000


class _Collector:
    """Takes the one reply of work that this process does for itself."""

    def __init__(self) -> None:
        self.done = False

    def send(self, reply: Any) -> None:
        """Notes whether the work was done."""
        self.done = isinstance(reply, protocol.Done)


class CopyRepair:
    """Keeps enough copies of all turns' bytes.

    Args:
        cfg: the keeper's settings.
        node: the keeper's identity.
        clock: time.
        host: what this keeper believes, and how it decides.
        others: links to the other holders.
        turns: this keeper's own copies.
        commit_s: longest wait for a quorum.
    """

    def __init__(
        self,
        cfg: KeeperSettings,
        node: str,
        clock: Clock,
        host: KeeperHost,
        others: Keepers,
        turns: TurnServer,
        commit_s: float,
    ) -> None:
        self._cfg = cfg
        self._node = node
        self._clock = clock
        self._host = host
        self._others = others
        self._turns = turns
        self._commit_s = commit_s
        self._last_seen_ms: dict[str, int] = {}
        self._retiring_ms: dict[str, int] = {}
        self._repairing = False

    # Stores.

    async def register(self, store: Store) -> NotLeading | bool:
        """Counts a store from now on; returns whether that is news."""
        if not self._host.may_decide():
            return NotLeading("not the leader")
        self._last_seen_ms[store.node] = self._clock.now_ms()
        if not self._host.state.stores.would_change(store):
            return False
        out = await self._host.propose(Register(store=store), self._commit_s)
        if isinstance(out, NotLeading):
            return out
        decisions.note("store", "", store=store.name, address=store.address)
        return True

    async def retire(
        self, name: str, *, begin: bool
    ) -> protocol.Retirement | NotLeading:
        """Has a store emptied, or returns how far that is; only the leader."""
        stores = self._host.state.stores
        store = stores.find(name)
        if store is None:
            return _retirement(is_known=False)
        if begin and not store.retiring:
            if stores.count_without(name) < self._cfg.copies:
                return _retirement(too_few=True)
            out = await self._host.propose(Retire(name=name), self._commit_s)
            if isinstance(out, NotLeading):
                return out
            decisions.note("retire", "", store=name)
        return _retirement(is_empty=self._is_empty(store))

    def _is_empty(self, store: Store) -> bool:
        """Returns whether a retiring store can go, with its disk.

        Gateways that stored there before they got the order settle their turns
        a little later; these count on its copy until another one is made.
        """
        now_ms = self._clock.now_ms()
        since_ms = self._retiring_ms.setdefault(store.node, now_ms)
        if now_ms - since_ms < _SETTLE_MS:
            return False
        counted = self._counted()
        return not any(
            store.node in turn.holders
            or sum(n in counted for n in turn.holders) < self._cfg.copies
            for turn in self._host.state.ledger.turns.values()
        )

    # Copies.

    async def repair(self) -> None:
        """Copies turns of which too few holders count; one round at a time."""
        if self._repairing:
            return
        self._repairing = True
        try:
            plan = copies.plan(
                self._host.state.ledger.turns.values(),
                self._counted(),
                self._holders(),
                self._cfg.copies,
            )
            for copy in plan:
                await self._copy(copy)
        finally:
            self._repairing = False

    def _holders(self) -> list[copies.Holder]:
        """Returns the hosts that can be asked now, this one included."""
        cfg = self._cfg
        us = copies.Holder(
            self._node, cfg.peer_listen, cfg.region, cfg.failure_domain
        )
        others = [
            copies.holder_of(host.info)
            for host in self._others.connected()
            if host.info is not None
        ]
        return [us, *others]

    def _counted(self) -> set[str]:
        """Returns the identities of the hosts whose copies count.

        A store that stays silent may be gone for good, with its disk; a
        second loss would then take the last copy.
        """
        now_ms = self._clock.now_ms()
        for host in self._others.connected():
            if host.info is not None:
                self._last_seen_ms[host.info.node] = now_ms
        counted = {m.node for m in self._host.group.members.members}
        for store in self._host.state.stores.by_node.values():
            last_seen_ms = self._last_seen_ms.setdefault(store.node, now_ms)
            if not store.retiring and now_ms - last_seen_ms < _SILENT_STORE_MS:
                counted.add(store.node)
        return counted

    async def _copy(self, copy: copies.CopyBatch) -> None:
        copy_turns = protocol.CopyTurns(
            ask=0, attempts=copy.attempts, source=copy.source.address
        )
        if copy.target.node == self._node:
            collector = _Collector()
            await self._turns.copy_turns(collector, copy_turns)
            done = collector.done
        else:
            done = await self._have_copied(copy, copy_turns)
        if not done:
            return
        holders = [*copy.counted_holders, copy.target.node]
        moved = Moved(attempts=copy.attempts, holders=holders)
        await self._host.propose(moved, self._commit_s)
        decisions.note(
            "copied",
            "",
            turns=len(copy.attempts),
            source=copy.source.address,
            target=copy.target.address,
        )

    async def _have_copied(
        self, copy: copies.CopyBatch, copy_turns: protocol.CopyTurns
    ) -> bool:
        target = self._others.by_node(copy.target.node)
        if target is None:
            return False
        try:
            reply = await self._others.ask(
                target,
                lambda ask: structs.replace(copy_turns, ask=ask),
                COPY_TIMEOUT_S,
            )
        except PeerLostError as exc:
            log.info("copy failed: %s", exc)
            return False
        return isinstance(reply, protocol.Done)


def _retirement(
    *, is_known: bool = True, too_few: bool = False, is_empty: bool = False
) -> protocol.Retirement:
    return protocol.Retirement(
        ask=0, is_known=is_known, too_few=too_few, is_empty=is_empty
    )
