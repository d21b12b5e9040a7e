"""Finds and reports servers that crashed while they ran a request."""

from __future__ import annotations

import asyncio
import hashlib
from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.adapters.gateway.work import ServerRun
from catkinpin.adapters.tasks import BackgroundTasks
from catkinpin.core.control.suspects import AnsweredRequest
from catkinpin.core.crashruns import MAX_CRASHES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.gateway.suspects import KnownSuspects
    from catkinpin.adapters.gateway.turns import TurnClient
    from catkinpin.adapters.gateway.usage import UsageReporter
    from catkinpin.adapters.gateway.work import OpenCall
    from catkinpin.core.placement.balance import Choice

# Longest wait for the report of a crash before its request fails. A commit
# takes some ms, and the way to another region and back 20 ms.
_REPORT_WAIT_S = 0.1
# Tells targets and bodies apart in the log, which must not contain them.
_LOG_DIGEST_BYTES = 4


class CrashReporter:
    """Reports servers that crashed while they ran a request.

    Args:
        turns: sends the reports of crashes.
        usage: sends the reports of suspected requests that were answered.
        suspects: the suspected and quarantined requests.
        is_reachable: returns whether the chosen server can still be reached.
    """

    def __init__(
        self,
        turns: TurnClient,
        usage: UsageReporter,
        suspects: KnownSuspects,
        is_reachable: Callable[[OpenCall, Choice], Awaitable[bool]],
    ) -> None:
        self._turns = turns
        self._usage = usage
        self._suspects = suspects
        self._is_reachable = is_reachable
        self._tasks = BackgroundTasks()

    def check_server(self, state: OpenCall, choice: Choice) -> None:
        """Reports a server that broke off, if it can't be reached any more."""
        check = self._tasks.spawn(self._has_crashed(state, choice))
        state.break_checks.append(check)
        run = ServerRun(
            f"{choice.instance.id}/{choice.instance.started_ms}",
            state.answer_times.sent_s,
            asyncio.get_running_loop().time(),
            state.is_suspected,
        )
        state.crash_reports.append(
            self._tasks.spawn(self._report_crash(state, run, check))
        )

    async def has_crashed_servers(self, state: OpenCall) -> bool:
        """Returns whether as many servers crashed as one request may crash.

        A suspect had a crash before this call.
        """
        is_suspect = self._suspects.is_suspect(state.digests)
        limit = MAX_CRASHES - int(is_suspect)
        if len(state.break_checks) < limit:
            return False
        done, _ = await asyncio.wait(state.break_checks)
        return sum(check.result() for check in done) >= limit

    async def wait_until_reported(self, state: OpenCall) -> None:
        """Waits for a short while until a request's crashes are reported.

        A caller that is told of the failure sends the request again at once,
        and the next gateway would not know of the crash yet.
        """
        if state.crash_reports:
            await asyncio.wait(state.crash_reports, timeout=_REPORT_WAIT_S)

    def record_answer(self, state: OpenCall) -> None:
        """Reports that a server answered a request that is thought harmful."""
        digests = state.digests
        if self._suspects.is_suspect(digests) or (
            self._suspects.is_quarantined(digests)
        ):
            self._usage.record_answered(
                AnsweredRequest(
                    shared=digests.shared,
                    content=digests.content,
                    path=digests.path,
                )
            )

    async def _has_crashed(self, state: OpenCall, choice: Choice) -> bool:
        return not await self._is_reachable(state, choice)

    async def _report_crash(
        self,
        state: OpenCall,
        run: ServerRun,
        check: asyncio.Task[bool],
    ) -> None:
        has_crashed = await check
        result = "crashed" if has_crashed else "reachable"
        metrics.SERVER_BREAKS.labels(result).inc()
        decisions.note(
            "server-break",
            state.call.attempt,
            server=run.server,
            result=result,
            content=state.digests.content,
            shared=state.digests.shared,
            path=state.digests.path,
            target=_short_digest(state.request.target),
            body=_short_digest(state.request.body),
            affinity=_short_digest(state.call.affinity.encode()),
            program=state.call.program,
            account=state.call.account,
            route=state.route.name,
            ran_ms=run.ran_ms,
            body_bytes=len(state.request.body),
            prompt=[part.id for part in state.call.prompt],
        )
        if has_crashed:
            await self._turns.report_crash(state.digests, run)


def _short_digest(data: bytes) -> str:
    """Returns a digest for the log; empty for no data."""
    if not data:
        return ""
    return hashlib.blake2b(data, digest_size=_LOG_DIGEST_BYTES).hexdigest()
