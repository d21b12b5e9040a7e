"""Checks of what other processes send before anything acts on it.

Any program can connect to the peers' port, and another build may send what this
one doesn't know. A frame that can't be read ends its stream. A message that
can't be used is dropped, and the others of its batch are handled.
"""

from __future__ import annotations

import logging
import struct
import traceback
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import codec
from catkinpin.core import addresses

if TYPE_CHECKING:
    import asyncio

    from catkinpin.core import messages

log = logging.getLogger(__name__)

FRAME_LENGTH = struct.Struct(">I")
# A larger length can only come from a foreign client on the port.
MAX_FRAME_BYTES = 64 * 1024 * 1024
# Bound of the frames up to the Hello, which are short.
MAX_HELLO_FRAME_BYTES = 64 * 1024
_MAX_HELLO_FIELD_CHARS = 1_024
# Bound of the text in a log line that comes from another process.
_MAX_SHOWN_CHARS = 200

_raw_decoder = codec.decoder(list[msgspec.Raw])
# What a decoder raises for bytes that are no message of the expected types.
DECODE_ERRORS = (msgspec.MsgspecError, RecursionError, ValueError)


async def read_frame(reader: asyncio.StreamReader, max_bytes: int) -> bytes:
    """Returns the next frame.

    Raises:
        EOFError: the stream has ended, or the frame is too long.
    """
    (length,) = FRAME_LENGTH.unpack(await reader.readexactly(FRAME_LENGTH.size))
    if length > max_bytes:
        raise EOFError(f"frame of {length} bytes is too long")
    return await reader.readexactly(length)


def write_frame(writer: asyncio.StreamWriter, data: bytes) -> None:
    """Queues a frame to be sent."""
    writer.write(FRAME_LENGTH.pack(len(data)) + data)


class BatchDecoder:
    """Decodes batches of messages; drops those that can't be decoded.

    Args:
        message_types: union of the messages that may arrive.
    """

    def __init__(self, message_types: Any) -> None:
        self._batch_decoder = codec.decoder(list[message_types])
        self._decoder = codec.decoder(message_types)

    def decode(self, data: bytes, peer: str) -> list[Any]:
        """Returns the messages of a batch.

        Args:
            data: the batch.
            peer: describes the sender, for the log.

        Raises:
            EOFError: the data are no batch.
        """
        try:
            batch: list[Any] = self._batch_decoder.decode(data)
        except DECODE_ERRORS:
            batch = self._decode_each(data, peer)
        if codec.may_have_number_out_of_range(data):
            batch = [m for m in batch if not _is_refused(m, peer)]
        return batch

    def _decode_each(self, data: bytes, peer: str) -> list[Any]:
        try:
            parts = _raw_decoder.decode(data)
        except DECODE_ERRORS as exc:
            raise EOFError(f"not a batch: {shown(exc)}") from exc
        batch = []
        problem = ""
        for part in parts:
            try:
                batch.append(self._decoder.decode(part))
            except DECODE_ERRORS as exc:
                problem = shown(exc)
        log.warning(
            "%d of %d messages refused: %s",
            len(parts) - len(batch),
            len(parts),
            problem,
            extra={"peer": peer},
        )
        return batch


def _is_refused(message: Any, peer: str) -> bool:
    if not codec.must_be_refused(message):
        return False
    log.warning(
        "%s with a number out of range refused",
        type(message).__name__,
        extra={"peer": peer},
    )
    return True


def hello_problem(hello: messages.Hello) -> str:
    """Returns why a process can't be identified by its Hello, or ""."""
    for name in hello.__struct_fields__:
        value = getattr(hello, name)
        if isinstance(value, str) and len(value) > _MAX_HELLO_FIELD_CHARS:
            return f"its {name} has {len(value)} characters"
    if hello.address and not addresses.is_host_port(hello.address):
        return f"its address {shown(hello.address)} is no host and port"
    return ""


def shown(value: object) -> str:
    """Returns a value for a log line, cut to a bounded length."""
    if isinstance(value, Exception):
        return f"{type(value).__name__}: {value}"[:_MAX_SHOWN_CHARS]
    return repr(value)[:_MAX_SHOWN_CHARS]


def note_failure(what: str, exc: Exception, peer: str) -> None:
    """Logs a failure in one line that names the place of its cause."""
    place = traceback.extract_tb(exc.__traceback__)[-1]
    log.error(
        "%s: %s (%s:%s)",
        what,
        shown(exc),
        place.name,
        place.lineno,
        extra={"peer": peer},
    )
