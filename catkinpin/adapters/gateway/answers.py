"""What a gateway answers: a server's answer passed on, or one of its own."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin import decisions, metrics
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.adapters.gateway.headers import HeaderCodec
    from catkinpin.adapters.gateway.view import View
    from catkinpin.adapters.gateway.work import Work
    from catkinpin.adapters.http.client import ResponseHead
    from catkinpin.adapters.http.server import Responder
    from catkinpin.clock import Clock
    from catkinpin.core.requests.calls import RouteCall

_MS = 1_000
# Statuses that promise that the request has not run and never will.
_PROMISES = frozenset({408, 421, 429, 503})
# When to come back, in s, after servers that were all full: a queue empties.
_RETRY_FULL_S = 0.15


class Answers:
    """Starts, refuses and logs answers.

    Args:
        view: routes, whose version and age stand in the log.
        codec: translates headers.
        clock: time.
    """

    def __init__(self, view: View, codec: HeaderCodec, clock: Clock) -> None:
        self._view = view
        self._codec = codec
        self._clock = clock

    def start(self, work: Work, head: ResponseHead, length: int | None) -> bool:
        """Starts the answer with a server's head, where that can be passed."""
        facts = self._codec.answer(head.headers)
        if head.status < 300 and not facts.is_sealed:
            work.reason = "an answer that the server doesn't vouch for"
            return False
        if head.status in _PROMISES:
            # The server ran it, or didn't say that it hadn't; passed on, the
            # status would promise the caller that it never will run.
            work.reason = f"status {head.status} without a promise"
            return False
        headers = head.headers.end_to_end()
        work.responder.start(head.status, headers, length, head.reason)
        return True

    def give_up(self, work: Work) -> None:
        """Answers a request that can't be served, by what may have become."""
        if work.responder.started:
            work.responder.abort()
            return
        if work.verdict is Verdict.NOT_RUN:
            self.refuse(
                work.responder, work.call, 503, work.reason, _RETRY_FULL_S
            )
            return
        passed = work.left_s <= 0
        status = 504 if passed else 502
        self.refuse(work.responder, work.call, status, work.reason)

    def refuse(
        self,
        responder: Responder,
        call: RouteCall,
        status: int,
        reason: str,
        retry_s: float = 0.0,
    ) -> None:
        """Answers with a status of our own.

        Args:
            responder: of the caller.
            call: its request.
            status: what to answer.
            reason: why, for the log.
            retry_s: when to come back; 0: not said.
        """
        headers = self._codec.refusal(call.attempt, retry_s)
        responder.answer(status, headers)
        metrics.REFUSALS.labels(str(status)).inc()
        decisions.note(
            "refused",
            call.attempt,
            status=status,
            reason=reason,
            program=call.program,
            routes=self._view.version,
            routes_age_ms=self._clock.now_ms() - self._view.changed_ms,
        )

    def over_quota(
        self, responder: Responder, call: RouteCall, retry_ms: int
    ) -> None:
        """Refuses a request whose account has used up its quota."""
        reason = f"the quota of {call.account} is used up"
        self.refuse(responder, call, 429, reason, retry_ms / _MS)

    def left(self, call: RouteCall) -> None:
        """Notes that a caller has left before its answer."""
        decisions.routine("left", call.attempt)

    def note(self, work: Work) -> None:
        """Writes what became of a request, and what decided it."""
        took_ms = work.took_ms
        metrics.CALL_SECONDS.observe(took_ms / _MS)
        choice = work.choice
        facts = {
            "status": work.responder.status,
            "whole": work.responder.finished,
            "took_ms": took_ms,
            "verdict": work.verdict,
            "program": work.call.program,
            "route": work.route.name,
            "servers": work.sent_to,
            "routes": self._view.version,
            "tokens": work.tokens,
            "prompt": work.call.prompt_tokens,
            "program_left_ms": work.call.program_left_ms,
            "urgency": work.urgency,
            "program_lost_ms": work.program_status.lost_ms,
            "placed": work.placed,
        }
        if choice is not None:
            facts["cost_ms"] = round(choice.cost_ms, 1)
            facts["cached"] = choice.cached_tokens
            facts["load_age_ms"] = choice.load_age_ms
            facts["running"] = choice.running
        if choice is not None and choice.speed is not None:
            facts["read_ms"] = round(choice.speed.read_ms, 4)
            facts["token_ms"] = round(choice.speed.token_ms, 2)
            facts["beside_ms"] = round(choice.speed.beside_ms, 3)
        if work.responder.finished and work.responder.status < 500:
            decisions.routine("served", work.call.attempt, **facts)
        else:
            facts["reason"] = work.reason
            decisions.note("failed", work.call.attempt, **facts)
