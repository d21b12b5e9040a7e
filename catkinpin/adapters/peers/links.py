"""Long-lived bidirectional streams between the system's processes, over TCP.

A stream carries batches of messages: one frame holds all messages that were
queued when the writer ran. Both ends send pings, and each closes a stream on
which nothing arrives: a dead connection would otherwise block its calls for
ever, although a new connection would work.

A frame is the length of the batch in four bytes, big-endian, then the batch.
The first frame that the connecting end sends is an `Opening`, which is not
compressed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
from typing import TYPE_CHECKING, Any

from catkinpin import codec
from catkinpin.adapters.peers import borders, streams
from catkinpin.adapters.peers.streams import Stream as Stream
from catkinpin.core import addresses, messages
from catkinpin.exceptions import PeerLostError

if TYPE_CHECKING:
    from collections.abc import Callable

log = logging.getLogger(__name__)

RECONNECT_DELAY_S = 0.1
# A host without power answers no packet, and without a timeout the attempt
# would hang for minutes. After a power loss of all hosts, the first ones that
# are back connect to hosts that are still down. The operating system would
# resend a lost first packet only after a second, and no leader is elected
# meanwhile. A round trip between the farthest regions takes 16 ms.
_CONNECT_TIMEOUT_S = 0.3


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
        reconnect_delay_s: returns the pause before the next connection.

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
        reconnect_delay_s: Callable[[], float] = lambda: RECONNECT_DELAY_S,
    ) -> None:
        self.address = address
        self._reconnect_delay_s = reconnect_delay_s
        self._compressed = compressed
        self._link_label = link
        self._hello = hello
        self._decoder = borders.BatchDecoder(message_types)
        self._on_message = on_message
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._stream: Stream | None = None
        self._pending_asks: dict[int, asyncio.Future[Any]] = {}
        self._asked_at_ms: dict[int, int] = {}
        self._task: asyncio.Task[None] | None = None
        self.connected = asyncio.Event()

    def start(self) -> None:
        """Connects in the background, and reconnects until `stop`.

        An address that names no host and port is logged and never connected.
        """
        if not addresses.is_host_port(self.address):
            log.warning(
                "no connection to %s: no host and port",
                borders.shown(self.address),
            )
            return
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
            except Exception as exc:
                borders.note_failure("stream failed", exc, self.address)
            finally:
                self._handle_disconnect()
            await asyncio.sleep(self._reconnect_delay_s())

    async def _connect_once(self) -> None:
        """Connects, and runs the stream until it ends."""
        host, _, port = self.address.rpartition(":")
        async with asyncio.timeout(_CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
        stream = Stream(self._link_label, compressed=self._compressed)
        stream.send(self._hello)
        borders.write_frame(
            writer, codec.encode(streams.Opening(self._compressed))
        )
        writing = asyncio.ensure_future(streams.write_batches(stream, writer))
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
            data = stream.receive_batch(
                await borders.read_frame(reader, borders.MAX_FRAME_BYTES)
            )
            if self._stream is not stream:
                self._stream = stream
                self.connected.set()
                self._on_connected(self)
            for message in self._decoder.decode(data, self.address):
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
            return
        try:
            self._on_message(message)
        except Exception as exc:
            borders.note_failure(
                f"{type(message).__name__} failed", exc, self.address
            )

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
        if not was_connected:
            return
        try:
            self._on_disconnected()
        except Exception as exc:
            borders.note_failure(
                "handling a lost stream failed", exc, self.address
            )


_ask_ids = itertools.count(1)


def next_ask_id() -> int:
    """Returns a new number for the `ask` field of a message."""
    return next(_ask_ids)
