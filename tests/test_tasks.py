"""Tests background tasks."""

from __future__ import annotations

import asyncio

from catkinpin.adapters.tasks import BackgroundTasks
from tests import base


class TasksTest(base.TestCase):
    """Tasks that nothing awaits."""

    def test_failure_is_written_to_the_log(self) -> None:
        """Guards against failures that go unnoticed as nothing awaits them."""

        async def fails() -> None:
            raise ValueError("broken")

        async def main() -> None:
            tasks = BackgroundTasks()
            tasks.spawn(fails())
            self.assertEqual(1, len(tasks))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            self.assertEqual(0, len(tasks))

        with self.assertLogs("catkinpin.adapters.tasks", "ERROR") as logs:
            self.run_async(main())
        self.assertIn("broken", logs.output[0])

    def test_cancelled_work_is_no_failure(self) -> None:
        async def main() -> None:
            tasks = BackgroundTasks()
            waiting = tasks.spawn(asyncio.sleep(60))
            await asyncio.sleep(0)
            tasks.cancel()
            await asyncio.wait({waiting})
            await asyncio.sleep(0)
            self.assertEqual(0, len(tasks))

        with self.assertNoLogs("catkinpin.adapters.tasks", "ERROR"):
            self.run_async(main())
