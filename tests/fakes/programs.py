"""A model of programs at servers with a limited number of slots, for tests."""

from __future__ import annotations

import dataclasses
import heapq
import itertools
import math

from catkinpin.core.placement.admission import Admission, NewProgram

SLOTS = 176
TURNS, TURN_MS, PAUSE_MS = 4, 250, 100
IDLE_MS = TURNS * TURN_MS + (TURNS - 1) * PAUSE_MS
LEFT_MS = int(1.6 * IDLE_MS) + 271


def new_program(
    name: str, account: str = "", left_ms: int = LEFT_MS
) -> NewProgram:
    """Returns a program of the model that asks for its first turn."""
    return NewProgram("models", "r", account, name, left_ms, left_ms)


@dataclasses.dataclass
class Caller:
    """A program of the model.

    Attributes:
        refusals: how many times it was refused.
        is_back: whether it returned at the time that it was given.
        took_ms: from its first request to its end; 0 while it runs.
    """

    name: str
    account: str
    begun_ms: int
    turns: int = 0
    refusals: int = 0
    is_back: bool = False
    is_admitted: bool = False
    took_ms: int = 0


class ProgramModel:
    """Programs of equal turns at servers that serve turns in their order.

    A turn starts when the first of the slots is free and takes `TURN_MS`.
    """

    def __init__(self, admission: Admission | None) -> None:
        self.admission = admission
        self.callers: list[Caller] = []
        self._free_ms = [0] * SLOTS
        self._events: list[tuple[int, int, bool, Caller]] = []
        self._order = itertools.count()
        self._updated_ms = 0
        if admission is not None:
            admission.set_slots("models", SLOTS, 0)

    def add_load(
        self, from_ms: int, to_ms: int, load: float, account: str = ""
    ) -> None:
        """Adds arrivals at a multiple of the capacity."""
        count = int(load * SLOTS * (to_ms - from_ms) / (TURNS * TURN_MS))
        for number in range(count):
            at_ms = from_ms + (to_ms - from_ms) * number // count
            name = f"{account}-{len(self.callers)}"
            caller = Caller(name, account, at_ms)
            self.callers.append(caller)
            self._push(at_ms, False, caller)

    def run(self) -> None:
        """Runs all programs to their end."""
        self.run_until(math.inf)

    def run_until(self, end_ms: float) -> None:
        """Runs until a time."""
        while self._events and self._events[0][0] <= end_ms:
            now_ms, _, is_end, caller = heapq.heappop(self._events)
            if self.admission is not None and now_ms >= self._updated_ms + 100:
                self._updated_ms = now_ms
                self.admission.update_shares(now_ms)
            if is_end:
                self._end_turn(caller, now_ms)
            elif caller.turns or self._admit(caller, now_ms):
                self._begin_turn(caller, now_ms)

    def late(self) -> float:
        """Returns the share of the admitted programs that ended late."""
        admitted = [c for c in self.callers if c.is_admitted]
        return sum(c.took_ms > LEFT_MS for c in admitted) / len(admitted)

    def _push(self, at_ms: int, is_end: bool, caller: Caller) -> None:
        heapq.heappush(self._events, (at_ms, next(self._order), is_end, caller))

    def _admit(self, caller: Caller, now_ms: int) -> bool:
        if self.admission is not None:
            left_ms = LEFT_MS - (now_ms - caller.begun_ms)
            program = new_program(caller.name, caller.account, left_ms)
            decision = self.admission.decide(program, now_ms)
            if decision.retry_ms:
                caller.refusals += 1
                if decision.retry_ms <= left_ms / 3:
                    caller.is_back = True
                    self._push(now_ms + decision.retry_ms, False, caller)
                return False
        caller.is_admitted = True
        return True

    def _begin_turn(self, caller: Caller, now_ms: int) -> None:
        start_ms = max(now_ms, heapq.heappop(self._free_ms))
        heapq.heappush(self._free_ms, start_ms + TURN_MS)
        self._push(start_ms + TURN_MS, True, caller)
        if self.admission is not None:
            self.admission.begin(
                f"{caller.name}.{caller.turns}",
                new_program(caller.name, caller.account),
                caller.turns,
                now_ms,
            )

    def _end_turn(self, caller: Caller, now_ms: int) -> None:
        if self.admission is not None:
            attempt = f"{caller.name}.{caller.turns}"
            self.admission.finish(attempt, [], now_ms, ran=True)
        caller.turns += 1
        if caller.turns < TURNS:
            self._push(now_ms + PAUSE_MS, False, caller)
        else:
            caller.took_ms = now_ms - caller.begun_ms
