"""How urgent turns are, and what that does to a burst."""

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
# Load beside the burst, as a part of what the slots can serve.
_CALM = 0.75
_SEEDS = 8


def _arrivals(over: float, rng: random.Random) -> list[int]:
    """Returns when programs come: a burst, then a calm load."""
    mean_ms = _TURN_MS * (1 + _MAX_TURNS) / 2 / _SLOTS
    found = []
    at = 0.0
    while at < _END_MS:
        load = over if at < _BURST_MS else _CALM
        at += rng.expovariate(load / mean_ms)
        found.append(int(at))
    return found


class _Program:
    """A program of some turns, with so much time as its users allow."""

    def __init__(self, began_ms: int, turns: int, allowed_x: float) -> None:
        self.began_ms = began_ms
        self.turns = turns
        self.allowed_ms = int(allowed_x * turns * _TURN_MS) + 250
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


def _in_time(policy: _Policy, over: float, allowed_x: float) -> float:
    """Returns the mean of `_play` over some seeds."""
    played = [_play(policy, over, allowed_x, seed) for seed in range(_SEEDS)]
    return sum(played) / _SEEDS


def _play(policy: _Policy, over: float, allowed_x: float, seed: int) -> float:
    """Plays turns on slots that serve the most urgent first.

    Returns:
        The part of all turns whose programs ended within their allowed time.
    """
    rng = random.Random(seed)
    programs = [
        _Program(at, rng.randint(1, _MAX_TURNS), allowed_x)
        for at in _arrivals(over, rng)
    ]
    free = [0] * _SLOTS
    waiting: list[tuple[int, int, int]] = []
    events = [(p.began_ms, number) for number, p in enumerate(programs)]
    heapq.heapify(events)
    while events or waiting:
        now = max(free[0], events[0][0] if events and not waiting else 0)
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
        heapq.heapreplace(free, program.ended_ms)
        if program.done < program.turns:
            event = (program.ended_ms + _PAUSE_MS, number)
            heapq.heappush(events, event)
    served = sum(p.turns for p in programs if p.in_time)
    return served / sum(p.turns for p in programs)


def _all_alike(program_status: ProgramStatus) -> int:
    """Ranks programs by nothing but whether they are in time."""
    late = program_status.elapsed_ms > program_status.allowed_ms
    hopeless = program_status.elapsed_ms > 2 * program_status.allowed_ms
    return int(late) + int(hopeless)


class UrgencyTest(testtools.TestCase):
    """Turns ranked by their program's time."""

    def test_programs_under_way_go_before_fresh_and_late_ones(self) -> None:
        """Four programs wait: under way, fresh, behind, and past any use."""
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

    def test_late_program_is_behind_whatever_it_lost(self) -> None:
        """Its tools took long; its turns lost nothing."""
        program_status = ProgramStatus(
            allowed_ms=1_000, elapsed_ms=1_100, turns=3
        )
        self.assertEqual(
            urgency.URGENCY_LATE, urgency.turn_urgency(program_status)
        )

    def test_fresh_program_that_was_refused_for_long_is_behind(self) -> None:
        """Its first turn was sent again and again until its slack was gone."""
        program_status = ProgramStatus(allowed_ms=1_000, elapsed_ms=500)
        self.assertEqual(
            urgency.URGENCY_LATE, urgency.turn_urgency(program_status)
        )

    def test_burst_leaves_more_programs_in_time(self) -> None:
        """For 6 s programs come at 1.4 to 1.8 times what the slots can serve.

        With all that are in time alike, all lose their slack together, and
        the backlog outlasts the burst by far.
        """
        for over in (1.4, 1.8):
            for allowed_x in (1.5, 1.8, 2.2):
                alike = _in_time(_all_alike, over, allowed_x)
                ranked = _in_time(urgency.turn_urgency, over, allowed_x)
                self.assertGreater(ranked, 1.1 * alike, (over, allowed_x))

    def test_lost_time_is_what_an_idle_server_would_not_have_taken(
        self,
    ) -> None:
        """A turn of 200 tokens took a second, half of it in a queue."""
        prompt = (PromptPart("shared", 12_600), PromptPart("own", 1_450))
        call = RouteCall("x", prompt=prompt, prompt_tokens=14_050)
        speed = EngineSpeed(read_ms=1 / 145, token_ms=1.0)
        self.assertEqual(770, urgency.lost_ms(call, 200, 1_000, speed))
        self.assertEqual(0, urgency.lost_ms(call, 200, 100, speed))

    def test_turns_of_a_slow_engine_do_not_count_as_late(self) -> None:
        """An engine takes 6 ms a token, and nothing runs beside the turn.

        Weighed by a fast engine's figures, each turn would seem to lose five
        sixths of its time, and after a few turns all programs would be
        behind: urgency would tell none of them from the others.
        """
        call = RouteCall("x", prompt=(PromptPart("own", 1_000),))
        slow = EngineSpeed(read_ms=1 / 50, token_ms=6.0)
        took_ms = 20 + 100 * 6 + 1_000 // 50
        self.assertEqual(0, urgency.lost_ms(call, 100, took_ms, slow))
