"""Tests connections as a part of the choice of a server."""

from __future__ import annotations

import asyncio
import collections
import itertools
import random
from typing import TYPE_CHECKING
from unittest import mock

import testtools
from msgspec import structs

from catkinpin.core.control.routes import RouteKind
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.contention import ContendedServices
from catkinpin.core.placement.placer import Placer, PlaceTurn, TurnReport
from catkinpin.core.placement.speeds import Speeds
from catkinpin.core.placement.subsets import Subsets
from catkinpin.core.placement.usedservers import UsedServers
from catkinpin.core.requests.calls import Load, PromptPart, RouteCall
from tests.fakes.connectionload import LoadResult, run_load
from tests.fakes.gatewayrig import Rig, answer_ok
from tests.fakes.instances import instance

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.control.servers import Instance

_REGIONS = {name: "near" if name in "abc" else "far" for name in "abcdef"}
_CALL = RouteCall(attempt="x")
# Idle times after which a request that must not run twice uses no connection,
# without probes and with them.
_SHORT_IDLE_MS = 1_000
_LONG_IDLE_MS = 9_700


def _servers(count: int, slots: int) -> list[Instance]:
    return [
        instance(f"s{n}", domain="abcdef"[n % 6], slots=slots)
        for n in range(count)
    ]


def _balancers(count: int) -> list[Balancer]:
    return [
        Balancer("abcdef"[n % 6], _REGIONS, random.Random(n), Speeds())
        for n in range(count)
    ]


def _run_plain(
    max_idle_ms: int, *, is_priced: bool, has_subsets: bool = False
) -> LoadResult:
    """Runs 70 gateways and 6 application servers at half of their slots."""
    balancers, servers = _balancers(70), _servers(6, 6)
    subsets = [Subsets(f"g{n}", "abcdef"[n % 6], _REGIONS) for n in range(70)]

    def choose(
        gateway: int, now_ms: int, has_idle: Callable[[Instance], bool]
    ) -> Instance:
        selection = subsets[gateway].select(
            "tools", servers, balancers[gateway], (), now_ms
        )
        choice = balancers[gateway].pick(
            selection.servers if has_subsets else servers,
            _CALL,
            now_ms,
            is_connected=has_idle if is_priced else None,
        )
        assert choice is not None
        balancers[gateway].record_sent(choice.instance, _CALL)
        return choice.instance

    def end(gateway: int, server: Instance, load: Load, now_ms: int) -> None:
        balancers[gateway].record_ended(server)
        balancers[gateway].report_load(server, load, now_ms)

    return run_load(70, 8_000, 3.3, 60, max_idle_ms, choose, end)


def _placer(*, configured: bool) -> Placer:
    contention = ContendedServices(configured=configured)
    return Placer(_REGIONS, random.Random(1), contention)


def _turn(name: str, domain: str) -> PlaceTurn:
    return PlaceTurn(
        service="models",
        domain=domain,
        prompt=[PromptPart(name, 500)],
        max_tokens=300,
        left_ms=3_000,
    )


def _run_turns(max_idle_ms: int, *, configured: bool) -> LoadResult:
    """Runs 50 gateways and 22 model servers at half of their slots."""
    placer = _placer(configured=configured)
    servers = _servers(22, 8)
    numbers = itertools.count()
    running: dict[tuple[int, str], list[str]] = collections.defaultdict(list)

    def choose(
        gateway: int, now_ms: int, has_idle: Callable[[Instance], bool]
    ) -> Instance:
        attempt = f"t{next(numbers)}"
        turn = _turn(attempt, "abcdef"[gateway % 6])
        name = placer.place(attempt, turn, servers, None, now_ms, f"g{gateway}")
        running[gateway, name].append(attempt)
        return servers[int(name[1:])]

    def end(gateway: int, server: Instance, load: Load, now_ms: int) -> None:
        attempt = running[gateway, server.id].pop(0)
        placer.finish(attempt, TurnReport(), now_ms)

    return run_load(50, 4_000, 11.4, 1_000, max_idle_ms, choose, end)


class PlainChoiceTest(testtools.TestCase):
    """Connections in a gateway's choice of an application server."""

    def test_many_gateways_open_few_connections_and_stay_even(self) -> None:
        """Guards against a new connection for every fourth request."""
        before = _run_plain(_SHORT_IDLE_MS, is_priced=False)
        priced = _run_plain(_LONG_IDLE_MS, is_priced=True)
        after = _run_plain(_LONG_IDLE_MS, is_priced=True, has_subsets=True)
        self.assertGreater(before.opened, before.requests.total() / 5)
        self.assertLess(priced.opened, priced.requests.total() / 15)
        self.assertLess(after.opened, priced.opened)
        self.assertLess(after.busiest_share(6), 1.1)

    def test_connection_decides_between_similar_servers_only(self) -> None:
        """Guards against calls that queue to save a connection."""
        servers = _servers(2, 6)
        for running, chosen in ((0, "s0"), (6, "s1")):
            balancer = _balancers(1)[0]
            for number, load in enumerate((running, 0)):
                balancer.report_load(servers[number], Load(load, 0, 6), 0)
            choice = balancer.pick(
                servers, _CALL, 1, is_connected=lambda s: s.id == "s0"
            )
            assert choice is not None
            self.assertEqual(chosen, choice.instance.id)

    def test_price_is_bounded_and_depends_on_the_region(self) -> None:
        """Guards against a price that outweighs a queue at a server."""
        for number, price_ms in enumerate((8, 8, 8, 24, 24, 24)):
            server = [_servers(6, 6)[number]]
            with_price = _balancers(1)[0].pick(
                server, _CALL, 0, is_connected=lambda _: False
            )
            free = _balancers(1)[0].pick(server, _CALL, 0)
            assert with_price is not None and free is not None
            self.assertEqual(price_ms, with_price.cost_ms - free.cost_ms)
            self.assertEqual(price_ms, with_price.connection_ms)

    def test_connections_count_for_contended_services_only(self) -> None:
        """Guards against other choices in deployments that ask for none."""
        rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)
        choices = []

        def pick(*_: object, is_connected: object) -> None:
            choices.append(is_connected is not None)

        async def scenario() -> None:
            await rig.start(answer_ok)
            with mock.patch.object(rig.balancer, "pick", pick):
                await rig.ask("q1", Deadline="1000")
                rig.contention.record_load("s", Load(0, 0, 4, slowdown=1.0))
                await rig.ask("q2", Deadline="1000")
            await rig.stop()

        asyncio.run(scenario())
        self.assertEqual([False, True], choices)


