"""Requests of gateways to begin, place and finish turns."""

from __future__ import annotations

import dataclasses
import random
from typing import TYPE_CHECKING

from msgspec import structs

from catkinpin import decisions, metrics
from catkinpin.adapters.keeper.admitting import ProgramAdmission
from catkinpin.adapters.keeper.host import Undecided
from catkinpin.core.control import protocol
from catkinpin.core.control.turnrecords import Denial
from catkinpin.core.placement.placer import Placer
from catkinpin.core.placement.unresponsive import UnresponsiveServers

if TYPE_CHECKING:
    from collections.abc import Mapping

    from catkinpin.adapters.keeper.host import KeeperHost
    from catkinpin.clock import Clock
    from catkinpin.core.control.servers import Instance
    from catkinpin.core.control.turnrecords import Begin
    from catkinpin.core.placement.contention import ContendedServices
    from catkinpin.core.placement.placer import ServerSlowdown, TurnReport


class TurnRequests:
    """Begins, places and settles turns while this keeper leads.

    Args:
        host: proposes records to the control group.
        regions: region of each failure domain.
        clock: the time source.
        commit_timeout_s: longest wait for a quorum.
        contention: for which services capacity is contended.
        account_weights: weight of an account's share of contended capacity; 1
            where there is none.

    Attributes:
        admission: admits programs to contended services.
    """

    def __init__(
        self,
        host: KeeperHost,
        regions: dict[str, str],
        clock: Clock,
        commit_timeout_s: float,
        contention: ContendedServices,
        account_weights: Mapping[str, float] | None = None,
    ) -> None:
        self._host = host
        self._clock = clock
        self._commit_timeout_s = commit_timeout_s
        self.admission = ProgramAdmission(
            host, clock, contention, account_weights or {}
        )
        self._placer = Placer(regions, random.Random(), contention)
        self._unresponsive = UnresponsiveServers()

    async def begin(
        self, message: protocol.AskBegin, gateway: str = ""
    ) -> protocol.Began | Undecided:
        """Begins a turn and chooses a server for it, unless it is denied.

        Args:
            message: the request.
            gateway: name of the asking gateway; empty if it is unknown.
        """
        if message.finds_sent:
            return self._find_sent(message)
        if self._may_resume_unnoticed(message.begin):
            return Undecided("a gateway of an earlier release can't resume it")
        begin = structs.replace(message.begin, at_ms=self._host.log_time_ms())
        is_limited = self._is_limited(begin)
        quota_wait_ms = self._quota_wait_ms(begin) if is_limited else 0
        if quota_wait_ms:
            return self._deny_over_quota(message.ask, begin, quota_wait_ms)
        retry_ms = self.admission.admit(message, begin)
        if retry_ms:
            return protocol.Began(
                ask=message.ask,
                denial=Denial.NO_CAPACITY,
                chain=[],
                retry_ms=retry_ms,
            )
        if is_limited:
            self._host.count_turn(begin)
        outcome = await self._host.propose(begin, self._commit_timeout_s)
        if isinstance(outcome, Undecided):
            return outcome
        if outcome.denial:
            self.admission.cancel(begin.attempt)
        if outcome.denial is Denial.NO_SUCH_TURN:
            self._note_missing_turn(begin, outcome.missing)
        placed = (
            ""
            if outcome.denial
            else self._choose_server(message, outcome.server, gateway)
        )
        return protocol.Began(
            ask=message.ask,
            denial=outcome.denial,
            chain=outcome.chain,
            program_status=outcome.program_status,
            server=outcome.server,
            placed=placed,
        )

    async def finish(self, message: protocol.AskFinish) -> Undecided | None:
        """Settles a turn and releases its place on its server."""
        finish = structs.replace(message.finish, at_ms=self._host.log_time_ms())
        now_ms = self._clock.now_ms()
        ignored = self._placer.finish(finish.attempt, message.report, now_ms)
        self._note_slowdowns(finish.attempt, message.report, ignored)
        self.admission.finish(message)
        outcome = await self._host.propose(finish, self._commit_timeout_s)
        if isinstance(outcome, Undecided):
            return outcome
        if outcome.missing and finish.is_whole:
            decisions.note(
                "finish-ignored", finish.attempt, program=finish.program
            )
            return Undecided("the turn is not open")
        return None

    def _may_resume_unnoticed(self, begin: Begin) -> bool:
        """Returns whether a gateway of the previous release may resume a turn.

        It would store what follows the break as the turn's whole output.
        """
        return (
            not begin.handles_resumption
            and self._host.state.ledger.resumable.has_turn_after(
                begin.account, begin.program, begin.previous
            )
        )

    def _find_sent(
        self, message: protocol.AskBegin
    ) -> protocol.Began | Undecided:
        """Returns the turns that a turn may resume."""
        if not self._host.holds_lease() or not self._host.group.is_current():
            return Undecided("not the leader")
        ledger = self._host.state.ledger
        attempt = message.begin.attempt
        if ledger.knows_turn(attempt) or ledger.resumable.get(attempt):
            # Its own events would be stored under names that are in use.
            return protocol.Began(
                ask=message.ask, denial=Denial.NOT_RESUMABLE, chain=[]
            )
        begin = message.begin
        found = ledger.resumable.find(
            begin.account, begin.program, begin.resume_key
        )
        stores = self._host.state.stores.by_node.values()
        host_count = len(self._host.group.members.members)
        host_count += sum(not store.retiring for store in stores)
        return protocol.Began(
            ask=message.ask,
            denial=Denial.NONE,
            chain=[],
            sent=found,
            hosts=host_count,
        )

    def unresponsive_servers(self, gateways: int) -> list[str]:
        """Returns plain servers that several gateways report unresponsive.

        Args:
            gateways: how many gateways are connected.
        """
        now_ms = self._clock.now_ms()
        servers = self._unresponsive.confirmed(gateways, now_ms)
        for prevented in self._unresponsive.take_prevented():
            metrics.PREVENTED_EJECTIONS.labels("leader").inc()
            decisions.note(
                "ejection-prevented",
                "",
                server=prevented.server,
                gateways=prevented.gateways,
                call_age_ms=prevented.call_age_ms,
                answered_age_ms=prevented.answered_age_ms,
            )
        return servers

    def report_use(
        self, message: protocol.ReportUse, gateway: str
    ) -> protocol.QuotaUpdate | Undecided:
        """Handles a report of plain requests and of unresponsive servers.

        Plain requests are those that are no turns. They are counted against the
        quotas of their accounts.

        Returns:
            The accounts over their quota; `Undecided` if this keeper doesn't
            lead.
        """
        if not self._host.holds_lease():
            return Undecided("not the leader")
        now_ms = self._clock.now_ms()
        known = self._host.state.fleet.servers
        self._unresponsive.report(
            gateway, message.unresponsive, now_ms, message.overdue_ms
        )
        self._unresponsive.record_answers(
            {s: age for s, age in message.answered_ms.items() if s in known},
            now_ms,
        )
        for use in message.uses:
            self._host.count_use(use)
        throttled = self._host.quotas.throttled(self._host.log_time_ms())
        return protocol.QuotaUpdate(
            ask=message.ask, over=throttled.over, spent=throttled.spent
        )

    def reset(self) -> None:
        """Drops placements and reports after a change of the leader."""
        self._placer.reset()
        self.admission.reset()
        self._unresponsive.reset()

    def handle_server_changes(self, instances: list[Instance]) -> None:
        """Drops the placements on servers that are offline."""
        self.admission.handle_server_changes(instances)
        for instance in instances:
            if instance.state.is_offline:
                self._placer.forget(instance.id)

    def _is_limited(self, begin: Begin) -> bool:
        """Returns whether a turn counts against its account's quota now."""
        return (
            bool(begin.account)
            and self._host.holds_lease()
            and not self._host.state.ledger.knows_turn(begin.attempt)
        )

    def _quota_wait_ms(self, begin: Begin) -> int:
        """Returns how many ms a turn waits for its account's quota."""
        turns = self._host.state.ledger.turn_count(begin.account, begin.program)
        return self._host.quotas.admission_wait_ms(
            begin.account, begin.at_ms, turns=turns
        )

    def _deny_over_quota(
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

    def _choose_server(
        self, message: protocol.AskBegin, last_server: str, gateway: str
    ) -> str:
        if message.place is None:
            return ""
        fleet = self._host.state.fleet
        attempt = message.begin.attempt
        server = self._placer.place(
            attempt,
            message.place,
            fleet.servers_of(message.place.service),
            fleet.servers.get(last_server),
            self._clock.now_ms(),
            gateway,
        )
        choice = self._placer.choice_of(attempt)
        if choice is None:
            return server
        connection_ms = self._placer.connection_ms(attempt)
        if connection_ms is not None:
            kind = "new" if connection_ms else "used"
            metrics.PLACED_TURNS.labels(kind).inc()
        if connection_ms is not None or choice.slowdown_age_ms >= 0:
            decisions.routine(
                "placed",
                attempt,
                server=server,
                gateway=gateway,
                connection_ms=choice.connection_ms,
                slowdown=round(choice.slowdown, 2),
                slowdown_age_ms=choice.slowdown_age_ms,
                cost_ms=round(choice.cost_ms, 1),
                running=choice.running,
            )
        return server

    def _note_missing_turn(self, begin: Begin, missing: str) -> None:
        decisions.note(
            "no-such-turn",
            begin.attempt,
            program=begin.program,
            previous=begin.previous,
            missing=missing,
            reason=self._host.state.ledger.why_missing(missing),
            account=begin.account,
            log_ms=begin.at_ms,
        )

    def _note_slowdowns(
        self,
        attempt: str,
        report: TurnReport,
        ignored: list[ServerSlowdown],
    ) -> None:
        used = len(report.slowdowns) - len(ignored)
        metrics.SLOWDOWN_REPORTS.labels("used").inc(used)
        metrics.SLOWDOWN_REPORTS.labels("ignored").inc(len(ignored))
        for slowdown in ignored:
            decisions.routine(
                "slowdown-ignored",
                attempt,
                server=slowdown.server,
                slowdown=slowdown.slowdown,
                age_ms=slowdown.age_ms,
            )
