"""A stopping gateway cuts answers that slow clients are still reading."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import socket
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness  # noqa: E402

# What the settings of the site hold beside those of a smaller one.
_POLICIES = ("health", "pool", "pressure")
_CLIENTS = 6
_GATEWAY = "gateway-1"
_ANSWER_BYTES = 250_000
# Time budget of the clients, which is also the route's timeout.
_DEADLINE_MS = 4_000
# Each client reads slowly for this long, and then as fast as it can.
_SLOW_S = 3.3
_SLOW_BYTES_PER_S = 10_000
_READ_INTERVAL_S = 0.05
# Segments of an Ethernet link in place of the 64 KB of the loopback interface,
# and a window of a small client.
_SEGMENT_BYTES = 1_460
_WINDOW_BYTES = 4_096
# After the last answer has begun, until the gateway gets SIGTERM.
_BEFORE_SIGTERM_S = 0.3
_GRACE_S = 8.0


@dataclasses.dataclass
class Download:
    """An answer that a client reads slowly.

    Attributes:
        began: set once the first bytes of the answer were read.
        reason: why the channel ended before the answer was complete.
    """

    attempt: str
    status: int = 0
    size: int = 0
    read_bytes: int = 0
    took_s: float = 0.0
    began: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    reason: str = ""

    @property
    def is_cut(self) -> bool:
        """Whether the client got a part of an answer, within its time."""
        in_time = self.took_s < _DEADLINE_MS / 1_000
        return bool(self.reason) and in_time


async def play(record: harness.Record, is_disrupted: bool) -> str:
    """Downloads some answers slowly while the gateway is stopped."""
    routes = [harness.route("calls", "/calls/", "unsafe", "app")]
    async with harness.started(record, routes, _POLICIES) as deployment:
        server = harness.Server(deployment, record, "app", _answer)
        await server.start()
        try:
            return await _stop_during_downloads(
                deployment, record, is_disrupted
            )
        finally:
            await server.stop()


async def _stop_during_downloads(
    deployment: harness.Deployment, record: harness.Record, is_disrupted: bool
) -> str:
    # The gateway has heard of the server once a first request is served.
    async def is_served() -> bool:
        first = Download("first")
        await _download(deployment, first, slow_s=0.0)
        return first.status == 200 and not first.reason

    await harness.wait_until(is_served, "the gateway serves a request")
    downloads = [Download(f"d-{number}") for number in range(_CLIENTS)]
    for download in downloads:
        record.add("send", attempt=download.attempt, gateway=_GATEWAY)
    tasks = [
        asyncio.create_task(_download(deployment, download, _SLOW_S))
        for download in downloads
    ]
    async with asyncio.timeout(_SLOW_S):
        for download in downloads:
            await download.began.wait()
    await asyncio.sleep(_BEFORE_SIGTERM_S)
    if is_disrupted:
        deployment.send_signal(_GATEWAY, signal.SIGTERM)
    sent_s = time.monotonic()
    await asyncio.gather(*tasks)
    while is_disrupted and not deployment.has_ended(_GATEWAY):
        if time.monotonic() - sent_s > _GRACE_S:
            return "the gateway did not end within its grace time"
        await asyncio.sleep(0.05)
    for download in downloads:
        record.add(
            "answer",
            attempt=download.attempt,
            status=download.status,
            read_bytes=download.read_bytes,
            of_bytes=download.size,
            took_s=round(download.took_s, 2),
            reason=download.reason,
        )
    if not is_disrupted and any(d.reason for d in downloads):
        raise harness.NotRunError("an answer was cut without a SIGTERM")
    cut = [d for d in downloads if d.is_cut]
    if not cut:
        return ""
    return (
        f"LOST: {len(cut)} of {_CLIENTS} answers were cut, the first after"
        f" {cut[0].read_bytes} of {cut[0].size} bytes and"
        f" {cut[0].took_s:.1f} of {_DEADLINE_MS / 1_000:.0f} s"
    )


async def _download(
    deployment: harness.Deployment, download: Download, slow_s: float
) -> None:
    """Reads an answer, at first slowly; notes how the channel ended."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW_BYTES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
    sock.setblocking(False)
    begin_s = time.monotonic()
    loop = asyncio.get_running_loop()
    try:
        ip = deployment.nodes[_GATEWAY].ip
        await loop.sock_connect(sock, (ip, deployment.front))
        headers = {
            "Host": "app.example",
            "X-Attempt-Id": download.attempt,
            "X-Deadline-Ms": str(_DEADLINE_MS),
        }
        target = f"/calls/{download.attempt}"
        request = harness.encode_request("POST", target, headers, b"x")
        await loop.sock_sendall(sock, request)
        await _read_slowly(sock, download, slow_s)
    except OSError as exc:
        download.reason = repr(exc)
    finally:
        sock.close()
        download.took_s = time.monotonic() - begin_s
        download.began.set()


async def _read_slowly(
    sock: socket.socket, download: Download, slow_s: float
) -> None:
    loop = asyncio.get_running_loop()
    data = b""
    while b"\r\n\r\n" not in data:
        part = await loop.sock_recv(sock, 1_024)
        if not part:
            download.reason = "closed before the head was complete"
            return
        data += part
    head, _, body = data.partition(b"\r\n\r\n")
    download.status = int(head.split(b" ")[1])
    download.read_bytes = len(body)
    download.began.set()
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            download.size = int(value)
    length = download.size
    begin_s = time.monotonic()
    while download.read_bytes < length:
        elapsed_s = time.monotonic() - begin_s
        due = int(elapsed_s * _SLOW_BYTES_PER_S)
        if elapsed_s >= slow_s:
            due = length
        left = min(due, length) - download.read_bytes
        if left <= 0:
            await asyncio.sleep(_READ_INTERVAL_S)
            continue
        part = await loop.sock_recv(sock, left)
        if not part:
            download.reason = "closed before the body was complete"
            return
        download.read_bytes += len(part)


async def _answer(
    received: harness.Received, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        await harness.answer_plain(received, writer, b"x" * _ANSWER_BYTES)


if __name__ == "__main__":
    harness.run_case(FOLDER, play)
