"""A failure domain loses its disks, as the settings tolerate."""

from __future__ import annotations

import asyncio
import contextlib
import json
from typing import TYPE_CHECKING

import aiohttp

from tests.fakes.deployment import Deployment
from tests.test_deployment import DeploymentCase

if TYPE_CHECKING:
    import pathlib

_CATCH_UP_S = 3.0
# Settings are read again every two seconds, and copies are made after that.
_RELOAD_S = 5.0
_TURNS = 8
_TRIES = 200
_RETRY_S = 0.05
_REGIONS = {"a": "r", "b": "s", "c": "r"}


def _deployment(folder: pathlib.Path, keeper_domains: str) -> Deployment:
    """Returns a deployment with a store in each of three failure domains.

    Domain "b" is alone in its region, and has the only gateway.

    Args:
        folder: folder for settings, logs and data.
        keeper_domains: the failure domain of each keeper, one letter each.
    """
    system = Deployment(
        folder, gateways=1, stores=3, keepers=len(keeper_domains)
    )
    system.catch_up_s = _CATCH_UP_S
    system.regions = _REGIONS
    system.domains = {"gateway-1": "b", "store-2": "b", "store-3": "c"}
    for number, domain in enumerate(keeper_domains, 1):
        system.domains[f"keeper-{number}"] = domain
    return system


def _lose_disks(system: Deployment, domains: str) -> None:
    """Kills all processes and starts them without the disks of domains."""
    for name in system.hosts:
        system.kill(name)
    for name, host in system.hosts.items():
        if host.role != "gateway" and system.domain_of(name) in domains:
            system.wipe(name)
    for name in system.hosts:
        system.start(name)


async def _send_turns(system: Deployment) -> list[str]:
    """Has turns answered once no host counts as lost since its start."""
    await asyncio.sleep(_CATCH_UP_S)
    names = [f"t{number}" for number in range(_TURNS)]
    assert await system.retry_turn_until_served("first")
    for name in names:
        assert await system.send_turn(name) == 200
    return names


async def _continue(system: Deployment, name: str) -> bool:
    """Returns whether a turn that continues another one is served."""
    for number in range(_TRIES):
        with contextlib.suppress(aiohttp.ClientError, OSError):
            if await system.send_turn(f"{name}.{number}", name) == 200:
                return True
        await asyncio.sleep(_RETRY_S)
    return False


class LostDomainTest(DeploymentCase):
    """All disks of a failure domain are lost at once."""

    def test_turns_outlast_the_domain_of_their_gateway(self) -> None:
        """Guards against copies that all are in one failure domain."""

        async def main() -> None:
            system = _deployment(self.folder, "abcab")
            system.tolerate["zones"] = 1
            async with system:
                names = await _send_turns(system)
                _lose_disks(system, "b")
                lost = [n for n in names if not await _continue(system, n)]
                self.assertEqual([], lost)

        self.run_async(main())

    def test_turns_outlast_the_region_of_their_gateway(self) -> None:
        """Guards against copies in two domains of one region."""

        async def main() -> None:
            system = _deployment(self.folder, "abcde")
            system.regions = {"a": "r", "b": "s", "c": "t", "d": "s", "e": "r"}
            system.domains["store-3"] = "d"
            system.tolerate["regions"] = 1
            async with system:
                names = await _send_turns(system)
                _lose_disks(system, "bd")
                lost = [n for n in names if not await _continue(system, n)]
                self.assertEqual([], lost)

        self.run_async(main())

    def test_turns_stored_before_a_domain_may_be_lost_outlast_it(self) -> None:
        """Guards against copies that stay where older settings put them."""

        async def main() -> None:
            system = _deployment(self.folder, "abcab")
            async with system:
                names = await _send_turns(system)
                system.tolerate["zones"] = 1
                for name in system.hosts:
                    system.write_settings(name)
                await asyncio.sleep(_RELOAD_S)
                _lose_disks(system, "b")
                lost = [n for n in names if not await _continue(system, n)]
                self.assertEqual([], lost)

        self.run_async(main())

    def test_control_group_outlasts_the_domain_of_its_seeds(self) -> None:
        """Guards against voters of whom one failure domain has a majority."""

        async def main() -> None:
            system = _deployment(self.folder, "aaabbcc")
            system.tolerate["zones"] = 1
            async with system:
                await asyncio.sleep(_CATCH_UP_S)
                for number in (1, 2, 3):
                    system.wipe(f"keeper-{number}")
                for number in (1, 2, 3):
                    system.start(f"keeper-{number}")
                version = await system.wait_until(system.send_manifest)
                status, body = await system.call_keeper("GET", "/-/config")
                self.assertEqual(200, status)
                self.assertEqual(version, json.loads(body)["version"])

        self.run_async(main())

    def test_domains_that_are_too_few_are_reported_once(self) -> None:
        """Guards against settings that promise what no host can keep."""

        async def main() -> None:
            system = _deployment(self.folder, "aab")
            system.domains["store-3"] = "b"
            system.tolerate["zones"] = 2
            async with system:
                await asyncio.sleep(3 * _CATCH_UP_S)
                lines = [
                    (line["of"], line["loss"])
                    for name in ("keeper-1", "keeper-2", "keeper-3")
                    for line in system.read_log(name)
                    if line["decision"] == "tolerance"
                ]
                expected = [
                    ("copies of turns", "failure domains"),
                    ("voters", "failure domains"),
                    ("voters", "hosts"),
                ]
                self.assertEqual(expected, sorted(lines))

        self.run_async(main())
