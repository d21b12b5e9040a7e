"""Quarantine of a request that crashes servers, with real processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from catkinpin.core.programs.quarantine import Quarantine
from tests import base

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_POISON = "cut blank 0xdead"


class StrikeTest(base.TestCase):
    """Crashes that count against a content."""

    def test_one_crash_with_two_copies_counts_once(self) -> None:
        """Guards against a quarantine after a single crash.

        Two programs sent the same content, and both copies were running on the
        server that crashed.
        """
        quarantine = Quarantine()
        for at_ms in (1, 2):
            quarantine.add_strike(b"content", "s1", "i1", at_ms)
        self.assertFalse(quarantine.must_wait(b"content"))
        quarantine.resolve("s1", "i1", crashed=True)
        self.assertEqual([], quarantine.quarantine_repeated())
        quarantine.add_strike(b"content", "s1", "i2", 3)
        self.assertTrue(quarantine.must_wait(b"content"))
        quarantine.resolve("s1", "i2", crashed=True)
        self.assertEqual([b"content"], quarantine.quarantine_repeated())


class QuarantineTest(base.TestCase):
    """One request crashes at most two servers."""

    def test_third_server_survives(self) -> None:
        """A request crashes every engine that runs it, and is sent again.

        It comes again as new calls of other programs. Its caller learns that
        it is quarantined, and concurrent requests get their answers.
        """
        self.run_async(self._third_server_survives())

    async def _third_server_survives(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            names = ["engine-1", "engine-2", "engine-3"]
            for name in names[1:]:
                cluster.add_fake("engine", name)
            for name in names:
                await cluster.steer(name, crash_on=_POISON)
            await base.until(
                self._all_engines_used(cluster), "three engines work"
            )
            other_calls = [
                asyncio.create_task(
                    cluster.chat("entry-1", "berater", [base.user(f"q {i}")])
                )
                for i in range(6)
            ]
            poison = [base.user(_POISON)]
            first = await cluster.chat("entry-1", "berater", poison)
            self.assertEqual("quarantined", first.json["error"]["code"])
            for number in range(4):
                again = await cluster.chat(
                    "entry-1",
                    "berater",
                    poison,
                    headers={"Catkinpin-Program": f"again-{number}"},
                )
                self.assertEqual("quarantined", again.json["error"]["code"])
                self.assertEqual("not-run", again.verdict)
            for reply in await asyncio.gather(*other_calls):
                self.assertEqual(200, reply.status, reply.body)
            self.assertEqual(1, await self._count_alive(cluster, names))

    def _all_engines_used(
        self, cluster: base.Cluster
    ) -> Callable[[], Awaitable[bool]]:
        async def check() -> bool:
            # Concurrent, so that they do not all fit on the first engine.
            replies = await asyncio.gather(
                *(
                    cluster.chat(
                        "entry-1", "berater", [base.user(f"warm {number}")]
                    )
                    for number in range(12)
                )
            )
            seen = [
                len((await cluster.look(name))["seen"])
                for name in ("engine-1", "engine-2", "engine-3")
            ]
            all_answered = all(reply.status == 200 for reply in replies)
            return all_answered and min(seen) > 0

        return check

    async def _count_alive(
        self, cluster: base.Cluster, names: list[str]
    ) -> int:
        alive = 0
        for name in names:
            try:
                await cluster.look(name)
            except OSError:
                continue
            alive += 1
        return alive
