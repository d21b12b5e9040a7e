"""Tests the simulation of bench/deciding against cases worked by hand."""

from __future__ import annotations

import dataclasses
import math

import msgspec
import simpy
import testtools

from bench.deciding import draws, pairs, policies, scenario, sweep, world
from bench.deciding.engine import Cache, Engine
from bench.deciding.scenario import (
    Domain,
    EngineShape,
    ProgramShape,
    Scenario,
    ServiceShape,
)
from bench.deciding.service import Service
from catkinpin.core.requests.calls import PromptPart

_SHAPE = EngineShape(
    slots=4,
    memory_tokens=10_000,
    read_per_ms=50.0,
    step_ms=6.0,
    step_ms_per_slot=0.5,
    chunk=500,
)


def _scenario(load: float = 0.5) -> Scenario:
    return Scenario(
        name="small",
        domains=[Domain(name="a", region="r", gateways=2, engines=2)],
        engine=EngineShape(
            slots=16, memory_tokens=200_000, read_per_ms=50.0, step_ms=6.0
        ),
        programs=[ProgramShape(name="p", weight=1.0, turns=3.0)],
        load=load,
        seconds=4.0,
    )


class EngineTest(testtools.TestCase):
    """Tests times, memory and order of requests at one engine."""

    def setUp(self) -> None:
        super().setUp()
        self.env = simpy.Environment()
        self.engine = Engine(self.env, _SHAPE, 1.0)

    def _prompt(self, *tokens: int) -> tuple[PromptPart, ...]:
        return tuple(PromptPart(f"p{n}", t) for n, t in enumerate(tokens))

    def test_request_time_matches_hand_calculation(self) -> None:
        """Prefills 1,000 tokens in two chunks of 500, then generates 20."""
        job = self.engine.submit(self._prompt(1_000), 20, 5)
        self.env.run(until=job.done)
        chunk_ms = 500 / 50 + 6.5
        self.assertAlmostEqual(2 * chunk_ms + 20 * 6.5, self.env.now, places=2)

    def test_held_prompt_is_not_read_again(self) -> None:
        first = self.engine.submit(self._prompt(1_000), 1, 5)
        self.env.run(until=first.done)
        again = self.engine.submit(self._prompt(1_000), 1, 5)
        began_ms = self.env.now
        self.env.run(until=again.done)
        self.assertAlmostEqual(6.5, self.env.now - began_ms, places=2)
        self.assertEqual(1_000, self.engine.read_tokens)

    def test_two_requests_slow_each_other(self) -> None:
        one = self.engine.submit(self._prompt(1), 10, 5)
        two = self.engine.submit(self._prompt(1), 10, 5)
        self.env.run(until=one.done & two.done)
        self.assertAlmostEqual(10 * 7.0, self.env.now, delta=8.0)

    def test_urgent_request_takes_a_slot_and_nothing_is_lost(self) -> None:
        """An urgent turn arrives while all slots are busy.

        It preempts the newest request, which still gets all its tokens later.
        """
        jobs = [
            self.engine.submit((PromptPart(f"q{n}", 10),), 100, 6)
            for n in range(4)
        ]
        self.env.run(until=200)
        urgent = self.engine.submit((PromptPart("u", 10),), 5, 3)
        self.env.run(until=urgent.done)
        self.assertLess(self.env.now, 300)
        self.env.run(until=self.env.all_of([job.done for job in jobs]))
        self.assertTrue(all(job.done.value for job in jobs))
        self.assertGreater(self.env.now, 100 * 8.0)

    def test_crashed_engine_fails_requests_and_restarts_empty(self) -> None:
        job = self.engine.submit(self._prompt(1_000), 50, 5)
        self.env.run(until=100)
        self.engine.crash()
        self.env.run(until=job.done)
        self.assertFalse(job.done.value)
        self.engine.restart()
        self.assertEqual(
            0, self.engine.cache.cached_tokens(self._prompt(1_000))
        )

    def test_memory_is_never_exceeded(self) -> None:
        """The cache evicts the least recently used parts when it is full."""
        cache = Cache(3_000)
        for number in range(50):
            prompt = (PromptPart("all", 500), PromptPart(f"s{number}", 700))
            self.assertTrue(cache.admit(prompt, 100))
            self.assertLessEqual(cache.used, 3_000)
            cache.release(prompt, 100)
            self.assertLessEqual(cache.used, 3_000)
        self.assertEqual(500, cache.cached_tokens((PromptPart("all", 500),)))
        self.assertFalse(cache.admit((PromptPart("huge", 4_000),), 1))


