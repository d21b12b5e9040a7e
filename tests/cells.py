"""Base class of the fault tests: runs a cluster and checks results."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from tests import base, replies

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

SHORT_TIMEOUTS_MS = {"progress_timeout_ms": 600, "progress_timeout_low_ms": 200}
PROMPT_REPLY_S = 3.0
TOKENS = 20
# More than an engine of these tests runs at a time.
_PROBES = 8


def call_at_token(number: int, act: Callable[[], Any]) -> Any:
    """Returns an `on_token` callback that calls `act` at token `number`."""

    async def on_token(count: int) -> None:
        if count == number:
            result = act()
            if result is not None:
                await result

    return on_token


class FaultsTest(base.TestCase):
    """Base class of the fault tests."""

    def run_on_cluster(
        self, body: Callable[[base.Cluster], Awaitable[None]], **parts: Any
    ) -> None:
        """Runs the body of a test on a new small cluster.

        Args:
            body: receives the cluster.
            **parts: arguments of `base.small`.
        """

        async def main() -> None:
            async with await base.small(self.folder, **parts) as cluster:
                await body(cluster)

        self.run_async(main())

    def assert_complete(self, got: replies.Streamed) -> None:
        """Checks that a stream has each token once and one regular end."""
        self.assertEqual(200, got.status)
        self.assertIsNone(got.error)
        self.assertEqual(TOKENS, len(got.text.split(" ")), got.text)
        self.assertEqual(1, got.finished)
        self.assertTrue(got.done)

    async def wait_until_called(self, cluster: base.Cluster, name: str) -> None:
        """Sends probe calls until an engine has received one.

        Several at a time: a single one goes to the engine that has its prompt
        cached, until some hundred programs have used up its room.
        """

        async def check() -> bool:
            probe = [base.user("probe")]
            await asyncio.gather(
                *(
                    cluster.chat("entry-1", "berater", probe)
                    for _ in range(_PROBES)
                )
            )
            return bool((await cluster.look(name))["seen"])

        await base.until(check, f"{name} receives a call")

    async def wait_for_effect(self, cluster: base.Cluster, key: str) -> None:
        """Waits until the service has recorded the effect of a request."""

        async def check() -> bool:
            seen = await cluster.look("service-1")
            return bool(seen["effects"].get(key))

        await base.until(check, f"the effect of {key}")

    async def call_pay(
        self,
        cluster: base.Cluster,
        entry: str = "entry-1",
        key: str = "pay-1",
        **options: Any,
    ) -> replies.Reply:
        """Makes a non-idempotent service call."""
        headers = {"Idempotency-Key": key, "Catkinpin-Deadline-Ms": "8000"}
        headers |= options.pop("headers", {})
        return await cluster.call_service(
            entry, "kiosk-app", "pay", "12.50", headers=headers, **options
        )
