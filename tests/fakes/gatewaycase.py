"""A test case that plays before a gateway's serving."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import testtools

from tests.fakes.gatewayrig import WAIT_S

if TYPE_CHECKING:
    from collections.abc import Coroutine


class GatewayCase(testtools.TestCase):
    """Runs a play within a bounded time."""

    def run_within_limit(self, work: Coroutine[Any, Any, None]) -> None:
        async def bounded() -> None:
            await asyncio.wait_for(work, WAIT_S)

        asyncio.run(bounded())
