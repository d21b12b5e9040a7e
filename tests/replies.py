"""Answers as callers got them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import aiohttp


class Streamed:
    """A streamed answer as its caller got it.

    Attributes:
        fresh: whether the last line brought a token.
        done: whether the stream ended as it should.
    """

    def __init__(self) -> None:
        self.status = 0
        self.words: list[str] = []
        self.error: Any = None
        self.finished = 0
        self.done = False
        self.fresh = False

    def feed(self, line: bytes) -> None:
        """Takes a line of the stream."""
        self.fresh = False
        if line == b"data: [DONE]":
            self.done = True
        elif line.startswith(b"data: "):
            event = json.loads(line[6:])
            self.error = event.get("error", self.error)
            for choice in event.get("choices", []):
                if choice["delta"].get("content"):
                    self.words.append(choice["delta"]["content"])
                    self.fresh = True
                self.finished += bool(choice.get("finish_reason"))

    @property
    def text(self) -> str:
        """The answer's text."""
        return "".join(self.words)


class Reply:
    """An HTTP answer that has been read to its end."""

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @classmethod
    async def read(cls, resp: aiohttp.ClientResponse) -> Reply:
        """Reads an answer."""
        return cls(resp.status, resp.headers, await resp.read())

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)

    @property
    def verdict(self) -> str:
        """The verdict header."""
        value: str = self.headers.get("Catkinpin-Verdict", "")
        return value
