"""Losses of stores that follow each other as soon as they may."""

from __future__ import annotations

import asyncio

from tests.fakes.deployment import Deployment
from tests.test_deployment import DeploymentCase

_CATCH_UP_S = 3.0
_SUCCESSOR_AFTER_S = 1.0
_MARGIN_S = 0.3
_TURNS = 40
_TRIES = 20


class ReplacedStoreTest(DeploymentCase):
    """A store is replaced, then another one loses its disk."""

    def test_next_loss_after_the_catch_up_time_loses_nothing(self) -> None:
        """Guards against copies that are made too late for the next loss.

        Turns whose two copies are at both stores would be lost for good.
        """

        async def main() -> None:
            system = Deployment(self.folder)
            system.catch_up_s = _CATCH_UP_S
            async with system:
                self.assertTrue(await system.retry_turn_until_served("first"))
                names = [f"a{number}" for number in range(_TURNS)]
                for name in names:
                    self.assertEqual(200, await system.send_turn(name))
                system.wipe("store-1")
                await asyncio.sleep(_SUCCESSOR_AFTER_S)
                system.add_store("store-3")
                system.start("store-3")
                await asyncio.sleep(_CATCH_UP_S + _MARGIN_S)
                system.wipe("store-2")
                # A restarted gateway has none of the turns in its memory.
                system.kill("gateway-1")
                system.start("gateway-1")
                self.assertTrue(await system.retry_turn_until_served("new"))
                lost = [n for n in names if not await _continue(system, n)]
                self.assertEqual([], lost)

        self.run_async(main())


async def _continue(system: Deployment, name: str) -> bool:
    """Returns whether a turn that continues another one is served."""
    for number in range(_TRIES):
        if await system.send_turn(f"{name}.{number}", name) == 200:
            return True
        await asyncio.sleep(0.05)
    return False
