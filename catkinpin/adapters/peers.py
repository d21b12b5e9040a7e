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
from catkinpin.adapters import streams
from catkinpin.adapters.streams import Stream as Stream
from catkinpin.core import messages
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

log = logging.getLogger(__name__)

_RECONNECT_S = 0.1
_COMPRESSION_KEY = "catkinpin-compression"
_COMPRESSION = "deflate"
_SERVICE = "catkinpin.Peer"
_METHOD = "Session"
_OPTIONS = [
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.so_reuseport", 0),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.use_local_subchannel_pool", 1),
]


class PeerServer:
    """Accepts streams from other processes.

    Args:
        kinds: union of the messages that may arrive.
        on_message: called with the stream and each message but pings.
        on_closed: called once a stream that said hello has ended.
        link: label of the bytes sent, in the metrics.
    """

    def __init__(
        self,
        kinds: Any,
        on_message: Callable[[Stream, Any], None],
        on_closed: Callable[[Stream], None],
        link: str = "replica-entry",
    ) -> None:
        self._link = link
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
        asked = dict(context.invocation_metadata() or ())
        stream = Stream(
            self._link,
            compressed=asked.get(_COMPRESSION_KEY) == _COMPRESSION,
        )
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
                for message in self._decoder.decode(stream.unpack(batch)):
                    if isinstance(message, messages.Ping):
                        stream.pinged(message)
                        continue
                    if isinstance(message, messages.Hello):
                        stream.hello = message
                        stream.send(messages.Ping())
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
        compressed: whether batches are compressed, for a narrow link.
        link: label of the bytes sent, in the metrics.
    """

    def __init__(
        self,
        address: str,
        hello: messages.Hello,
        kinds: Any,
        on_message: Callable[[Any], None],
        on_connected: Callable[[PeerLink], None] = lambda _: None,
        *,
        compressed: bool = False,
        link: str = "entry-replica",
    ) -> None:
        self.address = address
        self._compressed = compressed
        self._link = link
        self._hello = hello
        self._decoder = codec.decoder(list[kinds])
        self._on_message = on_message
        self._on_connected = on_connected
        self._stream: Stream | None = None
        self._asks: dict[int, asyncio.Future[Any]] = {}
        self._asked_ms: dict[int, int] = {}
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

    def send(self, message: Any) -> bool:
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
        self._asked_ms[message.ask] = streams.now_ms()
        try:
            if not self.send(message):
                text = f"no stream to {self.address}"
                raise PeerLostError(text, sent=False)
            return await asyncio.wait_for(fut, timeout_s)
        except TimeoutError as exc:
            text = f"no reply from {self.address} in {timeout_s:.1f} s"
            raise PeerLostError(text) from exc
        finally:
            self._asks.pop(message.ask, None)
            self._asked_ms.pop(message.ask, None)

    def give_up(self, ask: int) -> None:
        """Ends the wait for a reply, as if the stream had broken."""
        fut = self._asks.get(ask)
        if fut is not None and not fut.done():
            fut.set_exception(PeerLostError(f"gave up on {self.address}"))

    async def _run(self) -> None:
        while True:
            try:
                await self._connect_once()
            except grpc.aio.AioRpcError as exc:
                log.debug(
                    "no stream: %s", exc.code(), extra={"peer": self.address}
                )
            except asyncio.CancelledError:
                # A call that our own writer gave up ends its reader this way
                # too. Taken for the end of this task, the link would stay
                # down for good after one silent connection.
                task = asyncio.current_task()
                if task is None or task.cancelling():
                    raise
            except Exception:
                log.exception("stream failed", extra={"peer": self.address})
            finally:
                self._lost()
            await asyncio.sleep(_RECONNECT_S)

    async def _connect_once(self) -> None:
        async with grpc.aio.insecure_channel(
            self.address, options=_OPTIONS
        ) as channel:
            metadata = []
            if self._compressed:
                metadata.append((_COMPRESSION_KEY, _COMPRESSION))
            rpc = channel.stream_stream(f"/{_SERVICE}/{_METHOD}")(
                metadata=metadata
            )
            stream = Stream(self._link, compressed=self._compressed)
            stream.send(self._hello)
            writer = asyncio.ensure_future(self._write(stream, rpc))
            reader = asyncio.ensure_future(self._read(stream, rpc))
            try:
                await _until_silent(stream, reader)
            finally:
                stream.close()
                reader.cancel()
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
            data = stream.unpack(batch)
            if self._stream is not stream:
                self._stream = stream
                self.connected.set()
                self._on_connected(self)
            for message in self._decoder.decode(data):
                self._take(stream, message)

    def _take(self, stream: Stream, message: Any) -> None:
        if isinstance(message, messages.Ping):
            stream.pinged(message)
            return
        if isinstance(message, messages.Granted):
            asked_ms = self._asked_ms.get(message.ask, 0)
            message = streams.received_grant(message, stream, asked_ms)
        fut = self._asks.get(getattr(message, "ask", 0))
        if fut is not None and not isinstance(message, messages.Chunk):
            if not fut.done():
                fut.set_result(message)
        else:
            self._on_message(message)

    def _lost(self) -> None:
        self._stream = None
        self.connected.clear()
        for fut in self._asks.values():
            if not fut.done():
                fut.set_exception(
                    PeerLostError(f"stream to {self.address} broke")
                )


async def _until_silent(stream: Stream, reader: asyncio.Future[None]) -> None:
    """Waits until the reader ends, or nothing has come for too long.

    A call to a server that is just shutting down may never begin: reader and
    writer then wait for that for ever, and only this notices.

    Raises:
        grpc.aio.AioRpcError: the call failed.
    """
    while not reader.done():
        await asyncio.wait({reader}, timeout=streams.PING_EVERY_S)
        if stream.silent_s() > streams.SILENT_AFTER_S:
            return
    if not reader.cancelled():
        reader.result()


_asks = itertools.count(1)


def next_ask() -> int:
    """Returns a number that correlates a message with its reply."""
    return next(_asks)
