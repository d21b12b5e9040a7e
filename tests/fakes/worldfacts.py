"""Constants and request records of the simulation."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin import digest

if TYPE_CHECKING:
    from catkinpin.core import messages

DEADLINE_MS = 8_000
MAX_ANSWER_DELAY_MS = 2_500  # Past its deadline, for a caller's answer.
TOKENS = 10  # Of each answer; also the upper bound of each prompt.
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
    """One sending of a call by its caller, and the result.

    Attributes:
        final: reply of the entry, None if there is none.
        broken: whether the connection to the entry broke.
        done_at: time of the reply or of the break; 0 while waiting.
    """

    key: messages.CallKey
    at: int
    entry: str
    final: messages.Finished | messages.Refused | None = None
    broken: bool = False
    done_at: int = 0


class Call:
    """A request that an entry handles.

    Attributes:
        texts: texts of the prompt.
        grant: grant of the current attempt.
        finish: outcome of the last attempt.
        last_progress_at: time at which the server last sent something.
    """

    def __init__(
        self, begin: messages.Begin, sent: Sent, texts: list[bytes]
    ) -> None:
        self.begin = begin
        self.texts = texts
        self.sent = sent
        self.grant: messages.Granted | None = None
        self.finish: messages.Finish | None = None
        self.last_progress_at = 0


def answer_text(digests: list[bytes]) -> bytes:
    """Returns a model's answer to a prompt."""
    return b"answer to " + digest.of_bytes(b"".join(digests)).hex().encode()


def ask_text(begin: messages.Begin) -> bytes:
    """Returns the text of a caller's message to a model."""
    return f"ask {begin.key.request_id}".encode()
