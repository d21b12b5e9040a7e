"""Client accounts: API keys, errors in accounts, and refused requests."""

from __future__ import annotations

import asyncio

from catkinpin.adapters.gateway.turnresults import (
    OverCapacity,
    OverQuota,
    StartedTurn,
)
from catkinpin.core.control import accounts, protocol, routes
from catkinpin.core.control.accounts import (
    AccountTable,
    ClientAccount,
    Quota,
)
from catkinpin.core.control.routes import CallerLimits, RouteKind, Routing
from catkinpin.core.placement.urgency import ProgramStatus
from tests import base
from tests.fakes.gatewaycase import GatewayCase
from tests.fakes.gatewayrig import Rig, answer_ok, stream_events

_KEY = "k-1"


def _account(
    name: str, *keys: str, quota: Quota | None = None
) -> ClientAccount:
    digests = [accounts.digest_of(key) for key in keys]
    return ClientAccount(name=name, key_digests=digests, quota=quota or Quota())


class AccountTableTest(base.TestCase):
    """Finding the account of an API key."""

    def test_key_is_found_at_its_account_only(self) -> None:
        table = AccountTable(
            [_account("a", "k-1", "k-2"), _account("b", "k-3")]
        )
        found = table.find(accounts.digest_of("k-2"))
        assert found is not None
        self.assertEqual("a", found.name)
        self.assertIsNone(table.find(accounts.digest_of("k-4")))

    def test_no_key_is_no_account(self) -> None:
        """Guards against assigning callers without a key to some account."""
        self.assertEqual(b"", accounts.digest_of(""))
        self.assertIsNone(AccountTable([_account("a")]).find(b""))


class ProblemsTest(base.TestCase):
    """Errors in the accounts of a routing document."""

    def test_valid_accounts_have_no_problems(self) -> None:
        quota = Quota(rate_per_s=0.5, burst=0)
        some = [_account("a", "k-1", "k-1"), _account("b", "k-2", quota=quota)]
        self.assertEqual([], accounts.problems(some))

    def test_every_problem_is_listed(self) -> None:
        """Guards against documents that assign a key to two accounts."""
        bad = [
            _account("a", "k-1"),
            _account("b", "k-1"),
            _account("b"),
            _account(""),
            _account("c\r\nX: y"),
            _account("d", ""),
            _account("e", quota=Quota(rate_per_s=-1.0)),
            _account("f", quota=Quota(burst=float("nan"))),
            _account("g", quota=Quota(rate_per_s=1e18)),
        ]
        self.assertEqual(8, len(accounts.problems(bad)))


class PackedAccountsTest(base.TestCase):
    """What gateways get of the accounts."""

    def test_gateways_get_accounts_but_no_keys(self) -> None:
        """Guards against API keys in the memory and streams of gateways."""
        routing = Routing(
            version=3,
            routes=[],
            services=[],
            limits=CallerLimits(),
            accounts=[_account("a", _KEY)],
            source=b'{"api_keys":["k-1"]}',
        )
        packed = routes.pack(routing)
        self.assertEqual(routing, routes.unpack(packed))
        sent = routes.unpack(routes.strip_source(packed))
        self.assertEqual(b"", sent.source)
        self.assertEqual(routing.accounts, sent.accounts)

    def test_document_without_accounts_asks_for_no_keys(self) -> None:
        """Guards against 401 in deployments without accounts."""
        routing = Routing(
            version=1, routes=[], services=[], limits=CallerLimits()
        )
        unpacked = routes.unpack(routes.pack(routing))
        self.assertIsNone(unpacked.accounts)
        self.assertIsNone(routes.RouteTable(unpacked).accounts)


