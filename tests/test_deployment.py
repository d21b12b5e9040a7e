"""The whole path on the platform, with real processes that are killed."""

from __future__ import annotations

import asyncio
import json
import signal
from typing import TYPE_CHECKING

from tests import base
from tests.fakes.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


class DeploymentCase(base.TestCase):
    """Plays against a new deployment."""

    def play(
        self, work: Callable[[Deployment], Awaitable[None]], stores: int = 2
    ) -> None:
        """Runs a play against a new deployment."""

        async def main() -> None:
            async with Deployment(self.folder, stores=stores) as system:
                self.assertTrue(await system.served("first"))
                await work(system)

        self.run_async(main())


class DeploymentTest(DeploymentCase):
    """Keepers, stores and gateways together."""

    def test_turns_build_on_each_other_through_any_gateway(self) -> None:
        """A program's turns come in at different gateways."""

        async def work(system: Deployment) -> None:
            self.assertEqual(200, await system.turn("a"))
            self.assertEqual(200, await system.turn("b", "a", "gateway-2"))
            self.assertEqual(200, await system.turn("c", "b"))
            body = system.model.requests[-1].body
            self.assertEqual(b"<a>a-1\na-2\n<b>b-1\nb-2\n<c>", body)
            self.assertEqual(404, await system.turn("d", "never"))
            spent = await system.turn("e", "c", X_Token_Budget="3")
            self.assertEqual(402, spent)

        self.play(work)

    def test_manifest_is_read_back_and_only_rises(self) -> None:
        """Operators send a manifest, an older one, and an invalid one."""

        async def work(system: Deployment) -> None:
            self.assertTrue(await system.configure(timeout_ms=2_000))
            newest = system.version
            system.version = 0
            self.assertTrue(await system.configure(timeout_ms=9_000))
            broken = b'{"version": 99, "routes": ['
            status, _ = await system.control("PUT", "/-/config", broken)
            self.assertEqual(400, status)
            _, body = await system.control("GET", "/-/config")
            told = json.loads(body)
            self.assertEqual(newest, told["version"])
            self.assertEqual(2_000, told["routes"][0]["timeout_ms"])

        self.play(work)

    def test_killed_leader_loses_nothing(self) -> None:
        """The keeper that decides is killed between two turns.

        A caller waits for the next leader; its history and budget are there.
        """

        async def work(system: Deployment) -> None:
            self.assertEqual(200, await system.turn("a"))
            system.kill(system.leader())
            self.assertTrue(await system.served("b", "a"))
            body = system.model.requests[-1].body
            self.assertTrue(body.startswith(b"<a>a-1\na-2\n<b."))

        self.play(work)

    def test_lost_disks_one_after_the_other_lose_nothing(self) -> None:
        """A keeper and a store come back empty; then others lose theirs.

        Nobody confirms anything. Without a second copy made in between, the
        second loss takes the only one that is left.
        """

        async def work(system: Deployment) -> None:
            names = ["a", "b", "c", "d"]
            for before, name in zip(["", *names], names, strict=False):
                self.assertEqual(200, await system.turn(name, before))
            for name in ("keeper-1", "store-1", "keeper-2", "store-2"):
                system.wipe(name)
                await asyncio.sleep(0.5)
                system.start(name)
                await system.repaired(name)
            # A gateway that has none of it in its memory.
            system.kill("gateway-1")
            system.start("gateway-1")
            self.assertTrue(await system.served("e", "d"))
            body = system.model.requests[-1].body
            for name in names:
                self.assertIn(f"<{name}>{name}-1\n{name}-2\n".encode(), body)

        self.play(work)

    def test_everything_killed_at_once_comes_back(self) -> None:
        """All processes are killed right after a turn and a manifest."""

        async def work(system: Deployment) -> None:
            self.assertEqual(200, await system.turn("a"))
            self.assertTrue(await system.configure(timeout_ms=2_000))
            for name in system.hosts:
                system.kill(name)
            for name in system.hosts:
                system.start(name)
            await system.until(system.send_heartbeat)
            self.assertTrue(await system.served("b", "a"))
            _, body = await system.control("GET", "/-/config")
            self.assertEqual(system.version, json.loads(body)["version"])

        self.play(work)

    def test_system_is_not_founded_over_where_a_gateway_knows_it(self) -> None:
        """Guards against a second system where all seeds lost their disks."""

        async def work(system: Deployment) -> None:
            keepers = [f"keeper-{number}" for number in (1, 2, 3)]
            before = {name: len(system.log(name)) for name in keepers}
            for name in keepers:
                system.wipe(name)
            for name in keepers:
                system.start(name)
            # Longer than empty seeds wait for a word of a system.
            await asyncio.sleep(6.0)
            found = [
                line
                for name in keepers
                for line in system.log(name)[before[name] :]
            ]
            kinds = {line["decision"] for line in found}
            self.assertNotIn("founded", kinds)
            self.assertNotIn("leadership", kinds)
            known_by = {line.get("system_known_by", "") for line in found}
            self.assertLess(1, len(known_by))

        self.play(work)

    def test_planned_stop_of_a_gateway_cuts_nothing(self) -> None:
        """A gateway is asked to stop while a turn streams through it.

        The balancer hears of it at once; the turn ends whole.
        """

        async def work(system: Deployment) -> None:
            system.gap_s = 0.5
            asking = asyncio.ensure_future(system.turn("a"))
            await asyncio.sleep(0.3)
            system.kill("gateway-1", signal.SIGTERM)
            await asyncio.sleep(0.1)
            self.assertEqual(503, await system.ready("gateway-1"))
            self.assertEqual(200, await asking)
            process = system.hosts["gateway-1"].process
            assert process is not None
            code = await asyncio.to_thread(process.wait, 9.0)
            self.assertEqual(0, code)

        self.play(work)

    def test_store_is_taken_away_once_it_is_said_to_be_empty(self) -> None:
        """An operator has a store emptied, and takes it away with its disk.

        Said too early, the turns that only it and another host held would
        hang on that one disk, and programs would lose their history with it.
        """

        async def work(system: Deployment) -> None:
            # Enough for each pair of neighbours to hold some.
            turns = [f"t{number}" for number in range(18)]
            for turn in turns:
                self.assertEqual(200, await system.turn(turn))
            path = "/-/retire/store-1"

            async def begun() -> bool:
                body = b'{"duration_s": 9}'
                status, _ = await system.control("POST", path, body)
                return status == 200

            async def done() -> bool:
                _, body = await system.control("GET", path)
                return bool(json.loads(body or b"{}").get("state") == "done")

            await system.until(begun)
            await system.until(done)
            system.kill("store-1")
            # One more disk is lost at once, as the deployment has to bear.
            system.kill("store-2")
            for turn in turns:
                # The other gateway has none of their bytes in its memory.
                status = await system.turn(f"{turn}.n", turn, "gateway-2")
                self.assertEqual(200, status, turn)

        self.play(work, stores=3)

    def test_retired_store_is_done_only_when_copies_are_elsewhere(
        self,
    ) -> None:
        """An operator has a store emptied; then too few would be left."""

        async def work(system: Deployment) -> None:
            self.assertEqual(200, await system.turn("a"))
            call = ("POST", "/-/retire/store-1", b'{"duration_s": 5}')
            status, _ = await system.control(*call)
            self.assertEqual(409, status)
            status, _ = await system.control("POST", "/-/retire/none", b"{}")
            self.assertEqual(404, status)

        self.play(work)


