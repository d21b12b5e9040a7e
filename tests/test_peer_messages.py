"""Tests what other processes and programs may send to the peers' port."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import struct
import zlib
from typing import Any
from unittest import mock

import msgspec

from catkinpin import codec
from catkinpin.adapters.peers import links
from catkinpin.core import messages
from catkinpin.core.control import protocol
from catkinpin.core.control.ledger import Begin
from tests import base
from tests.hellos import GATEWAY_HELLO

_TIMEOUT_S = 5.0
_OPENING = codec.encode({"compressed": False})
_COMPRESSED_OPENING = codec.encode({"compressed": True})
_HELLO = codec.encode([GATEWAY_HELLO])
_DEEP = b"\x91" * 50_000 + b"\xc0"
_DEEP_FIELD = (
    b"\x91\x82"
    + codec.encode("type")
    + codec.encode("AskCurrent")
    + codec.encode("other")
    + _DEEP
)
_MAX_LINE_CHARS = 1_000


def frame(data: bytes) -> bytes:
    """Returns a frame of a stream."""
    return struct.pack(">I", len(data)) + data


def _hello(**fields: Any) -> bytes:
    hello = msgspec.structs.replace(GATEWAY_HELLO, **fields)
    return codec.encode([hello])


def _begin(ask: int, **fields: Any) -> protocol.AskBegin:
    begin = Begin(
        attempt="a",
        program="p",
        previous="",
        budget=-1,
        max_tokens=1,
        retain_ms=1,
        at_ms=0,
    )
    return protocol.AskBegin(
        ask=ask, begin=msgspec.structs.replace(begin, **fields)
    )


# What a program may send instead of a stream, each ends its connection.
_ENDING = {
    "no frame": b"GET / HTTP/1.1\r\nHost: a\r\n\r\n",
    "huge length": struct.pack(">I", 2**32 - 1),
    "huge length before a Hello": frame(_OPENING)
    + struct.pack(">I", 32 * 2**20),
    "empty frame": frame(b""),
    "deep opening": frame(_DEEP),
    "opening of another type": frame(codec.encode([1, 2])),
    "deep batch": frame(_OPENING) + frame(_DEEP),
    "batch is no list": frame(_OPENING) + frame(codec.encode(7)),
    "megabyte of name": frame(_OPENING)
    + frame(_hello(process="x" * 2_000_000)),
    "long name": frame(_OPENING) + frame(_hello(process="x" * 20_000)),
    "superscript port": frame(_OPENING)
    + frame(_hello(address="127.0.0.1:\u00b2")),
    "port out of range": frame(_OPENING)
    + frame(_hello(address="127.0.0.1:99999")),
    "message before a Hello": frame(_OPENING)
    + frame(codec.encode([protocol.AskCurrent(ask=1)])),
    "second Hello": frame(_OPENING) + frame(_HELLO) + frame(_HELLO),
    "deep unknown field": frame(_OPENING) + frame(_HELLO) + frame(_DEEP_FIELD),
    "not compressed": frame(_COMPRESSED_OPENING) + frame(b"\xff" * 100),
}
# Batches with messages that are refused and cost nothing else.
_REFUSED = {
    "unknown tag": codec.encode([{"type": "Other", "ask": 1}]),
    "wrong type": codec.encode([{"type": "AskCurrent", "ask": "x"}]),
    "term beyond 64 bits": codec.encode([_begin(1, max_tokens=2**64 - 1)]),
    "far negative": codec.encode([_begin(1, retain_ms=-(2**63))]),
}


class _Lines(logging.Handler):
    """Collects log lines as a process would write them."""

    def __init__(self) -> None:
        super().__init__(logging.INFO)
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        self.lines.append(self.format(record))


class PeerPortTest(base.TestCase):
    """Bytes that are not what a process of the system sends."""

    def setUp(self) -> None:
        super().setUp()
        self.log = _Lines()
        logging.getLogger().addHandler(self.log)
        self.addCleanup(logging.getLogger().removeHandler, self.log)

    async def _serve(self) -> links.PeerServer:
        """Starts a server that answers `AskCurrent`, and fails on `Put`."""

        def on_message(stream: links.Stream, message: Any) -> None:
            if isinstance(message, protocol.AskCurrent):
                stream.send(protocol.Done(ask=message.ask))
            if isinstance(message, protocol.Put):
                raise ValueError(message.attempt)
            self.received.append(message)

        self.received: list[Any] = []
        server = links.PeerServer(protocol.ToKeeper, on_message, lambda _: None)
        self.address = await server.start("127.0.0.1:0")
        return server

    async def _connect(
        self, data: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(data)
        return reader, writer

    async def _is_closed(self, reader: asyncio.StreamReader) -> bool:
        """Returns whether the server closes a connection in time."""
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                while await reader.read(1 << 16):
                    pass
        except TimeoutError:
            return False
        except OSError:
            pass
        return True

    def _assert_short_lines(self, count: int) -> None:
        lines = self.log.lines
        self.assertLessEqual(len(lines), count, lines)
        for line in lines:
            self.assertNotIn("\n", line)
            self.assertLess(len(line), _MAX_LINE_CHARS)

    def test_bytes_that_are_no_stream_cost_one_connection(self) -> None:
        """Guards against foreign bytes that leave a traceback or a session."""

        async def main() -> None:
            server = await self._serve()
            link = links.PeerLink(
                self.address, GATEWAY_HELLO, protocol.FromKeeper, lambda _: None
            )
            link.start()
            await asyncio.wait_for(link.connected.wait(), _TIMEOUT_S)
            for name, data in _ENDING.items():
                reader, writer = await self._connect(data)
                self.assertTrue(await self._is_closed(reader), name)
                writer.close()
            reply = await link.ask(protocol.AskCurrent(ask=5), _TIMEOUT_S)
            self.assertEqual(5, reply.ask)
            self.assertEqual(1, len(server.streams))
            await link.stop()
            await server.stop()

        self.run_async(main())
        self._assert_short_lines(len(_ENDING))

    def test_refused_message_leaves_its_link_in_use(self) -> None:
        """Guards against one odd message that ends all others' requests."""

        async def main() -> None:
            server = await self._serve()
            reader, writer = await self._connect(
                frame(_OPENING) + frame(_HELLO)
            )
            asks = itertools.count(1)
            for data in _REFUSED.values():
                writer.write(frame(data))
                ask = next(asks)
                writer.write(
                    frame(codec.encode([protocol.AskCurrent(ask=ask)]))
                )
                await self._read_reply(reader, ask)
            put = protocol.Put(ask=99, attempt="a" * 100_000, data=b"")
            current = protocol.AskCurrent(ask=next(asks))
            writer.write(frame(codec.encode([put, current])))
            await self._read_reply(reader, current.ask)
            writer.close()
            await server.stop()

        self.run_async(main())
        kinds = {type(message) for message in self.received}
        self.assertEqual({messages.Hello, protocol.AskCurrent}, kinds)
        self._assert_short_lines(len(_REFUSED) + 1)

    async def _read_reply(self, reader: asyncio.StreamReader, ask: int) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while True:
                (length,) = struct.unpack(">I", await reader.readexactly(4))
                batch = codec.decoder(Any).decode(
                    await reader.readexactly(length)
                )
                if any(message.get("ask") == ask for message in batch):
                    return

    def test_compressed_batch_is_bounded(self) -> None:
        """Guards against some kilobytes that decompress to gigabytes."""
        deflate = zlib.compressobj(wbits=-zlib.MAX_WBITS)
        bomb = deflate.compress(bytes(100 * 2**20))
        bomb += deflate.flush(zlib.Z_SYNC_FLUSH)

        async def main() -> None:
            stream = links.Stream("test", compressed=True)
            self.assertRaises(EOFError, stream.receive_batch, bomb)

        self.run_async(main())

    def test_connection_without_hello_is_closed(self) -> None:
        """Guards against connections that stay for ever and say nothing."""

        async def main() -> None:
            server = await self._serve()
            ping = frame(codec.encode([messages.Ping(nonce=1)]))
            silent, _ = await self._connect(b"")
            pinging, writer = await self._connect(frame(_OPENING))
            closing = asyncio.gather(
                self._is_closed(silent), self._is_closed(pinging)
            )
            with contextlib.suppress(OSError):
                while not closing.done():
                    writer.write(ping)
                    await asyncio.sleep(0.05)
            self.assertEqual([True, True], await closing)
            await server.stop()

        with mock.patch.object(links, "_HELLO_TIMEOUT_S", 0.5, create=True):
            self.run_async(main())

    def test_strangers_leave_room_for_processes(self) -> None:
        """Guards against unbounded connections, and against closing others."""

        async def main() -> None:
            server = await self._serve()
            link = links.PeerLink(
                self.address, GATEWAY_HELLO, protocol.FromKeeper, lambda _: None
            )
            strangers = [await self._connect(b"") for _ in range(40)]
            link.start()
            await asyncio.wait_for(link.connected.wait(), _TIMEOUT_S)
            strangers += [await self._connect(b"") for _ in range(40)]

            async def is_bounded() -> bool:
                return len(server._sessions) <= 8 + 1

            await base.until(is_bounded, "few sessions", _TIMEOUT_S)
            reply = await link.ask(protocol.AskCurrent(ask=5), _TIMEOUT_S)
            self.assertEqual(5, reply.ask)
            for _, writer in strangers:
                writer.close()
            await link.stop()
            await server.stop()

        with (
            mock.patch.object(links, "_MAX_UNIDENTIFIED", 8, create=True),
            mock.patch.object(links, "_HELLO_TIMEOUT_S", 60.0, create=True),
        ):
            self.run_async(main())


