"""Where copies of turns and voters must be, on layouts drawn by lot."""

from __future__ import annotations

import itertools
import random
from typing import TYPE_CHECKING

import testtools

from catkinpin.core import tolerance
from catkinpin.core.control import copies
from catkinpin.core.control.copies import Holder
from catkinpin.core.control.turnrecords import Turn
from catkinpin.core.tolerance import Loss, Tolerance, tolerance_of

if TYPE_CHECKING:
    from collections.abc import Collection, Iterator

_LAYOUTS = 300
_TURNS = 4
_MAX_ROUNDS = 20


def _draw_hosts(rng: random.Random) -> list[Holder]:
    """Returns one to eight hosts in up to five domains of up to three regions.

    Hosts of a domain are in one region.
    """
    regions = rng.randint(1, 3)
    domains = [
        (f"d{number}", f"r{rng.randrange(regions)}")
        for number in range(rng.randint(1, 5))
    ]
    hosts = []
    for number in range(rng.randint(1, 8)):
        domain, region = rng.choice(domains)
        hosts.append(Holder(f"h{number}", f"h{number}:1", region, domain))
    return hosts


def _draw_tolerance(rng: random.Random) -> Tolerance:
    return tolerance_of(
        hosts=rng.randint(1, 2),
        domains=rng.randint(0, 2),
        regions=rng.randint(0, 1),
    )


def _place(host: tolerance.Located, loss: Loss) -> str:
    fields = {
        Loss.HOSTS: host.node,
        Loss.DOMAINS: host.domain,
        Loss.REGIONS: host.region,
    }
    return fields[loss]


def _losses(
    hosts: Collection[tolerance.Located], loss: Loss, limit: int
) -> Iterator[set[str]]:
    """Yields the hosts that each tolerated loss of one kind takes."""
    places = sorted({_place(host, loss) for host in hosts})
    for lost in itertools.combinations(places, min(limit, len(places))):
        yield {host.node for host in hosts if _place(host, loss) in lost}


def _survives(
    nodes: Collection[str], hosts: Collection[Holder], loss: Loss, limit: int
) -> bool:
    """Returns whether one of `nodes` remains after each loss."""
    return all(set(nodes) - lost for lost in _losses(hosts, loss, limit))


def _majority_survives(
    nodes: Collection[str], hosts: Collection[Holder], loss: Loss, limit: int
) -> bool:
    return all(
        len(set(nodes) - lost) > len(nodes) // 2
        for lost in _losses(hosts, loss, limit)
    )


