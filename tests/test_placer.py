"""Tests the leader's server selection for turns under typical loads."""

from __future__ import annotations

import collections
import random
from typing import TYPE_CHECKING, Any

import testtools

from catkinpin.core.placement.contention import ContendedServices
from catkinpin.core.placement.placer import (
    Placer,
    PlaceTurn,
    ServerSlowdown,
    TurnReport,
)
from catkinpin.core.placement.speeds import EngineSpeed
from catkinpin.core.placement.tracked import TrackedServer
from catkinpin.core.requests.calls import PromptPart
from tests.fakes.instances import instance

if TYPE_CHECKING:
    from catkinpin.core.control.servers import Instance

_REGIONS = {"a": "near", "b": "near", "c": "far", "d": "far"}
_LEFT_MS = 3_000
_SHARED_TOKENS = 12_600


def _servers(count: int = 30) -> list[Instance]:
    return [
        instance(f"s{n}", domain="abcd"[n % 4], slots=6) for n in range(count)
    ]


def _turn(session: str, shared: str = "shared", domain: str = "a") -> PlaceTurn:
    return PlaceTurn(
        service="models",
        domain=domain,
        prompt=[PromptPart(shared, _SHARED_TOKENS), PromptPart(session, 1_680)],
        max_tokens=300,
        left_ms=_LEFT_MS,
    )


def _placer() -> Placer:
    contention = ContendedServices(configured=False)
    return Placer(_REGIONS, random.Random(1), contention)


class PlacerTest(testtools.TestCase):
    """Bursts through many gateways, shared prompts, and broken gateways."""

    def test_burst_through_many_gateways_spreads_over_all_engines(self) -> None:
        """Guards against long queues at some engines while others are idle."""
        placer, servers = _placer(), _servers()
        counts: collections.Counter[str] = collections.Counter()
        for n in range(300):
            turn = _turn(f"session-{n}", f"shared-{n % 16}", "abcd"[n % 4])
            counts[placer.place(f"t{n}", turn, servers, None, n)] += 1
        self.assertEqual(30, len(counts))
        mean = 300 / 30
        self.assertLessEqual(max(counts.values()), 2 * mean)
        self.assertGreaterEqual(min(counts.values()), mean / 2)

    def test_shared_prompts_are_read_by_few_engines_under_light_load(
        self,
    ) -> None:
        """Guards against every engine prefilling every shared prompt."""
        placer, servers = _placer(), _servers()
        read: set[tuple[str, str]] = set()
        for n in range(400):
            shared = f"shared-{n % 16}"
            attempt = f"t{n}"
            turn = _turn(f"session-{n}", shared)
            server = placer.place(attempt, turn, servers, None, 50 * n)
            read.add((shared, server))
            placer.finish(attempt, TurnReport(), 50 * n + 45)
        self.assertLessEqual(len(read), 40)

    def test_session_stays_at_the_server_that_holds_its_prompt(self) -> None:
        """Guards against sessions whose prompts are prefilled at each turn."""
        placer, servers = _placer(), _servers()
        turn = _turn("mine")
        last = servers[7]
        longer = PlaceTurn(
            service="models",
            domain="a",
            prompt=[*turn.prompt, PromptPart("more", 100)],
            max_tokens=300,
            left_ms=_LEFT_MS,
        )
        self.assertEqual("s7", placer.place("t", longer, servers, last, 0))

    def test_near_servers_come_first_while_they_are_idle(self) -> None:
        """Guards against prompts that cross the link between regions."""
        placer, servers = _placer(), _servers()
        near = {server.id for server in servers if server.domain in "ab"}
        for n in range(12):
            turn = _turn(f"session-{n}", f"shared-{n}")
            self.assertIn(placer.place(f"t{n}", turn, servers, None, n), near)

    def test_resent_begin_gets_the_same_server_and_counts_once(self) -> None:
        """Guards against turns that count twice after a lost reply."""
        placer, servers = _placer(), _servers()
        first = placer.place("t", _turn("s"), servers, None, 0)
        again = placer.place("t", _turn("s"), servers, None, 700)
        self.assertEqual(first, again)
        self.assertEqual(1, placer.running_turns)

    def test_turns_of_a_dead_gateway_expire(self) -> None:
        """Guards against servers that seem full of turns that nobody runs."""
        placer, servers = _placer(), _servers()
        for n in range(50):
            placer.place(f"t{n}", _turn(f"s{n}"), servers, None, 0)
        self.assertEqual(50, placer.running_turns)
        placer.place("late", _turn("late"), servers, None, 2 * _LEFT_MS)
        self.assertEqual(1, placer.running_turns)

    def test_finish_of_an_unknown_turn_changes_nothing(self) -> None:
        """Guards against finishes of turns that another leader placed."""
        placer, servers = _placer(), _servers()
        placer.place("t", _turn("s"), servers, None, 0)
        placer.finish("other", TurnReport(failed=["s1"]), 10)
        self.assertEqual(1, placer.running_turns)

    def test_server_that_fails_turns_gets_none_for_a_while(self) -> None:
        """Guards against a failing engine that always seems idle."""
        placer, servers = _placer(), _servers(4)
        failing = placer.place("t0", _turn("s"), servers, None, 0)
        placer.finish("t0", TurnReport(failed=[failing]), 1)
        again = placer.place("t1", _turn("s"), servers, None, 2)
        self.assertEqual(failing, again)
        placer.finish("t1", TurnReport(failed=[failing]), 3)
        chosen = {
            placer.place(f"t{n}", _turn(f"s{n}"), servers, None, 10)
            for n in range(2, 20)
        }
        self.assertNotIn(failing, chosen)

    def test_report_about_another_server_ejects_nothing(self) -> None:
        """Guards against one broken gateway that reports every server."""
        placer, servers = _placer(), _servers(4)
        everyone = [server.id for server in servers]
        named = placer.place("t0", _turn("s"), servers, None, 0)
        others = [name for name in everyone if name != named]
        placer.finish("t0", TurnReport(failed=others), 1)
        placer.finish("t0", TurnReport(failed=others), 2)
        chosen = {
            placer.place(f"t{n}", _turn(f"s{n}"), servers, None, 10)
            for n in range(1, 40)
        }
        self.assertEqual(set(everyone), chosen)

    def test_implausible_speed_is_ignored(self) -> None:
        """Guards against one gateway's false speeds that change all choices."""
        placer, servers = _placer(), _servers()
        for n in range(100):
            placer.place(f"t{n}", _turn("s"), servers, None, n)
            speed = EngineSpeed(1e9, -5.0, 1e9)
            placer.finish(f"t{n}", TurnReport(speed=speed), n)
        self.assertEqual(EngineSpeed(), placer.reported_speed("models"))

    def test_new_leader_starts_without_placements(self) -> None:
        """Guards against placements left from an earlier term as leader.

        Their turns may have ended meanwhile under another leader.
        """
        placer, servers = _placer(), _servers()
        placer.place("t", _turn("s"), servers, None, 0)
        placer.reset()
        self.assertEqual(0, placer.running_turns)
        self.assertTrue(placer.place("u", _turn("u"), servers, None, 1))

    def test_no_server_is_named_where_there_is_none(self) -> None:
        """Guards against naming a server that no gateway knows."""
        self.assertEqual("", _placer().place("t", _turn("s"), [], None, 0))


