"""Plain requests of client accounts, as one gateway reports and limits them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from catkinpin.adapters.gateway import usage
from catkinpin.clock import Clock
from catkinpin.core.control import protocol
from catkinpin.core.control.accounts import ClientAccount, Quota
from catkinpin.core.placement.unresponsive import PendingCalls
from catkinpin.exceptions import PeerLostError
from tests import base

if TYPE_CHECKING:
    from collections.abc import Callable

_LIMITED = ClientAccount(name="a", quota=Quota(rate_per_s=10, burst=10))
_GATEWAYS = 10


class _Leader:
    """Fakes the leader: stores reports and sends prepared replies."""

    def __init__(self) -> None:
        self.reports: list[protocol.ReportUse] = []
        self.is_lost = False
        self.over: dict[str, int] = {}
        self.spent: dict[str, int] = {}

    async def ask_leader(
        self, make: Callable[[int], protocol.ReportUse], wait_s: float
    ) -> protocol.QuotaUpdate:
        if self.is_lost:
            raise PeerLostError("no leader")
        self.reports.append(make(1))
        return protocol.QuotaUpdate(ask=1, over=self.over, spent=self.spent)


class UsageTest(base.TestCase):
    """Which requests are reported, and which are refused."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 0
        self.leader = _Leader()
        self.pending = PendingCalls()
        time = Clock(now_ms=lambda: self.now, wall_ms=lambda: 0)
        self.usage = usage.UsageReporter(
            cast("Any", self.leader), time, lambda: _GATEWAYS, self.pending
        )

    def _run_one_report(self) -> None:
        async def once() -> None:
            running = asyncio.create_task(self.usage.run())
            await asyncio.sleep(usage.REPORT_INTERVAL_S * 1.5)
            running.cancel()

        asyncio.run(once())

    def test_answers_are_reported_without_accounts(self) -> None:
        """Guards against a leader that can't contradict false reports."""
        self.pending.add("c", "s1", 50.0, 0)
        self.pending.record_answer("c")
        self.now = 300
        self._run_one_report()
        (report,) = self.leader.reports
        self.assertEqual({"s1": 300}, report.answered_ms)

    def test_many_gateways_report_answers_less_often(self) -> None:
        """Guards against answers that overload the leader of many gateways."""
        self.usage = usage.UsageReporter(
            cast("Any", self.leader),
            Clock(now_ms=lambda: self.now, wall_ms=lambda: 0),
            lambda: 1_000,
            self.pending,
        )
        self.pending.add("c", "s1", 50.0, 0)
        self.pending.record_answer("c")
        self.now = 300
        self._run_one_report()
        self.assertEqual([], self.leader.reports)

    def test_unreported_requests_are_reported_later(self) -> None:
        """Guards against requests that are never reported to a leader."""
        self.usage.record(_LIMITED, in_program=True)
        self.leader.is_lost = True
        self._run_one_report()
        self.usage.record(_LIMITED, in_program=False)
        self.leader.is_lost = False
        self._run_one_report()
        (report,) = self.leader.reports
        self.assertEqual(1, report.uses[0].in_programs)
        self.assertEqual(1, report.uses[0].single)

    def test_account_over_its_quota_waits_until_there_is_room(self) -> None:
        """Guards against forwarding plain requests beyond the quota."""
        self.leader.over = {"a": 300}
        self.usage.record(_LIMITED, in_program=True)
        self._run_one_report()
        self.assertEqual(300, self.usage.retry_ms(_LIMITED, in_program=True))
        self.now = 301
        self.assertEqual(0, self.usage.retry_ms(_LIMITED, in_program=True))

    def test_programs_go_on_where_only_single_requests_are_over(self) -> None:
        """Guards against refusing calls of a program that was admitted."""
        self.leader.spent = {"a": 300}
        self.usage.record(_LIMITED, in_program=False)
        self._run_one_report()
        self.assertEqual(0, self.usage.retry_ms(_LIMITED, in_program=True))
        self.assertEqual(300, self.usage.retry_ms(_LIMITED, in_program=False))

    def test_outage_leaves_each_gateway_its_share(self) -> None:
        """Guards against exceeding a quota while there is no leader."""
        self.now = 4_000
        served = 0
        while not self.usage.retry_ms(_LIMITED, in_program=False):
            self.usage.record(_LIMITED, in_program=False)
            served += 1
        self.assertEqual((10 + 10 * 4) / _GATEWAYS, served)

    def test_account_without_a_limit_is_not_reported(self) -> None:
        """Guards against reports of accounts without a quota."""
        unlimited = ClientAccount(name="b")
        self.usage.record(unlimited, in_program=False)
        self._run_one_report()
        self.assertEqual([], self.leader.reports)
        self.assertEqual(0, self.usage.retry_ms(unlimited, in_program=False))