class CopiesTest(testtools.TestCase):
    """Copies of turns after any loss that is tolerated."""

    def _check(
        self,
        turns: list[Turn],
        hosts: list[Holder],
        tolerated: Tolerance,
    ) -> None:
        """Checks that turns survive whatever all hosts together do."""
        for loss, limit in tolerated.limits:
            everywhere = [host.node for host in hosts]
            if not _survives(everywhere, hosts, loss, limit):
                unkept = tolerance.unkept_by_copies(hosts, tolerated)
                self.assertIn(loss, unkept)
                continue
            for turn in turns:
                self.assertTrue(
                    _survives(turn.holders, hosts, loss, limit),
                    f"{turn.holders} of {hosts} lose {limit} {loss}",
                )

    def _repair(
        self,
        turns: list[Turn],
        counted: list[Holder],
        reachable: list[Holder],
        tolerated: Tolerance,
    ) -> None:
        """Carries out plans until none is left."""
        places = {host.node: host for host in counted}
        for _ in range(_MAX_ROUNDS):
            plan = copies.plan(turns, places, reachable, tolerated)
            if not plan:
                return
            for batch in plan:
                for turn in turns:
                    if turn.attempt in batch.attempts:
                        turn.holders = [
                            *batch.counted_holders,
                            batch.target.node,
                        ]
        self.fail("the repair goes on for ever")

    def test_first_copies_survive_each_tolerated_loss(self) -> None:
        """Guards against copies that the loss of one place takes together."""
        for seed in range(_LAYOUTS):
            rng = random.Random(seed)
            hosts = _draw_hosts(rng)
            tolerated = _draw_tolerance(rng)
            region = rng.choice(hosts).region
            slow = {host.node for host in hosts if rng.random() < 0.2}
            ranked = copies.rank_hosts(
                hosts, region, hosts[0].address, seed, slow
            )
            selected = tolerance.select_holders(ranked, tolerated)
            turn = _turn(0, [host.node for host in selected])
            self.assertEqual(len(selected), len(set(turn.holders)))
            self._check([turn], hosts, tolerated)

    def test_repair_survives_each_tolerated_loss(self) -> None:
        """Guards against a repair that counts copies and not their places.

        Turns are stored under other settings at first; then hosts are lost,
        emptied and come back.
        """
        for seed in range(_LAYOUTS):
            rng = random.Random(seed)
            hosts = _draw_hosts(rng)
            turns = [
                _turn(
                    n, [h.node for h in rng.sample(hosts, min(2, len(hosts)))]
                )
                for n in range(_TURNS)
            ]
            for _ in range(4):
                tolerated = _draw_tolerance(rng)
                kept = [h for h in hosts if rng.random() < 0.7]
                is_readable = all(
                    {h.node for h in kept} & set(turn.holders) for turn in turns
                )
                if is_readable:
                    self._repair(turns, kept, kept, tolerated)
                    self._check(turns, kept, tolerated)
                self._repair(turns, hosts, hosts, tolerated)
                self._check(turns, hosts, tolerated)

    def test_hosts_in_one_place_need_no_further_copies(self) -> None:
        """Guards against copies that cost a transfer and help nobody."""
        hosts = [Holder(f"h{n}", f"h{n}:1", "r", "d") for n in range(4)]
        turns = [_turn(1, ["h0", "h1"])]
        places = {host.node: host for host in hosts}
        plan = copies.plan(
            turns, places, hosts, tolerance_of(hosts=1, domains=1, regions=1)
        )
        self.assertEqual([], plan)


class VotersTest(testtools.TestCase):
    """Voters after any loss that is tolerated."""

    def test_majority_survives_each_loss_that_any_voters_survive(self) -> None:
        """Guards against voters of whom one domain or region has too many."""
        for seed in range(_LAYOUTS):
            rng = random.Random(seed)
            hosts = _draw_hosts(rng)
            tolerated = _draw_tolerance(rng)
            present = rng.sample(hosts, rng.randint(1, min(5, len(hosts))))
            selected = tolerance.select_voters(
                present, hosts, set(), tolerated, 5
            )
            nodes = [host.node for host in selected]
            unkept = tolerance.unkept_by_voters(selected, tolerated)
            for loss, limit in tolerated.limits:
                survives = _majority_survives(nodes, hosts, loss, limit)
                self.assertEqual(survives, loss not in unkept, f"{seed} {loss}")
            if unkept:
                self._check_none_is_better(hosts, tolerated, unkept[0], seed)
            again = tolerance.select_voters(
                selected, hosts, set(), tolerated, 5
            )
            self.assertEqual(set(nodes), {host.node for host in again})

    def _check_none_is_better(
        self,
        hosts: list[Holder],
        tolerated: Tolerance,
        unkept: Loss,
        seed: int,
    ) -> None:
        """Checks that no voters survive `unkept` and what comes before it."""
        limits = list(tolerated.limits)
        kinds = [loss for loss, _ in limits]
        limits = limits[: kinds.index(unkept) + 1]
        for size in range(1, len(hosts) + 1):
            for voters in itertools.combinations(hosts, size):
                nodes = [host.node for host in voters]
                self.assertFalse(
                    all(
                        _majority_survives(nodes, hosts, loss, limit)
                        for loss, limit in limits
                    ),
                    f"seed {seed}: {nodes} survive",
                )

    def test_losses_of_hosts_alone_allow_any_five_voters(self) -> None:
        """Guards against voters that change where places don't matter."""
        hosts = [Holder(f"h{n}", f"h{n}:1", "r", "d") for n in range(7)]
        selected = tolerance.select_voters(
            hosts[2:], hosts, set(), Tolerance(hosts=2), 5
        )
        self.assertEqual(hosts[2:], selected)


def _turn(number: int, holders: list[str]) -> Turn:
    return Turn(
        attempt=f"t{number}",
        program="p",
        previous="",
        holders=holders,
        size=1_000,
        until_ms=0,
    )
