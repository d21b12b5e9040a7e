"""Engine memory of ended programs, with real processes."""

from __future__ import annotations

from tests import base


class ReleaseTest(base.TestCase):
    """No engine memory stays held for programs that are gone."""

    def test_ended_program_is_released(self) -> None:
        """One program is ended by its caller, another was never given a name.

        Without orders to release them, both would fill the engine's cache for
        good and make other programs' prompts slow.
        """
        self.run_async(self._ended())

    async def _ended(self) -> None:
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
