"""Tests the admission of whole programs in overload and at ordinary load."""

from __future__ import annotations

import dataclasses
import random
import time
from unittest import mock

import testtools

from catkinpin.core.placement import demand as demand_module
from catkinpin.core.placement import promises
from catkinpin.core.placement.admission import (
    Admission,
    AdmissionDecision,
    AdmissionReason,
)
from catkinpin.core.placement.demand import ServiceDemand
from catkinpin.core.placement.placer import ServerSlowdown
from tests.fakes.programs import (
    IDLE_MS,
    LEFT_MS,
    SLOTS,
    TURN_MS,
    TURNS,
    ProgramModel,
    new_program,
)


def _overload(admission: Admission | None) -> ProgramModel:
    """Returns a model after 4 s at half load and 8 s at 2.5 times capacity."""
    model = ProgramModel(admission)
    model.add_load(0, 4_000, 0.5)
    model.add_load(4_000, 12_000, 2.5)
    model.run()
    return model


class LoadTest(testtools.TestCase):
    """Two opposite loads over a model of the servers."""

    def test_admitted_programs_end_in_time_in_overload(self) -> None:
        """Guards against admitting everything, so that all are late."""
        self.assertGreater(_overload(None).late(), 0.5)
        model = _overload(Admission(0))
        self.assertLess(model.late(), 0.02)
        in_time = sum(0 < c.took_ms <= LEFT_MS for c in model.callers)
        # What the servers can finish from the burst's start to its last
        # deadline, beside the load before it.
        capacity = SLOTS * (4_000 * 0.5 + 8_000) / (TURNS * TURN_MS)
        self.assertGreater(in_time, 0.9 * capacity)

    def test_callers_that_return_on_time_are_served(self) -> None:
        """Guards against return times that end in a second refusal."""
        model = _overload(Admission(0))
        back = [c for c in model.callers if c.is_back]
        self.assertGreater(len(back), 20)
        self.assertGreater(sum(c.is_admitted for c in back) / len(back), 0.95)
        self.assertEqual(1, max(c.refusals for c in model.callers))
        in_time = sum(0 < c.took_ms <= LEFT_MS for c in back)
        self.assertGreater(in_time / len(back), 0.95)

    def test_nobody_is_refused_at_half_load(self) -> None:
        """Guards against refusals while there is room."""
        model = ProgramModel(Admission(0))
        model.add_load(0, 12_000, 0.5)
        model.run()
        self.assertEqual(0, sum(c.refusals for c in model.callers))

    def test_burst_at_the_start_is_admitted(self) -> None:
        """Guards against refusals while nothing is known of the programs."""
        model = ProgramModel(Admission(0))
        model.add_load(1_000, 2_000, 3.0)
        model.run()
        self.assertEqual(0, sum(c.refusals for c in model.callers))


def _crowded() -> tuple[Admission, int]:
    """Returns an admission after its first refusal, and the time."""
    model = ProgramModel(Admission(0))
    model.add_load(0, 4_000, 0.5)
    model.add_load(4_000, 6_000, 2.5)
    assert model.admission is not None
    for now_ms in range(4_000, 6_000, 10):
        model.run_until(now_ms)
        if any(caller.refusals for caller in model.callers):
            return model.admission, now_ms
    message = "nobody was refused"
    raise AssertionError(message)


def _refuse_some(
    admission: Admission, now_ms: int, count: int
) -> list[tuple[str, int]]:
    """Returns programs that were promised room, and their return times."""
    promised = []
    for number in range(count):
        decision = admission.decide(new_program(f"p{number}"), now_ms)
        if decision.is_promised:
            promised.append((f"p{number}", now_ms + decision.retry_ms))
    return promised


