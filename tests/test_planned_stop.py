"""A planned stop of a gateway whose callers and servers take their time."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import signal
import time
import urllib.parse
from typing import TYPE_CHECKING

from tests.fakes.rawserver import RawServer
from tests.test_deployment import DeploymentCase

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment
    from tests.fakes.rawserver import ReceivedRequest

_GRACE_S = 8.0
# The provider kills a process that is not gone by then.
_DEADLINE_MS = 30_000
_POLL_INTERVAL_S = 0.05


@dataclasses.dataclass
class _Outcome:
    """What a caller got.

    Attributes:
        data: all bytes of the connection.
        is_reset: whether it ended by a reset.
        sent_whole: whether all bytes of the request were sent.
    """

    data: bytes = b""
    is_reset: bool = False
    sent_whole: bool = False

    @property
    def status(self) -> int:
        """The answer's status; 0 if there is none."""
        return int(self.data[9:12]) if self.data else 0

    @property
    def is_whole(self) -> bool:
        """Whether the answer has its end."""
        head, _, body = self.data.partition(b"\r\n\r\n")
        if b"chunked" in head:
            return body.endswith(b"0\r\n\r\n")
        for line in head.split(b"\r\n"):
            name, _, value = line.partition(b": ")
            if name.lower() == b"content-length":
                return len(body) == int(value)
        return False


