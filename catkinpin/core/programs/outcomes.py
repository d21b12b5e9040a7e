"""Replies to waiting entries, and records of attempts' outcomes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core.placement import limits
from catkinpin.core.programs import records, replies
from catkinpin.verdicts import Reason, Verdict

if TYPE_CHECKING:
    import random

    from catkinpin.core import messages
    from catkinpin.core.messages import CallKey
    from catkinpin.core.placement.ejection import OutlierDetector
    from catkinpin.core.programs import attempts, effects
    from catkinpin.core.programs.admissions import Admissions
    from catkinpin.core.programs.commands import Command
    from catkinpin.core.programs.program import Call
    from catkinpin.core.programs.shard import Shard
    from catkinpin.core.programs.waiters import Waiters


class Outcomes:
    """Replies to the entries that wait for calls.

    Args:
        state: the shard's state, which is only read.
        waiters: entries that wait for calls.
        admissions: calls whose `CallBegun` record is proposed.
        outliers: servers that fail more often than others.
    """

    def __init__(
        self,
        state: Shard,
        waiters: Waiters,
        admissions: Admissions,
        outliers: OutlierDetector,
    ) -> None:
        self._shard = state
        self._waiters = waiters
        self._admissions = admissions
        self._outliers = outliers

    def finished_record(
        self, finish: messages.Finish, wall_ms: int
    ) -> records.AttemptFinished:
        """Returns the record of an outcome that an entry reports."""
        return records.AttemptFinished(
            at_ms=wall_ms,
            key=finish.key,
            attempt=finish.attempt,
            verdict=finish.verdict,
            reason=finish.reason,
            text=finish.text,
            answer=finish.answer,
            usage=finish.usage,
            messages=finish.messages,
            crashed=finish.crashed,
        )

    def retry_refusal(
        self,
        call: Call,
        record: records.AttemptFinished,
        rng: random.Random,
        wall_ms: int,
    ) -> records.CallRefused:
        """Returns the refusal of a call whose retries are used up."""
        return records.CallRefused(
            at_ms=wall_ms,
            key=call.key,
            reason=Reason.OVERLOADED,
            text=f"servers fail and retries are used up: {record.text}",
            verdict=call.verdict,
            retry_after_ms=limits.backoff_ms(call.attempts + 4, rng),
        )

    def answer(self, effect: effects.CallAnswered) -> list[Command]:
        """Sends the answer of a call to all its waiters."""
        return [
            replies.final_reply(waiter, effect.key, effect.call)
            for waiter in self._waiters.remove_all(effect.key)
        ]

    def reject(self, effect: effects.BeginRejected) -> list[Command]:
        """Sends the rejection of a new call to all its waiters."""
        verdict = self._shard.verdict_of(effect.begin.key)
        return [
            replies.refuse_rejected(waiter, effect, verdict)
            for waiter in self._waiters.remove_all(effect.begin.key)
        ]

    def update_outliers(
        self,
        tracked: attempts.TrackedAttempt,
        record: records.AttemptFinished,
        now_ms: int,
    ) -> None:
        """Counts an outcome as a success or a failure of its server."""
        if record.answer is not None:
            self._outliers.record_success(tracked.server)
        elif record.reason in (Reason.SERVER_FAILED, Reason.SERVER_REFUSED):
            self._outliers.record_failure(tracked.server, now_ms)

    def refuse(
        self, key: CallKey, refusal: records.CallRefused
    ) -> list[Command]:
        """Sends the refusal of a call to all its waiters."""
        return [
            replies.refuse_recorded(waiter, refusal)
            for waiter in self._waiters.remove_all(key)
        ]

    def answer_stale(self, key: CallKey, verdict: Verdict) -> list[Command]:
        """Replies to all waiters of a call that is not open or proposed."""
        if self._shard.find_open(
            key
        ) is not None or self._admissions.find_proposed(key):
            return []
        closed = self._shard.find_closed(key)
        waiters = self._waiters.remove_all(key)
        if closed is not None:
            return [
                replies.final_reply(waiter, key, closed) for waiter in waiters
            ]
        text = "the call was given up on before this outcome came"
        return [
            replies.refuse(
                waiter.entry,
                waiter.ask,
                Reason.OUTCOME_UNKNOWN,
                text,
                verdict=max(
                    verdict, self._shard.verdict_of(key), key=_severity
                ),
            )
            for waiter in waiters
        ]


def _severity(verdict: Verdict) -> int:
    """Returns a rank, which is higher the more may have run."""
    order = (Verdict.NOT_RUN, Verdict.MAY_HAVE_RUN, Verdict.RAN)
    return order.index(verdict)
