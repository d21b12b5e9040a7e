"""Calls as the scheduler gets them, and what it decides about them."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import CallKey, ServerReport
    from catkinpin.core.placement.servers import Server
    from catkinpin.verdicts import Reason


@dataclasses.dataclass(frozen=True)
class Job:
    """A call that waits for a server, and what is known of its program.

    Attributes:
        prompt_tokens: upper bound of the request's tokens; the scheduler
            puts its estimate of the whole prompt in its place.
        stored_tokens: history that goes before the request, which leaves it
            out.
        history_tokens: tokens of the program's history so far.
        turns: calls of the program that have been answered.
        attained_tokens: tokens the program has been served so far.
        region: region of the caller's entry.
        last_server: the server that last answered the program, or empty.
        priority: of the deployment; higher goes first.
        deadline_ms: monotonic time after which nobody waits for the answer.
        without: servers that failed this call, or that failed many.
        suspect: whether the call ran on a server that crashed.
        content: digest of all that a server would get.
        allowed: whether the configuration lets the call go to a server; asked
            at each placement, since it may change while the call waits.
        bound_tokens: the upper bound as it came; the scheduler's own note.
        deployment: name of the deployment that lets the call run.
        interactive: whether someone waits at a screen.
        parent: id of the program that started this one, or empty.
        shared_tokens: leading tokens that the parent's history holds too; of
            a program without a parent, those that others begin with as well.
    """

    key: CallKey
    kind: str
    target: str
    prompt_tokens: int = 0
    stored_tokens: int = 0
    history_tokens: int = 0
    max_tokens: int = 0
    turns: int = 0
    attained_tokens: int = 0
    region: str = ""
    last_server: str = ""
    priority: int = 0
    deadline_ms: int = 0
    excluded_servers: tuple[str, ...] = ()
    suspect: bool = False
    content_digest: bytes = b""
    is_allowed: Callable[[ServerReport], bool] = lambda _: True
    prompt_bound_tokens: int = 0
    deployment: str = ""
    interactive: bool = False
    parent: str = ""
    shared_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Place:
    """Decision: the call goes to this server now."""

    key: CallKey
    server: Server


@dataclasses.dataclass(frozen=True)
class Reject:
    """Decision: the call gets no server; its caller is refused at once."""

    key: CallKey
    reason: Reason
    text: str
    retry_after_ms: int = 0


Decision = Place | Reject
