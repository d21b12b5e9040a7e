"""Servers that break off their answers, or answer what is no answer."""

from __future__ import annotations

import asyncio
import enum
import socket
import struct
from typing import TYPE_CHECKING

import aiohttp

from catkinpin.adapters.entry import (
    backends,
    modelcalls,
    outgoing,
    servicecalls,
)
from catkinpin.core.control.routes import RouteKind
from catkinpin.core.messages import CallKey, Granted, ServerRef
from catkinpin.core.requests.pauses import GapEstimator
from catkinpin.verdicts import Verdict
from tests import base
from tests.fakes.deployment import Deployment
from tests.fakes.gatewayrig import Rig
from tests.fakes.instances import instance
from tests.test_deployment import DeploymentCase

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from tests.fakes.gatewayrig import CallerResponse

# Requests have 1.5 s. A request ends early if much of that is left.
_EARLY_S = 0.75
# Answers that are tried beside each other.
_BATCH = 8
_LONG_BODY = b"u" * 3_000_000
# A linger time of zero has the kernel reset a connection that is closed.
_NO_LINGER = struct.pack("ii", 1, 0)
_GATEWAY_FIELDS = b"Request-Id: {id}\r\nSealed: yes\r\n"
_PLATFORM_FIELDS = b"X-Attempt-Id: {id}\r\nX-Response-Seal: s\r\n"
_NOT_RUN_STATUS = 503
_BACKEND_FIELDS = b"Catkinpin-Attempt: a\r\nCatkinpin-Attempt-State: done\r\n"
_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
_FRAMINGS = {
    "length": b"Content-Length: 30\r\n\r\n" + _EVENTS,
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n1e\r\n"
    + _EVENTS
    + b"\r\n0\r\n\r\n",
    "close": b"\r\n" + _EVENTS,
}


class _End(enum.Enum):
    """What a server does with a connection after its answer."""

    RESET = "reset"
    CLOSE = "closed"
    WAIT = "left open"


class _BreakingServer:
    """Answers the head of each request with some bytes, then breaks off.

    Args:
        answer: bytes to send, with "{id}" for the request's id.
        end: what it does with the connection afterwards.
        reads_body: whether it reads what follows the head of a request.

    Attributes:
        answer: as above; tests may change it and `end` between requests.
        end: as above.
        address: IP and port, empty before the start.
        requests: number of requests whose head was received.
    """

    def __init__(
        self, answer: bytes, end: _End, *, reads_body: bool = True
    ) -> None:
        self.answer = answer
        self.end = end
        self._reads_body = reads_body
        self._server: asyncio.Server | None = None
        self.address = ""
        self.requests = 0

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stops listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        self.requests += 1
        fields = dict(
            line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2]
        )
        if self._reads_body:
            length = int(fields.get(b"content-length", b"0"))
            await reader.readexactly(length)
        name = fields.get(b"request-id") or fields.get(b"x-attempt-id", b"")
        writer.write(self.answer.replace(b"{id}", name))
        # What was sent before a reset must have been read by then.
        await asyncio.sleep(0.05)
        if self.end is _End.WAIT:
            await reader.read()
        if self.end is _End.RESET:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
            writer.transport.abort()
        else:
            writer.close()


def _broken_answers(fields: bytes) -> Iterator[tuple[str, bytes, _End]]:
    """Yields answers with success that are not whole, and what follows.

    Yields:
        A name, the bytes, and what the server does with the connection.
    """
    head = b"HTTP/1.1 200 OK\r\n" + fields
    for framing, rest in _FRAMINGS.items():
        whole = head + rest
        size = len(whole) - len(_EVENTS) + 10
        for end in (_End.RESET, _End.CLOSE):
            if framing != "close" or end is _End.RESET:
                yield f"body with {framing}, {end}", whole[:size], end
        # The chunks lack their last one, or a part of it.
        if framing == "chunks":
            for cut in range(1, 6):
                yield f"chunks without {cut} bytes", whole[:-cut], _End.CLOSE


def _cut_heads(fields: bytes) -> Iterator[tuple[str, bytes, _End]]:
    """Yields heads that stop after each of their bytes."""
    for framing, rest in _FRAMINGS.items():
        head = b"HTTP/1.1 200 OK\r\n" + fields + rest
        size = head.index(b"\r\n\r\n") + 4
        for count in range(size):
            end = _End.RESET if count % 2 else _End.CLOSE
            yield f"{framing}, {count} bytes, {end}", head[:count], end


def _batches(
    answers: Iterable[tuple[str, bytes, _End]],
) -> Iterator[list[tuple[str, bytes, _End]]]:
    """Yields the answers that are tried beside each other."""
    left = list(answers)
    while left:
        yield left[:_BATCH]
        del left[:_BATCH]