class KeysTest(GatewayCase):
    """Requests with and without a key at a gateway."""

    def test_known_key_is_served_and_removed(self) -> None:
        """Guards against keys sent to servers, and forged account names."""

        async def work() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, accounts=[_account("a", _KEY)])
            await rig.start(answer_ok)
            got = await rig.ask(Key=_KEY, Account="forged")
            self.assertEqual(200, got.status)
            seen = rig.servers[0].requests[0]
            self.assertNotIn("key", seen.headers)
            self.assertEqual("a", seen.headers["account"])
            await rig.stop()

        self.run_within_limit(work())

    def test_unknown_key_is_refused_at_once(self) -> None:
        """Guards against requests that run without an account."""

        async def work() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, accounts=[_account("a", _KEY)])
            await rig.start(answer_ok)
            statuses = [
                (await rig.ask("q1", Key="k-2")).status,
                (await rig.ask("q2")).status,
            ]
            self.assertEqual([401, 401], statuses)
            self.assertEqual(0, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(work())

    def test_key_that_may_just_be_added_is_not_refused_for_good(self) -> None:
        """Guards against 401 from a gateway without the latest document."""

        async def work() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, accounts=[_account("a", _KEY)])
            await rig.start(answer_ok)
            rig.view.handle(protocol.RoutingUpdate(version=2, is_current=True))
            got = await rig.ask(Key="k-2")
            self.assertEqual(503, got.status)
            self.assertIn("retry-after", got.headers)
            await rig.stop()

        self.run_within_limit(work())

    def test_open_route_needs_no_key(self) -> None:
        """Guards against 401 on routes that need no key."""

        async def work() -> None:
            some = [_account("a", _KEY)]
            rig = Rig(RouteKind.IDEMPOTENT, accounts=some, is_open=True)
            await rig.start(answer_ok)
            got = await rig.ask()
            self.assertEqual(200, got.status)
            self.assertNotIn("account", rig.servers[0].requests[0].headers)
            await rig.stop()

        self.run_within_limit(work())

    def test_revoked_key_is_refused_on_an_open_connection(self) -> None:
        """Guards against keys that still work after they were revoked."""

        async def work() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, accounts=[_account("a", _KEY)])
            await rig.start(answer_ok)
            self.assertEqual(200, (await rig.ask("q1", Key=_KEY)).status)
            rig.publish_accounts([_account("a", "k-2")])
            self.assertEqual(401, (await rig.ask("q2", Key=_KEY)).status)
            self.assertEqual(200, (await rig.ask("q3", Key="k-2")).status)
            await rig.stop()

        self.run_within_limit(work())


async def _rig_over_quota(retry_ms: int) -> Rig:
    """Returns a gateway whose turns are refused for their quota."""
    some = [_account("a", _KEY)]
    rig = Rig(RouteKind.STREAM, accounts=some, keeps_history=True)
    rig.turns.begin_result = OverQuota(retry_ms=retry_ms)
    await rig.start(stream_events)
    return rig


class OverQuotaTest(GatewayCase):
    """Requests of an account that has used up its quota."""

    def test_turn_over_its_quota_gets_a_retry_time(self) -> None:
        """Guards against 503 or no reply where 429 and a retry time are due."""

        async def work() -> None:
            rig = await _rig_over_quota(700)
            got = await rig.ask(Key=_KEY, Program="p")
            self.assertEqual(429, got.status)
            self.assertEqual("0.70", got.headers["retry-after"])
            self.assertEqual(0, rig.count_server_requests())
            await rig.stop()

        self.run_within_limit(work())

    def test_turn_waits_for_room_that_comes_soon(self) -> None:
        """Guards against refusing turns shortly before the quota has room."""

        async def work() -> None:
            rig = await _rig_over_quota(100)
            asking = asyncio.ensure_future(rig.ask(Key=_KEY, Program="p"))
            await asyncio.sleep(0.05)
            rig.turns.begin_result = StartedTurn(b"", ProgramStatus(), "")
            got = await asking
            self.assertEqual(200, got.status)
            self.assertLess(got.took_s, 0.3)
            await rig.stop()

        self.run_within_limit(work())

    def test_turn_is_not_kept_beyond_its_part_of_time(self) -> None:
        """Guards against turns that wait too long for an exhausted quota."""

        async def work() -> None:
            rig = await _rig_over_quota(100)
            got = await rig.ask(Key=_KEY, Program="p", Deadline="1000")
            self.assertEqual(429, got.status)
            self.assertLess(got.took_s, 0.4)
            await rig.stop()

        self.run_within_limit(work())


class OverCapacityTest(GatewayCase):
    """Programs that the leader refuses as the servers have no room."""

    def test_caller_gets_503_and_a_retry_time(self) -> None:
        """Guards against callers that don't learn when there is room."""

        async def work() -> None:
            rig = Rig(RouteKind.STREAM, keeps_history=True)
            rig.turns.begin_result = OverCapacity(retry_ms=430)
            await rig.start(stream_events)
            got = await rig.ask(Program="p")
            self.assertEqual(503, got.status)
            self.assertEqual("0.43", got.headers["retry-after"])
            self.assertEqual(0, rig.count_server_requests())
            self.assertEqual([], rig.turns.settled)
            self.assertLess(got.took_s, 0.2)
            await rig.stop()

        self.run_within_limit(work())
