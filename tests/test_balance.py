"""Which server a gateway picks, under the loads that it is made for."""

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
    """Sessions, bursts and broken servers."""

    def test_session_stays_where_its_prompt_was_read(self) -> None:
        """A busy engine holds a session; an idle one holds nothing of it.

        Sent to the idle one, 14,000 tokens are read again, and all answers
        that run there wait for it.
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

    def test_server_not_heard_of_for_long_is_not_taken_for_idle(self) -> None:
        """One of many gateways has no session at a server, and hears nothing.

        All servers it does hear of are half full. Taken for idle, the silent
        one draws session after session away from where their prompts lie, and
        reads 14,000 tokens for each.
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
        """A burst has filled the engine that holds a session.

        Its turn would wait behind twenty others, longer than reading its
        prompt anew takes elsewhere.
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
        """Nine gateways hear the same load, in which one server looks idle.

        By that word alone all of the next requests would go there.
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
        """The other region costs the way; a queue here costs more."""
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

    def test_server_that_cannot_be_reached_gets_nothing_for_a_while(
        self,
    ) -> None:
        """A server has crashed; always idle, it would attract all work."""
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
        """The way to all of them was cut for a moment.

        Left out for seconds, a healthy service would refuse everything.
        """
        balancer = _balancer()
        servers = [_server(n) for n in range(2)]
        for server in servers:
            balancer.record_failure(server, 0, immediate=True)
        self.assertIsNotNone(balancer.pick(servers, _turn("x"), 10))

    def test_draining_server_gets_nothing(self) -> None:
        """A server says that it leaves; work sent now would be cut off."""
        draining = instance("s9", state=ServerState.DRAINING, sequence=2)
        self.assertIsNone(_balancer().pick([draining], _turn("x"), 0))

    def test_absurd_load_changes_nothing(self) -> None:
        """A server says that a million requests run there, or less than none.

        Believed, it would get nothing for as long as the word counts, or all.
        """
        balancer = _balancer()
        servers = [_server(n) for n in range(2)]
        absurd = (Load(10**9, 0, 12), Load(-5, 0, 12), Load(0, 0, 0))
        for load in absurd:
            self.assertFalse(balancer.report_load(servers[0], load, 0))
        balancer.report_load(servers[1], Load(6, 0, 12), 0)
        self.assertEqual(0.0, balancer.used_slot_share(servers[0], 10))

    def test_prompts_stay_where_they_lie_if_reading_is_slow(self) -> None:
        """An engine reads 20 tokens a ms, another service's reads 300.

        Eight requests run beside a session of 3,000 tokens, none at the other
        server; beside them it takes, and costs them, 80 ms more. Read again
        on the slow engines it costs 150 ms, on the fast ones 10 ms.
        """
        for per_ms, wanted in ((20, "s0"), (300, "s1")):
            balancer = _balancer(_learned(per_ms))
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


def _learned(per_ms: float) -> Speeds:
    """Returns what answers of engines with this reading speed have taught."""
    found = Speeds()
    for number in range(64):
        tokens = 200 + 50 * number
        beside = number % 8
        gaps = [1.0 + 0.05 * beside] * 5
        told = StreamTimings(tokens, 20 + tokens / per_ms, gaps, beside, 0)
        found.record_stream("models", f"s{number % 2}", 1, told, number)
    return found
