"""Tests of whole deployments on the platform, whose processes are killed."""

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
    """Base of tests that run against a new deployment."""

    def run_test(
        self, work: Callable[[Deployment], Awaitable[None]], stores: int = 2
    ) -> None:
        """Starts a deployment, waits until it serves a turn and runs a test."""

        async def main() -> None:
            async with Deployment(self.folder, stores=stores) as system:
                self.assertTrue(await system.retry_turn_until_served("first"))
                await work(system)

        self.run_async(main())


class DeploymentTest(DeploymentCase):
    """Keepers, stores and gateways together."""

    def test_turns_build_on_each_other_through_any_gateway(self) -> None:
        """A program sends its turns to different gateways."""

        async def work(system: Deployment) -> None:
            self.assertEqual(200, await system.send_turn("a"))
            self.assertEqual(200, await system.send_turn("b", "a", "gateway-2"))
            self.assertEqual(200, await system.send_turn("c", "b"))
            body = system.model_server.requests[-1].body
            self.assertEqual(b"<a>a-1\na-2\n<b>b-1\nb-2\n<c>", body)
            self.assertEqual(404, await system.send_turn("d", "never"))
            status_over_budget = await system.send_turn(
                "e", "c", X_Token_Budget="3"
            )
            self.assertEqual(402, status_over_budget)

        self.run_test(work)

    def test_turn_with_another_path_and_prompt_gets_its_history(self) -> None:
        """Guards against a history that is put together by path or prompt.

        Both differ from those of the turns that it continues.
        """

        async def work(system: Deployment) -> None:
            self.assertEqual(200, await system.send_turn("a"))
            self.assertEqual(200, await system.send_turn("b", "a"))
            for number, gateway in enumerate(("gateway-1", "gateway-2")):
                status = await system.send_turn(
                    f"c{number}",
                    "b",
                    gateway,
                    path="/t/other",
                    X_Prompt_Prefix="beef:3,cafe:7",
                )
                self.assertEqual(200, status)
                received = system.model_server.requests[-1]
                self.assertEqual("/t/other", received.target)
                self.assertEqual(
                    b"<a>a-1\na-2\n<b>b-1\nb-2\n<c%d>" % number, received.body
                )

        self.run_test(work)

    def test_manifest_is_read_back_and_only_rises(self) -> None:
        """An operator sends a manifest, an older one and an invalid one."""

        async def work(system: Deployment) -> None:
            self.assertTrue(await system.send_manifest(timeout_ms=2_000))
            newest = system.version
            system.version = 0
            self.assertTrue(await system.send_manifest(timeout_ms=9_000))
            broken = b'{"version": 99, "routes": ['
            status, _ = await system.call_keeper("PUT", "/-/config", broken)
            self.assertEqual(400, status)
            _, body = await system.call_keeper("GET", "/-/config")
            manifest = json.loads(body)
            self.assertEqual(newest, manifest["version"])
            self.assertEqual(2_000, manifest["routes"][0]["timeout_ms"])

        self.run_test(work)

    def test_killed_leader_loses_nothing(self) -> None:
        """The leading keeper is killed between two turns.

        The next turn must wait for the new leader, which must have the
        program's history and budget.
        """

        async def work(system: Deployment) -> None:
            self.assertEqual(200, await system.send_turn("a"))
            system.kill(system.find_leader())
            self.assertTrue(await system.retry_turn_until_served("b", "a"))
            body = system.model_server.requests[-1].body
            self.assertTrue(body.startswith(b"<a>a-1\na-2\n<b."))

        self.run_test(work)

    def test_lost_disks_one_after_the_other_lose_nothing(self) -> None:
        """Two keepers and two stores lose their disks, one after the other.

        No operator confirms anything. If no second copy were made after the
        first loss, the second loss would delete the only one left.
        """

        async def work(system: Deployment) -> None:
            names = ["a", "b", "c", "d"]
            for before, name in zip(["", *names], names, strict=False):
                self.assertEqual(200, await system.send_turn(name, before))
            for name in ("keeper-1", "store-1", "keeper-2", "store-2"):
                system.wipe(name)
                await asyncio.sleep(0.5)
                system.start(name)
                await system.wait_repaired(name)
            # A restarted gateway has none of the turns in its memory.
            system.kill("gateway-1")
            system.start("gateway-1")
            self.assertTrue(await system.retry_turn_until_served("e", "d"))
            body = system.model_server.requests[-1].body
            for name in names:
                self.assertIn(f"<{name}>{name}-1\n{name}-2\n".encode(), body)

        self.run_test(work)

    def test_everything_killed_at_once_comes_back(self) -> None:
        """All processes are killed right after a turn and a manifest."""

        async def work(system: Deployment) -> None:
            self.assertEqual(200, await system.send_turn("a"))
            self.assertTrue(await system.send_manifest(timeout_ms=2_000))
            for name in system.hosts:
                system.kill(name)
            for name in system.hosts:
                system.start(name)
            await system.wait_until(system.send_heartbeat)
            self.assertTrue(await system.retry_turn_until_served("b", "a"))
            _, body = await system.call_keeper("GET", "/-/config")
            self.assertEqual(system.version, json.loads(body)["version"])

        self.run_test(work)

    def test_system_is_not_founded_over_where_a_gateway_knows_it(self) -> None:
        """All seeds lose their disks; they must not found a second system."""

        async def work(system: Deployment) -> None:
            keepers = [f"keeper-{number}" for number in (1, 2, 3)]
            before = {name: len(system.read_log(name)) for name in keepers}
            for name in keepers:
                system.wipe(name)
            for name in keepers:
                system.start(name)
            # Longer than seeds without data wait to hear of a system.
            await asyncio.sleep(6.0)
            found = [
                line
                for name in keepers
                for line in system.read_log(name)[before[name] :]
            ]
            decisions = {line["decision"] for line in found}
            self.assertNotIn("founded", decisions)
            self.assertNotIn("leadership", decisions)
            known_by = {line.get("system_known_by", "") for line in found}
            self.assertLess(1, len(known_by))

        self.run_test(work)

    def test_planned_stop_of_a_gateway_cuts_nothing(self) -> None:
        """A gateway gets SIGTERM while a turn streams through it.

        Its readiness check must fail at once, and the turn must be completed.
        """

        async def work(system: Deployment) -> None:
            system.chunk_gap_s = 0.5
            pending_turn = asyncio.ensure_future(system.send_turn("a"))
            await asyncio.sleep(0.3)
            system.kill("gateway-1", signal.SIGTERM)
            await asyncio.sleep(0.1)
            self.assertEqual(503, await system.get_readiness("gateway-1"))
            self.assertEqual(200, await pending_turn)
            process = system.hosts["gateway-1"].process
            assert process is not None
            code = await asyncio.to_thread(process.wait, 9.0)
            self.assertEqual(0, code)

        self.run_test(work)

    def test_store_is_taken_away_once_it_is_said_to_be_empty(self) -> None:
        """An operator has a store emptied, then removes it with its disk.

        If the store were reported empty too early, turns held only by it and
        another host would be left with one copy, and programs would lose their
        history with that disk.
        """

        async def work(system: Deployment) -> None:
            # Enough turns that each pair of neighbours holds some.
            turns = [f"t{number}" for number in range(18)]
            for turn in turns:
                self.assertEqual(200, await system.send_turn(turn))
            path = "/-/retire/store-1"

            async def has_retirement_begun() -> bool:
                body = b'{"duration_s": 9}'
                status, _ = await system.call_keeper("POST", path, body)
                return status == 200

            async def is_retirement_done() -> bool:
                _, body = await system.call_keeper("GET", path)
                return bool(json.loads(body or b"{}").get("state") == "done")

            await system.wait_until(has_retirement_begun)
            await system.wait_until(is_retirement_done)
            system.kill("store-1")
            # The deployment must tolerate the loss of one more disk.
            system.kill("store-2")
            for turn in turns:
                # The other gateway has none of the turns in its memory.
                status = await system.send_turn(f"{turn}.n", turn, "gateway-2")
                self.assertEqual(200, status, turn)

        self.run_test(work, stores=3)

    def test_retired_store_is_done_only_when_copies_are_elsewhere(
        self,
    ) -> None:
        """An operator retires a store, but too few would be left."""

        async def work(system: Deployment) -> None:
            self.assertEqual(200, await system.send_turn("a"))
            call = ("POST", "/-/retire/store-1", b'{"duration_s": 5}')
            status, _ = await system.call_keeper(*call)
            self.assertEqual(409, status)
            status, _ = await system.call_keeper(
                "POST", "/-/retire/none", b"{}"
            )
            self.assertEqual(404, status)

        self.run_test(work)


