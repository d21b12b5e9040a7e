"""Tests how gateways learn the speeds of servers."""

from __future__ import annotations

import random

import testtools

from catkinpin.core.placement.speeds import Speeds, StreamTimings

_TRUE = [
    # Prefilled tokens per ms, ms per generated token, and ms per generated
    # token that each concurrent request adds.
    (50.7, 5.95, 0.0445),
    (145.0, 0.87, 0.04),
    (20.0, 10.0, 0.3),
    (300.0, 0.5, 0.01),
]


def _answer(
    rng: random.Random,
    true: tuple[float, float, float],
    factor: float = 1.0,
) -> StreamTimings:
    """Returns timings of an answer, some of them with outliers.

    The outliers stand for uncached prompts and for other prefills in between.
    """
    per_ms, token_ms, beside_ms = true
    read = round(rng.lognormvariate(6.5, 0.7))
    concurrent = rng.randint(0, 12)
    gap_ms = (token_ms + beside_ms * concurrent) * factor
    gaps = [
        gap_ms + (rng.uniform(5, 60) if rng.random() < 0.15 else 0)
        for _ in range(rng.randint(2, 30))
    ]
    outlier_ms = rng.uniform(20, 200) if rng.random() < 0.2 else 0.0
    first_ms = 20 + (read / per_ms + token_ms) * factor + outlier_ms
    return StreamTimings(read, first_ms, gaps, concurrent, 0)


def _learn(
    speeds: Speeds, answers: list[StreamTimings], server: str = "s1"
) -> None:
    for number, timings in enumerate(answers):
        speeds.record_stream("models", server, 1, timings, 100 * number)


class SpeedsTest(testtools.TestCase):
    """Engines and services of all speeds, and implausible timings."""

    def test_engines_of_all_speeds_are_learned(self) -> None:
        """Guards against assumed speeds, as services differ tenfold.

        A gateway gets only a few answers per second to learn from.
        """
        for true in _TRUE:
            rng = random.Random(3)
            speeds = Speeds()
            _learn(speeds, [_answer(rng, true) for _ in range(96)])
            speed = speeds.engine_speed("models")
            per_ms, token_ms, _ = true
            self.assertTrue(0.6 < speed.read_ms * per_ms < 1.6, speed)
            self.assertTrue(0.8 < speed.token_ms / token_ms < 1.25, speed)

    def test_few_answers_already_tell_a_slow_engine(self) -> None:
        """Guards against gateways that learn too slowly after their start."""
        rng = random.Random(5)
        speeds = Speeds()
        _learn(speeds, [_answer(rng, _TRUE[0]) for _ in range(12)])
        self.assertTrue(3.0 < speeds.engine_speed("models").token_ms < 8.0)

    def test_slow_server_is_distinguished_from_its_service(self) -> None:
        """Guards against a slow server that distorts the speed of its service.

        One of four servers becomes four times as slow. It must be detected
        after a few of its answers.
        """
        rng = random.Random(7)
        speeds = Speeds()
        for number in range(400):
            server = f"s{number % 4}"
            slow = server == "s0" and number >= 200
            timings = _answer(rng, _TRUE[0], 4.0 if slow else 1.0)
            speeds.record_stream("models", server, 1, timings, 50 * number)
        now_ms = 50 * 400
        self.assertTrue(speeds.slowdown("s0", now_ms) > 1.8)
        self.assertTrue(0.7 < speeds.slowdown("s1", now_ms) < 1.3)
        self.assertTrue(4.5 < speeds.engine_speed("models").token_ms < 8.0)

    def test_slow_server_gets_another_chance(self) -> None:
        """Guards against a slowdown that outlasts a server's recovery.

        The recovered server gets too little work to show its speed.
        """
        rng = random.Random(9)
        speeds = Speeds()
        _learn(speeds, [_answer(rng, _TRUE[0]) for _ in range(50)], "s2")
        _learn(speeds, [_answer(rng, _TRUE[0], 4.0) for _ in range(30)])
        before = speeds.slowdown("s1", 3_000)
        self.assertTrue(before > 1.5)
        self.assertTrue(speeds.slowdown("s1", 23_000) < 1.2)

    def test_new_incarnation_of_a_server_starts_without_slowdown(self) -> None:
        rng = random.Random(9)
        speeds = Speeds()
        _learn(speeds, [_answer(rng, _TRUE[0]) for _ in range(50)], "s2")
        _learn(speeds, [_answer(rng, _TRUE[0], 4.0) for _ in range(30)])
        timings = _answer(rng, _TRUE[0])
        speeds.record_stream("models", "s1", 2, timings, 3_000)
        self.assertTrue(speeds.slowdown("s1", 3_000) < 1.3)

    def test_absurd_times_move_no_value_beyond_its_bounds(self) -> None:
        """Guards against absurd or negative times, as after a clock step."""
        speeds = Speeds()
        for number in range(96):
            gaps = [1e15 if number % 2 else -1e15] * 5
            timings = StreamTimings(10**12, -1e15, gaps, 10**6, 0)
            speeds.record_stream("models", "s1", 1, timings, number)
        speed = speeds.engine_speed("models")
        self.assertTrue(0.001 <= speed.read_ms <= 1.0)
        self.assertTrue(0.05 <= speed.token_ms <= 100.0)
        self.assertTrue(0.0 <= speed.beside_ms <= 2.0)
        self.assertTrue(0.25 <= speeds.slowdown("s1", 96) <= 4.0)

    def test_plain_calls_are_known_by_route(self) -> None:
        """Guards against averages that a few hanging calls distort.

        The calls of one route take 200 ms, but some hang for a minute.
        """
        speeds = Speeds()
        for number in range(200):
            speeds.record_plain_call(
                "slow", 60_000 if number % 20 == 0 else 200
            )
            speeds.record_plain_call("fast", 20)
        self.assertTrue(150 < speeds.plain_ms("slow") < 300)
        self.assertTrue(15 < speeds.plain_ms("fast") < 30)
