"""A client that resumes the stream of a turn, and the server that runs it."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from tests.fakes.deployment import Deployment
    from tests.fakes.rawserver import ReceivedRequest

EVENTS = 12
EVENT_GAP_S = 0.04
_RETRY_S = 0.1
_TRIES = 60
_attempts = itertools.count(1)


async def serve_events(
    received: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Streams the events after the one that the request names.

    Their data name the request, so another run of a turn makes other events.
    """
    attempt = received.headers["x-attempt-id"]
    head = (
        f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\n"
        "X-Response-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    writer.write(head.encode())
    last_id = int(received.headers.get("last-event-id") or 0)
    for number in range(last_id + 1, EVENTS + 1):
        event = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
        writer.write(b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
    writer.write(b"0\r\n\r\n")


@dataclasses.dataclass
class ResumingClient:
    """A client that sends one turn and goes on after the last event it has.

    Attributes:
        program: the turn's program, whose session has the same name.
        body: input of the turn.
        previous: the turn that it continues, empty for none.
        path: path of its route.
        budget: tokens of the whole program.
        attempt: id of the request that was sent last.
        events: id and data of each event received.
        status: status of the last answer, 0 for none.
        is_whole: whether the last answer had its end.
    """

    program: str
    body: bytes
    previous: str = ""
    path: str = "/t/x"
    budget: int = 10_000
    attempt: str = ""
    events: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)
    status: int = 0
    is_whole: bool = False

    @property
    def output(self) -> bytes:
        """The data of all events received, as a later turn must contain it."""
        return b"".join(data + b"\n" for _, data in self.events)

    async def send(
        self,
        system: Deployment,
        gateway: str,
        leave_after: int = EVENTS + 1,
        last_event_id: str = "",
    ) -> None:
        """Sends the turn, or resumes it where events were received.

        Args:
            system: serves the turn.
            gateway: name of the gateway that gets the request.
            leave_after: number of events after which the client leaves.
            last_event_id: replaces the id of the last event received.
        """
        self.attempt = f"{self.program}.{next(_attempts)}"
        self.status, self.is_whole = 0, False
        last_id = last_event_id or (self.events[-1][0] if self.events else "")
        writer = None
        try:
            reader, writer = await asyncio.open_connection(
                system.hosts[gateway].ip, system.front_port
            )
            writer.write(self._encode(last_id))
            await self._read_answer(reader, leave_after)
        except (OSError, EOFError):
            return
        finally:
            if writer is not None:
                writer.transport.abort()

    async def finish(self, system: Deployment, gateway: str) -> None:
        """Resumes the turn until it is whole, or no answer can change that."""
        for _ in range(_TRIES):
            await self.send(system, gateway)
            if self.is_whole or 400 <= self.status < 500:
                return
            await asyncio.sleep(_RETRY_S)

    def _encode(self, last_id: str) -> bytes:
        fields = {
            "Host": "h.example",
            "X-Attempt-Id": self.attempt,
            "X-Program-Id": self.program,
            "X-Session-Id": self.program,
            "X-Token-Usage": f"10,{2 * EVENTS}",
            "X-Token-Budget": str(self.budget),
            "X-Deadline-Ms": "3500",
            "Content-Length": str(len(self.body)),
        }
        if self.previous:
            fields["X-Previous-Turn"] = self.previous
        if last_id:
            fields["Last-Event-Id"] = last_id
        lines = [f"POST {self.path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        return "\r\n".join([*lines, "", ""]).encode() + self.body

    async def _read_answer(
        self, reader: asyncio.StreamReader, leave_after: int
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        self.status = int(head.split()[1])
        if self.status != 200:
            return
        text = b""
        while size := int((await reader.readuntil(b"\r\n"))[:-2], 16):
            text += (await reader.readexactly(size + 2))[:-2]
            *blocks, text = text.split(b"\n\n")
            for block in blocks:
                first, second = block.split(b"\n")
                event_id = first.removeprefix(b"id: ").decode()
                self.events.append((event_id, second.removeprefix(b"data: ")))
                if len(self.events) >= leave_after:
                    return
        self.is_whole = True
