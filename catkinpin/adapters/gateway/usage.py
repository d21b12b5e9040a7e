"""Reports plain requests of client accounts to the leader.

Turns are begun at the leader, plain requests are not: asking it first would
add a round trip, 16 ms between regions, to every tool call. The gateway
forwards them at once and reports them shortly after; the reply lists the
accounts whose requests must be refused. The same report lists the servers
that have an overdue call, those that answered, and the requests that were
suspected to crash servers and were answered.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.core.control import protocol
from catkinpin.core.control.quotas import AccountUse
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.peers.keepers import Keepers
    from catkinpin.clock import Clock
    from catkinpin.core.control.accounts import ClientAccount
    from catkinpin.core.control.suspects import AnsweredRequest
    from catkinpin.core.placement.unresponsive import PendingCalls

_MS_PER_S = 1_000
REPORT_INTERVAL_S = 0.2
_REPORT_TIMEOUT_S = 1.0
# When reports have failed for longer than this, requests outside of programs
# are limited to this gateway's share of the quota.
_MIN_OUTAGE_MS = 1_000
_OUTAGE_RETRY_AFTER_MS = 500
# Reports that only list answers are sent so often by all gateways together: the
# leader handles each of them on its one thread. Up to 100 gateways send one at
# each interval.
_MAX_ANSWER_REPORTS_PER_S = 500
# Answered suspects in one report. One that is left out is reported with its
# next answer.
_MAX_ANSWERED = 256


async def wait_for_quota(retry_ms: int, until_s: float) -> bool:
    """Waits until a quota has room, if that is no later than `until_s`.

    Returns:
        Whether it waited; False at once if the wait would be too long.
    """
    now_s = asyncio.get_running_loop().time()
    if now_s + retry_ms / _MS_PER_S > until_s:
        return False
    await asyncio.sleep(retry_ms / _MS_PER_S)
    return True


class UsageReporter:
    """Reports plain requests and tracks which accounts are over their quota.

    Args:
        keepers: links to the keepers, the leader among them.
        clock: source of the current time.
        gateways: returns how many gateways share a quota.
        pending_calls: plain calls that are waiting for their answers.
    """

    def __init__(
        self,
        keepers: Keepers,
        clock: Clock,
        gateways: Callable[[], int],
        pending_calls: PendingCalls,
    ) -> None:
        self._keepers = keepers
        self._clock = clock
        self._count_gateways = gateways
        self._pending: dict[str, AccountUse] = {}
        self._last_report_ms = clock.now_ms()
        self._last_sent_ms = clock.now_ms()
        self._pending_calls = pending_calls
        self._answered: dict[str, AnsweredRequest] = {}
        self._over_until_ms: dict[str, int] = {}
        self._spent_until_ms: dict[str, int] = {}

    def retry_ms(self, account: ClientAccount, *, in_program: bool) -> int:
        """Returns in how many ms a request may be forwarded; 0: now."""
        if not account.quota.is_limited:
            return 0
        now_ms = self._clock.now_ms()
        until_ms = self._over_until_ms.get(account.name, 0)
        if not in_program:
            until_ms = max(until_ms, self._spent_until_ms.get(account.name, 0))
            if self._is_share_used(account, now_ms):
                return _OUTAGE_RETRY_AFTER_MS
        return max(0, until_ms - now_ms)

    def record(self, account: ClientAccount, *, in_program: bool) -> None:
        """Counts a forwarded request for the next report."""
        if not account.quota.is_limited:
            return
        use = AccountUse(
            account=account.name,
            single=int(not in_program),
            in_programs=int(in_program),
        )
        self._add_pending(use)

    def record_answered(self, answered: AnsweredRequest) -> None:
        """Counts an answer to a suspected request for the next report."""
        if len(self._answered) < _MAX_ANSWERED:
            self._answered[answered.content] = answered

    async def run(self) -> None:
        """Sends reports for as long as the gateway runs."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            self._note_prevented_ejections()
            now_ms = self._clock.now_ms()
            if (
                self._pending
                or self._answered
                or self._over_until_ms
                or self._spent_until_ms
                or self._pending_calls.overdue_ages_ms(now_ms)
                or self._are_answers_due(now_ms)
            ):
                await self._report()

    def _are_answers_due(self, now_ms: int) -> bool:
        """Returns whether to send a report that only lists answers."""
        if not self._pending_calls.has_answers:
            return False
        interval_ms = (
            _MS_PER_S * self._count_gateways() / _MAX_ANSWER_REPORTS_PER_S
        )
        return now_ms - self._last_sent_ms >= interval_ms

    def _note_prevented_ejections(self) -> None:
        now_ms = self._clock.now_ms()
        self._pending_calls.overdue_servers(now_ms)
        for prevented in self._pending_calls.take_prevented():
            metrics.PREVENTED_EJECTIONS.labels("gateway").inc()
            decisions.routine(
                "ejection-prevented",
                prevented.call.partition("@")[0],
                server=prevented.server,
                call_age_ms=prevented.call_age_ms,
                answered_age_ms=prevented.answered_age_ms,
            )

    def _make_report(
        self,
        ask: int,
        uses: list[AccountUse],
        answered_sent_ms: dict[str, int],
        answered: list[AnsweredRequest],
    ) -> protocol.ReportUse:
        now_ms = self._clock.now_ms()
        overdue_ms = self._pending_calls.overdue_ages_ms(now_ms)
        return protocol.ReportUse(
            ask=ask,
            uses=uses,
            unresponsive=sorted(overdue_ms),
            overdue_ms=overdue_ms,
            answered_ms={
                server: now_ms - sent_ms
                for server, sent_ms in answered_sent_ms.items()
            },
            answered_suspects=answered,
        )

    async def _report(self) -> None:
        uses, self._pending = list(self._pending.values()), {}
        # A lost list of answers is not sent again: newer ones replace it.
        answered_sent_ms = self._pending_calls.take_answers()
        answered, self._answered = list(self._answered.values()), {}
        self._last_sent_ms = self._clock.now_ms()
        try:
            reply = await self._keepers.ask_leader(
                lambda ask: self._make_report(
                    ask, uses, answered_sent_ms, answered
                ),
                _REPORT_TIMEOUT_S,
            )
        except PeerLostError as exc:
            if uses or self._pending_calls.overdue_ages_ms(self._last_sent_ms):
                decisions.note("use-unreported", "", reason=str(exc))
            for use in uses:
                self._add_pending(use)
            for request in answered:
                self.record_answered(request)
            return
        now_ms = self._clock.now_ms()
        self._last_report_ms = now_ms
        self._over_until_ms = {
            account: now_ms + ms for account, ms in reply.over.items()
        }
        self._spent_until_ms = {
            account: now_ms + ms for account, ms in reply.spent.items()
        }

    def _add_pending(self, use: AccountUse) -> None:
        self._pending[use.account] = use.plus(self._pending.get(use.account))

    def _is_share_used(self, account: ClientAccount, now_ms: int) -> bool:
        """Returns whether this gateway's share is used up in an outage.

        Without a leader nobody adds up the requests of all gateways, so each
        gateway limits its own.
        """
        outage_ms = now_ms - self._last_report_ms
        unreported = self._pending.get(account.name)
        if unreported is None or outage_ms < _MIN_OUTAGE_MS:
            return False
        quota = account.quota
        allowed = quota.burst + quota.rate_per_s * outage_ms / _MS_PER_S
        return unreported.single >= max(
            1, allowed / max(1, self._count_gateways())
        )
