"""Runs an attempt at a plain service."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from catkinpin import metrics
from catkinpin.adapters.entry import backends, outcomes
from catkinpin.adapters.entry.backends import AttemptState
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from catkinpin.adapters.entry.outgoing import BackendRequest
    from catkinpin.core.messages import Finish, Granted

# Interval of status requests for an attempt whose connection has broken.
_STATUS_POLL_INTERVAL_S = 0.1


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """An attempt at a plain service.

    Attributes:
        check_interval_s: how often the server is asked for the status of an
            unanswered attempt. It is asked on a new connection, because the
            old one may have failed silently.
    """

    sessions: backends.BackendSessions
    grant: Granted
    req: BackendRequest
    headers: dict[str, str]
    check_interval_s: float

    async def run(self) -> Finish:
        """Sends the request and returns the outcome."""
        task = asyncio.create_task(self._send_request())
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=self.check_interval_s)
                if not task.done():
                    finish = await self._check_attempt()
                    if finish is not None:
                        return finish
            return task.result() or await self.recover()
        finally:
            task.cancel()

    async def recover(self) -> Finish:
        """Asks for the outcome of an attempt whose connection broke."""
        while True:
            status = await self.sessions.query_attempt(
                self.grant, self.check_interval_s
            )
            finish = self._final_outcome(status)
            if finish is not None:
                return finish
            if status.attempt_state is not AttemptState.RUNNING:
                # Asking again would not help, and the caller must learn at
                # once that the outcome is unknown.
                return outcomes.may_have_run(
                    self.grant,
                    Reason.OUTCOME_UNKNOWN,
                    f"{self.grant.server.server}: the connection broke, and"
                    " the server can't tell whether the request ran",
                    crashed=status.attempt_state is AttemptState.GONE,
                )
            await asyncio.sleep(_STATUS_POLL_INTERVAL_S)

    async def _send_request(self) -> Finish | None:
        """Returns the outcome, or None if the connection broke."""
        url = self.grant.server.address + self.req.path
        try:
            async with self.sessions.unpooled.request(
                self.req.method,
                url,
                data=self.req.body,
                headers=self.headers,
                allow_redirects=False,
            ) as resp:
                if backends.answers_other_attempt(self.grant, resp):
                    return None
                if backends.confirms_not_run(self.grant, resp):
                    text = await backends.read_error_text(resp)
                    return outcomes.not_run(
                        self.grant, Reason.SERVER_REFUSED, text
                    )
                answer = await backends.read_answer(resp)
                return outcomes.ran(self.grant, answer)
        except backends.CONNECT_ERRORS as exc:
            text = f"{self.grant.server.server}: {type(exc).__name__}"
            return outcomes.not_run(self.grant, Reason.SERVER_FAILED, text)
        except (*backends.CONNECTION_ERRORS, TimeoutError):
            return None

    async def _check_attempt(self) -> Finish | None:
        """Returns the outcome of an unanswered attempt; None if undecided."""
        status = await self.sessions.query_attempt(
            self.grant, self.check_interval_s
        )
        finish = self._final_outcome(status)
        if finish is not None:
            metrics.RETIRED_CONNECTIONS.labels("service").inc()
        return finish

    def _final_outcome(self, status: backends.AttemptStatus) -> Finish | None:
        if (
            status.attempt_state is AttemptState.DONE
            and status.answer is not None
        ):
            return outcomes.ran(self.grant, status.answer)
        if status.attempt_state is AttemptState.NOT_RUN:
            text = "the server says that the request did not run"
            return outcomes.not_run(self.grant, Reason.SERVER_FAILED, text)
        return None
