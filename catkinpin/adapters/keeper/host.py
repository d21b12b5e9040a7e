"""Applies the control group's log on a keeper, and proposes records to it.

Only the leader confirms what other processes rely on: that a turn may begin,
that a routing document is in force, that an announcement is committed. It
confirms after a quorum has the record, and only while it holds its lease.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import logging
from typing import TYPE_CHECKING, Any

from catkinpin import codec, decisions, metrics
from catkinpin.adapters import unusable
from catkinpin.adapters.tasks import brief
from catkinpin.core.control import accounts, routes, servers, state
from catkinpin.core.control.quotas import Quotas
from catkinpin.core.control.servers import Instance, ServerState
from catkinpin.core.control.turnrecords import Begin, Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.replica.groups import Group
    from catkinpin.clock import Clock
    from catkinpin.core.control.quotas import AccountUse, QuotaTolerance
    from catkinpin.core.control.routes import PackedRouting

log = logging.getLogger(__name__)


_MAX_FAULT_TEXT = 300
# Servers that are not known, of which announcements are remembered.
_MAX_REMEMBERED = 1_000
# Announcements of more servers are refused, as anybody may send them.
MAX_SERVERS = 16_384
# The metrics have one line per account, for at most so many accounts.
_MAX_EXPOSED_ACCOUNTS = 20


class Undecided:
    """Result of a proposal whose outcome this keeper does not know.

    The record may or may not be committed.

    Attributes:
        reason: why the outcome is unknown.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason


@dataclasses.dataclass
class _PendingProposal:
    """A record that this keeper proposed and has not applied yet."""

    fut: asyncio.Future[Outcome | Undecided]


