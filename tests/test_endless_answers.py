"""Servers that send bytes without end where an answer is due."""

from __future__ import annotations

import asyncio
import resource
from typing import TYPE_CHECKING

import aiohttp

from catkinpin.adapters.entry import (
    backends,
    modelcalls,
    outgoing,
    servicecalls,
)
from catkinpin.adapters.http import pool
from catkinpin.core.control.routes import RouteKind
from catkinpin.core.messages import CallKey, Granted, ServerRef
from catkinpin.core.requests.pauses import GapEstimator
from catkinpin.verdicts import Reason, Verdict
from tests import base
from tests.fakes.gatewayrig import Rig, encode_stream, stream_events
from tests.fakes.rawserver import RawServer, sealed_answer

if TYPE_CHECKING:
    from tests.fakes.rawserver import ReceivedRequest

# Requests have 1.5 s. A request ends early if most of that is left.
_EARLY_S = 0.75
# What a server gets rid of: what the gateway reads, and socket buffers.
_MAX_SENT_BYTES = 24 * 1024 * 1024
_MAX_GROWTH_KB = 64 * 1024
_UNIT_BYTES = 16_384
_STREAM_LIMIT_S = 30.0
_HEAD = b"HTTP/1.1 200 OK\r\n"


class _EndlessServer:
    """Answers each request with a beginning and then one unit for ever.

    Attributes:
        sent_bytes: bytes sent to all callers.
    """

    def __init__(self, begin: bytes, unit: bytes) -> None:
        self._begin = begin
        self._unit = unit * (_UNIT_BYTES // len(unit))
        self.sent_bytes = 0

    async def answer(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        name = seen.headers.get("request-id", "").encode()
        writer.write(self._begin.replace(b"{id}", name))
        while not writer.transport.is_closing():
            writer.write(self._unit)
            await writer.drain()
            self.sent_bytes += len(self._unit)


def _granted(address: str) -> Granted:
    server = ServerRef(server="s", incarnation="i", address=address)
    key = CallKey(account="a", program="p", request_id="r")
    return Granted(ask=1, key=key, attempt="a", server=server)


def _peak_kb() -> int:
    """Returns the most memory that this process has had, in KB."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss


class EndlessAnswerTest(base.TestCase):
    """Requests on raw routes."""

    def _check(self, kind: RouteKind, begin: bytes, unit: bytes) -> None:
        async def scenario() -> None:
            rig = Rig(kind, has_engine=False, max_attempts=1)
            server = _EndlessServer(begin, unit)
            await rig.start(server.answer)
            before_kb = _peak_kb()
            got = await rig.ask()
            self.assertLess(got.took_s, _EARLY_S)
            self.assertNotEqual((200, True), (got.status, got.is_complete))
            self.assertIn(got.status, (0, 200, 502))
            self.assertLess(server.sent_bytes, _MAX_SENT_BYTES)
            self.assertLess(_peak_kb() - before_kb, _MAX_GROWTH_KB)
            self.assertEqual([], rig.turns.crashes)
            await rig.stop()

        self.run_async(scenario())

    def test_field_without_end(self) -> None:
        """Guards against a head whose field is read until memory is full."""
        self._check(RouteKind.IDEMPOTENT, _HEAD + b"X-Field: ", b"x")

    def test_head_without_end(self) -> None:
        """Guards against fields that are kept for ever."""
        self._check(RouteKind.IDEMPOTENT, _HEAD, b"X-Field: value\r\n")

    def test_interim_answers_without_end(self) -> None:
        """Guards against waiting while a server only says that it works."""
        unit = b"HTTP/1.1 102 Processing\r\n\r\n"
        self._check(RouteKind.NON_IDEMPOTENT, b"", unit)

    def test_answers_to_other_requests_without_end(self) -> None:
        """Guards against waiting behind late answers that never stop."""
        unit = b"HTTP/1.1 200 OK\r\nRequest-Id: o\r\nContent-Length: 1\r\n\r\nx"
        self._check(RouteKind.IDEMPOTENT, b"", unit)

    def test_chunk_extension_without_end(self) -> None:
        """Guards against framing that is read until the deadline."""
        begin = (
            _HEAD + b"Request-Id: {id}\r\nSealed: yes\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n4;x="
        )
        self._check(RouteKind.IDEMPOTENT, begin, b"x")

    def test_trailers_without_end(self) -> None:
        """Guards against fields after the body that are kept for ever."""
        begin = (
            _HEAD + b"Request-Id: {id}\r\nSealed: yes\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"
        )
        self._check(RouteKind.IDEMPOTENT, begin, b"X-Field: value\r\n")

    def test_event_without_end(self) -> None:
        """Guards against an event that is kept until memory is full."""
        begin = (
            _HEAD + b"Request-Id: {id}\r\nSealed: yes\r\n"
            b"Content-Type: text/event-stream\r\n\r\nid: 1\ndata: "
        )
        self._check(RouteKind.STREAM, begin, b"x")

    def test_refusal_with_a_body_without_end_is_retried(self) -> None:
        """Guards against reading a refusal to its end before another try."""
        self._check_refusal(RouteKind.NON_IDEMPOTENT, b"x" * _UNIT_BYTES)
        self._check_refusal(RouteKind.STREAM, b"x" * _UNIT_BYTES)

    def test_refusal_whose_body_does_not_come_is_retried(self) -> None:
        """Guards against waiting for a refusal's body before another try."""
        self._check_refusal(RouteKind.NON_IDEMPOTENT, b"")
        self._check_refusal(RouteKind.STREAM, b"")

    def _check_refusal(self, kind: RouteKind, unit: bytes) -> None:
        """Has the first server refuse with a body that has no end."""

        async def scenario() -> None:
            rig = Rig(kind, has_engine=False, max_attempts=2)
            sent_bytes = 0

            async def answer(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                nonlocal sent_bytes
                if rig.count_server_requests() > 1:
                    await stream_events(seen, writer)
                    return
                refusal = sealed_answer(
                    seen,
                    b"",
                    "503 Service Unavailable",
                    Not_Run="1",
                    Content_Length="99000000000",
                )
                writer.write(refusal)
                while not writer.transport.is_closing():
                    writer.write(unit)
                    await writer.drain()
                    sent_bytes += len(unit)
                    await asyncio.sleep(0)

            await rig.start(answer, answer)
            got = await rig.ask()
            self.assertEqual((200, True), (got.status, got.is_complete))
            self.assertLess(got.took_s, _EARLY_S)
            self.assertLess(sent_bytes, _MAX_SENT_BYTES)
            await rig.stop()

        self.run_async(scenario())

    def test_body_without_end(self) -> None:
        """Guards against a body that is passed on until the deadline."""
        begin = _HEAD + b"Request-Id: {id}\r\nSealed: yes\r\n\r\n"

        async def scenario() -> None:
            rig = Rig(RouteKind.IDEMPOTENT, has_engine=False, max_attempts=1)
            server = _EndlessServer(begin, b"x")
            await rig.start(server.answer)
            before_kb = _peak_kb()
            async with asyncio.timeout(_EARLY_S):
                await self._read_until_closed(rig.address)
            self.assertLess(server.sent_bytes, _MAX_SENT_BYTES)
            self.assertLess(_peak_kb() - before_kb, _MAX_GROWTH_KB)
            await rig.stop()

        self.run_async(scenario())

    async def _read_until_closed(
        self, address: str, fields: bytes = b""
    ) -> None:
        """Sends a request and discards the answer, which must not be whole."""
        host, port = address.split(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"POST /x/y HTTP/1.1\r\nHost: h\r\nRequest-Id: q\r\n")
        writer.write(fields + b"Content-Length: 0\r\n\r\n")
        last = b""
        try:
            while data := await reader.read(65_536):
                last = data
        except ConnectionError:
            last = b""
        self.assertFalse(last.endswith(b"0\r\n\r\n"))
        writer.close()

    def test_probe_of_a_server_that_sends_without_end(self) -> None:
        """Guards against a probe that reads until memory is full."""

        async def scenario() -> None:
            sent = 0

            async def send(
                _: asyncio.StreamReader, writer: asyncio.StreamWriter
            ) -> None:
                nonlocal sent
                while not writer.transport.is_closing():
                    writer.write(b"x" * _UNIT_BYTES)
                    await writer.drain()
                    sent += _UNIT_BYTES

            server = await asyncio.start_server(send, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            async with asyncio.timeout(_EARLY_S):
                self.assertTrue(
                    await pool.Pool().is_accepting(f"127.0.0.1:{port}", 2, 0.3)
                )
            await asyncio.sleep(0.1)
            self.assertLess(sent, _MAX_SENT_BYTES)
            server.close()

        self.run_async(scenario())

    def test_events_without_end(self) -> None:
        """Guards against an output that is kept though nobody stores it."""
        self._check_events(keeps_history=False)

    def test_events_without_end_of_a_stored_turn(self) -> None:
        """Guards against an output that is stored until memory is full."""
        self._check_events(keeps_history=True)

    def _check_events(self, *, keeps_history: bool) -> None:
        begin = (
            _HEAD + b"Request-Id: {id}\r\nSealed: yes\r\n"
            b"Content-Type: text/event-stream\r\n\r\n"
        )
        event = b"id: 1\ndata: " + b"x" * 4_000 + b"\n\n"

        async def scenario() -> None:
            rig = Rig(
                RouteKind.STREAM,
                has_engine=False,
                max_attempts=1,
                keeps_history=keeps_history,
            )
            server = _EndlessServer(begin, event)
            await rig.start(server.answer)
            before_kb = _peak_kb()
            async with asyncio.timeout(4 * _EARLY_S):
                await self._read_until_closed(rig.address, b"Program: p\r\n")
            self.assertLess(_peak_kb() - before_kb, _MAX_GROWTH_KB)
            self.assertEqual([], rig.turns.finished)
            await rig.stop()

        self.run_async(scenario())

    def test_keep_alive_values_that_are_no_numbers(self) -> None:
        """Guards against a sound answer that is lost by its Keep-Alive."""

        async def scenario() -> None:
            values = ["\xb2", "9" * 5_000, "-1", "1e9", "", "5"]
            for value in values:
                rig = Rig(RouteKind.NON_IDEMPOTENT, has_engine=False)

                async def answer(
                    seen: ReceivedRequest,
                    writer: asyncio.StreamWriter,
                    value: str = value,
                ) -> None:
                    ok = sealed_answer(seen, b"ok", Keep_Alive="{value}")
                    field = f"timeout={value}".encode("latin-1")
                    writer.write(ok.replace(b"{value}", field))

                await rig.start(answer)
                for _ in range(2):
                    got = await rig.ask()
                    self.assertEqual((200, b"ok"), (got.status, got.body))
                await rig.stop()

        self.run_async(scenario())

    def test_long_answer_with_small_chunks_is_whole(self) -> None:
        """Guards against taking the framing of a sound answer for garbage."""

        async def scenario() -> None:
            rig = Rig(RouteKind.STREAM)
            events = [b"id: %d\ndata: x\n\n" % n for n in range(40_000)]

            async def answer(
                seen: ReceivedRequest, writer: asyncio.StreamWriter
            ) -> None:
                writer.write(encode_stream(seen, *events))

            await rig.start(answer)
            got = await rig.ask()
            self.assertTrue(got.is_complete)
            self.assertEqual(b"".join(events), got.body)
            await rig.stop()

        self.run_async(scenario())


class EndlessBackendTest(base.TestCase):
    """Requests and probes of the OpenAI interface."""

    def _check(self, begin: bytes, unit: bytes) -> None:
        """Reads an endless answer in each of the ways that a call does."""

        async def scenario() -> None:
            server = _EndlessServer(begin, unit)
            raw = RawServer(server.answer)
            await raw.start()
            grant = _granted(f"http://{raw.address}")
            sessions = backends.BackendSessions(connect_timeout_s=1.0)
            before_kb = _peak_kb()
            async with asyncio.timeout(2 * _EARLY_S):
                status = await sessions.query_attempt(grant, 5.0)
                self.assertEqual(
                    backends.AttemptState.UNKNOWN, status.attempt_state
                )
                await self._read_answer(sessions, grant)
            self.assertLess(server.sent_bytes, 3 * _MAX_SENT_BYTES)
            self.assertLess(_peak_kb() - before_kb, _MAX_GROWTH_KB)
            await sessions.close()
            await raw.stop()

        self.run_async(scenario())

    async def _read_answer(
        self, sessions: backends.BackendSessions, grant: Granted
    ) -> None:
        try:
            async with sessions.unpooled.post(
                f"{grant.server.address}/v1/work", data=b"in"
            ) as resp:
                await backends.read_answer(resp)
        except backends.CONNECTION_ERRORS as exc:
            self.assertNotIsInstance(exc, aiohttp.ClientConnectorError)
            return
        self.fail("an endless answer was read")

    def test_field_without_end(self) -> None:
        """Guards against a head whose field is read until memory is full."""
        self._check(_HEAD + b"X-Field: ", b"x")

    def test_head_without_end(self) -> None:
        """Guards against fields that are kept for ever."""
        self._check(_HEAD, b"X-Field: value\r\n")

    def test_body_without_end(self) -> None:
        """Guards against a body that is kept until memory is full."""
        begin = (
            _HEAD + b"Catkinpin-Attempt: a\r\n"
            b"Catkinpin-Attempt-State: done\r\n\r\n"
        )
        self._check(begin, b"x")

    def test_refusal_with_a_body_without_end(self) -> None:
        """Guards against a refusal that counts as a request that ran."""
        self._check_refusals(b"Content-Length: 99000000000\r\n\r\n", b"x" * 999)

    def test_refusal_whose_body_does_not_come(self) -> None:
        """Guards against waiting for a refusal's body."""
        self._check_refusals(b"Content-Length: 99000000000\r\n\r\n", b"")

    def _check_refusals(self, fields: bytes, unit: bytes) -> None:
        begin = b"HTTP/1.1 503 Full\r\nCatkinpin-Verdict: not-run\r\n" + fields

        async def refuse(
            _: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(begin)
            while not writer.transport.is_closing():
                writer.write(unit)
                await writer.drain()
                await asyncio.sleep(0)

        async def scenario() -> None:
            raw = RawServer(refuse)
            await raw.start()
            sessions = backends.BackendSessions(connect_timeout_s=1.0)
            for call in _calls(sessions, f"http://{raw.address}"):
                async with asyncio.timeout(2 * _EARLY_S):
                    finish = await call.run()
                self.assertEqual(Verdict.NOT_RUN, finish.verdict)
                self.assertEqual(Reason.SERVER_REFUSED, finish.reason)
            await sessions.close()
            await raw.stop()

        self.run_async(scenario())

    def test_stream_without_end(self) -> None:
        """Guards against an output that is kept until memory is full."""
        chunk = b'{"choices":[{"delta":{"content":"' + b"x" * 9_000 + b'"}}]}'
        server = _EndlessServer(
            _HEAD + b"Content-Type: text/event-stream\r\n\r\n",
            b"data: " + chunk + b"\n\n",
        )

        async def scenario() -> None:
            raw = RawServer(server.answer)
            await raw.start()
            sessions = backends.BackendSessions(connect_timeout_s=1.0)
            model_call, _ = _calls(sessions, f"http://{raw.address}")
            before_kb = _peak_kb()
            finish = await model_call.run()
            self.assertEqual(Verdict.MAY_HAVE_RUN, finish.verdict)
            self.assertEqual(Reason.SERVER_FAILED, finish.reason)
            self.assertLess(_peak_kb() - before_kb, 4 * _MAX_GROWTH_KB)
            await sessions.close()
            await raw.stop()

        async def bounded() -> None:
            await asyncio.wait_for(scenario(), _STREAM_LIMIT_S)

        self.run_async(bounded())


def _calls(
    sessions: backends.BackendSessions, address: str
) -> tuple[modelcalls.ModelCall, servicecalls.ServiceCall]:
    """Returns a call to a model and one to a service at an address."""
    grant = _granted(address)
    req = outgoing.BackendRequest(
        kind="model",
        method="POST",
        path="/v1/work",
        headers=[],
        body=b'{"messages":[]}',
        deadline_ms=10_000,
        traceparent="",
    )
    gaps = GapEstimator(5_000, 5_000)
    model_call = modelcalls.ModelCall(
        sessions, grant, req, {}, gaps, 5.0, lambda _: None
    )
    service_call = servicecalls.ServiceCall(sessions, grant, req, {}, 5.0)
    return model_call, service_call