async def _ask(
    kind: RouteKind,
    answer: bytes,
    end: _End,
    *,
    body: bytes = b"in",
    reads_body: bool = True,
) -> CallerResponse:
    """Returns what a caller of a gateway with one server gets."""
    rig = Rig(kind, has_engine=False, max_attempts=1)
    server = _BreakingServer(answer, end, reads_body=reads_body)
    await server.start()
    await rig.start()
    rig.view.fleet.apply(
        instance("s0", service="s", address=server.address, slots=4)
    )
    got = await rig.ask(body=body)
    await rig.stop()
    await server.stop()
    return got


class BrokenAnswerTest(base.TestCase):
    """Requests on raw routes."""

    def _check_failures(
        self,
        answers: Iterator[tuple[str, bytes, _End]],
        *,
        body: bytes = b"in",
        reads_body: bool = True,
    ) -> None:
        """Checks that callers get no whole success, and get it early."""

        async def check(
            kind: RouteKind, name: str, answer: bytes, end: _End
        ) -> None:
            got = await _ask(
                kind, answer, end, body=body, reads_body=reads_body
            )
            what = f"{kind}: {name}: {got}"
            self.assertFalse(got.status < 500 and got.is_complete, what)
            self.assertLess(got.took_s, _EARLY_S, what)

        async def main() -> None:
            for batch in _batches(answers):
                await asyncio.gather(
                    *(
                        check(kind, *answer)
                        for kind in RouteKind
                        for answer in batch
                    )
                )

        self.run_async(main())

    def test_body_that_breaks_off(self) -> None:
        """Guards against a part of an answer that is framed as whole."""
        self._check_failures(_broken_answers(_GATEWAY_FIELDS))

    def test_answer_reset_while_its_request_is_written(self) -> None:
        """Guards against a part that counts as whole, as the upload failed."""
        self._check_failures(
            (
                answer
                for answer in _broken_answers(_GATEWAY_FIELDS)
                if answer[2] is _End.RESET
            ),
            body=_LONG_BODY,
            reads_body=False,
        )

    def test_head_that_breaks_off(self) -> None:
        """Guards against a success made of a part of its head."""
        self._check_failures(_cut_heads(_GATEWAY_FIELDS))

    def test_status_that_is_none(self) -> None:
        """Guards against waiting for an answer after a status below 100."""
        for status in (b"000", b"001", b"099"):
            head = b"HTTP/1.1 " + status + b" Odd\r\n" + _GATEWAY_FIELDS
            self._check_failures(
                (f"{status.decode()} {name}", head + rest, _End.WAIT)
                for name, rest in _FRAMINGS.items()
            )

    def test_status_beyond_the_known_classes_is_passed_on(self) -> None:
        """Guards against a changed answer of a server with its own statuses."""

        async def main() -> None:
            answer = (
                b"HTTP/1.1 999 Own\r\n" + _GATEWAY_FIELDS + _FRAMINGS["length"]
            )
            got = await _ask(RouteKind.IDEMPOTENT, answer, _End.WAIT)
            self.assertEqual((999, _EVENTS), (got.status, got.body))

        self.run_async(main())


class GatewayProcessTest(DeploymentCase):
    """Requests through gateways that run as processes."""

    def test_broken_answers_are_no_successes(self) -> None:
        """Guards against parts of answers that leave a process as whole."""
        answers = [
            *_broken_answers(_PLATFORM_FIELDS),
            *list(_cut_heads(_PLATFORM_FIELDS))[::13],
        ]
        for status in (b"000", b"099"):
            head = b"HTTP/1.1 " + status + b" Odd\r\n" + _PLATFORM_FIELDS
            answers.append((str(status), head + b"\r\n", _End.WAIT))

        async def main() -> None:
            server = _BreakingServer(b"", _End.CLOSE)
            await server.start()
            system = Deployment(self.folder, gateways=1)
            system.server_address = server.address
            async with system:
                await system.wait_until(lambda: _is_forwarding(system))
                for number, (name, answer, end) in enumerate(answers):
                    server.answer, server.end = answer, end
                    for path in ("/t/x", "/u/x"):
                        attempt = f"a{number}{path[1]}"
                        got, took_s = await _call(system, path, attempt)
                        what = f"{path} {name}: {got} after {took_s}"
                        self.assertNotEqual(200, got, what)
                        self.assertLess(took_s, _EARLY_S, what)
                self.assertEqual(1 + 2 * len(answers), server.requests)
            await server.stop()

        self.run_async(main())