class PromiseTest(testtools.TestCase):
    """Return times, and what happens if something fails before the return."""

    def setUp(self) -> None:
        super().setUp()
        self.admission, self.now_ms = _crowded()
        self.promised = _refuse_some(self.admission, self.now_ms, 200)
        self.assertGreater(len(self.promised), 10)

    def _decide(self, name: str, now_ms: int) -> AdmissionDecision:
        left_ms = LEFT_MS - (now_ms - self.now_ms)
        return self.admission.decide(new_program(name, left_ms=left_ms), now_ms)

    def test_return_times_follow_the_order_of_refusals(self) -> None:
        """Guards against refused callers that all return at once."""
        times = [at_ms for _, at_ms in self.promised]
        self.assertEqual(sorted(times), times)
        self.assertGreater(len(set(times)), len(times) / 4)

    def test_all_promised_programs_may_return_at_once(self) -> None:
        """Guards against promises that only the first callers profit from."""
        at_ms = max(at_ms for _, at_ms in self.promised)
        for name, _ in self.promised:
            decision = self._decide(name, at_ms)
            self.assertIs(AdmissionReason.RETURNED, decision.reason)
            self.admission.begin(f"{name}.0", new_program(name), 0, at_ms)

    def test_early_return_gets_the_same_time(self) -> None:
        """Guards against callers that lose their place by a resent request."""
        name, at_ms = self.promised[-1]
        decision = self._decide(name, self.now_ms + 1)
        self.assertEqual(at_ms, self.now_ms + 1 + decision.retry_ms)

    def test_caller_that_does_not_honour_its_time_has_no_room_kept(
        self,
    ) -> None:
        """Guards against room kept for callers that give up."""
        for number in range(300):
            decision = self._decide(f"q{number}", self.now_ms)
            if decision.retry_ms and not decision.is_promised:
                break
        else:
            self.fail("all were promised room")
        self.assertGreater(decision.retry_ms, LEFT_MS / 3)

    def test_no_room_is_kept_for_a_program_that_would_be_late(self) -> None:
        """Guards against idle slots reserved for programs that are late.

        Their requests may wait for much longer than the programs.
        """
        self.admission, now_ms = _crowded()
        for number in range(1_000):
            program = dataclasses.replace(
                new_program(f"q{number}"), request_left_ms=30_000
            )
            decision = self.admission.decide(program, now_ms)
            if not decision.retry_ms:
                continue
            if decision.is_promised:
                self.assertLess(decision.retry_ms, LEFT_MS - IDLE_MS)
            else:
                self.assertGreater(decision.retry_ms, 30_000 / 3)
        self.assertLess(self._reserved(now_ms), SLOTS)

    def test_callers_that_never_return_lose_their_room(self) -> None:
        """Guards against slots that stay reserved for nobody."""
        last_ms = max(at_ms for _, at_ms in self.promised)
        self.assertGreater(self._reserved(last_ms), 0)
        self.assertEqual(0, self._reserved(last_ms + 1_001))

    def _reserved(self, now_ms: int) -> float:
        with_promises = self._decide("x", now_ms).needed
        store = self.admission._promises
        self.admission._promises = promises.Promises()
        without = self._decide("x", now_ms).needed
        self.admission._promises = store
        return with_promises - without

    def test_promise_does_not_hold_if_capacity_falls(self) -> None:
        """Guards against programs for servers that are gone."""
        name, at_ms = self.promised[0]
        self.admission.set_slots("models", int(SLOTS * 0.5), self.now_ms)
        decision = self._decide(name, at_ms)
        self.assertIs(AdmissionReason.REFUSED, decision.reason)

    def test_promise_holds_if_capacity_falls_by_less_than_a_tenth(self) -> None:
        """Guards against second refusals whenever the servers' speed varies."""
        name, at_ms = self.promised[0]
        self.admission.set_slots("models", int(SLOTS * 0.91), self.now_ms)
        decision = self._decide(name, at_ms)
        self.assertIs(AdmissionReason.RETURNED, decision.reason)

    def test_promise_gives_priority_for_a_second(self) -> None:
        """Guards against promises that end at once, and against lasting ones.

        A caller's timer may fire some ms early, as `Retry-After` is rounded.
        """
        for late_ms, has_priority in (
            (-21, False),
            (-20, True),
            (1_000, True),
            (1_001, False),
        ):
            name, at_ms = self.promised.pop()
            reason = self._decide(name, at_ms + late_ms).reason
            is_returned = reason is AdmissionReason.RETURNED
            self.assertEqual(has_priority, is_returned, late_ms)

    def test_new_leader_refuses_nothing_at_first(self) -> None:
        """Guards against refusals by a leader that knows no programs."""
        name, at_ms = self.promised[0]
        self.admission.reset(at_ms - 10)
        self.admission.set_slots("models", SLOTS, at_ms - 10)
        decision = self._decide(name, at_ms)
        self.assertIs(AdmissionReason.NEW_LEADER, decision.reason)

    def test_promises_are_bounded(self) -> None:
        """Guards against memory that grows with the refused programs."""
        store = promises.Promises()
        for number in range(10_050):
            key = ("s", "", str(number))
            store.add(key, promises.Promise(number, 1.0, 0.5))
        self.assertEqual(10_000, len(store))
        self.assertAlmostEqual(5_000, store.reserved_slots("s"))
        self.assertIsNone(store.find(("s", "", "49")))
        store.advance(100_000)
        self.assertEqual(0, len(store))
        self.assertAlmostEqual(0, store.reserved_slots("s"))


