"""A planned stop of a keeper while servers and operators call it."""

from __future__ import annotations

import asyncio
import json
import signal
import time
import urllib.parse
from typing import TYPE_CHECKING

from tests.test_deployment import DeploymentCase

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment

_GRACE_S = 8.0


async def _put(system: Deployment, keeper: str, *parts: bytes) -> bytes:
    """Sends a request's parts, half a second apart; returns the answer."""
    url = urllib.parse.urlsplit(system.control_url(keeper, "/"))
    host, port = url.netloc.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    for part in parts:
        writer.write(part)
        await asyncio.sleep(0.5)
    try:
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


class KeeperStopTest(DeploymentCase):
    """Keepers that get SIGTERM while calls are in progress."""

    def test_calls_in_progress_get_an_answer(self) -> None:
        """Guards against calls by servers and operators that a stop cuts.

        One waits for a commit that the other keepers can't make, of another
        one only a part has come.
        """

        async def work(system: Deployment) -> None:
            leader = system.find_leader()
            keepers = [
                host.name
                for host in system.hosts.values()
                if host.role == "keeper" and host.name != leader
            ]
            body = json.dumps(
                {
                    "service": "models",
                    "address": system.model_server.address,
                    "zone": "a",
                    "slots": 8,
                    "state": "ready",
                    "seq": 1_000,
                    "born": 2,
                }
            ).encode()
            head = b"PUT /-/instances/m9 HTTP/1.1\r\nHost: h\r\n"
            head += b"Content-Length: %d\r\n\r\n" % len(body)
            for name in (leader, keepers[0]):
                system.kill(name, signal.SIGSTOP)
            whole = asyncio.ensure_future(_put(system, keepers[1], head + body))
            part = asyncio.ensure_future(
                _put(system, keepers[1], head, body[:10])
            )
            await asyncio.sleep(0.2)
            process = system.hosts[keepers[1]].process
            assert process is not None
            system.kill(keepers[1], signal.SIGTERM)
            end_s = time.monotonic() + _GRACE_S
            while process.poll() is None and time.monotonic() < end_s:
                await asyncio.sleep(0.05)
            self.assertEqual(0, process.poll())
            answers = await asyncio.gather(whole, part)
            statuses = [answer[9:12] for answer in answers]
            self.assertEqual([b"503", b"503"], statuses)

        self.run_test(work)
