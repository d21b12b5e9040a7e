"""Fake backend server whose response bytes a test writes itself."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

import httptools

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


@dataclasses.dataclass
class ReceivedRequest:
    """A request that the server received.

    Attributes:
        reader: reads what follows the request on its connection.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader | None = None


class _Parser:
    """Parses requests from the bytes of one connection."""

    def __init__(self) -> None:
        self.parsed: list[ReceivedRequest] = []
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        self._target, self._body = b"", b""
        self._headers: dict[str, str] = {}

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        method = self._parser.get_method().decode()
        self.parsed.append(
            ReceivedRequest(
                method, self._target.decode(), self._headers, self._body
            )
        )


class RawServer:
    """Listens on loopback and passes each request to a function.

    Args:
        answer: writes the response to a request; it may write nothing.

    Attributes:
        requests: the requests received so far.
        connections: number of connections accepted so far.
        writers: writes to the callers of these connections.
        address: IP and port, empty before the start.
    """

    def __init__(
        self,
        answer: Callable[
            [ReceivedRequest, asyncio.StreamWriter], Awaitable[None]
        ],
    ) -> None:
        self._answer = answer
        self._server: asyncio.Server | None = None
        self.requests: list[ReceivedRequest] = []
        self.connections = 0
        self.writers: list[asyncio.StreamWriter] = []
        self.address = ""

    async def start(self) -> None:
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stops accepting connections; open ones stay open."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self.writers.append(writer)
        parser = _Parser()
        try:
            while data := await reader.read(65_536):
                parser.feed(data)
                while parser.parsed:
                    received = parser.parsed.pop(0)
                    received.reader = reader
                    self.requests.append(received)
                    await self._answer(received, writer)
                    await writer.drain()
        except ConnectionError:
            return
        finally:
            writer.close()


def sealed_answer(
    received: ReceivedRequest, body: bytes, status: str = "200 OK", **more: str
) -> bytes:
    """Returns a complete response with the `Sealed` header.

    Args:
        received: the request that is answered.
        body: body of the response.
        status: status code and reason phrase.
        **more: header fields to add or replace, with `_` for `-`; an empty
            value removes the field.
    """
    headers = {
        "Request-Id": received.headers.get("request-id", ""),
        "Sealed": "yes",
        "Content-Length": str(len(body)),
        **{name.replace("_", "-"): value for name, value in more.items()},
    }
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers.items() if value]
    return "\r\n".join([*lines, "", ""]).encode() + body
