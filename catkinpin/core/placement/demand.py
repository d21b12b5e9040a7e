"""Estimates how many slots the running programs of a service need.

The leader sees every turn begin and finish. From that it learns for each route
how many turns a program has, how long a turn occupies a slot and how long a
program pauses between turns. The sums are updated with each event, so a
decision does not depend on the number of running programs.

All of this is soft state of the leader.
"""

from __future__ import annotations

import dataclasses
import enum
import heapq
import itertools
import math
from typing import TYPE_CHECKING

from catkinpin.core.placement.regression import Bounds

if TYPE_CHECKING:
    from collections.abc import Iterable

    from catkinpin.core.placement.placer import ServerSlowdown

# A program without an open turn ends after this time without activity.
_PROGRAM_TIMEOUT_MS = 2_000
# A program that pauses longer than this no longer counts as needing a slot,
# until its next turn. Otherwise each ended program would count for 2 s, which
# may be longer than it ran.
_COUNTED_PAUSE_RATIO = 2.0
_MIN_COUNTED_PAUSE_MS = 50.0
# A turn expires this long after its deadline, as its gateway must have died.
_EXPIRY_GRACE_MS = 500
# Weight of a new sample in a moving average, after the first samples.
_SAMPLE_WEIGHT = 0.01
# Ended programs that a route needs before its averages count as known.
_MIN_ENDED_PROGRAMS = 8
# Limit of tracked programs and of tracked turns of a service; further ones are
# not tracked.
_MAX_PROGRAMS = 20_000
_MAX_TURNS = 40_000
# Limit of routes with averages of their own; further ones share the last.
_MAX_ROUTES = 1_000
_OTHER_ROUTES = "*"
# Reported slowdowns are limited to this range; their weight halves with each of
# these periods.
_SLOWDOWN_BOUNDS = Bounds(0.25, 16.0)
_SLOWDOWN_HALF_LIFE_MS = 1_000.0
# Weight of the usual speed among the reported slowdowns.
_USUAL_SPEED_WEIGHT = 1.0


class MovingAverage:
    """Mean of the first samples, and an exponential average afterwards."""

    def __init__(self, default: float = 0.0) -> None:
        self.value = default
        self.samples = 0

    def add(self, sample: float) -> None:
        """Adds a sample."""
        self.samples += 1
        weight = max(_SAMPLE_WEIGHT, 1 / self.samples)
        self.value += (sample - self.value) * weight


class RouteAverages:
    """Learned averages of the programs of one route.

    Attributes:
        turns: turns of a program that follow one another; parallel turns count
            once.
        turn_ms: time that a turn occupies a slot of a server of usual speed.
        pause_ms: time between two turns.
        left_ms: time that a new program has until its deadline.
        threads: sequences of turns of the running programs.
        updated_ms: time of the latest sample.
    """

    def __init__(self) -> None:
        self.turns = MovingAverage()
        self.turn_ms = MovingAverage()
        self.pause_ms = MovingAverage()
        self.left_ms = MovingAverage()
        self.threads = 0
        self.updated_ms = 0

    @property
    def is_known(self) -> bool:
        """Whether enough programs have ended for an estimate."""
        return (
            self.turns.samples >= _MIN_ENDED_PROGRAMS
            and self.turn_ms.samples > 0
        )

    @property
    def occupancy(self) -> float:
        """Share of a slot that a program occupies on average."""
        if self.turn_ms.value <= 0:
            return 1.0
        return self.turn_ms.value / (self.turn_ms.value + self.pause_ms.value)

    @property
    def duration_ms(self) -> float:
        """Time that a program takes on servers with a free slot."""
        return self.turns.value * (self.turn_ms.value + self.pause_ms.value)

    @property
    def slot_ms(self) -> float:
        """Slot time of a program."""
        return self.turns.value * self.turn_ms.value

    @property
    def counted_pause_ms(self) -> float:
        """Longest pause during which a program counts as needing a slot."""
        if not self.pause_ms.samples:
            return _PROGRAM_TIMEOUT_MS
        limit_ms = (
            _COUNTED_PAUSE_RATIO * self.pause_ms.value + _MIN_COUNTED_PAUSE_MS
        )
        return min(_PROGRAM_TIMEOUT_MS, limit_ms)


@dataclasses.dataclass
class _Program:
    """A running program.

    Attributes:
        open_turns: turns that have begun and not finished.
        counted_threads: what the program adds to `RouteAverages.threads`.
    """

    route: RouteAverages
    turns: int
    active_ms: int
    open_turns: int = 0
    counted_threads: int = 0


