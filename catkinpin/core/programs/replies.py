"""Builds the messages of a shard's leader to entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from catkinpin.core import messages
from catkinpin.core.programs.commands import (
    Command,
    Send,
    SendAnswer,
    SendGrant,
)
from catkinpin.verdicts import Verdict

if TYPE_CHECKING:
    from catkinpin.core.messages import CallKey
    from catkinpin.core.programs import records
    from catkinpin.core.programs.commands import EntryRef
    from catkinpin.core.programs.effects import BeginRejected
    from catkinpin.core.programs.program import (
        Attempt,
        Call,
        ClosedCall,
        Program,
    )
    from catkinpin.core.programs.waiters import Waiter
    from catkinpin.verdicts import Reason

# An entry must use a grant within this time of its receipt.
GRANT_EXPIRES_MS = 1_000


def refuse(
    entry: EntryRef,
    ask: int,
    reason: Reason,
    text: str,
    retry_after_ms: int = 0,
    verdict: Verdict = Verdict.NOT_RUN,
    detail: str = "",
) -> Send:
    """Returns a refusal to an entry."""
    message = messages.Refused(
        ask=ask,
        reason=reason,
        text=text,
        verdict=verdict,
        retry_after_ms=retry_after_ms,
        detail=detail,
    )
    return Send(entry, message)


def refuse_rejected(
    waiter: Waiter, rejected: BeginRejected, verdict: Verdict
) -> Send:
    """Returns the refusal of a call that was not admitted."""
    return refuse(
        waiter.entry,
        waiter.ask,
        rejected.reason,
        rejected.text,
        rejected.retry_after_ms,
        verdict,
        rejected.detail,
    )


def refuse_recorded(waiter: Waiter, refusal: records.CallRefused) -> Send:
    """Returns a refusal that the log holds."""
    return refuse(
        waiter.entry,
        waiter.ask,
        refusal.reason,
        refusal.text,
        refusal.retry_after_ms,
        refusal.verdict,
    )


def final_reply(waiter: Waiter, key: CallKey, closed: ClosedCall) -> Command:
    """Returns the final answer of a closed call to a waiter."""
    if closed.refusal is not None:
        return refuse_recorded(waiter, closed.refusal)
    return SendAnswer(
        to=waiter.entry,
        ask=waiter.ask,
        key=key,
        seq=closed.seq,
        record_index=closed.record_index,
    )


def grant(
    waiter: Waiter,
    program: Program,
    call: Call,
    attempt: Attempt,
    now_ms: int,
) -> Command:
    """Returns the grant of an attempt to a waiter's entry."""
    begin = call.begin
    message = messages.Granted(
        ask=waiter.ask,
        key=call.key,
        attempt=attempt.attempt,
        server=attempt.choice.server,
        dispatcher=attempt.choice.dispatcher,
        expires_ms=GRANT_EXPIRES_MS,
        waited_ms=now_ms - waiter.since_ms,
        max_tokens=attempt.max_tokens,
        priority=attempt.choice.priority,
        seq=call.seq,
        skip=attempt.skip if begin.kind == "model" else 0,
    )
    if begin.whole or begin.kind != "model":
        return Send(waiter.entry, message)
    return SendGrant(waiter.entry, message, list(program.history))


def program_state(
    ask: int, program: Program, root: Program
) -> messages.ProgramInfo:
    """Returns a program's state, with the budget of its root."""
    return messages.ProgramInfo(
        ask=ask,
        key=program.key,
        next_seq=program.next_seq,
        turns=program.turns,
        ended=program.ended,
        spent_tokens=root.spent,
        reserved_tokens=root.reserved,
        budget_tokens=root.limits.budget_tokens,
        parent=program.parent,
    )
