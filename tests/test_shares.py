"""Tests the shares of client accounts in the capacity of a service."""

from __future__ import annotations

import math
import random
import time

import testtools

from catkinpin.core.placement.admission import Admission
from catkinpin.core.placement.shares import Shares, Standing, max_min_shares
from tests.fakes.programs import LEFT_MS, ProgramModel, new_program


class MaxMinTest(testtools.TestCase):
    """Properties of max-min fair shares, for random demands."""

    def test_shares_are_max_min_fair(self) -> None:
        """Guards against capacity that is wasted, or taken by one account."""
        rng = random.Random(1)
        for _ in range(500):
            count = rng.randrange(1, 30)
            demands = {
                str(n): rng.choice((0.0, rng.expovariate(0.1)))
                for n in range(count)
            }
            capacity = rng.choice((0.0, rng.uniform(0, 200)))
            shares = max_min_shares(capacity, demands, {})
            total = min(capacity, sum(demands.values()))
            self.assertAlmostEqual(total, sum(shares.values()), places=6)
            for name, demand in demands.items():
                self.assertLessEqual(shares[name], demand)
                least = min(demand, capacity / count)
                self.assertGreaterEqual(shares[name], least - 1e-9)

    def test_weights_scale_the_shares(self) -> None:
        """Guards against weights without effect."""
        demands = {"a": 100.0, "b": 100.0, "c": 5.0}
        shares = max_min_shares(65, demands, {"a": 3.0})
        self.assertAlmostEqual(45, shares["a"])
        self.assertAlmostEqual(15, shares["b"])
        self.assertAlmostEqual(5, shares["c"])


class SharesTest(testtools.TestCase):
    """Usage and its bounds."""

    def test_usage_is_halved_every_two_seconds(self) -> None:
        """Guards against accounts that pay for long for one burst."""
        shares = Shares({})
        shares.charge("a", 1_000, 0)
        before = shares.used_slots("a", 0)
        self.assertAlmostEqual(before / 2, shares.used_slots("a", 2_000))

    def test_steady_usage_is_counted_in_slots(self) -> None:
        """Guards against usage and capacity in different units."""
        shares = Shares({})
        for now_ms in range(0, 30_000, 100):
            shares.charge("a", 700, now_ms)
        self.assertAlmostEqual(7, shares.used_slots("a", 30_000), delta=0.3)

    def test_weight_raises_the_share_of_an_account(self) -> None:
        """Guards against configured weights without effect on admission."""
        shares = Shares({"a": 3.0})
        for account in ("a", "b"):
            shares.charge(account, 10_000, 0)
            shares.record_refusal(account, 100_000, 0)
        shares.update(100, 0)
        self.assertAlmostEqual(3, shares.share("a") / shares.share("b"))
        self.assertIs(Standing.BELOW, shares.standing("a", 0))
        self.assertIs(Standing.ABOVE, shares.standing("b", 0))

    def test_account_alone_is_neither_above_nor_below(self) -> None:
        """Guards against limits where there is nobody to share with."""
        shares = Shares({})
        shares.charge("", 1e6, 0)
        shares.update(1, 0)
        self.assertIs(Standing.NEUTRAL, shares.standing("", 0))

    def test_nobody_is_above_its_share_while_there_is_room(self) -> None:
        """Guards against accounts held back while slots are idle."""
        shares = Shares({})
        shares.charge("a", 100_000, 0)
        shares.charge("b", 10, 0)
        shares.update(100, 0)
        self.assertIs(Standing.NEUTRAL, shares.standing("a", 0))
        shares.update(10, 0)
        self.assertIs(Standing.ABOVE, shares.standing("a", 0))
        self.assertIs(Standing.BELOW, shares.standing("b", 0))

    def test_rounding_limits_no_account(self) -> None:
        """Guards against shares from sums that differ in their last digits."""
        rng = random.Random(1)
        for _ in range(200):
            shares = Shares({})
            for number in range(5):
                at_ms = rng.randrange(1_000)
                shares.charge(str(number), rng.uniform(10, 5_000), at_ms)
            shares.update(1_000, 1_000)
            self.assertEqual(math.inf, shares.share("0"))

    def test_tracked_accounts_are_bounded(self) -> None:
        """Guards against memory that grows with the number of accounts."""
        shares = Shares({})
        for number in range(39_000):
            shares.charge(str(number), 1, 0)
        self.assertEqual(2_000, len(shares))
        self.assertGreater(shares.used_slots("38999", 0), 0)
        shares.charge("new", 1, 20_000)
        shares.update(10, 20_001)
        self.assertEqual(1, len(shares))

    def test_account_that_no_longer_exists_is_dropped(self) -> None:
        """Guards against shares of accounts that can't send requests."""
        shares = Shares({})
        for name in ("", "a", "b"):
            shares.charge(name, 1, 0)
        shares.retain({"b"})
        self.assertEqual(0, shares.used_slots("a", 0))
        self.assertEqual(2, len(shares))


