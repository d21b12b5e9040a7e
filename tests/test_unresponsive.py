"""Tests the detection of unresponsive application servers.

Many gateways, each with few calls, share a server that hangs.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

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
from tests.fakes.gatewayrig import (
    CallerResponse,
    Rig,
    answer_ok,
    never_answer,
    refuse_full,
)
from tests.fakes.instances import instance

if TYPE_CHECKING:
    from tests.fakes.gatewayrig import Answer
    from tests.fakes.rawserver import ReceivedRequest


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


class SlowRequestTest(base.TestCase):
    """Requests that by themselves take longer than their route's timeout."""

    def test_server_that_answered_a_later_call_is_responsive(self) -> None:
        """Guards against ejecting a healthy server for one slow request."""
        waiting = PendingCalls()
        waiting.add("slow", "s1", 50.0, 0)
        waiting.add("quick", "s1", 50.0, 10)
        waiting.record_answer("quick")
        self.assertEqual(set(), waiting.overdue_servers(400))
        self.assertEqual(["slow"], [p.call for p in waiting.take_prevented()])
        self.assertEqual({"s1": 10}, waiting.take_answers())
        self.assertEqual({}, waiting.take_answers())
        self.assertEqual(set(), waiting.overdue_servers(500))
        self.assertEqual([], waiting.take_prevented())

    def test_server_that_hangs_right_after_an_answer_is_found(self) -> None:
        """Guards against an answer that hides all calls sent after it."""
        waiting = PendingCalls()
        waiting.add("answered", "s1", 50.0, 0)
        waiting.add("next", "s1", 50.0, 1)
        waiting.record_answer("answered")
        self.assertEqual(set(), waiting.overdue_servers(350))
        self.assertEqual({"s1": 350}, waiting.overdue_ages_ms(351))

    def test_hedged_calls_do_not_hide_a_server_that_hangs(self) -> None:
        """Guards against cancelled calls that no gateway ever reports."""
        waiting = PendingCalls()
        waiting.add("hedged", "s1", 50.0, 0)
        waiting.abandon("hedged")
        self.assertEqual({"s1": 350}, waiting.overdue_ages_ms(350))
        self.assertEqual(set(), waiting.overdue_servers(350))
        self.assertEqual({}, waiting.overdue_ages_ms(1_350))

    def test_answers_beyond_the_limit_are_reported_later(self) -> None:
        """Guards against reports that grow with the number of servers."""
        waiting = PendingCalls()
        for number in range(100):
            waiting.add(f"c{number}", f"s{number}", 50.0, number)
            waiting.record_answer(f"c{number}")
        self.assertEqual(
            list(range(99, 35, -1)),
            [sent_ms for sent_ms in waiting.take_answers().values()],
        )
        self.assertEqual(36, len(waiting.take_answers()))
        self.assertFalse(waiting.has_answers)

    def test_leader_heeds_answers_of_other_gateways(self) -> None:
        """Guards against two slow requests that eject a server for all."""
        leader = UnresponsiveServers()
        leader.record_answers({"s1": 300}, 1_000)
        leader.report("g1", ["s1"], 1_000, {"s1": 400})
        leader.report("g2", ["s1"], 1_000, {"s1": 500})
        self.assertEqual([], leader.confirmed(50, 1_000))
        (prevented,) = leader.take_prevented()
        self.assertEqual(400, prevented.call_age_ms)
        self.assertEqual([], leader.confirmed(50, 1_100))
        self.assertEqual([], leader.take_prevented())

    def test_late_answer_ends_what_was_reported(self) -> None:
        """Guards against an ejection repeated after the server answered."""
        leader = UnresponsiveServers()
        leader.report("g1", ["s1"], 0, {"s1": 400})
        leader.report("g2", ["s1"], 0, {"s1": 400})
        self.assertEqual(["s1"], leader.confirmed(50, 0))
        leader.record_answers({"s1": 50}, 100)
        self.assertEqual([], leader.confirmed(50, 100))

    def test_calls_sent_after_the_last_answer_count_at_once(self) -> None:
        """Guards against detecting a server that just answered too late."""
        leader = UnresponsiveServers()
        leader.record_answers({"s1": 360}, 1_000)
        leader.report("g1", ["s1"], 1_000, {"s1": 355})
        leader.report("g2", ["s1"], 1_000, {"s1": 350})
        self.assertEqual(["s1"], leader.confirmed(50, 1_000))

    def test_gateway_of_an_earlier_release_sends_no_ages(self) -> None:
        """Guards against reports without ages that count for nothing."""
        leader = UnresponsiveServers()
        leader.record_answers({"s1": 400, "s2": 100}, 1_000)
        for gateway in ("g1", "g2"):
            leader.report(gateway, ["s1", "s2"], 1_000)
        self.assertEqual(["s1"], leader.confirmed(50, 1_000))

    def test_answers_of_a_broken_gateway_are_bounded(self) -> None:
        """Guards against answers from the future, which would hide a server."""
        leader = UnresponsiveServers()
        leader.record_answers({"s1": -60_000}, 1_000)
        for gateway in ("g1", "g2"):
            leader.report(gateway, ["s1"], 1_400, {"s1": 399})
        self.assertEqual(["s1"], leader.confirmed(50, 1_400))

    def test_only_calls_without_a_later_answer_are_overdue(self) -> None:
        """Compares random histories with the rule itself."""
        rng = random.Random(7)
        for _ in range(200):
            waiting, last_answered = PendingCalls(), -1
            sent = sorted(rng.randrange(1_000) for _ in range(6))
            for at_ms in sent:
                waiting.add(str(at_ms), "s1", 50.0, at_ms)
            answered = set(rng.sample(sent, rng.randrange(3)))
            for at_ms in answered:
                waiting.record_answer(str(at_ms))
                last_answered = max(last_answered, at_ms)
            overdue = [
                at_ms
                for at_ms in set(sent) - answered
                if last_answered <= at_ms <= 650
            ]
            expected = {"s1": 1_000 - max(overdue)} if overdue else {}
            self.assertEqual(expected, waiting.overdue_ages_ms(1_000))


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


def _hang_then(others: Answer) -> Answer:
    """Returns a server that hangs at its first request only."""
    seen: list[str] = []

    async def answer(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        seen.append(request.headers["request-id"])
        await (never_answer if len(seen) == 1 else others)(request, writer)

    return answer


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

    def test_slow_request_does_not_eject_a_server_that_answers(self) -> None:
        """Guards against an answer of the server that is not recorded."""

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)
            await rig.start(_hang_then(answer_ok))
            hanging = asyncio.ensure_future(rig.ask("h"))
            await asyncio.sleep(0.1)
            self.assertEqual(200, (await rig.ask("q")).status)
            now_ms = rig.clock.clock().now_ms()
            self.assertEqual(set(), rig.pending.overdue_servers(now_ms + 400))
            hanging.cancel()
            await rig.stop()

        self.run_within_limit(work())

    def test_refusals_do_not_hide_a_server_that_hangs(self) -> None:
        """Guards against a full queue that refuses while its work hangs."""

        async def work() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)
            await rig.start(_hang_then(refuse_full))
            hanging = asyncio.ensure_future(rig.ask("h"))
            await asyncio.sleep(0.1)
            self.assertEqual(503, (await rig.ask("q")).status)
            now_ms = rig.clock.clock().now_ms()
            self.assertEqual({"s0"}, rig.pending.overdue_servers(now_ms + 400))
            hanging.cancel()
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