class LinkAddressTest(base.TestCase):
    """Links to addresses that another process has sent."""

    def test_odd_address_is_not_connected(self) -> None:
        """Guards against a traceback ten times a second for ever."""
        log = _Lines()
        logging.getLogger().addHandler(log)
        self.addCleanup(logging.getLogger().removeHandler, log)
        addresses = ["127.0.0.1:\u00b2", "127.0.0.1", "", ":", "a:99999", "a:0"]

        async def main() -> None:
            opened = [
                links.PeerLink(address, GATEWAY_HELLO, Any, lambda _: None)
                for address in addresses
            ]
            for link in opened:
                link.start()
            await asyncio.sleep(0.5)
            for link in opened:
                await link.stop()

        self.run_async(main())
        self.assertEqual(len(addresses), len(log.lines), log.lines)

    def test_failing_listener_does_not_end_a_link(self) -> None:
        """Guards against a link that never reconnects after a failure."""

        async def main() -> None:
            server = links.PeerServer(
                protocol.ToKeeper, lambda *_: None, lambda _: None
            )
            address = await server.start("127.0.0.1:0")
            link = links.PeerLink(
                address,
                GATEWAY_HELLO,
                protocol.FromKeeper,
                lambda _: None,
                on_disconnected=mock.Mock(side_effect=ValueError("a")),
            )
            link.start()
            await asyncio.wait_for(link.connected.wait(), _TIMEOUT_S)
            for stream in list(server.streams):
                stream.close()

            async def is_lost() -> bool:
                return not link.connected.is_set()

            await base.until(is_lost, "the stream ends", _TIMEOUT_S)
            await asyncio.wait_for(link.connected.wait(), _TIMEOUT_S)
            await link.stop()
            await server.stop()

        self.run_async(main())
