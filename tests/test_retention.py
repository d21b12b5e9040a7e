"""Turns whose ancestors would expire while their programs still need them."""

from __future__ import annotations

import asyncio
import urllib.parse
from typing import TYPE_CHECKING

from tests.test_deployment import DeploymentCase

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment

_RETAIN_S = 2.0
_TIMEOUT_S = 2.5
# Hosts drop a turn this long after its end: two timeouts of the route later.
_EXPIRY_S = _RETAIN_S + 2 * _TIMEOUT_S
# Pause between the two events of a turn that ends after the retention.
_LONG_GAP_S = 1.0
# Time from the end of an answer until its caller reads it.
_READ_LATE_S = 1.5
_HISTORY = b"<a>a-1\na-2\n<b>b-1\nb-2\n"


async def _set_retention(system: Deployment) -> None:
    """Sets the retention of turns, and waits until a gateway applies it."""
    assert await system.send_manifest(
        retain_s=_RETAIN_S, timeout_ms=int(_TIMEOUT_S * 1_000)
    )

    async def is_applied() -> bool:
        return any(
            line["decision"] == "routes" and line["version"] == system.version
            for line in system.read_log("gateway-1")
        )

    await system.wait_until(is_applied)


async def _begin_late_turn(system: Deployment) -> asyncio.Task[int]:
    """Begins turn "c" shortly before the turns that it continues expire."""
    await _set_retention(system)
    assert await system.send_turn("a") == 200
    assert await system.send_turn("b", "a") == 200
    await asyncio.sleep(_EXPIRY_S - _LONG_GAP_S)
    system.chunk_gap_s = _LONG_GAP_S
    turn = asyncio.ensure_future(system.send_turn("c", "b"))
    await asyncio.sleep(_LONG_GAP_S * 0.4)
    return turn


async def _send_turn_and_read_late(system: Deployment, name: str) -> bytes:
    """Sends a turn, and begins to read its answer when it has long ended."""
    url = urllib.parse.urlsplit(system.url("gateway-1", "/t/x"))
    reader, writer = await asyncio.open_connection(url.hostname, url.port)
    head = (
        f"POST {url.path} HTTP/1.1\r\nHost: h.example\r\n"
        f"X-Attempt-Id: {name}\r\nX-Program-Id: p\r\n"
        "X-Token-Usage: 10,6\r\nX-Token-Budget: 1000\r\n"
        f"X-Deadline-Ms: 3000\r\nContent-Length: {len(name) + 2}\r\n\r\n"
        f"<{name}>"
    )
    writer.write(head.encode())
    await asyncio.sleep(_READ_LATE_S)
    answer = await reader.readuntil(b"0\r\n\r\n")
    writer.close()
    return answer


class RetentionTest(DeploymentCase):
    """A program that returns at the end of its retention."""

    def test_turn_that_ends_after_the_retention_is_continued(self) -> None:
        """Guards against 404 for a turn that was just answered whole."""

        async def work(system: Deployment) -> None:
            turn = await _begin_late_turn(system)
            self.assertEqual(200, await turn)
            self.assertEqual(200, await system.send_turn("d", "c"))
            body = system.model_server.requests[-1].body
            self.assertEqual(_HISTORY + b"<c>c-1\nc-2\n<d>", body)

        self.run_test(work)

    def test_retention_counts_from_when_the_caller_has_the_answer(self) -> None:
        """Guards against 404 for a turn whose answer was read slowly."""

        async def work(system: Deployment) -> None:
            await _set_retention(system)
            answer = await _send_turn_and_read_late(system, "a")
            self.assertIn(b"a-2", answer)
            await asyncio.sleep(_RETAIN_S - _READ_LATE_S / 2)
            self.assertEqual(200, await system.send_turn("b", "a"))

        self.run_test(work)

    def test_ancestors_outlast_a_leader_and_a_restart(self) -> None:
        """Guards against a new leader or a restart that drops ancestors.

        The leader is killed while the turn is open, and all hosts once it has
        ended.
        """

        async def work(system: Deployment) -> None:
            turn = await _begin_late_turn(system)
            system.kill(leader := system.find_leader())
            self.assertEqual(200, await turn)
            system.start(leader)
            for name in system.hosts:
                system.kill(name)
            for name in system.hosts:
                system.start(name)
            system.chunk_gap_s = 0.0
            self.assertTrue(await system.retry_turn_until_served("d", "c"))
            body = system.model_server.requests[-1].body
            self.assertTrue(body.startswith(_HISTORY + b"<c>c-1\nc-2\n<d."))

        self.run_test(work)
