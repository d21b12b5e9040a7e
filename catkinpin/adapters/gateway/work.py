"""One request on its way through a gateway."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.adapters.gateway.timings import Times
from catkinpin.core.control.routes import RouteKind
from catkinpin.core.placement.urgency import URGENCY_DEFAULT, ProgramStatus
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.core.control.routes import Route, Service
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.requests.calls import RouteCall

_MS = 1_000
# Part of its time that a request may wait for its account's quota. Refused, it
# would come back as late, and a program ends with its third refusal.
_QUOTA_SHARE = 0.3


@dataclasses.dataclass
class Work:
    """One request on its way.

    Attributes:
        deadline_s: the loop's time by which the caller must have its answer.
        verdict: whether it may have run, as far as known.
        sent_to: servers that it was sent to.
        runs: servers that may have begun it.
        tokens: handed to the caller.
        reason: why the last try failed.
        urgency: to a model server.
        program_status: of its program, where it is a turn.
        placed: the server that the leader names, empty for none.
        failed: servers that failed it.
        choice: the server picked last.
        times: of its answer.
    """

    call: RouteCall
    route: Route
    service: Service
    request: Request
    responder: Responder
    deadline_s: float
    body: bytes
    verdict: Verdict = Verdict.NOT_RUN
    sent_to: list[str] = dataclasses.field(default_factory=list)
    runs: int = 0
    tokens: int = 0
    reason: str = ""
    urgency: int = URGENCY_DEFAULT
    program_status: ProgramStatus = dataclasses.field(
        default_factory=ProgramStatus
    )
    placed: str = ""
    failed: list[str] = dataclasses.field(default_factory=list)
    choice: Choice | None = None
    times: Times = dataclasses.field(default_factory=Times)

    @property
    def took_ms(self) -> int:
        """Time since its arrival."""
        since_s = asyncio.get_running_loop().time() - self.request.arrived_s
        return int(since_s * _MS)

    @property
    def left_s(self) -> float:
        """Time until its deadline."""
        return self.deadline_s - asyncio.get_running_loop().time()

    @property
    def quota_until_s(self) -> float:
        """The loop's time until which it may wait for its account's quota."""
        now_s = asyncio.get_running_loop().time()
        return now_s + _QUOTA_SHARE * self.left_s

    @property
    def is_repeatable(self) -> bool:
        """Whether a second run does no harm."""
        if self.route.kind is RouteKind.STREAM:
            return self.route.resumable
        return self.route.kind is RouteKind.IDEMPOTENT

    @property
    def is_turn(self) -> bool:
        """Whether it is a program's turn, which the leader begins."""
        if self.route.kind is not RouteKind.STREAM or not self.call.program:
            return False
        return self.route.keeps_history or self.call.budget >= 0

    @property
    def may_leave(self) -> bool:
        """Whether a silent server may be left for another one.

        An engine that is full is silent too: it has put the request back
        behind more urgent ones. Broken off with nowhere else to go, a caller
        would lose an answer that was only late.
        """
        streams = self.route.kind is RouteKind.STREAM and self.route.resumable
        return streams and self.runs < self.route.max_attempts

    @property
    def ran_on(self) -> str:
        """The server that has its prompt, empty if none ran it."""
        if self.choice is None or self.verdict is Verdict.NOT_RUN:
            return ""
        return self.choice.instance.id
