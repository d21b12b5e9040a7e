"""HTTP responses as callers received them."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    import aiohttp


class Streamed:
    """A streamed model answer as its caller received it.

    Attributes:
        words: the tokens received so far.
        error: error object of the stream, None if there was none.
        finished: number of finish reasons received.
        fresh: whether the last line contained a token.
        done: whether the stream ended with `[DONE]`.
    """

    def __init__(self) -> None:
        self.status = 0
        self.words: list[str] = []
        self.error: Any = None
        self.finished = 0
        self.done = False
        self.fresh = False

    def feed(self, line: bytes) -> None:
        """Parses one line of the stream."""
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
        """The text received so far."""
        return "".join(self.words)


class Reply:
    """An HTTP response with its complete body."""

    def __init__(self, status: int, headers: Any, body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    @classmethod
    async def read(cls, resp: aiohttp.ClientResponse) -> Reply:
        """Reads the body and returns the reply."""
        return cls(resp.status, resp.headers, await resp.read())

    @property
    def json(self) -> Any:
        """The parsed JSON body."""
        return json.loads(self.body)

    @property
    def verdict(self) -> str:
        """Value of the verdict header, empty if it is absent."""
        value: str = self.headers.get("Catkinpin-Verdict", "")
        return value
