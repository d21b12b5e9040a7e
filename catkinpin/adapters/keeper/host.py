"""A keeper's side of the control group: decides where it leads, else says who.

Only the leader answers what others rely on: whether a turn may begin, that a
routing document is in force, or that an announcement lasts. It answers once
a quorum has the record, and only while it holds its lease.
"""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import logging
from typing import TYPE_CHECKING, Any

from catkinpin import codec, decisions, metrics
from catkinpin.core.control import routes, state
from catkinpin.core.control.ledger import Begin, Outcome
from catkinpin.core.control.quotas import Quotas
from catkinpin.core.control.servers import Instance, ServerState
from catkinpin.core.programs.quarantine import Quarantine

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.replica.groups import Group
    from catkinpin.clock import Clock
    from catkinpin.core.control.quotas import AccountUse, QuotaTolerance
    from catkinpin.core.control.routes import PackedRouting

log = logging.getLogger(__name__)


# Accounts among the metrics, which hold a line for each.
_MAX_EXPOSED = 20


class NotLeading:
    """Sentinel: this keeper can't decide; the record may or may not last.

    Attributes:
        reason: why, for the log.
    """

    def __init__(self, reason: str) -> None:
        self.reason = reason


@dataclasses.dataclass
class _Waiting:
    """A record that was proposed here and is not applied yet."""

    fut: asyncio.Future[Outcome | NotLeading]


