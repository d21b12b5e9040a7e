"""HTTP sessions to backend servers, and requests for attempts' status."""

from __future__ import annotations

import asyncio
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
_MIN_STATUS = 100
_STATUS_NOT_FOUND = 404
_STATUSES_WITHOUT_BODY = frozenset({204, 304})
_CANCEL_TIMEOUT_S = 2.0
# A server may send bytes without end. Longer bodies are not read.
_MAX_BODY_BYTES = 16 * 1024 * 1024
_MAX_ERROR_BYTES = 64 * 1024
_ERROR_TIMEOUT_S = 0.2


class AttemptState(enum.Enum):
    """State of an attempt, as its server reports it.

    Attributes:
        UNKNOWN: the server did not answer or can't tell.
        GONE: the server was restarted or accepts no connections.
    """

    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"
    GONE = "gone"


@dataclasses.dataclass(frozen=True)
class AttemptStatus:
    """Status of an attempt, with its answer once it is done."""

    attempt_state: AttemptState
    answer: Answer | None = None


async def _send_once(
    req: ClientRequest, handler: ClientHandlerType
) -> ClientResponse:
    """Sends a request once, and refuses answers without a valid status.

    aiohttp resends GET, PUT and DELETE if a connection breaks before the
    response, even on a new connection. A service that acted before the
    connection broke would then act twice. Raising an error of a type that
    aiohttp does not catch ends its retries.

    aiohttp also takes a status below 100 for that of an answer, and such an
    answer raises the same error.
    """
    try:
        resp = await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise SentError(type(exc).__name__) from exc
    if resp.status < _MIN_STATUS:
        resp.close()
        raise SentError(f"status {resp.status:03}")
    return resp


# Connection errors after which the request may have left this host.
CONNECTION_ERRORS = (SentError, aiohttp.ClientError, OSError)
# Errors of a connection that was never established.
CONNECT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)


