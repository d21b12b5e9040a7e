"""One end of a long stream: batches, pings, and how old a message can be.

Pings carry numbers that the other end echoes, so that a receiver knows a time
of its own before which nothing it receives now can have been sent. A process
that was stopped and goes on reads messages that lay in its buffers; by the time
of receipt alone they would seem new.
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
from catkinpin.core import messages

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

log = logging.getLogger(__name__)

PING_EVERY_S = 0.5
SILENT_AFTER_S = 1.5
# A batch that goes out anyway carries a new number after this time.
_NONCE_EVERY_S = 0.05
_MS_PER_S = 1000

AnyMessage = Any


class _Deflate:
    """Compresses batches, each with all earlier ones as its dictionary.

    Events of a token stream differ in one token; alone each would hardly
    shrink.
    """

    def __init__(self) -> None:
        self._out = zlib.compressobj(wbits=-zlib.MAX_WBITS)
        self._in = zlib.decompressobj(wbits=-zlib.MAX_WBITS)

    def pack(self, data: bytes) -> bytes:
        return self._out.compress(data) + self._out.flush(zlib.Z_SYNC_FLUSH)

    def unpack(self, data: bytes) -> bytes:
        return self._in.decompress(data)


@dataclasses.dataclass(frozen=True)
class Encoded:
    """A message as it travels; many streams may queue the same one.

    Attributes:
        kind: of the message, for the metrics.
    """

    kind: str
    data: msgspec.Raw


def encode(message: AnyMessage) -> Encoded:
    """Returns a message as it travels.

    Raises:
        OverflowError, TypeError: it can't be encoded.
    """
    return Encoded(type(message).__name__, msgspec.Raw(codec.encode(message)))


class Stream:
    """One end of a stream: an outbox and what is known of the other end.

    Attributes:
        hello: how the other end introduced itself.
        fresh_ms: our monotonic time before which nothing that arrives now can
            have been sent.
    """

    def __init__(self, link: str, *, compressed: bool = False) -> None:
        self.hello: messages.Hello | None = None
        self.closed = False
        self.fresh_ms = now_ms()
        self._link = link
        self._deflate = _Deflate() if compressed else None
        self._outbox: list[msgspec.Raw] = []
        self._wake = asyncio.Event()
        self._last_received_s = time.monotonic()
        self._nonces = itertools.count(1)
        self._nonce_at = 0.0
        self._sent_ms: dict[int, int] = {}
        self._echo = 0

    def send(self, message: AnyMessage) -> None:
        """Queues a message; dropped where the stream is closed.

        Raises:
            OverflowError, TypeError: the message can't be encoded.
        """
        if self.closed:
            return
        # Encoded here, a message that can't be fails whoever sends it. In the
        # writer it would end the stream, and that again at each resend: one
        # caller's odd number would cut this process off from the others.
        self.send_encoded(encode(message))

    def send_encoded(self, message: Encoded) -> None:
        """Queues a message that was encoded for many streams."""
        if self.closed:
            return
        self._outbox.append(self._counted(message))
        self._wake.set()

    @property
    def queued(self) -> int:
        """How many messages wait; a reader that is slow lets them pile up."""
        return len(self._outbox)

    def unpack(self, data: bytes) -> bytes:
        """Reads a batch, and notes that the other end is alive."""
        self._last_received_s = time.monotonic()
        return self._deflate.unpack(data) if self._deflate else data

    def pinged(self, ping: messages.Ping) -> None:
        """Takes in a ping."""
        self._echo = ping.nonce or self._echo
        if ping.echo in self._sent_ms:
            self.fresh_ms = self._sent_ms[ping.echo]
            for nonce in [n for n in self._sent_ms if n <= ping.echo]:
                del self._sent_ms[nonce]

    def silent_s(self) -> float:
        """Returns how long nothing has arrived."""
        return time.monotonic() - self._last_received_s

    def close(self) -> None:
        """Ends the stream; its writer and reader stop."""
        self.closed = True
        self._wake.set()

    async def batches(self) -> AsyncIterator[bytes]:
        """Yields encoded batches of what waits, until closed."""
        while not self.closed:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(PING_EVERY_S):
                    await self._wake.wait()
            if self.silent_s() > SILENT_AFTER_S:
                log.warning("peer silent", extra={"peer": str(self.hello)})
                self.close()
                return
            batch, self._outbox = self._outbox, []
            self._wake.clear()
            yield self._pack([*self._pings(), *batch])

    def _counted(self, message: Encoded) -> msgspec.Raw:
        size = len(message.data)
        metrics.PEER_BYTES.labels(self._link, message.kind).inc(size)
        return message.data

    def _pings(self) -> list[msgspec.Raw]:
        """Returns the ping that goes before the next batch, if any is due."""
        now = time.monotonic()
        nonce = 0
        if now - self._nonce_at >= _NONCE_EVERY_S:
            self._nonce_at = now
            nonce = next(self._nonces)
            self._sent_ms[nonce] = now_ms()
        if not nonce and not self._echo:
            return []
        echo, self._echo = self._echo, 0
        return [self._counted(encode(messages.Ping(nonce=nonce, echo=echo)))]

    def _pack(self, batch: list[msgspec.Raw]) -> bytes:
        packed = codec.encode(batch)
        if self._deflate is not None:
            packed = self._deflate.pack(packed)
        metrics.PEER_WIRE_BYTES.labels(self._link).inc(len(packed))
        return packed


def now_ms() -> int:
    """Returns our monotonic time in milliseconds."""
    return int(time.monotonic() * _MS_PER_S)


def received_grant(
    grant: messages.Granted, stream: Stream, asked_ms: int = 0
) -> messages.Granted:
    """Returns a grant with its expiry on our own monotonic clock.

    Args:
        grant: as it came.
        stream: the stream it came on.
        asked_ms: when we sent the question that it answers, if it does.
    """
    if not grant.expires_ms:
        return grant
    # The later of two times before which it can't have been sent.
    since_ms = max(stream.fresh_ms, asked_ms and asked_ms + grant.waited_ms)
    until_ms = since_ms + grant.expires_ms
    return msgspec.structs.replace(grant, until_ms=until_ms)
