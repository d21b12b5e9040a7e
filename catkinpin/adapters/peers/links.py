"""Long-lived bidirectional streams between the system's processes, over TCP.

A stream carries batches of messages: one frame holds all messages that were
queued when the writer ran. Both ends send pings, and each closes a stream on
which nothing arrives: a dead connection would otherwise block its calls for
ever, although a new connection would work.

A frame is the length of the batch in four bytes, big-endian, then the batch.
The first frame that the connecting end sends is an `_Opening`, which is not
compressed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import struct
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import codec, listening, waiting
from catkinpin.adapters.peers import streams
from catkinpin.adapters.peers.streams import Stream as Stream
from catkinpin.core import messages
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

_RECONNECT_DELAY_S = 0.1
# A host without power answers no packet, and without a timeout the attempt
# would hang for minutes. After a power loss of all hosts, the first ones that
# are back connect to hosts that are still down. The operating system would
# resend a lost first packet only after a second, and no leader is elected
# meanwhile. A round trip between the farthest regions takes 16 ms.
_CONNECT_TIMEOUT_S = 0.3
# Longest wait for sessions to end when a process stops.
_SESSION_END_TIMEOUT_S = 1.0
_FRAME_LENGTH = struct.Struct(">I")
# A larger length can only come from a foreign client on the port.
_MAX_FRAME_BYTES = 64 * 1024 * 1024
# The writer waits while more bytes than this are buffered for a slow reader.
_WRITE_BUFFER_BYTES = 256 * 1024


class _Opening(msgspec.Struct):
    """First frame of a connection.

    Attributes:
        compressed: whether all later frames are, in both directions.
    """

    compressed: bool


_opening_decoder = msgspec.msgpack.Decoder(_Opening)


class PeerServer:
    """Accepts streams from other processes.

    Args:
        message_types: union of the messages that may arrive.
        on_message: called with the stream and each message except pings.
        on_closed: called after a stream that sent a Hello has ended.
        link: label of the sent bytes in the metrics.
    """

    def __init__(
        self,
        message_types: Any,
        on_message: Callable[[Stream, Any], None],
        on_closed: Callable[[Stream], None],
        link: str = "replica-entry",
    ) -> None:
        self._link_label = link
        self._decoder = codec.decoder(list[message_types])
        self._on_message = on_message
        self._on_closed = on_closed
        self._server: asyncio.Server | None = None
        self._sessions: set[asyncio.Task[None]] = set()
        self.streams: set[Stream] = set()

    async def start(self, address: str) -> str:
        """Listens; returns the address with the port that was bound.

        Waits while the port can't be opened.
        """
        host, _, _ = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._accept,
            sock=await waiting.open_port(address),
            backlog=listening.BACKLOG,
        )
        bound_port = self._server.sockets[0].getsockname()[1]
        return f"{host}:{bound_port}"

    async def stop(self) -> None:
        """Stops listening and ends all streams."""
        if self._server is not None:
            self._server.close()
        for stream in list(self.streams):
            stream.close()
        # A session that was just accepted has no stream yet. If it went on, it
        # would accept messages for a component that has stopped, and the other
        # end would take it for a connection to the component's successor.
        for task in list(self._sessions):
            task.cancel()
        if self._sessions:
            await asyncio.wait(self._sessions, timeout=_SESSION_END_TIMEOUT_S)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._sessions.add(task)
        try:
            await self._run_session(reader, writer)
        except (OSError, EOFError, msgspec.MsgspecError) as exc:
            log.debug("stream ended: %s", exc)
        finally:
            self._sessions.discard(task)
            writer.transport.abort()

    async def _run_session(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        opening = _opening_decoder.decode(await _read_frame(reader))
        stream = Stream(self._link_label, compressed=opening.compressed)
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
                data = stream.receive_batch(await _read_frame(reader))
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
            stream.handle_ping(message)
            return
        if isinstance(message, messages.Hello):
            stream.hello = message
            stream.send(messages.Ping())
        self._on_message(stream, message)


class PeerLink:
    """Keeps a stream to another process open; matches replies to requests.

    Args:
        address: IP and port of the other process.
        hello: first message on each stream; it says which process this is.
        message_types: union of the messages that may arrive.
        on_message: called with each message that answers no pending request.
        on_connected: called after the first frame on a new stream.
        on_disconnected: called after a stream has ended.
        compressed: whether to compress batches, for links of low bandwidth.
        link: label of the sent bytes in the metrics.

    Attributes:
        connected: set while there is a stream.
    """

    def __init__(
        self,
        address: str,
        hello: messages.Hello,
        message_types: Any,
        on_message: Callable[[Any], None],
        on_connected: Callable[[PeerLink], None] = lambda _: None,
        *,
        on_disconnected: Callable[[], None] = lambda: None,
        compressed: bool = False,
        link: str = "entry-replica",
    ) -> None:
        self.address = address
        self._compressed = compressed
        self._link_label = link
        self._hello = hello
        self._decoder = codec.decoder(list[message_types])
        self._on_message = on_message
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._stream: Stream | None = None
        self._pending_asks: dict[int, asyncio.Future[Any]] = {}
        self._asked_at_ms: dict[int, int] = {}
        self._task: asyncio.Task[None] | None = None
        self.connected = asyncio.Event()

    def start(self) -> None:
        """Connects in the background, and reconnects until `stop`."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Closes the stream and stops reconnecting."""
        if self._task is not None:
            self._task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._task

    def send(self, message: Any) -> bool:
        """Queues a message; returns False if there is no stream."""
        if self._stream is None or self._stream.closed:
            return False
        self._stream.send(message)
        return True

    def silence_ms(self) -> int:
        """Returns the time since the last batch; 0 if there is no stream."""
        if self._stream is None:
            return 0
        return int(self._stream.silence_s() * streams.MS_PER_S)

    def earliest_sent_ms(self) -> int:
        """Returns the earliest time at which the last message was sent.

        It is on the clock of `streams.now_ms`; 0 if there is no stream.
        """
        return self._stream.earliest_sent_ms if self._stream else 0

    async def ask(self, message: Any, timeout_s: float) -> Any:
        """Sends a message that has an `ask` field and waits for the reply.

        Raises:
            PeerLostError: the stream broke or the timeout passed before the
                reply; the other end may or may not have handled the message.
        """
        fut: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        self._pending_asks[message.ask] = fut
        self._asked_at_ms[message.ask] = streams.now_ms()
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
            self._pending_asks.pop(message.ask, None)
            self._asked_at_ms.pop(message.ask, None)

    def abandon_ask(self, ask: int) -> None:
        """Fails a pending request, as if the stream had broken."""
        fut = self._pending_asks.get(ask)
        if fut is not None and not fut.done():
            fut.set_exception(PeerLostError(f"gave up on {self.address}"))

    async def _run(self) -> None:
        while True:
            try:
                await self._connect_once()
            except (OSError, EOFError, TimeoutError) as exc:
                log.debug(
                    "connection failed: %r", exc, extra={"peer": self.address}
                )
            except Exception:
                log.exception("stream failed", extra={"peer": self.address})
            finally:
                self._handle_disconnect()
            await asyncio.sleep(_RECONNECT_DELAY_S)

    async def _connect_once(self) -> None:
        """Connects, and runs the stream until it ends."""
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        stream = Stream(self._link_label, compressed=self._compressed)
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
            results = await asyncio.gather(
                writing, reading, return_exceptions=True
            )
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _read(self, stream: Stream, reader: asyncio.StreamReader) -> None:
        while True:
            data = stream.receive_batch(await _read_frame(reader))
            if self._stream is not stream:
                self._stream = stream
                self.connected.set()
                self._on_connected(self)
            for message in self._decoder.decode(data):
                self._handle(stream, message)

    def _handle(self, stream: Stream, message: Any) -> None:
        if isinstance(message, messages.Ping):
            stream.handle_ping(message)
            return
        if isinstance(message, messages.Granted):
            asked_at_ms = self._asked_at_ms.get(message.ask, 0)
            message = streams.with_local_expiry(message, stream, asked_at_ms)
        fut = self._pending_asks.get(getattr(message, "ask", 0))
        if fut is not None and not isinstance(message, messages.Chunk):
            if not fut.done():
                fut.set_result(message)
        else:
            self._on_message(message)

    def _handle_disconnect(self) -> None:
        """Fails all pending requests."""
        was_connected = self._stream is not None
        self._stream = None
        self.connected.clear()
        for fut in self._pending_asks.values():
            if not fut.done():
                fut.set_exception(
                    PeerLostError(f"stream to {self.address} broke")
                )
        if was_connected:
            self._on_disconnected()


def _write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(_FRAME_LENGTH.pack(len(data)) + data)


async def _read_frame(reader: asyncio.StreamReader) -> bytes:
    (length,) = _FRAME_LENGTH.unpack(
        await reader.readexactly(_FRAME_LENGTH.size)
    )
    if length > _MAX_FRAME_BYTES:
        raise EOFError(f"frame of {length} bytes is too long")
    return await reader.readexactly(length)


async def _write_batches(stream: Stream, writer: asyncio.StreamWriter) -> None:
    """Writes queued messages until the stream closes or its peer is silent.

    A frozen peer reads nothing, which blocks the drain. It sends no pings
    either, so the silence timeout ends the wait.
    """
    writer.transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
    async for batch in stream.batches():
        if writer.transport.is_closing():
            return
        _write_frame(writer, batch)
        while True:
            try:
                async with asyncio.timeout(streams.PING_INTERVAL_S):
                    await writer.drain()
                break
            except TimeoutError:
                if stream.silence_s() > streams.SILENCE_TIMEOUT_S:
                    return


_ask_ids = itertools.count(1)


def next_ask_id() -> int:
    """Returns a new number for the `ask` field of a message."""
    return next(_ask_ids)
