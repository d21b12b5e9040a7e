"""Tests requests of a gateway to the leading keeper, on real sockets."""

from __future__ import annotations

import asyncio
import time
import types
from typing import TYPE_CHECKING, Any
from unittest import mock

from catkinpin.adapters.peers import keepers, links, peerserver
from catkinpin.core import messages
from catkinpin.core.control import protocol
from tests import base
from tests.hellos import GATEWAY_HELLO

if TYPE_CHECKING:
    from collections.abc import Callable

# Well below the timeout of a single request to a keeper.
_MAX_FAILOVER_S = 0.35


class _Keeper:
    """A fake keeper that reports a leader and optionally answers requests."""

    def __init__(self, *, answers: bool) -> None:
        self.ask_count = 0
        # Number of GroupSeen messages received.
        self.group_seen_count = 0
        self.address = ""
        self.leader = ""
        self.term = 1
        self.on_asked: Callable[[], None] = lambda: None
        # Addresses of other keepers that it names.
        self.known: list[str] = []
        self._answers = answers
        self._server = self._new_server()

    def _new_server(self) -> peerserver.PeerServer:
        return peerserver.PeerServer(
            protocol.ToKeeper, self._handle, lambda _: None
        )

    async def start(self) -> None:
        """Starts, again at the address that it had."""
        self._server = self._new_server()
        self.address = await self._server.start(self.address or "127.0.0.1:0")

    async def stop(self) -> None:
        await self._server.stop()

    def send_info(self) -> None:
        info = protocol.HostInfo(
            node=self.address,
            address=self.address,
            domain="a",
            region="a",
            known=self.known,
            leader=self.leader,
            term=self.term,
        )
        for stream in self._server.streams:
            stream.send(info)

    def _handle(self, stream: links.Stream, message: Any) -> None:
        if isinstance(message, messages.Hello):
            self.send_info()
            return
        if isinstance(message, protocol.GroupSeen):
            self.group_seen_count += 1
            return
        self.ask_count += 1
        self.on_asked()
        if self._answers:
            stream.send(protocol.Done(ask=message.ask))


class GroupKnownTest(base.TestCase):
    """A keeper that lost its disk, and a process that knows its group."""

    def test_keeper_without_a_leader_hears_that_there_was_one(self) -> None:
        """Guards against a second system that is founded beside the first.

        A keeper that lost its disk would found a new group if the processes
        that know the existing group did not tell it.
        """

        async def main() -> None:
            old, empty = _Keeper(answers=True), _Keeper(answers=True)
            empty.term = 0
            for keeper in (old, empty):
                await keeper.start()
            old.leader = old.address
            links_to_keepers = keepers.Keepers(GATEWAY_HELLO)
            links_to_keepers.add([old.address])

            async def knows_leader() -> bool:
                return bool(links_to_keepers.leader)

            async def was_told() -> bool:
                return empty.group_seen_count == 1

            await base.until(knows_leader, "a leader is known")
            self.assertEqual(0, old.group_seen_count)
            links_to_keepers.add([empty.address])
            await base.until(was_told, "the keeper is told")
            await links_to_keepers.stop()
            for keeper in (old, empty):
                await keeper.stop()

        self.run_async(main())