def _burst_of_one_account(admission: Admission) -> ProgramModel:
    """Returns a model in which one of four accounts sends far too much."""
    model = ProgramModel(admission)
    for account in ("a", "b", "c", "d"):
        model.add_load(0, 4_000, 0.15, account)
        model.add_load(4_000, 10_000, 0.15, account)
    model.add_load(4_000, 10_000, 1.5, "a")
    model.run()
    return model


def _served_in_time(model: ProgramModel, account: str) -> float:
    callers = [c for c in model.callers if c.account == account]
    return sum(0 < c.took_ms <= LEFT_MS for c in callers) / len(callers)


class AdmissionWithSharesTest(testtools.TestCase):
    """Which account's programs are refused."""

    def test_burst_of_one_account_does_not_cost_the_others(self) -> None:
        """Guards against one account that takes all the capacity."""
        model = _burst_of_one_account(Admission(0))
        for account in ("b", "c", "d"):
            self.assertGreater(_served_in_time(model, account), 0.97)
        refused = [c.refusals > 0 for c in model.callers if c.account in "bcd"]
        self.assertLess(sum(refused) / len(refused), 0.05)
        # What the others leave: the burst's account gets at least its share.
        self.assertGreater(_served_in_time(model, "a"), 0.3)
        self.assertLess(model.late(), 0.03)

    def test_ended_turn_is_charged_by_the_time_that_it_took(self) -> None:
        """Guards against usage that consists of expectations only."""
        admission = Admission(0)
        admission.set_slots("models", 4, 0)
        for account in ("a", "b"):
            admission.begin(account, new_program("p", account), 0, 0)
        admission.finish("a", [], 1_000, ran=True)
        shares = admission._shares["models"]
        self.assertGreater(shares.used_slots("a", 1_000), 0.3)
        self.assertEqual(0, shares.used_slots("b", 1_000))
        admission.retain_accounts({"b"})
        self.assertEqual(0, shares.used_slots("a", 1_000))

    def test_equal_accounts_keep_their_promises(self) -> None:
        """Guards against shares that refuse all where all ask too much."""
        model = ProgramModel(Admission(0))
        for number in range(20):
            model.add_load(number, 4_000, 0.025, str(number))
            model.add_load(4_000 + number, 12_000, 0.125, str(number))
        model.run()
        back = [c for c in model.callers if c.is_back]
        self.assertGreater(len(back), 100)
        self.assertTrue(all(c.is_admitted for c in back))
        self.assertLess(model.late(), 0.02)

    def test_nothing_is_held_back_while_there_is_room(self) -> None:
        """Guards against refusals of a large account at a moderate load."""
        model = ProgramModel(Admission(0))
        model.add_load(0, 8_000, 0.6, "a")
        model.add_load(0, 8_000, 0.05, "b")
        model.run()
        self.assertEqual(0, sum(c.refusals for c in model.callers))

    def test_new_leader_learns_the_usage_within_a_second(self) -> None:
        """Guards against a burst that nothing limits after an election."""
        shares = Shares({})
        for now_ms in range(0, 1_000, 10):
            shares.charge("a", 500, now_ms)
            shares.charge("b", 50, now_ms)
        shares.record_refusal("b", 1_000, 1_000)
        shares.update(12, 1_000)
        self.assertIs(Standing.ABOVE, shares.standing("a", 1_000))
        self.assertIs(Standing.BELOW, shares.standing("b", 1_000))

    def test_standing_takes_less_than_100_us(self) -> None:
        """Guards against loops over all accounts in a decision."""
        shares = Shares({})
        for number in range(2_000):
            shares.charge(str(number), number, 0)
        shares.update(10, 0)
        begun_s = time.perf_counter()
        for number in range(1_000):
            shares.standing(str(number), 0)
        self.assertLess((time.perf_counter() - begun_s) / 1_000, 100e-6)
