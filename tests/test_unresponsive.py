"""Plain servers that answer nobody.

The pattern: many gateways, each with few calls, before a server that hangs.
"""

from __future__ import annotations

import asyncio
import random

from catkinpin.core.control.routes import RouteKind
from catkinpin.core.control.servers import ServerState
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.speeds import Speeds
from catkinpin.core.placement.unresponsive import (
    UnresponsiveServers,
    WaitingCalls,
    leave_out,
)
from catkinpin.core.requests.calls import RouteCall
from tests import base
from tests.fakes.gatewaycase import GatewayCase
from tests.fakes.gatewayrig import CallerResponse, Rig, answer_ok, never_answer
from tests.fakes.instances import instance


class WaitingCallsTest(base.TestCase):
    """Calls of one gateway."""

    def test_server_is_unresponsive_while_a_call_is_overdue(self) -> None:
        """Guards against calls to a server that has one hanging already."""
        waiting = WaitingCalls()
        waiting.sent("c1", "s1", 50.0, 0)
        self.assertEqual(set(), waiting.unresponsive(300))
        self.assertEqual({"s1"}, waiting.unresponsive(400))
        waiting.ended("c1")
        self.assertEqual(set(), waiting.unresponsive(400))

    def test_slow_route_is_given_its_time(self) -> None:
        """Guards against servers left out for calls that always take long."""
        waiting = WaitingCalls()
        waiting.sent("c1", "s1", 400.0, 0)
        self.assertEqual(set(), waiting.unresponsive(1_000))


class UnresponsiveServersTest(base.TestCase):
    """What the leader makes of it."""

    def test_one_gateway_alone_condemns_no_server(self) -> None:
        """Guards against a gateway whose own connections are broken."""
        unresponsive = UnresponsiveServers()
        unresponsive.report("g1", ["s1"], 0)
        self.assertEqual([], unresponsive.known(50, 0))
        unresponsive.report("g2", ["s1"], 100)
        self.assertEqual(["s1"], unresponsive.known(50, 100))

    def test_single_gateway_is_believed(self) -> None:
        unresponsive = UnresponsiveServers()
        unresponsive.report("g1", ["s1"], 0)
        self.assertEqual(["s1"], unresponsive.known(1, 0))

    def test_old_reports_count_no_more(self) -> None:
        """Guards against servers left out long after they are well."""
        unresponsive = UnresponsiveServers()
        unresponsive.report("g1", ["s1"], 0)
        unresponsive.report("g2", ["s1"], 0)
        self.assertEqual([], unresponsive.known(50, 3_000))


class LeaveOutTest(base.TestCase):
    """A burst of plain calls: all servers of a service are slow in turn."""

    def setUp(self) -> None:
        super().setUp()
        self.servers = [instance(f"s{number}") for number in range(4)]
        rng = random.Random(1)
        self.balancer = Balancer("a", {"a": "r"}, rng, Speeds())
        for server in self.servers:
            self.balancer.sent(server, RouteCall(attempt="c"))

    def _leave_out(self, *found: str, now_ms: int = 0) -> set[str]:
        leave_out(self.balancer, found, self.servers, now_ms, now_ms + 500)
        return set(self.balancer.left_out(self.servers, now_ms))

    def test_half_of_a_service_may_hang(self) -> None:
        """Guards against calls lost at servers that are known to hang."""
        self.assertEqual({"s0", "s1"}, self._leave_out("s0", "s1"))

    def test_overloaded_service_keeps_all_its_servers(self) -> None:
        """Guards against a burst that leaves the load to one server."""
        self.assertEqual(set(), self._leave_out("s0", "s1", "s2"))

    def test_servers_slow_in_turn_are_not_all_left_out(self) -> None:
        """Guards against a burst that ejects one server after the other."""
        self._leave_out("s0", "s1")
        out = self._leave_out("s2", "s3", now_ms=100)
        self.assertEqual({"s0", "s1"}, out)

    def test_servers_that_leave_are_no_reason_to_keep_one(self) -> None:
        """Guards against a count that takes servers in that get nothing."""
        leaving = [
            instance(f"s{number}", state=ServerState.DRAINING)
            for number in (2, 3)
        ]
        self.servers[2:] = leaving
        self.assertEqual({"s0"}, self._leave_out("s0"))
        self.assertEqual({"s0"}, self._leave_out("s1", now_ms=100))


class AvoidTest(GatewayCase):
    """Where calls go while a server hangs."""

    def test_second_call_goes_elsewhere_while_the_first_hangs(self) -> None:
        """Guards against call after call lost at one server."""

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)
            await rig.start(never_answer, answer_ok)
            hanging: list[asyncio.Future[CallerResponse]] = []
            while not rig.servers[0].seen:
                name = f"h{len(hanging)}"
                hanging.append(asyncio.ensure_future(rig.ask(name)))
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
            before = len(rig.servers[0].seen)
            for number in range(12):
                got = await rig.ask(f"q{number}")
                self.assertEqual(200, got.status)
            self.assertEqual(before, len(rig.servers[0].seen))
            for one in hanging:
                one.cancel()
            await rig.stop()

        self.run_within_limit(work())

    def test_all_servers_avoided_are_tried_all_the_same(self) -> None:
        """Guards against refusals where the fault may be ours."""
        balancer = Balancer("a", {"a": "r"}, random.Random(1), Speeds())
        servers = [instance("s1"), instance("s2")]
        call = RouteCall(attempt="c")
        for server in servers:
            balancer.sent(server, call)
            balancer.avoid(server.id, 1_000)
        self.assertIsNotNone(balancer.pick(servers, call, 0))
