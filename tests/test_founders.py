"""Tests that seeds agree on the first members exactly once despite faults.

They run the product's `Founder` on simulated disks, links and processes.
"""

from __future__ import annotations

import dataclasses
import functools
import itertools
import random
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin.core.consensus import foundingtypes as types
from catkinpin.core.consensus import messages
from catkinpin.core.consensus.founding import Founder
from tests import base
from tests.fakes import foundingsim
from tests.fakes.foundingsim import CheckError, Seed, Simulation

if TYPE_CHECKING:
    from collections.abc import Callable

# The documentation promises recovery within 12 s; a founding must meet it too.
_MAX_RECOVERY_MS = 12_000
_SETTLE_MS = 4_000


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault that is injected at a step of the founding.

    Attributes:
        step: number of the step.
        kind: one of `foundingsim.FAULTS`.
        seed: number of the seed that it affects.
    """

    step: int
    kind: str
    seed: int


class _FaultInjector:
    """Injects each fault at its step."""

    def __init__(self, faults: tuple[Fault, ...]) -> None:
        self.faults = faults
        self.sim: Simulation

    def on_step(self, number: int, _seed: Seed) -> None:
        for fault in self.faults:
            if fault.step == number:
                seed = self.sim.seeds[f"s{fault.seed}"]
                self.sim.inject(fault.kind, seed)


def simulate_first_start(
    faults: tuple[Fault, ...],
    count: int = 3,
    seed: int = 1,
    make_founder: Callable[..., Founder] = Founder,
) -> Simulation:
    """Runs a first start; raises `CheckError` if an invariant is violated."""
    injector = _FaultInjector(faults)
    sim = Simulation(count, random.Random(seed), make_founder, injector.on_step)
    injector.sim = sim
    for number, host in enumerate(sim.seeds.values()):
        sim.schedule_in(number * 30, functools.partial(host.start, first=True))
    sim.run(_MAX_RECOVERY_MS + _SETTLE_MS)
    return sim


def _found_then_wipe_one_founder(
    make_founder: Callable[..., Founder] = Founder,
) -> Simulation:
    """Founds a system with two of three seeds, then starts the third one.

    Meanwhile one founder loses its disk and the other is cut off.
    """
    sim = Simulation(3, random.Random(1), make_founder)
    sim.seeds["s0"].start(first=True)
    sim.seeds["s1"].start(first=True)
    sim.run(_SETTLE_MS)
    sim.inject("cut", sim.seeds["s0"], 2 * _MAX_RECOVERY_MS)
    sim.inject("wipe", sim.seeds["s1"])
    sim.seeds["s2"].start(first=True)
    sim.run(_SETTLE_MS + _MAX_RECOVERY_MS)
    return sim


def _count_steps(count: int = 3) -> int:
    return simulate_first_start((), count).step_count


class FoundingModelTest(base.TestCase):
    """Faults at each step of a first start."""

    def test_first_start_without_faults_includes_all_seeds(self) -> None:
        """Guards against a founding without a seed that is reachable."""
        sim = simulate_first_start(())
        sim.check_progress()
        self.assertEqual(3, len(sim.founded_members[0].members))

    def test_one_fault_at_each_step_stops_no_founding(self) -> None:
        """Guards against a fault in a first start that prevents a leader."""
        steps = range(1, _count_steps() + 2)
        for step, kind, seed in itertools.product(
            steps, foundingsim.FAULTS, range(3)
        ):
            sim = simulate_first_start((Fault(step, kind, seed),))
            sim.check_progress()

    def test_two_kills_at_each_pair_of_steps_stop_no_founding(self) -> None:
        """Guards against seeds that crash repeatedly in a first start."""
        steps = _count_steps() + 2
        pairs = itertools.combinations(range(1, steps), 2)
        for (first, second), one, other in itertools.product(
            pairs, range(3), range(3)
        ):
            faults = (Fault(first, "kill", one), Fault(second, "kill", other))
            simulate_first_start(faults).check_progress()

    def test_random_faults_found_no_second_system(self) -> None:
        """Guards against two foundings, with three seeds and with five."""
        for number in range(400):
            rng = random.Random(number)
            count = rng.choice((3, 3, 5))
            faults = tuple(
                Fault(
                    rng.randint(1, 80),
                    rng.choice(foundingsim.FAULTS),
                    rng.randrange(count),
                )
                for _ in range(rng.randint(2, 6))
            )
            sim = simulate_first_start(faults, count, seed=number)
            # A seed that is not among the first members counts as lost, too.
            if sim.wiped_count + sim.count_absent_seeds() <= (count - 1) // 2:
                sim.check_progress()

    def test_all_seeds_killed_before_they_wrote_anything(self) -> None:
        """Guards against seeds that wait for ever for a first start.

        No seed knows any more that the system starts for the first time.
        """
        sim = Simulation(3, random.Random(1))
        for host in sim.seeds.values():
            host.start(first=False)
        sim.run(_MAX_RECOVERY_MS)
        sim.check_progress()

    def test_two_of_three_killed_before_they_wrote_anything(self) -> None:
        """Guards against seeds that wait for ever for a first start.

        Only one seed still knows that the system starts for the first time.
        """
        sim = Simulation(3, random.Random(1))
        for number, host in enumerate(sim.seeds.values()):
            host.start(first=number == 0)
        sim.run(_MAX_RECOVERY_MS)
        sim.check_progress()

    def test_third_seed_that_never_starts_is_not_waited_for(self) -> None:
        """Guards against a host that is off and keeps the system down."""
        sim = Simulation(3, random.Random(1))
        sim.seeds["s0"].start(first=True)
        sim.seeds["s2"].start(first=True)
        sim.run(_MAX_RECOVERY_MS)
        self.assertEqual(2, len(sim.founded_members[0].members))
        sim.seeds["s1"].start(first=True)
        sim.run(_MAX_RECOVERY_MS + _SETTLE_MS)
        sim.check_progress()

    def test_seed_that_lost_its_disk_is_no_majority_with_another(self) -> None:
        """Guards against a second system founded with a seed's empty disk."""
        self.assertEqual(1, len(_found_then_wipe_one_founder().founded_members))

    def test_empty_seeds_found_nothing_where_a_system_is_known(self) -> None:
        """Guards against a second system when all seeds lost their disks."""
        sim = Simulation(3, random.Random(1))
        for host in sim.seeds.values():
            host.start(first=False)
        sim.run(1_000)
        founder = sim.seeds["s2"].founder
        assert founder is not None
        founder.group_known()
        sim.run(_MAX_RECOVERY_MS)
        self.assertEqual([], sim.founded_members)

    def test_halves_found_one_system(self) -> None:
        """Guards against a system on each side of a network partition."""
        for isolated in range(3):
            sim = Simulation(3, random.Random(isolated))
            for host in sim.seeds.values():
                host.start(first=True)
            sim.inject("cut", sim.seeds[f"s{isolated}"], 8_000)
            sim.run(7_500)
            self.assertEqual(2, len(sim.founded_members[0].members))
            sim.run(_MAX_RECOVERY_MS)
            sim.check_progress()


