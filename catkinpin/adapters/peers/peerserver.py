"""Accepts the streams of other processes, see `links`."""

from __future__ import annotations

import asyncio
import logging
from typing import TYPE_CHECKING, Any

import msgspec

from catkinpin import listening, waiting
from catkinpin.adapters.peers import borders, streams
from catkinpin.core import messages
from catkinpin.exceptions import BadHelloError

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.adapters.peers.streams import Stream

log = logging.getLogger(__name__)

# Longest wait for sessions to end when a process stops.
_SESSION_END_TIMEOUT_S = 1.0
# Longest time for which a connection may stay without a Hello. A process sends
# it with its first bytes, but a busy machine may take long to read them.
_HELLO_TIMEOUT_S = 5.0
# Connections without a Hello; the oldest is closed for a new one.
_MAX_UNIDENTIFIED = 1_024

_opening_decoder = msgspec.msgpack.Decoder(streams.Opening)


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
        self._decoder = borders.BatchDecoder(message_types)
        self._on_message = on_message
        self._on_closed = on_closed
        self._server: asyncio.Server | None = None
        self._stopped = False
        self._sessions: set[asyncio.Task[None]] = set()
        # Sessions without a Hello, oldest first.
        self._unidentified: dict[asyncio.Task[None], None] = {}
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
        self._stopped = True
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

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Starts a session.

        It is a task of this server: asyncio logs the end of a cancelled one of
        its own as an error.
        """
        if self._stopped:
            # It was accepted before the port was closed.
            writer.transport.abort()
            return
        task = asyncio.ensure_future(self._run_safely(reader, writer))
        task.add_done_callback(lambda task: self._end_session(task, writer))
        self._sessions.add(task)
        self._unidentified[task] = None
        if len(self._unidentified) > _MAX_UNIDENTIFIED:
            oldest = next(iter(self._unidentified))
            del self._unidentified[oldest]
            oldest.cancel()

    def _end_session(
        self, task: asyncio.Task[None], writer: asyncio.StreamWriter
    ) -> None:
        """Closes the connection of a session, even one that never ran."""
        self._sessions.discard(task)
        self._unidentified.pop(task, None)
        writer.transport.abort()

    async def _run_safely(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        peer = str(writer.get_extra_info("peername"))
        try:
            await self._run_session(task, reader, writer, peer)
        except (OSError, EOFError) as exc:
            log.debug("stream ended: %s", exc)
        except Exception as exc:
            borders.note_failure("stream refused", exc, peer)

    async def _run_session(
        self,
        task: asyncio.Task[None],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        peer: str,
    ) -> None:
        async with asyncio.timeout(_HELLO_TIMEOUT_S):
            frame = await borders.read_frame(
                reader, borders.MAX_HELLO_FRAME_BYTES
            )
        opening = _opening_decoder.decode(frame)
        stream = streams.Stream(self._link_label, compressed=opening.compressed)
        self.streams.add(stream)
        reading = asyncio.ensure_future(self._read(task, stream, reader, peer))
        try:
            await streams.write_batches(stream, writer)
        finally:
            stream.close()
            reading.cancel()
            self.streams.discard(stream)
            if stream.hello is not None:
                self._on_closed(stream)

    async def _read(
        self,
        task: asyncio.Task[None],
        stream: Stream,
        reader: asyncio.StreamReader,
        peer: str,
    ) -> None:
        try:
            async with asyncio.timeout(_HELLO_TIMEOUT_S):
                while stream.hello is None:
                    await self._read_batch(
                        stream, reader, peer, borders.MAX_HELLO_FRAME_BYTES
                    )
            self._unidentified.pop(task, None)
            while True:
                await self._read_batch(
                    stream, reader, peer, borders.MAX_FRAME_BYTES
                )
        except (OSError, EOFError) as exc:
            log.debug("stream ended: %s", exc)
        except Exception as exc:
            borders.note_failure("stream failed", exc, peer)
        finally:
            stream.close()

    async def _read_batch(
        self,
        stream: Stream,
        reader: asyncio.StreamReader,
        peer: str,
        max_bytes: int,
    ) -> None:
        data = stream.receive_batch(await borders.read_frame(reader, max_bytes))
        for message in self._decoder.decode(data, peer):
            self._handle(stream, message, peer)

    def _handle(self, stream: Stream, message: Any, peer: str) -> None:
        """Handles a message; one that can't be used affects no other."""
        if isinstance(message, messages.Ping):
            stream.handle_ping(message)
            return
        if isinstance(message, messages.Hello):
            self._handle_hello(stream, message)
        elif stream.hello is None:
            raise BadHelloError(f"{type(message).__name__} before the Hello")
        try:
            self._on_message(stream, message)
        except Exception as exc:
            borders.note_failure(f"{type(message).__name__} failed", exc, peer)

    def _handle_hello(self, stream: Stream, hello: messages.Hello) -> None:
        problem = borders.hello_problem(hello)
        if stream.hello is not None:
            problem = "it is the second one of its stream"
        if problem:
            raise BadHelloError(f"Hello refused: {problem}")
        stream.hello = hello
        stream.send(messages.Ping())
