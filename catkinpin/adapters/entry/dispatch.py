"""Sends a granted call to its backend server and judges the outcome."""

from __future__ import annotations

import asyncio
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
from catkinpin.core import messages
from catkinpin.core.requests import pauses
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.entry.outgoing import Outgoing, Timeouts
    from catkinpin.clock import Clock
    from catkinpin.core.messages import Finish, Granted

log = logging.getLogger(__name__)

_MS_PER_S = 1000
_RELEASE_S = 5.0


class Dispatcher:
    """Dispatches calls to the servers of this entry's region.

    Attributes:
        grants: those used or taken back here.
    """

    def __init__(self, timeouts: Timeouts, clock: Clock) -> None:
        self._timeouts = timeouts
        self._clock = clock
        self._servers = backends.Backends(timeouts.connect_ms / _MS_PER_S)
        self._gaps = pauses.GapEstimator(
            timeouts.progress_low_ms, timeouts.progress_high_ms
        )
        self.grants = grants.Grants()
        self._cancels: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Closes all connections."""
        await self._servers.close()

    def use(self, grant: Granted) -> Finish | None:
        """Uses a grant up; returns the outcome where it can't be used.

        A grant that comes a second time, by a reply that was sent again,
        must not send the request a second time; one that lay in a buffer
        while this process stood still may have been given to another since.
        """
        if not self.grants.mark_used(grant.attempt):
            metrics.DROPPED_ANSWERS.inc()
            text = "this grant was used before"
            return outcomes.failed(grant, Reason.OUTCOME_UNKNOWN, text)
        if grant.until_ms and self._clock.now_ms() >= grant.until_ms:
            text = "the grant came too late to be used"
            return outcomes.not_run(grant, Reason.NOT_READY, text)
        return None

    async def dispatch(
        self, grant: Granted, req: Outgoing, on_data: Callable[[bytes], None]
    ) -> Finish:
        """Runs one attempt.

        Args:
            grant: permission to dispatch, with the server.
            req: the request.
            on_data: called with each event of a model's stream, in order.

        Returns:
            The outcome; never raises but for cancellation.
        """

        async def work(headers: dict[str, str]) -> Finish:
            if req.kind == "model":
                return await self._model(grant, req, headers, on_data).run()
            return await self._service(grant, req, headers).run()

        return await self._bounded("dispatch", grant, req, work)

    async def recover(
        self,
        grant: Granted,
        req: Outgoing,
        offset: int,
        on_data: Callable[[bytes], None],
    ) -> Finish:
        """Goes on with an attempt that another process has sent, or may have.

        Where that process may send it only now, a server's word that it did
        not run is still safe: a server that gives it refuses the attempt from
        then on (docs/user/servers.md).

        Args:
            grant: the grant that was used for it.
            req: the request; it is not sent again.
            offset: text events that the caller's entry already has.
            on_data: called with each further event.
        """

        async def work(headers: dict[str, str]) -> Finish:
            if req.kind == "model":
                call = self._model(grant, req, headers, on_data)
                return await call.recover(offset)
            return await self._service(grant, req, headers).recover()

        return await self._bounded("recover", grant, req, work)

    async def _bounded(
        self,
        name: str,
        grant: Granted,
        req: Outgoing,
        work: Callable[[dict[str, str]], Awaitable[Finish]],
    ) -> Finish:
        """Runs `work` in a span of its own, to the deadline at most."""
        with tracing.hop(name, req.traceparent) as hop:
            hop.note("attempt", grant.attempt)
            hop.note("server", grant.server.server)
            headers = _headers(grant, req, hop.traceparent)
            try:
                async with asyncio.timeout(req.deadline_ms / _MS_PER_S):
                    finish = await work(headers)
            except TimeoutError:
                text = "the deadline passed"
                finish = outcomes.failed(grant, Reason.DEADLINE, text)
            except ValueError as exc:
                finish = outcomes.failed(
                    grant,
                    Reason.SERVER_FAILED,
                    f"{grant.server.server}: {type(exc).__name__}",
                )
            hop.note("verdict", finish.verdict)
        unknown = finish.verdict is Verdict.MAY_HAVE_RUN
        if unknown and req.kind == "model":
            self._cancel(grant)
        return finish

    async def release(
        self, order: messages.OrderRelease
    ) -> messages.ReleaseDone | None:
        """Orders a server to release the memory of programs.

        Returns:
            What it released, or None where it answered nothing.
        """
        url = order.server.address + "/v1/programs/release"
        released = []
        incarnation = ""
        try:
            for program in order.programs:
                async with self._servers.pooled.post(
                    url,
                    json={"program": program},
                    timeout=aiohttp.ClientTimeout(total=_RELEASE_S),
                ) as resp:
                    resp.raise_for_status()
                    answer = await resp.json()
                # Orders to another incarnation prove nothing here.
                if answer["incarnation"] != order.server.incarnation:
                    break
                incarnation = order.server.incarnation
                released.append(program)
        except (*backends.BROKEN, TimeoutError, ValueError, KeyError) as exc:
            log.warning(
                "release failed: %s", exc, extra={"server": order.server.server}
            )
        if not released:
            return None
        return messages.ReleaseDone(
            group=order.group,
            server=order.server.server,
            incarnation=incarnation,
            programs=released,
        )

    def _model(
        self,
        grant: Granted,
        req: Outgoing,
        headers: dict[str, str],
        on_data: Callable[[bytes], None],
    ) -> modelcalls.ModelCall:
        return modelcalls.ModelCall(
            self._servers,
            grant,
            req,
            headers,
            self._gaps,
            self._timeouts.first_token_ms / _MS_PER_S,
            on_data,
        )

    def _service(
        self, grant: Granted, req: Outgoing, headers: dict[str, str]
    ) -> servicecalls.ServiceCall:
        check_s = self._timeouts.progress_high_ms / _MS_PER_S
        return servicecalls.ServiceCall(
            self._servers, grant, req, headers, check_s
        )

    def _cancel(self, grant: Granted) -> None:
        """Has an engine stop an attempt that nobody waits for any more."""
        task = asyncio.create_task(self._servers.cancel(grant))
        self._cancels.add(task)
        task.add_done_callback(self._cancels.discard)


def _headers(grant: Granted, req: Outgoing, traceparent: str) -> dict[str, str]:
    headers = dict(req.headers)
    headers[backends.ATTEMPT_HEADER] = grant.attempt
    headers["Catkinpin-Program"] = f"{grant.key.account}/{grant.key.program}"
    headers["Catkinpin-Priority"] = str(grant.priority)
    headers["Catkinpin-Deadline-Ms"] = str(req.deadline_ms)
    headers["Idempotency-Key"] = grant.key.request_id
    # A server refuses a request that is meant for an earlier incarnation.
    headers[backends.INCARNATION_HEADER] = grant.server.incarnation
    if traceparent:
        headers["traceparent"] = traceparent
    return headers