class EstimateTest(testtools.TestCase):
    """What a decision is based on."""

    def setUp(self) -> None:
        super().setUp()
        self.admission = Admission(0)
        self.admission.set_slots("models", 2, 0)

    def _turn(self, attempt: str, program: str, begin_ms: int) -> None:
        self.admission.begin(attempt, new_program(program), 0, begin_ms)
        end_ms = begin_ms + 100
        self.admission.finish(attempt, [], end_ms, ran=True)

    def test_reported_slowdowns_lower_the_capacity(self) -> None:
        """Guards against full admission to servers that became slow."""
        self.admission.begin("t", new_program("p"), 0, 0)
        report = ServerSlowdown(server="s", slowdown=2.5, age_ms=0)
        self.admission.finish("t", [report] * 9, 100, ran=True)
        decision = self.admission.decide(new_program("q"), 100)
        self.assertLess(decision.capacity, 1.0)

    def test_idle_slots_are_used_while_programs_pause(self) -> None:
        """Guards against refusals because of programs that need no slot now."""
        for number in range(8):
            self._turn(f"a{number}", f"a{number}", 400 * number)
            self._turn(f"b{number}", f"a{number}", 400 * number + 200)
        for number in range(8):
            self._turn(f"c{number}", f"c{number}", 6_000)
        late = new_program("new", left_ms=400)
        decision = self.admission.decide(late, 6_100)
        self.assertIs(AdmissionReason.ROOM, decision.reason)


