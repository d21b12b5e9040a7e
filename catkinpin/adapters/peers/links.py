"""Long two-way streams between our processes, over TCP.

A stream carries batches of messages: one frame holds all that were waiting
when the writer got its turn. Both ends send pings, and a stream on which
nothing arrives is given up: a connection that has gone silent for good would
otherwise hold its calls for ever while new connections work.

A frame is its length in four bytes, big-endian, then the batch. The first
frame of whoever connects is a `_Opening` and is not compressed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import struct
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import codec, listening
from catkinpin.adapters.peers import streams
from catkinpin.adapters.peers.streams import Stream as Stream
from catkinpin.core import messages
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

_RECONNECT_S = 0.1
# A host without power answers no packet: without a bound the attempt would
# hang for minutes. After everything lost power, those that are back first look
# for the others while these are still dark; the system would send a lost first
# packet again after a second, and no leader is elected meanwhile. A round trip
# between the farthest regions takes 16 ms.
_CONNECT_S = 0.3
# Longest wait for sessions to end when a process stops.
_END_S = 1.0
_LENGTH = struct.Struct(">I")
# A larger length can only come from a stranger on the port.
_MAX_BYTES = 64 * 1024 * 1024
# Bytes that wait for a slow reader before the writer waits, too.
_WRITE_BUFFER_BYTES = 256 * 1024


class _Opening(msgspec.Struct):
    """First frame of a connection.

    Attributes:
        compressed: whether all later frames, both ways, are compressed.
    """

    compressed: bool


_opening = msgspec.msgpack.Decoder(_Opening)


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
        self._server: asyncio.Server | None = None
        self._sessions: set[asyncio.Task[None]] = set()
        self.streams: set[Stream] = set()

    async def start(self, address: str) -> str:
        """Listens and returns the address with its real port."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept, host, int(port), backlog=listening.BACKLOG
        )
        real = self._server.sockets[0].getsockname()[1]
        return f"{host}:{real}"

    async def stop(self) -> None:
        """Ends all streams."""
        if self._server is not None:
            self._server.close()
        for stream in list(self.streams):
            stream.close()
        # A session that was only just accepted belongs to no stream yet. Left
        # alone it would go on taking messages for a part that has stopped, and
        # the other end would believe it reaches the one that comes after.
        for task in list(self._sessions):
            task.cancel()
        if self._sessions:
            await asyncio.wait(self._sessions, timeout=_END_S)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._sessions.add(task)
        try:
            await self._session(reader, writer)
        except (OSError, EOFError, msgspec.MsgspecError) as exc:
            log.debug("stream ended: %s", exc)
        finally:
            self._sessions.discard(task)
            writer.transport.abort()

    async def _session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opening = _opening.decode(await _read_frame(reader))
        stream = Stream(self._link, compressed=opening.compressed)
        self.streams.add(stream)
        reading = asyncio.ensure_future(self._read(stream, reader))
        try:
            await _write_batches(stream, writer)
        finally:
            stream.close()
            reading.cancel()
            self.streams.discard(stream)
            if stream.hello is not None:
                self._on_closed(stream)

    async def _read(self, stream: Stream, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                data = stream.unpack(await _read_frame(reader))
                for message in self._decoder.decode(data):
                    self._handle(stream, message)
        except (OSError, EOFError) as exc:
            log.debug("stream ended: %s", exc)
        except Exception:
            log.exception("stream failed")
        finally:
            stream.close()

    def _handle(self, stream: Stream, message: Any) -> None:
        if isinstance(message, messages.Ping):
            stream.pinged(message)
            return
        if isinstance(message, messages.Hello):
            stream.hello = message
            stream.send(messages.Ping())
        self._on_message(stream, message)


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
            async with asyncio.timeout(timeout_s):
                return await fut
        except TimeoutError as exc:
            text = f"no reply from {self.address} in {timeout_s:.1f} s"
            raise PeerLostError(text) from exc
        finally:
            self._asks.pop(message.ask, None)
            self._asked_ms.pop(message.ask, None)

    def abandon_ask(self, ask: int) -> None:
        """Ends the wait for a reply, as if the stream had broken."""
        fut = self._asks.get(ask)
        if fut is not None and not fut.done():
            fut.set_exception(PeerLostError(f"gave up on {self.address}"))

    async def _run(self) -> None:
        while True:
            try:
                await self._connect_once()
            except (OSError, EOFError, TimeoutError) as exc:
                log.debug("no stream: %r", exc, extra={"peer": self.address})
            except Exception:
                log.exception("stream failed", extra={"peer": self.address})
            finally:
                self._lost()
            await asyncio.sleep(_RECONNECT_S)

    async def _connect_once(self) -> None:
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(_CONNECT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        stream = Stream(self._link, compressed=self._compressed)
        stream.send(self._hello)
        _write_frame(writer, codec.encode(_Opening(self._compressed)))
        writing = asyncio.ensure_future(_write_batches(stream, writer))
        reading = asyncio.ensure_future(self._read(stream, reader))
        try:
            await asyncio.wait(
                {writing, reading}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            stream.close()
            writer.transport.abort()
            for task in (writing, reading):
                task.cancel()
            ends = await asyncio.gather(
                writing, reading, return_exceptions=True
            )
        for end in ends:
            if isinstance(end, Exception):
                raise end

    async def _read(self, stream: Stream, reader: asyncio.StreamReader) -> None:
        while True:
            data = stream.unpack(await _read_frame(reader))
            if self._stream is not stream:
                self._stream = stream
                self.connected.set()
                self._on_connected(self)
            for message in self._decoder.decode(data):
                self._handle(stream, message)

    def _handle(self, stream: Stream, message: Any) -> None:
        if isinstance(message, messages.Ping):
            stream.pinged(message)
            return
        if isinstance(message, messages.Granted):
            asked_ms = self._asked_ms.get(message.ask, 0)
            message = streams.with_local_expiry(message, stream, asked_ms)
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


def _write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(_LENGTH.pack(len(data)) + data)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    (length,) = _LENGTH.unpack(await reader.readexactly(_LENGTH.size))
    if length > _MAX_BYTES:
        raise EOFError(f"a frame of {length} bytes")
    return await reader.readexactly(length)


async def _write_batches(stream: Stream, writer: asyncio.StreamWriter) -> None:
    """Writes what is queued until the stream closes or goes silent.

    A peer that reads nothing blocks the drain; its silence ends that, since
    it sends no pings then either.
    """
    writer.transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
    async for batch in stream.batches():
        if writer.transport.is_closing():
            return
        _write_frame(writer, batch)
        while True:
            try:
                async with asyncio.timeout(streams.PING_EVERY_S):
                    await writer.drain()
                break
            except TimeoutError:
                if stream.silent_s() > streams.SILENT_AFTER_S:
                    return


_asks = itertools.count(1)


def next_ask_id() -> int:
    """Returns a number that correlates a message with its reply."""
    return next(_asks)