class LostKeepersTest(base.TestCase):
    """A process that was cut off from all keepers for a while."""

    def _check_outage(self, away_s: float) -> None:
        """Loses all keepers, a seed and a learned one, and gets them back."""
        shift_s = 0.0
        shifted = types.SimpleNamespace(
            monotonic=lambda: time.monotonic() + shift_s
        )

        async def main() -> None:
            nonlocal shift_s
            seed, learned = _Keeper(answers=True), _Keeper(answers=True)
            for keeper in (seed, learned):
                await keeper.start()
            seed.known = [learned.address]
            links_to_keepers = keepers.Keepers(GATEWAY_HELLO)
            links_to_keepers.add([seed.address])
            for number in range(2):

                async def are_connected() -> bool:
                    return len(links_to_keepers.connected()) == 2

                await base.until(are_connected, "both keepers are connected")
                if number:
                    break
                links_to_keepers.tick()
                for keeper in (seed, learned):
                    await keeper.stop()
                seed.known = []
                await asyncio.sleep(0.2)
                shift_s = away_s
                for _ in range(2):
                    links_to_keepers.tick()
                for keeper in (seed, learned):
                    await keeper.start()
            await links_to_keepers.stop()
            for keeper in (seed, learned):
                await keeper.stop()

        with mock.patch.object(keepers, "time", shifted):
            self.run_async(main())

    def test_new_host_takes_the_room_of_the_one_lost_longest(self) -> None:
        """Guards against hosts that years of replacements leave no room for."""
        shift_s = 0.0
        shifted = types.SimpleNamespace(monotonic=lambda: shift_s)

        async def main() -> None:
            nonlocal shift_s
            links_to_keepers = keepers.Keepers(GATEWAY_HELLO)
            # No process listens on these ports.
            links_to_keepers.set_seeds(["127.0.0.1:1"])
            links_to_keepers.add(["127.0.0.1:2"])
            links_to_keepers.tick()
            self.assertEqual(2, links_to_keepers.host_count())
            shift_s = 31.0
            links_to_keepers.add(["127.0.0.1:3"])
            links_to_keepers.tick()
            links_to_keepers.add(["127.0.0.1:4", "127.0.0.1:5"])
            addresses = sorted(links_to_keepers.addresses())
            self.assertEqual(
                ["127.0.0.1:1", "127.0.0.1:3", "127.0.0.1:4"], addresses
            )
            self.assertEqual(2, links_to_keepers.host_count())
            await links_to_keepers.stop()

        with (
            mock.patch.object(keepers, "time", shifted),
            mock.patch.object(keepers, "_MAX_HOSTS", 3),
        ):
            self.run_async(main())

    def test_keepers_that_were_away_are_found_again(self) -> None:
        """Guards against a process that needs a restart after an outage."""
        for away_s in (36.0, 300.0):
            self._check_outage(away_s)


class LeaderTest(base.TestCase):
    """Leaders that change while a request is pending."""

    def test_ask_to_a_frozen_leader_goes_to_the_next_one(self) -> None:
        """Guards against requests that wait for the reply of a frozen leader.

        The leader's host freezes while requests are pending, and another keeper
        is elected in less than a second. Turns whose requests wait for the
        frozen leader's reply would be delayed by as much time again.
        """

        async def main() -> None:
            frozen, next_leader = _Keeper(answers=False), _Keeper(answers=True)
            await frozen.start()
            await next_leader.start()
            frozen.leader = next_leader.leader = frozen.address

            def elect_next() -> None:
                next_leader.leader = next_leader.address
                next_leader.term = 2
                next_leader.send_info()

            frozen.on_asked = elect_next
            links_to_keepers = keepers.Keepers(GATEWAY_HELLO)
            links_to_keepers.add([frozen.address, next_leader.address])

            async def both_connected() -> bool:
                return len(links_to_keepers.connected()) == 2

            await base.until(both_connected, "both keepers are connected")
            begun_s = time.monotonic()
            reply = await links_to_keepers.ask_leader(
                lambda ask: protocol.AskCurrent(ask=ask), 3.0
            )
            took_s = time.monotonic() - begun_s
            self.assertIsInstance(reply, protocol.Done)
            self.assertEqual((1, 1), (frozen.ask_count, next_leader.ask_count))
            self.assertLess(took_s, _MAX_FAILOVER_S)
            await links_to_keepers.stop()
            await frozen.stop()
            await next_leader.stop()

        self.run_async(main())


class DisconnectTest(base.TestCase):
    """Keepers that are killed."""

    def test_loss_of_a_keeper_is_reported_at_once_and_once(self) -> None:
        """Guards against a feed that waits for a keeper which is gone."""

        async def main() -> None:
            keeper = _Keeper(answers=True)
            await keeper.start()
            lost: list[str] = []
            links_to_keepers = keepers.Keepers(
                GATEWAY_HELLO,
                on_disconnected=lambda host: lost.append(host.link.address),
            )
            links_to_keepers.add([keeper.address])

            async def is_connected() -> bool:
                return bool(links_to_keepers.connected())

            async def is_lost() -> bool:
                return bool(lost)

            await base.until(is_connected, "the keeper is connected")
            await keeper.stop()
            await base.until(is_lost, "the loss is known", _MAX_FAILOVER_S)
            # Attempts to connect again fail, but there is nothing to lose.
            await asyncio.sleep(_MAX_FAILOVER_S)
            self.assertEqual([keeper.address], lost)
            await links_to_keepers.stop()

        self.run_async(main())
