"""Calls that crash servers, for the soak of gateways, keepers and stores.

One call crashes each server that runs it, and comes again under new programs.
Other programs request paths of their own and one that they all share. Seeds
from 4000 on send turns, each with a body of its own, in place of calls.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import time
from typing import TYPE_CHECKING

import aiohttp

from tests.fakes.crashingservice import CrashingService

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment

_CRASHING = "/c/crashing"
_FIRST_TURNS_SEED = 4_000
_TURNS_ROUTE = {"kind": "stream", "max_attempts": 1}
# After the third crash under a request and this time, it may run on so many
# servers more.
_LATE_RUNS_AFTER_S = 3.0
_MAX_LATE_RUNS = 3
_CRASHES_BEFORE_LATE = 3
_SERVER_COUNT = 3
_CRASHING_INTERVAL_S = 0.3
_HARMLESS_INTERVAL_S = 0.03
_DEADLINE_S = 4.0


class CrashLoad:
    """Load on a service whose servers crash.

    Args:
        deployment: the deployment under test; not started yet.
        seed: seed of the choice of gateways.
    """

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._sends_turns = seed >= _FIRST_TURNS_SEED
        route = _TURNS_ROUTE if self._sends_turns else {}
        CrashingService.add_to(deployment, **route)
        self._service = CrashingService(deployment, _CRASHING)

    async def run(self, seconds: float) -> None:
        """Sends calls for some time."""
        await self._service.start(_SERVER_COUNT)
        end_s = time.monotonic() + seconds
        try:
            await asyncio.gather(
                self._send_crashing(end_s),
                self._send_harmless(end_s),
                self._send_harmless(end_s),
            )
        finally:
            await self._service.stop()

    def problems(self) -> list[str]:
        """Returns the violations, once the processes' logs are complete."""
        found = []
        crashes = self._service.crash_times_s
        if len(crashes) > _CRASHES_BEFORE_LATE:
            late_s = crashes[_CRASHES_BEFORE_LATE - 1] + _LATE_RUNS_AFTER_S
            late = sum(crash_s > late_s for crash_s in crashes)
            if late > _MAX_LATE_RUNS:
                found.append(f"{len(crashes)} crashes, {late} of them late")
        for name, host in self._deployment.hosts.items():
            if host.role != "gateway":
                continue
            for line in self._deployment.read_log(name):
                if (
                    line["decision"] == "refused"
                    and "quarantined" in line["reason"]
                    and not line["request"].startswith("crashing")
                ):
                    found.append(f"{line['request']}: {line['reason']}")
        return found

    async def _send_crashing(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            number = next(self._numbers)
            await self._send(_CRASHING, f"crashing-{number}", f"p{number}")
            await asyncio.sleep(_CRASHING_INTERVAL_S)

    async def _send_harmless(self, end_s: float) -> None:
        while time.monotonic() < end_s:
            number = next(self._numbers)
            path = f"/c/own-{number}" if number % 2 else "/c/common"
            await self._send(path, f"harmless-{number}", f"h{number // 5}")
            await asyncio.sleep(_HARMLESS_INTERVAL_S)

    async def _send(self, path: str, attempt: str, program: str) -> None:
        names = [n for n in self._deployment.hosts if n.startswith("gateway")]
        gateway = self._rng.choice(names)
        body = f"history of {attempt}".encode() if self._sends_turns else b""
        with contextlib.suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(_DEADLINE_S):
                await self._deployment.call(
                    path, attempt, gateway, body, X_Program_Id=program
                )