class _ObservedConnector(aiohttp.TCPConnector):
    """Observes from the start how each connection ends."""

    async def connect(
        self,
        req: ClientRequest,
        traces: list[aiohttp.tracing.Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Returns a connection for a request."""
        conn = await super().connect(req, traces, timeout)
        # The future exists only if it is asked for while the connection is
        # open. An error that nobody reads from it would be logged.
        closing = conn.protocol.closed if conn.protocol is not None else None
        if closing is not None:
            closing.remove_done_callback(_ignore_error)
            closing.add_done_callback(_ignore_error)
        return conn


def _ignore_error(closing: asyncio.Future[None]) -> None:
    if not closing.cancelled():
        closing.exception()


class _ObservedResponse(aiohttp.ClientResponse):
    """An answer that knows how its connection ended.

    Attributes:
        closing: done once the connection has ended, with an error if it broke;
            None if it ended before the answer began.
    """

    closing: asyncio.Future[None] | None = None

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Reads the head of the answer."""
        if connection.protocol is not None:
            self.closing = connection.protocol.closed
        return await super().start(connection)

    def is_cut_off(self) -> bool:
        """Returns whether a body that was read may lack its end.

        A body without a length ends with its connection. aiohttp ends it in
        the same way when the connection is reset.
        """
        has_end = (
            "Content-Length" in self.headers
            or "chunked" in self.headers.get("Transfer-Encoding", "").lower()
            or self.method == "HEAD"
            or self.status in _STATUSES_WITHOUT_BODY
        )
        if has_end:
            return False
        closing = self.closing
        return (
            closing is None
            or not closing.done()
            or closing.cancelled()
            or closing.exception() is not None
        )


class BackendSessions:
    """Client sessions for backend servers.

    Attributes:
        pooled: reuses connections; for requests that may run twice.
        unpooled: opens a new connection for each request. A server may close a
            reused connection just when a request is sent, and whether the
            request ran is then unknown.
    """

    def __init__(self, connect_timeout_s: float) -> None:
        self.pooled = _make_session(connect_timeout_s, force_close=False)
        self.unpooled = _make_session(connect_timeout_s, force_close=True)

    async def close(self) -> None:
        """Closes all connections."""
        await self.pooled.close()
        await self.unpooled.close()

    async def query_attempt(
        self, grant: Granted, timeout_s: float
    ) -> AttemptStatus:
        """Asks a server for an attempt's status, on a new connection."""
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        try:
            async with self.unpooled.get(
                attempt_url(grant), timeout=timeout
            ) as resp:
                return await _attempt_status(grant, resp)
        except CONNECT_ERRORS:
            return AttemptStatus(AttemptState.GONE)
        except (*CONNECTION_ERRORS, TimeoutError):
            return AttemptStatus(AttemptState.UNKNOWN)

    async def cancel(self, grant: Granted) -> None:
        """Cancels an attempt at an engine; ignores connection errors."""
        timeout = aiohttp.ClientTimeout(total=_CANCEL_TIMEOUT_S)
        try:
            async with self.unpooled.delete(
                attempt_url(grant), timeout=timeout
            ):
                pass
        except (*CONNECTION_ERRORS, TimeoutError) as exc:
            log.debug("cancel failed: %s", type(exc).__name__)


def _make_session(
    connect_timeout_s: float, *, force_close: bool
) -> aiohttp.ClientSession:
    return aiohttp.ClientSession(
        connector=_ObservedConnector(limit=0, force_close=force_close),
        response_class=_ObservedResponse,
        timeout=aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s
        ),
        middlewares=(_send_once,),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def attempt_url(grant: Granted) -> str:
    """Returns the URL of an attempt's status."""
    return f"{grant.server.address}/v1/attempts/{grant.attempt}"


def answers_other_attempt(grant: Granted, resp: ClientResponse) -> bool:
    """Returns whether an answer names another attempt; counts and logs it."""
    named_attempt = resp.headers.get(ATTEMPT_HEADER, grant.attempt)
    if named_attempt == grant.attempt:
        return False
    log.warning(
        "answer to another attempt dropped", extra={"attempt": named_attempt}
    )
    metrics.DROPPED_ANSWERS.inc()
    return True


def is_other_incarnation(grant: Granted, resp: ClientResponse) -> bool:
    """Returns whether another incarnation answers than the granted one.

    A restarted server knows nothing of its earlier incarnation's attempts, so
    its answer that an attempt is unknown does not prove that it did not run.
    """
    named_incarnation = resp.headers.get(INCARNATION_HEADER)
    return (
        named_incarnation is not None
        and named_incarnation != grant.server.incarnation
    )


def confirms_not_run(grant: Granted, resp: ClientResponse) -> bool:
    """Returns whether the granted incarnation states that it did not run."""
    verdict = resp.headers.get(VERDICT_HEADER)
    return verdict == Verdict.NOT_RUN and not is_other_incarnation(grant, resp)


async def _attempt_status(
    grant: Granted, resp: ClientResponse
) -> AttemptStatus:
    if is_other_incarnation(grant, resp):
        return AttemptStatus(AttemptState.GONE)
    # A plain service may answer any path. Only an answer that names the attempt
    # is a status.
    if resp.headers.get(ATTEMPT_HEADER) != grant.attempt:
        return AttemptStatus(AttemptState.UNKNOWN)
    if resp.status == _STATUS_NOT_FOUND and confirms_not_run(grant, resp):
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
        body=await read_body(resp),
    )


async def read_body(resp: ClientResponse) -> bytes:
    """Reads the whole body of an answer.

    Raises:
        aiohttp.ClientPayloadError: it is too long, or the connection broke.
    """
    body = bytearray()
    async for data in resp.content.iter_any():
        body += data
        if len(body) > _MAX_BODY_BYTES:
            raise aiohttp.ClientPayloadError("the body is too long")
    if isinstance(resp, _ObservedResponse) and resp.is_cut_off():
        raise aiohttp.ClientPayloadError("the connection broke")
    return bytes(body)


async def read_error_text(resp: ClientResponse) -> str:
    """Reads the error message of an answer that is passed on to nobody.

    A long or late rest is left unread: what the head says stands without it.
    """
    body = bytearray()
    try:
        async with asyncio.timeout(_ERROR_TIMEOUT_S):
            async for data in resp.content.iter_any():
                body += data
                if len(body) > _MAX_ERROR_BYTES:
                    break
    except (*CONNECTION_ERRORS, TimeoutError) as exc:
        log.debug("error message not read: %s", type(exc).__name__)
    return error_text(bytes(body))


def error_text(body: bytes) -> str:
    """Returns the error message in a server's answer, if possible from JSON."""
    try:
        return str(json.loads(body)["error"])[:500]
    except (ValueError, KeyError, TypeError, RecursionError):
        return body[:500].decode(errors="replace")
