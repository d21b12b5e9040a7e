"""Decoded requests and answers of a gateway."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    Attributes:
        id: Identity of the part, equal for equal text after equal parts.
        tokens: Length of the part.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RouteCall:
    """A caller's request.

    Attributes:
        attempt: ID of this request, never used twice.
        deadline_ms: Time that the caller waits from its arrival; 0 if not
            given.
        program: ID of the program, empty for a single request.
        session: ID of one sequence of turns of the program.
        program_left_ms: Time left for the whole program; 0 if not given.
        budget: Tokens that the whole program may generate; -1 for no limit.
        prompt_tokens: Length of the prompt.
        max_tokens: Limit of the tokens that this request generates; 0 for a
            call to an application service.
        prompt: Parts of the prompt, in order.
        previous: ID of the turn that it continues, empty if none.
        affinity: Affinity key; requests with the same key are faster on the
            same server.
        resume_at: ID of the last event that the caller received; empty to
            start from the beginning.
        key_digest: Digest of its API key, empty if there is none.
        account: Client account that sent it, empty if there is none.
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
    """Load that a server reports.

    Attributes:
        running: Number of running requests.
        waiting: Number of waiting requests.
        slots: Number of requests that it can run concurrently.
        slowdown: How many times its usual duration work takes at this moment,
            because the server shares its machine with others; None if the
            server does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclasses.dataclass(frozen=True)
class AnswerFacts:
    """Metadata of a server's answer.

    Attributes:
        attempt: ID of the request that it answers, empty if it names none.
        is_sealed: Whether the answer has the header by which the server vouches
            for it.
        not_run: Whether the server declares that it did not run the request.
        load: Load that the server reports, None if it reports none.
    """

    attempt: str
    is_sealed: bool
    not_run: bool
    load: Load | None
