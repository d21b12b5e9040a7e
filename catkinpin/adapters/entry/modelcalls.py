"""Runs an attempt at a model engine and resumes its stream if it breaks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from catkinpin import chat, metrics
from catkinpin.adapters.entry import backends, outcomes
from catkinpin.exceptions import BrokenStreamError
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractAsyncContextManager

    import aiohttp

    from catkinpin.adapters.entry.outgoing import BackendRequest
    from catkinpin.core.messages import Finish, Granted
    from catkinpin.core.requests.pauses import GapEstimator

_SSE_END = b"[DONE]"
_SSE_DATA_PREFIX = b"data:"
# The attempt fails after this many new connections in a row on which the server
# sends no further token, because the server is probably hung.
_MAX_EMPTY_RESUMES = 3
# A server may send events without end. An event of one token has some 250 B.
_MAX_STREAM_BYTES = 32 * 1024 * 1024
_MS_PER_S = 1000
# Error statuses that any other engine would return as well.
_FINAL_STATUSES = frozenset({400, 404, 413, 422})


class ModelCall:
    """An attempt at a model engine.

    Args:
        sessions: HTTP sessions for backend servers.
        grant: permission to dispatch, with the server.
        req: the request.
        headers: header fields to send.
        gap_estimator: estimates the gaps between a server's tokens.
        first_event_timeout_s: longest wait for the first event.
        on_data: called with each event of the stream, in order.
    """

    def __init__(
        self,
        sessions: backends.BackendSessions,
        grant: Granted,
        req: BackendRequest,
        headers: dict[str, str],
        gap_estimator: GapEstimator,
        first_event_timeout_s: float,
        on_data: Callable[[bytes], None],
    ) -> None:
        self._sessions = sessions
        self._grant = grant
        self._req = req
        self._headers = headers
        self._gap_estimator = gap_estimator
        self._first_event_timeout_s = first_event_timeout_s
        self._on_data = on_data
        self._assembler = chat.StreamAssembler()
        self._offset = 0
        self._skipped_events = 0
        self._event_count = 0
        self._received_bytes = 0
        # Events after the last token, such as the finish reason: number
        # received, and number that a resumed stream will repeat.
        self._trailing_count = 0
        self._trailing_to_skip = 0
        self._last_token_s = 0.0
        self._resumed = False

    async def run(self) -> Finish:
        """Sends the request and returns the outcome."""
        try:
            return await self._read_stream(self._send_request(), is_first=True)
        except backends.CONNECT_ERRORS as exc:
            text = f"{self._grant.server.server}: {type(exc).__name__}"
            return outcomes.not_run(self._grant, Reason.SERVER_FAILED, text)
        except BrokenStreamError as exc:
            return await self._resume(exc)

    async def recover(self, offset: int) -> Finish:
        """Continues an attempt that another process has sent.

        Reads the answer from its start, because the outcome contains all of
        it. Does not pass on the first `offset` events, which the caller has.
        """
        self._skipped_events = offset
        return await self._resume(
            BrokenStreamError("the entry that sent it was lost")
        )

    async def _resume(self, broken: BrokenStreamError) -> Finish:
        empty_resumes = 0
        began = _now()
        while True:
            offset_before = self._offset
            if broken.timed_out:
                metrics.RETIRED_CONNECTIONS.labels("model").inc()
            try:
                return await self._read_stream(
                    self._request_resume(), is_first=False
                )
            except backends.CONNECT_ERRORS:
                return self._server_failed(str(broken), crashed=True)
            except BrokenStreamError as exc:
                broken = exc
            if broken.incarnation_ended:
                return self._server_failed(str(broken), crashed=True)
            empty_resumes = (
                0 if self._offset > offset_before else empty_resumes + 1
            )
            may_still_start = (
                self._offset == 0
                and _now() - began < self._first_event_timeout_s
            )
            if empty_resumes >= _MAX_EMPTY_RESUMES and not (
                may_still_start and broken.timed_out
            ):
                return self._server_failed(str(broken), crashed=False)

    def _server_failed(self, text: str, *, crashed: bool) -> Finish:
        return outcomes.may_have_run(
            self._grant,
            Reason.SERVER_FAILED,
            f"{self._grant.server.server}: {text}",
            crashed=crashed,
        )

    def _send_request(
        self,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        body = chat.with_fields(
            self._req.body,
            stream=True,
            stream_options={"include_usage": True},
            max_tokens=self._grant.max_tokens,
            max_completion_tokens=None,
        )
        return self._sessions.pooled.post(
            self._grant.server.address + "/v1/chat/completions",
            data=body,
            headers={**self._headers, "Content-Type": "application/json"},
        )

    def _request_resume(
        self,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        self._trailing_to_skip = self._trailing_count
        self._resumed = True
        return self._sessions.unpooled.get(
            backends.attempt_url(self._grant),
            params={"offset": str(self._offset)},
            headers=self._headers,
        )

    async def _read_stream(
        self,
        exchange: AbstractAsyncContextManager[aiohttp.ClientResponse],
        *,
        is_first: bool,
    ) -> Finish:
        """Reads a stream to its end and returns the outcome.

        Raises:
            BrokenStreamError: the stream ended early.
        """
        try:
            async with asyncio.timeout(self._silence_timeout_s()) as timer:
                async with exchange as resp:
                    refused = await self._read_refusal(resp, is_first=is_first)
                    if refused is not None:
                        return refused
                    async for data in _events(resp):
                        if data == _SSE_END:
                            return outcomes.ran_stream(
                                self._grant, self._assembler
                            )
                        self._received_bytes += len(data)
                        if self._received_bytes > _MAX_STREAM_BYTES:
                            return self._server_failed(
                                "a stream without an end", crashed=False
                            )
                        self._handle_event(data)
                        timer.reschedule(_now() + self._silence_timeout_s())
                raise BrokenStreamError("the stream ended early")
        except TimeoutError as exc:
            raise BrokenStreamError(
                "the stream went silent", timed_out=True
            ) from exc
        except backends.CONNECT_ERRORS:
            raise
        except (*backends.CONNECTION_ERRORS, ValueError) as exc:
            raise BrokenStreamError(
                f"the stream broke ({type(exc).__name__})"
            ) from exc

    def _silence_timeout_s(self) -> float:
        return (
            self._gap_estimator.timeout_ms(self._grant.server.server)
            / _MS_PER_S
        )

    async def _read_refusal(
        self, resp: aiohttp.ClientResponse, *, is_first: bool
    ) -> Finish | None:
        """Returns the outcome if the server sends no stream, else None."""
        if backends.answers_other_attempt(self._grant, resp):
            raise BrokenStreamError("an answer to another attempt came")
        if backends.confirms_not_run(self._grant, resp):
            text = await backends.read_error_text(resp)
            return outcomes.not_run(self._grant, Reason.SERVER_REFUSED, text)
        if backends.is_other_incarnation(self._grant, resp) and not is_first:
            raise BrokenStreamError(
                "the server was restarted", incarnation_ended=True
            )
        if resp.status == outcomes.STATUS_OK:
            return None
        if is_first and resp.status in _FINAL_STATUSES:
            answer = await backends.read_answer(resp)
            return outcomes.ran(self._grant, answer)
        text = await backends.read_error_text(resp)
        return outcomes.may_have_run(
            self._grant,
            Reason.SERVER_REFUSED,
            f"the server answered {resp.status}: {text}",
        )

    def _handle_event(self, data: bytes) -> None:
        chunk = chat.parse_chunk(data)
        if _has_text(chunk):
            self._offset += 1
            self._record_gap()
        elif self._trailing_to_skip:
            # A resumed stream repeats the events that follow the last token.
            self._trailing_to_skip -= 1
            return
        else:
            self._trailing_count += 1
        self._assembler.add(chunk)
        self._event_count += 1
        if self._event_count > self._skipped_events:
            self._on_data(data)

    def _record_gap(self) -> None:
        """Records the gap between tokens of a stream that was not resumed."""
        now = _now()
        if self._last_token_s and not self._resumed:
            gap_ms = (now - self._last_token_s) * _MS_PER_S
            self._gap_estimator.record_gap(self._grant.server.server, gap_ms)
        self._last_token_s = now


def _now() -> float:
    return asyncio.get_running_loop().time()


def _has_text(chunk: dict[str, Any]) -> bool:
    """Returns whether an event counts towards the stream's offset."""
    choices = chunk.get("choices") or []
    return any(not choice.get("finish_reason") for choice in choices)


async def _events(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yields the data of each server-sent event."""
    async for line in resp.content:
        if line.startswith(_SSE_DATA_PREFIX):
            yield line[len(_SSE_DATA_PREFIX) :].strip()
