"""Sends a granted call to its backend server and judges the outcome."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import logging
from typing import TYPE_CHECKING

import aiohttp

from catkinpin import chat, tracing
from catkinpin.core import messages
from catkinpin.core.messages import Answer, Finish
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

log = logging.getLogger(__name__)

VERDICT_HEADER = "Catkinpin-Verdict"
_STATUS_OK = 200
_SSE_END = b"[DONE]"


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """A request as it goes to a backend server.

    Attributes:
        kind: `model` or `service`.
        deadline_ms: milliseconds left of the caller's deadline.
    """

    kind: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    deadline_ms: int
    traceparent: str


@dataclasses.dataclass(frozen=True)
class Timeouts:
    """How long to wait for a backend server, in seconds."""

    connect_s: float
    progress_s: float


class Dispatcher:
    """Dispatches calls to the servers of this entry's region."""

    def __init__(self, timeouts: Timeouts) -> None:
        self._timeouts = timeouts
        self._engines = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        # A server may close a kept connection while a request is on its way.
        # Whether it ran is then unknown, and the library would send some
        # methods again by itself. A fresh connection for each service call
        # rules out both.
        self._services = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._engines.close()
        await self._services.close()

    async def dispatch(
        self,
        grant: messages.Granted,
        req: Outgoing,
        on_data: Callable[[bytes], None],
    ) -> Finish:
        """Runs one attempt.

        Args:
            grant: permission to dispatch, with the server.
            req: the request.
            on_data: called with each event of a model's stream, in order.

        Returns:
            The outcome; never raises but for cancellation.
        """
        attempt = _Attempt(grant)
        with tracing.hop("dispatch", req.traceparent) as hop:
            hop.note("attempt", grant.attempt)
            hop.note("server", grant.server.server)
            headers = self._headers(grant, req, hop.traceparent)
            try:
                async with asyncio.timeout(req.deadline_ms / 1000):
                    if req.kind == "model":
                        return await self._model(
                            attempt, grant, req, headers, on_data
                        )
                    return await self._service(attempt, grant, req, headers)
            except TimeoutError:
                return attempt.failed(Reason.DEADLINE, "the deadline passed")
            except (aiohttp.ClientError, OSError, ValueError) as exc:
                text = f"{grant.server.server}: {type(exc).__name__}"
                if _connect_failed(exc):
                    return attempt.not_run(Reason.SERVER_FAILED, text)
                return attempt.failed(Reason.SERVER_FAILED, text, crashed=True)

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
                async with self._engines.post(
                    url,
                    json={"program": program},
                    timeout=self._client_timeout(),
                ) as resp:
                    resp.raise_for_status()
                    answer = await resp.json()
                # Orders to another life of the server prove nothing here.
                if answer["incarnation"] != order.server.incarnation:
                    break
                incarnation = order.server.incarnation
                released.append(program)
        except (aiohttp.ClientError, TimeoutError, ValueError, KeyError) as exc:
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

    def _headers(
        self, grant: messages.Granted, req: Outgoing, traceparent: str
    ) -> dict[str, str]:
        headers = dict(req.headers)
        headers["Catkinpin-Attempt"] = grant.attempt
        headers["Catkinpin-Program"] = (
            f"{grant.key.account}/{grant.key.program}"
        )
        headers["Catkinpin-Priority"] = str(grant.priority)
        headers["Catkinpin-Deadline-Ms"] = str(req.deadline_ms)
        headers["Idempotency-Key"] = grant.key.request_id
        if traceparent:
            headers["traceparent"] = traceparent
        return headers

    def _client_timeout(self) -> aiohttp.ClientTimeout:
        return aiohttp.ClientTimeout(
            total=None,
            sock_connect=self._timeouts.connect_s,
            sock_read=self._timeouts.progress_s,
        )

    async def _model(
        self,
        attempt: _Attempt,
        grant: messages.Granted,
        req: Outgoing,
        headers: dict[str, str],
        on_data: Callable[[bytes], None],
    ) -> Finish:
        body = json.loads(req.body)
        body["stream"] = True
        body["stream_options"] = {"include_usage": True}
        body["max_tokens"] = grant.max_tokens
        body.pop("max_completion_tokens", None)
        url = grant.server.address + "/v1/chat/completions"
        async with self._engines.post(
            url,
            json=body,
            headers=headers,
            timeout=self._client_timeout(),
        ) as resp:
            if resp.status != _STATUS_OK:
                return await _refused_by_server(attempt, resp)
            assembler = chat.Assembler()
            async for data in _events(resp):
                if data == _SSE_END:
                    return attempt.answered(assembler, body["model"])
                assembler.add(json.loads(data))
                on_data(data)
            return attempt.failed(
                Reason.SERVER_FAILED, "the stream ended early", crashed=True
            )

    async def _service(
        self,
        attempt: _Attempt,
        grant: messages.Granted,
        req: Outgoing,
        headers: dict[str, str],
    ) -> Finish:
        url = grant.server.address + req.path
        async with self._services.request(
            req.method,
            url,
            data=req.body,
            headers=headers,
            timeout=self._client_timeout(),
            allow_redirects=False,
        ) as resp:
            if resp.headers.get(VERDICT_HEADER) == Verdict.NOT_RUN:
                return await _refused_by_server(attempt, resp)
            content = await resp.read()
            content_type = resp.headers.get("Content-Type", "")
            return attempt.whole(
                Answer(
                    status=resp.status, content_type=content_type, body=content
                )
            )


