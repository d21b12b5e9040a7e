"""The input and the decisions of the scheduler."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.core.programs.program import CallDigests

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import CallKey, ServerReport
    from catkinpin.core.placement.servers import Server
    from catkinpin.verdicts import Reason

_NO_DIGESTS = CallDigests(b"")


@dataclasses.dataclass(frozen=True)
class Job:
    """A call to be placed on a server, with the state of its program.

    Attributes:
        prompt_tokens: Upper bound of the request's tokens; the scheduler
            replaces it by its estimate for the whole prompt.
        stored_tokens: Tokens of the stored history that precedes the request
            and is not part of it.
        history_tokens: Tokens of the program's history so far.
        turns: Number of answered calls of the program.
        attained_tokens: Tokens that the program has been served so far.
        region: Region of the caller's entry.
        last_server: Server that last answered the program, or empty.
        priority: Priority of the deployment; higher goes first.
        deadline_ms: Monotonic time after which the caller stops waiting.
        excluded_servers: Servers that failed this call or are ejected.
        digests: What the request is recognized by if it crashes servers.
        suspected: Those of the digests that were running on such servers.
        is_allowed: Returns whether the call may run on a server; evaluated at
            each placement, as the configuration may change while it waits.
        prompt_bound_tokens: The original upper bound, kept by the scheduler.
        deployment: Name of the deployment that the call belongs to.
        interactive: Whether a user waits for the answer.
        parent: ID of the program that started this one, or empty.
        shared_tokens: Leading tokens shared with the parent's history; without
            a parent, those shared with the account's other programs.
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
    digests: CallDigests = _NO_DIGESTS
    suspected: frozenset[bytes] = frozenset()
    is_allowed: Callable[[ServerReport], bool] = lambda _: True
    prompt_bound_tokens: int = 0
    deployment: str = ""
    interactive: bool = False
    parent: str = ""
    shared_tokens: int = 0

    @property
    def suspect(self) -> bool:
        """Whether the request may be one that crashes servers."""
        return bool(self.suspected)


@dataclasses.dataclass(frozen=True)
class Place:
    """Decision that the call runs on this server now."""

    key: CallKey
    server: Server


@dataclasses.dataclass(frozen=True)
class Reject:
    """Decision that the call gets no server and its caller is refused."""

    key: CallKey
    reason: Reason
    text: str
    retry_after_ms: int = 0


Decision = Place | Reject
