"""A request that crashes servers, with real processes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests import base

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_POISON = "cut blank 0xdead"


class QuarantineTest(base.TestCase):
    """At most two servers are lost to one request."""

    def test_third_server_survives(self) -> None:
        """A request ends each engine's process; its caller sends it on.

        It comes again under other keys, programs and accounts. The caller
        reads that it is quarantined; a customer who is served at the same
        time gets the answer.
        """
        self.run_async(self._survives())

    async def _survives(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            names = ["engine-1", "engine-2", "engine-3"]
            for name in names[1:]:
                cluster.add_fake("engine", name)
            for name in names:
                await cluster.steer(name, crash_on=_POISON)
            await base.until(self._all_usable(cluster), "three engines work")
            innocents = [
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
            for reply in await asyncio.gather(*innocents):
                self.assertEqual(200, reply.status, reply.body)
            self.assertEqual(1, await self._alive(cluster, names))

    def _all_usable(
        self, cluster: base.Cluster
    ) -> Callable[[], Awaitable[bool]]:
        async def check() -> bool:
            # At once, so that they do not all fit on the first engine.
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
            ok = all(reply.status == 200 for reply in replies)
            return ok and min(seen) > 0

        return check

    async def _alive(self, cluster: base.Cluster, names: list[str]) -> int:
        alive = 0
        for name in names:
            try:
                await cluster.look(name)
            except OSError:
                continue
            alive += 1
        return alive