class ManyServersTest(testtools.TestCase):
    """A service of thousands of engines, as for hundreds of gateways."""

    def test_placement_compares_few_of_thousands(self) -> None:
        """Guards against a leader that spends its time on cost estimates."""
        placer, servers = _placer(), _servers(2_400)
        estimated = _record_estimates(placer)
        for n in range(50):
            placer.place(f"t{n}", _turn(f"s{n}"), servers, None, n)
        self.assertLess(len(estimated), 50 * 50)

    def test_turn_stays_with_its_prompt_among_thousands(self) -> None:
        """Guards against sessions whose prompts are prefilled each turn."""
        placer, servers = _placer(), _servers(2_400)
        for n in range(50):
            first = placer.place(f"a{n}", _turn(f"s{n}"), servers, None, n)
            placer.finish(f"a{n}", TurnReport(), n)
            again = placer.place(f"b{n}", _turn(f"s{n}"), servers, None, n)
            self.assertEqual(first, again)

    def test_burst_spreads_among_thousands(self) -> None:
        """Guards against queues at few engines that cache shared prompts."""
        placer, servers = _placer(), _servers(2_400)
        counts: collections.Counter[str] = collections.Counter()
        for n in range(2_400):
            turn = _turn(f"s{n}", f"shared-{n % 16}", "abcd"[n % 4])
            counts[placer.place(f"t{n}", turn, servers, None, n)] += 1
        self.assertLessEqual(max(counts.values()), 6)