class ServiceTest(testtools.TestCase):
    """Tests an application server."""

    def test_queue_is_served_in_order_and_bounded(self) -> None:
        env = simpy.Environment()
        service = Service(env, ServiceShape(slots=1, queue=1))
        first, second = service.submit(50), service.submit(50)
        self.assertIsNone(service.submit(50))
        assert first is not None
        assert second is not None
        env.run(until=second.done)
        self.assertEqual(100, env.now)


class PlayTest(testtools.TestCase):
    """Tests whole runs of a scenario."""

    def test_same_seed_gives_same_result(self) -> None:
        make = policies.VARIANTS[policies.POLICY]
        found = [world.Simulation(_scenario(), make, 3).run() for _ in range(2)]
        self.assertEqual(found[0], found[1])

    def test_all_variants_get_the_same_programs(self) -> None:
        scripts = draws.programs(_scenario(), 7)
        self.assertEqual(scripts, draws.programs(_scenario(), 7))
        self.assertNotEqual(scripts, draws.programs(_scenario(), 8))

    def test_light_load_is_served_in_time(self) -> None:
        make = policies.VARIANTS[policies.POLICY]
        result = world.Simulation(_scenario(0.3), make, 3).run()
        self.assertGreater(result.payoff, 0.98)
        self.assertEqual(0, result.failed)

    def test_scattered_sessions_earn_less(self) -> None:
        """Round robin moves sessions between engines, which prefill again."""
        policy = policies.VARIANTS[policies.POLICY]
        scattered = policies.VARIANTS["round robin"]
        ours = world.Simulation(_scenario(0.9), policy, 3).run()
        theirs = world.Simulation(_scenario(0.9), scattered, 3).run()
        self.assertGreater(theirs.read, 1.3 * ours.read)
        self.assertGreater(ours.payoff, theirs.payoff)


class ScenarioTest(testtools.TestCase):
    """Tests invalid scenarios and random ones."""

    def test_all_problems_are_listed_at_once(self) -> None:
        wrong = msgspec.structs.replace(
            _scenario(),
            load=-1.0,
            domains=[],
            programs=[ProgramShape(name="p", weight=0.0, turns=0.0)],
        )
        text = "\n".join(scenario.problems(wrong))
        for part in ("load", "no gateway", "no engine", "weight", "turns"):
            self.assertIn(part, text)

    def test_drawn_deployments_can_be_played(self) -> None:
        for seed in range(60):
            self.assertEqual([], scenario.problems(sweep.draw(seed)), seed)


class PairsTest(testtools.TestCase):
    """Tests paired differences and their significance."""

    def test_difference_common_to_all_pairs_is_significant(self) -> None:
        ours = [0.50, 0.70, 0.60, 0.90]
        found = pairs.difference([x + 0.02 for x in ours], ours)
        self.assertAlmostEqual(0.02, found.mean)
        self.assertTrue(found.is_significant)

    def test_noise_is_not_significant(self) -> None:
        found = pairs.difference([0.5, 0.9, 0.6], [0.6, 0.7, 0.65])
        self.assertFalse(found.is_significant)

    def test_one_pair_has_infinite_confidence_interval(self) -> None:
        found = pairs.difference([0.9], [0.1])
        self.assertTrue(math.isinf(found.half))
        self.assertEqual(1, dataclasses.asdict(found)["pairs"])