class AccountsTest(DeploymentCase):
    """Client accounts over all processes."""

    async def _status(
        self, system: Deployment, key: str, gateway: str = "gateway-1"
    ) -> int:
        self.number += 1
        name = f"probe-{self.number}"
        return await system.turn(
            name, gateway=gateway, X_Program_Id=name, **_bearer(key)
        )

    async def _put_keys(self, system: Deployment, *keys: str) -> None:
        """Puts keys of an account in force, beside another account."""
        system.tenants = [
            {"name": "acme", "api_keys": list(keys)},
            {"name": "other", "api_keys": ["k-other"]},
        ]
        await system.until(system.configure)

    async def _until_refused(self, system: Deployment, key: str) -> None:
        for gateway in ("gateway-1", "gateway-2"):

            async def refused(gateway: str = gateway) -> bool:
                return await self._status(system, key, gateway) == 401

            await system.until(refused)

    def test_turn_belongs_to_its_account_also_after_a_leader_dies(
        self,
    ) -> None:
        """Guards against histories and keys that reach the wrong side."""
        self.number = 0

        async def work(system: Deployment) -> None:
            await self._put_keys(system, "k-acme")
            await self._until_refused(system, "")
            acme, other = _bearer("k-acme"), _bearer("k-other")
            self.assertEqual(200, await system.turn("a", **acme))
            seen = system.model.requests[-1].headers
            self.assertEqual("acme", seen["x-tenant"])
            self.assertNotIn("authorization", seen)
            stolen = await system.turn("b", "a", "gateway-2", **other)
            self.assertEqual(404, stolen)
            system.kill(system.leader())

            async def continued() -> bool:
                self.number += 1
                name = f"c-{self.number}"
                return await system.turn(name, "a", **acme) == 200

            await system.until(continued)
            self.assertEqual(404, await system.turn("d", "a", **other))

        self.play(work)

    def test_key_that_was_taken_away_never_works_again(self) -> None:
        """Guards against a blackout that brings a revoked key back."""
        self.number = 0

        async def work(system: Deployment) -> None:
            await self._put_keys(system, "k-old", "k-new")
            await self._until_refused(system, "")
            self.assertEqual(200, await self._status(system, "k-old"))
            await self._put_keys(system, "k-new")
            await self._until_refused(system, "k-old")
            for name in system.hosts:
                system.kill(name)
            for name in system.hosts:
                system.start(name)

            async def served() -> bool:
                status = await self._status(system, "k-old")
                self.assertNotEqual(200, status)
                return await self._status(system, "k-new") == 200

            await system.until(served)
            await self._until_refused(system, "k-old")

        self.play(work)


def _bearer(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}