@dataclasses.dataclass(frozen=True)
class OpenTurn:
    """A turn that has begun and not finished.

    Attributes:
        work_ms: the service's `work_ms` when it began.
        expected_ms: slot time that was expected when it began.
    """

    program: tuple[str, str]
    work_ms: float
    expected_ms: float


class _TimerKind(enum.Enum):
    TURN_EXPIRY = enum.auto()
    LONG_PAUSE = enum.auto()
    PROGRAM_END = enum.auto()


class ServiceDemand:
    """Tracks the running programs of one service.

    Attributes:
        needed: slots that the running programs occupy on average.
        slots: slots of the ready servers.
    """

    def __init__(self, now_ms: int) -> None:
        self.needed = 0.0
        self.slots = 0
        self._routes: dict[str, RouteAverages] = {}
        self._programs: dict[tuple[str, str], _Program] = {}
        self._turns: dict[str, OpenTurn] = {}
        # Timers of expiries, which no message announces, ordered by time. One
        # is ignored if its turn or program was active since it was set.
        self._timers: list[tuple[float, int, _TimerKind, object]] = []
        self._timer_ids = itertools.count()
        # Slot time that a turn received which has been open all the time.
        self._work_ms = 0.0
        self._advanced_ms = now_ms
        self._slowdown_sum = 0.0
        self._slowdown_weight = 0.0
        self._slowdown_ms = now_ms

    @property
    def open_turns(self) -> int:
        """Number of turns that have begun and not finished."""
        return len(self._turns)

    @property
    def running_programs(self) -> int:
        """Number of programs that have not ended."""
        return len(self._programs)

    def capacity(self, now_ms: int) -> float:
        """Returns the slots, as if all servers had their usual speed."""
        return self.slots / self._slowdown(now_ms)

    def route(self, name: str) -> RouteAverages:
        """Returns the averages of a route."""
        if name not in self._routes and len(self._routes) >= _MAX_ROUTES:
            name = _OTHER_ROUTES
        return self._routes.setdefault(name, RouteAverages())

    def find_turn(self, attempt: str) -> OpenTurn | None:
        """Returns an open turn, None if it is not known."""
        return self._turns.get(attempt)

    def knows_turn(self, attempt: str) -> bool:
        """Returns whether a turn is open."""
        return attempt in self._turns

    def knows_program(self, program: tuple[str, str]) -> bool:
        """Returns whether a program is running."""
        return program in self._programs

    def begin(
        self,
        attempt: str,
        program: tuple[str, str],
        route: str,
        earlier_turns: int,
        left_ms: int,
        now_ms: int,
    ) -> OpenTurn | None:
        """Begins a turn.

        Args:
            attempt: ID of the turn; a resent one changes nothing.
            program: account and ID of the program.
            route: the route of the program's first turn at the service.
            earlier_turns: number of turns that ended, as the ledger knows them.
            left_ms: time left until the turn's deadline.
            now_ms: monotonic time.

        Returns:
            The turn; None if it is not tracked or was known.
        """
        self.advance(now_ms)
        if attempt in self._turns or len(self._turns) >= _MAX_TURNS:
            return None
        running = self._programs.get(program)
        if running is None:
            if len(self._programs) >= _MAX_PROGRAMS:
                return None
            running = _Program(self.route(route), earlier_turns, now_ms)
            self._programs[program] = running
        elif not running.open_turns:
            self._add_sample(
                running.route,
                running.route.pause_ms,
                now_ms - running.active_ms,
                now_ms,
            )
        if not running.open_turns:
            running.turns += 1
        running.open_turns += 1
        running.active_ms = now_ms
        self._count(running, running.open_turns)
        turn = OpenTurn(program, self._work_ms, running.route.turn_ms.value)
        self._turns[attempt] = turn
        until_ms = now_ms + left_ms + _EXPIRY_GRACE_MS
        self._set_timer(until_ms, _TimerKind.TURN_EXPIRY, attempt)
        return turn

    def finish(self, attempt: str, now_ms: int, *, ran: bool) -> float:
        """Ends a turn; returns the slot time that it took.

        Args:
            attempt: ID of the turn; an unknown one changes nothing.
            now_ms: monotonic time.
            ran: whether a server ran it to its end, so that its time counts.
        """
        self.advance(now_ms)
        turn = self._turns.get(attempt)
        if turn is None:
            return 0.0
        slot_ms = self._work_ms - turn.work_ms
        if ran:
            route = self._programs[turn.program].route
            self._add_sample(route, route.turn_ms, slot_ms, now_ms)
        self._close(attempt, now_ms)
        return slot_ms

    def cancel(self, attempt: str, now_ms: int) -> None:
        """Removes a turn that never began, and its program if it is new."""
        turn = self._turns.get(attempt)
        if turn is None:
            return
        self._close(attempt, now_ms)
        running = self._programs[turn.program]
        running.turns -= not running.open_turns
        if not running.turns and not running.open_turns:
            self._count(running, 0)
            del self._programs[turn.program]

    def record_slowdowns(
        self, reports: Iterable[ServerSlowdown], now_ms: int
    ) -> None:
        """Adds slowdowns that servers reported."""
        self._decay_slowdown(now_ms)
        for report in reports:
            if not math.isfinite(report.slowdown):
                continue
            half_lives = max(0, report.age_ms) / _SLOWDOWN_HALF_LIFE_MS
            weight = math.pow(0.5, min(half_lives, 64.0))
            self._slowdown_weight += weight
            slowdown = _SLOWDOWN_BOUNDS.clip(report.slowdown)
            self._slowdown_sum += weight * slowdown

    def advance(self, now_ms: int) -> None:
        """Advances the time, and ends what has expired by then."""
        while self._timers and self._timers[0][0] <= now_ms:
            at_ms, _, kind, subject = heapq.heappop(self._timers)
            self._add_work(int(at_ms))
            self._expire(kind, subject, int(at_ms))
        self._add_work(now_ms)

    def _add_work(self, now_ms: int) -> None:
        """Adds the slot time that an open turn received since the last call.

        Where more turns are open than there are slots, each receives only its
        share. The time in a queue therefore doesn't count, whatever the order
        in which servers serve their queues.
        """
        elapsed_ms = now_ms - self._advanced_ms
        if elapsed_ms <= 0:
            return
        crowding = max(1.0, len(self._turns) / max(1, self.slots))
        self._work_ms += elapsed_ms / crowding / self._slowdown(now_ms)
        self._advanced_ms = now_ms

    def _expire(self, kind: _TimerKind, subject: object, now_ms: int) -> None:
        if kind is _TimerKind.TURN_EXPIRY:
            assert isinstance(subject, str)
            if subject in self._turns:
                self._close(subject, now_ms)
            return
        assert isinstance(subject, tuple)
        program, active_ms = subject
        running = self._programs.get(program)
        if running is None or running.open_turns:
            return
        if running.active_ms != active_ms:
            return
        self._count(running, 0)
        if kind is _TimerKind.PROGRAM_END:
            route = running.route
            self._add_sample(route, route.turns, running.turns, now_ms)
            del self._programs[program]

    def _close(self, attempt: str, now_ms: int) -> None:
        turn = self._turns.pop(attempt)
        running = self._programs[turn.program]
        running.open_turns -= 1
        running.active_ms = now_ms
        self._count(running, max(1, running.open_turns))
        if running.open_turns:
            return
        subject = (turn.program, now_ms)
        pause_ms = running.route.counted_pause_ms
        self._set_timer(now_ms + pause_ms, _TimerKind.LONG_PAUSE, subject)
        end_ms = now_ms + _PROGRAM_TIMEOUT_MS
        self._set_timer(end_ms, _TimerKind.PROGRAM_END, subject)

    def _count(self, running: _Program, threads: int) -> None:
        """Sets the number of threads that a program counts for."""
        change = threads - running.counted_threads
        running.counted_threads = threads
        running.route.threads += change
        self.needed += change * running.route.occupancy

    def _add_sample(
        self,
        route: RouteAverages,
        average: MovingAverage,
        sample: float,
        now_ms: int,
    ) -> None:
        before = route.occupancy
        average.add(sample)
        route.updated_ms = now_ms
        self.needed += route.threads * (route.occupancy - before)

    def _set_timer(
        self, at_ms: float, kind: _TimerKind, subject: object
    ) -> None:
        entry = (at_ms, next(self._timer_ids), kind, subject)
        heapq.heappush(self._timers, entry)

    def _slowdown(self, now_ms: int) -> float:
        """Returns the mean slowdown that servers reported lately."""
        self._decay_slowdown(now_ms)
        return (_USUAL_SPEED_WEIGHT + self._slowdown_sum) / (
            _USUAL_SPEED_WEIGHT + self._slowdown_weight
        )

    def _decay_slowdown(self, now_ms: int) -> None:
        if not self._slowdown_weight or now_ms <= self._slowdown_ms:
            self._slowdown_ms = max(self._slowdown_ms, now_ms)
            return
        half_lives = (now_ms - self._slowdown_ms) / _SLOWDOWN_HALF_LIFE_MS
        factor = math.pow(0.5, half_lives)
        self._slowdown_sum *= factor
        self._slowdown_weight *= factor
        self._slowdown_ms = now_ms