class FoundingRulesTest(base.TestCase):
    """Answers of a seed to the other seeds."""

    def _founder(self, *, empty: bool = False) -> Founder:
        record = types.SeedRecord(empty)
        return Founder("n1", "a1", ("a1", "a2", "a3"), record, 0)

    def _prepare(self, **fields: object) -> messages.Prepare:
        fields_with_defaults = {
            "sender": "n2",
            "to": "n1",
            "ballot": messages.Ballot(count=1, node="n2"),
            "seeds": ["a1", "a2", "a3"],
            **fields,
        }
        return messages.Prepare(**fields_with_defaults)  # type: ignore[arg-type]

    def test_message_for_another_identity_is_not_answered(self) -> None:
        """Guards against counting two keepers at one address as one."""
        founder = self._founder()
        founder.step(self._prepare(to="n0"), 10)
        self.assertEqual([], founder.take_output())

    def test_seeds_that_differ_are_not_answered(self) -> None:
        """Guards against majorities counted over different sets of seeds."""
        founder = self._founder()
        founder.step(self._prepare(seeds=["a1", "a2", "a4"]), 10)
        self.assertEqual([], founder.take_output())
        wait_status = founder.wait_status(10)
        self.assertEqual({"a3", "a4"}, set(wait_status.seeds))

    def test_copies_of_one_folder_found_nothing(self) -> None:
        """Guards against two keepers that vote with one identity."""
        founder = self._founder()
        for address in ("a2", "a3"):
            info = types.SeedInfo("n2", address, empty=False)
            founder.handle_seed_info(info, 10)
        self.assertEqual([], founder.take_output())
        self.assertIn("copies", founder.wait_status(10).reason)

    def test_seed_that_is_named_twice_counts_once(self) -> None:
        """Guards against a majority made of one keeper counted twice."""
        seeds = ("a1", "a1", "a2")
        founder = Founder("n1", "a1", seeds, types.SeedRecord(empty=False), 0)
        founder.tick(10_000)
        self.assertEqual([], founder.take_output())
        self.assertEqual(("a2",), founder.wait_status(10_000).seeds)

    def test_promise_is_saved_before_it_is_sent(self) -> None:
        """Guards against a promise that a power loss erases."""
        founder = self._founder()
        founder.step(self._prepare(), 10)
        command_types = [type(command) for command in founder.take_output()]
        self.assertEqual([types.Save, types.Send], command_types)

    def test_earlier_attempt_is_refused_with_the_newer_one(self) -> None:
        """Guards against a delayed message that overrides a promise."""
        founder = self._founder()
        newer = messages.Ballot(count=5, node="n3")
        founder.step(self._prepare(sender="n3", ballot=newer), 10)
        founder.take_output()
        founder.step(self._prepare(), 20)
        (sent,) = founder.take_output()
        assert isinstance(sent, types.Send)
        assert isinstance(sent.message, messages.Promise)
        self.assertEqual(newer, sent.message.ballot)


