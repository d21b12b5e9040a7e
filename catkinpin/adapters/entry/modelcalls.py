"""One attempt at a model engine: a stream that is resumed where it breaks."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import chat, metrics
from catkinpin.adapters.entry import backends, outcomes
from catkinpin.exceptions import BrokenStreamError
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable
    from contextlib import AbstractAsyncContextManager

    import aiohttp

    from catkinpin.adapters.entry.outgoing import Outgoing
    from catkinpin.core.messages import Finish, Granted
    from catkinpin.core.requests.pauses import GapEstimator

_SSE_END = b"[DONE]"
_DATA = b"data:"
# A server that takes new connections but sends nothing more on so many of
# them hangs; the call goes elsewhere.
_MAX_BARREN = 3
_MS_PER_S = 1000
# Answers of an engine that no other server would answer differently.
_FINAL_STATUS = frozenset({400, 404, 413, 422})


class ModelCall:
    """An attempt at a model engine.

    Args:
        offset: events of the answer that the caller's entry already has.
        first_s: longest wait for the first event.
    """

    def __init__(
        self,
        servers: backends.Backends,
        grant: Granted,
        req: Outgoing,
        headers: dict[str, str],
        gaps: GapEstimator,
        first_s: float,
        on_data: Callable[[bytes], None],
    ) -> None:
        self._servers = servers
        self._grant = grant
        self._req = req
        self._headers = headers
        self._gaps = gaps
        self._first_s = first_s
        self._on_data = on_data
        self._assembler = chat.StreamAssembler()
        self._offset = 0
        self._skip = 0
        self._passed = 0
        self._tail = 0
        self._tail_skip = 0
        self._last = 0.0
        self._resumed = False

    async def run(self) -> Finish:
        """Sends the request and returns the outcome."""
        try:
            return await self._read(self._send(), first=True)
        except backends.UNCONNECTED as exc:
            text = f"{self._grant.server.server}: {type(exc).__name__}"
            return outcomes.not_run(self._grant, Reason.SERVER_FAILED, text)
        except BrokenStreamError as exc:
            return await self._resume(exc)

    async def recover(self, offset: int) -> Finish:
        """Goes on with an attempt that another process has sent.

        The answer is read from its start, for it must be put together whole;
        the `offset` events that the caller has are not passed on again.
        """
        self._skip = offset
        return await self._resume(
            BrokenStreamError("the entry that sent it was lost")
        )

    async def _resume(self, broken: BrokenStreamError) -> Finish:
        barren = 0
        began = _now()
        while True:
            before = self._offset
            if broken.timed_out:
                metrics.RETIRED_CONNECTIONS.labels("model").inc()
            try:
                return await self._read(self._reopen(), first=False)
            except backends.UNCONNECTED:
                return self._lost(str(broken), crashed=True)
            except BrokenStreamError as exc:
                broken = exc
            if broken.incarnation_ended:
                return self._lost(str(broken), crashed=True)
            barren = 0 if self._offset > before else barren + 1
            waits = self._offset == 0 and _now() - began < self._first_s
            if barren >= _MAX_BARREN and not (waits and broken.timed_out):
                return self._lost(str(broken), crashed=False)

    def _lost(self, text: str, *, crashed: bool) -> Finish:
        return outcomes.failed(
            self._grant,
            Reason.SERVER_FAILED,
            f"{self._grant.server.server}: {text}",
            crashed=crashed,
        )

    def _send(self) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        body = chat.with_fields(
            self._req.body,
            stream=True,
            stream_options={"include_usage": True},
            max_tokens=self._grant.max_tokens,
            max_completion_tokens=None,
        )
        return self._servers.pooled.post(
            self._grant.server.address + "/v1/chat/completions",
            data=body,
            headers={**self._headers, "Content-Type": "application/json"},
        )

    def _reopen(self) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        self._tail_skip = self._tail
        self._resumed = True
        return self._servers.fresh.get(
            backends.attempt_url(self._grant),
            params={"offset": str(self._offset)},
            headers=self._headers,
        )

    async def _read(
        self,
        opening: AbstractAsyncContextManager[aiohttp.ClientResponse],
        *,
        first: bool,
    ) -> Finish:
        """Reads a stream to its end.

        Raises:
            BrokenStreamError: the stream ended early.
        """
        try:
            async with asyncio.timeout(self._retry_delay_s()) as timer:
                async with opening as resp:
                    refused = await self._refused(resp, first=first)
                    if refused is not None:
                        return refused
                    async for data in _events(resp):
                        if data == _SSE_END:
                            return outcomes.answered(
                                self._grant, self._assembler
                            )
                        self._feed(data)
                        timer.reschedule(_now() + self._retry_delay_s())
                raise BrokenStreamError("the stream ended early")
        except TimeoutError as exc:
            raise BrokenStreamError(
                "the stream went silent", timed_out=True
            ) from exc
        except backends.UNCONNECTED:
            raise
        except (*backends.BROKEN, ValueError) as exc:
            raise BrokenStreamError(
                f"the stream broke ({type(exc).__name__})"
            ) from exc

    def _retry_delay_s(self) -> float:
        return self._gaps.timeout_ms(self._grant.server.server) / _MS_PER_S

    async def _refused(
        self, resp: aiohttp.ClientResponse, *, first: bool
    ) -> Finish | None:
        """Returns the outcome where the server sends no stream."""
        if backends.crossed(self._grant, resp):
            raise BrokenStreamError("an answer to another attempt came")
        if backends.says_not_run(self._grant, resp):
            text = backends.error_text(await resp.read())
            return outcomes.not_run(self._grant, Reason.SERVER_REFUSED, text)
        if backends.other_incarnation(self._grant, resp) and not first:
            raise BrokenStreamError(
                "the server was restarted", incarnation_ended=True
            )
        if resp.status == outcomes.STATUS_OK:
            return None
        if first and resp.status in _FINAL_STATUS:
            answer = await backends.read_answer(resp)
            return outcomes.whole(self._grant, answer)
        text = backends.error_text(await resp.read())
        return outcomes.failed(
            self._grant,
            Reason.SERVER_REFUSED,
            f"the server answered {resp.status}: {text}",
        )

    def _feed(self, data: bytes) -> None:
        chunk = msgspec.json.decode(data)
        if _has_text(chunk):
            self._offset += 1
            self._measure()
        elif self._tail_skip:
            # A resumed stream repeats what follows the last token.
            self._tail_skip -= 1
            return
        else:
            self._tail += 1
        self._assembler.add(chunk)
        self._passed += 1
        if self._passed > self._skip:
            self._on_data(data)

    def _measure(self) -> None:
        """Learns the server's gap between tokens from an unbroken stream."""
        now = _now()
        if self._last and not self._resumed:
            gap_ms = (now - self._last) * _MS_PER_S
            self._gaps.record_gap(self._grant.server.server, gap_ms)
        self._last = now


def _now() -> float:
    return asyncio.get_running_loop().time()


def _has_text(chunk: dict[str, Any]) -> bool:
    """Returns whether an event counts in a stream's offset."""
    choices = chunk.get("choices") or []
    return any(not choice.get("finish_reason") for choice in choices)


async def _events(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yields the data of each server-sent event."""
    async for line in resp.content:
        if line.startswith(_DATA):
            yield line[len(_DATA) :].strip()
