"""Tests what other processes and programs may send to the peers' port."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import struct
import zlib
from typing import TYPE_CHECKING, Any
from unittest import mock

import msgspec

from catkinpin import codec
from catkinpin.adapters.peers import borders, links, peerserver
from catkinpin.adapters.replica import transport
from catkinpin.core import messages
from catkinpin.core.consensus.core import Core
from catkinpin.core.consensus.messages import (
    Append,
    AppendReply,
    Ballot,
    Entry,
    EntryKind,
    Heartbeat,
    HeartbeatReply,
    Member,
    Members,
    Prepare,
    PreVote,
    SnapshotOffer,
    Vote,
    VoteReply,
)
from catkinpin.core.control import protocol
from catkinpin.core.control.servers import Instance, ServerState
from catkinpin.core.control.stores import Store
from catkinpin.core.control.turnrecords import Begin
from tests import base, ports, simulation
from tests.fakes.deployment import Deployment
from tests.fakes.lognode import LogNode
from tests.hellos import GATEWAY_HELLO

if TYPE_CHECKING:
    from collections.abc import Iterator

    from catkinpin.core.consensus.messages import GroupMessage

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

    async def _serve(self) -> peerserver.PeerServer:
        """Starts a server that answers `AskCurrent`, and fails on `Put`."""

        def on_message(stream: links.Stream, message: Any) -> None:
            if isinstance(message, protocol.AskCurrent):
                stream.send(protocol.Done(ask=message.ask))
            if isinstance(message, protocol.Put):
                raise ValueError(message.attempt)
            self.received.append(message)

        self.received: list[Any] = []
        server = peerserver.PeerServer(
            protocol.ToKeeper, on_message, lambda _: None
        )
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

        with mock.patch.object(
            peerserver, "_HELLO_TIMEOUT_S", 0.5, create=True
        ):
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
            mock.patch.object(peerserver, "_MAX_UNIDENTIFIED", 8, create=True),
            mock.patch.object(
                peerserver, "_HELLO_TIMEOUT_S", 60.0, create=True
            ),
        ):
            self.run_async(main())


class ConsensusMessageTest(base.TestCase):
    """Messages of a replica that doesn't keep the protocol."""

    def test_messages_of_replicas_are_not_refused(self) -> None:
        """Guards against checks that a late or repeated message fails."""
        problems = []

        def step(
            core: Core, sender: str, msg: GroupMessage, now_ms: int
        ) -> None:
            problems.append(core.find_problem(msg, now_ms))
            original(core, sender, msg, now_ms)

        original = Core.step
        with mock.patch.object(Core, "step", step):
            for seed in range(1_000, 1_006):
                simulation.run(seed, 3 + 2 * (seed % 2))
        self.assertEqual({""}, set(problems))

    def test_odd_messages_end_no_replica(self) -> None:
        """Guards against a stranger's message that ends a replica."""
        folder = self.folder

        async def main() -> None:
            peer_ports = ports.free_ports(3)
            nodes = [LogNode(folder / str(i), i, peer_ports) for i in range(3)]
            for log_node in nodes:
                await log_node.start()

            async def leader() -> LogNode | None:
                return next((n for n in nodes if n.machines[0].leading), None)

            leading = await base.until(leader, "a leader")
            for number in range(120):
                await leading.commit(b"%d" % number)

            async def has_snapshots() -> bool:
                return all(n.groups[0].log.snapshot_index for n in nodes)

            await base.until(has_snapshots, "snapshots")
            for log_node in nodes:
                for message in odd_replica_messages(log_node):
                    log_node.node.handle(message)
            await asyncio.sleep(0.5)
            self.assertEqual([None] * 3, [n.failure for n in nodes])
            leading = await base.until(leader, "a leader")
            await asyncio.wait_for(leading.commit(b"last"), _TIMEOUT_S)
            members = leading.groups[0].members.members
            self.assertEqual(
                {f"127.0.0.1:{port}" for port in peer_ports},
                {member.address for member in members},
            )
            for log_node in nodes:
                await log_node.stop()
            self.assertEqual([None] * 3, [n.failure for n in nodes])

        self.run_async(main())

    def test_odd_messages_prevent_no_founding(self) -> None:
        """Guards against a ballot after which no seed can make a higher one."""
        folder = self.folder

        async def main() -> None:
            peer_ports = ports.free_ports(3)
            addresses = [f"127.0.0.1:{port}" for port in peer_ports]
            nodes = [LogNode(folder / str(i), i, peer_ports) for i in range(3)]
            await nodes[0].start()
            for count in (-1, 2**62, 2**64 - 1):
                message = Prepare(
                    sender="x",
                    to=nodes[0].node.identity,
                    ballot=Ballot(count=count, node="x"),
                    seeds=addresses,
                )
                nodes[0].node.handle(message)
            nodes[0].node.handle(transport.Found(members=Members()))
            await nodes[1].start()
            await nodes[2].start()

            async def has_leader() -> bool:
                return any(n.machines[0].leading for n in nodes)

            await base.until(has_leader, "a leader", 10.0)
            for log_node in nodes:
                await log_node.stop()
            self.assertEqual([None] * 3, [n.failure for n in nodes])

        self.run_async(main())