class _PatientServer:
    """Answers after the time in the request's body, in ms.

    Streams send an event each 0.2 s for that time.
    """

    def __init__(self) -> None:
        self.raw = RawServer(self._answer)
        self.attempts: list[str] = []

    async def _answer(
        self, seen: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        name = seen.headers["x-attempt-id"]
        self.attempts.append(name)
        wait_s = int(seen.body.strip(b"x") or b"0") / 1_000
        head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {name}\r\n"
        head += "X-Response-Seal: s\r\n"
        if not seen.target.startswith("/t/"):
            await asyncio.sleep(wait_s)
            writer.write(f"{head}Content-Length: 2\r\n\r\nok".encode())
            return
        writer.write(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
        for number in range(1, int(wait_s / 0.2) + 2):
            part = b"id: %d\ndata: e\n\n" % number
            writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            await asyncio.sleep(0.2)
        writer.write(b"0\r\n\r\n")


async def _ask(
    system: Deployment,
    path: str,
    name: str,
    wait_ms: int,
    *,
    deadline_ms: int = _DEADLINE_MS,
    byte_gap_s: float = 0.0,
    idle_s: float = 0.0,
) -> _Outcome:
    """Sends a request on a connection that was idle for a time before.

    Args:
        system: the deployment.
        path: the request's path.
        name: the request's id.
        wait_ms: time that the server takes for it.
        deadline_ms: time that the caller waits.
        byte_gap_s: time between two bytes of the body.
        idle_s: time between opening the connection and the request.
    """
    outcome = _Outcome()
    url = urllib.parse.urlsplit(system.url("gateway-1", path))
    host, port = url.netloc.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        outcome.is_reset = True
        return outcome
    await asyncio.sleep(idle_s)
    body = b"x" * 40 + b"%d" % wait_ms
    head = (
        f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {name}\r\n"
        f"X-Program-Id: p\r\nX-Token-Usage: 10,6\r\nX-Token-Budget: 100000\r\n"
        f"X-Deadline-Ms: {deadline_ms}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    reading = asyncio.ensure_future(_read_all(reader, outcome))
    with contextlib.suppress(OSError):
        writer.write(head.encode())
        if byte_gap_s:
            for number in range(len(body)):
                writer.write(body[number : number + 1])
                await writer.drain()
                await asyncio.wait({reading}, timeout=byte_gap_s)
                if reading.done():
                    break
            else:
                outcome.sent_whole = True
        else:
            writer.write(body)
            await writer.drain()
            outcome.sent_whole = True
    await reading
    writer.close()
    return outcome


async def _read_all(reader: asyncio.StreamReader, outcome: _Outcome) -> None:
    try:
        while data := await reader.read(65_536):
            outcome.data += data
            if outcome.is_whole:
                return
    except OSError:
        outcome.is_reset = True


class PlannedStopTest(DeploymentCase):
    """Gateways that get SIGTERM while requests are at each of their stages."""

    async def _use_patient_server(self, system: Deployment) -> _PatientServer:
        server = _PatientServer()
        await server.raw.start()
        system.server_address = server.raw.address
        self.assertTrue(await system.send_heartbeat())
        manifest = {"timeout_ms": _DEADLINE_MS, "max_attempts": 2}
        await system.wait_until(lambda: system.send_manifest(**manifest))

        async def is_used() -> bool:
            got = await _ask(system, "/u/x", "warm-up", 0)
            return got.status == 200 and "warm-up" in server.attempts

        await system.wait_until(is_used)
        return server

    async def _wait_for_end(self, system: Deployment) -> int:
        """Returns the gateway's exit code, once it has ended in its grace."""
        process = system.hosts["gateway-1"].process
        assert process is not None
        end_s = time.monotonic() + _GRACE_S
        while (code := process.poll()) is None:
            self.assertLess(time.monotonic(), end_s, "the grace is over")
            await asyncio.sleep(_POLL_INTERVAL_S)
        return code

    def test_what_outlives_the_grace_gets_an_answer(self) -> None:
        """Guards against a stop that cuts calls without an answer.

        A call that may not be repeated runs on a server that takes longer, a
        caller sends its body longer than the grace lasts, and a stream goes on.
        """

        async def work(system: Deployment) -> None:
            server = await self._use_patient_server(system)
            unsafe = asyncio.ensure_future(_ask(system, "/u/x", "u", 20_000))
            slow = asyncio.ensure_future(
                _ask(system, "/u/x", "slow", 0, byte_gap_s=0.4)
            )
            stream = asyncio.ensure_future(_ask(system, "/t/x", "t", 20_000))
            await asyncio.sleep(1.0)
            system.kill("gateway-1", signal.SIGTERM)
            for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGHUP):
                await asyncio.sleep(0.2)
                system.kill("gateway-1", number)
            self.assertEqual(0, await self._wait_for_end(system))
            got = await unsafe
            # The server may run it: the status must not deny that.
            self.assertIn(got.status, (502, 504))
            self.assertTrue(got.is_whole)
            self.assertIn(b"Connection: close", got.data)
            got = await slow
            self.assertEqual(503, got.status)
            self.assertTrue(got.is_whole)
            self.assertNotIn("slow", server.attempts)
            got = await stream
            self.assertEqual(200, got.status)
            self.assertFalse(got.is_whole)
            stopped = [
                line
                for line in system.read_log("gateway-1")
                if line["decision"] == "stopped"
            ]
            self.assertEqual([0], [line["cut"] for line in stopped])
            await server.raw.stop()

        self.run_test(work)

    def test_calls_at_each_moment_of_the_grace(self) -> None:
        """Guards against passing on what the end of the stop cuts.

        Calls that may not be repeated and streams arrive on new and on open
        connections until the process is gone, while the leader is killed.
        """

        async def work(system: Deployment) -> None:
            server = await self._use_patient_server(system)
            process = system.hosts["gateway-1"].process
            assert process is not None
            outcomes: dict[str, _Outcome] = {}

            async def send(
                path: str, name: str, wait_ms: int, idle_s: float = 0.0
            ) -> None:
                outcomes[name] = await _ask(
                    system,
                    path,
                    name,
                    wait_ms,
                    deadline_ms=6_000,
                    idle_s=idle_s,
                )

            sending = [
                asyncio.ensure_future(send("/u/x", f"o{n}", 500, 0.1 * n))
                for n in range(80)
            ]
            await asyncio.sleep(0.3)
            system.kill("gateway-1", signal.SIGTERM)
            number = 0
            end_s = time.monotonic() + _GRACE_S
            while process.poll() is None and time.monotonic() < end_s:
                number += 1
                path = "/t/x" if number % 3 == 0 else "/u/x"
                wait_ms = (0, 400, 1_200, 2_800)[number % 4]
                sending.append(
                    asyncio.ensure_future(send(path, f"n{number}", wait_ms))
                )
                if number == 40:
                    system.kill(system.find_leader())
                await asyncio.sleep(_POLL_INTERVAL_S)
            await asyncio.gather(*sending)
            self.assertEqual(0, await self._wait_for_end(system))
            cut = [
                name
                for name, got in outcomes.items()
                if name in server.attempts and not got.is_whole
            ]
            unanswered = [
                name
                for name, got in outcomes.items()
                if name not in server.attempts and got.data and not got.is_whole
            ]
            self.assertEqual(([], []), (cut, unanswered))
            statuses = [got.status for got in outcomes.values()]
            self.assertIn(200, statuses)
            self.assertIn(503, statuses)
            await server.raw.stop()

        self.run_test(work)

    def test_stop_beside_frozen_keepers(self) -> None:
        """Guards against a stop that waits for other processes.

        A turn can't be settled, another one not begun, and the links to the
        keepers are silent.
        """

        async def work(system: Deployment) -> None:
            server = await self._use_patient_server(system)
            stream = asyncio.ensure_future(_ask(system, "/t/x", "t", 2_000))
            await asyncio.sleep(0.5)
            for host in system.hosts.values():
                if host.role != "gateway":
                    system.kill(host.name, signal.SIGSTOP)
            waiting = asyncio.ensure_future(_ask(system, "/t/x", "w", 100))
            unsafe = asyncio.ensure_future(_ask(system, "/u/x", "u", 1_000))
            await asyncio.sleep(0.3)
            system.kill("gateway-1", signal.SIGTERM)
            self.assertEqual(0, await self._wait_for_end(system))
            got = await unsafe
            self.assertEqual((200, True), (got.status, got.is_whole))
            got = await waiting
            self.assertEqual((503, True), (got.status, got.is_whole))
            self.assertNotIn("w", server.attempts)
            # A turn that could not be stored must not look complete.
            self.assertFalse((await stream).is_whole)
            await server.raw.stop()

        self.run_test(work)
