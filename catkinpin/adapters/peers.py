"""Long two-way gRPC streams between our processes.

A stream carries batches of messages: one gRPC message holds all that were
waiting when the writer got its turn. Both ends send pings, and a stream on
which nothing arrives is given up: a connection that has gone silent for good
would otherwise hold its calls for ever while new connections work.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from typing import TYPE_CHECKING, Any

import grpc
import grpc.aio

from catkinpin import codec
from catkinpin.core import messages
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

log = logging.getLogger(__name__)

PING_EVERY_S = 0.5
SILENT_AFTER_S = 2.0
_RECONNECT_S = 0.1
_SERVICE = "catkinpin.Peer"
_METHOD = "Session"
_OPTIONS = [
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.so_reuseport", 0),
    ("grpc.use_local_subchannel_pool", 1),
]

AnyMessage = Any


class Stream:
    """One end of a stream: an outbox and what is known of the other end.

    Attributes:
        hello: how the other end introduced itself.
    """

    def __init__(self) -> None:
        self.hello: messages.Hello | None = None
        self.closed = False
        self._outbox: list[AnyMessage] = []
        self._wake = asyncio.Event()
        self._heard = asyncio.get_running_loop().time()

    def send(self, message: AnyMessage) -> None:
        """Queues a message; dropped where the stream is closed."""
        if self.closed:
            return
        self._outbox.append(message)
        self._wake.set()

    def heard(self) -> None:
        """Notes that the other end is there."""
        self._heard = asyncio.get_running_loop().time()

    def silent_s(self) -> float:
        """Returns how long nothing has arrived."""
        return asyncio.get_running_loop().time() - self._heard

    def close(self) -> None:
        """Ends the stream; its writer and reader stop."""
        self.closed = True
        self._wake.set()

    async def batches(self) -> AsyncIterator[bytes]:
        """Yields encoded batches of what waits, until closed."""
        while not self.closed:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), PING_EVERY_S)
            if self.silent_s() > SILENT_AFTER_S:
                log.warning("peer silent", extra={"peer": str(self.hello)})
                self.close()
                return
            if not self._outbox:
                self._outbox.append(messages.Ping(nonce=0))
            batch, self._outbox = self._outbox, []
            self._wake.clear()
            if batch:
                yield codec.encode(batch)


class PeerServer:
    """Accepts streams from other processes.

    Args:
        kinds: union of the messages that may arrive.
        on_message: called with the stream and each message but pings.
        on_closed: called once a stream that said hello has ended.
    """

    def __init__(
        self,
        kinds: Any,
        on_message: Callable[[Stream, Any], None],
        on_closed: Callable[[Stream], None],
    ) -> None:
        self._decoder = codec.decoder(list[kinds])
        self._on_message = on_message
        self._on_closed = on_closed
        self._server: grpc.aio.Server | None = None
        self.streams: set[Stream] = set()

    async def start(self, address: str) -> str:
        """Listens and returns the address with its real port."""
        server = grpc.aio.server(options=_OPTIONS)
        handler = grpc.stream_stream_rpc_method_handler(self._session)
        server.add_generic_rpc_handlers(
            (
                grpc.method_handlers_generic_handler(
                    _SERVICE, {_METHOD: handler}
                ),
            )
        )
        port = server.add_insecure_port(address)
        await server.start()
        self._server = server
        return f"{address.rpartition(':')[0]}:{port}"

    async def stop(self) -> None:
        """Ends all streams."""
        for stream in list(self.streams):
            stream.close()
        if self._server is not None:
            await self._server.stop(grace=0.2)

    async def _session(
        self, batches: AsyncIterator[bytes], context: Any
    ) -> None:
        stream = Stream()
        self.streams.add(stream)
        reader = asyncio.ensure_future(self._read(stream, batches))
        try:
            async for batch in stream.batches():
                await context.write(batch)
        finally:
            stream.close()
            reader.cancel()
            self.streams.discard(stream)
            if stream.hello is not None:
                self._on_closed(stream)

    async def _read(
        self, stream: Stream, batches: AsyncIterator[bytes]
    ) -> None:
        try:
            async for batch in batches:
                stream.heard()
                for message in self._decoder.decode(batch):
                    if isinstance(message, messages.Hello):
                        stream.hello = message
                        stream.send(messages.Ping(nonce=0))
                    if not isinstance(message, messages.Ping):
                        self._on_message(stream, message)
        except Exception:
            log.exception("stream failed")
        finally:
            stream.close()


class PeerLink:
    """Keeps a stream to another process open, and correlates replies.

    Args:
        address: IP and port of the other process.
        hello: how this process introduces itself.
        kinds: union of the messages that may arrive.
        on_message: called with each message that is not a reply to `ask`.
        on_connected: called whenever a new stream is up.
    """

    def __init__(
        self,
        address: str,
        hello: messages.Hello,
        kinds: Any,
        on_message: Callable[[Any], None],
        on_connected: Callable[[PeerLink], None] = lambda _: None,
    ) -> None:
        self.address = address
        self._hello = hello
        self._decoder = codec.decoder(list[kinds])
        self._on_message = on_message
        self._on_connected = on_connected
        self._stream: Stream | None = None
        self._asks: dict[int, asyncio.Future[Any]] = {}
        self._task: asyncio.Task[None] | None = None
        self.connected = asyncio.Event()

    def start(self) -> None:
        """Begins to connect, and reconnects until stopped."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Closes the stream."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def send(self, message: AnyMessage) -> bool:
        """Sends a message; returns False where there is no stream."""
        if self._stream is None or self._stream.closed:
            return False
        self._stream.send(message)
        return True

    async def ask(self, message: Any, timeout_s: float) -> Any:
        """Sends a message that has an `ask` field and awaits the reply.

        Raises:
            PeerLostError: the stream broke first, or nothing came in time;
                the other end may or may not have acted.
        """
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._asks[message.ask] = fut
        try:
            if not self.send(message):
                raise PeerLostError(f"no stream to {self.address}")
            return await asyncio.wait_for(fut, timeout_s)
        except TimeoutError as exc:
            text = f"no reply from {self.address} in {timeout_s:.1f} s"
            raise PeerLostError(text) from exc
        finally:
            self._asks.pop(message.ask, None)

    async def _run(self) -> None:
        while True:
            try:
                await self._connect_once()
            except grpc.aio.AioRpcError as exc:
                log.debug(
                    "no stream: %s", exc.code(), extra={"peer": self.address}
                )
            finally:
                self._lost()
            await asyncio.sleep(_RECONNECT_S)

    async def _connect_once(self) -> None:
        async with grpc.aio.insecure_channel(
            self.address, options=_OPTIONS
        ) as channel:
            rpc = channel.stream_stream(f"/{_SERVICE}/{_METHOD}")()
            stream = Stream()
            stream.send(self._hello)
            writer = asyncio.ensure_future(self._write(stream, rpc))
            try:
                await self._read(stream, rpc)
            except asyncio.CancelledError:
                # The writer cancels the call of a stream that went silent,
                # and the reader gets that as its own cancellation: the link
                # would end here and never connect again.
                if _is_cancelled():
                    raise
            finally:
                stream.close()
                writer.cancel()
                rpc.cancel()

    async def _write(self, stream: Stream, rpc: Any) -> None:
        try:
            # The call may have ended since the reader last looked.
            with contextlib.suppress(asyncio.InvalidStateError):
                async for batch in stream.batches():
                    await rpc.write(batch)
        finally:
            rpc.cancel()

    async def _read(self, stream: Stream, rpc: Any) -> None:
        async for batch in rpc:
            stream.heard()
            if self._stream is not stream:
                self._stream = stream
                self.connected.set()
                self._on_connected(self)
            for message in self._decoder.decode(batch):
                self._take(message)

    def _take(self, message: Any) -> None:
        fut = self._asks.get(getattr(message, "ask", 0))
        if fut is not None and not isinstance(message, messages.Chunk):
            if not fut.done():
                fut.set_result(message)
        elif not isinstance(message, messages.Ping):
            self._on_message(message)

    def _lost(self) -> None:
        self._stream = None
        self.connected.clear()
        for fut in self._asks.values():
            if not fut.done():
                fut.set_exception(
                    PeerLostError(f"stream to {self.address} broke")
                )


def _is_cancelled() -> bool:
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


_asks = itertools.count(1)


def next_ask() -> int:
    """Returns a number that correlates a message with its reply."""
    return next(_asks)