async def _is_forwarding(system: Deployment) -> bool:
    """Returns whether a gateway sends requests to the server."""
    return (await _call(system, "/u/x", "first"))[0] != _NOT_RUN_STATUS


async def _call(
    system: Deployment, path: str, attempt: str
) -> tuple[int, float]:
    """Returns the status, 0 for a broken answer, and the time in seconds."""
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    try:
        status = await system.call(
            path, attempt, "gateway-1", b"in", X_Program_Id=attempt
        )
    except aiohttp.ClientError:
        status = 0
    return status, loop.time() - began_s


class BrokenBackendTest(base.TestCase):
    """Requests and probes of the OpenAI interface."""

    def _check_failures(
        self, answers: Iterator[tuple[str, bytes, _End]], body: bytes = b"{}"
    ) -> None:
        """Checks that no call takes an answer for a whole one."""

        async def check(name: str, answer: bytes, end: _End) -> None:
            server = _BreakingServer(
                answer, end, reads_body=len(body) < len(_LONG_BODY)
            )
            await server.start()
            sessions = backends.BackendSessions(connect_timeout_s=1.0)
            address = f"http://{server.address}"
            for call in _calls(sessions, address, body):
                what = f"{type(call).__name__}: {name}"
                async with asyncio.timeout(2 * _EARLY_S):
                    finish = await call.run()
                self.assertIsNot(Verdict.RAN, finish.verdict, what)
            status = await sessions.query_attempt(_granted(address), 1.0)
            self.assertIsNone(status.answer, name)
            await sessions.close()
            await server.stop()

        async def main() -> None:
            for batch in _batches(answers):
                await asyncio.gather(*(check(*answer) for answer in batch))

        self.run_async(main())

    def test_body_that_breaks_off(self) -> None:
        """Guards against a part of an answer that is passed on as whole."""
        self._check_failures(_broken_answers(_BACKEND_FIELDS))

    def test_body_that_ends_with_its_connection_is_whole(self) -> None:
        """Guards against taking an orderly end for a break."""

        async def main() -> None:
            head = b"HTTP/1.1 200 OK\r\n" + _BACKEND_FIELDS
            server = _BreakingServer(head + _FRAMINGS["close"], _End.CLOSE)
            await server.start()
            sessions = backends.BackendSessions(connect_timeout_s=1.0)
            address = f"http://{server.address}"
            _, call = _calls(sessions, address, b"{}")
            finish = await call.run()
            self.assertIs(Verdict.RAN, finish.verdict)
            status = await sessions.query_attempt(_granted(address), 1.0)
            assert status.answer is not None
            self.assertEqual(_EVENTS, status.answer.body)
            await sessions.close()
            await server.stop()

        self.run_async(main())

    def test_answer_reset_while_its_request_is_written(self) -> None:
        """Guards against a part that counts as whole, as the upload failed."""
        self._check_failures(
            (
                answer
                for answer in _broken_answers(_BACKEND_FIELDS)
                if answer[2] is _End.RESET
            ),
            body=b'{"text":"' + _LONG_BODY + b'"}',
        )

    def test_head_that_breaks_off(self) -> None:
        """Guards against a success made of a part of its head."""
        self._check_failures(_cut_heads(_BACKEND_FIELDS))

    def test_status_that_is_none(self) -> None:
        """Guards against a status below 100 that callers get as an answer."""
        for status in (b"000", b"001", b"099"):
            head = b"HTTP/1.1 " + status + b" Odd\r\n" + _BACKEND_FIELDS
            self._check_failures(
                (f"{status.decode()} {name}", head + rest, _End.CLOSE)
                for name, rest in _FRAMINGS.items()
            )


def _granted(address: str) -> Granted:
    server = ServerRef(server="s", incarnation="i", address=address)
    key = CallKey(account="a", program="p", request_id="r")
    return Granted(ask=1, key=key, attempt="a", server=server)


def _calls(
    sessions: backends.BackendSessions, address: str, body: bytes
) -> tuple[modelcalls.ModelCall, servicecalls.ServiceCall]:
    """Returns a call to a model and one to a service at an address."""
    req = outgoing.BackendRequest(
        kind="model",
        method="POST",
        path="/v1/work",
        headers=[],
        body=body,
        deadline_ms=10_000,
        traceparent="",
    )
    grant = _granted(address)
    gaps = GapEstimator(5_000, 5_000)
    model_call = modelcalls.ModelCall(
        sessions, grant, req, {}, gaps, 5.0, lambda _: None
    )
    service_call = servicecalls.ServiceCall(sessions, grant, req, {}, 5.0)
    return model_call, service_call