class _Attempt:
    """Collects what decides an attempt's verdict."""

    def __init__(self, grant: messages.Granted) -> None:
        self._grant = grant

    def failed(
        self, reason: Reason, text: str, *, crashed: bool = False
    ) -> Finish:
        """Returns the outcome where no answer came."""
        return Finish(
            ask=0,
            key=self._grant.key,
            attempt=self._grant.attempt,
            verdict=Verdict.MAY_HAVE_RUN,
            reason=reason,
            text=text,
            crashed=crashed,
        )

    def not_run(self, reason: Reason, text: str) -> Finish:
        """Returns the outcome where the request certainly did not run."""
        return Finish(
            ask=0,
            key=self._grant.key,
            attempt=self._grant.attempt,
            verdict=Verdict.NOT_RUN,
            reason=reason,
            text=text,
        )

    def answered(self, assembler: chat.Assembler, model: str) -> Finish:
        """Returns the outcome of a model call that went well."""
        answer = Answer(
            status=_STATUS_OK,
            content_type="application/json",
            body=assembler.completion(model),
        )
        return Finish(
            ask=0,
            key=self._grant.key,
            attempt=self._grant.attempt,
            verdict=Verdict.RAN,
            answer=answer,
            usage=assembler.usage or messages.Usage(),
            messages=[chat.canonical_message(assembler.message())],
        )

    def whole(self, answer: Answer) -> Finish:
        """Returns the outcome of a service call that was answered."""
        return Finish(
            ask=0,
            key=self._grant.key,
            attempt=self._grant.attempt,
            verdict=Verdict.RAN,
            answer=answer,
        )


async def _refused_by_server(
    attempt: _Attempt, resp: aiohttp.ClientResponse
) -> Finish:
    text = (await resp.read())[:500].decode(errors="replace")
    text = f"the server answered {resp.status}: {text}"
    if resp.headers.get(VERDICT_HEADER) == Verdict.NOT_RUN:
        return attempt.not_run(Reason.SERVER_REFUSED, text)
    return attempt.failed(Reason.SERVER_REFUSED, text)


async def _events(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yields the data of each server-sent event."""
    async for line in resp.content:
        line = line.strip()
        if line.startswith(b"data:"):
            yield line[5:].strip()


def _connect_failed(exc: Exception) -> bool:
    """Returns whether no byte of the request can have left this host."""
    return isinstance(
        exc, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError
    )
