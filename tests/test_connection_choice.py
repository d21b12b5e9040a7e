"""Tests connections as a part of the choice of a server."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING
from unittest import mock

import testtools

from catkinpin.core.control.routes import RouteKind
from catkinpin.core.placement.balance import Balancer
from catkinpin.core.placement.speeds import Speeds
from catkinpin.core.requests.calls import Load, RouteCall
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


def _run_plain(max_idle_ms: int, *, is_priced: bool) -> LoadResult:
    """Runs 70 gateways and 6 application servers at half of their slots."""
    balancers, servers = _balancers(70), _servers(6, 6)

    def choose(
        gateway: int, now_ms: int, has_idle: Callable[[Instance], bool]
    ) -> Instance:
        choice = balancers[gateway].pick(
            servers,
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


class PlainChoiceTest(testtools.TestCase):
    """Connections in a gateway's choice of an application server."""

    def test_many_gateways_open_few_connections_and_stay_even(self) -> None:
        """Guards against a new connection for every fourth request."""
        before = _run_plain(_SHORT_IDLE_MS, is_priced=False)
        after = _run_plain(_LONG_IDLE_MS, is_priced=True)
        self.assertGreater(before.opened, before.requests.total() / 5)
        self.assertLess(after.opened, after.requests.total() / 15)
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
