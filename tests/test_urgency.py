"""Tests the urgency of turns and its effect on a burst."""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING

import testtools

from catkinpin.core.placement import urgency
from catkinpin.core.placement.speeds import EngineSpeed
from catkinpin.core.placement.urgency import ProgramStatus
from catkinpin.core.requests.calls import PromptPart, RouteCall

if TYPE_CHECKING:
    from collections.abc import Callable

    _Policy = Callable[[ProgramStatus], int]

_TURN_MS = 400
_PAUSE_MS = 50
_MAX_TURNS = 7
_SLOTS = 10
_BURST_MS = 6_000
_END_MS = 30_000
# Load outside the burst, as a share of the slots' capacity.
_CALM_LOAD = 0.75
_SEEDS = 8


def _arrivals(burst_load: float, rng: random.Random) -> list[int]:
    """Returns the start times of programs: a burst, then a calm load."""
    mean_ms = _TURN_MS * (1 + _MAX_TURNS) / 2 / _SLOTS
    starts = []
    at = 0.0
    while at < _END_MS:
        load = burst_load if at < _BURST_MS else _CALM_LOAD
        at += rng.expovariate(load / mean_ms)
        starts.append(int(at))
    return starts


class _Program:
    """A program with a number of turns and an allowed time."""

    def __init__(self, began_ms: int, turns: int, time_factor: float) -> None:
        self.began_ms = began_ms
        self.turns = turns
        self.allowed_ms = int(time_factor * turns * _TURN_MS) + 250
        self.lost_ms = 0
        self.done = 0
        self.ended_ms = 0

    def program_status(self, now_ms: int) -> ProgramStatus:
        return ProgramStatus(
            allowed_ms=self.allowed_ms,
            elapsed_ms=now_ms - self.began_ms,
            lost_ms=self.lost_ms,
            turns=self.done,
        )

    @property
    def in_time(self) -> bool:
        return self.ended_ms - self.began_ms <= self.allowed_ms


def _mean_share_in_time(
    policy: _Policy, burst_load: float, time_factor: float
) -> float:
    """Returns the mean of `_simulate` over several seeds."""
    shares = [
        _simulate(policy, burst_load, time_factor, seed)
        for seed in range(_SEEDS)
    ]
    return sum(shares) / _SEEDS


def _simulate(
    policy: _Policy, burst_load: float, time_factor: float, seed: int
) -> float:
    """Simulates turns on slots that serve the most urgent turn first.

    Returns:
        The share of all turns whose programs ended within their allowed time.
    """
    rng = random.Random(seed)
    programs = [
        _Program(at, rng.randint(1, _MAX_TURNS), time_factor)
        for at in _arrivals(burst_load, rng)
    ]
    free_at_ms = [0] * _SLOTS
    waiting: list[tuple[int, int, int]] = []
    events = [(p.began_ms, number) for number, p in enumerate(programs)]
    heapq.heapify(events)
    while events or waiting:
        now = max(free_at_ms[0], events[0][0] if events and not waiting else 0)
        while events and events[0][0] <= now:
            at, number = heapq.heappop(events)
            rank = policy(programs[number].program_status(at))
            heapq.heappush(waiting, (rank, at, number))
        if not waiting:
            continue
        _, at, number = heapq.heappop(waiting)
        program = programs[number]
        start = max(now, at)
        program.lost_ms += start - at
        program.done += 1
        program.ended_ms = start + _TURN_MS
        heapq.heapreplace(free_at_ms, program.ended_ms)
        if program.done < program.turns:
            event = (program.ended_ms + _PAUSE_MS, number)
            heapq.heappush(events, event)
    served = sum(p.turns for p in programs if p.in_time)
    return served / sum(p.turns for p in programs)


def _rank_only_by_time(program_status: ProgramStatus) -> int:
    """Ranks programs only by whether they are in time."""
    late = program_status.elapsed_ms > program_status.allowed_ms
    expired = program_status.elapsed_ms > 2 * program_status.allowed_ms
    return int(late) + int(expired)


