"""Tests background tasks."""

from __future__ import annotations

import asyncio

from catkinpin.adapters.tasks import (
    BackgroundTasks,
    brief,
    keep_running,
    log_loop_error,
)
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

    def test_loop_goes_on_after_a_failed_round(self) -> None:
        """Guards against a process that runs on without one of its loops."""
        rounds = 0

        async def work() -> None:
            nonlocal rounds
            while True:
                await asyncio.sleep(0)
                rounds += 1
                if rounds == 3:
                    raise ValueError("odd" * 5_000)

        async def main() -> None:
            tasks = BackgroundTasks()
            tasks.spawn(keep_running(work))
            async with asyncio.timeout(10):
                while rounds < 6:
                    await asyncio.sleep(0.01)
            tasks.cancel()
            await asyncio.sleep(0)

        with self.assertLogs("catkinpin.adapters.tasks", "ERROR") as logs:
            self.run_async(main())
        self.assertEqual(1, len(logs.output))
        self.assertIn("test_tasks.py", logs.output[0])
        self.assertLess(len(logs.output[0]), 1_000)

    def test_failed_callback_is_one_short_line(self) -> None:
        """Guards against tracebacks with what another program sent."""

        def fail() -> None:
            raise ValueError("9" * 5_000)

        async def main() -> None:
            loop = asyncio.get_running_loop()
            loop.set_exception_handler(log_loop_error)
            loop.call_soon(fail)
            await asyncio.sleep(0.01)

        with self.assertLogs("catkinpin.adapters.tasks", "ERROR") as logs:
            self.run_async(main())
        self.assertEqual(1, len(logs.output))
        self.assertEqual(1, len(logs.output[0].splitlines()))
        self.assertLess(len(logs.output[0]), 1_000)

    def test_line_about_an_exception_is_one_short_line(self) -> None:
        """Guards against logs that hold what another program sent."""
        try:
            raise ValueError("a\nb\ud800" + "9" * 5_000)
        except ValueError as exc:
            line = brief(exc)
        self.assertEqual(1, len(line.splitlines()))
        self.assertLess(len(line), 400)
        line.encode()
