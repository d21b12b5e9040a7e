"""One end of a stream: batches, pings, and a bound on the age of messages.

Pings carry nonces that the other end echoes. From an echo the receiver knows,
on its own clock, the earliest time at which a message that arrives now can have
been sent. The time of receipt alone would mislead: a process that was frozen
reads old messages from its buffers when it continues.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import itertools
import logging
import time
import zlib
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import codec, metrics
from catkinpin.adapters.peers import borders
from catkinpin.core import messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

log = logging.getLogger(__name__)

PING_INTERVAL_S = 0.5
SILENCE_TIMEOUT_S = 1.5
# A batch carries a new nonce if the last nonce is at least this old.
_NONCE_INTERVAL_S = 0.05
MS_PER_S = 1000
# The writer waits while more bytes than this are buffered for a slow reader.
_WRITE_BUFFER_BYTES = 256 * 1024

AnyMessage = Any


class Opening(msgspec.Struct):
    """First frame of a connection.

    Attributes:
        compressed: whether all later frames are, in both directions.
    """

    compressed: bool


class _Deflate:
    """Compresses batches, each with the earlier batches as its dictionary.

    Events of a token stream differ only in one token, so a batch compressed on
    its own would shrink little.
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._out = zlib.compressobj(wbits=-zlib.MAX_WBITS)
        self._in = zlib.decompressobj(wbits=-zlib.MAX_WBITS)

    def pack(self, data: bytes) -> bytes:
        return self._out.compress(data) + self._out.flush(zlib.Z_SYNC_FLUSH)

    def unpack(self, data: bytes) -> bytes:
        unpacked = self._in.decompress(data, self._max_bytes)
        if self._in.unconsumed_tail:
            raise EOFError("compressed batch is too long")
        return unpacked


@dataclasses.dataclass(frozen=True)
class EncodedMessage:
    """An encoded message, which many streams can queue without a copy.

    Attributes:
        kind: class name of the message, for the metrics.
    """

    kind: str
    data: msgspec.Raw


def encode(message: AnyMessage) -> EncodedMessage:
    """Encodes a message.

    Raises:
        OverflowError, TypeError: the message can't be encoded.
    """
    return EncodedMessage(
        type(message).__name__, msgspec.Raw(codec.encode(message))
    )


