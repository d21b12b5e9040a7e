"""Measures what it costs that the turns of a route can be resumed.

Starts real processes on loopback and sends turns to two routes by turns: both
keep histories, and one also stores each event before the caller gets it. Prints
from an event's end at the server to its arrival at the caller, and whole turns.

    python -m bench.resumable --turns 200 --concurrent 8
"""

from __future__ import annotations

import argparse
import asyncio
import dataclasses
import pathlib
import statistics
import tempfile
import time
from typing import TYPE_CHECKING

import aiohttp
import uvloop

from tests.fakes.deployment import Deployment, stream_route
from tests.fakes.rawserver import RawServer

if TYPE_CHECKING:
    from tests.fakes.rawserver import ReceivedRequest

_MS_PER_S = 1_000
_EVENTS = 20
_EVENT_GAP_S = 0.02
_PATHS = {"history": "/t/x", "history, resumable": "/r/x"}


async def _serve_times(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Streams events whose data are the times at which they were written."""
    attempt = received.headers["x-attempt-id"]
    head = (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
        "X-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode())
    for number in range(1, _EVENTS + 1):
        await asyncio.sleep(_EVENT_GAP_S)
        event = f"id: {number}\ndata: {time.monotonic()}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
    writer.write(b"0\r\n\r\n")


@dataclasses.dataclass
class _Timings:
    """Times of the turns of one route, in ms.

    Attributes:
        first_ms: from sending a turn to its first event.
        event_ms: from writing an event to its arrival.
        whole_ms: from sending a turn to its end.
    """

    first_ms: list[float] = dataclasses.field(default_factory=list)
    event_ms: list[float] = dataclasses.field(default_factory=list)
    whole_ms: list[float] = dataclasses.field(default_factory=list)


async def _send_turn(
    session: aiohttp.ClientSession,
    system: Deployment,
    path: str,
    name: str,
    timings: _Timings,
) -> bool:
    """Sends a turn; returns whether it was answered whole."""
    headers = {
        "Host": "h.example",
        "X-Attempt-Id": name,
        "X-Program-Id": name,
        "X-Token-Usage": f"10,{2 * _EVENTS}",
        "X-Token-Budget": "1000",
        "X-Deadline-Ms": "4000",
    }
    url = system.url("gateway-1", path)
    sent_s = time.monotonic()
    times: list[tuple[float, float]] = []
    try:
        async with session.post(
            url, data=name.encode(), headers=headers
        ) as answer:
            async for line in answer.content:
                if line.startswith(b"data: "):
                    times.append((float(line[6:]), time.monotonic()))
    except aiohttp.ClientPayloadError:
        return False
    if answer.status != 200 or len(times) != _EVENTS:
        return False
    timings.first_ms.append((times[0][1] - sent_s) * _MS_PER_S)
    timings.event_ms += [
        (arrived_s - written_s) * _MS_PER_S for written_s, arrived_s in times
    ]
    timings.whole_ms.append((time.monotonic() - sent_s) * _MS_PER_S)
    return True


async def _measure(folder: pathlib.Path, turns: int, concurrent: int) -> None:
    system = Deployment(folder)
    system.model_server = RawServer(_serve_times)
    timings = {path: _Timings() for path in _PATHS.values()}
    async with system, aiohttp.ClientSession() as session:
        resumable = stream_route("resumable", "/r/", resumable=True)
        system.more_routes = [resumable]
        await system.wait_until(system.send_manifest)
        for path in _PATHS.values():

            async def is_served(path: str = path) -> bool:
                name = f"warm-up-{time.monotonic()}"
                return await _send_turn(session, system, path, name, _Timings())

            await system.wait_until(is_served)
        failed = 0
        for number in range(0, turns, concurrent):
            for path, found in timings.items():
                served = await asyncio.gather(
                    *(
                        _send_turn(
                            session, system, path, f"{path}{number}.{n}", found
                        )
                        for n in range(concurrent)
                    )
                )
                failed += served.count(False)
    _report(timings, failed)


def _report(timings: dict[str, _Timings], failed: int) -> None:
    print(f"{'route':20} {'part':12} {'median':>8} {'p95':>8} {'p99':>8}  ms")
    for name, path in _PATHS.items():
        for part, values in dataclasses.asdict(timings[path]).items():
            cuts = statistics.quantiles(values, n=100)
            print(
                f"{name:20} {part:12} {cuts[49]:8.2f} {cuts[94]:8.2f}"
                f" {cuts[98]:8.2f}"
            )
    print(f"turns not answered whole: {failed}")


def main() -> None:
    """Runs the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--turns", type=int, default=200)
    parser.add_argument("--concurrent", type=int, default=8)
    args = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        uvloop.run(_measure(pathlib.Path(name), args.turns, args.concurrent))


if __name__ == "__main__":
    main()