class UrgencyTest(testtools.TestCase):
    """Urgency of turns by the progress of their programs."""

    def test_started_programs_go_before_new_and_late_ones(self) -> None:
        """Guards against late programs that slow down those in time.

        The four programs are started and in time, new, late, and expired.
        """
        ranks = [
            urgency.turn_urgency(
                ProgramStatus(
                    allowed_ms=1_000, elapsed_ms=700, lost_ms=9, turns=2
                )
            ),
            urgency.turn_urgency(
                ProgramStatus(allowed_ms=1_000, elapsed_ms=10)
            ),
            urgency.turn_urgency(
                ProgramStatus(
                    allowed_ms=1_000, elapsed_ms=700, lost_ms=500, turns=2
                )
            ),
            urgency.turn_urgency(
                ProgramStatus(allowed_ms=1_000, elapsed_ms=2_100)
            ),
        ]
        self.assertEqual(sorted(ranks), ranks)
        self.assertEqual(4, len(set(ranks)))
        self.assertEqual(
            urgency.URGENCY_DEFAULT, urgency.turn_urgency(ProgramStatus())
        )

    def test_overdue_program_is_late_whatever_it_lost(self) -> None:
        """Guards against ranking a program past its time limit as in time.

        Its tools took long, but its turns were not delayed.
        """
        program_status = ProgramStatus(
            allowed_ms=1_000, elapsed_ms=1_100, turns=3
        )
        self.assertEqual(
            urgency.URGENCY_LATE, urgency.turn_urgency(program_status)
        )

    def test_new_program_that_was_refused_for_long_is_late(self) -> None:
        """Guards against a late program that counts as new.

        Its first turn was refused and resent until its slack was used up.
        """
        program_status = ProgramStatus(allowed_ms=1_000, elapsed_ms=500)
        self.assertEqual(
            urgency.URGENCY_LATE, urgency.turn_urgency(program_status)
        )

    def test_burst_leaves_more_programs_in_time(self) -> None:
        """Guards against programs that all lose their slack together.

        For 6 s programs arrive at 1.4 to 1.8 times the capacity of the slots.
        If all programs in time are equally urgent, the backlog lasts much
        longer than the burst.
        """
        for burst_load in (1.4, 1.8):
            for time_factor in (1.5, 1.8, 2.2):
                unranked_share = _mean_share_in_time(
                    _rank_only_by_time, burst_load, time_factor
                )
                ranked_share = _mean_share_in_time(
                    urgency.turn_urgency, burst_load, time_factor
                )
                self.assertGreater(
                    ranked_share,
                    1.1 * unranked_share,
                    (burst_load, time_factor),
                )

    def test_lost_time_is_what_an_idle_server_would_not_have_taken(
        self,
    ) -> None:
        """Guards against lost time that includes prefill or generation.

        A turn of 200 tokens took one second, half of it in a queue.
        """
        prompt = (PromptPart("shared", 12_600), PromptPart("own", 1_450))
        call = RouteCall("x", prompt=prompt, prompt_tokens=14_050)
        speed = EngineSpeed(read_ms=1 / 145, token_ms=1.0)
        self.assertEqual(770, urgency.lost_ms(call, 200, 1_000, speed))
        self.assertEqual(0, urgency.lost_ms(call, 200, 100, speed))

    def test_turns_of_a_slow_engine_do_not_count_as_late(self) -> None:
        """Guards against lost time computed with the speed of a fast engine.

        An idle engine takes 6 ms per token. By the figures of a fast engine,
        each turn would seem to lose five sixths of its time, and after a few
        turns all programs would be late and equally urgent.
        """
        call = RouteCall("x", prompt=(PromptPart("own", 1_000),))
        slow = EngineSpeed(read_ms=1 / 50, token_ms=6.0)
        took_ms = 20 + 100 * 6 + 1_000 // 50
        self.assertEqual(0, urgency.lost_ms(call, 100, took_ms, slow))