def odd_replica_messages(log_node: LogNode) -> Iterator[Any]:
    """Yields messages to a replica whose values are out of range."""
    state = log_node.groups[0]._core.state  # type: ignore[union-attr]
    return _odd_replica_messages(
        "g0",
        log_node.node.identity,
        state.term,
        state.log.last,
        log_node.groups[0].log.snapshot_index,
        ["x", *state.log.voters],
    )


def _odd_replica_messages(
    group: str,
    to: str,
    term: int,
    last: int,
    snapshot: int,
    senders: list[str],
) -> Iterator[Any]:
    def entry(index: int, kind: int = 0, payload: bytes = b"") -> Entry:
        return Entry(index, term, EntryKind(kind), payload)

    appended = [
        [entry(last + 2)],
        [entry(last + 1), entry(last + 1)],
        [entry(last + 1, 2, b"x")],
        [entry(last + 1, 2, _DEEP)],
        [Entry(1, max(1, term - 1) + 1, EntryKind.DATA, b"other")],
        [Entry(last + 1, 2**64 - 1, EntryKind.DATA, b"")],
        [Entry(last + 1, -1, EntryKind.DATA, b"")],
    ]
    bodies: list[Any] = [
        Append(
            term=term + 1,
            prev_index=0 if entries[0].index == 1 else last,
            prev_term=0 if entries[0].index == 1 else term,
            commit=0,
            sent_ms=0,
            entries=entries,
        )
        for entries in appended
    ]
    for number in (-1, -(2**63), 2**63, 2**64 - 1):
        bodies += [
            PreVote(term=number, last_index=0, last_term=0),
            Vote(term=number, last_index=0, last_term=0),
            VoteReply(term=number, granted=True),
            Heartbeat(term=number, commit=0, sent_ms=0),
            HeartbeatReply(term=number, sent_ms=0),
            HeartbeatReply(term=term, sent_ms=number),
            AppendReply(term=term, ok=True, index=number, sent_ms=0),
            AppendReply(term=term, ok=False, index=number, sent_ms=0),
            Append(
                term=term, prev_index=number, prev_term=0, commit=0, sent_ms=0
            ),
            SnapshotOffer(
                term=term,
                index=number,
                last_term=0,
                members=Members(),
                sent_ms=0,
            ),
        ]
        yield transport.SnapshotPull(
            group=group, sender="x", to=to, index=snapshot, offset=number
        )
        yield transport.RecordsPull(
            group=group, sender="x", to=to, indexes=[number, last, number]
        )
    for body in bodies:
        for sender in senders:
            yield transport.Routed(group=group, sender=sender, to=to, body=body)
    yield transport.Heartbeats(
        sender="x", to=to, sent_ms=0, groups=[group] * 9, terms=[], commits=[1]
    )
    yield transport.HeartbeatReplies(
        sender="x", to=to, sent_ms=0, groups=[group], terms=[]
    )
    for address in ("", "127.0.0.1:\u00b2", "a:99999", "x" * 100_000):
        yield transport.NodeInfo(
            node="x", address=address, founded=False, known=[address] * 3
        )
        yield transport.Join(node="x", address=address)
        members = Members(members=[Member(node="x", address=address)])
        yield transport.Found(members=members)
    ballot = Ballot(count=2**64 - 1, node="x")
    yield Prepare(sender="x", to=to, ballot=ballot, seeds=[])


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

    def test_odd_server_costs_no_other(self) -> None:
        """Guards against a gateway that never hears of a change of servers.

        A keeper of an earlier release stored a server's odd numbers.
        """
        instance = Instance(
            id="a",
            service="s",
            address="127.0.0.1:1",
            domain="a",
            state=ServerState.READY,
            started_ms=1,
            sequence=2**64 - 1,
            slots=1,
        )
        update = protocol.ServersUpdate(
            index=1, instances=[instance], whole=True
        )
        decoder = borders.BatchDecoder(protocol.FromKeeper)
        batch = decoder.decode(codec.encode([update]), "peer")
        self.assertEqual([update], batch)

    def test_failing_listener_does_not_end_a_link(self) -> None:
        """Guards against a link that never reconnects after a failure."""

        async def main() -> None:
            server = peerserver.PeerServer(
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


class DeploymentTest(base.TestCase):
    """Odd messages to real keepers and stores."""

    def test_strangers_end_no_process(self) -> None:
        """Guards against a message that ends the keepers one by one."""

        async def main() -> None:
            async with Deployment(self.folder) as system:
                self.assertTrue(await system.retry_turn_until_served("first"))
                hosts = [
                    h for h in system.hosts.values() if h.role != "gateway"
                ]
                (port,) = {
                    line["address"].rpartition(":")[2]
                    for line in system.read_log("keeper-1")
                    if line["decision"] == "start"
                }
                for host in hosts:
                    identity = _identity(system, host.name)
                    for data in _odd_streams(identity):
                        await _send(host.ip, int(port), data)
                self.assertTrue(await system.retry_turn_until_served("second"))
                await asyncio.sleep(2.0)
                self.assertTrue(await system.retry_turn_until_served("third"))
                for host in system.hosts.values():
                    assert host.process is not None
                    self.assertIsNone(host.process.poll(), host.name)
                    log = (self.folder / f"{host.name}.log").read_text()
                    self.assertNotIn("Traceback", log, host.name)

        self.run_async(main())


def _identity(system: Deployment, name: str) -> str:
    starts = [x for x in system.read_log(name) if x["decision"] == "start"]
    identity: str = starts[0]["identity"]
    return identity


def _odd_streams(identity: str) -> Iterator[bytes]:
    """Yields streams to the process with an identity."""
    yield from _ENDING.values()
    gateway = frame(_OPENING) + frame(_HELLO)
    for data in _REFUSED.values():
        yield gateway + frame(data)
    asks = [
        _begin(1, attempt=""),
        protocol.AskRegister(
            ask=2,
            store=Store(
                node="x",
                name="x",
                address="127.0.0.1:\u00b2",
                domain="",
                region="",
            ),
        ),
        protocol.Put(ask=3, attempt="x" * 100_000, data=b""),
    ]
    yield gateway + frame(codec.encode(asks))
    replica = frame(_OPENING) + frame(_hello(role="replica", process="x"))
    for message in _odd_replica_messages("control", identity, 1, 5, 0, ["x"]):
        yield replica + frame(codec.encode([message]))


async def _send(host: str, port: int, data: bytes) -> None:
    """Sends bytes, and leaves the receiver a moment to handle them."""
    reader, writer = await asyncio.open_connection(host, port)
    with contextlib.suppress(OSError, TimeoutError):
        writer.write(data)
        async with asyncio.timeout(0.02):
            await reader.read()
    writer.close()
