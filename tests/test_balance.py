"""Tests the server selection of a gateway under typical loads."""

from __future__ import annotations

import random

import testtools

from catkinpin.core.control.servers import Instance, ServerState
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.speeds import Speeds, StreamTimings
from catkinpin.core.requests.calls import Load, PromptPart, RouteCall
from tests.fakes.instances import instance

_SHARED = PromptPart("shared", 12_600)


def _server(number: int, domain: str = "a", slots: int = 12) -> Instance:
    return instance(f"s{number}", domain=domain, slots=slots)


def _turn(session: str, tokens: int = 1_680) -> RouteCall:
    return RouteCall(
        attempt="x",
        prompt=(_SHARED, PromptPart(session, tokens)),
        max_tokens=500,
    )


def _balancer(speeds: Speeds | None = None) -> Balancer:
    regions = {"a": "near", "b": "near", "far": "far"}
    return Balancer("a", regions, random.Random(1), speeds or Speeds())


class PlacementTest(testtools.TestCase):
    """Selection for sessions, during bursts and with failing servers."""

    def test_session_stays_where_its_prompt_is_cached(self) -> None:
        """Guards against moving a session from a busy server to an idle one.

        On the idle server, 14,000 tokens would be prefilled again, and all
        answers that it generates would wait.
        """
        balancer = _balancer()
        servers = [_server(n) for n in range(3)]
        balancer.record_sent(servers[1], _turn("mine"))
        balancer.report_load(servers[1], Load(6, 0, 12), 0)
        balancer.report_load(servers[0], Load(5, 0, 12), 0)
        balancer.report_load(servers[2], Load(5, 0, 12), 0)
        choice = balancer.pick(servers, _turn("mine"), 100)
        assert choice is not None
        self.assertEqual("s1", choice.instance.id)
        self.assertEqual(14_280, choice.cached_tokens)

    def test_server_without_recent_report_is_not_assumed_idle(self) -> None:
        """Guards against sessions that move to a server without recent reports.

        A gateway without requests to a server gets no load reports from it,
        while the other servers are half full. If that server were assumed
        idle, it would attract one session after the other and prefill 14,000
        tokens for each.
        """
        balancer = _balancer()
        servers = [_server(n) for n in range(3)]
        balancer.report_load(servers[2], Load(5, 0, 12), 0)
        balancer.record_sent(servers[0], _turn("mine"))
        balancer.record_ended(servers[0])
        for server in servers[:2]:
            balancer.report_load(server, Load(6, 0, 12), 3_000)
        choice = balancer.pick(servers, _turn("mine"), 3_100)
        assert choice is not None
        self.assertEqual("s0", choice.instance.id)

    def test_full_server_is_left_for_an_idle_one(self) -> None:
        """Guards against a turn that waits at the full server of its session.

        After a burst the turn would wait behind twenty others, which takes
        longer than another prefill of its prompt on an idle server.
        """
        balancer = _balancer()
        servers = [_server(n) for n in range(2)]
        balancer.record_sent(servers[0], _turn("mine"))
        balancer.report_load(servers[0], Load(12, 20, 12), 0)
        balancer.report_load(servers[1], Load(0, 0, 12), 0)
        choice = balancer.pick(servers, _turn("mine"), 100)
        assert choice is not None
        self.assertEqual("s1", choice.instance.id)

    def test_many_gateways_do_not_all_pick_the_same_server(self) -> None:
        """Guards against gateways that all choose the same server.

        Nine gateways get the same load reports. By these alone, all of them
        would send their next requests to the same server.
        """
        servers = [_server(n) for n in range(4)]
        counts = dict.fromkeys((s.id for s in servers), 0)
        for seed in range(9):
            balancer = Balancer(
                "a", {"a": "near"}, random.Random(seed), Speeds()
            )
            for server in servers:
                balancer.report_load(server, Load(2, 0, 12), 0)
            for number in range(8):
                call = RouteCall(attempt=str(number), max_tokens=500)
                choice = balancer.pick(servers, call, 100)
                assert choice is not None
                balancer.record_sent(choice.instance, call)
                counts[choice.instance.id] += 1
        self.assertLess(max(counts.values()), 1.5 * 72 / 4)

    def test_near_server_is_picked_until_it_is_busy(self) -> None:
        """Guards against a queue here beside an idle server in another region.

        A server in another region adds network delay, but less than a queue.
        """
        balancer = _balancer()
        near, far = _server(1), _server(2, "far")
        call = RouteCall(attempt="x", max_tokens=500)
        choice = balancer.pick([near, far], call, 0)
        assert choice is not None
        self.assertEqual("s1", choice.instance.id)
        balancer.report_load(near, Load(12, 6, 12), 0)
        choice = balancer.pick([near, far], call, 10)
        assert choice is not None
        self.assertEqual("s2", choice.instance.id)

    def test_slowed_server_is_left_while_its_report_is_recent(self) -> None:
        """Guards against calls to a server whose machine is slow just now.

        The report says 2.5 times the usual duration. It changes several times
        per second, so an old one must not keep calls away.
        """
        balancer = _balancer()
        slowed, usual = _server(1), _server(2)
        call = RouteCall(attempt="x")
        balancer.report_load(slowed, Load(0, 0, 6, slowdown=2.5), 0)
        balancer.report_load(usual, Load(3, 0, 6), 0)
        choice = balancer.pick([slowed, usual], call, 20)
        assert choice is not None
        self.assertEqual("s2", choice.instance.id)
        choice = balancer.pick([slowed, usual], call, 1_200)
        assert choice is not None
        self.assertEqual("s1", choice.instance.id)

    def test_server_that_cannot_be_reached_gets_nothing_for_a_while(
        self,
    ) -> None:
        """Guards against a crashed server that looks idle and attracts work."""
        balancer = _balancer()
        servers = [_server(n) for n in range(2)]
        balancer.record_failure(servers[0], 0, immediate=True)
        for _ in range(20):
            choice = balancer.pick(servers, _turn("x"), 100)
            assert choice is not None
            self.assertEqual("s1", choice.instance.id)
        later = {
            choice.instance.id
            for _ in range(50)
            if (choice := balancer.pick(servers, _turn("y"), 2_000))
        }
        self.assertIn("s0", later)

    def test_all_servers_are_tried_where_all_have_failed(self) -> None:
        """Guards against refusing all requests after a network interruption.

        All servers of a healthy service have failed and would stay ejected for
        seconds.
        """
        balancer = _balancer()
        servers = [_server(n) for n in range(2)]
        for server in servers:
            balancer.record_failure(server, 0, immediate=True)
        self.assertIsNotNone(balancer.pick(servers, _turn("x"), 10))

    def test_draining_server_gets_nothing(self) -> None:
        """Guards against requests to a server that is about to stop."""
        draining = instance("s9", state=ServerState.DRAINING, sequence=2)
        self.assertIsNone(_balancer().pick([draining], _turn("x"), 0))

    def test_absurd_load_changes_nothing(self) -> None:
        """Guards against load reports with absurd or negative counts.

        If they counted, the server would get no requests until the report
        expires, or all of them.
        """
        balancer = _balancer()
        servers = [_server(n) for n in range(2)]
        absurd = (Load(10**9, 0, 12), Load(-5, 0, 12), Load(0, 0, 0))
        for load in absurd:
            self.assertFalse(balancer.report_load(servers[0], load, 0))
        balancer.report_load(servers[1], Load(6, 0, 12), 0)
        self.assertEqual(0.0, balancer.used_slot_share(servers[0], 10))

    def test_session_stays_if_prefill_is_slow(self) -> None:
        """Guards against a choice that ignores the learned prefill speed.

        Engines prefill 20 tokens per ms in one service and 300 in another. The
        server of a session of 3,000 tokens runs eight requests, the other
        server none. Running beside them costs 80 ms in total. Another prefill
        costs 150 ms on the slow engines and 10 ms on the fast ones.
        """
        for per_ms, wanted in ((20, "s0"), (300, "s1")):
            balancer = _balancer(_learned_speeds(per_ms))
            servers = [_server(n) for n in range(2)]
            call = RouteCall(
                "x", prompt=(PromptPart("mine", 3_000),), max_tokens=200
            )
            balancer.record_sent(servers[0], call)
            balancer.report_load(servers[0], Load(8, 0, 12), 0)
            balancer.report_load(servers[1], Load(0, 0, 12), 0)
            choice = balancer.pick(servers, call, 10)
            assert choice is not None
            self.assertEqual(wanted, choice.instance.id)


def _learned_speeds(per_ms: float) -> Speeds:
    """Returns speeds learned from engines that prefill `per_ms` tokens/ms."""
    learned_speeds = Speeds()
    for number in range(64):
        tokens = 200 + 50 * number
        concurrent = number % 8
        gaps = [1.0 + 0.05 * concurrent] * 5
        timings = StreamTimings(
            tokens, 20 + tokens / per_ms, gaps, concurrent, 0
        )
        learned_speeds.record_stream(
            "models", f"s{number % 2}", 1, timings, number
        )
    return learned_speeds
