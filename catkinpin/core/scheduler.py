"""Which waiting call gets which server, and when.

The shard's leader hands each call that is next in its program to the scheduler
and gets decisions back: at once, or later when a server has room. The state is
soft: a new leader builds it again from its log and from new reports.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from catkinpin.verdicts import Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from catkinpin.core.messages import CallKey, ServerReport
    from catkinpin.core.servers import Server, ServerView

_RETRY_AFTER_MS = 1_000


@dataclasses.dataclass(frozen=True)
class Job:
    """A call that waits for a server, and what is known of its program.

    Attributes:
        prompt_tokens: upper bound of the prompt, in tokens.
        history_tokens: tokens of the program's history so far.
        turns: calls of the program that have been answered.
        attained_tokens: tokens the program has been served so far.
        region: region of the caller's entry.
        last_server: the server that last answered the program, or empty.
        priority: of the deployment; higher goes first.
        deadline_ms: monotonic time after which nobody waits for the answer.
        without: servers that failed this call, or that failed many.
        suspect: whether the call was aboard a server that crashed.
        content: digest of all that a server would get.
        allowed: whether the configuration lets the call go to a server; asked
            at each placement, since it may change while the call waits.
    """

    key: CallKey
    kind: str
    target: str
    prompt_tokens: int = 0
    history_tokens: int = 0
    max_tokens: int = 0
    turns: int = 0
    attained_tokens: int = 0
    region: str = ""
    last_server: str = ""
    priority: int = 0
    deadline_ms: int = 0
    without: tuple[str, ...] = ()
    suspect: bool = False
    content: bytes = b""
    allowed: Callable[[ServerReport], bool] = lambda _: True


@dataclasses.dataclass(frozen=True)
class Place:
    """Decision: the call goes to this server now."""

    key: CallKey
    server: Server


@dataclasses.dataclass(frozen=True)
class Reject:
    """Decision: the call gets no server; its caller hears so at once."""

    key: CallKey
    reason: Reason
    text: str
    retry_after_ms: int = 0


Decision = Place | Reject


class Scheduler:
    """Waiting and running calls of one leader."""

    def __init__(
        self,
        view: ServerView,
        policy: Callable[[Job, list[Server], int], Server | None],
    ) -> None:
        self._view = view
        self._policy = policy
        self._running: dict[CallKey, str] = {}

    def submit(self, job: Job, now_ms: int) -> list[Decision]:
        """Takes a call; one that is known already changes nothing."""
        if job.key in self._running:
            return []
        usable = self._view.usable(
            job.kind, job.target, now_ms, job.without, job.allowed
        )
        server = self._policy(job, usable, now_ms)
        if server is None:
            text = f"no server for {job.target!r} takes work now"
            return [Reject(job.key, Reason.NO_SERVER, text, _RETRY_AFTER_MS)]
        self._running[job.key] = server.report.server
        self._view.attempt_started(server.report.server)
        return [Place(job.key, server)]

    def ended(self, key: CallKey, now_ms: int) -> list[Decision]:
        """Notes that a call holds no server any more, and fills the room."""
        server = self._running.pop(key, "")
        if server:
            self._view.attempt_ended(server)
        return []

    def resume(self, key: CallKey, server: str) -> None:
        """Notes an attempt that an earlier leader granted."""
        self._running[key] = server
        self._view.attempt_started(server)

    def tick(self, now_ms: int) -> list[Decision]:
        """Decides anew after reports have come or time has passed."""
        return []