class KeeperHost:
    """Drives `ControlState` by the control group's log.

    Args:
        clock: time.
        identity: who this keeper is, new for each new data folder.
        incarnation: of this process; makes tags unique.
        silent_server_ms: a server silent for so long is gone.
        tolerance: how exactly quotas of client accounts must hold.
        changed: called after each change that gateways must learn of.

    Attributes:
        quotas: what client accounts have used of their quotas.
    """

    def __init__(
        self,
        clock: Clock,
        incarnation: str,
        silent_server_ms: int,
        tolerance: QuotaTolerance,
        on_routing: Callable[[], None],
        on_fleet: Callable[[list[Instance]], None],
        on_expired: Callable[[list[str]], None],
        on_quarantined: Callable[[list[str]], None],
    ) -> None:
        self.state = state.ControlState(
            self._routing_changed, on_fleet, on_expired, on_quarantined
        )
        self.quotas = Quotas(tolerance)
        self._on_routing = on_routing
        self._packed_accounts = b""
        self._unlogged: dict[str, AccountUse] = {}
        self._quarantine = Quarantine()
        self.group: Group
        self.leading = False
        self._clock = clock
        self._silent_server_ms = silent_server_ms
        self._tags = (f"{incarnation}.{n}" for n in itertools.count())
        self._waiting: dict[str, _Waiting] = {}
        self._last_seen_ms: dict[str, int] = {}
        self._last_sequence: dict[str, int] = {}
        self._log_base_ms = 0
        self._led_since_ms = 0

    # What the group drives.

    def apply(self, index: int, payload: bytes) -> None:
        """Applies a committed record and answers whoever proposed it."""
        record = state.record_decoder.decode(payload)
        if not self.leading:
            # A leader has counted these before they were proposed.
            self._count(record.body)
        out = self.state.apply(index, record)
        waiting = self._waiting.pop(record.tag, None)
        if waiting is not None and not waiting.fut.done():
            waiting.fut.set_result(out)

    def leadership(self, leading: bool) -> None:
        """Starts or ends this keeper's time as the leader."""
        self.leading = leading
        now = self._clock.now_ms()
        self._led_since_ms = now
        self._log_base_ms = self.state.ledger.now_ms
        # This leader has no announcements yet: all servers get the whole time.
        self._last_seen_ms = dict.fromkeys(self.state.fleet.servers, now)
        decisions.note(
            "leadership",
            "",
            leading=leading,
            term=self.group.term,
            version=self.state.version,
        )
        if leading:
            self.quotas.count_expected(self.log_ms())
        else:
            metrics.QUOTA_USED_SHARE.clear()
            self._give_up("another leads")

    def snapshot(self) -> bytes:
        """Returns the state as of the last record applied."""
        return self.state.snapshot()

    def restore(self, data: bytes) -> None:
        """Replaces the state by a snapshot."""
        self.state.restore(self.group.log.snapshot, data)

    def referenced(self) -> list[int]:
        """Returns no index: nothing in the state points into the log."""
        return []

    def _count(self, body: Any) -> None:
        match body:
            case Begin():
                self.count_turn(body)
            case state.CountUse():
                for use in body.uses:
                    self.quotas.count_use(use, body.at_ms)

    def _routing_changed(self) -> None:
        packed = self.state.routing
        if packed is not None and packed.accounts != self._packed_accounts:
            self._packed_accounts = packed.accounts
            accounts = routes.unpack_accounts(packed) or []
            self.quotas.configure(accounts, self.state.ledger.now_ms)
        self._on_routing()

    # What others ask for.

    def count_turn(self, begin: Begin) -> None:
        """Counts a turn against its account's quota; a resend counts once."""
        ledger = self.state.ledger
        if begin.account and not ledger.knows_turn(begin.attempt):
            turns = ledger.turn_count(begin.account, begin.program)
            self.quotas.count_turn(begin.account, begin.at_ms, turns=turns)

    def count_use(self, use: AccountUse) -> None:
        """Counts plain requests, to be logged with others."""
        self.quotas.count_use(use, self.log_ms())
        self._unlogged[use.account] = use.plus(self._unlogged.get(use.account))

    async def log_use(self, wait_s: float) -> None:
        """Has what was counted last logged; what isn't is lost."""
        self._expose_use()
        uses, self._unlogged = list(self._unlogged.values()), {}
        if not uses:
            return
        body = state.CountUse(uses=uses, at_ms=self.log_ms())
        out = await self.propose(body, wait_s)
        if isinstance(out, NotLeading):
            decisions.note("use-unlogged", "", reason=out.reason)

    def _expose_use(self) -> None:
        uses = self.quotas.uses()
        metrics.QUOTA_ACCOUNTS.set(len(uses))
        metrics.QUOTA_USED_SHARE.clear()
        for use in uses[:_MAX_EXPOSED]:
            metrics.QUOTA_USED_SHARE.labels(use.account).set(use.used_share)

    def log_ms(self) -> int:
        """Returns the log's time, which only rises, over all leaders."""
        return self._log_base_ms + self._clock.now_ms() - self._led_since_ms

    def may_decide(self) -> bool:
        """Returns whether this keeper leads under a lease now."""
        return self.leading and self.group.is_leader()

    async def propose(self, body: Any, wait_s: float) -> Outcome | NotLeading:
        """Has a record committed and applied.

        Returns:
            What it brought about; or why that is not known.
        """
        if not self.may_decide():
            return NotLeading("not the leader")
        tag = next(self._tags)
        fut: asyncio.Future[Outcome | NotLeading]
        fut = asyncio.get_running_loop().create_future()
        self._waiting[tag] = _Waiting(fut)
        record = state.Record(tag=tag, body=body)
        self.group.propose(codec.encode(record))
        try:
            async with asyncio.timeout(wait_s):
                out = await fut
        except TimeoutError:
            return NotLeading("no quorum in time")
        finally:
            self._waiting.pop(tag, None)
        # Applied, but by whom? A leader that was frozen meanwhile would speak
        # for a state that another has changed.
        if isinstance(out, Outcome) and not self.may_decide():
            return NotLeading("the lease ran out")
        return out

    async def set_routing(
        self, routing: PackedRouting, wait_s: float
    ) -> NotLeading | None:
        """Puts a document in force; one that is not newer changes nothing."""
        if not self.may_decide():
            return NotLeading("not the leader")
        if routing.version <= self.state.version:
            return None
        out = await self.propose(state.SetRouting(routing=routing), wait_s)
        return out if isinstance(out, NotLeading) else None

    async def announce(
        self, instance: Instance, wait_s: float
    ) -> NotLeading | None:
        """Handles a server's announcement; returns once it is committed."""
        if not self.may_decide():
            return NotLeading("not the leader")
        self._last_seen_ms[instance.id] = self._clock.now_ms()
        if instance.state is ServerState.GONE:
            last_seen = self._last_sequence.get(instance.id, 0)
            instance = self.state.fleet.with_known_incarnation(
                instance, last_seen
            )
        else:
            self._last_sequence[instance.id] = instance.sequence
        if not self.state.fleet.would_change(instance):
            return None
        out = await self.propose(state.Announce(instance=instance), wait_s)
        if isinstance(out, NotLeading):
            return out
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

    async def report_crash(
        self, content: str, server: str, wait_s: float
    ) -> NotLeading | None:
        """Notes that a server crashed while it ran a request.

        One crash may be chance. With the second the content is quarantined:
        its caller sends it again, and each time it would cost a server.
        """
        if not self.may_decide():
            return NotLeading("not the leader")
        digest = bytes.fromhex(content)
        self._quarantine.add_strike(
            digest, server, server, self._clock.now_ms()
        )
        self._quarantine.resolve(server, server, crashed=True)
        quarantined = [
            found.hex() for found in self._quarantine.quarantine_repeated()
        ]
        decisions.note(
            "crash-report",
            "",
            content=content,
            server=server,
            quarantined=quarantined,
        )
        if not quarantined:
            return None
        out = await self.propose(state.Quarantine(contents=quarantined), wait_s)
        return out if isinstance(out, NotLeading) else None

    def silent_servers(self) -> list[Instance]:
        """Returns servers that were silent for too long, as lost.

        A server that crashed says nothing, and its address may be given to
        another one.
        """
        now = self._clock.now_ms()
        gone = []
        for instance in self.state.fleet.servers.values():
            last_seen = self._last_seen_ms.setdefault(instance.id, now)
            if now - last_seen > self._silent_server_ms:
                gone.append(
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
        return gone

    def _give_up(self, reason: str) -> None:
        for waiting in self._waiting.values():
            if not waiting.fut.done():
                waiting.fut.set_result(NotLeading(reason))
        self._waiting.clear()