class KeeperHost:
    """Applies the control group's log to a `ControlState`.

    Args:
        clock: the time source.
        incarnation: of this process; makes the tags of its proposals unique.
        silent_server_ms: a server that does not announce itself for this long
            counts as lost.
        tolerance: how exactly the quotas of client accounts must hold.
        on_routing_changed: called after each change of the routes.
        on_servers_changed: called with the servers that changed.
        on_turns_expired: called with the attempts that expired.
        on_suspects_changed: called with each change of the requests that are
            quarantined or suspected to crash servers.
        on_restored: called after a snapshot has replaced the state.

    Attributes:
        state: the replicated state.
        quotas: what client accounts have used of their quotas.
        group: this keeper's replica of the control group; set by the caller
            before the first record is applied.
        leading: whether this keeper leads the group.
        account_names: client accounts of the routing document.
    """

    def __init__(
        self,
        clock: Clock,
        incarnation: str,
        silent_server_ms: int,
        tolerance: QuotaTolerance,
        on_routing_changed: Callable[[], None],
        on_servers_changed: Callable[[list[Instance]], None],
        on_turns_expired: Callable[[list[str]], None],
        on_suspects_changed: Callable[[state.SuspectChange], None],
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self.state = state.ControlState(
            self._handle_routing_change,
            on_servers_changed,
            on_turns_expired,
            on_suspects_changed,
        )
        self.quotas = Quotas(tolerance)
        self._on_routing_changed = on_routing_changed
        self.account_names: frozenset[str] = frozenset()
        self._on_restored = on_restored
        self._packed_accounts = b""
        self._uncommitted_use: dict[str, AccountUse] = {}
        self.group: Group
        self.leading = False
        self._clock = clock
        self._silent_server_ms = silent_server_ms
        self._tags = (f"{incarnation}.{n}" for n in itertools.count())
        self._pending: dict[str, _PendingProposal] = {}
        self._last_announced_ms: dict[str, int] = {}
        self._last_sequence: dict[str, int] = {}
        self._log_time_base_ms = 0
        self._leadership_changed_ms = 0

    # Called by the group.

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record and resolves its pending proposal."""
        record = state.record_decoder.decode(payload)
        if not self.leading:
            # The leader counted the record before it proposed it.
            self._count_record(record.body)
        body = record.body
        if isinstance(body, state.Announce):
            unusable.log_servers([body.instance])
        outcome = self.state.apply(index, record)
        pending = self._pending.pop(record.tag, None)
        if pending is not None and not pending.fut.done():
            pending.fut.set_result(outcome)

    def leadership_changed(self, leading: bool) -> None:
        """Handles that this keeper became the leader or stopped leading."""
        self.leading = leading
        now_ms = self._clock.now_ms()
        self._leadership_changed_ms = now_ms
        self._log_time_base_ms = self.state.ledger.now_ms
        # A new leader has seen no announcement yet: each server gets the full
        # `silent_server_ms` before it counts as lost.
        self._last_announced_ms = dict.fromkeys(
            self.state.fleet.servers, now_ms
        )
        decisions.note(
            "leadership",
            "",
            leading=leading,
            term=self.group.term,
            version=self.state.version,
        )
        if leading:
            self.quotas.count_expected(self.log_time_ms())
        else:
            metrics.QUOTA_USED_SHARE.clear()
            self._fail_pending("another leads")

    def snapshot(self) -> bytes:
        """Returns the encoded state after the last applied record."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state with a snapshot."""
        index = self.group.log.snapshot_index
        unusable.log_servers(self.state.restore(index, data))
        self._on_restored()

    def referenced(self) -> list[int]:
        """Returns an empty list: the state refers to no log entry by index."""
        return []

    def _count_record(self, body: Any) -> None:
        match body:
            case Begin():
                self.count_turn(body)
            case state.CountUse():
                for use in body.uses:
                    self.quotas.count_use(use, body.at_ms)

    def _handle_routing_change(self) -> None:
        packed = self.state.routing
        if packed is not None and packed.accounts != self._packed_accounts:
            self._packed_accounts = packed.accounts
            listed = accounts.without_faults(
                routes.unpack_accounts(packed) or []
            )
            self.account_names = frozenset(a.name for a in listed)
            self.quotas.configure(listed, self.state.ledger.now_ms)
        self._on_routing_changed()

    # Called by the rest of the process.

    def count_turn(self, begin: Begin) -> None:
        """Counts a turn against its account's quota, and a resent one once."""
        ledger = self.state.ledger
        if begin.account and not ledger.knows_turn(begin.attempt):
            turns = ledger.turn_count(begin.account, begin.program)
            self.quotas.count_turn(begin.account, begin.at_ms, turns=turns)

    def count_use(self, use: AccountUse) -> None:
        """Counts an account's plain requests; `commit_use` logs the counts."""
        self.quotas.count_use(use, self.log_time_ms())
        self._uncommitted_use[use.account] = use.plus(
            self._uncommitted_use.get(use.account)
        )

    async def commit_use(self, wait_s: float) -> None:
        """Commits the use counted since the last call.

        Use that is not committed within `wait_s` is lost.
        """
        self._update_quota_metrics()
        uses, self._uncommitted_use = list(self._uncommitted_use.values()), {}
        if not uses:
            return
        body = state.CountUse(uses=uses, at_ms=self.log_time_ms())
        outcome = await self.propose(body, wait_s)
        if isinstance(outcome, Undecided):
            decisions.note("use-unlogged", "", reason=outcome.reason)

    def _update_quota_metrics(self) -> None:
        uses = self.quotas.uses()
        metrics.QUOTA_ACCOUNTS.set(len(uses))
        metrics.QUOTA_USED_SHARE.clear()
        for use in uses[:_MAX_EXPOSED_ACCOUNTS]:
            metrics.QUOTA_USED_SHARE.labels(use.account).set(use.used_share)

    def log_time_ms(self) -> int:
        """Returns the time of the log, in ms.

        It never goes back, not even when the leader changes.
        """
        return (
            self._log_time_base_ms
            + self._clock.now_ms()
            - self._leadership_changed_ms
        )

    def holds_lease(self) -> bool:
        """Returns whether this keeper leads and its lease is valid now."""
        return self.leading and self.group.is_leader()

    async def propose(self, body: Any, wait_s: float) -> Outcome | Undecided:
        """Proposes a record and waits until it is applied.

        Returns:
            The outcome of the record, or why it is unknown.
        """
        if not self.holds_lease():
            return Undecided("not the leader")
        tag = next(self._tags)
        fut: asyncio.Future[Outcome | Undecided]
        fut = asyncio.get_running_loop().create_future()
        self._pending[tag] = _PendingProposal(fut)
        record = state.Record(tag=tag, body=body)
        self.group.propose(codec.encode(record))
        try:
            async with asyncio.timeout(wait_s):
                outcome = await fut
        except TimeoutError:
            return Undecided("no quorum in time")
        finally:
            self._pending.pop(tag, None)
        # The record is applied, but this keeper may no longer lead: after a
        # freeze it would answer from a state that another leader has changed.
        if isinstance(outcome, Outcome) and not self.holds_lease():
            return Undecided("the lease ran out")
        return outcome

    async def set_routing(
        self, routing: PackedRouting, wait_s: float
    ) -> Undecided | None:
        """Puts a routing document in force if it is newer than the current."""
        if not self.holds_lease():
            return Undecided("not the leader")
        if routing.version <= self.state.version:
            return None
        if why := _routing_fault(routing):
            # A keeper of an earlier release passes on what this one refuses.
            log.warning("routes refused: %s", why)
            return Undecided("the routing document is invalid")
        outcome = await self.propose(state.SetRouting(routing=routing), wait_s)
        return outcome if isinstance(outcome, Undecided) else None

    async def announce(
        self, instance: Instance, wait_s: float
    ) -> Undecided | None:
        """Handles a server's announcement; returns after it is committed.

        An announcement that changes nothing is not proposed.
        """
        if not self.holds_lease():
            return Undecided("not the leader")
        if servers.fault(instance):
            # A keeper of an earlier release passes on whatever it gets.
            unusable.log_servers([instance])
            return None
        known = self.state.fleet.servers
        if instance.id not in known and len(known) >= MAX_SERVERS:
            return Undecided("too many servers")
        self._last_announced_ms[instance.id] = self._clock.now_ms()
        if instance.state is ServerState.GONE:
            last_sequence = self._last_sequence.get(instance.id, 0)
            instance = self.state.fleet.with_known_incarnation(
                instance, last_sequence
            )
        else:
            self._last_sequence[instance.id] = instance.sequence
        if not self.state.fleet.would_change(instance):
            return None
        outcome = await self.propose(state.Announce(instance=instance), wait_s)
        if isinstance(outcome, Undecided):
            return outcome
        decisions.note(
            "server",
            "",
            server=instance.id,
            state=instance.state,
            service=instance.service,
            address=instance.address,
            sequence=instance.sequence,
        )
        return None

    def lost_servers(self) -> list[Instance]:
        """Returns the servers that were silent for too long, in state LOST.

        A crashed server does not announce that it leaves, and its address may
        be given to another server.
        """
        now_ms = self._clock.now_ms()
        self._forget_removed()
        known = self.state.fleet.servers
        lost = []
        for instance in known.values():
            last_announced_ms = self._last_announced_ms.setdefault(
                instance.id, now_ms
            )
            if now_ms - last_announced_ms > self._silent_server_ms:
                lost.append(
                    Instance(
                        id=instance.id,
                        service=instance.service,
                        address=instance.address,
                        domain=instance.domain,
                        state=ServerState.LOST,
                        started_ms=instance.started_ms,
                        sequence=instance.sequence + 1,
                        slots=instance.slots,
                    )
                )
        return lost

    def _forget_removed(self) -> None:
        """Forgets when servers announced themselves that are not known."""
        known = self.state.fleet.servers
        if len(self._last_announced_ms) <= len(known) + _MAX_REMEMBERED:
            return
        for noted in (self._last_announced_ms, self._last_sequence):
            for server in [s for s in noted if s not in known]:
                del noted[server]

    def _fail_pending(self, reason: str) -> None:
        for pending in self._pending.values():
            if not pending.fut.done():
                pending.fut.set_result(Undecided(reason))
        self._pending.clear()


def _routing_fault(packed: PackedRouting) -> str:
    """Returns why a document can't be put in force; empty if it can."""
    try:
        found = routes.problems(routes.unpack(packed))
    except Exception as exc:
        # A decoder may raise anything for what another process sent.
        return brief(exc)
    if packed.version < 0 or not routes.is_version(packed.version):
        return "the version is out of range"
    return ascii("; ".join(found)[:_MAX_FAULT_TEXT]) if found else ""