def _without_disk_loss_flag(
    node: str,
    address: str,
    seeds: tuple[str, ...],
    record: types.SeedRecord,
    now_ms: int,
) -> Founder:
    """Returns a seed that wrongly reports that it kept its disk."""
    wrong_record = dataclasses.replace(record, empty=False)
    return Founder(node, address, seeds, wrong_record, now_ms)


class _IgnoresAcceptedProposals(Founder):
    """Faulty seed whose promises omit the proposal that it has accepted."""

    def _promise(self, to: str) -> messages.Promise:
        promise = super()._promise(to)
        return msgspec.structs.replace(promise, accepted=None)


class _DecidesOnPromises(Founder):
    """Faulty seed that decides once a majority has promised."""

    def _propose(self, attempt: Any, now_ms: int) -> None:
        super()._propose(attempt, now_ms)
        if attempt.members is not None:
            self._out.append(types.Decided(attempt.members))


class MutationTest(base.TestCase):
    """The simulation detects seeds that violate a rule of the agreement."""

    def _finds_violation(self, make_founder: Callable[..., Founder]) -> bool:
        for number in range(3_000):
            rng = random.Random(number)
            faults = tuple(
                Fault(
                    rng.randint(1, 60),
                    rng.choice(foundingsim.FAULTS),
                    rng.randrange(3),
                )
                for _ in range(4)
            )
            try:
                simulate_first_start(
                    faults, seed=number, make_founder=make_founder
                )
            except CheckError:
                return True
        return False

    def test_model_finds_a_lost_disk_that_counts(self) -> None:
        with self.assertRaises(CheckError):
            _found_then_wipe_one_founder(_without_disk_loss_flag)

    def test_model_finds_a_proposal_that_is_forgotten(self) -> None:
        self.assertTrue(self._finds_violation(_IgnoresAcceptedProposals))

    def test_model_finds_members_that_nobody_has_accepted(self) -> None:
        self.assertTrue(self._finds_violation(_DecidesOnPromises))
