"""What a shard's core is tested by: requests as they were seen and sent."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin import digest

if TYPE_CHECKING:
    from catkinpin.core import messages

DEADLINE_MS = 8_000
MAX_ANSWER_DELAY_MS = 2_500  # A caller's answer may be this late.
TOKENS = 10  # Of each answer; a prompt's bound is as large.
BUDGET = 2_000


@dataclasses.dataclass
class Seen:
    """A request as it reached a server."""

    at: int
    server: str
    attempt: str
    key: messages.CallKey
    prompt: list[bytes]
    max_tokens: int


@dataclasses.dataclass
class Sent:
    """A caller's sending of a call, and what came back."""

    key: messages.CallKey
    at: int
    entry: str
    final: messages.Finished | messages.Refused | None = None
    broken: bool = False
    done_at: int = 0


class Call:
    """A caller's request at an entry."""

    def __init__(
        self, begin: messages.Begin, sent: Sent, texts: list[bytes]
    ) -> None:
        self.begin = begin
        self.texts = texts
        self.sent = sent
        self.grant: messages.Granted | None = None
        self.finish: messages.Finish | None = None
        self.heard = 0


def answer_text(digests: list[bytes]) -> bytes:
    """Returns what a model answers to a prompt."""
    return b"answer to " + digest.of_bytes(b"".join(digests)).hex().encode()


def ask_text(begin: messages.Begin) -> bytes:
    """Returns what a caller asks a model."""
    return f"ask {begin.key.request_id}".encode()
