"""Turns whose ancestors would expire while their programs still need them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.test_deployment import DeploymentCase

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment

_RETAIN_S = 2.0
# Pause between the two events of a turn that ends after the retention.
_LONG_GAP_S = 1.0
_HISTORY = b"<a>a-1\na-2\n<b>b-1\nb-2\n"


async def _begin_late_turn(system: Deployment) -> asyncio.Task[int]:
    """Begins turn "c" shortly before the turns that it continues expire."""
    assert await system.send_manifest(retain_s=_RETAIN_S)
    assert await system.send_turn("a") == 200
    assert await system.send_turn("b", "a") == 200
    await asyncio.sleep(_RETAIN_S * 0.8)
    system.chunk_gap_s = _LONG_GAP_S
    turn = asyncio.ensure_future(system.send_turn("c", "b"))
    await asyncio.sleep(_LONG_GAP_S * 0.4)
    return turn


class RetentionTest(DeploymentCase):
    """A program that returns at the end of its retention."""

    def test_turn_that_ends_after_the_retention_is_continued(self) -> None:
        """Guards against 404 for a turn that was just answered whole."""

        async def work(system: Deployment) -> None:
            turn = await _begin_late_turn(system)
            self.assertEqual(200, await turn)
            self.assertEqual(200, await system.send_turn("d", "c"))
            body = system.model_server.requests[-1].body
            self.assertEqual(_HISTORY + b"<c>c-1\nc-2\n<d>", body)

        self.run_test(work)

    def test_ancestors_outlast_a_leader_and_a_restart(self) -> None:
        """Guards against a new leader or a restart that drops ancestors.

        The leader is killed while the turn is open, and all hosts once it has
        ended.
        """

        async def work(system: Deployment) -> None:
            turn = await _begin_late_turn(system)
            system.kill(leader := system.find_leader())
            self.assertEqual(200, await turn)
            system.start(leader)
            for name in system.hosts:
                system.kill(name)
            for name in system.hosts:
                system.start(name)
            system.chunk_gap_s = 0.0
            self.assertTrue(await system.retry_turn_until_served("d", "c"))
            body = system.model_server.requests[-1].body
            self.assertTrue(body.startswith(_HISTORY + b"<c>c-1\nc-2\n<d."))

        self.run_test(work)
