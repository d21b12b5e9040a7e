"""Storing the bytes of turns while a holder is slow, without a network."""

from __future__ import annotations

import asyncio
import random
import types
from typing import TYPE_CHECKING, Any, cast

from catkinpin.adapters.gateway.turnresults import TurnResult
from catkinpin.adapters.gateway.turns import TurnClient
from catkinpin.adapters.gateway.turnstorage import TurnStorage
from catkinpin.adapters.tasks import BackgroundTasks
from catkinpin.core import tolerance
from catkinpin.core.control import copies, protocol
from catkinpin.core.requests.calls import RouteCall
from catkinpin.core.tolerance import Tolerance, tolerance_of
from catkinpin.exceptions import PeerLostError
from tests import base

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.peers.keepers import Keepers

# Well below the time after which a turn asks another holder.
_MAX_FAST_STORE_S = 0.1


def _info(name: str, domain: str, region: str) -> protocol.HostInfo:
    return protocol.HostInfo(
        node=name,
        address=f"{name}:1",
        domain=domain,
        region=region,
        known=[],
        leader="",
        term=1,
    )


class _FakeHolders:
    """Fakes the links to keepers and stores; the slow holder never answers."""

    leader = ""
    retiring: frozenset[str] = frozenset()

    def __init__(self, slow: str) -> None:
        self._slow = slow
        self.asked: list[str] = []

    def connected(self) -> list[Any]:
        return [self._host(name) for name in ("a", "b", "c")]

    def _host(self, name: str) -> Any:
        return types.SimpleNamespace(info=_info(name, name, "r"))

    async def ask(
        self, host: Any, make: Callable[[int], Any], wait_s: float
    ) -> Any:
        self.asked.append(host.info.node)
        if host.info.node == self._slow:
            await asyncio.sleep(wait_s)
        return protocol.Done(ask=1)

    async def ask_leader(
        self, make: Callable[[int], Any], wait_s: float
    ) -> Any:
        return protocol.Done(ask=1)


class _DrawnHolders(_FakeHolders):
    """Hosts in drawn places, some of which refuse or never answer.

    Attributes:
        answering: the hosts that store what they are sent, by identity.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__("")
        regions = rng.randint(1, 2)
        domains = {f"d{n}": f"r{rng.randrange(regions)}" for n in range(4)}
        self._infos = []
        for number in range(rng.randint(3, 8)):
            domain = rng.choice(list(domains))
            self._infos.append(_info(f"h{number}", domain, domains[domain]))
        self._refusing = {i.node for i in self._infos if rng.random() < 0.2}
        self._silent = {i.node for i in self._infos if rng.random() < 0.1}
        # These answer the first time after a while only.
        self._late = {i.node for i in self._infos if rng.random() < 0.5}
        self.answering = {
            info.node: copies.holder_of(info)
            for info in self._infos
            if info.node not in self._refusing | self._silent
        }

    def connected(self) -> list[Any]:
        return [types.SimpleNamespace(info=info) for info in self._infos]

    async def ask(
        self, host: Any, make: Callable[[int], Any], wait_s: float
    ) -> Any:
        node = host.info.node
        if node in self._silent:
            await asyncio.sleep(wait_s)
        if node in self._late:
            self._late.remove(node)
            await asyncio.sleep(2 * _MAX_FAST_STORE_S)
        if node in self._silent | self._refusing:
            raise PeerLostError("no answer")
        return protocol.Done(ask=1)


class PlacesTest(base.TestCase):
    """Hosts of several failure domains and regions, some out of order."""

    def test_copies_are_as_spread_as_the_hosts_that_answer(self) -> None:
        """Guards against giving up a place since its first host failed."""

        async def check(seed: int) -> None:
            rng = random.Random(seed)
            holders = _DrawnHolders(rng)
            tolerated = tolerance_of(
                hosts=1, domains=rng.randint(0, 2), regions=rng.randint(0, 1)
            )
            tasks = BackgroundTasks()
            storage = TurnStorage(
                cast("Keepers", holders), "r0", tasks, tolerated
            )
            # Hosts that are late for the first turn are ranked last then.
            await storage.store("t0", b"bytes")
            stored = await storage.store("t1", b"bytes")
            answering = holders.answering
            if len(answering) < tolerated.copies:
                self.assertEqual([], stored)
                return
            self.assertTrue(
                tolerance.are_enough_copies(
                    [answering[node] for node in stored],
                    answering.values(),
                    tolerated,
                ),
                f"seed {seed}: {stored} of {answering}",
            )

        async def main() -> None:
            await asyncio.gather(*(check(seed) for seed in range(300)))

        self.run_async(main())


class SlowPlaceTest(base.TestCase):
    """All hosts of the gateway's region were slow lately."""

    def test_slow_region_does_not_get_all_copies(self) -> None:
        """Guards against a slow host whose place counts as not covered."""

        class Holders(_FakeHolders):
            is_late = True

            def connected(self) -> list[Any]:
                return [
                    types.SimpleNamespace(info=_info(name, name[0], name[0]))
                    for name in ("a1", "a2", "b1")
                ]

            async def ask(
                self, host: Any, make: Callable[[int], Any], wait_s: float
            ) -> Any:
                if self.is_late:
                    await asyncio.sleep(4 * _MAX_FAST_STORE_S)
                return protocol.Done(ask=1)

        async def main() -> None:
            holders = Holders("")
            storage = TurnStorage(
                cast("Keepers", holders),
                "a",
                BackgroundTasks(),
                Tolerance(hosts=1, domains=1),
            )
            await storage.store("t0", b"bytes")
            holders.is_late = False
            for number in range(4):
                stored = await storage.store(f"t{number}", b"bytes")
                self.assertEqual({"a", "b"}, {node[0] for node in stored})

        self.run_async(main())


class SlowHolderTest(base.TestCase):
    """One of three holders has a disk that hangs."""

    def test_only_one_turn_waits_for_a_slow_holder(self) -> None:
        """Guards against turns that all wait for the same slow holder.

        A store's disk is slow for some seconds. Two of three turns have a copy
        there; each would end 150 ms later until the disk recovers, at the
        expense of its program's slack.
        """

        async def main() -> None:
            holders = _FakeHolders("b")
            turns = TurnClient(
                cast("Keepers", holders), "r", 1_000, Tolerance(hosts=1)
            )
            loop = asyncio.get_running_loop()
            slow_count = 0
            for number in range(9):
                call = RouteCall(attempt=f"t{number}", program="p")
                began_s = loop.time()
                error = await turns.finish(call, b"bytes", TurnResult(1, "s"))
                self.assertEqual("", error)
                slow_count += loop.time() - began_s > _MAX_FAST_STORE_S
            self.assertEqual(1, slow_count)
            self.assertEqual(1, holders.asked.count("b"))

        self.run_async(main())