def _record_estimates(placer: Placer) -> list[str]:
    """Returns a list to which each server is added when it is estimated."""
    estimated: list[str] = []
    balancer = placer._balancer
    estimate = balancer._estimate

    def recording(instance: Instance, *args: Any) -> Any:
        estimated.append(instance.id)
        return estimate(instance, *args)

    setattr(balancer, "_estimate", recording)  # noqa: B010
    return estimated


class ReportedSlowdownTest(testtools.TestCase):
    """Slowdowns of model servers that gateways report with ended turns."""

    def setUp(self) -> None:
        super().setUp()
        self.placer = _placer()
        self.servers = [instance(f"s{n}", domain="a") for n in range(3)]
        self.turn_count = 0

    def _place(self, now_ms: int) -> str:
        """Places a turn of a new session, which no server has cached."""
        self.turn_count += 1
        name = f"t{self.turn_count}"
        turn = _turn(name, f"shared-{name}")
        server = self.placer.place(name, turn, self.servers, None, now_ms)
        self.placer.finish(name, TurnReport(), now_ms)
        return server

    def _report(self, now_ms: int, *slowdowns: ServerSlowdown) -> int:
        """Reports slowdowns; returns how many are ignored."""
        turn = _turn("r", "shared-r")
        self.placer.place("r", turn, self.servers, None, now_ms)
        report = TurnReport(slowdowns=list(slowdowns))
        return len(self.placer.finish("r", report, now_ms))

    def test_slowed_server_gets_no_turns_until_it_recovers(self) -> None:
        """Guards against turns placed on a machine that is busy elsewhere."""
        slowed = ServerSlowdown(server="s0", slowdown=2.5, age_ms=50)
        self.assertEqual(0, self._report(0, slowed))
        early = {self._place(10) for _ in range(60)}
        self.assertEqual({"s1", "s2"}, early)
        late = {self._place(4_000) for _ in range(60)}
        self.assertEqual({"s0", "s1", "s2"}, late)

    def test_servers_without_reports_are_chosen_as_before(self) -> None:
        """Guards against a cost where no server reports a slowdown."""
        other = _placer()
        for number in range(50):
            name = f"t{number}"
            turn = _turn(name, f"shared-{number % 5}")
            picks = []
            for placer, slowdowns in (
                (self.placer, []),
                (other, [ServerSlowdown(server="s1", slowdown=1.0, age_ms=0)]),
            ):
                picks.append(
                    placer.place(name, turn, self.servers, None, number)
                )
                placer.finish(name, TurnReport(slowdowns=slowdowns), number)
            self.assertEqual(picks[0], picks[1])

    def test_late_and_false_reports_are_ignored(self) -> None:
        """Guards against old or invalid reports that displace newer ones."""
        self.assertEqual(
            0,
            self._report(
                5_000, ServerSlowdown(server="s0", slowdown=2.0, age_ms=100)
            ),
        )
        ignored = self._report(
            5_010,
            ServerSlowdown(server="s0", slowdown=9.0, age_ms=300),
            ServerSlowdown(server="s1", slowdown=9.0, age_ms=2_001),
            ServerSlowdown(server="s1", slowdown=float("nan"), age_ms=0),
            ServerSlowdown(server="unknown", slowdown=2.0, age_ms=0),
        )
        self.assertEqual(4, ignored)

    def test_influence_is_bounded_and_halves(self) -> None:
        """Guards against reports that exclude a server for long."""
        rng = random.Random(3)
        for _ in range(200):
            server = TrackedServer("s0", 0)
            slowdown = rng.choice([0.0, -5.0, 0.5, 3.0, 1e9])
            now_ms = rng.randrange(3_000)
            server.report_slowdown(slowdown, 0, 0)
            first = server.expected_slowdown(now_ms)
            self.assertTrue(0.25 <= first <= 16.0)
            self.assertAlmostEqual(
                (first - 1) / 2, server.expected_slowdown(now_ms + 250) - 1
            )

    def test_reports_change_no_count_of_turns(self) -> None:
        """Guards against counts from gateways, which are old at the leader."""
        self.placer.place("own", _turn("own"), self.servers, None, 0)
        self._report(0, ServerSlowdown(server="s0", slowdown=2.5, age_ms=0))
        self.assertEqual(1, self.placer.running_turns)

    def test_new_leader_knows_no_slowdown(self) -> None:
        """Guards against a slowdown that a former leader learned."""
        self._report(0, ServerSlowdown(server="s0", slowdown=16.0, age_ms=0))
        self.placer.reset()
        self.assertIn("s0", {self._place(10) for _ in range(60)})
