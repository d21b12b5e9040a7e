"""Runs two attempts of one call and lets the first answer win."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.adapters.gateway.timings import AnswerTimes
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from catkinpin.adapters.gateway.work import OpenCall


class Race:
    """The attempts of one call, of which one may answer the caller.

    Args:
        call: state of the call and of its first attempt.

    Attributes:
        winner: the attempt that answers the caller; None while there is none.
    """

    def __init__(self, call: OpenCall) -> None:
        self._call = call
        self._hedge: OpenCall | None = None
        self._tasks: dict[asyncio.Task[bool], OpenCall] = {}
        self.winner: OpenCall | None = None

    @property
    def hedge(self) -> OpenCall | None:
        """State of the second attempt; None while there is none."""
        return self._hedge

    def new_hedge(self) -> OpenCall:
        """Returns the state of a second attempt.

        It shares the lists of servers with the first one, but has a verdict
        and a count of runs of its own.
        """
        return dataclasses.replace(
            self._call,
            verdict=Verdict.NOT_RUN,
            run_count=0,
            reason="",
            choice=None,
            answer_times=AnswerTimes(),
        )

    def start(
        self, attempt: OpenCall, coroutine: Coroutine[Any, Any, bool]
    ) -> None:
        """Starts an attempt, whose result is whether it answered."""
        if attempt is not self._call:
            self._hedge = attempt
        self._tasks[asyncio.ensure_future(coroutine)] = attempt

    def may_answer(self, attempt: OpenCall) -> bool:
        """Returns whether no other attempt answers the caller."""
        return self.winner is None or self.winner is attempt

    def claim(self, attempt: OpenCall) -> None:
        """Makes an attempt the winner and cancels the other one.

        The cancelled attempt closes its connection, so that its server stops
        working on the request.
        """
        self.winner = attempt
        for task, other in self._tasks.items():
            if other is not attempt:
                other.is_superseded = True
                task.cancel()

    def is_last_attempt(self) -> bool:
        """Returns whether no attempt beside the running one can answer."""
        runs = self._call.run_count
        if self._hedge is not None:
            runs += self._hedge.run_count
        return self.is_single_attempt and runs >= self._call.route.max_attempts

    @property
    def is_single_attempt(self) -> bool:
        """Whether only one attempt is running."""
        return sum(not task.done() for task in self._tasks) == 1

    async def wait_first(self, timeout_s: float) -> bool:
        """Waits for the first attempt; returns whether it has ended."""
        await asyncio.wait(self._tasks, timeout=timeout_s)
        return all(task.done() for task in self._tasks)

    async def result(self) -> bool:
        """Waits until an attempt has answered or all have failed."""
        pending = set(self._tasks)
        while pending:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                # What became of a cancelled attempt does not matter.
                if self.may_answer(self._tasks[task]) and task.result():
                    return True
        return False

    async def end(self) -> None:
        """Cancels the attempts that still run, and merges their states."""
        for task in self._tasks:
            task.cancel()
        try:
            await asyncio.gather(*self._tasks, return_exceptions=True)
        finally:
            self._merge()

    def _merge(self) -> None:
        """Adds the second attempt to the state of the call."""
        call, hedge = self._call, self._hedge
        if hedge is None:
            return
        call.run_count += hedge.run_count
        if self.winner is hedge:
            call.choice = hedge.choice
            call.answer_times = hedge.answer_times
            call.verdict = hedge.verdict
            call.reason = hedge.reason
            return
        call.reason = call.reason or hedge.reason
        if self.winner is None:
            call.verdict = (
                Verdict.MAY_HAVE_RUN if call.run_count else Verdict.NOT_RUN
            )
