"""Turns that crash servers, and harmless ones that look like them."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

import aiohttp

from tests import base
from tests.fakes.crashingservice import CrashingService
from tests.fakes.deployment import Deployment

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

_CRASHING = "/c/crashing"
# Once a request has crashed three servers, it must not reach further ones.
_MAX_CRASHES = 3
_COMMON_INPUT = b"yes, go on"
_GATEWAYS = ("gateway-1", "gateway-2")
_SERVERS = 6
_PROGRAMS = 12
_INTERVAL_S = 0.35
_CALL_INTERVAL_S = 0.02
_LONG_RUN_S = 1.0
# A quarantine lasts 30 s at first. Two servers ended in the 2 s before.
_TERM_S = 31.0
# An answer is reported within 0.2 s, and known to all gateways in 0.2 s more.
_REPORT_WAIT_S = 0.5


class CrashingTurnsTest(base.TestCase):
    """Turns whose callers send the whole history as the body."""

    def _run(
        self,
        work: Callable[[Deployment, CrashingService], Awaitable[None]],
        run_s: float = 0.03,
    ) -> None:
        async def main() -> None:
            system = Deployment(self.folder)
            CrashingService.add_to(system, kind="stream", max_attempts=1)
            service = CrashingService(system, _CRASHING, run_s)
            async with system:
                await service.start(_SERVERS)
                await system.wait_until(lambda: self._is_ready(system))
                try:
                    await work(system, service)
                finally:
                    await service.stop()

        self.run_async(main())

    async def _is_ready(self, system: Deployment) -> bool:
        statuses = [
            await system.call("/c/first", f"first-{name}", name, b"first")
            for name in _GATEWAYS
        ]
        return statuses == [200, 200]

    async def _send(
        self, system: Deployment, path: str, number: int, body: bytes
    ) -> list[int]:
        """Sends a turn of a new program; once more if it fails.

        Returns:
            The status of each try.
        """
        statuses: list[int] = []
        while len(statuses) < 2 and 200 not in statuses:
            tries = len(statuses)
            status = await system.call(
                path,
                f"{path[3:]}-{number}-{tries}",
                _GATEWAYS[(number + tries) % 2],
                body,
                X_Program_Id=f"{path[3:]}-program-{number}",
            )
            statuses.append(status)
        return statuses

    def _send_common(self, system: Deployment) -> list[asyncio.Task[list[int]]]:
        """Sends the same turn for all programs at the same time."""
        return [
            asyncio.ensure_future(
                self._send(system, "/c/common", number, _COMMON_INPUT)
            )
            for number in range(_PROGRAMS)
        ]

    async def _check_common(self, system: Deployment) -> None:
        """Checks that the same turn is served for further programs."""
        for number in range(_PROGRAMS, _PROGRAMS + 3):
            statuses = await self._send(
                system, "/c/common", number, _COMMON_INPUT
            )
            self.assertEqual([200], statuses)

    def test_turn_is_recognized_under_new_bodies(self) -> None:
        """Guards against a crashing turn that each time has another body."""

        async def work(system: Deployment, service: CrashingService) -> None:
            for number in range(_PROGRAMS):
                body = b"history %d, and an input" % number
                await self._send(system, _CRASHING, number, body)
                await asyncio.sleep(_INTERVAL_S)
            self.assertLessEqual(service.crashes, _MAX_CRASHES)

        self._run(work)

    def test_harmless_turns_beside_are_served(self) -> None:
        """Guards against refusing turns that ran beside a crashing one."""

        async def work(system: Deployment, service: CrashingService) -> None:
            ended = asyncio.Event()

            async def send_harmless(caller: int) -> None:
                number = caller
                while not ended.is_set():
                    number += 10
                    path = "/c/common" if number % 20 < 10 else f"/c/{number}"
                    body = b"history %d" % number
                    with contextlib.suppress(aiohttp.ClientError):
                        await self._send(system, path, number, body)
                    await asyncio.sleep(_CALL_INTERVAL_S)

            callers = [
                asyncio.ensure_future(send_harmless(n)) for n in range(4)
            ]
            for number in range(_PROGRAMS):
                body = b"history %d, and an input" % number
                await self._send(system, _CRASHING, number, body)
                await asyncio.sleep(_INTERVAL_S)
            ended.set()
            await asyncio.gather(*callers)
            refused = [
                line["request"]
                for gateway in _GATEWAYS
                for line in system.read_log(gateway)
                if line["decision"] == "refused"
                and "quarantined" in line["reason"]
                and not line["request"].startswith("crashing")
            ]
            self.assertEqual([], refused)
            self.assertLessEqual(service.crashes, _MAX_CRASHES)

        self._run(work)

    def test_common_turn_is_served_after_two_servers_end_at_once(self) -> None:
        """Guards against refusing a turn of all programs for good.

        Two servers end at the same moment while they run turns with the same
        input; on the other servers such turns go on.
        """

        async def work(system: Deployment, service: CrashingService) -> None:
            running = self._send_common(system)
            await asyncio.sleep(_LONG_RUN_S * 0.4)
            await service.crash_busy(2)
            await asyncio.gather(*running)
            await self._check_common(system)

        self._run(work, run_s=_LONG_RUN_S)

    def test_common_turn_is_served_after_two_servers_end_in_turn(self) -> None:
        """Guards against refusing for good what other servers answer.

        The second server runs copies that were sent after the first one ended.
        """

        async def work(system: Deployment, service: CrashingService) -> None:
            running = self._send_common(system)
            await asyncio.sleep(_LONG_RUN_S * 0.4)
            await service.crash_busy(1)
            await asyncio.sleep(_LONG_RUN_S * 0.4)
            await service.crash_newest()
            await asyncio.gather(*running)
            await asyncio.sleep(_REPORT_WAIT_S)
            await self._check_common(system)

        self._run(work, run_s=_LONG_RUN_S * 1.6)

    def test_turn_that_two_servers_ended_under_is_served_again(self) -> None:
        """Guards against refusing a harmless turn for good.

        Two servers ended under it in turn, for reasons of their own, and no
        copy of it was under way that a server could answer.
        """

        async def work(system: Deployment, service: CrashingService) -> None:
            for number in range(2):
                turn = asyncio.ensure_future(
                    system.call("/c/rare", f"rare-{number}", _GATEWAYS[number])
                )
                await asyncio.sleep(_LONG_RUN_S * 0.5)
                await service.crash_newest()
                self.assertNotEqual(200, await turn)
                await asyncio.sleep(_REPORT_WAIT_S)
            for name in _GATEWAYS:
                status = await system.call("/c/rare", f"refused-{name}", name)
                self.assertEqual(503, status)
            await asyncio.sleep(_TERM_S)
            for name in _GATEWAYS:
                status = await system.call("/c/rare", f"served-{name}", name)
                self.assertEqual(200, status)

        self._run(work, run_s=_LONG_RUN_S)

    def test_harmful_turn_costs_one_server_after_its_term(self) -> None:
        """Guards against a crashing turn that is free once its term is over."""

        async def work(system: Deployment, service: CrashingService) -> None:
            for number in range(_PROGRAMS):
                await self._send(system, _CRASHING, number, b"body")
            crashes = service.crashes
            self.assertLessEqual(crashes, _MAX_CRASHES)
            await asyncio.sleep(_TERM_S)
            for number in range(_PROGRAMS, 2 * _PROGRAMS):
                await self._send(system, _CRASHING, number, b"body")
            self.assertEqual(crashes + 1, service.crashes)

        self._run(work)
