"""What a gateway must know of a request and of a server's answer."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        id: the same for the same text after the same parts.
        tokens: its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RouteCall:
    """A caller's request, decoded.

    Attributes:
        attempt: identity of this request, never used twice.
        deadline_ms: how long the caller waits from its arrival; 0: not said.
        program: identity of the program, empty for a single request.
        session: one line of turns of the program.
        program_left_ms: until the whole program should be finished; 0: not
            said.
        budget: tokens that the whole program may generate; -1: no limit.
        prompt_tokens: length of the prompt.
        max_tokens: tokens that this request may generate.
        prompt: its parts, in order.
        previous: the turn that it continues, empty for a new chain.
        affinity: requests with the same value do better on the same server.
        resume_at: last event that the caller has; empty: from the start.
        key_digest: of its API key, empty where there is none.
        account: the client account that sent it, empty for none.
    """

    attempt: str
    deadline_ms: int = 0
    program: str = ""
    session: str = ""
    program_left_ms: int = 0
    budget: int = -1
    prompt_tokens: int = 0
    max_tokens: int = 0
    prompt: tuple[PromptPart, ...] = ()
    previous: str = ""
    affinity: str = ""
    resume_at: str = ""
    key_digest: bytes = b""
    account: str = ""


@dataclasses.dataclass(frozen=True)
class Load:
    """What a server says of its load.

    Attributes:
        slots: requests that it runs at once.
    """

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True)
class AnswerFacts:
    """A server's answer, decoded.

    Attributes:
        attempt: request that it belongs to, empty where it names none.
        is_sealed: whether the server vouches for it.
        not_run: whether the server says that it didn't run the request.
        load: None where it says nothing.
    """

    attempt: str
    is_sealed: bool
    not_run: bool
    load: Load | None
