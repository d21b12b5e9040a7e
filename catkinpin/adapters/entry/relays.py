"""A call that an entry in the server's region dispatches for another entry.

The caller's entry sends new messages only and gets the answer's events back.
Where the two lose each other, the caller's entry asks the server about the
attempt itself, and the other reports the outcome to the shard's leader, so
that it is known even if the caller's entry is gone for good.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import chat, digest, metrics
from catkinpin.adapters.entry import outcomes
from catkinpin.adapters.entry.outgoing import Outgoing
from catkinpin.adapters.peers import links, streams
from catkinpin.core import messages
from catkinpin.core.programs import texts
from catkinpin.exceptions import PeerLostError
from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from catkinpin.adapters.entry.dispatch import Dispatcher
    from catkinpin.core.messages import Finish, Granted

log = logging.getLogger(__name__)

# A relay that is not reached within this time is left out: the server is
# asked from here, at the price of more bytes between the regions.
_CONNECT_S = 0.3
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class History:
    """Digests of a prompt's messages, and how many the program had before.

    Attributes:
        digests: a digest for each message of the prompt.
        known: how many of them an earlier prompt and its answer held.
    """

    digests: list[bytes]
    known: int

    def head(self, count: int) -> bytes:
        """Returns the digest chain over the first `count` messages."""
        head = b""
        for one in self.digests[:count]:
            head = digest.chain(head, one)
        return head


class RelayClient:
    """The caller's entry: has calls dispatched by entries of other regions."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        link_to: Callable[[str], links.PeerLink],
    ) -> None:
        self._dispatcher = dispatcher
        self._link_to = link_to
        self._taking: dict[int, Callable[[bytes], None]] = {}

    def chunk(self, chunk: messages.Chunk) -> None:
        """Takes part of an answer; one that nobody waits for is dropped."""
        on_data = self._taking.get(chunk.ask)
        if on_data is None:
            metrics.DROPPED_ANSWERS.inc()
            return
        on_data(chunk.data)

    async def dispatch(
        self,
        grant: Granted,
        req: Outgoing,
        history: History,
        on_data: Callable[[bytes], None],
    ) -> Finish:
        """Has a call dispatched, or does it from here where that fails."""
        link = self._link_to(grant.dispatcher)
        try:
            async with asyncio.timeout(_CONNECT_S):
                await link.connected.wait()
        except TimeoutError:
            log.warning("relay not reached", extra={"peer": grant.dispatcher})
            return await self._dispatcher.dispatch(grant, req, on_data)
        passed = 0

        def feed(data: bytes) -> None:
            nonlocal passed
            passed += 1
            on_data(data)

        loop = asyncio.get_running_loop()
        deadline = loop.time() + req.deadline_ms / _MS_PER_S
        try:
            reply = await self._ask(link, grant, req, history, feed)
            if isinstance(reply, messages.NeedWhole):
                whole = dataclasses.replace(history, known=0)
                reply = await self._ask(link, grant, req, whole, feed)
            finish: Finish = reply.finish
            return finish
        except PeerLostError as exc:
            left_ms = int((deadline - loop.time()) * _MS_PER_S)
            if left_ms <= 0:
                text = "the deadline passed"
                return outcomes.failed(grant, Reason.DEADLINE, text)
            if not exc.sent:
                text = "the entry in the server's region was lost"
                return outcomes.not_run(grant, Reason.SERVER_FAILED, text)
            log.warning("relay lost", extra={"peer": grant.dispatcher})
            req = dataclasses.replace(req, deadline_ms=left_ms)
            return await self._dispatcher.recover(grant, req, passed, on_data)

    async def _ask(
        self,
        link: links.PeerLink,
        grant: Granted,
        req: Outgoing,
        history: History,
        on_data: Callable[[bytes], None],
    ) -> Any:
        body = req.body
        if history.known:
            body = chat.without_first_messages(body, history.known)
        message = messages.Dispatch(
            ask=links.next_ask_id(),
            grant=msgspec.structs.replace(grant, history=[]),
            kind=req.kind,
            method=req.method,
            path=req.path,
            headers=req.headers,
            body=body,
            deadline_ms=req.deadline_ms,
            traceparent=req.traceparent,
            base=history.head(history.known),
            head=history.head(len(history.digests)),
        )
        self._taking[message.ask] = on_data
        try:
            return await link.ask(message, req.deadline_ms / _MS_PER_S)
        finally:
            del self._taking[message.ask]


class RelayServer:
    """The entry in the server's region: dispatches for other entries.

    Args:
        report: takes an outcome to the shard's leader.
        max_bytes: how much of programs' histories is held.

    Attributes:
        running: calls under way.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        report: Callable[[Finish], Awaitable[None]],
        max_bytes: int,
    ) -> None:
        self._dispatcher = dispatcher
        self._report = report
        self._histories = texts.HistoryCache(max_bytes)
        self.running: set[asyncio.Task[None]] = set()

    def handle(self, stream: links.Stream, message: messages.Dispatch) -> None:
        """Begins to dispatch a call for another entry."""
        body = message.body
        prompt: list[bytes] = []
        if message.kind == "model":
            held = self._held(message.base)
            if held is None:
                stream.send(messages.NeedWhole(ask=message.ask))
                return
            prompt = [*held, *chat.raw_messages(body)]
            body = chat.with_messages(body, prompt)
        grant = streams.with_local_expiry(message.grant, stream)
        if self._dispatcher.grants.knows(grant.attempt):
            metrics.DROPPED_ANSWERS.inc()
            return
        refused = self._dispatcher.use(grant)
        if refused is not None:
            stream.send(messages.Dispatched(ask=message.ask, finish=refused))
            return
        req = Outgoing(
            kind=message.kind,
            method=message.method,
            path=message.path,
            headers=message.headers,
            body=body,
            deadline_ms=message.deadline_ms,
            traceparent=message.traceparent,
        )
        task = asyncio.create_task(
            self._dispatch(stream, message, grant, req, prompt)
        )
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    def _held(self, base: bytes) -> list[bytes] | None:
        if not base:
            return []
        held = self._histories.get(base)
        metrics.RELAY_CACHE_RESULTS.labels("hit" if held else "miss").inc()
        return held

    async def _dispatch(
        self,
        stream: links.Stream,
        message: messages.Dispatch,
        grant: Granted,
        req: Outgoing,
        prompt: list[bytes],
    ) -> None:
        finish = await self._dispatcher.dispatch(
            grant,
            req,
            lambda data: stream.send(
                messages.Chunk(ask=message.ask, data=data)
            ),
        )
        if finish.messages:
            answer = finish.messages[-1]
            head = digest.chain(message.head, digest.of_bytes(answer))
            self._histories.put(head, [*prompt, answer], message.base)
        stream.send(messages.Dispatched(ask=message.ask, finish=finish))
        if stream.closed:
            # The caller's entry may be gone for good. Unless the leader gets
            # the outcome from here, a resent request would wait in vain.
            await self._report(self._completed(finish, prompt, grant.skip))

    def _completed(
        self, finish: Finish, prompt: list[bytes], skip: int
    ) -> Finish:
        """Returns an outcome with the request's messages, for the history."""
        if not finish.messages:
            return finish
        new = [chat.canonical_from_json(message) for message in prompt[skip:]]
        return msgspec.structs.replace(
            finish, messages=[*new, *finish.messages]
        )
