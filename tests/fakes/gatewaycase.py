"""A test case for coroutines that send requests to a gateway."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import testtools

from tests.fakes.gatewayrig import TIME_LIMIT_S

if TYPE_CHECKING:
    from collections.abc import Coroutine


class GatewayCase(testtools.TestCase):
    """Runs coroutines with a time limit."""

    def run_within_limit(self, coroutine: Coroutine[Any, Any, None]) -> None:
        async def bounded() -> None:
            await asyncio.wait_for(coroutine, TIME_LIMIT_S)

        asyncio.run(bounded())
