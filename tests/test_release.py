"""Engine memory of ended programs, with real processes."""

from __future__ import annotations

from tests import base


class ReleaseTest(base.TestCase):
    """The engine memory of ended programs is released."""

    def test_ended_program_is_released(self) -> None:
        """Guards against ended programs that fill the engine's cache for good.

        One program is ended by its caller, another has no name and so ends
        with its only call. Without orders to release them, both would stay in
        the cache and slow down other programs' prompts.
        """
        self.run_async(self._release_ended_programs())

    async def _release_ended_programs(self) -> None:
        cluster = await base.small(self.folder)
        async with cluster:
            for name in ("kept", "gone", "other"):
                await cluster.chat(
                    "entry-1",
                    "berater",
                    [base.user("x")],
                    headers={"Catkinpin-Program": name},
                )
            await cluster.chat("entry-1", "berater", [base.user("once")])
            url = cluster.addresses["entry-1"] + "/v1/programs/gone"
            auth = {"Authorization": f"Bearer {base.ACCOUNT_KEYS['ruegg']}"}
            async with cluster.http.delete(url, headers=auth) as resp:
                self.assertEqual(200, resp.status)

            async def released() -> bool:
                seen = await cluster.look("engine-1")
                return set(seen["held"]) == {"ruegg/kept", "ruegg/other"}

            await base.until(released, "only live programs are held")