class TurnChoiceTest(testtools.TestCase):
    """Connections in the leader's choice of a model server."""

    def setUp(self) -> None:
        super().setUp()
        self.placer = _placer(configured=True)
        self.servers = _servers(3, 8)

    def _place(self, attempt: str, now_ms: int, gateway: str = "g") -> str:
        return self.placer.place(
            attempt, _turn(attempt, "a"), self.servers, None, now_ms, gateway
        )

    def _end(self, attempt: str, now_ms: int, *failed: str) -> None:
        self.placer.finish(attempt, TurnReport(failed=list(failed)), now_ms)

    def test_many_gateways_open_fewer_connections_and_stay_even(self) -> None:
        """Guards against a choice that ignores the gateways' connections."""
        before = _run_turns(_SHORT_IDLE_MS, configured=False)
        after = _run_turns(_LONG_IDLE_MS, configured=False)
        priced = _run_turns(_LONG_IDLE_MS, configured=True)
        self.assertLess(after.opened, before.opened / 2)
        self.assertLess(priced.opened, after.opened)
        self.assertLess(priced.busiest_share(22), 1.1)

    def test_gateway_returns_to_its_server_for_8_s(self) -> None:
        """Guards against a price for servers with an idle connection."""
        first = self._place("t0", 0)
        self.assertEqual(8.0, self.placer.connection_ms("t0"))
        self._end("t0", 1_000)
        for n in range(1, 9):
            self.assertEqual(first, self._place(f"t{n}", 9_000 * n))
            self.assertEqual(0.0, self.placer.connection_ms(f"t{n}"))
            self._end(f"t{n}", 9_000 * n + 1_000)
        self._place("late", 82_001)
        self.assertEqual(8.0, self.placer.connection_ms("late"))

    def test_used_server_is_found_among_thousands(self) -> None:
        """Guards against a sample of servers that leaves out the used ones."""
        self.servers = _servers(2_400, 8)
        first = self._place("t0", 0)
        self._end("t0", 10)
        for n in range(1, 10):
            self.assertEqual(first, self._place(f"t{n}", 100 * n))
            self._end(f"t{n}", 100 * n + 50)
        server = self.servers[int(first[1:])]
        self.placer._balancer.record_failure(server, 2_000, immediate=True)
        self.assertNotEqual(first, self._place("late", 2_001))

    def test_failed_and_restarted_servers_have_no_connection(self) -> None:
        """Guards against assuming connections that have broken."""
        first = self._place("t0", 0)
        self._end("t0", 10, first)
        self.servers = [s for s in self.servers if s.id == first]
        self._place("t1", 5_000)
        self.assertEqual(8.0, self.placer.connection_ms("t1"))
        self._end("t1", 5_100)
        self.servers = [structs.replace(self.servers[0], started_ms=9)]
        self._place("t2", 5_200)
        self.assertEqual(8.0, self.placer.connection_ms("t2"))

    def test_unknown_gateway_and_new_leader_pay_no_false_price(self) -> None:
        """Guards against choices by connections that nobody knows."""
        self._place("t0", 0, gateway="")
        self.assertIsNone(self.placer.connection_ms("t0"))
        self._place("t1", 0)
        self.placer.reset()
        self._place("t2", 10)
        self.assertEqual(8.0, self.placer.connection_ms("t2"))
        placer = _placer(configured=False)
        placer.place("t", _turn("t", "a"), self.servers, None, 0, "g")
        self.assertIsNone(placer.connection_ms("t"))

    def test_pairs_are_bounded_and_only_recent_ones_kept(self) -> None:
        """Guards against 984,000 pairs of gateways and servers in memory."""
        used = UsedServers()
        server = self.servers[0]
        for n in range(60_000):
            used.record_use(f"g{n}", server, 0)
        self.assertEqual(50_000, len(used))
        rng = random.Random(1)
        last: dict[int, int] = {}
        for now_ms in range(9_000, 60_000, 100):
            gateway = rng.randrange(100)
            used.record_use(f"g{gateway}", server, now_ms)
            last[gateway] = now_ms
            recent = [n for n, at in last.items() if at >= now_ms - 8_000]
            self.assertEqual(len(recent), len(used))
            for n in range(100):
                is_used = used.used_by(f"g{n}", now_ms)(server)
                self.assertEqual(n in recent, is_used)
                ids = used.ids_used_by(f"g{n}", now_ms)
                self.assertEqual({server.id} if is_used else set(), ids)