class ServiceDemandTest(testtools.TestCase):
    """Running programs, and the bounds of what is learned from them."""

    def test_turns_of_a_dead_gateway_expire(self) -> None:
        """Guards against slots that stay needed by turns without an end."""
        demand = ServiceDemand(0)
        demand.slots = 4
        demand.begin("t", ("", "p"), "r", 0, 1_000, 0)
        demand.advance(1_499)
        self.assertTrue(demand.knows_turn("t"))
        demand.advance(1_500)
        self.assertFalse(demand.knows_turn("t"))
        demand.advance(3_500)
        self.assertEqual(0, demand.running_programs)
        self.assertAlmostEqual(0, demand.needed)

    def test_ended_program_stops_counting_soon(self) -> None:
        """Guards against ended programs that outnumber the running ones."""
        demand = ServiceDemand(0)
        demand.slots = 4
        for turn in range(3):
            begin_ms = 300 * turn
            demand.begin(f"t{turn}", ("", "p"), "r", 0, 1_000, begin_ms)
            demand.finish(f"t{turn}", begin_ms + 200, ran=True)
        demand.advance(800 + 249)
        self.assertGreater(demand.needed, 0.5)
        demand.advance(800 + 251)
        self.assertAlmostEqual(0, demand.needed)
        self.assertEqual(1, demand.running_programs)

    def test_queue_does_not_lengthen_the_learned_turn(self) -> None:
        """Guards against estimates that grow with the queue they cause."""
        demand = ServiceDemand(0)
        demand.slots = 2
        for number in range(8):
            demand.begin(str(number), ("", str(number)), "r", 0, 9_000, 0)
        slot_ms = demand.finish("0", 400, ran=True)
        self.assertAlmostEqual(100, slot_ms)

    def test_slowdown_lowers_the_capacity_within_bounds(self) -> None:
        """Guards against one absurd report that closes a service."""
        demand = ServiceDemand(0)
        demand.slots = 160
        self.assertEqual(160, demand.capacity(0))
        report = ServerSlowdown(server="s", slowdown=float("nan"), age_ms=0)
        demand.record_slowdowns([report], 0)
        self.assertEqual(160, demand.capacity(0))
        report = ServerSlowdown(server="s", slowdown=1e9, age_ms=0)
        demand.record_slowdowns([report] * 100, 0)
        self.assertGreaterEqual(demand.capacity(0), 10)
        self.assertGreater(demand.capacity(20_000), 159)

    def test_sums_match_the_running_programs(self) -> None:
        """Guards against running sums that drift with many events."""
        rng = random.Random(1)
        demand = ServiceDemand(0)
        demand.slots = 8
        now_ms = 0
        attempts: list[str] = []
        for number in range(4_000):
            now_ms += rng.randrange(30)
            if attempts and rng.random() < 0.5:
                attempt = attempts.pop(rng.randrange(len(attempts)))
                if rng.random() < 0.1:
                    demand.cancel(attempt, now_ms)
                else:
                    demand.finish(attempt, now_ms, ran=rng.random() < 0.9)
                continue
            program, route = rng.randrange(60), rng.randrange(3)
            demand.begin(
                str(number), ("", f"{program}"), f"r{route}", 0, 900, now_ms
            )
            attempts.append(str(number))
            threads = [demand.route(f"r{n}").threads for n in range(3)]
            self.assertGreaterEqual(min(threads), 0)
            needed = sum(
                demand.route(f"r{n}").occupancy * threads[n] for n in range(3)
            )
            self.assertAlmostEqual(needed, demand.needed, places=6)
        demand.advance(now_ms + 10_000)
        self.assertEqual(0, demand.running_programs)
        self.assertAlmostEqual(0, demand.needed, places=6)

    def test_tracked_state_is_bounded(self) -> None:
        """Guards against memory that grows with turns, programs or routes."""
        with mock.patch.multiple(
            demand_module, _MAX_TURNS=30, _MAX_PROGRAMS=20, _MAX_ROUTES=10
        ):
            demand = ServiceDemand(0)
            for number in range(100):
                key = ("", f"{number % 50}")
                demand.begin(f"t{number}", key, f"r{number}", 0, 1_000, 0)
            self.assertEqual(30, demand.open_turns)
            self.assertEqual(20, demand.running_programs)
            # The routes above the limit share their averages.
            self.assertIs(demand.route("x"), demand.route("y"))

    def test_decision_takes_less_than_100_us(self) -> None:
        """Guards against loops over all programs in the leader's thread."""
        admission, now_ms = _crowded()
        for number in range(5_000):
            program = new_program(f"n{number}", left_ms=60_000)
            admission.begin(f"n{number}.0", program, 0, now_ms)
        spent_us = []
        for number in range(2_000):
            begun_ns = time.perf_counter_ns()
            admission.decide(new_program(f"m{number}"), now_ms)
            spent_us.append((time.perf_counter_ns() - begun_ns) / 1_000)
        self.assertLess(sorted(spent_us)[len(spent_us) // 2], 100)
