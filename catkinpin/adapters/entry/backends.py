"""Connections to backend servers, and questions about attempts."""

from __future__ import annotations

import dataclasses
import enum
import json
import logging
from typing import TYPE_CHECKING

import aiohttp

from catkinpin import metrics
from catkinpin.core.messages import Answer
from catkinpin.exceptions import SentError
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from aiohttp import ClientHandlerType, ClientRequest, ClientResponse

    from catkinpin.core.messages import Granted

log = logging.getLogger(__name__)

VERDICT_HEADER = "Catkinpin-Verdict"
ATTEMPT_HEADER = "Catkinpin-Attempt"
INCARNATION_HEADER = "Catkinpin-Incarnation"
STATE_HEADER = "Catkinpin-Attempt-State"
STATE_WAITING = "waiting"
STATE_RUNNING = "running"
STATE_DONE = "done"
_STATUS_NOT_FOUND = 404
_CANCEL_TIMEOUT_S = 2.0


class AttemptState(enum.Enum):
    """What a server says of an attempt."""

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class AttemptStatus:
    """A server's status of an attempt, with the answer once it is done."""

    attempt_state: AttemptState
    answer: Answer | None = None


async def _send_once(
    req: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Keeps aiohttp from sending a request a second time by itself.

    The library sends GET, PUT and DELETE again when a connection breaks
    before the answer, on a fresh connection too. A service that broke off
    after it had acted would act twice. An error of a type that the library
    does not catch ends its loop.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise SentError(type(exc).__name__) from exc


# Errors of a connection on which the request may have left this host.
BROKEN = (SentError, aiohttp.ClientError, OSError)
# Errors of a connection that never stood.
UNCONNECTED = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class Backends:
    """Client sessions towards backend servers.

    Attributes:
        pooled: keeps connections open; for requests that may run twice.
        fresh: a new connection for each request. A server may close a kept
            connection while a request is on its way, and whether it ran is
            then unknown.
    """

    def __init__(self, connect_s: float) -> None:
        self.pooled = _session(connect_s, force_close=False)
        self.fresh = _session(connect_s, force_close=True)

    async def close(self) -> None:
        """Closes all connections."""
        await self.pooled.close()
        await self.fresh.close()

    async def ask(self, grant: Granted, timeout_s: float) -> AttemptStatus:
        """Asks a server, on a new connection, what became of an attempt."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.fresh.get(
                attempt_url(grant), timeout=timeout
            ) as resp:
                return await _attempt_status(grant, resp)
        except UNCONNECTED:
            return AttemptStatus(AttemptState.GONE)
        except (*BROKEN, TimeoutError):
            return AttemptStatus(AttemptState.UNKNOWN)

    async def cancel(self, grant: Granted) -> None:
        """Tells an engine that nobody wants an attempt's answer any more."""
        timeout = aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S)
        try:
            async with self.fresh.delete(attempt_url(grant), timeout=timeout):
                pass
        except (*BROKEN, TimeoutError) as exc:
            log.debug("cancel failed: %s", type(exc).__name__)


def _session(connect_s: float, *, force_close: bool) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, force_close=force_close),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
        middlewares=(_send_once,),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def attempt_url(grant: Granted) -> str:
    """Returns the URL of an attempt's status."""
    return f"{grant.server.address}/v1/attempts/{grant.attempt}"


def crossed(grant: Granted, resp: ClientResponse) -> bool:
    """Returns whether an answer belongs to another attempt; counts it."""
    named = resp.headers.get(ATTEMPT_HEADER, grant.attempt)
    if named == grant.attempt:
        return False
    log.warning("answer to another attempt dropped", extra={"attempt": named})
    metrics.DROPPED_ANSWERS.inc()
    return True


def other_incarnation(grant: Granted, resp: ClientResponse) -> bool:
    """Returns whether the server is another incarnation than was granted.

    A server that came back under its address knows nothing of what its
    earlier incarnation did; its "never heard of it" proves nothing.
    """
    named = resp.headers.get(INCARNATION_HEADER)
    return named is not None and named != grant.server.incarnation


def says_not_run(grant: Granted, resp: ClientResponse) -> bool:
    """Returns whether the granted incarnation of a server did not run it."""
    verdict = resp.headers.get(VERDICT_HEADER)
    return verdict == Verdict.NOT_RUN and not other_incarnation(grant, resp)


async def _attempt_status(
    grant: Granted, resp: ClientResponse
) -> AttemptStatus:
    if other_incarnation(grant, resp):
        return AttemptStatus(AttemptState.GONE)
    # A plain service may answer any path; only one that names the attempt
    # has understood the question.
    if resp.headers.get(ATTEMPT_HEADER) != grant.attempt:
        return AttemptStatus(AttemptState.UNKNOWN)
    if resp.status == _STATUS_NOT_FOUND and says_not_run(grant, resp):
        return AttemptStatus(AttemptState.NOT_RUN)
    state = resp.headers.get(STATE_HEADER, "")
    if state in (STATE_WAITING, STATE_RUNNING):
        return AttemptStatus(AttemptState.RUNNING)
    if state != STATE_DONE:
        return AttemptStatus(AttemptState.UNKNOWN)
    return AttemptStatus(AttemptState.DONE, await read_answer(resp))


async def read_answer(resp: ClientResponse) -> Answer:
    """Reads a plain service's whole answer."""
    return Answer(
        status=resp.status,
        content_type=resp.headers.get("Content-Type", ""),
        body=await resp.read(),
    )


def error_text(body: bytes) -> str:
    """Returns the text of a server's error, whatever its form."""
    try:
        return str(json.loads(body)["error"])[:500]
    except (ValueError, KeyError, TypeError):
        return body[:500].decode(errors="replace")
