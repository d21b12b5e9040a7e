"""What gateways ask a keeper about turns: begin, with a server, and finish."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from msgspec import structs

from catkinpin import decisions
from catkinpin.adapters.keeper.host import NotLeading
from catkinpin.core.control import protocol
from catkinpin.core.control.ledger import Denial
from catkinpin.core.placement.placer import Placer
from catkinpin.core.placement.unresponsive import UnresponsiveServers

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.clock import Clock
    from catkinpin.core.control.ledger import Begin
    from catkinpin.core.control.servers import Instance


class TurnRequests:
    """Begins, places and settles turns where this keeper leads.

    Args:
        host: the control group's state, and how this keeper decides.
        regions: region of each failure domain.
        clock: time.
        commit_s: longest wait for a quorum.
    """

    def __init__(
        self,
        host: KeeperHost,
        regions: dict[str, str],
        clock: Clock,
        commit_s: float,
    ) -> None:
        self._host = host
        self._clock = clock
        self._commit_s = commit_s
        self._placer = Placer(regions, random.Random())
        self._unresponsive = UnresponsiveServers()

    async def begin(
        self, message: protocol.AskBegin
    ) -> protocol.Began | NotLeading:
        """Begins a turn and names a server for it."""
        begin = structs.replace(message.begin, at_ms=self._host.log_ms())
        retry_ms = self._admit(begin)
        if retry_ms:
            return self._over_quota(message.ask, begin, retry_ms)
        out = await self._host.propose(begin, self._commit_s)
        if isinstance(out, NotLeading):
            return out
        placed = "" if out.denial else self._place(message, out.server)
        return protocol.Began(
            ask=message.ask,
            denial=out.denial,
            chain=out.chain,
            program_status=out.program_status,
            server=out.server,
            placed=placed,
        )

    async def finish(self, message: protocol.AskFinish) -> NotLeading | None:
        """Settles a turn."""
        finish = structs.replace(message.finish, at_ms=self._host.log_ms())
        now_ms = self._clock.now_ms()
        self._placer.finish(finish.attempt, message.report, now_ms)
        out = await self._host.propose(finish, self._commit_s)
        return out if isinstance(out, NotLeading) else None

    def unresponsive(self, gateways: int) -> list[str]:
        """Returns plain servers that several gateways find unresponsive."""
        return self._unresponsive.confirmed(gateways, self._clock.now_ms())

    def report_use(
        self, message: protocol.ReportUse, gateway: str
    ) -> protocol.QuotaUpdate | NotLeading:
        """Counts plain requests; returns which accounts get none served."""
        if not self._host.may_decide():
            return NotLeading("not the leader")
        self._unresponsive.report(
            gateway, message.unresponsive, self._clock.now_ms()
        )
        for use in message.uses:
            self._host.count_use(use)
        throttled = self._host.quotas.throttled(self._host.log_ms())
        return protocol.QuotaUpdate(
            ask=message.ask, over=throttled.over, spent=throttled.spent
        )

    def reset(self) -> None:
        """Forgets placements: the leader has changed."""
        self._placer.reset()
        self._unresponsive.reset()

    def servers_changed(self, instances: Iterable[Instance]) -> None:
        """Forgets servers that are gone."""
        for instance in instances:
            if instance.state.is_offline:
                self._placer.forget(instance.id)

    def _admit(self, begin: Begin) -> int:
        """Returns in how many ms a turn fits its quota; counts it if now."""
        if not begin.account or not self._host.may_decide():
            return 0
        ledger = self._host.state.ledger
        if ledger.knows_turn(begin.attempt):
            return 0
        turns = ledger.turn_count(begin.account, begin.program)
        retry_ms = self._host.quotas.admission_wait_ms(
            begin.account, begin.at_ms, turns=turns
        )
        if not retry_ms:
            self._host.count_turn(begin)
        return retry_ms

    def _over_quota(
        self, ask: int, begin: Begin, retry_ms: int
    ) -> protocol.Began:
        use = self._host.quotas.use_of(begin.account)
        decisions.note(
            "over-quota",
            begin.attempt,
            program=begin.program,
            turns=self._host.state.ledger.turn_count(
                begin.account, begin.program
            ),
            retry_ms=retry_ms,
            **(dataclasses.asdict(use) if use is not None else {}),
        )
        return protocol.Began(
            ask=ask, denial=Denial.QUOTA_USED_UP, chain=[], retry_ms=retry_ms
        )

    def _place(self, message: protocol.AskBegin, last_server: str) -> str:
        if message.place is None:
            return ""
        fleet = self._host.state.fleet
        return self._placer.place(
            message.begin.attempt,
            message.place,
            fleet.servers_of(message.place.service),
            fleet.servers.get(last_server),
            self._clock.now_ms(),
        )
