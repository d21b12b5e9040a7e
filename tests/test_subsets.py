"""Tests the subset of application servers that a gateway uses first."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec
import testtools

from catkinpin.core.control.routes import RouteKind
from catkinpin.core.control.servers import ServerState
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.speeds import Speeds
from catkinpin.core.placement.subsets import Selection, Subsets, subset_of
from catkinpin.core.requests.calls import Load, RouteCall
from tests.fakes.gatewayrig import Rig, answer_ok
from tests.fakes.instances import instance

if TYPE_CHECKING:
    from catkinpin.core.control.servers import Instance

_REGIONS = {name: "near" if name in "abc" else "far" for name in "abcdef"}


def _servers(count: int, domains: str = "abcdef") -> list[Instance]:
    return [
        instance(f"s{n}", domain=domains[n % len(domains)], slots=6)
        for n in range(count)
    ]


class SubsetOfTest(testtools.TestCase):
    """Which servers are in a subset."""

    def test_size_region_and_domains_hold_for_any_servers(self) -> None:
        """Guards against subsets that one failure domain can take away."""
        rng = random.Random(1)
        for _ in range(300):
            count = rng.randint(1, 40)
            servers = _servers(count)
            rng.shuffle(servers)
            domain = rng.choice("abcdef")
            names = subset_of(f"g{rng.random()}", domain, _REGIONS, servers)
            size = min(count, max(3, (count + 1) // 2))
            self.assertEqual(size, len(set(names)))
            domains = {s.domain for s in servers if s.id in names}
            self.assertGreaterEqual(len(domains), min(count, 3))
            near = [
                s for s in servers if _REGIONS[s.domain] == _REGIONS[domain]
            ]
            used = [s for s in near if s.id in names]
            self.assertEqual(min(size, len(near)), len(used))

    def test_order_and_other_gateways_do_not_matter(self) -> None:
        """Guards against subsets that move with each announcement."""
        servers = _servers(12)
        names = subset_of("g", "a", _REGIONS, servers)
        self.assertEqual(names, subset_of("g", "a", _REGIONS, servers[::-1]))

    def test_one_server_more_or_less_changes_few_others(self) -> None:
        """Guards against reconnecting to all servers as one is replaced."""
        for count in range(2, 30):
            for gateway in range(10):
                servers = _servers(count)
                before = set(subset_of(f"g{gateway}", "a", _REGIONS, servers))
                after = set(
                    subset_of(f"g{gateway}", "a", _REGIONS, servers[1:])
                )
                self.assertLessEqual(len(after - before), 2)
                self.assertLessEqual(len(before - after), 2)

    def test_gateways_spread_over_the_servers_of_one_region(self) -> None:
        """Guards against gateways that all choose the same subset."""
        counts = dict.fromkeys((f"s{n}" for n in range(12)), 0)
        for gateway in range(400):
            for name in subset_of(f"g{gateway}", "a", {}, _servers(12)):
                counts[name] += 1
        self.assertLess(max(counts.values()), 1.2 * 200)
        self.assertGreater(min(counts.values()), 200 / 1.2)


class _CountedId(str):
    """A server's ID that counts its comparisons with others."""

    __slots__ = ()
    comparisons = 0
    __hash__ = str.__hash__

    def __eq__(self, other: object) -> bool:
        _CountedId.comparisons += 1
        return str.__eq__(self, other)


class SubsetsTest(testtools.TestCase):
    """When the servers outside the subset are used."""

    def setUp(self) -> None:
        super().setUp()
        self.servers = _servers(6)
        self.balancer = Balancer("a", _REGIONS, random.Random(1), Speeds())
        self.subsets = Subsets("g", "a", _REGIONS)
        self.near = ["s0", "s1", "s2"]

    def _select(
        self, now_ms: int = 0, tried: tuple[str, ...] = ()
    ) -> Selection:
        return self.subsets.select(
            "tools", self.servers, self.balancer, tried, now_ms
        )

    def _used(self, now_ms: int = 0, tried: tuple[str, ...] = ()) -> int:
        return len(self._select(now_ms, tried).servers)

    def test_subset_is_used_until_half_of_its_slots_are(self) -> None:
        """Guards against queues in the subset while other servers are idle."""
        for running, expected in ((0, 3), (2, 3), (3, 6), (20, 6), (1, 3)):
            for name in self.near:
                server = self.servers[int(name[1:])]
                self.balancer.report_load(server, Load(running, 0, 6), 0)
            self.assertEqual(expected, self._used())

    def test_ejected_failing_and_tried_servers_count_as_used(self) -> None:
        """Guards against a gateway that is left with failing servers."""
        self.balancer.record_failure(self.servers[0], 0, immediate=True)
        self.balancer.record_failure(self.servers[1], 0, immediate=False)
        self.assertEqual(6, self._used(10))
        self.assertEqual(3, self._used(3_010))
        self.balancer.record_failure(self.servers[0], 5_000, immediate=True)
        self.assertEqual(3, self._used(5_010))
        self.assertEqual(6, self._used(5_010, tried=("s2",)))

    def test_server_that_drains_is_replaced(self) -> None:
        """Guards against a subset of servers that take no requests."""
        self.assertTrue(self._select().is_new)
        self.assertFalse(self._select().is_new)
        self.servers[1] = instance(
            "s1", domain="b", slots=6, state=ServerState.DRAINING
        )
        selection = self._select()
        self.assertTrue(selection.is_new)
        self.assertNotIn("s1", selection.subset)
        self.assertEqual(3, len(selection.subset))

    def test_few_servers_are_all_used(self) -> None:
        """Guards against leaving out servers of a small service."""
        self.servers = _servers(3)
        self.assertEqual(Selection(self.servers), self._select())

    def test_work_grows_linearly_with_the_servers(self) -> None:
        """Guards against requests that compare each server with each other."""
        self.servers = [
            msgspec.structs.replace(server, id=_CountedId(server.id))
            for server in _servers(200)
        ]
        self._select()
        _CountedId.comparisons = 0
        self.assertEqual(100, len(self._select().servers))
        self.assertLess(_CountedId.comparisons, 10 * 200)

    def test_a_choice_is_made_whatever_fails(self) -> None:
        """Guards against requests that find no server in the subset."""
        rng = random.Random(1)
        call = RouteCall(attempt="x")
        for now_ms in range(0, 100_000, 500):
            server = rng.choice(self.servers)
            self.balancer.record_failure(server, now_ms, immediate=True)
            tried = tuple(s.id for s in self.servers if rng.random() < 0.4)
            candidates = self._select(now_ms, tried).servers
            choice = self.balancer.pick(candidates, call, now_ms, tried)
            self.assertEqual(len(tried) < 6, choice is not None)


class GatewaySubsetTest(testtools.TestCase):
    """Subsets of a gateway."""

    def test_only_contended_services_are_limited(self) -> None:
        """Guards against subsets in deployments that ask for none."""

        async def scenario() -> None:
            rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)
            await rig.start(*[answer_ok] * 6)
            for number in range(40):
                await rig.ask(f"a{number}", Deadline="1000")
            everywhere = [len(server.requests) for server in rig.servers]
            self.assertNotIn(0, everywhere)
            rig.contention.record_load("s", Load(0, 0, 4, slowdown=1.0))
            for number in range(40):
                await rig.ask(f"b{number}", Deadline="1000")
            used = [
                server
                for server, before in zip(rig.servers, everywhere, strict=True)
                if len(server.requests) > before
            ]
            self.assertLessEqual(len(used), 3)
            await rig.stop()

        asyncio.run(scenario())
