"""Storing the bytes of turns while a holder is slow, without a network."""

from __future__ import annotations

import asyncio
import types
from typing import TYPE_CHECKING, Any, cast

from catkinpin.adapters.gateway.turns import TurnClient, TurnResult
from catkinpin.core.control import protocol
from catkinpin.core.requests.calls import RouteCall
from catkinpin.core.tolerance import Tolerance
from tests import base

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.peers.keepers import Keepers

# Well below the time after which a turn asks another holder.
_MAX_FAST_STORE_S = 0.1


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
        info = protocol.HostInfo(
            node=name,
            address=f"{name}:1",
            domain=name,
            region="r",
            known=[],
            leader="",
            term=1,
        )
        return types.SimpleNamespace(info=info)

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