class Stream:
    """One end of a stream: a send queue and the state of the other end.

    Attributes:
        hello: the other end's first message, which says what process it is;
            None before it arrives.
        closed: whether the stream has ended.
        earliest_sent_ms: earliest local monotonic time at which a message that
            arrives now can have been sent.
    """

    def __init__(self, link: str, *, compressed: bool = False) -> None:
        self.hello: messages.Hello | None = None
        self.closed = False
        self.earliest_sent_ms = now_ms()
        self._link_label = link
        self._deflate = (
            _Deflate(borders.MAX_FRAME_BYTES) if compressed else None
        )
        self._send_queue: list[msgspec.Raw] = []
        self._writer_wakeup = asyncio.Event()
        self._last_received_s = time.monotonic()
        self._nonces = itertools.count(1)
        self._last_nonce_s = 0.0
        self._nonce_sent_ms: dict[int, int] = {}
        self._nonce_to_echo = 0

    def send(self, message: AnyMessage) -> None:
        """Queues a message, or drops it if the stream is closed.

        Raises:
            OverflowError, TypeError: the message can't be encoded.
        """
        if self.closed:
            return
        # Encodes here so that a message that can't be encoded fails its sender.
        # In the writer it would end the stream, and again with each resend: one
        # caller's out-of-range number would disconnect this process.
        self.send_encoded(encode(message))

    def send_encoded(self, message: EncodedMessage) -> None:
        """Queues an encoded message, or drops it if the stream is closed."""
        if self.closed:
            return
        self._send_queue.append(self._count_bytes(message))
        self._writer_wakeup.set()

    @property
    def queue_length(self) -> int:
        """Number of queued messages; it grows while the other end is slow."""
        return len(self._send_queue)

    def receive_batch(self, data: bytes) -> bytes:
        """Decompresses a received batch and resets the silence timeout.

        Raises:
            EOFError: the batch can't be decompressed, or is too long.
        """
        self._last_received_s = time.monotonic()
        try:
            return self._deflate.unpack(data) if self._deflate else data
        except zlib.error as exc:
            raise EOFError(str(exc)) from exc

    def handle_ping(self, ping: messages.Ping) -> None:
        """Keeps the ping's nonce to echo, and applies its echo of ours."""
        self._nonce_to_echo = ping.nonce or self._nonce_to_echo
        if ping.echo in self._nonce_sent_ms:
            self.earliest_sent_ms = self._nonce_sent_ms[ping.echo]
            for nonce in [n for n in self._nonce_sent_ms if n <= ping.echo]:
                del self._nonce_sent_ms[nonce]

    def silence_s(self) -> float:
        """Returns the time since the last batch arrived."""
        return time.monotonic() - self._last_received_s

    def close(self) -> None:
        """Closes the stream, which stops its writer and reader."""
        self.closed = True
        self._writer_wakeup.set()

    async def batches(self) -> AsyncIterator[bytes]:
        """Yields batches of the queued messages until the stream is closed.

        Closes the stream once the other end was silent for too long.
        """
        while not self.closed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PING_INTERVAL_S):
                    await self._writer_wakeup.wait()
            if self.silence_s() > SILENCE_TIMEOUT_S:
                log.warning("peer silent", extra={"peer": str(self.hello)})
                self.close()
                return
            batch, self._send_queue = self._send_queue, []
            self._writer_wakeup.clear()
            yield self._pack([*self._due_pings(), *batch])

    def _count_bytes(self, message: EncodedMessage) -> msgspec.Raw:
        """Counts a message in the metrics; returns its bytes."""
        size = len(message.data)
        metrics.PEER_BYTES.labels(self._link_label, message.kind).inc(size)
        return message.data

    def _due_pings(self) -> list[msgspec.Raw]:
        """Returns the ping to put before the next batch, if one is due."""
        now = time.monotonic()
        nonce = 0
        if now - self._last_nonce_s >= _NONCE_INTERVAL_S:
            self._last_nonce_s = now
            nonce = next(self._nonces)
            self._nonce_sent_ms[nonce] = now_ms()
        if not nonce and not self._nonce_to_echo:
            return []
        echo, self._nonce_to_echo = self._nonce_to_echo, 0
        return [
            self._count_bytes(encode(messages.Ping(nonce=nonce, echo=echo)))
        ]

    def _pack(self, batch: list[msgspec.Raw]) -> bytes:
        packed = codec.encode(batch)
        if self._deflate is not None:
            packed = self._deflate.pack(packed)
        metrics.PEER_WIRE_BYTES.labels(self._link_label).inc(len(packed))
        return packed


async def write_batches(stream: Stream, writer: asyncio.StreamWriter) -> None:
    """Writes queued messages until the stream closes or its peer is silent.

    A frozen peer reads nothing, which blocks the drain. It sends no pings
    either, so the silence timeout ends the wait.
    """
    writer.transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
    async for batch in stream.batches():
        if writer.transport.is_closing():
            return
        borders.write_frame(writer, batch)
        while True:
            try:
                async with asyncio.timeout(PING_INTERVAL_S):
                    await writer.drain()
                break
            except TimeoutError:
                if stream.silence_s() > SILENCE_TIMEOUT_S:
                    return


def now_ms() -> int:
    """Returns the local monotonic time in milliseconds."""
    return int(time.monotonic() * MS_PER_S)


def with_local_expiry(
    grant: messages.Granted, stream: Stream, asked_at_ms: int = 0
) -> messages.Granted:
    """Returns a grant with its expiry on the local monotonic clock.

    Args:
        grant: as received.
        stream: the stream it arrived on.
        asked_at_ms: when this process sent the request that the grant answers,
            0 if it answers none.
    """
    if not grant.expires_ms:
        return grant
    # It can't have been sent before either time, so the later one counts.
    not_before_ms = max(
        stream.earliest_sent_ms, asked_at_ms and asked_at_ms + grant.waited_ms
    )
    until_ms = not_before_ms + grant.expires_ms
    return msgspec.structs.replace(grant, until_ms=until_ms)
