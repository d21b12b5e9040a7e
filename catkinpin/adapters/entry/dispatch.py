"""Sends a granted call to its backend server and determines the outcome."""

from __future__ import annotations

import asyncio
import json
import logging
from typing import TYPE_CHECKING

import aiohttp

from catkinpin import metrics, tracing
from catkinpin.adapters.entry import (
    backends,
    grants,
    modelcalls,
    outcomes,
    servicecalls,
)
from catkinpin.adapters.peers import borders
from catkinpin.core import messages
from catkinpin.core.requests import pauses
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.entry.outgoing import (
        BackendRequest,
        BackendTimeouts,
    )
    from catkinpin.clock import Clock
    from catkinpin.core.messages import Finish, Granted

log = logging.getLogger(__name__)

_MS_PER_S = 1000
_RELEASE_TIMEOUT_S = 5.0


class Dispatcher:
    """Dispatches calls to backend servers.

    Attributes:
        grants: the grants that were used or revoked here.
    """

    def __init__(self, timeouts: BackendTimeouts, clock: Clock) -> None:
        self._timeouts = timeouts
        self._clock = clock
        self._sessions = backends.BackendSessions(
            timeouts.connect_ms / _MS_PER_S
        )
        self._gap_estimator = pauses.GapEstimator(
            timeouts.progress_low_ms, timeouts.progress_high_ms
        )
        self.grants = grants.Grants()
        self._cancel_tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Closes all connections."""
        await self._sessions.close()

    def use_grant(self, grant: Granted) -> Finish | None:
        """Marks a grant as used; returns the outcome if it can't be used.

        A resent reply may deliver a grant twice, and the request must not be
        sent twice. A grant that expired in a buffer while this process was
        frozen may have been given to another entry.
        """
        if not self.grants.mark_used(grant.attempt):
            metrics.DROPPED_ANSWERS.inc()
            text = "this grant was used before"
            return outcomes.may_have_run(grant, Reason.OUTCOME_UNKNOWN, text)
        if grant.until_ms and self._clock.now_ms() >= grant.until_ms:
            text = "the grant came too late to be used"
            return outcomes.not_run(grant, Reason.NOT_READY, text)
        return None

    async def dispatch(
        self,
        grant: Granted,
        req: BackendRequest,
        on_data: Callable[[bytes], None],
    ) -> Finish:
        """Runs one attempt.

        Args:
            grant: permission to dispatch, with the server.
            req: the request.
            on_data: called with each event of a model's stream, in order.

        Returns:
            The outcome. Raises only if cancelled.
        """

        async def run_attempt(headers: dict[str, str]) -> Finish:
            if req.kind == "model":
                return await self._model_call(
                    grant, req, headers, on_data
                ).run()
            return await self._service_call(grant, req, headers).run()

        return await self._run_until_deadline(
            "dispatch", grant, req, run_attempt
        )

    async def recover(
        self,
        grant: Granted,
        req: BackendRequest,
        offset: int,
        on_data: Callable[[bytes], None],
    ) -> Finish:
        """Continues an attempt that another process sent or may have sent.

        That process may still send the request later. If the server answers
        that the attempt did not run, it refuses the attempt from then on
        (docs/user/servers.md), so the answer stays true.

        Args:
            grant: the grant that was used for the attempt.
            req: the request; it is not sent again.
            offset: number of events that the caller's entry already has.
            on_data: called with each further event.

        Returns:
            The outcome.
        """

        async def run_attempt(headers: dict[str, str]) -> Finish:
            if req.kind == "model":
                call = self._model_call(grant, req, headers, on_data)
                return await call.recover(offset)
            return await self._service_call(grant, req, headers).recover()

        return await self._run_until_deadline(
            "recover", grant, req, run_attempt
        )

    async def _run_until_deadline(
        self,
        name: str,
        grant: Granted,
        req: BackendRequest,
        run_attempt: Callable[[dict[str, str]], Awaitable[Finish]],
    ) -> Finish:
        """Runs an attempt in a tracing span, until its deadline at most."""
        with tracing.span(name, req.traceparent) as span:
            span.note("attempt", grant.attempt)
            span.note("server", grant.server.server)
            headers = _request_headers(grant, req, span.traceparent)
            try:
                async with asyncio.timeout(req.deadline_ms / _MS_PER_S):
                    finish = await run_attempt(headers)
            except TimeoutError:
                text = "the deadline passed"
                finish = outcomes.may_have_run(grant, Reason.DEADLINE, text)
            except Exception as exc:
                # Without an outcome, the attempt would block its slot and the
                # program's next call until the deadline.
                log.warning(
                    "attempt failed: %s",
                    borders.shown(exc),
                    extra={"server": grant.server.server},
                )
                finish = outcomes.may_have_run(
                    grant,
                    Reason.SERVER_FAILED,
                    f"{grant.server.server}: {type(exc).__name__}",
                )
            span.note("verdict", finish.verdict)
        is_unknown = finish.verdict is Verdict.MAY_HAVE_RUN
        if is_unknown and req.kind == "model":
            self._cancel_attempt(grant)
        return finish

    async def release(
        self, order: messages.OrderRelease
    ) -> messages.ReleaseDone | None:
        """Orders a server to release the memory of programs.

        Returns:
            The programs that it released, or None if there are none.
        """
        url = order.server.address + "/v1/programs/release"
        released = []
        incarnation = ""
        try:
            for program in order.programs:
                async with self._sessions.pooled.post(
                    url,
                    json={"program": program},
                    timeout=aiohttp.ClientTimeout(total=_RELEASE_TIMEOUT_S),
                ) as resp:
                    resp.raise_for_status()
                    answer = json.loads(await backends.read_body(resp))
                # Another incarnation can't confirm a release by this one.
                if answer["incarnation"] != order.server.incarnation:
                    break
                incarnation = order.server.incarnation
                released.append(program)
        except (
            *backends.CONNECTION_ERRORS,
            TimeoutError,
            ValueError,
            KeyError,
            TypeError,
            RecursionError,
        ) as exc:
            log.warning(
                "release failed: %s",
                borders.shown(exc),
                extra={"server": order.server.server},
            )
        if not released:
            return None
        return messages.ReleaseDone(
            group=order.group,
            server=order.server.server,
            incarnation=incarnation,
            programs=released,
        )

    def _model_call(
        self,
        grant: Granted,
        req: BackendRequest,
        headers: dict[str, str],
        on_data: Callable[[bytes], None],
    ) -> modelcalls.ModelCall:
        return modelcalls.ModelCall(
            self._sessions,
            grant,
            req,
            headers,
            self._gap_estimator,
            self._timeouts.first_token_ms / _MS_PER_S,
            on_data,
        )

    def _service_call(
        self, grant: Granted, req: BackendRequest, headers: dict[str, str]
    ) -> servicecalls.ServiceCall:
        check_interval_s = self._timeouts.progress_high_ms / _MS_PER_S
        return servicecalls.ServiceCall(
            self._sessions, grant, req, headers, check_interval_s
        )

    def _cancel_attempt(self, grant: Granted) -> None:
        """Starts to cancel an attempt at an engine."""
        task = asyncio.create_task(self._sessions.cancel(grant))
        self._cancel_tasks.add(task)
        task.add_done_callback(self._cancel_tasks.discard)


def _request_headers(
    grant: Granted, req: BackendRequest, traceparent: str
) -> dict[str, str]:
    headers = dict(req.headers)
    headers[backends.ATTEMPT_HEADER] = grant.attempt
    headers["Catkinpin-Program"] = f"{grant.key.account}/{grant.key.program}"
    headers["Catkinpin-Priority"] = str(grant.priority)
    headers["Catkinpin-Deadline-Ms"] = str(req.deadline_ms)
    headers["Idempotency-Key"] = grant.key.request_id
    # A server refuses a request that names an earlier incarnation.
    headers[backends.INCARNATION_HEADER] = grant.server.incarnation
    if traceparent:
        headers["traceparent"] = traceparent
    return headers
