"""Relays calls to an entry in the server's region, which dispatches them.

The caller's entry sends only the messages that are new in the prompt, and
receives the answer's events. If the connection between the entries breaks, the
caller's entry asks the server about the attempt. The other entry reports the
outcome to the shard's leader, because the caller's entry may be gone for good.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import chat, digest, metrics
from catkinpin.adapters.entry import outcomes
from catkinpin.adapters.entry.outgoing import BackendRequest
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

# If the relay does not connect within this time, this entry dispatches the
# call itself, which sends more bytes between the regions.
_CONNECT_TIMEOUT_S = 0.3
_MS_PER_S = 1000


@dataclasses.dataclass(frozen=True)
class PromptDigests:
    """Digests of a prompt's messages, and how many the program already had.

    Attributes:
        digests: a digest for each message of the prompt.
        known_count: how many of them an earlier prompt and answer contained.
    """

    digests: list[bytes]
    known_count: int

    def chain_head(self, count: int) -> bytes:
        """Returns the digest chain over the first `count` messages."""
        head = b""
        for one in self.digests[:count]:
            head = digest.chain(head, one)
        return head


class RelayClient:
    """Relays calls from the caller's entry to entries in other regions."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        link_to: Callable[[str], links.PeerLink],
    ) -> None:
        self._dispatcher = dispatcher
        self._link_to = link_to
        self._receivers: dict[int, Callable[[bytes], None]] = {}

    def handle_chunk(self, chunk: messages.Chunk) -> None:
        """Passes on a part of an answer; drops it if its call has ended."""
        on_data = self._receivers.get(chunk.ask)
        if on_data is None:
            metrics.DROPPED_ANSWERS.inc()
            return
        on_data(chunk.data)

    async def dispatch(
        self,
        grant: Granted,
        req: BackendRequest,
        history: PromptDigests,
        on_data: Callable[[bytes], None],
    ) -> Finish:
        """Relays a call, or dispatches it from here if no relay is connected.

        Calls `on_data` with each event of a model's stream, in order. Returns
        the outcome.
        """
        link = self._link_to(grant.dispatcher)
        try:
            async with asyncio.timeout(_CONNECT_TIMEOUT_S):
                await link.connected.wait()
        except TimeoutError:
            log.warning("relay not reached", extra={"peer": grant.dispatcher})
            return await self._dispatcher.dispatch(grant, req, on_data)
        event_count = 0

        def count_and_pass(data: bytes) -> None:
            nonlocal event_count
            event_count += 1
            on_data(data)

        loop = asyncio.get_running_loop()
        deadline = loop.time() + req.deadline_ms / _MS_PER_S
        try:
            reply = await self._ask(link, grant, req, history, count_and_pass)
            if isinstance(reply, messages.NeedWhole):
                complete = dataclasses.replace(history, known_count=0)
                reply = await self._ask(
                    link, grant, req, complete, count_and_pass
                )
            finish: Finish = reply.finish
            return finish
        except PeerLostError as exc:
            left_ms = int((deadline - loop.time()) * _MS_PER_S)
            if left_ms <= 0:
                text = "the deadline passed"
                return outcomes.may_have_run(grant, Reason.DEADLINE, text)
            if not exc.sent:
                text = "the entry in the server's region was lost"
                return outcomes.not_run(grant, Reason.SERVER_FAILED, text)
            log.warning("relay lost", extra={"peer": grant.dispatcher})
            req = dataclasses.replace(req, deadline_ms=left_ms)
            return await self._dispatcher.recover(
                grant, req, event_count, on_data
            )

    async def _ask(
        self,
        link: links.PeerLink,
        grant: Granted,
        req: BackendRequest,
        history: PromptDigests,
        on_data: Callable[[bytes], None],
    ) -> Any:
        body = req.body
        if history.known_count:
            body = chat.without_first_messages(body, history.known_count)
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
            base=history.chain_head(history.known_count),
            head=history.chain_head(len(history.digests)),
        )
        self._receivers[message.ask] = on_data
        try:
            return await link.ask(message, req.deadline_ms / _MS_PER_S)
        finally:
            del self._receivers[message.ask]


class RelayServer:
    """Dispatches relayed calls at the entry in the server's region.

    Args:
        report: reports an outcome to the shard's leader.
        max_bytes: size limit of the cache of programs' histories.

    Attributes:
        running: tasks of the calls in progress.
    """

    def __init__(
        self,
        dispatcher: Dispatcher,
        report: Callable[[Finish], Awaitable[None]],
        max_bytes: int,
    ) -> None:
        self._dispatcher = dispatcher
        self._report = report
        self._history_cache = texts.HistoryCache(max_bytes)
        self.running: set[asyncio.Task[None]] = set()

    def handle(self, stream: links.Stream, message: messages.Dispatch) -> None:
        """Starts to dispatch a call for another entry."""
        body = message.body
        prompt: list[bytes] = []
        if message.kind == "model":
            cached = self._cached_history(message.base)
            if cached is None:
                stream.send(messages.NeedWhole(ask=message.ask))
                return
            prompt = [*cached, *chat.raw_messages(body)]
            body = chat.with_messages(body, prompt)
        grant = streams.with_local_expiry(message.grant, stream)
        if self._dispatcher.grants.knows(grant.attempt):
            metrics.DROPPED_ANSWERS.inc()
            return
        refused = self._dispatcher.use_grant(grant)
        if refused is not None:
            stream.send(messages.Dispatched(ask=message.ask, finish=refused))
            return
        req = BackendRequest(
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

    def _cached_history(self, base: bytes) -> list[bytes] | None:
        if not base:
            return []
        cached = self._history_cache.get(base)
        metrics.RELAY_CACHE_RESULTS.labels("hit" if cached else "miss").inc()
        return cached

    async def _dispatch(
        self,
        stream: links.Stream,
        message: messages.Dispatch,
        grant: Granted,
        req: BackendRequest,
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
            self._history_cache.put(head, [*prompt, answer], message.base)
        stream.send(messages.Dispatched(ask=message.ask, finish=finish))
        if stream.closed:
            # The caller's entry may be gone for good. Without this report, a
            # resent request would wait until its deadline.
            await self._report(
                self._with_request_messages(finish, prompt, grant.skip)
            )

    def _with_request_messages(
        self, finish: Finish, prompt: list[bytes], skip: int
    ) -> Finish:
        """Returns an outcome with the request's new messages added."""
        if not finish.messages:
            return finish
        new = [chat.canonical_from_json(message) for message in prompt[skip:]]
        return msgspec.structs.replace(
            finish, messages=[*new, *finish.messages]
        )
