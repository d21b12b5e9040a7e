"""Begins and finishes at the keeper that leads, and the servers it names."""

from __future__ import annotations

import asyncio
import types
from typing import TYPE_CHECKING, Any, cast

from catkinpin import clock
from catkinpin.adapters.keeper.host import Undecided
from catkinpin.adapters.keeper.turns import TurnRequests
from catkinpin.core.control import protocol
from catkinpin.core.control.accounts import ClientAccount, Quota
from catkinpin.core.control.ledger import (
    Begin,
    Denial,
    Finish,
    Ledger,
    Outcome,
)
from catkinpin.core.control.quotas import AccountUse, Quotas, QuotaTolerance
from catkinpin.core.control.servers import Fleet, ServerState
from catkinpin.core.placement.placer import PlaceTurn
from catkinpin.core.requests.calls import PromptPart
from tests import base
from tests.fakes.instances import instance

if TYPE_CHECKING:
    from catkinpin.adapters.keeper.host import KeeperHost


class _Host:
    """Stands in for the control group: commits what it is told to."""

    def __init__(self) -> None:
        self.state = types.SimpleNamespace(fleet=Fleet(), ledger=Ledger())
        self.quotas = Quotas(QuotaTolerance())
        self.counted: list[str] = []
        self.out: Outcome | Undecided = Outcome()
        for number in range(4):
            self.state.fleet.apply(instance(f"s{number}"))

    def log_time_ms(self) -> int:
        return 1

    def holds_lease(self) -> bool:
        return True

    def count_turn(self, begin: Begin) -> None:
        self.counted.append(begin.attempt)
        self.quotas.count_turn(begin.account, 1, turns=0)

    def count_use(self, use: AccountUse) -> None:
        self.quotas.count_use(use, 1)

    async def propose(self, body: Any, wait_s: float) -> Outcome | Undecided:
        return self.out


def _requests(host: _Host) -> TurnRequests:
    return TurnRequests(
        cast("KeeperHost", host), {"a": "r"}, clock.system_clock(), 1.0
    )


def _ask(
    attempt: str, *, place: bool = True, account: str = ""
) -> protocol.AskBegin:
    begin = Begin(
        attempt=attempt,
        program="p",
        previous="",
        budget=-1,
        max_tokens=300,
        retain_ms=60_000,
        at_ms=0,
        account=account,
    )
    turn = PlaceTurn(
        service="models",
        domain="a",
        prompt=[PromptPart("shared", 12_600), PromptPart(attempt, 100)],
        max_tokens=300,
        left_ms=3_000,
    )
    return protocol.AskBegin(ask=1, begin=begin, place=turn if place else None)


def _finish(attempt: str) -> protocol.AskFinish:
    finish = Finish(
        attempt=attempt,
        program="p",
        tokens=1,
        is_whole=False,
        holders=[],
        size=0,
        at_ms=0,
    )
    return protocol.AskFinish(ask=2, finish=finish)


class TurnRequestsTest(base.TestCase):
    """What the reply to a begin names, and when a turn counts no more."""

    def setUp(self) -> None:
        super().setUp()
        self.host = _Host()
        self.requests = _requests(self.host)

    def _begin(self, message: protocol.AskBegin) -> Any:
        return asyncio.run(self.requests.begin(message))

    def test_begin_names_a_server_that_is_ready(self) -> None:
        """Guards against names of servers that drain."""
        for number in range(1, 4):
            known = instance(
                f"s{number}", state=ServerState.DRAINING, sequence=2
            )
            self.host.state.fleet.apply(known)
        self.assertEqual("s0", self._begin(_ask("t")).placed)

    def test_gateway_that_asks_for_no_server_gets_no_name(self) -> None:
        """Guards against plain streams that count at model servers."""
        self.assertEqual("", self._begin(_ask("t", place=False)).placed)

    def test_denied_turn_gets_no_server(self) -> None:
        """Guards against turns that count although they never run."""
        self.host.out = Outcome(denial=Denial.BUDGET_SPENT)
        self.assertEqual("", self._begin(_ask("t")).placed)

    def test_keeper_that_does_not_lead_names_no_server(self) -> None:
        """Guards against two leaders that place by halves of the truth."""
        self.host.out = Undecided("not the leader")
        self.assertIsInstance(self._begin(_ask("t")), Undecided)

    def test_finish_that_is_not_committed_still_frees_its_server(self) -> None:
        """Guards against servers that seem full after a lost quorum."""
        names = [self._begin(_ask(f"t{n}")).placed for n in range(4)]
        self.host.out = Undecided("no quorum in time")
        for number in range(4):
            asyncio.run(self.requests.finish(_finish(f"t{number}")))
        self.host.out = Outcome()
        # All counts are back at none, so the holder of the prompt is free.
        self.assertIn(self._begin(_ask("t9")).placed, names)

    def test_change_of_leaders_forgets_placements(self) -> None:
        """Guards against a former leader's counts when it leads again."""
        self._begin(_ask("t"))
        self.requests.reset()
        self.assertTrue(self._begin(_ask("t")).placed)

    def _limit(self) -> None:
        quota = Quota(rate_per_s=1, burst=1)
        account = ClientAccount(name="a", quota=quota)
        self.host.quotas.configure([account], 0)

    def test_turn_over_its_quota_is_neither_begun_nor_placed(self) -> None:
        """Guards against servers held for turns that are refused."""
        self._limit()
        replies = [self._begin(_ask(f"t{n}", account="a")) for n in range(9)]
        over = [r for r in replies if r.denial == Denial.QUOTA_USED_UP]
        self.assertTrue(over)
        self.assertTrue(all(r.retry_ms > 0 and not r.placed for r in over))
        self.assertEqual(len(replies) - len(over), len(self.host.counted))

    def test_report_names_accounts_over_their_quota(self) -> None:
        """Guards against gateways that go on passing requests on."""
        self._limit()
        use = AccountUse(account="a", in_programs=100)
        reply = self.requests.report_use(
            protocol.ReportUse(ask=3, uses=[use]), "g"
        )
        assert isinstance(reply, protocol.QuotaUpdate)
        self.assertGreater(reply.over["a"], 0)