class AccountsTest(DeploymentCase):
    """Client accounts across all processes."""

    async def _probe_status(
        self, system: Deployment, key: str, gateway: str = "gateway-1"
    ) -> int:
        self.probes_sent += 1
        name = f"probe-{self.probes_sent}"
        return await system.send_turn(
            name, gateway=gateway, X_Program_Id=name, **_bearer_header(key)
        )

    async def _put_keys(self, system: Deployment, *keys: str) -> None:
        """Puts an account with the keys in force, and another account."""
        system.tenants = [
            {"name": "acme", "api_keys": list(keys)},
            {"name": "other", "api_keys": ["k-other"]},
        ]
        await system.wait_until(system.send_manifest)

    async def _until_refused(self, system: Deployment, key: str) -> None:
        for gateway in ("gateway-1", "gateway-2"):

            async def refused(gateway: str = gateway) -> bool:
                return await self._probe_status(system, key, gateway) == 401

            await system.wait_until(refused)

    def test_turn_belongs_to_its_account_also_after_a_leader_dies(
        self,
    ) -> None:
        """Other accounts must not get its history, nor servers its API key."""
        self.probes_sent = 0

        async def work(system: Deployment) -> None:
            await self._put_keys(system, "k-acme")
            await self._until_refused(system, "")
            acme, other = _bearer_header("k-acme"), _bearer_header("k-other")
            self.assertEqual(200, await system.send_turn("a", **acme))
            received_headers = system.model_server.requests[-1].headers
            self.assertEqual("acme", received_headers["x-tenant"])
            self.assertNotIn("authorization", received_headers)
            status_of_other = await system.send_turn(
                "b", "a", "gateway-2", **other
            )
            self.assertEqual(404, status_of_other)
            system.kill(system.find_leader())

            async def continued() -> bool:
                self.probes_sent += 1
                name = f"c-{self.probes_sent}"
                return await system.send_turn(name, "a", **acme) == 200

            await system.wait_until(continued)
            self.assertEqual(404, await system.send_turn("d", "a", **other))

        self.run_test(work)

    def test_key_that_was_taken_away_never_works_again(self) -> None:
        """A restart of all processes must not bring a revoked key back."""
        self.probes_sent = 0

        async def work(system: Deployment) -> None:
            await self._put_keys(system, "k-old", "k-new")
            await self._until_refused(system, "")
            self.assertEqual(200, await self._probe_status(system, "k-old"))
            await self._put_keys(system, "k-new")
            await self._until_refused(system, "k-old")
            for name in system.hosts:
                system.kill(name)
            for name in system.hosts:
                system.start(name)

            async def new_key_accepted() -> bool:
                status = await self._probe_status(system, "k-old")
                self.assertNotEqual(200, status)
                return await self._probe_status(system, "k-new") == 200

            await system.wait_until(new_key_accepted)
            await self._until_refused(system, "k-old")

        self.run_test(work)


def _bearer_header(key: str) -> dict[str, str]:
    return {"Authorization": f"Bearer {key}"}
