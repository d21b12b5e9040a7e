"""One attempt at a plain service."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from catkinpin import metrics
from catkinpin.adapters.entry import backends, outcomes
from catkinpin.adapters.entry.backends import AttemptState
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from catkinpin.adapters.entry.outgoing import Outgoing
    from catkinpin.core.messages import Finish, Granted

# Between two questions about an attempt whose connection has broken.
_ASK_RETRY_S = 0.1


@dataclasses.dataclass(frozen=True)
class ServiceCall:
    """An attempt at a plain service.

    Attributes:
        check_s: after so long without an answer the server is asked on a new
            connection, for the old one may have gone silent for good.
    """

    servers: backends.Backends
    grant: Granted
    req: Outgoing
    headers: dict[str, str]
    check_s: float

    async def run(self) -> Finish:
        """Sends the request and returns the outcome."""
        task = asyncio.create_task(self._request())
        try:
            while not task.done():
                await asyncio.wait({task}, timeout=self.check_s)
                if not task.done():
                    finish = await self._check()
                    if finish is not None:
                        return finish
            return task.result() or await self.recover()
        finally:
            task.cancel()

    async def recover(self) -> Finish:
        """Finds out what became of a request whose connection broke."""
        while True:
            status = await self.servers.ask(self.grant, self.check_s)
            finish = self._decided(status)
            if finish is not None:
                return finish
            if status.attempt_state is not AttemptState.RUNNING:
                # Whoever waited on would find out nothing more, and the
                # caller must hear at once that the outcome is unknown.
                return outcomes.failed(
                    self.grant,
                    Reason.OUTCOME_UNKNOWN,
                    f"{self.grant.server.server}: the connection broke, and"
                    " the server can't tell whether the request ran",
                    crashed=status.attempt_state is AttemptState.GONE,
                )
            await asyncio.sleep(_ASK_RETRY_S)

    async def _request(self) -> Finish | None:
        """Returns the outcome, or None where the connection broke."""
        url = self.grant.server.address + self.req.path
        try:
            async with self.servers.fresh.request(
                self.req.method,
                url,
                data=self.req.body,
                headers=self.headers,
                allow_redirects=False,
            ) as resp:
                if backends.crossed(self.grant, resp):
                    return None
                if backends.says_not_run(self.grant, resp):
                    text = backends.error_text(await resp.read())
                    return outcomes.not_run(
                        self.grant, Reason.SERVER_REFUSED, text
                    )
                answer = await backends.read_answer(resp)
                return outcomes.whole(self.grant, answer)
        except backends.UNCONNECTED as exc:
            text = f"{self.grant.server.server}: {type(exc).__name__}"
            return outcomes.not_run(self.grant, Reason.SERVER_FAILED, text)
        except (*backends.BROKEN, TimeoutError):
            return None

    async def _check(self) -> Finish | None:
        """Asks about a request that is not answered; None: wait on."""
        status = await self.servers.ask(self.grant, self.check_s)
        finish = self._decided(status)
        if finish is not None:
            metrics.RETIRED_CONNECTIONS.labels("service").inc()
        return finish

    def _decided(self, status: backends.AttemptStatus) -> Finish | None:
        if (
            status.attempt_state is AttemptState.DONE
            and status.answer is not None
        ):
            return outcomes.whole(self.grant, status.answer)
        if status.attempt_state is AttemptState.NOT_RUN:
            text = "the server says that the request did not run"
            return outcomes.not_run(self.grant, Reason.SERVER_FAILED, text)
        return None
