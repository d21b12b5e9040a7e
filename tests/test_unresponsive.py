"""Tests the detection of unresponsive application servers.

Many gateways, each with few calls, share a server that hangs.
"""

from __future__ import annotations

import asyncio
import random

from catkinpin.core.control.routes import RouteKind
from catkinpin.core.control.servers import ServerState
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.speeds import Speeds
from catkinpin.core.placement.unresponsive import (
    PendingCalls,
    UnresponsiveServers,
    eject_unresponsive,
)
from catkinpin.core.requests.calls import RouteCall
from tests import base
from tests.fakes.gatewaycase import GatewayCase
from tests.fakes.gatewayrig import CallerResponse, Rig, answer_ok, never_answer
from tests.fakes.instances import instance


class WaitingCallsTest(base.TestCase):
    """Pending calls of one gateway."""

    def test_server_is_unresponsive_while_a_call_is_overdue(self) -> None:
        """Guards against further calls to a server where a call hangs."""
        waiting = PendingCalls()
        waiting.add("c1", "s1", 50.0, 0)
        self.assertEqual(set(), waiting.overdue_servers(300))
        self.assertEqual({"s1"}, waiting.overdue_servers(400))
        waiting.remove("c1")
        self.assertEqual(set(), waiting.overdue_servers(400))

    def test_slow_route_has_a_longer_timeout(self) -> None:
        """Guards against ejecting servers for calls that always take long."""
        waiting = PendingCalls()
        waiting.add("c1", "s1", 400.0, 0)
        self.assertEqual(set(), waiting.overdue_servers(1_000))


class UnresponsiveServersTest(base.TestCase):
    """The reports of the gateways on the leader."""

    def test_one_gateway_alone_confirms_no_server(self) -> None:
        """Guards against a gateway whose own connections are broken."""
        unresponsive = UnresponsiveServers()
        unresponsive.report("g1", ["s1"], 0)
        self.assertEqual([], unresponsive.confirmed(50, 0))
        unresponsive.report("g2", ["s1"], 100)
        self.assertEqual(["s1"], unresponsive.confirmed(50, 100))

    def test_report_of_a_single_gateway_counts(self) -> None:
        unresponsive = UnresponsiveServers()
        unresponsive.report("g1", ["s1"], 0)
        self.assertEqual(["s1"], unresponsive.confirmed(1, 0))

    def test_old_reports_do_not_count(self) -> None:
        """Guards against servers ejected long after their recovery."""
        unresponsive = UnresponsiveServers()
        unresponsive.report("g1", ["s1"], 0)
        unresponsive.report("g2", ["s1"], 0)
        self.assertEqual([], unresponsive.confirmed(50, 3_000))


class LeaveOutTest(base.TestCase):
    """Ejections while all servers of a service are slow in turn."""

    def setUp(self) -> None:
        super().setUp()
        self.servers = [instance(f"s{number}") for number in range(4)]
        rng = random.Random(1)
        self.balancer = Balancer("a", {"a": "r"}, rng, Speeds())
        for server in self.servers:
            self.balancer.record_sent(server, RouteCall(attempt="c"))

    def _eject(self, *found: str, now_ms: int = 0) -> set[str]:
        eject_unresponsive(
            self.balancer, found, self.servers, now_ms, now_ms + 500
        )
        return set(self.balancer.ejected_servers(self.servers, now_ms))

    def test_half_of_a_service_may_hang(self) -> None:
        """Guards against calls sent to servers that are known to hang."""
        self.assertEqual({"s0", "s1"}, self._eject("s0", "s1"))

    def test_overloaded_service_keeps_all_its_servers(self) -> None:
        """Guards against ejecting most servers because a burst slows them.

        The remaining server would get the whole load.
        """
        self.assertEqual(set(), self._eject("s0", "s1", "s2"))

    def test_servers_slow_in_turn_are_not_all_ejected(self) -> None:
        """Guards against a burst that ejects one server after the other."""
        self._eject("s0", "s1")
        out = self._eject("s2", "s3", now_ms=100)
        self.assertEqual({"s0", "s1"}, out)

    def test_draining_servers_do_not_count_as_ready(self) -> None:
        """Guards against counting servers that get no work as ready."""
        leaving = [
            instance(f"s{number}", state=ServerState.DRAINING)
            for number in (2, 3)
        ]
        self.servers[2:] = leaving
        self.assertEqual({"s0"}, self._eject("s0"))
        self.assertEqual({"s0"}, self._eject("s1", now_ms=100))


class AvoidTest(GatewayCase):
    """The choice of servers while one hangs."""

    def test_second_call_goes_elsewhere_while_the_first_hangs(self) -> None:
        """Guards against losing one call after the other at a server."""

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)
            await rig.start(never_answer, answer_ok)
            hanging: list[asyncio.Future[CallerResponse]] = []
            while not rig.servers[0].requests:
                name = f"h{len(hanging)}"
                hanging.append(asyncio.ensure_future(rig.ask(name)))
                await asyncio.sleep(0.05)
            await asyncio.sleep(0.5)
            before = len(rig.servers[0].requests)
            for number in range(12):
                got = await rig.ask(f"q{number}")
                self.assertEqual(200, got.status)
            self.assertEqual(before, len(rig.servers[0].requests))
            for one in hanging:
                one.cancel()
            await rig.stop()

        self.run_within_limit(work())

    def test_servers_are_tried_if_all_are_ejected(self) -> None:
        """Guards against refusals when the gateway itself may be at fault."""
        balancer = Balancer("a", {"a": "r"}, random.Random(1), Speeds())
        servers = [instance("s1"), instance("s2")]
        call = RouteCall(attempt="c")
        for server in servers:
            balancer.record_sent(server, call)
            balancer.eject_until(server.id, 1_000)
        self.assertIsNotNone(balancer.pick(servers, call, 0))
