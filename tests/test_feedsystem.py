"""Tests feeds of keepers and gateways together, in virtual time.

In each failure a server that drains must be known to each gateway that reaches
a current keeper within 2.5 s, and no gateway may go back to older state.
"""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import msgspec
import testtools

from catkinpin.core import messages
from catkinpin.core.control import protocol
from catkinpin.core.control.servers import ServerState
from catkinpin.core.control.state import SuspectChange
from catkinpin.core.control.stores import Store
from tests.fakes import feedsystem
from tests.fakes.feedsystem import QueueStream, System
from tests.fakes.instances import instance

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.fakes.feedsystem import Gateway, Keeper

_GATEWAYS = 12
_SERVERS = 40
_KNOWN_WITHIN_S = 2.5


class FailureTest(testtools.TestCase):
    """The failures that the design page names."""

    def _check_drain(
        self,
        fail: Callable[[System, float], None],
        *,
        legacy: tuple[str, ...] = (),
        within_s: float = _KNOWN_WITHIN_S,
        reachable: Callable[[Gateway], bool] = lambda _: True,
    ) -> None:
        """Drains servers at several times after a failure.

        Args:
            fail: injects the failure; gets the time since the quiet phase.
            legacy: keepers of the previous release.
            within_s: bound on the time until the gateways know.
            reachable: whether a gateway reaches a current keeper.
        """
        for after_s in (0.0, 0.3, 0.7, 1.2, 2.0, 4.0):
            feedsystem.run_virtual(
                self._drain(fail, after_s, legacy, within_s, reachable)
            )

    async def _drain(
        self,
        fail: Callable[[System, float], None],
        after_s: float,
        legacy: tuple[str, ...],
        within_s: float,
        reachable: Callable[[Gateway], bool],
    ) -> None:
        system = System(legacy)
        system.add_gateways(_GATEWAYS)
        for number in range(_SERVERS):
            system.log.append(instance(f"s{number}"))
        await system.run(7.0)
        feeds = {gateway.selector.feed for gateway in system.gateways}
        self.assertEqual(feeds, set(system.keepers).difference(legacy) or {""})
        self._watch_ages(system)
        # Left before the failure; no gateway may ever list it again.
        system.log.append(instance("s1", state=ServerState.GONE, sequence=2))
        await system.run(0.5)
        fail(system, after_s)
        await system.run(after_s)
        drained = instance("s0", state=ServerState.DRAINING, sequence=2)
        system.log.append(drained)
        await system.run(within_s)
        for gateway in filter(reachable, system.gateways):
            self.assertEqual("draining", gateway.state_of("s0"), after_s)
            self.assertEqual("", gateway.state_of("s1"), after_s)
        await system.run(15.0)
        for gateway in filter(reachable, system.gateways):
            self.assertEqual(_SERVERS - 1, len(gateway.view.fleet.servers))

    def _watch_ages(self, system: System) -> None:
        """Checks at each tick that no server's state becomes older."""
        newest: dict[tuple[str, str], int] = {}

        def check() -> None:
            for gateway in system.gateways:
                for server in gateway.view.fleet.servers.values():
                    key = (gateway.name, server.id)
                    last = newest.get(key, 0)
                    self.assertGreaterEqual(server.sequence, last)
                    newest[key] = server.sequence

        system.on_tick = check

    def test_killed_keeper_costs_little(self) -> None:
        """Guards against a timeout after the usual failure."""

        def fail(system: System, _: float) -> None:
            system.keepers["k1"].is_up = False

        self._check_drain(fail, within_s=0.3)

    def test_frozen_keeper(self) -> None:
        """Guards against waiting for a keeper whose streams stay open."""

        def fail(system: System, _: float) -> None:
            system.keepers["k1"].is_frozen = True

        self._check_drain(fail)

    def test_keeper_cut_off_from_its_group(self) -> None:
        """Guards against a live feed without new changes."""

        def fail(system: System, _: float) -> None:
            system.keepers["k1"].is_cut_off = True

        self._check_drain(fail)

    def test_keeper_cut_off_from_gateways(self) -> None:
        """Guards against a feed whose packets get lost."""

        def fail(system: System, _: float) -> None:
            system.is_cut = lambda _, keeper: keeper.address == "k1"

        self._check_drain(fail)

    def test_keeper_restarted_with_an_empty_disk(self) -> None:
        """Guards against servers that return from the replayed log."""

        def fail(system: System, _: float) -> None:
            keeper = system.keepers["k1"]
            keeper.restart()
            for gateway in system.gateways:
                gateway.links["k1"].disconnect()

        self._check_drain(fail)

    def test_slow_keeper(self) -> None:
        """Guards against a feed that arrives regularly, but ever later."""

        def fail(system: System, _: float) -> None:
            keeper, check = system.keepers["k1"], system.on_tick
            ticks = itertools.count()

            def slow_down() -> None:
                check()
                keeper.delay_ticks = min(40, next(ticks) // 2)

            system.on_tick = slow_down

        self._check_drain(fail)

    def test_regions_cut_off_from_each_other(self) -> None:
        """Guards against gateways of the majority that lose their feed.

        Gateways of the other region reach no keeper that knows of the change;
        they must learn of it once the regions are connected again.
        """

        def fail(system: System, _: float) -> None:
            system.is_cut = lambda g, keeper: g.region != keeper.region
            for name in ("k4", "k5"):
                system.keepers[name].is_cut_off = True

        self._check_drain(fail, reachable=lambda g: g.region == "a")

        async def heal() -> None:
            system = System()
            system.add_gateways(_GATEWAYS)
            system.log.append(instance("s0"))
            await system.run(7.0)
            fail(system, 0.0)
            drained = instance("s0", state=ServerState.DRAINING, sequence=2)
            system.log.append(drained)
            await system.run(5.0)
            for name in ("k4", "k5"):
                system.keepers[name].is_cut_off = False
            system.is_cut = lambda _g, _k: False
            await system.run(_KNOWN_WITHIN_S)
            for gateway in system.gateways:
                self.assertEqual("draining", gateway.state_of("s0"))

        feedsystem.run_virtual(heal())

    def test_own_keepers_cut_off_from_the_group_only(self) -> None:
        """Guards against staying in a region whose keepers know nothing."""

        def fail(system: System, _: float) -> None:
            for name in ("k4", "k5"):
                system.keepers[name].is_cut_off = True

        self._check_drain(fail)

    def test_all_keepers_of_a_region_gone(self) -> None:
        """Guards against gateways that use no keeper of another region."""

        def kill(system: System, _: float) -> None:
            for name in ("k4", "k5"):
                system.keepers[name].is_up = False

        def freeze(system: System, _: float) -> None:
            for name in ("k4", "k5"):
                system.keepers[name].is_frozen = True

        self._check_drain(kill, within_s=0.3)
        self._check_drain(freeze)

    def test_keepers_of_the_previous_release(self) -> None:
        """Guards against messages that an old keeper can't decode.

        The fake of such a keeper fails if it gets any message.
        """
        self._check_drain(lambda _s, _t: None, legacy=("k1", "k4"))
        every = ("k1", "k2", "k3", "k4", "k5")
        self._check_drain(lambda _s, _t: None, legacy=every, within_s=0.3)


class TrafficTest(testtools.TestCase):
    """What keepers send."""

    async def _start(self, gateways: int, servers: int) -> System:
        """Returns a system whose servers announce themselves at once."""
        system = System()
        system.add_gateways(gateways)

        await system.run(0.3)
        for number in range(servers):
            system.log.append(instance(f"s{number}"))
        await system.run(1.0)
        return system

    def _byte_count(self, system: System) -> int:
        return sum(
            link.stream.byte_count
            for gateway in system.gateways
            for link in gateway.links.values()
            if link.stream
        )

    @feedsystem.in_virtual_time
    async def test_servers_that_start_are_sent_once_to_each_gateway(
        self,
    ) -> None:
        """Guards against five copies of each change for each gateway."""
        system = await self._start(20, 500)
        one_copy = len(msgspec.msgpack.encode(system.log)) * 20
        self.assertLess(self._byte_count(system), 1.2 * one_copy)
        for gateway in system.gateways:
            self.assertEqual(500, len(gateway.view.fleet.servers))

    @feedsystem.in_virtual_time
    async def test_former_feed_ends_after_a_failover(self) -> None:
        """Guards against gateways that collect feeds with each failover."""
        system = await self._start(20, 5)
        system.keepers["k1"].is_cut_off = True
        await system.run(3.0)
        system.keepers["k1"].is_cut_off = False
        await system.run(7.0)
        subscribers = [
            len(keeper.publisher._subscribers)
            for keeper in system.keepers.values()
        ]
        self.assertGreater(subscribers[0], 0)
        self.assertEqual(20, sum(subscribers))

    @feedsystem.in_virtual_time
    async def test_quiet_system_sends_next_to_nothing(self) -> None:
        """Guards against traffic when nothing changes."""
        system = await self._start(20, 500)
        # Gateways that started with another keeper take their preferred one.
        await system.run(6.0)
        before = self._byte_count(system)
        await system.run(10.0)
        per_gateway_s = (self._byte_count(system) - before) / 20 / 10
        self.assertLess(per_gateway_s, 150)

    @feedsystem.in_virtual_time
    async def test_stream_to_another_keeper_costs_a_few_hundred_bytes(
        self,
    ) -> None:
        """Guards against all servers at each of many reconnections."""
        system = await self._start(4, 500)
        stream = QueueStream(system.gateways[0].hello)
        system.keepers["k1"].connect(stream)
        self._add_stores(system.keepers["k1"])
        stream.read()
        self.assertLess(stream.byte_count, 400)
        system.keepers["k1"].publisher.publish_status()
        stream.read()
        self.assertLess(stream.byte_count, 700)

    @feedsystem.in_virtual_time
    async def test_slow_gateway_gets_no_state_while_it_lacks_changes(
        self,
    ) -> None:
        """Guards against a feed that seems complete and lacks changes."""
        system = await self._start(4, 1)
        publisher = system.keepers["k2"].publisher
        stream = QueueStream(system.gateways[0].hello)
        system.keepers["k2"].connect(stream)
        publisher.subscribe(stream, active=True)
        stream.read()
        for _ in range(64):
            publisher.publish_suspects(
                SuspectChange([], [], [], []), is_leader=False
            )
        publisher.publish_feed_state()
        types = {type(message) for message in stream.read()}
        self.assertNotIn(protocol.FeedState, types)
        publisher.send_to_slow_gateways()
        publisher.publish_feed_state()
        types = {type(message) for message in stream.read()}
        self.assertEqual({protocol.AllServers, protocol.FeedState}, types)

    @feedsystem.in_virtual_time
    async def test_new_store_is_known_from_the_feed(self) -> None:
        """Guards against a store of which only the leader's gateways hear.

        A gateway may subscribe before its keeper has applied a registration.
        """
        system = await self._start(4, 1)
        keeper = system.keepers["k2"]
        subscriber = QueueStream(system.gateways[0].hello)
        other = QueueStream(system.gateways[0].hello)
        for stream in (subscriber, other):
            keeper.connect(stream)
        keeper.publisher.subscribe(subscriber, active=True)
        keeper.publisher.publish_changed_info()
        for stream in (subscriber, other):
            stream.read()
        self._add_stores(keeper)
        keeper.publisher.publish_changed_info()
        known = [stream.read()[0].known for stream in (subscriber, other)]
        self.assertEqual([65, 5], [len(addresses) for addresses in known])
        keeper.publisher.publish_changed_info()
        self.assertEqual([], subscriber.read())

    def _add_stores(self, keeper: Keeper) -> None:
        for number in range(60):
            store = Store(
                node=f"{number:032x}",
                name=f"store-{number}",
                address=f"10.0.0.{number}:7160",
                domain="a",
                region="a",
            )
            keeper.state.stores.register(store)

    @feedsystem.in_virtual_time
    async def test_gateway_of_the_previous_release_gets_what_it_knows(
        self,
    ) -> None:
        """Guards against messages that an old gateway can't decode."""
        system = await self._start(4, 50)
        hello = messages.Hello(
            process="old",
            incarnation="1",
            role="gateway",
            address="",
            domain="a",
            region="a",
        )
        for keeper in system.keepers.values():
            stream = QueueStream(hello)
            keeper.connect(stream)
            keeper.publisher.publish_feed_state()
            keeper.publisher.publish_unresponsive(["s1"])
            kinds = [type(message) for message in stream.read()]
            self.assertEqual(
                [
                    protocol.HostInfo,
                    protocol.RoutingUpdate,
                    protocol.AllServers,
                    protocol.QuarantineUpdate,
                    protocol.UnresponsiveUpdate,
                ],
                kinds,
            )

    @feedsystem.in_virtual_time
    async def test_leaders_unresponsive_servers_reach_other_subscribers(
        self,
    ) -> None:
        """Guards against servers known as unresponsive to few gateways.

        Only the leader knows them; most gateways subscribe to other keepers.
        """
        system = await self._start(4, 1)
        leader, other = system.keepers["k1"], system.keepers["k2"]
        hello = msgspec.structs.replace(system.gateways[0].hello, role="keeper")
        between = QueueStream(hello)
        leader.streams.add(between)
        leader.publisher.publish_unresponsive(["s0"])
        (update,) = between.read()
        subscriber = QueueStream(system.gateways[0].hello)
        other.connect(subscriber)
        other.publisher.subscribe(subscriber, active=True)
        subscriber.read()
        other.publisher.relay(update)
        self.assertEqual([update], subscriber.read())

    @feedsystem.in_virtual_time
    async def test_all_gateways_count_whether_subscribed_or_not(self) -> None:
        """Guards against limits divided by too few gateways."""
        system = await self._start(20, 1)
        for keeper in system.keepers.values():
            self.assertEqual(20, keeper.publisher.gateway_count())

    @feedsystem.in_virtual_time
    async def test_restored_snapshot_removes_servers_that_have_left(
        self,
    ) -> None:
        """Guards against servers that left while their feed was cut off.

        A snapshot does not tell which servers have left since.
        """
        system = await self._start(4, 3)

        for keeper in system.keepers.values():
            keeper.state.fleet.restore([instance("s1")])
            keeper.state.index += 10
            keeper.publisher.replace_feed()
        await system.run(0.2)

        for gateway in system.gateways:
            self.assertEqual(["s1"], list(gateway.view.fleet.servers))
