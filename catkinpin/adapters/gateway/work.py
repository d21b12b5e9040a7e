"""The state of one call while a gateway serves it."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import TYPE_CHECKING

from catkinpin.adapters.gateway.timings import AnswerTimes
from catkinpin.core.control.routes import RouteKind
from catkinpin.core.placement.urgency import URGENCY_DEFAULT, ProgramStatus
from catkinpin.core.requests.digests import RequestDigests
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.http.server import Request, Responder
    from catkinpin.core.control.routes import Route, Service
    from catkinpin.core.placement.balance import Choice
    from catkinpin.core.requests.calls import RouteCall

_MS_PER_S = 1_000
# Share of the remaining time that a request may wait for its account's quota.
# A refused request would be retried no earlier, and a program ends with its
# third refusal.
_QUOTA_WAIT_SHARE = 0.3


@dataclasses.dataclass(frozen=True)
class ServerRun:
    """A request's run on a server, which broke off.

    Attributes:
        server: identity of the server's incarnation.
        sent_s: loop time at which the request was sent.
        ended_s: loop time at which the connection broke.
        is_repeat: whether the request was suspected when it was sent.
    """

    server: str
    sent_s: float
    ended_s: float
    is_repeat: bool

    @property
    def ran_ms(self) -> int:
        """Time from sending the request to the break."""
        return int((self.ended_s - self.sent_s) * _MS_PER_S)

    @property
    def age_ms(self) -> int:
        """Time since the break."""
        now_s = asyncio.get_running_loop().time()
        return int((now_s - self.ended_s) * _MS_PER_S)


@dataclasses.dataclass
class OpenCall:
    """The state of one call while the gateway serves it.

    Attributes:
        deadline_s: loop time by which the caller must have its answer.
        verdict: whether the request has run, as far as is known.
        tried_servers: servers that were tried.
        run_count: number of servers that may have run the request.
        tokens: number of tokens delivered to the caller.
        reason: why the last attempt failed.
        urgency: urgency sent to a model server.
        program_status: status of the program, if the request is a turn.
        assigned_server: server selected by the leader; empty if none.
        failed_servers: servers that failed while they served the request.
        choice: the server picked last.
        answer_times: timings of the answer.
        is_superseded: whether another attempt of the same call has won.
        digests: identify the request when it is sent again.
        break_checks: for each server that broke off, whether it has crashed.
        is_suspected: whether a server had crashed under it, or was thought to
            have, when it was sent last.
        crash_reports: for each of these, the report to the leader.
    """

    call: RouteCall
    route: Route
    service: Service
    request: Request
    responder: Responder
    deadline_s: float
    body: bytes
    verdict: Verdict = Verdict.NOT_RUN
    tried_servers: list[str] = dataclasses.field(default_factory=list)
    run_count: int = 0
    tokens: int = 0
    reason: str = ""
    urgency: int = URGENCY_DEFAULT
    program_status: ProgramStatus = dataclasses.field(
        default_factory=ProgramStatus
    )
    assigned_server: str = ""
    failed_servers: list[str] = dataclasses.field(default_factory=list)
    choice: Choice | None = None
    answer_times: AnswerTimes = dataclasses.field(default_factory=AnswerTimes)
    is_superseded: bool = False
    digests: RequestDigests = dataclasses.field(default_factory=RequestDigests)
    break_checks: list[asyncio.Task[bool]] = dataclasses.field(
        default_factory=list
    )
    is_suspected: bool = False
    crash_reports: list[asyncio.Task[None]] = dataclasses.field(
        default_factory=list
    )

    @property
    def elapsed_ms(self) -> int:
        """Time since the request arrived."""
        since_s = asyncio.get_running_loop().time() - self.request.arrived_s
        return int(since_s * _MS_PER_S)

    @property
    def remaining_s(self) -> float:
        """Time left until the deadline."""
        return self.deadline_s - asyncio.get_running_loop().time()

    @property
    def quota_deadline_s(self) -> float:
        """Loop time until which the request may wait for its quota."""
        now_s = asyncio.get_running_loop().time()
        return now_s + _QUOTA_WAIT_SHARE * self.remaining_s

    @property
    def is_repeatable(self) -> bool:
        """Whether the request may safely run twice."""
        if self.route.kind is RouteKind.STREAM:
            return self.route.resumable
        return self.route.kind is RouteKind.IDEMPOTENT

    @property
    def is_turn(self) -> bool:
        """Whether the request is a program's turn, begun at the leader."""
        if self.route.kind is not RouteKind.STREAM or not self.call.program:
            return False
        return self.route.keeps_history or self.call.budget >= 0

    @property
    def may_switch_server(self) -> bool:
        """Whether the gateway may leave a silent server for another one.

        A full engine is silent too, because it defers the request in favor of
        more urgent ones. If no further attempt is allowed, breaking off would
        cost the caller an answer that was only late.
        """
        is_resumable = (
            self.route.kind is RouteKind.STREAM and self.route.resumable
        )
        return is_resumable and self.run_count < self.route.max_attempts

    @property
    def executed_on(self) -> str:
        """The server that cached the prompt; empty if none ran the request."""
        if self.choice is None or self.verdict is Verdict.NOT_RUN:
            return ""
        return self.choice.instance.id
